//! Versioned documents: what entry VMs spread among themselves.
//!
//! A document is an object of the platform, taken apart into items. Each item
//! remembers the version in which it last changed, so that a node which is
//! behind gets just what it lacks. Versions only grow; an older document is
//! never taken.

use std::collections::BTreeMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::ids::{FirmName, ObjectVersion, ServiceId};
use crate::manifest::{AddressBlock, ServiceSpec};
use crate::members::EntryRecord;
use crate::roster::HostRecord;

/// Removed items that a document remembers.
pub const TOMBSTONE_LIMIT: usize = 1024;

/// The kinds of documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// Which firm owns which addresses.
    Grants,
    /// A firm's manifest.
    Manifest,
    /// The hosts of a data centre.
    Roster,
    /// The entry VMs of a data centre.
    Members,
}

impl DocumentKind {
    /// Every kind.
    pub const ALL: [DocumentKind; 4] = [Self::Grants, Self::Manifest, Self::Roster, Self::Members];

    /// Its name among the platform's objects.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Grants => "grants",
            Self::Manifest => "manifest",
            Self::Roster => "roster",
            Self::Members => "members",
        }
    }
}

/// Names a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentId {
    /// Its kind.
    pub kind: DocumentKind,
    /// The firm or data centre.
    pub name: CompactString,
}

impl DocumentId {
    /// The document of this kind and name.
    pub fn new(kind: DocumentKind, name: &str) -> Self {
        Self {
            kind,
            name: CompactString::from(name),
        }
    }
}

impl fmt::Display for DocumentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// What a document consists of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentItem {
    /// A block of addresses; the key is the block, the item its firm.
    Grant(AddressBlock, CompactString),
    /// A service.
    Service(Arc<ServiceSpec>),
    /// A host.
    Host(Arc<HostRecord>),
    /// An entry VM.
    Entry(EntryRecord),
}

impl DocumentItem {
    /// The key of the item within its document.
    pub fn key(&self) -> CompactString {
        match self {
            Self::Grant(block, _) => CompactString::from(block.to_string()),
            Self::Service(spec) => spec.id.service.clone().into(),
            Self::Host(record) => record.name.clone().into(),
            Self::Entry(record) => record.name.clone().into(),
        }
    }
}

/// An item with the version in which it last changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedItem {
    /// Version of the last change.
    pub changed_in: ObjectVersion,
    /// The item.
    pub item: DocumentItem,
}

/// How one item changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemChange {
    /// The item before, none if it is new.
    pub old: Option<DocumentItem>,
    /// The item now, none if it was removed.
    pub new: Option<DocumentItem>,
}

/// What a node lacks of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentPatch {
    /// The document.
    pub id: DocumentId,
    /// The version that the receiver must have at least; none if the patch
    /// is the whole document.
    pub since: Option<ObjectVersion>,
    /// The version after the patch.
    pub version: ObjectVersion,
    /// New and changed items.
    pub items: Vec<VersionedItem>,
    /// Keys of removed items, with the version that removed them.
    pub removed: Vec<(CompactString, ObjectVersion)>,
}

/// A document as one node has it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedDocument {
    version: ObjectVersion,
    items: BTreeMap<CompactString, VersionedItem>,
    removed: BTreeMap<CompactString, ObjectVersion>,
    // Removals up to this version have been forgotten.
    forgotten: ObjectVersion,
}

impl VersionedDocument {
    /// The version.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// The items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &DocumentItem> {
        self.items.values().map(|versioned| &versioned.item)
    }

    /// One item.
    pub fn item(&self, key: &str) -> Option<&DocumentItem> {
        self.items.get(key).map(|versioned| &versioned.item)
    }

    /// Takes the whole content of a version from the platform. Returns what
    /// changed, none if the version is not newer.
    pub fn replace(
        &mut self,
        version: ObjectVersion,
        items: Vec<DocumentItem>,
    ) -> Option<Vec<ItemChange>> {
        if version <= self.version {
            return None;
        }
        let mut changes = Vec::new();
        let mut old = std::mem::take(&mut self.items);
        for item in items {
            let key = item.key();
            let known = old.remove(&key);
            if let Some(versioned) = &known
                && versioned.item == item
            {
                self.items.insert(key, versioned.clone());
                continue;
            }
            changes.push(ItemChange {
                old: known.map(|versioned| versioned.item),
                new: Some(item.clone()),
            });
            self.removed.remove(&key);
            let changed_in = version;
            self.items.insert(key, VersionedItem { changed_in, item });
        }
        for (key, versioned) in old {
            self.removed.insert(key, version);
            changes.push(ItemChange {
                old: Some(versioned.item),
                new: None,
            });
        }
        self.version = version;
        self.forget_removals();
        Some(changes)
    }

    fn forget_removals(&mut self) {
        while self.removed.len() > TOMBSTONE_LIMIT {
            let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
            let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else {
                return;
            };
            self.removed.remove(&key);
            self.forgotten = self.forgotten.max(version);
        }
    }

    /// What a node at version `since` lacks; none if it lacks nothing.
    pub fn patch(&self, id: &DocumentId, since: ObjectVersion) -> Option<DocumentPatch> {
        if since >= self.version {
            return None;
        }
        let whole = since.0 == 0 || since < self.forgotten;
        let items = self
            .items
            .values()
            .filter(|versioned| whole || versioned.changed_in > since)
            .cloned()
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, version)| !whole && **version > since)
            .map(|(key, version)| (key.clone(), *version))
            .collect();
        Some(DocumentPatch {
            id: id.clone(),
            since: (!whole).then_some(since),
            version: self.version,
            items,
            removed,
        })
    }

    /// Applies a patch from a peer. Returns what changed, none if it is not
    /// newer or does not fit.
    pub fn apply(&mut self, patch: DocumentPatch) -> Option<Vec<ItemChange>> {
        if patch.version <= self.version || patch.since.is_some_and(|since| since > self.version) {
            return None;
        }
        let mut gone = if patch.since.is_none() {
            self.removed.clear();
            self.forgotten = patch.version;
            std::mem::take(&mut self.items)
        } else {
            BTreeMap::new()
        };
        let mut changes = Vec::new();
        for versioned in patch.items {
            let key = versioned.item.key();
            self.removed.remove(&key);
            let new = versioned.item.clone();
            let known = self.items.insert(key.clone(), versioned);
            let old = known.or_else(|| gone.remove(&key));
            if old.as_ref().is_none_or(|old| old.item != new) {
                changes.push(ItemChange {
                    old: old.map(|versioned| versioned.item),
                    new: Some(new),
                });
            }
        }
        for (key, version) in patch.removed {
            if let Some(versioned) = self.items.remove(&key) {
                gone.insert(key.clone(), versioned);
            }
            self.removed.insert(key, version);
        }
        changes.extend(gone.into_values().map(|versioned| ItemChange {
            old: Some(versioned.item),
            new: None,
        }));
        self.version = patch.version;
        self.forget_removals();
        Some(changes)
    }
}

