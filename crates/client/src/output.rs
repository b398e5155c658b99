//! Output and exit codes of the client.

use std::fmt;
use std::process::ExitCode;

use serde::Serialize;

/// Outcome of a command, which determines its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// A condition is not met: the manifest is not in force yet, another commit came first, or
    /// the logs have no line of the flow.
    NotMet,
    /// The input was refused.
    Refused,
    /// The outcome is unknown: an entry VM or the platform did not answer, or answered with an
    /// error.
    Unknown,
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> Self {
        ExitCode::from(match outcome {
            CommandOutcome::Done => 0,
            CommandOutcome::NotMet => 1,
            CommandOutcome::Refused => 2,
            CommandOutcome::Unknown => 3,
        })
    }
}

/// A failed command: its outcome and the text for the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError {
    /// The outcome, any but [`CommandOutcome::Done`].
    pub outcome: CommandOutcome,
    /// The text for the operator.
    pub text: String,
}

impl CommandError {
    /// The input was refused.
    pub fn refused(cause: impl fmt::Display) -> Self {
        Self {
            outcome: CommandOutcome::Refused,
            text: cause.to_string(),
        }
    }

    /// The outcome is unknown.
    pub fn unknown(cause: impl fmt::Display) -> Self {
        Self {
            outcome: CommandOutcome::Unknown,
            text: cause.to_string(),
        }
    }
}

/// Prints the result or the error of a command and returns its outcome.
pub fn finish<T: Serialize + fmt::Display>(
    json: bool,
    result: Result<T, CommandError>,
) -> CommandOutcome {
    match result {
        Ok(result) => {
            print_result(json, &result);
            CommandOutcome::Done
        }
        Err(error) => {
            print_error(json, &error.text);
            error.outcome
        }
    }
}

/// Prints a result to standard output, as text or as JSON.
pub fn print_result<T: Serialize + fmt::Display>(json: bool, result: &T) {
    if json {
        // Serialization can't fail: the result types contain only strings, numbers, lists and
        // maps with string keys.
        println!("{}", serde_json::to_string(result).unwrap_or_default());
    } else {
        println!("{result}");
    }
}

/// Prints an error: as text to standard error, or as a JSON object to standard output.
pub fn print_error(json: bool, text: &str) {
    if json {
        println!("{}", serde_json::json!({ "error": text }));
    } else {
        eprintln!("{text}");
    }
}
