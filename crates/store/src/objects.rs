//! Conversion of the platform's objects into documents, and edits of rosters and
//! members.

use std::sync::Arc;

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde_json::Value;

use chestnutlb_core::{
    DatacenterName, DocumentId, DocumentItem, DocumentKind, MemberEdit, ObjectVersion, RosterEdit,
    UnreadableItems,
};
use chestnutlb_wire::manifest::shared_services;
use chestnutlb_wire::{DocumentError, ManifestObject, WireDrain, WireGrants, WireItem};

use crate::calls::{FeedObject, ReadObject, StoreCalls};
use crate::client::{StoreError, WriteOutcome};
use crate::stored_list::StoredList;

/// Number of conflicts after which an edit ends with [`EditOutcome::Conflict`].
const MAX_CONFLICTS: usize = 5;

fn format_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Format(error.to_string())
}

fn parse_value<T: DeserializeOwned>(value: serde_json::Value) -> Result<T, StoreError> {
    serde_json::from_value(value).map_err(format_error)
}

// Parses an object into a document of this version.
//
// Grants are valid as a whole. Services of a manifest, and items of rosters and members, that can't
// be read are left out.
fn parse_document(
    id: &DocumentId,
    version: ObjectVersion,
    value: Value,
) -> Result<LoadedDocument, StoreError> {
    let items = match id.kind {
        DocumentKind::Manifest => return parse_manifest(version, value),
        DocumentKind::Grants => {
            let object: WireGrants = parse_value(value)?;
            let grants = object.grants.into_iter().map(WireItem::Grant);
            grants
                .map(|grant| DocumentItem::try_from(&grant).map_err(format_error))
                .collect::<Result<_, _>>()?
        }
        DocumentKind::Drain => {
            let object: WireDrain = parse_value(value)?;
            let datacenter = id.name.parse().map_err(format_error)?;
            let drained = object.drained.then_some(DocumentItem::Drain(datacenter));
            drained.into_iter().collect()
        }
        DocumentKind::Roster | DocumentKind::Members => {
            return Ok(StoredList::new(id, Some(value)).into_document(version));
        }
    };
    Ok(LoadedDocument {
        version,
        items,
        unreadable: UnreadableItems::default(),
        cause: None,
    })
}

fn parse_manifest(version: ObjectVersion, value: Value) -> Result<LoadedDocument, StoreError> {
    let object: ManifestObject = parse_value(value)?;
    let (manifest, rejected) = object.manifest.check_services().map_err(format_error)?;
    let mut unreadable = UnreadableItems::default();
    let cause = rejected.first().map(|service| service.error.clone());
    let names = rejected.into_iter().map(|service| service.name);
    unreadable.keys.extend(names);
    let services = shared_services(manifest).into_iter();
    Ok(LoadedDocument {
        version,
        items: services.map(DocumentItem::Service).collect(),
        unreadable,
        cause,
    })
}

/// A document that was read or written.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadedDocument {
    /// Version of the document.
    pub version: ObjectVersion,
    /// Items of the document.
    pub items: Vec<DocumentItem>,
    /// Items that can't be read.
    pub unreadable: UnreadableItems,
    /// What is wrong with the first of them, if known.
    pub cause: Option<DocumentError>,
}

/// Parses an object of a feed into a document.
pub fn parse_feed_object(object: FeedObject) -> Result<LoadedDocument, StoreError> {
    let mut loaded = parse_document(&object.id, object.version, object.value?)?;
    loaded.unreadable.unnamed += object.unreadable;
    Ok(loaded)
}

/// Reads a document; returns `None` if it does not exist.
pub fn load(
    client: &dyn StoreCalls,
    id: &DocumentId,
) -> Result<Option<LoadedDocument>, StoreError> {
    let Some(reply) = client.read(id)? else {
        return Ok(None);
    };
    parse_document(id, reply.version, reply.value).map(Some)
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
        let mut roster = StoredList::new(id, value);
        for edit in edits {
            let record = DocumentItem::Host(Arc::new(edit.record().clone()));
            match edit {
                RosterEdit::Put(_) if is_base(version) => roster.put_incarnation(record),
                RosterEdit::Put(_) => {}
                RosterEdit::Remove(_) => roster.remove(&record),
            }
        }
        roster.into_value()
    })
}

/// Applies edits to the entry VMs of a data centre, which were derived from the version `base`.
pub fn edit_members(
    client: &dyn StoreCalls,
    id: &DocumentId,
    base: ObjectVersion,
    edits: &[MemberEdit],
) -> EditOutcome {
    edit(client, id, base, |_, value| {
        let mut members = StoredList::new(id, value);
        for edit in edits {
            match edit {
                MemberEdit::Put(record) => members.put(DocumentItem::Entry(record.clone())),
                MemberEdit::Remove(record) => {
                    members.remove(&DocumentItem::Entry(record.clone()));
                }
            }
        }
        members.into_value()
    })
}

/// Removes the records that can't be read from a roster or members document, if it still has the
/// version `base`.
pub fn remove_unreadable(
    client: &dyn StoreCalls,
    id: &DocumentId,
    base: ObjectVersion,
) -> EditOutcome {
    edit(client, id, base, |version, value| {
        let mut stored = StoredList::new(id, value);
        if version == base {
            stored.remove_unreadable();
        }
        stored.into_value()
    })
}

/// Drains a data centre or takes it back. A repetition changes nothing.
pub fn set_drained(
    client: &dyn StoreCalls,
    datacenter: &DatacenterName,
    drained: bool,
) -> EditOutcome {
    let id = DocumentId::new(DocumentKind::Drain, datacenter.as_str());
    edit(client, &id, ObjectVersion(0), |_, _| {
        serde_json::to_value(WireDrain { drained }).map_err(format_error)
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
        .filter(|object| object.version >= oldest);
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
            Some(ReadObject { version, value }) => (version, Some(value)),
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
                return match parse_document(id, version, next) {
                    Ok(loaded) => EditOutcome::Done(loaded),
                    Err(error) => EditOutcome::Unknown(error),
                };
            }
            WriteOutcome::Conflict(version, content) => {
                known = content.map(|value| ReadObject { version, value });
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