/// All documents of a node. A copy shares the documents that do not change.
#[derive(Debug, Clone, Default)]
pub struct DocumentStore {
    documents: BTreeMap<DocumentId, Arc<VersionedDocument>>,
}

impl DocumentStore {
    /// Every document with its id.
    pub fn iter(&self) -> impl Iterator<Item = (&DocumentId, &VersionedDocument)> {
        self.documents
            .iter()
            .map(|(id, document)| (id, document.as_ref()))
    }

    /// One document.
    pub fn get(&self, id: &DocumentId) -> Option<&VersionedDocument> {
        self.documents.get(id).map(Arc::as_ref)
    }

    /// One document, empty if it was not known.
    pub fn get_mut(&mut self, id: &DocumentId) -> &mut VersionedDocument {
        Arc::make_mut(self.documents.entry(id.clone()).or_default())
    }

    /// The version of a document, zero if it is not known.
    pub fn version(&self, id: &DocumentId) -> ObjectVersion {
        self.get(id)
            .map_or(ObjectVersion(0), |document| document.version)
    }

    /// Items of all documents of a kind.
    pub fn items(&self, kind: DocumentKind) -> impl Iterator<Item = &DocumentItem> {
        self.documents
            .iter()
            .filter(move |(id, _)| id.kind == kind)
            .flat_map(|(_, document)| document.items())
    }

    /// The highest version of a kind's documents.
    pub fn generation(&self, kind: DocumentKind) -> ObjectVersion {
        self.documents
            .iter()
            .filter(|(id, _)| id.kind == kind)
            .map(|(_, document)| document.version)
            .max()
            .unwrap_or_default()
    }

    /// Every document with its version.
    pub fn digest(&self) -> Vec<(DocumentId, ObjectVersion)> {
        self.documents
            .iter()
            .map(|(id, document)| (id.clone(), document.version))
            .collect()
    }

    /// Hash of all versions, by which two nodes see whether they differ.
    pub fn summary(&self) -> u64 {
        let mut summary = 0u64;
        for (id, document) in &self.documents {
            let line = format!("{id}@{}", document.version);
            summary ^= xxhash_rust::xxh3::xxh3_64(line.as_bytes());
        }
        summary
    }

    /// A service as its firm's manifest has it, with the manifest's version.
    pub fn service(&self, id: &ServiceId) -> Option<(Arc<ServiceSpec>, ObjectVersion)> {
        let manifest = DocumentId::new(DocumentKind::Manifest, id.firm.as_str());
        let document = self.get(&manifest)?;
        match document.item(id.service.as_str())? {
            DocumentItem::Service(spec) if spec.id == *id => {
                Some((Arc::clone(spec), document.version))
            }
            _ => None,
        }
    }
}

/// Which firm owns which addresses, for look-ups.
#[derive(Debug, Clone, Default)]
pub struct GrantIndex {
    blocks: BTreeMap<Ipv4Addr, (AddressBlock, CompactString)>,
}

impl GrantIndex {
    /// The index of these grants. Blocks that overlap another one are nobody's.
    pub fn build<'a>(items: impl Iterator<Item = &'a DocumentItem>) -> Self {
        let mut grants: Vec<_> = items
            .filter_map(|item| match item {
                DocumentItem::Grant(block, firm) => Some((*block, firm.clone())),
                _ => None,
            })
            .collect();
        grants.sort_unstable();
        let overlaps = |place: usize, other: usize| {
            grants
                .get(other)
                .is_some_and(|(block, _)| grants[place].0.overlaps(block))
        };
        let blocks = (0..grants.len())
            .filter(|place| {
                !overlaps(*place, place.wrapping_sub(1)) && !overlaps(*place, place + 1)
            })
            .map(|place| (grants[place].0.base(), grants[place].clone()))
            .collect();
        Self { blocks }
    }

    /// Whether a firm owns an address.
    pub fn owns(&self, firm: &FirmName, address: Ipv4Addr) -> bool {
        self.blocks
            .range(..=address)
            .next_back()
            .is_some_and(|(_, (block, owner))| block.contains(address) && owner == firm.as_str())
    }
}
