//! Commands that validate, plan and commit manifests.

use std::fmt;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use rand::Rng;
use serde::Serialize;

use chestnutlb_core::{FirmManifest, ObjectVersion};
use chestnutlb_store::{CommitOutcome, CurrentManifest, StoreClient, commit, objects};
use chestnutlb_wire::records::VersionField;
use chestnutlb_wire::{DocumentError, WireManifest, parse_json};

use crate::output::{CommandError, CommandOutcome, finish};

/// check a manifest without contacting the platform
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "validate", example = "{command_name} dalbit.json")]
pub struct ValidateOptions {
    /// manifest file
    #[argh(positional)]
    manifest: PathBuf,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// show the changes that committing a manifest would make
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} --platform http://10.0.0.1:7100 dalbit.json"
)]
pub struct PlanOptions {
    /// manifest file
    #[argh(positional)]
    manifest: PathBuf,
    /// URL of the platform
    #[argh(option)]
    platform: String,
    /// print the result as JSON
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
    note = "Exit codes: 0 committed, 1 another commit came first, 2 refused, 3 outcome unknown."
)]
pub struct CommitOptions {
    /// manifest file
    #[argh(positional)]
    manifest: PathBuf,
    /// URL of the platform
    #[argh(option)]
    platform: String,
    /// manifest version to replace, as shown by plan; 0 for a first manifest
    /// (default: the current version)
    #[argh(option)]
    base: Option<ObjectVersion>,
    /// id of an earlier attempt whose outcome is unknown
    #[argh(option)]
    id: Option<String>,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ValidationResult {
    firm: String,
    services: usize,
}

impl fmt::Display for ValidationResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "valid: {} with {} services", self.firm, self.services)
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct PlanResult {
    base: VersionField,
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
    version: VersionField,
    id: String,
}

impl fmt::Display for CommitResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "committed version {} (commit {})", self.version, self.id)
    }
}

fn read_manifest(path: &Path) -> Result<(WireManifest, FirmManifest), CommandError> {
    let refused =
        |error: &dyn fmt::Display| CommandError::refused(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| refused(&error))?;
    let parsed = parse_json::<WireManifest>(&text).and_then(|wire| {
        let manifest = FirmManifest::try_from(&wire)?;
        Ok((wire, manifest))
    });
    parsed.map_err(|error: DocumentError| refused(&error))
}

impl ValidateOptions {
    /// Checks the manifest file and prints the firm and its number of services.
    pub fn run(&self) -> CommandOutcome {
        let result = read_manifest(&self.manifest).map(|(_, manifest)| ValidationResult {
            firm: manifest.firm.to_string(),
            services: manifest.services.len(),
        });
        finish(self.json, result)
    }
}

impl PlanOptions {
    /// Checks the manifest against the platform's grants and prints the changes.
    pub fn run(&self) -> CommandOutcome {
        let result = read_manifest(&self.manifest).and_then(|(wire, manifest)| {
            let client = StoreClient::new(&self.platform);
            plan(&client, &wire, &manifest)
        });
        finish(self.json, result)
    }
}

fn plan(
    client: &StoreClient,
    wire: &WireManifest,
    manifest: &FirmManifest,
) -> Result<PlanResult, CommandError> {
    let grants = objects::load_grants(client)
        .map_err(CommandError::unknown)?
        .ok_or_else(|| CommandError::refused(NO_GRANTS))?;
    grants
        .check_manifest(manifest)
        .map_err(CommandError::refused)?;
    let current: CurrentManifest = commit::current(client, wire).map_err(CommandError::unknown)?;
    let plan = commit::plan(&current, manifest).map_err(CommandError::refused)?;
    Ok(PlanResult {
        base: plan.base.into(),
        changes: plan.changes.iter().map(ToString::to_string).collect(),
    })
}

fn conflict_text(expected: ObjectVersion, found: ObjectVersion) -> String {
    let cause = if found.is_absent() {
        "the platform stores no manifest"
    } else if found.era() > expected.era() && !expected.is_absent() {
        "the platform was restored from an older copy"
    } else {
        "another commit came first"
    };
    format!(
        "conflict: {cause}; expected version {expected}, found {found}; nothing was changed, \
         plan again"
    )
}

// Error text for a platform without the object that all grants are stored in.
const NO_GRANTS: &str = "the platform stores no grants of addresses (object grants/all)";

impl CommitOptions {
    /// Commits the manifest and prints the new version and the id of the commit.
    pub fn run(&self) -> CommandOutcome {
        let result = read_manifest(&self.manifest).and_then(|(wire, _)| self.commit(&wire));
        finish(self.json, result)
    }

    fn commit(&self, wire: &WireManifest) -> Result<CommitResult, CommandError> {
        let client = StoreClient::new(&self.platform);
        let base = match self.base {
            Some(base) => base,
            None => {
                commit::current(&client, wire)
                    .map_err(CommandError::unknown)?
                    .version
            }
        };
        let id = match &self.id {
            Some(id) => id.clone(),
            None => format!("{:016x}", rand::rng().random::<u64>()),
        };
        Err(match commit::commit(&client, wire, base, &id) {
            CommitOutcome::Committed(version) => {
                let version = version.into();
                return Ok(CommitResult { version, id });
            }
            CommitOutcome::Conflict { expected, found } => CommandError {
                outcome: CommandOutcome::NotMet,
                text: conflict_text(expected, found),
            },
            CommitOutcome::Refused(error) => CommandError::refused(error),
            CommitOutcome::NoGrants => CommandError::refused(NO_GRANTS),
            CommitOutcome::Unknown(error) => CommandError::unknown(format!(
                "outcome unknown: {error}; repeat the commit with --base {base} --id {id}"
            )),
        })
    }
}
