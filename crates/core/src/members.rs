//! Membership of the entry VMs and the assignment of duties to them.
//!
//! There is no leader election. Each duty is assigned to the first few entry VMs
//! of a ranking that every process computes identically; a lower rank waits longer
//! before it acts. Two entry VMs that act concurrently cause no conflict, since
//! every write is conditional on the version that it is based on.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::{DatacenterName, EntryName, HostName, Incarnation};
use crate::placement::{HostSeed, mix};
use crate::units::TimePoint;

/// Number of entry VMs that track a host.
pub const TRACKERS_PER_HOST: usize = 2;

/// Maximum number of entry VMs of a fleet in which every host registers with all of them,
/// limited by the size of the datagram that names them. Each entry VM then knows every live
/// host, whether a roster lists it or not.
pub const FULL_MESH_FLEET: usize = 12;

/// Number of registration targets of a host in a fleet of more than [`FULL_MESH_FLEET`] and up
/// to [`FULL_FANOUT_FLEET`] entry VMs, its trackers first. The other targets receive the host's
/// changes without the platform.
pub const REGISTRATION_FANOUT: usize = 8;

/// Number of entry VMs from which on a host registers at fewer of them, in inverse proportion
/// to their number: in the largest fleets, registrations at eight entry VMs would use the
/// 15 KB/s available to a node.
pub const FULL_FANOUT_FLEET: usize = 64;

/// Number of entry VMs per data centre that watch the platform. One is sufficient
/// even if it is isolated from the platform, since watchers of other data centres
/// propagate the changes to all entry VMs.
pub const WATCHERS_PER_DATACENTER: usize = 1;

/// Number of ring neighbours in each direction that an entry VM exchanges heartbeats
/// with.
pub const NEIGHBOURS: usize = 3;

/// Additional delay per rank before an entry VM acts.
pub const RANK_DELAY: Duration = Duration::from_secs(1);

/// Time without a heartbeat after which an entry VM is removed from the members.
pub const ENTRY_SILENCE: Duration = Duration::from_millis(2500);

/// One entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRecord {
    /// Unique name.
    pub name: EntryName,
    /// Data centre that it runs in.
    pub datacenter: DatacenterName,
    /// UDP address for heartbeats and registrations.
    pub peers: SocketAddrV4,
    /// HTTP address for status, pulls and slices.
    pub status: SocketAddrV4,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// A hash ring of entry VMs, sorted by the hash of their names.
#[derive(Debug, Clone, Default)]
pub struct MemberRing {
    ring: Vec<(HostSeed, EntryRecord)>,
}

impl MemberRing {
    /// Creates a ring of the given entry VMs.
    pub fn new(entries: impl IntoIterator<Item = EntryRecord>) -> Self {
        let mut ring: Vec<_> = entries
            .into_iter()
            .map(|entry| (HostSeed::of(entry.name.as_str()), entry))
            .collect();
        ring.sort_unstable_by(|(seed, entry), (other, other_entry)| {
            seed.cmp(other)
                .then_with(|| entry.name.cmp(&other_entry.name))
        });
        Self { ring }
    }

