//! Committing a manifest.
//!
//! A commit is conditional on the version that the operator saw, and carries
//! an id. When the answer of a write is lost, the object is read again: it
//! holds the id if and only if the write took effect.

use std::time::Duration;

use compact_str::CompactString;

use chestnutlb_core::{DocumentId, DocumentKind, FirmManifest, ManifestChange, ObjectVersion};
use chestnutlb_wire::object::EARLIER_COMMITS;
use chestnutlb_wire::{DocumentError, ManifestObject, WireManifest};

use crate::calls::StoreCalls;
use crate::client::{StoreClient, StoreError, WriteOutcome};
use crate::objects::load_grants;

/// Attempts at a write whose answer was lost.
const MAX_ATTEMPTS: u32 = 5;

/// Pause before the next attempt.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// The manifest that the platform has.
#[derive(Debug, Clone, PartialEq)]
pub struct CurrentManifest {
    /// Its version, zero if there is none.
    pub version: ObjectVersion,
    /// What it holds.
    pub object: Option<ManifestObject>,
}

/// What a commit would change.
#[derive(Debug, Clone, PartialEq)]
pub struct CommitPlan {
    /// The version that it would follow.
    pub base: ObjectVersion,
    /// The changes.
    pub changes: Vec<ManifestChange>,
}

/// The outcome of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The platform has it.
    Committed(ObjectVersion),
    /// Another commit came first.
    Conflict {
        /// The version that was expected.
        expected: ObjectVersion,
        /// The version that was found.
        found: ObjectVersion,
    },
    /// The manifest was refused.
    Refused(DocumentError),
    /// The platform has no grants of addresses yet.
    NoGrants,
    /// Nobody can tell, since the platform does not answer.
    Unsure(StoreError),
}

fn manifest_id(manifest: &WireManifest) -> DocumentId {
    DocumentId::new(DocumentKind::Manifest, &manifest.firm)
}

/// Reads the manifest of the same firm.
pub fn current(
    client: &StoreClient,
    manifest: &WireManifest,
) -> Result<CurrentManifest, StoreError> {
    match client.read(&manifest_id(manifest))? {
        Some(reply) => {
            let object = serde_json::from_value(reply.value)
                .map_err(|error| StoreError::Form(error.to_string()))?;
            Ok(CurrentManifest {
                version: ObjectVersion(reply.version),
                object: Some(object),
            })
        }
        None => Ok(CurrentManifest {
            version: ObjectVersion(0),
            object: None,
        }),
    }
}

/// What the commit of a checked manifest would change.
pub fn plan(current: &CurrentManifest, next: &FirmManifest) -> Result<CommitPlan, DocumentError> {
    let before = match &current.object {
        Some(object) => FirmManifest::try_from(&object.manifest)?,
        None => FirmManifest {
            firm: next.firm.clone(),
            services: Vec::new(),
        },
    };
    Ok(CommitPlan {
        base: current.version,
        changes: before.changes(next),
    })
}

/// Commits a manifest if the platform's has the version `expected`.
pub fn commit(
    client: &StoreClient,
    manifest: &WireManifest,
    expected: ObjectVersion,
    commit_id: &str,
) -> CommitOutcome {
    let checked = match FirmManifest::try_from(manifest) {
        Ok(checked) => checked,
        Err(error) => return CommitOutcome::Refused(error),
    };
    let mut trouble = StoreError::Status(0);
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            std::thread::sleep(ATTEMPT_PAUSE * attempt);
        }
        match try_commit(client, manifest, &checked, expected, commit_id) {
            CommitOutcome::Unsure(error) => trouble = error,
            outcome => return outcome,
        }
    }
    CommitOutcome::Unsure(trouble)
}

fn try_commit(
    client: &StoreClient,
    manifest: &WireManifest,
    checked: &FirmManifest,
    expected: ObjectVersion,
    commit_id: &str,
) -> CommitOutcome {
    match load_grants(client) {
        Ok(Some(grants)) => {
            if let Err(error) = grants.check_manifest(checked) {
                return CommitOutcome::Refused(error);
            }
        }
        Ok(None) => return CommitOutcome::NoGrants,
        Err(error) => return CommitOutcome::Unsure(error),
    }
    let current = match current(client, manifest) {
        Ok(current) => current,
        Err(error) => return CommitOutcome::Unsure(error),
    };
    if has_commit(&current, commit_id) {
        // An earlier attempt took effect though its answer was lost.
        return CommitOutcome::Committed(current.version);
    }
    if current.version != expected {
        return CommitOutcome::Conflict {
            expected,
            found: current.version,
        };
    }
    let object = next_object(current.object, manifest, commit_id);
    let value = match serde_json::to_value(&object) {
        Ok(value) => value,
        Err(error) => return CommitOutcome::Unsure(StoreError::Form(error.to_string())),
    };
    match client.write(&manifest_id(manifest), expected, &value) {
        WriteOutcome::Written(version) => CommitOutcome::Committed(version),
        WriteOutcome::Conflict(found) => {
            after_conflict(client, manifest, expected, found, commit_id)
        }
        WriteOutcome::Unsure(error) => CommitOutcome::Unsure(error),
    }
}

fn has_commit(current: &CurrentManifest, commit_id: &str) -> bool {
    current.object.as_ref().is_some_and(|object| {
        object.commit == commit_id || object.earlier.iter().any(|id| id == commit_id)
    })
}

// The version that stood in the way may come from an earlier attempt of this
// commit that was still under way.
fn after_conflict(
    client: &StoreClient,
    manifest: &WireManifest,
    expected: ObjectVersion,
    found: ObjectVersion,
    commit_id: &str,
) -> CommitOutcome {
    match current(client, manifest) {
        Ok(current) if has_commit(&current, commit_id) => CommitOutcome::Committed(current.version),
        Ok(_) => CommitOutcome::Conflict { expected, found },
        Err(error) => CommitOutcome::Unsure(error),
    }
}

fn next_object(
    before: Option<ManifestObject>,
    manifest: &WireManifest,
    commit_id: &str,
) -> ManifestObject {
    let mut earlier = Vec::new();
    if let Some(object) = before {
        earlier.push(object.commit);
        earlier.extend(object.earlier);
        earlier.truncate(EARLIER_COMMITS);
    }
    ManifestObject {
        commit: CompactString::from(commit_id),
        earlier,
        manifest: manifest.clone(),
    }
}
