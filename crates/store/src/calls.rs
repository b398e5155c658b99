//! Interface of a store of documents. The client of the project's own object
//! API and the adapters of other platforms implement it.

use std::fmt::Debug;
use std::time::Duration;

use compact_str::CompactString;
use serde_json::Value;

use chestnutlb_core::{DocumentId, FeedIndex, FeedScope, ListScope, ObjectVersion, StoreEra};

use crate::client::{StoreError, WriteOutcome};

/// An object that was read from a store or written to it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content in the format of the project's object API.
    pub value: Value,
}

/// An object in a list, without its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name of the object.
    pub name: CompactString,
    /// Version of the object.
    pub version: ObjectVersion,
}

/// A list of objects with their versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionList {
    /// Version of the store.
    pub revision: ObjectVersion,
    /// The objects.
    pub objects: Vec<ListedObject>,
    /// Number of entries that can't be read and were left out.
    pub unreadable: usize,
}

/// An object in an update of a feed.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedObject {
    /// Id of the document that the object holds.
    pub id: DocumentId,
    /// Version of the document.
    pub version: ObjectVersion,
    /// Version of the object. It differs from that of a document whose content states a version.
    pub stored: ObjectVersion,
    /// Content in the format of the project's object API, or the error if it
    /// can't be converted to that format.
    pub value: Result<Value, StoreError>,
    /// Number of items that can't be converted to that format and were left out.
    pub unreadable: usize,
}

/// An update of a feed.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedUpdate {
    /// Versions of objects; the changed objects have to be read separately.
    Versions {
        /// The objects with their versions.
        list: VersionList,
        /// Whether these are all objects of the store.
        has_all: bool,
    },
    /// The objects themselves.
    Objects {
        /// Version of the store after this update.
        revision: ObjectVersion,
        /// All objects of the feed, or only the changed ones.
        objects: Vec<FeedObject>,
        /// The kinds of which these are all documents of the store, if any.
        scope: Option<ListScope>,
        /// Era in which the first roster was written, if these are all objects and the store
        /// has recorded it.
        first_era: Option<StoreEra>,
        /// Number of objects that can't be read, such as those of other programs, and were left
        /// out.
        unreadable: usize,
    },
}

impl FeedUpdate {
    /// Returns whether it contains any object.
    pub fn has_changes(&self) -> bool {
        match self {
            Self::Versions { list, .. } => !list.objects.is_empty() || list.unreadable > 0,
            Self::Objects {
                objects,
                unreadable,
                ..
            } => !objects.is_empty() || *unreadable > 0,
        }
    }

    /// Returns the version of the store after this update.
    pub fn version(&self) -> ObjectVersion {
        match self {
            Self::Versions { list, .. } => list.revision,
            Self::Objects { revision, .. } => *revision,
        }
    }
}

/// How an update of a feed relates to the ones before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedStep {
    /// It is as recent as the ones before.
    Current,
    /// It is older than one before.
    Stale,
    /// It is the first one since the store was restored from an older copy, which ended this
    /// era.
    Restored(StoreEra),
}

/// How far a feed was received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedPosition {
    after: Option<ObjectVersion>,
    latest: ObjectVersion,
}

impl FeedPosition {
    /// Returns the version that the next update follows, or `None` if the whole feed is due.
    pub fn after(&self) -> Option<ObjectVersion> {
        self.after
    }

    /// Makes the whole feed due, since updates may have been missed.
    pub fn reset(&mut self) {
        self.after = None;
    }

    /// Records an update up to `version`.
    pub fn advance(&mut self, version: ObjectVersion) -> FeedStep {
        let earlier_era = self.latest.era();
        if version.era() < earlier_era {
            return FeedStep::Stale;
        }
        let is_first = self.latest == ObjectVersion(0);
        self.latest = self.latest.max(version);
        match self.after.replace(version) {
            Some(after) if version < after => {
                self.after = Some(after);
                FeedStep::Stale
            }
            _ if version.era() > earlier_era && !is_first => FeedStep::Restored(earlier_era),
            _ => FeedStep::Current,
        }
    }
}

/// Calls of a store. A store has one or more feeds, each of which is watched
/// separately.
pub trait StoreCalls: Debug + Send {
    /// Returns the number of feeds.
    fn feeds(&self) -> usize;

    /// Returns the whole feed if `after` is `None`, otherwise the changes after
    /// that version, for which it waits up to `wait`.
    fn fetch_updates(
        &self,
        feed: FeedIndex,
        after: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<FeedUpdate, StoreError>;

    /// Returns the object as last received from a feed or written, without a
    /// call. It may be outdated, in which case a conditional write conflicts.
    fn cached_object(&self, _id: &DocumentId) -> Option<ReadObject> {
        None
    }

    /// Returns which documents a feed brings. Changes of operators' documents are read at once.
    fn feed_scope(&self, _feed: FeedIndex) -> FeedScope {
        FeedScope::All
    }

    /// Returns the longest wait of a watch of a feed.
    fn watch_wait(&self, feed: FeedIndex) -> Duration;

    /// Reads an object; returns `None` if it does not exist.
    fn read(&self, id: &DocumentId) -> Result<Option<ReadObject>, StoreError>;

    /// Writes an object if its version is `expected`; zero stands for an object
    /// that does not exist.
    fn write(&self, id: &DocumentId, expected: ObjectVersion, value: &Value) -> WriteOutcome;

    /// Records the era in which the first roster is written, unless one is recorded. A store
    /// without this record is taken for one that may have been restored.
    fn record_first_era(&self, _era: StoreEra) -> Result<(), StoreError> {
        Ok(())
    }
}