    /// Returns all entry VMs in ring order.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.ring.iter().map(|(_, entry)| entry)
    }

    /// Returns whether the ring has no entry VMs.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Returns the entry VM of this name.
    pub fn find(&self, name: &EntryName) -> Option<&EntryRecord> {
        let seed = HostSeed::of(name.as_str());
        let start = self.ring.partition_point(|(other, _)| *other < seed);
        self.ring[start..]
            .iter()
            .take_while(|(other, _)| *other == seed)
            .map(|(_, entry)| entry)
            .find(|entry| entry.name == *name)
    }

    /// Returns the entry VMs after `me` in the ring, to which it sends heartbeats.
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

    /// Returns the entry VMs before `me` in the ring, nearest first, from which it
    /// expects heartbeats.
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
            let index = best.partition_point(|(other, _)| *other <= score);
            if index < count {
                best.insert(index, (score, entry));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the trackers of a host, best rank first. They are chosen from this ring,
    /// which is that of the host's data centre, and from `global_ring` if this ring has
    /// fewer than [`TRACKERS_PER_HOST`].
    pub fn trackers<'a>(
        &'a self,
        host: &HostName,
        global_ring: &'a MemberRing,
    ) -> Vec<&'a EntryRecord> {
        let subject = HostSeed::of(host.as_str());
        let mut trackers = self.ranked(subject, TRACKERS_PER_HOST);
        if trackers.len() < TRACKERS_PER_HOST {
            // Twice the number, since up to all of them may already be in `trackers`.
            for entry in global_ring.ranked(subject, 2 * TRACKERS_PER_HOST) {
                if trackers.len() < TRACKERS_PER_HOST && !trackers.contains(&entry) {
                    trackers.push(entry);
                }
            }
        }
        trackers
    }

    /// Returns the entry VMs that a host registers at: its trackers, then others of
    /// `global_ring` by rank.
    pub fn registration_targets<'a>(
        &'a self,
        host: &HostName,
        global_ring: &'a MemberRing,
    ) -> Vec<&'a EntryRecord> {
        let mut registration_targets = self.trackers(host, global_ring);
        let fanout = global_ring.registration_fanout();
        let subject = HostSeed::of(host.as_str());
        for entry in global_ring.ranked(subject, fanout + TRACKERS_PER_HOST) {
            if registration_targets.len() < fanout && !registration_targets.contains(&entry) {
                registration_targets.push(entry);
            }
        }
        registration_targets
    }

    // Returns the number of entry VMs of this ring, which is that of all data centres, that a
    // host registers at. It shrinks by one at a time as the fleet grows.
    fn registration_fanout(&self) -> usize {
        if self.is_full_mesh() {
            return FULL_MESH_FLEET;
        }
        let entries = self.ring.len().max(FULL_FANOUT_FLEET);
        (REGISTRATION_FANOUT * FULL_FANOUT_FLEET / entries).max(TRACKERS_PER_HOST)
    }

    /// Returns whether hosts register with every entry VM of this ring, which is that of all
    /// data centres.
    pub fn is_full_mesh(&self) -> bool {
        self.ring.len() <= FULL_MESH_FLEET
    }

    /// Returns whether the ring has enough entry VMs to track the hosts of its data
    /// centre without those of others.
    pub fn has_enough_trackers(&self) -> bool {
        self.ring.len() >= TRACKERS_PER_HOST
    }

    /// Returns whether `me` watches the platform for its data centre `datacenter`,
    /// whose entry VMs this ring consists of. Always true for an empty ring.
    pub fn is_watcher(&self, me: &EntryName, datacenter: &DatacenterName) -> bool {
        let subject = HostSeed::of(datacenter.as_str());
        let watchers = self.ranked(subject, WATCHERS_PER_DATACENTER);
        self.is_empty() || watchers.iter().any(|entry| entry.name == *me)
    }
}

/// Detects silence of the entry VMs that send heartbeats to this one.
#[derive(Debug, Default)]
pub struct EntryMonitor {
    last_seen: HashMap<EntryName, TimePoint>,
    last_check: TimePoint,
}

impl EntryMonitor {
    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, name: EntryName, now: TimePoint) {
        self.last_seen.insert(name, now);
    }

    /// Removes an entry VM that has left.
    pub fn forget(&mut self, name: &EntryName) {
        self.last_seen.remove(name);
    }

    /// Returns the entry VMs of `watched` that have been silent for [`ENTRY_SILENCE`].
    /// After a pause of this process, in which it may have missed heartbeats, all of
    /// them count as just seen.
    pub fn silent(&mut self, watched: &[EntryName], now: TimePoint) -> Vec<EntryName> {
        let paused = now.since(self.last_check) >= ENTRY_SILENCE / 2;
        self.last_check = now;
        self.last_seen.retain(|name, _| watched.contains(name));
        let mut silent = Vec::new();
        for name in watched {
            let last_seen = self.last_seen.entry(name.clone()).or_insert(now);
            if paused {
                *last_seen = now;
            }
            if now.since(*last_seen) >= ENTRY_SILENCE {
                silent.push(name.clone());
            }
        }
        silent
    }
}
