//! Versioned documents that entry VMs propagate to each other.
//!
//! A document is an object of the platform, split into items. Each item carries
//! the version in which it last changed, so that a node with an older version
//! receives only the items that it lacks. Versions only increase; an older
//! document never replaces a newer one.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::ids::{DatacenterName, FirmName, ObjectVersion, ServiceId};
use crate::manifest::{AddressBlock, ServiceSpec};
use crate::members::EntryRecord;
use crate::roster::HostRecord;

/// Maximum number of removed items that a document keeps tombstones of.
pub const TOMBSTONE_LIMIT: usize = 1024;

/// Maximum number of versions, the newest ones, that a document remembers to have held.
pub const HELD_VERSION_LIMIT: usize = 64;

/// The kinds of documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// Address blocks granted to firms.
    Grants,
    /// A firm's manifest.
    Manifest,
    /// The hosts of a data centre.
    Roster,
    /// The entry VMs of a data centre.
    Members,
    /// Whether operators have drained a data centre.
    Drain,
}

impl DocumentKind {
    /// All kinds.
    pub const ALL: [DocumentKind; 5] = [
        Self::Grants,
        Self::Manifest,
        Self::Roster,
        Self::Members,
        Self::Drain,
    ];

    /// Returns whether operators write documents of this kind.
    pub fn is_of_operators(self) -> bool {
        matches!(self, Self::Grants | Self::Manifest | Self::Drain)
    }

    /// Returns the name of the kind in the platform's object names.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Grants => "grants",
            Self::Manifest => "manifest",
            Self::Roster => "roster",
            Self::Members => "members",
            Self::Drain => "drain",
        }
    }
}

/// Identifies a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentId {
    /// The kind of the document.
    pub kind: DocumentKind,
    /// The firm or data centre that the document belongs to.
    pub name: CompactString,
}

impl DocumentId {
    /// Creates the id of the document of this kind and name.
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

/// One item of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentItem {
    /// A block of addresses and the firm that it is granted to; the block is the key.
    Grant(AddressBlock, CompactString),
    /// A service.
    Service(Arc<ServiceSpec>),
    /// A host.
    Host(Arc<HostRecord>),
    /// An entry VM.
    Entry(EntryRecord),
    /// A drained data centre: its hosts get no new flows.
    Drain(DatacenterName),
}

impl DocumentItem {
    /// Returns the key of the item within its document.
    pub fn key(&self) -> CompactString {
        match self {
            Self::Grant(block, _) => CompactString::from(block.to_string()),
            Self::Service(spec) => spec.id.service.clone().into(),
            Self::Host(record) => record.name.clone().into(),
            Self::Entry(record) => record.name.clone().into(),
            Self::Drain(datacenter) => datacenter.clone().into(),
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

/// Change of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemChange {
    /// The item before the change, or `None` if it is new.
    pub old: Option<DocumentItem>,
    /// The item after the change, or `None` if it was removed.
    pub new: Option<DocumentItem>,
}

/// The difference between two versions of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentPatch {
    /// The document that the patch applies to.
    pub id: DocumentId,
    /// The version that the receiver must have, or `None` if the patch contains the
    /// whole document.
    pub since: Option<ObjectVersion>,
    /// The version after applying the patch.
    pub version: ObjectVersion,
    /// New and changed items.
    pub items: Vec<VersionedItem>,
    /// Keys of removed items with the version in which each was removed.
    pub removed: Vec<(CompactString, ObjectVersion)>,
}

impl DocumentPatch {
    /// Returns whether a document of this version can apply the patch. A difference needs
    /// exactly the version that it is based on: the sender may not know what a later
    /// version added.
    pub fn applies_to(&self, version: ObjectVersion) -> bool {
        self.version > version && self.since.is_none_or(|since| since == version)
    }
}

/// A document in the version held by one node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedDocument {
    version: ObjectVersion,
    items: BTreeMap<CompactString, VersionedItem>,
    removed: BTreeMap<CompactString, ObjectVersion>,
    // Versions that were held, oldest first. All changes and removals since each of them are
    // recorded; a node at any other version needs the whole document.
    held: VecDeque<ObjectVersion>,
}

