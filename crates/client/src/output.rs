//! What the client prints and how it exits.

use std::fmt;
use std::process::ExitCode;

use serde::Serialize;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandEnd {
    /// Well.
    Done,
    /// What was asked for is not so: not in force yet, or a conflict.
    NotSo,
    /// The input was refused.
    Refused,
    /// Nobody can tell, since something does not answer.
    Unsure,
}

impl From<CommandEnd> for ExitCode {
    fn from(end: CommandEnd) -> Self {
        ExitCode::from(match end {
            CommandEnd::Done => 0,
            CommandEnd::NotSo => 1,
            CommandEnd::Refused => 2,
            CommandEnd::Unsure => 3,
        })
    }
}

/// Prints a result for people, or as JSON for machines.
pub fn print<T: Serialize + fmt::Display>(json: bool, result: &T) {
    if json {
        // These plain types can always be written.
        println!("{}", serde_json::to_string(result).unwrap_or_default());
    } else {
        println!("{result}");
    }
}

/// Prints why a command did not end well.
pub fn complain(json: bool, text: &str) {
    if json {
        println!("{}", serde_json::json!({ "error": text }));
    } else {
        eprintln!("{text}");
    }
}
