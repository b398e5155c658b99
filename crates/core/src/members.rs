//! The entry VMs and who looks after what among them.
//!
//! There is no election. Each duty falls to the first few entry VMs of a
//! ranking that everyone computes alike; a lower rank waits longer before it
//! acts. Two that act at once do no harm, since every write is conditional on
//! the version that it is based on.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::{DatacenterName, EntryName, HostName, Incarnation};
use crate::placement::{HostSeed, mix};
use crate::units::TimePoint;

/// Entry VMs that a host announces itself to.
pub const TRACKERS_PER_HOST: usize = 2;

/// Entry VMs that a host announces itself to in a small fleet, its keepers
/// first: those that are no keepers hear of it without the platform.
pub const REGISTRATION_FANOUT: usize = 8;

/// Up to so many entry VMs a fleet is small. In a large one announcements to
/// eight would take a node's 15 KB/s, and hosts tell their keepers only.
pub const SMALL_FLEET: usize = 64;

/// Entry VMs of a data centre that watch the platform. Those of other data
/// centres stand in for one that is cut off: changes spread to all.
pub const WATCHERS_PER_DATACENTER: usize = 1;

/// Entry VMs that each one exchanges heartbeats with, in each direction.
pub const NEIGHBOURS: usize = 3;

/// Time that each lower rank waits longer before it acts.
pub const RANK_DELAY: Duration = Duration::from_secs(1);

/// An entry VM that is silent for this time is taken off the members.
pub const ENTRY_SILENCE: Duration = Duration::from_millis(2500);

/// One entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRecord {
    /// Its name.
    pub name: EntryName,
    /// Where it stands.
    pub datacenter: DatacenterName,
    /// Where it takes heartbeats and announcements.
    pub peers: SocketAddrV4,
    /// Where it answers over HTTP.
    pub status: SocketAddrV4,
    /// Start of its process.
    pub incarnation: Incarnation,
}

/// All entry VMs, in the order of their hashes, closed to a ring.
#[derive(Debug, Clone, Default)]
pub struct MemberRing {
    ring: Vec<(HostSeed, EntryRecord)>,
}

impl MemberRing {
    /// The ring of these entry VMs.
    pub fn new(entries: impl IntoIterator<Item = EntryRecord>) -> Self {
        let mut ring: Vec<_> = entries
            .into_iter()
            .map(|entry| (HostSeed::of(entry.name.as_str()), entry))
            .collect();
        ring.sort_unstable_by(|(seed, entry), (other, rival)| {
            seed.cmp(other).then_with(|| entry.name.cmp(&rival.name))
        });
        Self { ring }
    }

    /// All entry VMs.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.ring.iter().map(|(_, entry)| entry)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// One entry VM.
    pub fn find(&self, name: &EntryName) -> Option<&EntryRecord> {
        let seed = HostSeed::of(name.as_str());
        let start = self.ring.partition_point(|(other, _)| *other < seed);
        self.ring[start..]
            .iter()
            .take_while(|(other, _)| *other == seed)
            .map(|(_, entry)| entry)
            .find(|entry| entry.name == *name)
    }

    /// The entry VMs after `me`, which it sends heartbeats to.
    pub fn successors(&self, me: &EntryName) -> Vec<&EntryRecord> {
        let seed = HostSeed::of(me.as_str());
        let start = self.ring.partition_point(|(other, _)| *other <= seed);
        let len = self.ring.len();
        (0..len)
            .map(|step| &self.ring[(start + step) % len].1)
            .filter(|entry| entry.name != *me)
            .take(NEIGHBOURS)
            .collect()
    }

    /// The entry VMs before `me`, nearest first, whose heartbeats it expects.
    pub fn predecessors(&self, me: &EntryName) -> Vec<&EntryRecord> {
        let seed = HostSeed::of(me.as_str());
        let start = self.ring.partition_point(|(other, _)| *other < seed);
        let len = self.ring.len();
        (1..=len)
            .map(|step| &self.ring[(start + len - step) % len].1)
            .filter(|entry| entry.name != *me)
            .take(NEIGHBOURS)
            .collect()
    }