impl VersionedDocument {
    /// Returns the version of the document.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Returns the items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &DocumentItem> {
        self.items.values().map(|versioned| &versioned.item)
    }

    /// Returns the item with this key.
    pub fn item(&self, key: &str) -> Option<&DocumentItem> {
        self.items.get(key).map(|versioned| &versioned.item)
    }

    /// Replaces the content by that of a version read from the platform. Returns the
    /// changes, or `None` if the version is not newer.
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
            let previous = old.remove(&key);
            if let Some(versioned) = &previous
                && versioned.item == item
            {
                self.items.insert(key, versioned.clone());
                continue;
            }
            changes.push(ItemChange {
                old: previous.map(|versioned| versioned.item),
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
        self.record_version(version);
        Some(changes)
    }

    fn record_version(&mut self, version: ObjectVersion) {
        self.version = version;
        self.held.push_back(version);
        if self.held.len() > HELD_VERSION_LIMIT {
            self.held.pop_front();
        }
        self.prune_removals();
    }

    fn prune_removals(&mut self) {
        while self.removed.len() > TOMBSTONE_LIMIT {
            let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
            let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else {
                return;
            };
            self.removed.remove(&key);
            // A node at an earlier version may have the item whose removal was pruned.
            self.held.retain(|held| *held >= version);
        }
    }

    /// Returns the patch for a node at version `since`, or `None` if this version is
    /// not newer. It is a difference only if this document has held that version.
    pub fn patch(&self, id: &DocumentId, since: ObjectVersion) -> Option<DocumentPatch> {
        if since >= self.version {
            return None;
        }
        let whole = !self.held.contains(&since);
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

    /// Applies a patch from a peer. Returns the changes, or `None` if the patch is not
    /// newer or is based on another version than the local one.
    pub fn apply(&mut self, patch: DocumentPatch) -> Option<Vec<ItemChange>> {
        if !patch.applies_to(self.version) {
            return None;
        }
        let mut dropped = if patch.since.is_none() {
            self.removed.clear();
            self.held.clear();
            std::mem::take(&mut self.items)
        } else {
            BTreeMap::new()
        };
        let mut changes = Vec::new();
        for versioned in patch.items {
            let key = versioned.item.key();
            self.removed.remove(&key);
            let new = versioned.item.clone();
            let previous = self.items.insert(key.clone(), versioned);
            let old = previous.or_else(|| dropped.remove(&key));
            if old.as_ref().is_none_or(|old| old.item != new) {
                changes.push(ItemChange {
                    old: old.map(|versioned| versioned.item),
                    new: Some(new),
                });
            }
        }
        for (key, version) in patch.removed {
            if let Some(versioned) = self.items.remove(&key) {
                dropped.insert(key.clone(), versioned);
            }
            self.removed.insert(key, version);
        }
        changes.extend(dropped.into_values().map(|versioned| ItemChange {
            old: Some(versioned.item),
            new: None,
        }));
        self.record_version(patch.version);
        Some(changes)
    }
}

/// Whether a data centre is drained, as of a version of its document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainNotice {
    /// Version of the document.
    pub version: ObjectVersion,
    /// Whether the hosts of the data centre get no new flows.
    pub drained: bool,
}

/// All documents of a node. Clones share each document until it is modified.
#[derive(Debug, Clone, Default)]
pub struct DocumentStore {
    documents: BTreeMap<DocumentId, Arc<VersionedDocument>>,
}

