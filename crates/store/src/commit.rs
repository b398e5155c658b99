//! Commits of manifests.
//!
//! A commit is conditional on the version that the operator saw, and carries
//! an id. If the response to a write is lost, the object is read again: it
//! contains the id if and only if the write took effect. If the platform was restored from an
//! older copy, the id of a commit that it lost is missing too: the commit conflicts.

use std::time::Duration;

use compact_str::CompactString;

use chestnutlb_core::{DocumentId, DocumentKind, FirmManifest, ManifestChange, ObjectVersion};
use chestnutlb_wire::object::MAX_EARLIER_COMMITS;
use chestnutlb_wire::{DocumentError, ManifestObject, WireManifest};

use crate::calls::StoreCalls;
use crate::client::{StoreClient, StoreError, WriteOutcome};
use crate::objects::load_grants;

/// Maximum number of attempts while the outcome of a commit is unknown.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before the first retry; it grows by the same amount with each retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The manifest that the platform stores.
#[derive(Debug, Clone, PartialEq)]
pub struct CurrentManifest {
    /// Its version, zero if there is none.
    pub version: ObjectVersion,
    /// The stored object, if there is one.
    pub object: Option<ManifestObject>,
}

/// The changes that a commit would make.
#[derive(Debug, Clone, PartialEq)]
pub struct CommitPlan {
    /// Version that the commit would replace, zero if there is none.
    pub base: ObjectVersion,
    /// The changes.
    pub changes: Vec<ManifestChange>,
}

/// The outcome of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The platform stores the manifest with this version.
    Committed(ObjectVersion),
    /// Another commit changed the manifest first.
    Conflict {
        /// Version that the commit was to replace.
        expected: ObjectVersion,
        /// Version that the platform stores.
        found: ObjectVersion,
    },
    /// The manifest failed a check.
    Refused(DocumentError),
    /// The platform stores no grants of addresses yet.
    NoGrants,
    /// The commit may or may not have taken effect, since the platform does not
    /// respond.
    Unknown(StoreError),
}

fn manifest_id(manifest: &WireManifest) -> DocumentId {
    DocumentId::new(DocumentKind::Manifest, &manifest.firm)
}

/// Reads the stored manifest of the firm that `manifest` belongs to.
pub fn current(
    client: &StoreClient,
    manifest: &WireManifest,
) -> Result<CurrentManifest, StoreError> {
    match client.read(&manifest_id(manifest))? {
        Some(reply) => {
            let object = serde_json::from_value(reply.value)
                .map_err(|error| StoreError::Format(error.to_string()))?;
            Ok(CurrentManifest {
                version: reply.version,
                object: Some(object),
            })
        }
        None => Ok(CurrentManifest {
            version: ObjectVersion(0),
            object: None,
        }),
    }
}

/// Returns the changes that a commit of the checked manifest `next` would make.
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

/// Commits a manifest if the stored one has the version `expected`.
///
/// Repeats the attempt while its outcome is unknown.
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
    let mut last_error = StoreError::Status(0);
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            std::thread::sleep(RETRY_DELAY * attempt);
        }
        match try_commit(client, manifest, &checked, expected, commit_id) {
            CommitOutcome::Unknown(error) => last_error = error,
            outcome => return outcome,
        }
    }
    CommitOutcome::Unknown(last_error)
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
        Err(error) => return CommitOutcome::Unknown(error),
    }
    let current = match current(client, manifest) {
        Ok(current) => current,
        Err(error) => return CommitOutcome::Unknown(error),
    };
    if has_commit(&current, commit_id) {
        // An earlier attempt took effect although its response was lost.
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
        Err(error) => return CommitOutcome::Unknown(StoreError::Format(error.to_string())),
    };
    match client.write(&manifest_id(manifest), expected, &value) {
        WriteOutcome::Written(version) => CommitOutcome::Committed(version),
        WriteOutcome::Conflict(found, _) => {
            resolve_conflict(client, manifest, expected, found, commit_id)
        }
        WriteOutcome::Unknown(error) => CommitOutcome::Unknown(error),
    }
}

fn has_commit(current: &CurrentManifest, commit_id: &str) -> bool {
    current.object.as_ref().is_some_and(|object| {
        object.commit == commit_id || object.earlier.iter().any(|id| id == commit_id)
    })
}

// The conflicting version may come from an earlier attempt of this commit that
// was still in flight.
fn resolve_conflict(
    client: &StoreClient,
    manifest: &WireManifest,
    expected: ObjectVersion,
    found: ObjectVersion,
    commit_id: &str,
) -> CommitOutcome {
    match current(client, manifest) {
        Ok(current) if has_commit(&current, commit_id) => CommitOutcome::Committed(current.version),
        Ok(current) => {
            // After a restore of the platform, the conflict does not state the version.
            let found = if found.is_absent() {
                current.version
            } else {
                found
            };
            CommitOutcome::Conflict { expected, found }
        }
        Err(error) => CommitOutcome::Unknown(error),
    }
}

fn next_object(
    previous: Option<ManifestObject>,
    manifest: &WireManifest,
    commit_id: &str,
) -> ManifestObject {
    let mut earlier = Vec::new();
    if let Some(object) = previous {
        earlier.push(object.commit);
        earlier.extend(object.earlier);
        earlier.truncate(MAX_EARLIER_COMMITS);
    }
    ManifestObject {
        commit: CompactString::from(commit_id),
        earlier,
        manifest: manifest.clone(),
    }
}
