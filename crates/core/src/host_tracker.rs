//! Tracking of the hosts that register at an entry VM.
//!
//! The tracker compares the received registrations with the roster and proposes
//! roster edits. The entry VM of the first rank proposes an edit immediately, one
//! of a lower rank only if the roster still differs after [`RANK_DELAY`] per rank.
//! Correctness does not depend on this order, since every roster write is
//! conditional on the version that it is based on.
//!
//! A host is added to the roster only on its own word: a registration or keep-alive that
//! this entry VM received within [`SUSPECT_AFTER`], and after the last change of the roster
//! that it knows of. The record of a removed host is dropped, so that its next keep-alive is
//! answered with a request for a full registration, which a host that has left never sends.
//! A roster of a later era of the store, which was restored from an older copy, is no such
//! removal: hosts that it lacks stay in use here while they are heard, and hosts that it lists
//! again after their departure are proposed for removal again.
//! About a host that is only listed or has become silent, a tracker proposes nothing but its
//! suspicion and, in the end, its removal.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::chart::{HostEvent, HostState};
use crate::ids::{DatacenterName, HostName, Incarnation};
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

/// Time from the last sign of a host until it surely gets no new flows.
pub const LAST_FLOW_DELAY: Duration = Duration::from_secs(15);

/// Time for which the record of a host that was removed from the roster is kept. A store that
/// is restored from an older copy may list the host again.
pub const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// Time after a restore of the store in which the hosts that the roster lost are only heard.
/// Each of them sends a keep-alive in this time, so that one write lists all of them: every
/// write requires the others to be heard again.
pub const RESTORE_HEARING_TIME: Duration = Duration::from_millis(600);

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
    // Whether the host was heard since the roster last changed in another way than the host
    // registered here.
    heard_since_change: bool,
    // Whether the record was confirmed when a restore of the store changed the roster, which
    // does not contain the record since.
    outlives_restore: bool,
    differs_since: Option<TimePoint>,
    rank: u32,
}

// A host that was removed from the roster.
#[derive(Debug)]
struct RemovedHost {
    host: TrackedHost,
    removed_at: TimePoint,
}

impl TrackedHost {
    fn is_tracker_rank(&self) -> bool {
        (self.rank as usize) < TRACKERS_PER_HOST
    }

    // Returns whether the record is the host's own word and recent.
    fn is_confirmed(&self, now: TimePoint) -> bool {
        self.revision != HostRevision::UNREGISTERED
            && self.heard_since_change
            && !self.is_silent(now)
    }

    // Returns whether the host registered here, and is expected to be heard again since the
    // last change of the roster.
    fn is_awaited(&self, now: TimePoint) -> bool {
        self.revision != HostRevision::UNREGISTERED
            && !self.heard_since_change
            && !self.is_silent(now)
    }

    // Returns whether the host is used as it registered here, whatever the roster contains.
    fn is_used_as_registered(&self, now: TimePoint) -> bool {
        let is_recent = self.revision != HostRevision::UNREGISTERED && !self.is_silent(now);
        self.record.state == HostState::Gone
            || (is_recent && (self.heard_since_change || self.outlives_restore))
    }

