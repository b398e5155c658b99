//! Documents of operators that can't be read, as a whole or in part.
//!
//! A document that can't be read leaves the earlier one in force, and does not count as current
//! while the platform has it. An item that can't be read costs that item: the others come into
//! force, and the item stays as it was.

use std::collections::HashSet;

use crate::control::EntryControl;
use crate::document::{DocumentId, DocumentItem, DocumentKind, VersionedDocument};
use crate::events::{ControlAction, ListScope};
use crate::ids::ObjectVersion;
use crate::units::TimePoint;
use crate::unreadable_items::UnreadableItems;

/// The last read of a document of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OperatorRead {
    // Version of the object.
    stored: ObjectVersion,
    is_readable: bool,
}

impl EntryControl {
    /// Returns whether operators' documents are in force in an earlier version, since the platform
    /// has one that can't be read here or at a peer.
    pub fn is_outdated(&self) -> bool {
        self.confirmations.is_outdated()
    }

    /// Returns the documents of operators that could not be read here, while they are outdated.
    pub fn unreadable_documents(&self) -> impl Iterator<Item = &DocumentId> {
        let is_outdated = self.is_outdated();
        let reads = self.operator_reads.iter();
        reads
            .filter(move |(_, read)| is_outdated && !read.is_readable)
            .map(|(id, _)| id)
    }

    // Returns whether the last read of a document of operators failed for its content. A process
    // that reads no more keeps this; its peers tell what holds.
    pub(crate) fn has_unreadable_read(&self) -> bool {
        self.operator_reads.values().any(|read| !read.is_readable)
    }

    /// Returns the documents of operators with items that can't be read, and their numbers.
    pub fn partly_read_documents(&self) -> impl Iterator<Item = (&DocumentId, usize)> {
        self.partly_read.iter().map(|(id, items)| (id, *items))
    }

    // Returns whether the listed version of a document, or a later one, can't be read.
    pub(crate) fn is_unreadable(&self, id: &DocumentId) -> bool {
        let listed = self.listed_versions.get(id).copied().unwrap_or_default();
        let read = self.operator_reads.get(id);
        read.is_some_and(|read| !read.is_readable && read.stored >= listed)
    }

    // Returns the documents that the platform has listed in a version that is not in force.
    pub(crate) fn unread_documents(&self) -> Vec<DocumentId> {
        self.listed_versions.keys().cloned().collect()
    }

    // Forgets what is known of documents that a list of all of them lacks.
    pub(crate) fn forget_unlisted(&mut self, scope: ListScope, listed: &[DocumentId]) {
        let is_kept = |id: &DocumentId| {
            let is_covered = match id.kind {
                DocumentKind::Roster | DocumentKind::Members => scope.has_fleet(),
                DocumentKind::Drain => scope.has_drains(),
                DocumentKind::Grants | DocumentKind::Manifest => scope == ListScope::All,
            };
            !is_covered || listed.contains(id)
        };
        self.listed_versions.retain(|id, _| is_kept(id));
        self.operator_reads.retain(|id, _| is_kept(id));
        self.partly_read.retain(|id, _| is_kept(id));
    }

    // Reads may arrive in another order than they were answered.
    pub(crate) fn on_document_read(
        &mut self,
        id: DocumentId,
        stored: ObjectVersion,
        is_readable: bool,
    ) {
        let listed = self.listed_versions.get(&id).copied().unwrap_or_default();
        let stored = if is_readable {
            stored
        } else {
            stored.max(listed)
        };
        let earlier = self.operator_reads.get(&id);
        if earlier.is_none_or(|earlier| stored >= earlier.stored) {
            let read = OperatorRead {
                stored,
                is_readable,
            };
            self.operator_reads.insert(id, read);
        }
    }

    pub(crate) fn on_operators_document_partly(
        &mut self,
        id: DocumentId,
        version: ObjectVersion,
        mut items: Vec<DocumentItem>,
        unreadable: &UnreadableItems,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        if version < self.documents.version(&id) {
            return;
        }
        self.partly_read.insert(id.clone(), unreadable.count());
        if let Some(held) = self.documents.get(&id) {
            let kept = kept_items(held, &items, unreadable);
            items.extend(kept);
        }
        self.replace_document(id, version, items, now, actions);
    }
}

// Returns the items held that those which can't be read stand for, by their keys. A service whose
// address another service has now is not kept.
fn kept_items(
    held: &VersionedDocument,
    readable: &[DocumentItem],
    unreadable: &UnreadableItems,
) -> Vec<DocumentItem> {
    let services = readable.iter().filter_map(|item| match item {
        DocumentItem::Service(spec) => Some(spec),
        _ => None,
    });
    let taken: HashSet<_> = services.flat_map(|spec| spec.addresses()).collect();
    let is_free = |item: &DocumentItem| match item {
        DocumentItem::Service(spec) => spec.addresses().all(|address| !taken.contains(&address)),
        _ => true,
    };
    let keys = unreadable.keys.iter();
    keys.filter_map(|key| held.item(key))
        .filter(|item| is_free(item))
        .cloned()
        .collect()
}
