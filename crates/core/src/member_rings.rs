//! The rings of all entry VMs and of each data centre's, as one entry VM sees them, and the
//! duties that follow from them.

use std::collections::BTreeMap;

use crate::document::DocumentItem;
use crate::ids::{DatacenterName, EntryName};
use crate::members::{EntryRecord, MemberRing};
use crate::roster::HostRecord;
use crate::view::RegistrationReach;

/// The member rings of one entry VM.
#[derive(Debug)]
pub struct MemberRings {
    me: EntryRecord,
    global: MemberRing,
    datacenters: BTreeMap<DatacenterName, MemberRing>,
    // Stands for the ring of a data centre without entry VMs.
    empty: MemberRing,
}

impl MemberRings {
    /// Creates empty rings of the entry VM `me`.
    pub fn new(me: EntryRecord) -> Self {
        Self {
            me,
            global: MemberRing::default(),
            datacenters: BTreeMap::new(),
            empty: MemberRing::default(),
        }
    }

    /// Rebuilds the rings from the items of the members documents.
    pub fn rebuild<'a>(&mut self, items: impl Iterator<Item = &'a DocumentItem>) {
        let mut groups: BTreeMap<DatacenterName, Vec<EntryRecord>> = BTreeMap::new();
        for item in items {
            if let DocumentItem::Entry(entry) = item {
                let group = groups.entry(entry.datacenter.clone()).or_default();
                group.push(entry.clone());
            }
        }
        self.global = MemberRing::new(groups.values().flatten().cloned());
        self.datacenters = groups
            .into_iter()
            .map(|(datacenter, entries)| (datacenter, MemberRing::new(entries)))
            .collect();
    }

    /// Returns the entry VMs of all data centres.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.global.entries()
    }

    /// Returns the other entry VMs of the data centre of this one.
    pub fn near_peers(&self) -> impl Iterator<Item = &EntryRecord> {
        let me = &self.me;
        let near = self.ring_of(&me.datacenter).entries();
        near.filter(move |entry| entry.name != me.name)
    }

    /// Returns the entry VMs of other data centres.
    pub fn far_peers(&self) -> impl Iterator<Item = &EntryRecord> {
        let local = &self.me.datacenter;
        let entries = self.global.entries();
        entries.filter(move |entry| entry.datacenter != *local)
    }

    /// Returns whether an entry VM of this name is a member.
    pub fn contains(&self, name: &EntryName) -> bool {
        self.global.find(name).is_some()
    }

    /// Returns the entry VMs that this one sends heartbeats to.
    pub fn successors(&self) -> Vec<&EntryRecord> {
        self.global.successors(&self.me.name)
    }

    /// Returns the entry VMs that this one expects heartbeats from, nearest first.
    pub fn predecessors(&self) -> Vec<&EntryRecord> {
        self.global.predecessors(&self.me.name)
    }

    /// Returns whether this entry VM watches the platform for its data centre.
    pub fn is_watcher(&self) -> bool {
        let datacenter = &self.me.datacenter;
        self.datacenters
            .get(datacenter)
            .is_none_or(|ring| ring.is_watcher(&self.me.name, datacenter))
    }

    /// Returns which entry VMs hosts register with.
    pub fn registration_reach(&self) -> RegistrationReach {
        if !self.contains(&self.me.name) {
            RegistrationReach::Unknown
        } else if self.global.is_full_mesh() {
            RegistrationReach::AllEntries
        } else {
            RegistrationReach::SomeEntries
        }
    }

    /// Returns whether this entry VM may track hosts of a data centre.
    pub fn may_track(&self, datacenter: &DatacenterName) -> bool {
        *datacenter == self.me.datacenter || !self.ring_of(datacenter).has_enough_trackers()
    }

    /// Returns the rank of this entry VM among the trackers of a host, or `None` if it is not
    /// one of them.
    pub fn tracker_rank(&self, host: &HostRecord) -> Option<u32> {
        let ring = self.ring_of(&host.datacenter);
        let trackers = ring.trackers(&host.name, &self.global);
        let rank = trackers
            .iter()
            .position(|entry| entry.name == self.me.name)?;
        Some(rank as u32)
    }

    /// Returns the entry VMs that a host registers at, its trackers first, or this entry VM if
    /// the rings are empty.
    pub fn registration_targets(&self, host: &HostRecord) -> Vec<EntryRecord> {
        let ring = self
            .datacenters
            .get(&host.datacenter)
            .unwrap_or(&self.global);
        let targets = ring.registration_targets(&host.name, &self.global);
        if targets.is_empty() {
            vec![self.me.clone()]
        } else {
            targets.into_iter().cloned().collect()
        }
    }

    fn ring_of(&self, datacenter: &DatacenterName) -> &MemberRing {
        self.datacenters.get(datacenter).unwrap_or(&self.empty)
    }
}
