//! `chestnutlb`, the command-line client for operators and deployment pipelines.

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

mod drains;
mod entry_commands;
mod flow_trace;
mod manifests;
mod output;

use drains::{DrainOptions, UndrainOptions};
use entry_commands::{ExplainOptions, StatusOptions, WaitOptions};
use flow_trace::TraceOptions;
use manifests::{CommitOptions, PlanOptions, ValidateOptions};
use output::CommandOutcome;

/// Validates and commits manifests, and shows what is in force.
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
    Drain(DrainOptions),
    Undrain(UndrainOptions),
    Status(StatusOptions),
    Wait(WaitOptions),
    Explain(ExplainOptions),
    Story(TraceOptions),
}

fn main() -> ExitCode {
    let command_line: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = command_line.iter().skip(1).map(String::as_str).collect();
    let options = match ClientOptions::from_args(&["chestnutlb"], &arguments) {
        Ok(options) => options,
        Err(exit) => return exit_early(&exit),
    };
    let outcome = match &options.command {
        ClientCommand::Validate(options) => options.run(),
        ClientCommand::Plan(options) => options.run(),
        ClientCommand::Commit(options) => options.run(),
        ClientCommand::Drain(options) => options.run(),
        ClientCommand::Undrain(options) => options.run(),
        ClientCommand::Status(options) => options.run(),
        ClientCommand::Wait(options) => options.run(),
        ClientCommand::Explain(options) => options.run(),
        ClientCommand::Story(options) => options.run(),
    };
    outcome.into()
}

// Prints argh's message. `--help` exits with success; invalid arguments exit with the code
// of refused input.
fn exit_early(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            CommandOutcome::Done.into()
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            CommandOutcome::Refused.into()
        }
    }
}
