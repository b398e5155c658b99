//! What a store of documents has to offer. The project's own object API and
//! the adapters of other platforms implement it.

use std::fmt::Debug;
use std::time::Duration;

use serde_json::Value;

use chestnutlb_core::{DocumentId, ObjectVersion};
use chestnutlb_wire::{ObjectReply, StampList};

use crate::client::{StoreError, WriteOutcome};

/// Index of a feed, below [`StoreCalls::feeds`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedIndex(pub usize);

/// An object in the news of a feed.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedObject {
    /// The document that it holds.
    pub id: DocumentId,
    /// Its version.
    pub version: ObjectVersion,
    /// Its content, in the form of the project's object API, or why it can't be
    /// read.
    pub value: Result<Value, StoreError>,
}

/// News of a feed.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedUpdate {
    /// Versions; what changed has to be read.
    Stamps(StampList),
    /// The objects themselves.
    Objects {
        /// The store's version that the news leads up to.
        revision: ObjectVersion,
        /// All objects, or those that changed.
        objects: Vec<FeedObject>,
    },
}

/// Calls of a store. A store has one or more feeds, each of which is watched
/// by itself.
pub trait StoreCalls: Debug + Send {
    /// Number of feeds.
    fn feeds(&self) -> usize;

    /// Everything in a feed if `after` is none, else what changed after that
    /// version, waiting for it up to `wait`.
    fn news(
        &self,
        feed: FeedIndex,
        after: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<FeedUpdate, StoreError>;

    /// The object as it was last seen in the news or a write, without a call;
    /// it may be outdated, which a conditional write finds out.
    fn cached_object(&self, _id: &DocumentId) -> Option<ObjectReply> {
        None
    }

    /// Longest wait of one watch of a feed.
    fn watch_wait(&self, feed: FeedIndex) -> Duration;

    /// Reads an object; none if it does not exist.
    fn read(&self, id: &DocumentId) -> Result<Option<ObjectReply>, StoreError>;

    /// Writes an object if it has the version `expected`, zero for none.
    fn write(&self, id: &DocumentId, expected: ObjectVersion, value: &Value) -> WriteOutcome;
}
