//! When the platform last confirmed the documents of an entry VM.
//!
//! Operators' documents and those of the fleet come by different feeds, and the answer of one feed
//! says nothing about the documents of another: its connection may work while the other's does
//! not, and it may have been open since before a cut. So each feed confirms the documents that it
//! brings, and all documents are as old as the oldest confirmation of a feed.

use std::time::Duration;

use crate::units::TimePoint;

/// Index of a feed of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedIndex(pub usize);

/// The documents that a feed brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedScope {
    /// Documents of operators, or some of them: manifests, grants or drains.
    Operators,
    /// Rosters and members.
    Fleet,
    /// All documents.
    All,
}

impl FeedScope {
    /// Returns whether the feed brings documents of operators.
    pub fn has_operators(self) -> bool {
        matches!(self, Self::Operators | Self::All)
    }

    /// Returns whether the feed brings rosters and members.
    pub fn has_fleet(self) -> bool {
        matches!(self, Self::Fleet | Self::All)
    }
}

/// Confirms the documents of one feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedConfirmation {
    /// The feed.
    pub feed: FeedIndex,
    /// A time at which the answer of the platform was true.
    pub at: TimePoint,
}

impl FeedConfirmation {
    /// Returns what an answer to a call confirms that was sent at `asked_at` and allowed the
    /// platform to wait for changes. An answer may be held up on its way, so its arrival proves
    /// nothing: it is known to be true when the call was sent and, if there was no change,
    /// until the end of the wait.
    pub fn of_answer(
        feed: FeedIndex,
        asked_at: TimePoint,
        answered_at: TimePoint,
        wait: Duration,
        has_changes: bool,
    ) -> Self {
        let waited = !has_changes && answered_at.since(asked_at) >= wait;
        let at = if waited { asked_at + wait } else { asked_at };
        Self { feed, at }
    }
}

/// When the documents of each group were last known to be current.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmations {
    /// Those of operators; `None` if never.
    pub operators: Option<TimePoint>,
    /// Rosters and members; `None` if never.
    pub fleet: Option<TimePoint>,
    /// When the platform last had a document of operators that can't be read; `None` if never.
    pub unreadable: Option<TimePoint>,
}

impl Confirmations {
    /// Returns when all documents were last known to be current.
    pub fn of_all(self) -> Option<TimePoint> {
        self.operators.min(self.fleet)
    }

    /// Returns when the platform last told of the operators' documents, also of one that can't be
    /// read.
    pub fn operators_heard(self) -> Option<TimePoint> {
        self.operators.max(self.unreadable)
    }

    /// Returns whether operators' documents are in force in an earlier version, since the platform
    /// has one that can't be read.
    pub fn is_outdated(self) -> bool {
        self.unreadable > self.operators
    }

    /// Keeps the later confirmation of each group.
    pub fn merge(&mut self, other: Self) {
        self.operators = self.operators.max(other.operators);
        self.fleet = self.fleet.max(other.fleet);
        self.unreadable = self.unreadable.max(other.unreadable);
    }

    /// Returns the same with a document of operators that can't be read: what was heard of them
    /// confirms nothing.
    pub fn with_unreadable(self) -> Self {
        Self {
            operators: None,
            unreadable: self.operators_heard(),
            ..self
        }
    }
}

/// The last confirmation by each feed.
#[derive(Debug, Clone)]
pub struct FeedConfirmations(Vec<(FeedScope, Option<TimePoint>)>);

impl FeedConfirmations {
    /// Returns the state of feeds that have confirmed nothing yet.
    pub fn new(feeds: &[FeedScope]) -> Self {
        Self(feeds.iter().map(|scope| (*scope, None)).collect())
    }

    /// Records a confirmation. Returns what all feeds together confirm.
    pub fn record(&mut self, confirmation: FeedConfirmation) -> Confirmations {
        if let Some((_, confirmed_at)) = self.0.get_mut(confirmation.feed.0) {
            *confirmed_at = (*confirmed_at).max(Some(confirmation.at));
        }
        Confirmations {
            operators: self.oldest(FeedScope::has_operators),
            fleet: self.oldest(FeedScope::has_fleet),
            unreadable: None,
        }
    }

    // Returns the oldest confirmation by the feeds of some scopes; `None` sorts first.
    fn oldest(&self, is_included: impl Fn(FeedScope) -> bool) -> Option<TimePoint> {
        let included = self.0.iter().filter(|(scope, _)| is_included(*scope));
        included.map(|(_, confirmed_at)| *confirmed_at).min()?
    }
}
