//! What an entry VM routes by: an immutable picture of the manifests and
//! rosters, built beside the packet path and swapped in whole.
//!
//! A change builds only the services that it touches; the others are shared
//! between the old view and the new one.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::chart::HostState;
use crate::flow::BucketIndex;
use crate::ids::{HostName, ObjectVersion, ServiceId, ServiceTag};
use crate::manifest::ServiceSpec;
use crate::placement::{ChainSource, HostChain, HostSeed, RankedHost};
use crate::roster::{HostIndex, HostRecord};

/// A host as routing sees it.
#[derive(Debug, Clone)]
pub struct ViewHost {
    /// What the roster says.
    pub record: Arc<HostRecord>,
    /// Its state, with the suspicions of this entry VM on top.
    pub state: HostState,
}

impl ViewHost {
    /// Whether the host may be asked to open flows.
    pub fn accepts_flows(&self) -> bool {
        matches!(self.state, HostState::Warming | HostState::Serving)
    }
}

/// A service with the hosts that may hold its flows.
#[derive(Debug)]
pub struct ServiceView {
    /// The name that packets carry.
    pub tag: ServiceTag,
    /// What the manifest says.
    pub spec: Arc<ServiceSpec>,
    /// Hash of what a host should know of its service.
    pub slice: u64,
    hosts: Vec<ViewHost>,
    chains: ChainSource,
    held: HashMap<BucketIndex, Vec<HostIndex>>,
}

impl ServiceView {
    /// Builds the view of a service from the manifest with this version.
    pub fn build(
        spec: Arc<ServiceSpec>,
        version: ObjectVersion,
        records: &[Arc<HostRecord>],
        suspects: &BTreeSet<HostName>,
    ) -> Self {
        let holders = records.iter().filter(|record| record.holds_flows());
        let mut hosts: Vec<ViewHost> = holders
            .map(|record| ViewHost {
                state: if suspects.contains(&record.name) {
                    HostState::Suspect
                } else {
                    record.state
                },
                record: Arc::clone(record),
            })
            .collect();
        limit_suspects(&spec, &mut hosts);
        let mut held: HashMap<BucketIndex, Vec<HostIndex>> = HashMap::new();
        let mut ranked = Vec::with_capacity(hosts.len());
        for (index, host) in hosts.iter().enumerate() {
            let index = HostIndex(index as u32);
            ranked.push(RankedHost {
                host: index,
                seed: HostSeed::of(host.record.name.as_str()),
                weight: host.record.weight,
            });
            for bucket in &host.record.held {
                held.entry(*bucket).or_default().push(index);
            }
        }
        Self {
            tag: spec.id.tag(),
            slice: slice_hash(version, &hosts),
            spec,
            hosts,
            chains: ChainSource::build(ranked),
            held,
        }
    }

    /// Firm and name.
    pub fn id(&self) -> &ServiceId {
        &self.spec.id
    }

    /// The candidates of a bucket.
    pub fn chain(&self, bucket: BucketIndex) -> HostChain {
        self.chains.chain(bucket)
    }

    /// Hosts that hold flows of a bucket without being candidates.
    pub fn held(&self, bucket: BucketIndex) -> &[HostIndex] {
        self.held.get(&bucket).map_or(&[], Vec::as_slice)
    }

    /// A host of this service.
    pub fn host(&self, index: HostIndex) -> &ViewHost {
        &self.hosts[index.0 as usize]
    }

    // Whether a host of this view is missing from a later one without having
    // left; a new start of a host is another host.
    fn lost_hosts(&self, later: &ServiceView) -> bool {
        self.hosts.iter().any(|host| {
            host.record.state != HostState::Leaving
                && later
                    .hosts
                    .iter()
                    .all(|other| other.record.incarnation != host.record.incarnation)
        })
    }

    /// All hosts that may hold flows.
    pub fn hosts(&self) -> &[ViewHost] {
        &self.hosts
    }
}

// So many suspects say more about the keepers than about the hosts.
fn limit_suspects(spec: &ServiceSpec, hosts: &mut [ViewHost]) {
    let is_suspect = |host: &&mut ViewHost| host.state == HostState::Suspect;
    let suspects = hosts.iter_mut().filter(is_suspect).count();
    if suspects > spec.eject_limit.of(hosts.len()) {
        for host in hosts.iter_mut().filter(is_suspect) {
            host.state = HostState::Serving;
        }
    }
}

// A suspicion is not part of the hash, since keepers may differ in it.
fn slice_hash(version: ObjectVersion, hosts: &[ViewHost]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(&version.0.to_le_bytes());
    for host in hosts {
        let record = &host.record;
        let state = match record.state {
            HostState::Suspect => HostState::Serving,
            state => state,
        };
        hash.update(record.name.as_str().as_bytes());
        hash.update(&record.incarnation.0.to_le_bytes());
        hash.update(&record.weight.get().to_le_bytes());
        hash.update(&[state as u8]);
    }
    hash.digest()
}

/// Everything a packet's route depends on.
#[derive(Debug, Clone, Default)]
pub struct RoutingView {
    /// The highest version of the rosters that it is built from.
    pub generation: ObjectVersion,
    by_address: HashMap<SocketAddrV4, Arc<ServiceView>>,
    by_id: HashMap<ServiceId, Arc<ServiceView>>,
}

impl RoutingView {
    /// Adds or replaces a service.
    pub fn put(&mut self, service: ServiceView) {
        self.remove(&service.spec.id);
        let service = Arc::new(service);
        for address in service.spec.addresses() {
            self.by_address.insert(address, Arc::clone(&service));
        }
        self.by_id.insert(service.spec.id.clone(), service);
    }

    /// Takes a service out.
    pub fn remove(&mut self, id: &ServiceId) {
        if let Some(old) = self.by_id.remove(id) {
            for address in old.spec.addresses() {
                // Another service may have taken the address over.
                let owned = self
                    .by_address
                    .get(&address)
                    .is_some_and(|service| service.spec.id == *id);
                if owned {
                    self.by_address.remove(&address);
                }
            }
        }
    }

    /// The service at an address.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&Arc<ServiceView>> {
        self.by_address.get(&address)
    }

    /// The service of this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceView>> {
        self.by_id.get(id)
    }

    /// Addresses of services that lost a host, compared with an older view: one
    /// that was there and did not leave.
    pub fn services_with_lost_hosts(&self, old: &RoutingView) -> BTreeSet<SocketAddrV4> {
        let mut lost = BTreeSet::new();
        for (address, before) in &old.by_address {
            let Some(after) = self.by_address.get(address) else {
                continue;
            };
            if !Arc::ptr_eq(before, after) && before.lost_hosts(after) {
                lost.insert(*address);
            }
        }
        lost
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceView> {
        self.by_id.values().map(Arc::as_ref)
    }

    /// The ids of all services.
    pub fn ids(&self) -> impl Iterator<Item = &ServiceId> {
        self.by_id.keys()
    }
}
