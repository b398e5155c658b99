//! Trace of one flow, from the logs of several processes.
//!
//! The clocks of VMs differ. If the first verdict of a host on the flow has an earlier time than
//! the forwarding of the flow's SYN by an entry VM, which is impossible, all lines of the host are
//! moved to a later time.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use argh::FromArgs;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::output::{CommandOutcome, print_error, print_result};

/// Assumed minimum transit time of a packet: the resolution of log timestamps.
const MIN_TRANSIT_TIME: Duration = Duration::from_millis(1);

/// print the log lines of one flow from several processes, in order of time
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "story",
    example = "{command_name} --flow '10.9.0.1:10000>10.20.0.1:7000' entry-1.log feed-1.log",
    note = "Exit codes: 0 trace printed, 1 no log line of the flow, 2 a file can't be read."
)]
pub struct TraceOptions {
    /// flow as written in the logs: caller>service
    #[argh(option)]
    flow: String,
    /// also print the lines without a flow field that are at most this many
    /// milliseconds before the first or after the last line of the flow
    /// (default: 0, none)
    #[argh(option, default = "0")]
    around_ms: u64,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
    /// log files, one per process, named after the process
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// One line of a log file.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct LogLine {
    process: String,
    time: String,
    /// Parsed value of `time`, which the lines are sorted by.
    #[serde(skip)]
    timestamp: SystemTime,
    part: String,
    event: String,
    fields: Map<String, Value>,
}

/// The selected log lines, in order of time.
#[derive(Debug)]
#[derive(Serialize)]
struct FlowTrace {
    lines: Vec<LogLine>,
    /// Number of lines in the files that are not log lines.
    unreadable: usize,
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:<20} {} {}",
            self.time, self.process, self.part, self.event
        )?;
        for (name, value) in &self.fields {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for FlowTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, line) in self.lines.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            line.fmt(f)?;
        }
        if self.unreadable > 0 {
            write!(f, "\nunreadable lines: {}", self.unreadable)?;
        }
        Ok(())
    }
}

impl LogLine {
    // Returns `None` if the text is not a JSON object with the fields of a log line.
    fn parse(process: &str, text: &str) -> Option<Self> {
        let Value::Object(mut fields) = serde_json::from_str(text).ok()? else {
            return None;
        };
        let mut take_string = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let time = take_string("time")?;
        let part = take_string("part")?;
        let event = take_string("event")?;
        take_string("level");
        Some(Self {
            process: process.to_owned(),
            timestamp: humantime::parse_rfc3339(&time).ok()?,
            time,
            part,
            event,
            fields,
        })
    }

    fn has_flow(&self, flow: &str) -> bool {
        self.fields.get("flow").and_then(Value::as_str) == Some(flow)
    }

    // Moves the line to a later time.
    fn shift(&mut self, by: Duration) {
        self.timestamp += by;
        self.time = humantime::format_rfc3339_millis(self.timestamp).to_string();
    }
}

impl TraceOptions {
    /// Prints the log lines of the flow, in order of time.
    pub fn run(&self) -> CommandOutcome {
        let mut unreadable = 0;
        let mut logs = Vec::new();
        for file in &self.files {
            match std::fs::read_to_string(file) {
                Ok(text) => logs.push(read_log(file, &text, &mut unreadable)),
                Err(error) => {
                    print_error(self.json, &format!("{}: {error}", file.display()));
                    return CommandOutcome::Refused;
                }
            }
        }
        align_clocks(&mut logs, &self.flow);
        let lines = self.select_lines(logs);
        if lines.is_empty() {
            print_error(self.json, &format!("no log line of flow {}", self.flow));
            return CommandOutcome::NotMet;
        }
        print_result(self.json, &FlowTrace { lines, unreadable });
        CommandOutcome::Done
    }

    // Returns the lines of the flow and, if `around_ms` is set, the lines without a flow field
    // within that time of them.
    fn select_lines(&self, logs: Vec<Vec<LogLine>>) -> Vec<LogLine> {
        let all: Vec<LogLine> = logs.into_iter().flatten().collect();
        let flow_lines = || all.iter().filter(|line| line.has_flow(&self.flow));
        let (Some(first), Some(last)) = (
            flow_lines().map(|line| line.timestamp).min(),
            flow_lines().map(|line| line.timestamp).max(),
        ) else {
            return Vec::new();
        };
        let around = Duration::from_millis(self.around_ms);
        let mut lines: Vec<LogLine> = all
            .iter()
            .filter(|line| {
                let in_range = line.timestamp + around >= first && line.timestamp <= last + around;
                let without_flow = self.around_ms > 0 && !line.fields.contains_key("flow");
                line.has_flow(&self.flow) || (in_range && without_flow)
            })
            .cloned()
            .collect();
        lines.sort_by_key(|line| line.timestamp);
        lines
    }
}

// Parses a log file and adds the number of lines that are not log lines to `unreadable`.
fn read_log(file: &Path, text: &str, unreadable: &mut usize) -> Vec<LogLine> {
    let process = file
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    let mut lines = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match LogLine::parse(&process, line) {
            Some(line) => lines.push(line),
            None => *unreadable += 1,
        }
    }
    lines
}

// Moves the lines of each host whose clock is behind that of the entry VM that forwarded the
// flow's SYN. The difference is taken from the first verdict that the host logged on the flow.
fn align_clocks(logs: &mut [Vec<LogLine>], flow: &str) {
    let first_time = |log: &[LogLine], part: &str, event: &str| {
        let mut lines = log.iter().filter(|line| line.has_flow(flow));
        lines
            .find(|line| line.part == part && line.event == event)
            .map(|line| line.timestamp)
    };
    let syn_forwarded_at = logs
        .iter()
        .filter_map(|log| first_time(log, "route", "open"))
        .min();
    let Some(syn_forwarded_at) = syn_forwarded_at else {
        return;
    };
    for log in logs {
        let judged_at = first_time(log, "flow", "judged");
        if let Some(clock_lag) =
            judged_at.and_then(|judged_at| syn_forwarded_at.duration_since(judged_at).ok())
        {
            for line in log {
                line.shift(clock_lag + MIN_TRANSIT_TIME);
            }
        }
    }
}
