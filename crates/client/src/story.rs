//! The story of one flow, from the logs of many processes.
//!
//! The clocks of VMs differ, so the lines of a process are moved where their
//! order would be impossible: no host judges an opening before an entry VM has
//! sent it.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use argh::FromArgs;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::output::{CommandEnd, complain, print};

/// A packet is on its way for at least this time: what logs can tell apart.
const LEAST_WAY: Duration = Duration::from_millis(1);

/// tell what happened to one flow, from the logs of several processes
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "story",
    example = "{command_name} --flow '10.9.0.1:10000>10.20.0.1:7000' entry-1.log feed-1.log",
    note = "Exit codes: 0 told, 1 no line is about the flow, 2 a file can't be read."
)]
pub struct StoryOptions {
    /// the flow as logs name it: caller>service
    #[argh(option)]
    flow: String,
    /// milliseconds around the flow in which other events are told too
    #[argh(option, default = "0")]
    around_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// log files, one for each process
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct StoryLine {
    process: String,
    time: String,
    #[serde(skip)]
    at: SystemTime,
    part: String,
    event: String,
    fields: Map<String, Value>,
}

/// All lines about a flow, in order.
#[derive(Debug)]
#[derive(Serialize)]
struct FlowStory {
    lines: Vec<StoryLine>,
    /// Lines of the files that are no log lines.
    unreadable: usize,
}

impl fmt::Display for StoryLine {
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

impl fmt::Display for FlowStory {
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

impl StoryLine {
    fn parse(process: &str, text: &str) -> Option<Self> {
        let Value::Object(mut fields) = serde_json::from_str(text).ok()? else {
            return None;
        };
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let time = take("time")?;
        let part = take("part")?;
        let event = take("event")?;
        take("level");
        Some(Self {
            process: process.to_owned(),
            at: humantime::parse_rfc3339(&time).ok()?,
            time,
            part,
            event,
            fields,
        })
    }

    fn is_about(&self, flow: &str) -> bool {
        self.fields.get("flow").and_then(Value::as_str) == Some(flow)
    }

    fn shift(&mut self, by: Duration) {
        self.at += by;
        self.time = humantime::format_rfc3339_millis(self.at).to_string();
    }
}

impl StoryOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        let mut unreadable = 0;
        let mut logs = Vec::new();
        for file in &self.files {
            match std::fs::read_to_string(file) {
                Ok(text) => logs.push(read_log(file, &text, &mut unreadable)),
                Err(error) => {
                    complain(self.json, &format!("{}: {error}", file.display()));
                    return CommandEnd::Refused;
                }
            }
        }
        align(&mut logs, &self.flow);
        let lines = self.choose(logs);
        if lines.is_empty() {
            complain(self.json, &format!("no line is about {}", self.flow));
            return CommandEnd::NotSo;
        }
        print(self.json, &FlowStory { lines, unreadable });
        CommandEnd::Done
    }

    fn choose(&self, logs: Vec<Vec<StoryLine>>) -> Vec<StoryLine> {
        let all: Vec<StoryLine> = logs.into_iter().flatten().collect();
        let own = || all.iter().filter(|line| line.is_about(&self.flow));
        let (Some(first), Some(last)) = (
            own().map(|line| line.at).min(),
            own().map(|line| line.at).max(),
        ) else {
            return Vec::new();
        };
        let around = Duration::from_millis(self.around_ms);
        let mut lines: Vec<StoryLine> = all
            .iter()
            .filter(|line| {
                let near = line.at + around >= first && line.at <= last + around;
                let general = self.around_ms > 0 && !line.fields.contains_key("flow");
                line.is_about(&self.flow) || (near && general)
            })
            .cloned()
            .collect();
        lines.sort_by_key(|line| line.at);
        lines
    }
}

fn read_log(file: &Path, text: &str, unreadable: &mut usize) -> Vec<StoryLine> {
    let process = file
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    let mut lines = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match StoryLine::parse(&process, line) {
            Some(line) => lines.push(line),
            None => *unreadable += 1,
        }
    }
    lines
}

// Moves the lines of hosts whose clock is behind that of the entry VM.
fn align(logs: &mut [Vec<StoryLine>], flow: &str) {
    let first = |log: &[StoryLine], part: &str, event: &str| {
        let mut lines = log.iter().filter(|line| line.is_about(flow));
        lines
            .find(|line| line.part == part && line.event == event)
            .map(|line| line.at)
    };
    let sent = logs
        .iter()
        .filter_map(|log| first(log, "route", "open"))
        .min();
    let Some(sent) = sent else { return };
    for log in logs {
        let judged = first(log, "flow", "judged");
        if let Some(behind) = judged.and_then(|judged| sent.duration_since(judged).ok()) {
            for line in log {
                line.shift(behind + LEAST_WAY);
            }
        }
    }
}
