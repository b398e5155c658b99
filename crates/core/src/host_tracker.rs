//! Tracking of the hosts that register at an entry VM.
//!
//! The tracker compares the received registrations with the roster and proposes
//! roster edits. The entry VM of the first rank proposes an edit immediately, one
//! of a lower rank only if the roster still differs after [`RANK_DELAY`] per rank.
//! Correctness does not depend on this order, since every roster write is
//! conditional on the version that it is based on.

use std::collections::HashMap;
use std::time::Duration;

use crate::chart::{HostEvent, HostState};
use crate::ids::{HostName, Incarnation};
use crate::members::{RANK_DELAY, TRACKERS_PER_HOST};
use crate::roster::HostRecord;
use crate::units::TimePoint;

/// Time without a registration or keep-alive after which a host gets no new flows.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Time within which a host known only from the roster has to register. Hosts
/// receive changed trackers in reply to full registrations, sent every 5 s.
pub const REGISTRATION_GRACE: Duration = Duration::from_secs(7);

/// Time without a registration or keep-alive after which a host is removed from the
/// roster.
pub const GONE_AFTER: Duration = Duration::from_secs(30);

/// If more than one in this many tracked hosts is silent, the tracker considers
/// itself isolated and proposes no edits for silent hosts.
const ISOLATION_DIVISOR: usize = 2;

/// Minimum number of tracked hosts for detecting isolation; a smaller sample is not
/// conclusive.
const ISOLATION_MIN_HOSTS: usize = 4;

/// Number of changes that a host has made to its registration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRevision(pub u64);

impl HostRevision {
    /// Revision of a host that is known only from the roster.
    pub const UNREGISTERED: HostRevision = HostRevision(u64::MAX);
}

/// A change of the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterEdit {
    /// Adds or replaces a host.
    Put(HostRecord),
    /// Removes a host unless it has restarted since.
    Remove(HostRecord),
}

impl RosterEdit {
    /// Returns the record of the host held by the tracker.
    pub fn record(&self) -> &HostRecord {
        match self {
            Self::Put(record) | Self::Remove(record) => record,
        }
    }
}

#[derive(Debug)]
struct TrackedHost {
    record: HostRecord,
    revision: HostRevision,
    last_seen: TimePoint,
    differs_since: Option<TimePoint>,
    rank: u32,
}

impl TrackedHost {
    fn is_silent(&self, now: TimePoint) -> bool {
        let timeout = if self.revision == HostRevision::UNREGISTERED {
            REGISTRATION_GRACE
        } else {
            SUSPECT_AFTER
        };
        now.since(self.last_seen) >= timeout
    }
}

/// The hosts that one entry VM tracks.
#[derive(Debug, Default)]
pub struct HostTracker {
    hosts: HashMap<HostName, TrackedHost>,
    last_tick: TimePoint,
}

impl HostTracker {
    /// Records a registration. `rank` is the rank of this entry VM among the trackers
    /// of the host.
    pub fn record_registration(
        &mut self,
        record: HostRecord,
        revision: HostRevision,
        rank: u32,
        now: TimePoint,
    ) {
        match self.hosts.get_mut(&record.name) {
            Some(tracked) if tracked.record.incarnation > record.incarnation => {}
            Some(tracked) => {
                if tracked.record != record {
                    tracked.differs_since = None;
                }
                tracked.record = record;
                tracked.revision = revision;
                tracked.last_seen = now;
                tracked.rank = rank;
            }
            None => {
                let name = record.name.clone();
                let host = TrackedHost {
                    record,
                    revision,
                    last_seen: now,
                    differs_since: None,
                    rank,
                };
                self.hosts.insert(name, host);
            }
        }
    }

    /// Records a keep-alive. Returns the host record if its incarnation and revision
    /// match; otherwise the host has to send a full registration.
    pub fn record_keep_alive(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        revision: HostRevision,
        now: TimePoint,
    ) -> Option<&HostRecord> {
        let tracked = self.hosts.get_mut(name)?;
        if tracked.record.incarnation != incarnation || tracked.revision != revision {
            return None;
        }
        tracked.last_seen = now;
        Some(&tracked.record)
    }

    /// Returns the number of tracked hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no host is tracked.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Starts to track a roster host that has not registered here, as after a start
    /// of this process, so that its silence is detected.
    pub fn track_from_roster(&mut self, record: &HostRecord, rank: u32, now: TimePoint) {
        if !self.hosts.contains_key(&record.name) {
            self.record_registration(record.clone(), HostRevision::UNREGISTERED, rank, now);
        }
    }

