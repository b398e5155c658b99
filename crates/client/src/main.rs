//! `chestnutlb`, the client for operators and pipelines.

use std::process::ExitCode;

use argh::FromArgs;

mod manifests;
mod output;
mod running;

use manifests::{CommitOptions, PlanOptions, ValidateOptions};
use running::{ExplainOptions, StatusOptions, WaitOptions};

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
}

fn main() -> ExitCode {
    let options: ClientOptions = argh::from_env();
    let end = match &options.command {
        ClientCommand::Validate(options) => options.run(),
        ClientCommand::Plan(options) => options.run(),
        ClientCommand::Commit(options) => options.run(),
        ClientCommand::Status(options) => options.run(),
        ClientCommand::Wait(options) => options.run(),
        ClientCommand::Explain(options) => options.run(),
    };
    end.into()
}