    // Discards what the host registered. Its silence is measured from now on.
    fn require_registration(&mut self, now: TimePoint) {
        self.revision = HostRevision::UNREGISTERED;
        self.last_seen = now;
        self.differs_since = None;
    }

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
    // Hosts that were removed from the roster within `REMOVAL_MEMORY`.
    removed: HashMap<HostName, RemovedHost>,
    // When the store was last restored from an older copy.
    restored_at: Option<TimePoint>,
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
        self.update_removed(&record);
        match self.hosts.get_mut(&record.name) {
            Some(tracked) if tracked.record.incarnation > record.incarnation => {}
            Some(tracked) => {
                if listed_record(&tracked.record) != listed_record(&record) {
                    tracked.differs_since = None;
                }
                tracked.record = record;
                tracked.revision = revision;
                tracked.last_seen = now;
                tracked.heard_since_change = true;
                tracked.rank = rank;
            }
            None => {
                let name = record.name.clone();
                let host = TrackedHost {
                    record,
                    revision,
                    last_seen: now,
                    heard_since_change: true,
                    outlives_restore: false,
                    differs_since: None,
                    rank,
                };
                self.hosts.insert(name, host);
            }
        }
    }

    // A registration here is newer than the removal; the departure may be repeated after it.
    fn update_removed(&mut self, record: &HostRecord) {
        if record.state != HostState::Gone {
            self.removed.remove(&record.name);
        } else if let Some(removed) = self.removed.get_mut(&record.name) {
            removed.host.record.state = HostState::Gone;
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
        tracked.heard_since_change = true;
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
            let was_tracker = host.is_tracker_rank();
            host.rank = rank(&host.record).unwrap_or(TRACKERS_PER_HOST as u32);
            // The host may have stopped registering here while this entry VM was not its
            // tracker, and needs time to receive the new trackers.
            if !was_tracker && host.is_tracker_rank() && host.record.state != HostState::Gone {
                host.require_registration(now);
            }
        }
        for removed in self.removed.values_mut() {
            let host = &mut removed.host;
            host.rank = rank(&host.record).unwrap_or(TRACKERS_PER_HOST as u32);
        }
    }

    // Requires the hosts whose entry in a roster differs from what they registered here to be
    // heard again, after `on_difference`.
    fn compare_with_roster(
        &mut self,
        datacenter: &str,
        listed: &impl Fn(&HostRecord) -> Option<HostRecord>,
        on_difference: impl Fn(&mut TrackedHost),
    ) {
        let hosts = self.hosts.values_mut();
        for host in hosts.filter(|host| host.record.datacenter.as_str() == datacenter) {
            if listed(&host.record) == listed_record(&host.record) {
                host.outlives_restore = false;
            } else {
                on_difference(host);
                host.heard_since_change = false;
            }
        }
    }

    /// Records a new version of a roster. `listed` finds a host in it. Of a host whose entry
    /// differs from what it registered here, another tracker may have heard more recently; one
    /// that is not listed may have been added and removed by versions that did not arrive
    /// here. Nothing is proposed for them until they are heard again.
    pub fn record_roster(
        &mut self,
        datacenter: &str,
        listed: impl Fn(&HostRecord) -> Option<HostRecord>,
    ) {
        self.compare_with_roster(datacenter, &listed, |_| {});
        // They have registered again at another tracker.
        self.removed.retain(|_, removed| {
            let record = &removed.host.record;
            record.datacenter.as_str() != datacenter || listed(record).is_none()
        });
    }

    /// Records a roster of a later era of the store, which was restored from an older copy.
    /// Hosts that the roster lacks or shows in an earlier state are used as they registered
    /// here until they are silent, and proposed again when they are next heard. The removal of
    /// a host that it lists again is proposed again unless the host is heard.
    pub fn record_restored_roster(
        &mut self,
        datacenter: &str,
        listed: impl Fn(&HostRecord) -> Option<HostRecord>,
        now: TimePoint,
    ) {
        self.restored_at = Some(now);
        self.compare_with_roster(datacenter, &listed, |host| {
            host.outlives_restore |= host.is_confirmed(now);
        });
        let is_listed_again = |_: &HostName, removed: &mut RemovedHost| {
            let record = &removed.host.record;
            record.datacenter.as_str() == datacenter
                && listed(record).is_some_and(|listed| listed.incarnation <= record.incarnation)
        };
        for (name, mut removed) in self.removed.extract_if(is_listed_again) {
            if removed.host.record.state == HostState::Gone {
                removed.host.last_seen = now;
            }
            self.hosts.entry(name).or_insert(TrackedHost {
                heard_since_change: false,
                outlives_restore: false,
                differs_since: None,
                ..removed.host
            });
        }
    }

    /// Drops the record of a host that was removed from the roster. Until the host sends a
    /// full registration, nothing is proposed for it. Returns whether the record was
    /// outdated: the host had not announced its departure here.
    pub fn record_removal(&mut self, name: &HostName, now: TimePoint) -> bool {
        let Some(host) = self.hosts.remove(name) else {
            return false;
        };
        let is_outdated = host.record.state != HostState::Gone;
        let removed_at = now;
        let removed = RemovedHost { host, removed_at };
        self.removed.insert(name.clone(), removed);
        is_outdated
    }

    /// Returns the records that hosts registered here and that are newer than those of the
    /// roster: of the hosts that are not silent, and of those that have left and are still
    /// listed. After a restore of the store, a record of the roster is no newer.
    pub fn registered_hosts(&self, now: TimePoint) -> impl Iterator<Item = &HostRecord> {
        self.hosts
            .values()
            .filter(move |host| host.is_used_as_registered(now))
            .map(|host| &host.record)
    }

    /// Returns the edits that the roster needs. `current` finds a host in the roster, and
    /// `gone_after` returns the time without a sign of a host after which it is removed.
    pub fn edits(
        &mut self,
        current: impl Fn(&HostRecord) -> Option<HostRecord>,
        gone_after: impl Fn(&HostRecord) -> Duration,
        now: TimePoint,
    ) -> Vec<RosterEdit> {
        self.reset_after_pause(now);
        self.removed
            .retain(|_, removed| now.since(removed.removed_at) < REMOVAL_MEMORY);
        let isolated = self.appears_isolated(now);
        let is_hearing = self
            .restored_at
            .is_some_and(|restored_at| now.since(restored_at) < RESTORE_HEARING_TIME);
        let mut edits = Vec::new();
        // Edits of hosts that a restored roster lost, with whether each is due by the rank.
        let mut lost = Vec::new();
        self.hosts.retain(|_, host| {
            let listed = current(&host.record);
            if let Some(newer) = &listed
                && newer.incarnation > host.record.incarnation
            {
                // The host has restarted and registered at another tracker.
                host.record = newer.clone();
                host.require_registration(now);
                return true;
            }
            let gone_after = gone_after(&host.record);
            let edit = needed_edit(host, listed.as_ref(), isolated, gone_after, now);
            match edit {
                // The delay of the rank continues: a roster that changes often must not
                // postpone the edit.
                None if host.is_awaited(now) => {}
                None => host.differs_since = None,
                Some(edit) => {
                    let since = *host.differs_since.get_or_insert(now);
                    let is_due = now.since(since) >= RANK_DELAY * host.rank;
                    if host.outlives_restore {
                        lost.push((edit, is_due));
                    } else if is_due {
                        edits.push(edit);
                    }
                }
            }
            is_worth_tracking(host, listed.is_some(), gone_after, now)
        });
        if !is_hearing {
            edits.extend(lost_host_edits(lost));
        }
        edits
    }

    // Requires all hosts to register again if this process was paused: it may have missed
    // their keep-alives, and they may have left.
    fn reset_after_pause(&mut self, now: TimePoint) {
        if now.since(self.last_tick) >= SUSPECT_AFTER / 2 {
            self.removed.clear();
            for host in self.hosts.values_mut() {
                if host.record.state != HostState::Gone {
                    host.require_registration(now);
                }
            }
        }
        self.last_tick = now;
    }

    fn appears_isolated(&self, now: TimePoint) -> bool {
        let mut hosts = 0;
        let mut silent = 0;
        for host in self.hosts.values() {
            if host.record.state != HostState::Gone {
                hosts += 1;
                silent += usize::from(host.is_silent(now));
            }
        }
        hosts >= ISOLATION_MIN_HOSTS && silent > hosts / ISOLATION_DIVISOR
    }
}

