//! Conversion of the platform's objects into documents, and edits of rosters and
//! members.

use compact_str::CompactString;
use serde::de::DeserializeOwned;

use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, FirmManifest, MemberEdit, ObjectVersion, RosterEdit,
};
use chestnutlb_wire::manifest::shared_services;
use chestnutlb_wire::{
    ManifestObject, ObjectReply, WireEntry, WireGrants, WireHost, WireItem, WireMembers, WireRoster,
};

use crate::calls::{FeedObject, StoreCalls};
use crate::client::{StoreError, WriteOutcome};

/// Number of conflicts after which an edit ends with [`EditOutcome::Conflict`].
const MAX_CONFLICTS: usize = 5;

fn format_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Format(error.to_string())
}

fn parse_value<T: DeserializeOwned>(value: serde_json::Value) -> Result<T, StoreError> {
    serde_json::from_value(value).map_err(format_error)
}

/// Parses an object into the items of a document.
///
/// A single invalid item makes the whole object invalid, since an incomplete
/// roster is worse than an outdated one.
pub fn parse_items(
    kind: DocumentKind,
    value: serde_json::Value,
) -> Result<Vec<DocumentItem>, StoreError> {
    let wire: Vec<WireItem> = match kind {
        DocumentKind::Manifest => {
            let object: ManifestObject = parse_value(value)?;
            let manifest = FirmManifest::try_from(&object.manifest).map_err(format_error)?;
            let services = shared_services(manifest);
            return Ok(services.into_iter().map(DocumentItem::Service).collect());
        }
        DocumentKind::Grants => {
            let object: WireGrants = parse_value(value)?;
            object.grants.into_iter().map(WireItem::Grant).collect()
        }
        DocumentKind::Roster => {
            let object: WireRoster = parse_value(value)?;
            object.hosts.into_iter().map(WireItem::Host).collect()
        }
        DocumentKind::Members => {
            let object: WireMembers = parse_value(value)?;
            object.entries.into_iter().map(WireItem::Entry).collect()
        }
    };
    wire.iter()
        .map(|item| DocumentItem::try_from(item).map_err(format_error))
        .collect()
}

/// A document that was read or written.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadedDocument {
    /// Version of the document.
    pub version: ObjectVersion,
    /// Items of the document.
    pub items: Vec<DocumentItem>,
}

/// Parses an object of a feed into a document.
pub fn parse_feed_object(object: FeedObject) -> Result<LoadedDocument, StoreError> {
    Ok(LoadedDocument {
        version: object.version,
        items: parse_items(object.id.kind, object.value?)?,
    })
}

/// Reads a document; returns `None` if it does not exist.
pub fn load(
    client: &dyn StoreCalls,
    id: &DocumentId,
) -> Result<Option<LoadedDocument>, StoreError> {
    let Some(reply) = client.read(id)? else {
        return Ok(None);
    };
    Ok(Some(LoadedDocument {
        version: ObjectVersion(reply.version),
        items: parse_items(id.kind, reply.value)?,
    }))
}

/// The outcome of an edit of a roster or of members.
#[derive(Debug, Clone, PartialEq)]
pub enum EditOutcome {
    /// The document after the edit; no write was needed if it was up to date.
    Done(LoadedDocument),
    /// Each write conflicted with a change by another writer.
    Conflict,
    /// The edit may or may not have taken effect.
    Unknown(StoreError),
}

/// Applies edits to the roster of a data centre.
///
/// Hosts are added or replaced only in the version `base`, from which the edits were
/// derived: a later version may lack a host because it has left. The outcome then contains
/// that version, for new edits to be derived from it. An object that does not exist has the
/// same version in all eras of the store.
pub fn edit_roster(
    client: &dyn StoreCalls,
    id: &DocumentId,
    base: ObjectVersion,
    edits: &[RosterEdit],
) -> EditOutcome {
    let is_base =
        |version: ObjectVersion| version == base || (version.is_absent() && base.is_absent());
    edit(client, id, base, |version, value| {
        let mut roster: WireRoster = value.map_or(Ok(WireRoster::default()), parse_value)?;
        for edit in edits {
            match edit {
                RosterEdit::Put(record) if is_base(version) => {
                    put_host(&mut roster.hosts, record.into());
                }
                RosterEdit::Put(_) => {}
                RosterEdit::Remove(record) => roster.hosts.retain(|host| {
                    host.name != record.name.as_str() || host.incarnation > record.incarnation.0
                }),
            }
        }
        roster
            .hosts
            .sort_by(|host, other| host.name.cmp(&other.name));
        serde_json::to_value(roster).map_err(format_error)
    })
}

