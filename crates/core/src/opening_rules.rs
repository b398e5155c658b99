//! What operators demand of the flows that a host opens: none while its data centre is drained,
//! only some per second while its backend server is cold, and no more at once than that one
//! takes well.
//!
//! Entry VMs learn of both from documents and pass them on in their replies to registrations.
//! The side process enforces them, since every new flow of its backend server passes it: no
//! process has to know what the others send. This is the answer to a data centre whose hosts all
//! come back cold, and to an entry VM that was cut off when a drain began.

use std::collections::VecDeque;
use std::num::NonZeroU32;
use std::time::Duration;

use crate::document::DrainNotice;
use crate::ids::ObjectVersion;
use crate::units::TimePoint;

/// Time in which a cold host opens at most the number of flows that its service allows. It
/// slides: any span of this length counts.
pub const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Time after which what the manifest demands ends if no entry VM names it any more: several
/// keep-alives. An entry VM with an older manifest may still name it.
pub const RULE_MEMORY: Duration = Duration::from_secs(2);

/// Maximum number of new flows per second of a cold host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ColdLimit(pub NonZeroU32);

/// What an entry VM tells a host of the flows that it may open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpeningRules {
    /// Whether its data centre is drained; `None` if operators never drained it.
    pub drain: Option<DrainNotice>,
    /// Limit of cold hosts of its service, if the manifest has one.
    pub cold: Option<ColdLimit>,
    /// Whether hosts of its service learn what their backend servers take well.
    pub learns_capacity: bool,
}

impl OpeningRules {
    /// Returns whether nothing is demanded.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether the manifest demands nothing.
    pub fn has_none_of_manifest(&self) -> bool {
        self.cold.is_none() && !self.learns_capacity
    }
}

/// The limit of a cold host, as far as it is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KnownColdLimit {
    /// There is none.
    #[default]
    Unlimited,
    /// There may be one, and no entry VM has answered yet. Until then this one holds, which any
    /// host takes.
    Unknown(ColdLimit),
    /// New flows per second.
    Limited(ColdLimit),
}

/// Effect of a reply on the rules in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RulesChange {
    /// Nothing changed.
    Same,
    /// The data centre is drained now.
    Drained,
    /// The data centre is not drained any more.
    Undrained,
    /// The limit of cold hosts has changed.
    ColdLimit,
    /// The host begins or ceases to learn what its backend server takes well.
    Learning,
}

/// The rules in force at one host, from the replies of its entry VMs.
#[derive(Debug, Clone)]
pub struct OpeningGate {
    drain: DrainNotice,
    undrained_at: Option<TimePoint>,
    cold: KnownColdLimit,
    cold_named_at: TimePoint,
    learns_capacity: bool,
    learning_named_at: TimePoint,
}

impl OpeningGate {
    /// Returns the gate of a process that has just started. `first_limit` holds until an entry VM
    /// has answered, if manifests may limit cold hosts.
    pub fn new(first_limit: Option<ColdLimit>) -> Self {
        Self {
            drain: DrainNotice {
                version: ObjectVersion(0),
                drained: false,
            },
            undrained_at: None,
            cold: first_limit.map_or(KnownColdLimit::Unlimited, KnownColdLimit::Unknown),
            cold_named_at: TimePoint::default(),
            learns_capacity: false,
            learning_named_at: TimePoint::default(),
        }
    }

    /// Returns whether the data centre is drained.
    pub fn is_drained(&self) -> bool {
        self.drain.drained
    }

    /// Returns the version of the document that the drain is known from.
    pub fn drain_version(&self) -> ObjectVersion {
        self.drain.version
    }

    /// Returns the limit of the host while it is cold.
    pub fn cold_limit(&self) -> KnownColdLimit {
        self.cold
    }

    /// Returns whether an entry VM has yet to say what the limit of cold hosts is.
    pub fn awaits_cold_limit(&self) -> bool {
        matches!(self.cold, KnownColdLimit::Unknown(_))
    }

