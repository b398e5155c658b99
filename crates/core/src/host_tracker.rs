//! How an entry VM looks after the hosts that announce themselves to it.
//!
//! The keeper compares what it heard with the roster and proposes edits. The
//! first rank proposes at once, a lower rank only if the roster still lacks
//! the change after a while. Safety does not rest on that: every write of the
//! roster is conditional.

use std::collections::HashMap;
use std::time::Duration;

use crate::chart::{HostEvent, HostState};
use crate::ids::{HostName, Incarnation};
use crate::members::{RANK_DELAY, TRACKERS_PER_HOST};
use crate::roster::HostRecord;
use crate::units::TimePoint;

/// A host that is silent for this time gets no new flows.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// A host that is known from the roster only is given this time to be heard:
/// hosts learn of another keeper with their announcements in full, every 5 s.
pub const ADOPTION_GRACE: Duration = Duration::from_secs(7);

/// A host that is silent for this time is taken off the roster.
pub const GONE_AFTER: Duration = Duration::from_secs(30);

/// If more than one host in this many falls silent at once, the keeper takes
/// itself for cut off and proposes nothing.
const CUT_OFF_DIVISOR: usize = 2;

/// Fewer hosts than this say nothing about being cut off.
const CUT_OFF_MIN_HOSTS: usize = 4;

/// Counts the changes that a host made to what it announces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRevision(pub u64);

impl HostRevision {
    /// Stands for a host that is known from the roster only.
    pub const UNHEARD: HostRevision = HostRevision(u64::MAX);
}

/// A change of the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterEdit {
    /// Add or replace a host.
    Put(HostRecord),
    /// Take a host off, unless it has started again since.
    Remove(HostRecord),
}

impl RosterEdit {
    /// The host as the keeper knows it.
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
    heard: TimePoint,
    differs_since: Option<TimePoint>,
    rank: u32,
}

impl TrackedHost {
    fn is_silent(&self, now: TimePoint) -> bool {
        let patience = if self.revision == HostRevision::UNHEARD {
            ADOPTION_GRACE
        } else {
            SUSPECT_AFTER
        };
        now.since(self.heard) >= patience
    }
}

/// The hosts that one entry VM looks after.
#[derive(Debug, Default)]
pub struct HostTracker {
    sightings: HashMap<HostName, TrackedHost>,
    last_tick: TimePoint,
}

impl HostTracker {
    /// Notes an announcement. `rank` is this entry VM's rank for the host.
    pub fn record_registration(
        &mut self,
        record: HostRecord,
        revision: HostRevision,
        rank: u32,
        now: TimePoint,
    ) {
        match self.sightings.get_mut(&record.name) {
            Some(known) if known.record.incarnation > record.incarnation => {}
            Some(known) => {
                if known.record != record {
                    known.differs_since = None;
                }
                known.record = record;
                known.revision = revision;
                known.heard = now;
                known.rank = rank;
            }
            None => {
                let name = record.name.clone();
                let sighting = TrackedHost {
                    record,
                    revision,
                    heard: now,
                    differs_since: None,
                    rank,
                };
                self.sightings.insert(name, sighting);
            }
        }
    }

    /// Notes a short announcement. Returns the host if just this record of it
    /// is known; otherwise the host has to announce itself in full.
    pub fn record_keep_alive(
        &mut self,
        name: &HostName,
        incarnation: Incarnation,
        revision: HostRevision,
        now: TimePoint,
    ) -> Option<&HostRecord> {
        let known = self.sightings.get_mut(name)?;
        if known.record.incarnation != incarnation || known.revision != revision {
            return None;
        }
        known.heard = now;
        Some(&known.record)
    }

    /// Hosts looked after.
    pub fn len(&self) -> usize {
        self.sightings.len()
    }

