//! Commands that drain a data centre, and take it back.

use std::fmt;

use argh::FromArgs;
use serde::Serialize;

use chestnutlb_core::{DatacenterName, DocumentId, DocumentKind};
use chestnutlb_store::{EditOutcome, StoreCalls, StoreClient, StoreError, objects};
use chestnutlb_wire::records::VersionField;

use crate::output::{CommandError, CommandOutcome, finish};

/// send no new flows to the hosts of a data centre
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} --platform http://10.0.0.1:7100 honam-1",
    note = "Open flows stay. Exit codes: 0 drained, 1 others write too, 2 refused, 3 outcome unknown."
)]
pub struct DrainOptions {
    /// data centre
    #[argh(positional)]
    datacenter: DatacenterName,
    /// URL of the platform
    #[argh(option)]
    platform: String,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// send new flows to the hosts of a drained data centre again
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "undrain",
    example = "{command_name} --platform http://10.0.0.1:7100 honam-1",
    note = "Exit codes: 0 not drained, 1 others write too, 2 refused, 3 outcome unknown."
)]
pub struct UndrainOptions {
    /// data centre
    #[argh(positional)]
    datacenter: DatacenterName,
    /// URL of the platform
    #[argh(option)]
    platform: String,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct DrainResult {
    datacenter: String,
    drained: bool,
    version: VersionField,
}

impl fmt::Display for DrainResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.drained {
            "drained"
        } else {
            "not drained"
        };
        write!(
            f,
            "{} is {state} as of version {}",
            self.datacenter, self.version
        )
    }
}

impl DrainOptions {
    /// Drains the data centre and prints the version of its document.
    pub fn run(&self) -> CommandOutcome {
        finish(
            self.json,
            set_drained(&self.platform, &self.datacenter, true),
        )
    }
}

impl UndrainOptions {
    /// Takes the data centre back and prints the version of its document.
    pub fn run(&self) -> CommandOutcome {
        finish(
            self.json,
            set_drained(&self.platform, &self.datacenter, false),
        )
    }
}

fn set_drained(
    platform: &str,
    datacenter: &DatacenterName,
    drained: bool,
) -> Result<DrainResult, CommandError> {
    let client = StoreClient::new(platform);
    if !is_known(&client, datacenter).map_err(CommandError::unknown)? {
        let text = format!("no host and no entry VM was ever in data centre {datacenter}");
        return Err(CommandError::refused(text));
    }
    match objects::set_drained(&client, datacenter, drained) {
        EditOutcome::Done(loaded) => Ok(DrainResult {
            datacenter: datacenter.to_string(),
            drained,
            version: loaded.version.into(),
        }),
        EditOutcome::Conflict => Err(CommandError {
            outcome: CommandOutcome::NotMet,
            text: "conflict: others write the same object all the time; repeat the command".into(),
        }),
        EditOutcome::Unknown(error) => Err(CommandError::unknown(format!(
            "outcome unknown: {error}; repeat the command"
        ))),
    }
}

// Returns whether the platform has a roster or members document of the data centre.
fn is_known(client: &StoreClient, datacenter: &DatacenterName) -> Result<bool, StoreError> {
    for kind in [DocumentKind::Roster, DocumentKind::Members] {
        let id = DocumentId::new(kind, datacenter.as_str());
        if client.read(&id)?.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}