// Returns the edits of the rosters for which one is due: a write for one host that a restored
// roster lost lists the others too.
fn lost_host_edits(lost: Vec<(RosterEdit, bool)>) -> impl Iterator<Item = RosterEdit> {
    let due: BTreeSet<DatacenterName> = lost
        .iter()
        .filter(|(_, is_due)| *is_due)
        .map(|(edit, _)| edit.record().datacenter.clone())
        .collect();
    lost.into_iter()
        .map(|(edit, _)| edit)
        .filter(move |edit| due.contains(&edit.record().datacenter))
}

// Returns whether a tracked host may still need an edit: it is listed, or has registered
// recently.
fn is_worth_tracking(
    host: &TrackedHost,
    is_listed: bool,
    gone_after: Duration,
    now: TimePoint,
) -> bool {
    let expected = host.is_tracker_rank() || now.since(host.last_seen) < gone_after;
    match host.record.state {
        _ if is_listed => expected,
        HostState::Gone => false,
        _ => !host.is_silent(now),
    }
}

// Returns the edit that the roster needs for a host, regardless of the rank.
fn needed_edit(
    host: &TrackedHost,
    listed: Option<&HostRecord>,
    isolated: bool,
    gone_after: Duration,
    now: TimePoint,
) -> Option<RosterEdit> {
    if host.record.state == HostState::Gone {
        return listed.map(|_| RosterEdit::Remove(host.record.clone()));
    }
    if host.is_confirmed(now) {
        let desired = listed_record(&host.record);
        return match (listed, desired) {
            (Some(listed), Some(desired)) if *listed == desired => None,
            (_, Some(desired)) => Some(RosterEdit::Put(desired)),
            (Some(_), None) => Some(RosterEdit::Remove(host.record.clone())),
            (None, None) => None,
        };
    }
    // Hosts stop registering at entry VMs that are not their trackers, so silence counts
    // only at a tracker.
    let listed = listed.filter(|_| host.is_silent(now) && !isolated && host.is_tracker_rank())?;
    if now.since(host.last_seen) >= gone_after {
        return Some(RosterEdit::Remove(listed.clone()));
    }
    match listed.state.after(HostEvent::Silent)? {
        HostState::Gone => Some(RosterEdit::Remove(listed.clone())),
        state if state == listed.state => None,
        state => Some(RosterEdit::Put(HostRecord {
            state,
            ..listed.clone()
        })),
    }
}

// Returns the record that the roster should hold for a registered host, or `None` if the
// roster should not list it.
fn listed_record(record: &HostRecord) -> Option<HostRecord> {
    let state = match record.state {
        HostState::Gone | HostState::Joining => return None,
        // The warm-up state reaches the entry VMs by registration; recording it in
        // the roster would cost a second write per host.
        HostState::Warming => HostState::Serving,
        state => state,
    };
    Some(HostRecord {
        state,
        ..record.clone()
    })
}