    fn ranked(&self, subject: HostSeed, count: usize) -> Vec<&EntryRecord> {
        let mut best: Vec<(u64, &EntryRecord)> = Vec::with_capacity(count + 1);
        for (seed, entry) in &self.ring {
            let score = mix(subject.0 ^ seed.0.rotate_left(1));
            let place = best.partition_point(|(other, _)| *other <= score);
            if place < count {
                best.insert(place, (score, entry));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, entry)| entry).collect()
    }

    /// The entry VMs that look after a host, best rank first: those of this
    /// ring, which is its data centre's, and others of `all` if it has too few.
    pub fn trackers<'a>(&'a self, host: &HostName, all: &'a MemberRing) -> Vec<&'a EntryRecord> {
        let subject = HostSeed::of(host.as_str());
        let mut trackers = self.ranked(subject, TRACKERS_PER_HOST);
        if trackers.len() < TRACKERS_PER_HOST {
            // One more than needed for each that may be there already.
            for entry in all.ranked(subject, 2 * TRACKERS_PER_HOST) {
                if trackers.len() < TRACKERS_PER_HOST && !trackers.contains(&entry) {
                    trackers.push(entry);
                }
            }
        }
        trackers
    }

    /// The entry VMs that a host announces itself to: its keepers, then others of
    /// `all` by their rank.
    pub fn registration_targets<'a>(
        &'a self,
        host: &HostName,
        all: &'a MemberRing,
    ) -> Vec<&'a EntryRecord> {
        let mut registration_targets = self.trackers(host, all);
        if all.ring.len() > SMALL_FLEET {
            return registration_targets;
        }
        let subject = HostSeed::of(host.as_str());
        for entry in all.ranked(subject, REGISTRATION_FANOUT + TRACKERS_PER_HOST) {
            if registration_targets.len() < REGISTRATION_FANOUT
                && !registration_targets.contains(&entry)
            {
                registration_targets.push(entry);
            }
        }
        registration_targets
    }

    /// Whether the ring has enough entry VMs to look after its own hosts.
    pub fn is_self_sufficient(&self) -> bool {
        self.ring.len() >= TRACKERS_PER_HOST
    }

    /// Whether `me` watches the platform for its data centre, whose entry VMs
    /// this ring consists of.
    pub fn is_watcher(&self, me: &EntryName, datacenter: &DatacenterName) -> bool {
        let subject = HostSeed::of(datacenter.as_str());
        let watchers = self.ranked(subject, WATCHERS_PER_DATACENTER);
        self.is_empty() || watchers.iter().any(|entry| entry.name == *me)
    }
}

/// Watches the entry VMs that send heartbeats to this one.
#[derive(Debug, Default)]
pub struct EntryMonitor {
    heard: HashMap<EntryName, TimePoint>,
    last_check: TimePoint,
}

impl EntryMonitor {
    /// Notes a heartbeat.
    pub fn record_heartbeat(&mut self, name: EntryName, now: TimePoint) {
        self.heard.insert(name, now);
    }

    /// Forgets an entry VM that left.
    pub fn forget(&mut self, name: &EntryName) {
        self.heard.remove(name);
    }

    /// Entry VMs among `watched` that have been silent for too long. After a
    /// pause of this process nobody is, until there was time to hear again.
    pub fn silent(&mut self, watched: &[EntryName], now: TimePoint) -> Vec<EntryName> {
        let paused = now.since(self.last_check) >= ENTRY_SILENCE / 2;
        self.last_check = now;
        self.heard.retain(|name, _| watched.contains(name));
        let mut silent = Vec::new();
        for name in watched {
            let heard = self.heard.entry(name.clone()).or_insert(now);
            if paused {
                *heard = now;
            }
            if now.since(*heard) >= ENTRY_SILENCE {
                silent.push(name.clone());
            }
        }
        silent
    }
}