    /// Whether no host is looked after.
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty()
    }

    /// Takes on the hosts of the roster that were never heard here, as after
    /// a start, so that their silence is noticed.
    pub fn adopt(&mut self, record: &HostRecord, rank: u32, now: TimePoint) {
        if !self.sightings.contains_key(&record.name) {
            self.record_registration(record.clone(), HostRevision::UNHEARD, rank, now);
        }
    }

    /// Notes that the members changed: `rank` tells the rank of this entry VM for
    /// a host, none if it is no keeper of it.
    pub fn reassign(&mut self, rank: impl Fn(&HostRecord) -> Option<u32>, now: TimePoint) {
        for sighting in self.sightings.values_mut() {
            let was_stray = sighting.rank as usize >= TRACKERS_PER_HOST;
            sighting.rank = rank(&sighting.record).unwrap_or(TRACKERS_PER_HOST as u32);
            // A host that stopped announcing itself here has yet to learn that
            // it should again.
            if was_stray && sighting.is_silent(now) {
                sighting.revision = HostRevision::UNHEARD;
                sighting.heard = now;
            }
        }
    }

    /// Hosts that were heard lately, as they announced themselves.
    pub fn live_hosts(&self, now: TimePoint) -> impl Iterator<Item = &HostRecord> {
        self.sightings
            .values()
            .filter(move |sighting| {
                sighting.revision != HostRevision::UNHEARD && !sighting.is_silent(now)
            })
            .map(|sighting| &sighting.record)
    }

    /// Edits that the roster needs. `current` finds a host in the roster.
    pub fn edits(
        &mut self,
        current: impl Fn(&HostRecord) -> Option<HostRecord>,
        now: TimePoint,
    ) -> Vec<RosterEdit> {
        self.forgive_pause(now);
        let cut_off = self.seems_cut_off(now);
        let mut edits = Vec::new();
        let mut ended = Vec::new();
        for (name, sighting) in &mut self.sightings {
            let in_roster = current(&sighting.record);
            if sighting.rank as usize >= TRACKERS_PER_HOST
                && now.since(sighting.heard) >= GONE_AFTER
            {
                ended.push(name.clone());
                continue;
            }
            if let Some(record) = &in_roster
                && record.incarnation > sighting.record.incarnation
            {
                // Another keeper heard a later start of this host.
                sighting.record = record.clone();
                sighting.heard = now;
                continue;
            }
            let wanted = wanted_record(sighting, now);
            if wanted.is_none() && in_roster.is_none() {
                ended.push(name.clone());
                continue;
            }
            if !needs_edit(in_roster.as_ref(), wanted.as_ref()) {
                sighting.differs_since = None;
                continue;
            }
            // Hosts stop announcing themselves to those who are no keepers of
            // theirs, so only a keeper takes silence for an end.
            let stray = sighting.rank as usize >= TRACKERS_PER_HOST;
            if sighting.is_silent(now) && (cut_off || stray) {
                continue;
            }
            let since = *sighting.differs_since.get_or_insert(now);
            if now.since(since) >= RANK_DELAY * sighting.rank {
                edits.push(match wanted {
                    Some(record) => RosterEdit::Put(record),
                    None => RosterEdit::Remove(sighting.record.clone()),
                });
            }
        }
        for name in ended {
            self.sightings.remove(&name);
        }
        edits
    }

    // After a pause of this process its silence says nothing about the hosts.
    fn forgive_pause(&mut self, now: TimePoint) {
        if now.since(self.last_tick) >= SUSPECT_AFTER / 2 {
            for sighting in self.sightings.values_mut() {
                sighting.heard = now;
            }
        }
        self.last_tick = now;
    }

    fn seems_cut_off(&self, now: TimePoint) -> bool {
        let silent = self
            .sightings
            .values()
            .filter(|sighting| sighting.is_silent(now))
            .count();
        self.sightings.len() >= CUT_OFF_MIN_HOSTS && silent > self.sightings.len() / CUT_OFF_DIVISOR
    }
}

fn needs_edit(current: Option<&HostRecord>, wanted: Option<&HostRecord>) -> bool {
    match (current, wanted) {
        (None, None) => false,
        (None, Some(_)) => true,
        (Some(_), None) => true,
        (Some(current), Some(wanted)) => current != wanted,
    }
}

// What the roster should say of a host; none if it should not be there.
fn wanted_record(sighting: &TrackedHost, now: TimePoint) -> Option<HostRecord> {
    let silence = now.since(sighting.heard);
    let mut record = sighting.record.clone();
    if silence >= GONE_AFTER {
        return None;
    }
    if sighting.is_silent(now) {
        record.state = record
            .state
            .after(HostEvent::Silent)
            .unwrap_or(record.state);
    }
    match record.state {
        HostState::Gone | HostState::Joining => None,
        // Warming up is a matter between the host and those that it announces
        // itself to; it is not worth a second write.
        HostState::Warming => {
            record.state = HostState::Serving;
            Some(record)
        }
        _ => Some(record),
    }
}
