//! Documents as objects of the platform, and changes of rosters and members.

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

/// Conflicts after which a change is left to its next attempt.
const MAX_CONFLICTS: usize = 5;

fn form(error: impl std::fmt::Display) -> StoreError {
    StoreError::Form(error.to_string())
}

fn parse<T: DeserializeOwned>(value: serde_json::Value) -> Result<T, StoreError> {
    serde_json::from_value(value).map_err(form)
}

/// Takes an object apart into the items of a document. An item that can't be
/// read makes the whole object unreadable: half a roster is worse than an old
/// one.
pub fn parse_items(
    kind: DocumentKind,
    value: serde_json::Value,
) -> Result<Vec<DocumentItem>, StoreError> {
    let wire: Vec<WireItem> = match kind {
        DocumentKind::Manifest => {
            let object: ManifestObject = parse(value)?;
            let manifest = FirmManifest::try_from(&object.manifest).map_err(form)?;
            let services = shared_services(manifest);
            return Ok(services.into_iter().map(DocumentItem::Service).collect());
        }
        DocumentKind::Grants => {
            let object: WireGrants = parse(value)?;
            object.grants.into_iter().map(WireItem::Grant).collect()
        }
        DocumentKind::Roster => {
            let object: WireRoster = parse(value)?;
            object.hosts.into_iter().map(WireItem::Host).collect()
        }
        DocumentKind::Members => {
            let object: WireMembers = parse(value)?;
            object.entries.into_iter().map(WireItem::Entry).collect()
        }
    };
    wire.iter()
        .map(|item| DocumentItem::try_from(item).map_err(form))
        .collect()
}

/// A document that was read or written.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadedDocument {
    /// Its version.
    pub version: ObjectVersion,
    /// Its items.
    pub items: Vec<DocumentItem>,
}

/// Takes an object of a feed apart.
pub fn parse_feed_object(object: FeedObject) -> Result<LoadedDocument, StoreError> {
    Ok(LoadedDocument {
        version: object.version,
        items: parse_items(object.id.kind, object.value?)?,
    })
}

/// Reads a document; none if it does not exist.
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

/// The outcome of a change of a roster or of members.
#[derive(Debug, Clone, PartialEq)]
pub enum EditOutcome {
    /// The document after the change; it may have needed none.
    Done(LoadedDocument),
    /// Others kept changing it.
    Conflict,
    /// It may have taken effect or not.
    Unsure(StoreError),
}

/// Changes a roster.
pub fn edit_roster(client: &dyn StoreCalls, id: &DocumentId, edits: &[RosterEdit]) -> EditOutcome {
    edit(client, id, |value| {
        let mut roster: WireRoster = value.map_or(Ok(WireRoster::default()), parse)?;
        for edit in edits {
            match edit {
                RosterEdit::Put(record) => put_host(&mut roster.hosts, record.into()),
                RosterEdit::Remove(record) => roster.hosts.retain(|host| {
                    host.name != record.name.as_str() || host.incarnation > record.incarnation.0
                }),
            }
        }
        roster
            .hosts
            .sort_by(|host, other| host.name.cmp(&other.name));
        serde_json::to_value(roster).map_err(form)
    })
}

// An earlier start of a host never replaces a later one.
fn put_host(hosts: &mut Vec<WireHost>, host: WireHost) {
    match hosts.iter_mut().find(|known| known.name == host.name) {
        Some(known) if known.incarnation > host.incarnation => {}
        Some(known) => *known = host,
        None => hosts.push(host),
    }
}

/// Changes the entry VMs of a data centre.
pub fn edit_members(client: &dyn StoreCalls, id: &DocumentId, edits: &[MemberEdit]) -> EditOutcome {
    edit(client, id, |value| {
        let mut members: WireMembers = value.map_or(Ok(WireMembers::default()), parse)?;
        for edit in edits {
            match edit {
                MemberEdit::Put(record) => {
                    let entry = WireEntry::from(record);
                    members.entries.retain(|known| known.name != entry.name);
                    members.entries.push(entry);
                }
                MemberEdit::Remove(record) => {
                    let entry = WireEntry::from(record);
                    members.entries.retain(|known| {
                        known.name != entry.name || known.incarnation > entry.incarnation
                    });
                }
            }
        }
        members
            .entries
            .sort_by(|entry, other| entry.name.cmp(&other.name));
        serde_json::to_value(members).map_err(form)
    })
}

fn edit(
    client: &dyn StoreCalls,
    id: &DocumentId,
    change: impl Fn(Option<serde_json::Value>) -> Result<serde_json::Value, StoreError>,
) -> EditOutcome {
    // What was seen last saves a call; a conflict shows that it is outdated.
    let mut cached = client.cached_object(id);
    for _ in 0..MAX_CONFLICTS {
        let current = match cached.take() {
            Some(known) => Some(known),
            None => match client.read(id) {
                Ok(current) => current,
                Err(error) => return EditOutcome::Unsure(error),
            },
        };
        let (version, value) = match current {
            Some(ObjectReply { version, value }) => (ObjectVersion(version), Some(value)),
            None => (ObjectVersion(0), None),
        };
        let next = match change(value.clone()) {
            Ok(next) => next,
            Err(error) => return EditOutcome::Unsure(error),
        };
        let written = if value.as_ref() == Some(&next) {
            WriteOutcome::Written(version)
        } else {
            client.write(id, version, &next)
        };
        match written {
            WriteOutcome::Written(version) => {
                return match parse_items(id.kind, next) {
                    Ok(items) => EditOutcome::Done(LoadedDocument { version, items }),
                    Err(error) => EditOutcome::Unsure(error),
                };
            }
            WriteOutcome::Conflict(_) => {}
            WriteOutcome::Unsure(error) => return EditOutcome::Unsure(error),
        }
    }
    EditOutcome::Conflict
}

/// The grants of addresses; none if the platform has none.
pub fn load_grants(client: &dyn StoreCalls) -> Result<Option<WireGrants>, StoreError> {
    match client.read(&grants_id())? {
        Some(reply) => parse(reply.value).map(Some),
        None => Ok(None),
    }
}

/// The one object of grants.
pub fn grants_id() -> DocumentId {
    DocumentId {
        kind: DocumentKind::Grants,
        name: CompactString::from("all"),
    }
}