// Inserts or replaces a host; an earlier incarnation never replaces a later one.
fn put_host(hosts: &mut Vec<WireHost>, host: WireHost) {
    match hosts.iter_mut().find(|listed| listed.name == host.name) {
        Some(listed) if listed.incarnation > host.incarnation => {}
        Some(listed) => *listed = host,
        None => hosts.push(host),
    }
}

/// Applies edits to the entry VMs of a data centre, which were derived from the version `base`.
pub fn edit_members(
    client: &dyn StoreCalls,
    id: &DocumentId,
    base: ObjectVersion,
    edits: &[MemberEdit],
) -> EditOutcome {
    edit(client, id, base, |_, value| {
        let mut members: WireMembers = value.map_or(Ok(WireMembers::default()), parse_value)?;
        for edit in edits {
            match edit {
                MemberEdit::Put(record) => {
                    let entry = WireEntry::from(record);
                    members.entries.retain(|listed| listed.name != entry.name);
                    members.entries.push(entry);
                }
                MemberEdit::Remove(record) => {
                    let entry = WireEntry::from(record);
                    members.entries.retain(|listed| {
                        listed.name != entry.name || listed.incarnation > entry.incarnation
                    });
                }
            }
        }
        members
            .entries
            .sort_by(|entry, other| entry.name.cmp(&other.name));
        serde_json::to_value(members).map_err(format_error)
    })
}

// Edits an object of version `oldest` or later.
fn edit(
    client: &dyn StoreCalls,
    id: &DocumentId,
    oldest: ObjectVersion,
    apply: impl Fn(ObjectVersion, Option<serde_json::Value>) -> Result<serde_json::Value, StoreError>,
) -> EditOutcome {
    // The cached object saves a read. If it is outdated, the write conflicts and the
    // next attempt takes the object of that answer, or reads it.
    let mut known = client
        .cached_object(id)
        .filter(|object| object.version >= oldest.0);
    let mut is_cached = known.is_some();
    for _ in 0..MAX_CONFLICTS {
        let current = match known.take() {
            Some(object) => Some(object),
            None => match client.read(id) {
                Ok(current) => current,
                Err(error) => return EditOutcome::Unknown(error),
            },
        };
        let (version, value) = match current {
            Some(ObjectReply { version, value }) => (ObjectVersion(version), Some(value)),
            None => (ObjectVersion(0), None),
        };
        let next = match apply(version, value.clone()) {
            Ok(next) => next,
            Err(error) => return EditOutcome::Unknown(error),
        };
        let written = if value.as_ref() == Some(&next) {
            if std::mem::take(&mut is_cached) {
                // The stored object may lack the edit: others may have changed it since.
                continue;
            }
            WriteOutcome::Written(version)
        } else {
            client.write(id, version, &next)
        };
        match written {
            WriteOutcome::Written(version) => {
                return match parse_items(id.kind, next) {
                    Ok(items) => EditOutcome::Done(LoadedDocument { version, items }),
                    Err(error) => EditOutcome::Unknown(error),
                };
            }
            WriteOutcome::Conflict(ObjectVersion(version), content) => {
                known = content.map(|value| ObjectReply { version, value });
            }
            // A write of which the revision may have matched by accident is read back.
            WriteOutcome::Unknown(StoreError::Restored) => {}
            WriteOutcome::Unknown(error) => return EditOutcome::Unknown(error),
        }
        is_cached = false;
    }
    EditOutcome::Conflict
}

/// Reads the grants of addresses; returns `None` if the platform stores none.
pub fn load_grants(client: &dyn StoreCalls) -> Result<Option<WireGrants>, StoreError> {
    match client.read(&grants_id())? {
        Some(reply) => parse_value(reply.value).map(Some),
        None => Ok(None),
    }
}

/// Returns the id of the single object that holds all grants.
pub fn grants_id() -> DocumentId {
    DocumentId {
        kind: DocumentKind::Grants,
        name: CompactString::from("all"),
    }
}