impl DocumentStore {
    /// Returns all documents with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&DocumentId, &VersionedDocument)> {
        self.documents
            .iter()
            .map(|(id, document)| (id, document.as_ref()))
    }

    /// Returns a document.
    pub fn get(&self, id: &DocumentId) -> Option<&VersionedDocument> {
        self.documents.get(id).map(Arc::as_ref)
    }

    /// Replaces the content of a document as [`VersionedDocument::replace`] does. A
    /// rejected version neither creates nor copies a document.
    pub fn replace(
        &mut self,
        id: &DocumentId,
        version: ObjectVersion,
        items: Vec<DocumentItem>,
    ) -> Option<Vec<ItemChange>> {
        if version <= self.version(id) {
            return None;
        }
        self.get_mut(id).replace(version, items)
    }

    /// Applies a patch as [`VersionedDocument::apply`] does. A rejected patch neither
    /// creates nor copies a document.
    pub fn apply(&mut self, patch: DocumentPatch) -> Option<Vec<ItemChange>> {
        if !patch.applies_to(self.version(&patch.id)) {
            return None;
        }
        self.get_mut(&patch.id).apply(patch)
    }

    fn get_mut(&mut self, id: &DocumentId) -> &mut VersionedDocument {
        Arc::make_mut(self.documents.entry(id.clone()).or_default())
    }

    /// Returns the version of a document, or zero if it is missing.
    pub fn version(&self, id: &DocumentId) -> ObjectVersion {
        self.get(id)
            .map_or(ObjectVersion(0), |document| document.version)
    }

    /// Returns the items of all documents of a kind.
    pub fn items(&self, kind: DocumentKind) -> impl Iterator<Item = &DocumentItem> {
        self.documents
            .iter()
            .filter(move |(id, _)| id.kind == kind)
            .flat_map(|(_, document)| document.items())
    }

    /// Returns the highest version among the documents of a kind.
    pub fn generation(&self, kind: DocumentKind) -> ObjectVersion {
        self.documents
            .iter()
            .filter(|(id, _)| id.kind == kind)
            .map(|(_, document)| document.version)
            .max()
            .unwrap_or_default()
    }

    /// Returns the ids and versions of all documents.
    pub fn digest(&self) -> Vec<(DocumentId, ObjectVersion)> {
        self.documents
            .iter()
            .map(|(id, document)| (id.clone(), document.version))
            .collect()
    }

    /// Returns a hash of all versions, by which two nodes detect whether they differ.
    pub fn summary(&self) -> u64 {
        let mut summary = 0u64;
        for (id, document) in &self.documents {
            // The number, not the text, where it fits: earlier releases know no eras.
            let line = match document.version.compact() {
                Some(number) => format!("{id}@{number}"),
                None => format!("{id}@{}", document.version),
            };
            summary ^= xxhash_rust::xxh3::xxh3_64(line.as_bytes());
        }
        summary
    }

    /// Returns the drained data centres.
    pub fn drained_datacenters(&self) -> impl Iterator<Item = &DatacenterName> {
        self.items(DocumentKind::Drain)
            .filter_map(|item| match item {
                DocumentItem::Drain(datacenter) => Some(datacenter),
                _ => None,
            })
    }

    /// Returns what is known of the drain of a data centre, or `None` if operators never
    /// drained it.
    pub fn drain_notice(&self, datacenter: &DatacenterName) -> Option<DrainNotice> {
        let document = self.get(&DocumentId::new(DocumentKind::Drain, datacenter.as_str()))?;
        Some(DrainNotice {
            version: document.version,
            drained: document.items().next().is_some(),
        })
    }

    /// Returns a service from the manifest of its firm, with the manifest version.
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

/// Index of the granted address blocks for lookups by address.
#[derive(Debug, Clone, Default)]
pub struct GrantIndex {
    blocks: BTreeMap<Ipv4Addr, (AddressBlock, CompactString)>,
}

impl GrantIndex {
    /// Builds the index of the grants in `items`. Blocks that overlap another one are
    /// left out, so that no firm owns their addresses.
    pub fn build<'a>(items: impl Iterator<Item = &'a DocumentItem>) -> Self {
        let mut grants: Vec<_> = items
            .filter_map(|item| match item {
                DocumentItem::Grant(block, firm) => Some((*block, firm.clone())),
                _ => None,
            })
            .collect();
        grants.sort_unstable();
        let overlaps = |index: usize, other: usize| {
            grants
                .get(other)
                .is_some_and(|(block, _)| grants[index].0.overlaps(block))
        };
        let blocks = (0..grants.len())
            .filter(|index| {
                !overlaps(*index, index.wrapping_sub(1)) && !overlaps(*index, index + 1)
            })
            .map(|index| (grants[index].0.base(), grants[index].clone()))
            .collect();
        Self { blocks }
    }

    /// Returns whether a firm owns an address.
    pub fn owns(&self, firm: &FirmName, address: Ipv4Addr) -> bool {
        self.blocks
            .range(..=address)
            .next_back()
            .is_some_and(|(_, (block, owner))| block.contains(address) && owner == firm.as_str())
    }
}
