//! Items of rosters and members that can't be read, such as those of other programs or records
//! that another program has damaged.
//!
//! Such an item names no host to use, and the other items hold. It may be the record of a living
//! host that owns flows, so the last record that could be read stays in force where it is held,
//! and is written again in place of the item. An item that stands for no record held here stays
//! in the document until no flow of a host that it might stand for can live.

use std::collections::BTreeSet;

use compact_str::CompactString;

use crate::document::{DocumentItem, VersionedDocument};
use crate::units::TimePoint;

/// The items of one version of a document that can't be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableItems {
    /// Keys of those whose key can be read.
    pub keys: BTreeSet<CompactString>,
    /// Number of the others.
    pub unnamed: usize,
    /// Whether the document as a whole can't be read.
    pub is_whole: bool,
}

impl UnreadableItems {
    /// Returns a document of which nothing can be read.
    pub fn whole() -> Self {
        Self {
            is_whole: true,
            ..Self::default()
        }
    }

    /// Returns whether all items can be read.
    pub fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Returns the number of items that can't be read. A document counts as one.
    pub fn count(&self) -> usize {
        self.keys.len() + self.unnamed + usize::from(self.is_whole)
    }

    /// Returns the items of an earlier version that these may stand for, if the others are
    /// `readable`. That version had `unnamed_before` items without a key, which stand for none of
    /// its other items. Nor do new ones if more items are missing than there are: those were
    /// removed.
    pub fn held_items(
        &self,
        held: &VersionedDocument,
        readable: &[DocumentItem],
        unnamed_before: usize,
    ) -> Vec<DocumentItem> {
        let readable: BTreeSet<_> = readable.iter().map(DocumentItem::key).collect();
        let missing = held.items().filter(|item| !readable.contains(&item.key()));
        let (mut stood_for, others): (Vec<_>, Vec<_>) = missing
            .cloned()
            .partition(|item| self.is_whole || self.keys.contains(&item.key()));
        if others.len() <= self.unnamed.saturating_sub(unnamed_before) {
            stood_for.extend(others);
        }
        stood_for
    }
}

/// A document with items that can't be read.
#[derive(Debug)]
pub(crate) struct DamagedDocument {
    /// When it was first read.
    pub since: TimePoint,
    /// Keys of the items that are held in place of those that can't be read.
    pub held: Vec<CompactString>,
    /// Number of items without a key.
    pub unnamed: usize,
}
