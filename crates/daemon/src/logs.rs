//! Logging as JSON lines by a dedicated thread. Threads that log never block: if the
//! ring of lines is full, a line is dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::SystemTime;

use crossbeam_channel::{Receiver, Sender, bounded};
use log::kv::{Key, ToValue, Value, VisitSource};
use quick_error::quick_error;

use chestnutlb_core::ObjectVersion;
use chestnutlb_wire::records::VersionField;

use crate::metrics::{Counter, CounterSet};
use crate::settings::LogSettings;

/// Capacity of the ring of lines to be written.
const LOG_RING_LINES: usize = 16_384;

quick_error! {
    /// Error on starting the logger.
    #[derive(Debug)]
    pub enum LogError {
        /// The log level is unknown.
        Level(error: log::ParseLevelError) {
            from()
            display("{}", error)
        }
        /// Another logger is already installed.
        Logger(error: log::SetLoggerError) {
            from()
            display("{}", error)
        }
        /// The writing thread can't be started.
        Thread(error: std::io::Error) {
            from()
            display("{}", error)
        }
    }
}

enum LogMessage {
    Line(String),
    Flush(Sender<()>),
}

/// Handle of the writing thread. [`LogWriter::flush`] has to be called before the
/// process ends, or the last lines may be lost.
#[derive(Debug)]
pub struct LogWriter {
    ring: Sender<LogMessage>,
    _thread: JoinHandle<()>,
}

impl LogWriter {
    /// Blocks until every line logged so far is written.
    pub fn flush(&self) {
        let (done, finished) = bounded(1);
        if self.ring.send(LogMessage::Flush(done)).is_ok() {
            // This fails only if the writing thread has ended.
            let _ = finished.recv();
        }
    }
}

/// Installs the logger and starts the writing thread.
pub fn start(settings: &LogSettings, counters: Arc<CounterSet>) -> Result<LogWriter, LogError> {
    let (ring, lines) = bounded(LOG_RING_LINES);
    let to_stderr = settings.target == "stderr";
    let thread = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, to_stderr))?;
    let sender = ring.clone();
    fern::Dispatch::new()
        .level(settings.level.parse()?)
        .level_for("rocket", log::LevelFilter::Warn)
        .level_for("_", log::LevelFilter::Warn)
        .level_for("ureq", log::LevelFilter::Warn)
        .level_for("hyper", log::LevelFilter::Warn)
        .level_for("smoltcp", log::LevelFilter::Warn)
        .chain(fern::Output::call(move |record| {
            let line = LogMessage::Line(format_line(record));
            if sender.try_send(line).is_err() {
                counters.add(Counter::LogDropped);
            }
        }))
        .apply()?;
    Ok(LogWriter {
        ring,
        _thread: thread,
    })
}

fn write_lines(lines: &Receiver<LogMessage>, to_stderr: bool) {
    let mut output: Box<dyn Write> = if to_stderr {
        Box::new(std::io::stderr())
    } else {
        Box::new(std::io::stdout())
    };
    // Write errors are ignored: there is no other output for reporting them.
    for message in lines {
        match message {
            LogMessage::Line(line) => {
                let _ = writeln!(output, "{line}");
            }
            LogMessage::Flush(done) => {
                let _ = output.flush();
                let _ = done.send(());
            }
        }
    }
}

/// A version as field of a log line.
#[derive(Debug)]
pub struct LoggedVersion(VersionField);

impl From<ObjectVersion> for LoggedVersion {
    fn from(version: ObjectVersion) -> Self {
        Self(version.into())
    }
}

impl ToValue for LoggedVersion {
    fn to_value(&self) -> Value<'_> {
        match &self.0 {
            VersionField::Revision(revision) => Value::from(*revision),
            VersionField::Text(text) => Value::from(text.as_str()),
        }
    }
}

struct FieldVisitor<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let field = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), field);
        Ok(())
    }
}

fn format_line(record: &log::Record<'_>) -> String {
    let mut fields = serde_json::Map::new();
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    fields.insert("time".to_owned(), time.into());
    let level = record.level().as_str().to_ascii_lowercase();
    fields.insert("level".to_owned(), level.into());
    fields.insert("part".to_owned(), record.target().into());
    fields.insert("event".to_owned(), record.args().to_string().into());
    // Can't fail: the visitor accepts every pair.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    serde_json::Value::Object(fields).to_string()
}
