//! `chestnutlb`, the client for operators and pipelines.

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

mod manifests;
mod output;
mod running;
mod story;

use manifests::{CommitOptions, PlanOptions, ValidateOptions};
use output::CommandEnd;
use running::{ExplainOptions, StatusOptions, WaitOptions};
use story::StoryOptions;

/// Commits manifests and shows what is in force.
#[derive(Debug)]
#[derive(FromArgs)]
struct ClientOptions {
    #[argh(subcommand)]
    command: ClientCommand,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum ClientCommand {
    Validate(ValidateOptions),
    Plan(PlanOptions),
    Commit(CommitOptions),
    Status(StatusOptions),
    Wait(WaitOptions),
    Explain(ExplainOptions),
    Story(StoryOptions),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    let options = match ClientOptions::from_args(&["chestnutlb"], &arguments) {
        Ok(options) => options,
        Err(exit) => return end_early(&exit),
    };
    let end = match &options.command {
        ClientCommand::Validate(options) => options.run(),
        ClientCommand::Plan(options) => options.run(),
        ClientCommand::Commit(options) => options.run(),
        ClientCommand::Status(options) => options.run(),
        ClientCommand::Wait(options) => options.run(),
        ClientCommand::Explain(options) => options.run(),
        ClientCommand::Story(options) => options.run(),
    };
    end.into()
}

// Help is no failure; words that can't be read are refused like other input.
fn end_early(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            CommandEnd::Done.into()
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            CommandEnd::Refused.into()
        }
    }
}