    /// Returns whether the host learns what its backend server takes well.
    pub fn learns_capacity(&self) -> bool {
        self.learns_capacity
    }

    /// Returns whether a limited host has to be taken for cold, since its backend server last
    /// reported before the end of a drain: it may have turned cold meanwhile.
    pub fn may_have_turned_cold(&self, last_report: Option<TimePoint>) -> bool {
        self.cold != KnownColdLimit::Unlimited
            && self
                .undrained_at
                .is_some_and(|undrained_at| last_report.is_none_or(|report| report < undrained_at))
    }

    /// Records the rules in a reply of an entry VM that knows the service. Of several, the newest
    /// version of a drain holds.
    pub fn record_rules(&mut self, rules: &OpeningRules, now: TimePoint) -> RulesChange {
        let manifest_change = match self.record_cold_limit(rules.cold, now) {
            RulesChange::Same => self.record_learning(rules.learns_capacity, now),
            change => change,
        };
        match self.record_drain(rules.drain, now) {
            RulesChange::Same => manifest_change,
            change => change,
        }
    }

    /// Records the drain in a reply of an entry VM that does not know the service, and so does
    /// not know what the manifest demands either.
    pub fn record_drain(&mut self, drain: Option<DrainNotice>, now: TimePoint) -> RulesChange {
        let Some(notice) = drain.filter(|notice| notice.version > self.drain.version) else {
            return RulesChange::Same;
        };
        let before = std::mem::replace(&mut self.drain, notice);
        match (before.drained, notice.drained) {
            (false, true) => RulesChange::Drained,
            (true, false) => {
                self.undrained_at = Some(now);
                RulesChange::Undrained
            }
            _ => RulesChange::Same,
        }
    }

    fn record_learning(&mut self, named: bool, now: TimePoint) -> RulesChange {
        if named {
            self.learning_named_at = now;
        }
        let is_remembered = now.since(self.learning_named_at) < RULE_MEMORY;
        let learns = named || (self.learns_capacity && is_remembered);
        if std::mem::replace(&mut self.learns_capacity, learns) == learns {
            RulesChange::Same
        } else {
            RulesChange::Learning
        }
    }

    fn record_cold_limit(&mut self, named: Option<ColdLimit>, now: TimePoint) -> RulesChange {
        let cold = match (named, self.cold) {
            (Some(limit), _) => {
                self.cold_named_at = now;
                KnownColdLimit::Limited(limit)
            }
            (None, KnownColdLimit::Limited(_)) if now.since(self.cold_named_at) < RULE_MEMORY => {
                self.cold
            }
            (None, _) => KnownColdLimit::Unlimited,
        };
        if std::mem::replace(&mut self.cold, cold) == cold {
            RulesChange::Same
        } else {
            RulesChange::ColdLimit
        }
    }
}

/// The flows that a host has opened within [`COLD_WINDOW`], if its service limits cold hosts.
#[derive(Debug, Clone, Default)]
pub struct ColdOpenings {
    opened_at: VecDeque<TimePoint>,
}

impl ColdOpenings {
    /// Returns whether a cold host may open another flow.
    pub fn admits(&self, limit: KnownColdLimit, now: TimePoint) -> bool {
        match limit {
            KnownColdLimit::Unlimited => true,
            KnownColdLimit::Unknown(ColdLimit(limit))
            | KnownColdLimit::Limited(ColdLimit(limit)) => {
                let recent = self.opened_at.iter().rev();
                let recent = recent.take_while(|opened_at| now.since(**opened_at) < COLD_WINDOW);
                recent.count() < limit.get() as usize
            }
        }
    }

    /// Records that the host opens a flow.
    pub fn record_opened(&mut self, limit: KnownColdLimit, now: TimePoint) {
        if limit == KnownColdLimit::Unlimited {
            self.opened_at.clear();
            return;
        }
        while self
            .opened_at
            .front()
            .is_some_and(|opened_at| now.since(*opened_at) >= COLD_WINDOW)
        {
            self.opened_at.pop_front();
        }
        self.opened_at.push_back(now);
    }
}
