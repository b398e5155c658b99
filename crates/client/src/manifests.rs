//! Commands about manifests: validate, plan, commit.

use std::fmt;
use std::path::PathBuf;

use argh::FromArgs;
use rand::Rng;
use serde::Serialize;

use chestnutlb_core::{FirmManifest, ObjectVersion};
use chestnutlb_store::{CommitOutcome, CurrentManifest, StoreClient, commit, objects};
use chestnutlb_wire::{DocumentError, WireManifest, parse_json};

use crate::output::{CommandEnd, complain, print};

/// check a manifest without the platform
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "validate", example = "{command_name} dalbit.json")]
pub struct ValidateOptions {
    /// file with the manifest
    #[argh(positional)]
    manifest: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show what committing a manifest would change
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} --platform http://10.0.0.1:7100 dalbit.json"
)]
pub struct PlanOptions {
    /// file with the manifest
    #[argh(positional)]
    manifest: PathBuf,
    /// address of the platform
    #[argh(option)]
    platform: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// commit a manifest
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "commit",
    example = "{command_name} --platform http://10.0.0.1:7100 --base 12 dalbit.json",
    note = "Exit codes: 0 committed, 1 another commit came first, 2 refused, 3 unsure."
)]
pub struct CommitOptions {
    /// file with the manifest
    #[argh(positional)]
    manifest: PathBuf,
    /// address of the platform
    #[argh(option)]
    platform: String,
    /// version that the plan showed, 0 for a first manifest; without it the
    /// version that is found now
    #[argh(option)]
    base: Option<ObjectVersion>,
    /// id of an earlier attempt whose outcome was unsure
    #[argh(option)]
    id: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ValidResult {
    firm: String,
    services: usize,
}

impl fmt::Display for ValidResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "valid: {} with {} services", self.firm, self.services)
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct PlanResult {
    base: u64,
    changes: Vec<String>,
}

impl fmt::Display for PlanResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "base {}", self.base)?;
        if self.changes.is_empty() {
            write!(f, "\nno change")?;
        }
        self.changes
            .iter()
            .try_for_each(|change| write!(f, "\n{change}"))
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct CommitResult {
    version: u64,
    id: String,
}

impl fmt::Display for CommitResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "committed version {} (commit {})", self.version, self.id)
    }
}

fn read_manifest(path: &PathBuf) -> Result<(WireManifest, FirmManifest), String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let parsed = parse_json::<WireManifest>(&text).and_then(|wire| {
        let manifest = FirmManifest::try_from(&wire)?;
        Ok((wire, manifest))
    });
    parsed.map_err(|error: DocumentError| format!("{}: {error}", path.display()))
}

impl ValidateOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        match read_manifest(&self.manifest) {
            Ok((_, manifest)) => {
                let result = ValidResult {
                    firm: manifest.firm.to_string(),
                    services: manifest.services.len(),
                };
                print(self.json, &result);
                CommandEnd::Done
            }
            Err(text) => {
                complain(self.json, &text);
                CommandEnd::Refused
            }
        }
    }
}

impl PlanOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        let (wire, manifest) = match read_manifest(&self.manifest) {
            Ok(read) => read,
            Err(text) => {
                complain(self.json, &text);
                return CommandEnd::Refused;
            }
        };
        let client = StoreClient::new(&self.platform);
        match plan(&client, &wire, &manifest) {
            Ok(result) => {
                print(self.json, &result);
                CommandEnd::Done
            }
            Err((end, text)) => {
                complain(self.json, &text);
                end
            }
        }
    }
}

fn plan(
    client: &StoreClient,
    wire: &WireManifest,
    manifest: &FirmManifest,
) -> Result<PlanResult, (CommandEnd, String)> {
    let unsure = |error: &dyn fmt::Display| (CommandEnd::Unsure, error.to_string());
    let refused = |error: &dyn fmt::Display| (CommandEnd::Refused, error.to_string());
    let grants = objects::load_grants(client)
        .map_err(|error| unsure(&error))?
        .ok_or_else(|| refused(&NO_GRANTS))?;
    grants
        .check_manifest(manifest)
        .map_err(|error| refused(&error))?;
    let current: CurrentManifest = commit::current(client, wire).map_err(|error| unsure(&error))?;
    let plan = commit::plan(&current, manifest).map_err(|error| refused(&error))?;
    Ok(PlanResult {
        base: plan.base.0,
        changes: plan.changes.iter().map(ToString::to_string).collect(),
    })
}

const NO_GRANTS: &str = "the platform has no grants of addresses (object grants/all)";

impl CommitOptions {
    /// Runs the command.
    pub fn run(&self) -> CommandEnd {
        let (wire, _) = match read_manifest(&self.manifest) {
            Ok(read) => read,
            Err(text) => {
                complain(self.json, &text);
                return CommandEnd::Refused;
            }
        };
        let client = StoreClient::new(&self.platform);
        let base = match self.base {
            Some(base) => base,
            None => match commit::current(&client, &wire) {
                Ok(current) => current.version,
                Err(error) => {
                    complain(self.json, &error.to_string());
                    return CommandEnd::Unsure;
                }
            },
        };
        let id = match &self.id {
            Some(id) => id.clone(),
            None => format!("{:016x}", rand::rng().random::<u64>()),
        };
        let (end, text) = match commit::commit(&client, &wire, base, &id) {
            CommitOutcome::Committed(version) => {
                let version = version.0;
                print(self.json, &CommitResult { version, id });
                return CommandEnd::Done;
            }
            CommitOutcome::Conflict { expected, found } => (
                CommandEnd::NotSo,
                format!(
                    "conflict: another commit came first; expected version {expected}, \
                     found {found}; nothing was changed, plan again"
                ),
            ),
            CommitOutcome::Refused(error) => (CommandEnd::Refused, error.to_string()),
            CommitOutcome::NoGrants => (CommandEnd::Refused, NO_GRANTS.to_owned()),
            CommitOutcome::Unsure(error) => (
                CommandEnd::Unsure,
                format!("unsure: {error}; ask again with --base {base} --id {id}"),
            ),
        };
        complain(self.json, &text);
        end
    }
}