    /// Updates the ranks after a change of the members. `rank` returns the rank of
    /// this entry VM for a host, or `None` if it is not a tracker of the host.
    pub fn reassign(&mut self, rank: impl Fn(&HostRecord) -> Option<u32>, now: TimePoint) {
        for host in self.hosts.values_mut() {
            let was_not_tracker = host.rank as usize >= TRACKERS_PER_HOST;
            host.rank = rank(&host.record).unwrap_or(TRACKERS_PER_HOST as u32);
            // The host stopped registering here while this entry VM was not its
            // tracker, and needs time to receive the new trackers.
            if was_not_tracker && host.is_silent(now) {
                host.revision = HostRevision::UNREGISTERED;
                host.last_seen = now;
            }
        }
    }

    /// Returns the registered records of the hosts that are not silent.
    pub fn live_hosts(&self, now: TimePoint) -> impl Iterator<Item = &HostRecord> {
        self.hosts
            .values()
            .filter(move |host| host.revision != HostRevision::UNREGISTERED && !host.is_silent(now))
            .map(|host| &host.record)
    }

    /// Returns the edits that the roster needs. `current` finds a host in the roster.
    pub fn edits(
        &mut self,
        current: impl Fn(&HostRecord) -> Option<HostRecord>,
        now: TimePoint,
    ) -> Vec<RosterEdit> {
        self.reset_after_pause(now);
        let isolated = self.appears_isolated(now);
        let mut edits = Vec::new();
        let mut untracked = Vec::new();
        for (name, host) in &mut self.hosts {
            let in_roster = current(&host.record);
            if host.rank as usize >= TRACKERS_PER_HOST && now.since(host.last_seen) >= GONE_AFTER {
                untracked.push(name.clone());
                continue;
            }
            if let Some(record) = &in_roster
                && record.incarnation > host.record.incarnation
            {
                // The host has restarted and registered at another tracker.
                host.record = record.clone();
                host.last_seen = now;
                continue;
            }
            let desired = desired_record(host, now);
            if desired.is_none() && in_roster.is_none() {
                untracked.push(name.clone());
                continue;
            }
            if !needs_edit(in_roster.as_ref(), desired.as_ref()) {
                host.differs_since = None;
                continue;
            }
            // Hosts stop registering at entry VMs that are not their trackers, so
            // silence counts only at a tracker.
            let not_tracker = host.rank as usize >= TRACKERS_PER_HOST;
            if host.is_silent(now) && (isolated || not_tracker) {
                continue;
            }
            let since = *host.differs_since.get_or_insert(now);
            if now.since(since) >= RANK_DELAY * host.rank {
                edits.push(match desired {
                    Some(record) => RosterEdit::Put(record),
                    None => RosterEdit::Remove(host.record.clone()),
                });
            }
        }
        for name in untracked {
            self.hosts.remove(&name);
        }
        edits
    }

    // Treats all hosts as just seen if this process was paused: it may have missed
    // their keep-alives.
    fn reset_after_pause(&mut self, now: TimePoint) {
        if now.since(self.last_tick) >= SUSPECT_AFTER / 2 {
            for host in self.hosts.values_mut() {
                host.last_seen = now;
            }
        }
        self.last_tick = now;
    }

    fn appears_isolated(&self, now: TimePoint) -> bool {
        let silent = self
            .hosts
            .values()
            .filter(|host| host.is_silent(now))
            .count();
        self.hosts.len() >= ISOLATION_MIN_HOSTS && silent > self.hosts.len() / ISOLATION_DIVISOR
    }
}

fn needs_edit(current: Option<&HostRecord>, desired: Option<&HostRecord>) -> bool {
    match (current, desired) {
        (None, None) => false,
        (None, Some(_)) => true,
        (Some(_), None) => true,
        (Some(current), Some(desired)) => current != desired,
    }
}

// Returns the record that the roster should hold for a host, or `None` if the roster
// should not list it.
fn desired_record(host: &TrackedHost, now: TimePoint) -> Option<HostRecord> {
    let silence = now.since(host.last_seen);
    let mut record = host.record.clone();
    if silence >= GONE_AFTER {
        return None;
    }
    if host.is_silent(now) {
        record.state = record
            .state
            .after(HostEvent::Silent)
            .unwrap_or(record.state);
    }
    match record.state {
        HostState::Gone | HostState::Joining => None,
        // The warm-up state reaches the entry VMs by registration; recording it in
        // the roster would cost a second write per host.
        HostState::Warming => {
            record.state = HostState::Serving;
            Some(record)
        }
        _ => Some(record),
    }
}
