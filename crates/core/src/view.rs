//! What an entry VM routes by: an immutable picture of the manifests and
//! rosters, built beside the packet path and swapped in whole.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::chart::HostState;
use crate::flow::BucketIndex;
use crate::ids::{ObjectVersion, ServiceId, ServiceTag};
use crate::manifest::ServiceSpec;
use crate::placement::{ChainSource, HostChain, HostSeed, RankedHost};
use crate::roster::{HostIndex, HostRecord};

/// Index of a service in a [`RoutingView`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub u32);

/// A service with the hosts that serve it.
#[derive(Debug)]
pub struct ServiceView {
    /// Firm and name.
    pub id: ServiceId,
    /// The name that packets carry.
    pub tag: ServiceTag,
    /// What the manifest says.
    pub spec: Arc<ServiceSpec>,
    /// Number of hosts that may hold flows.
    pub holders: usize,
    /// Hash of what a host should know of its service.
    pub slice: u64,
    first_host: HostIndex,
    chains: ChainSource,
    held: HashMap<BucketIndex, Vec<HostIndex>>,
}

impl ServiceView {
    /// The candidates of a bucket.
    pub fn chain(&self, bucket: BucketIndex) -> HostChain {
        self.chains.chain(bucket)
    }

    /// Hosts that hold flows of a bucket without being candidates.
    pub fn held(&self, bucket: BucketIndex) -> &[HostIndex] {
        self.held.get(&bucket).map_or(&[], Vec::as_slice)
    }
}

/// Everything a packet's route depends on.
#[derive(Debug, Default)]
pub struct RoutingView {
    /// The highest version of the rosters that it is built from.
    pub generation: ObjectVersion,
    services: Vec<ServiceView>,
    by_address: HashMap<SocketAddrV4, ServiceIndex>,
    by_id: HashMap<ServiceId, ServiceIndex>,
    hosts: Vec<HostRecord>,
}

impl RoutingView {
    /// Builds the view; with each service comes the version of the manifest
    /// that it is from. A host whose service no manifest names, or which can
    /// hold no flow, is left out.
    pub fn build(
        generation: ObjectVersion,
        specs: impl IntoIterator<Item = (Arc<ServiceSpec>, ObjectVersion)>,
        records: impl IntoIterator<Item = HostRecord>,
    ) -> Self {
        let mut groups: HashMap<ServiceId, Vec<HostRecord>> = HashMap::new();
        for record in records.into_iter().filter(HostRecord::holds_flows) {
            groups
                .entry(record.service.clone())
                .or_default()
                .push(record);
        }
        let mut view = Self {
            generation,
            ..Self::default()
        };
        for (spec, version) in specs {
            let index = ServiceIndex(view.services.len() as u32);
            view.by_address.insert(spec.address, index);
            view.by_id.insert(spec.id.clone(), index);
            let records = groups.remove(&spec.id).unwrap_or_default();
            view.push_service(spec, version, records);
        }
        view
    }

    fn push_service(
        &mut self,
        spec: Arc<ServiceSpec>,
        version: ObjectVersion,
        records: Vec<HostRecord>,
    ) {
        let slice = slice_hash(version, &records);
        let first_host = HostIndex(self.hosts.len() as u32);
        let mut ranked = Vec::with_capacity(records.len());
        let mut held: HashMap<BucketIndex, Vec<HostIndex>> = HashMap::new();
        let ejectable = spec.eject_limit.of(records.len());
        let suspects = records
            .iter()
            .filter(|record| record.state == HostState::Suspect)
            .count();
        for mut record in records {
            if record.state == HostState::Suspect && suspects > ejectable {
                // So many suspects say more about the keepers than the hosts.
                record.state = HostState::Serving;
            }
            let host = HostIndex(self.hosts.len() as u32);
            ranked.push(RankedHost {
                host,
                seed: HostSeed::of(record.name.as_str()),
                weight: record.weight,
            });
            for bucket in &record.held {
                held.entry(*bucket).or_default().push(host);
            }
            self.hosts.push(record);
        }
        self.services.push(ServiceView {
            tag: spec.id.tag(),
            id: spec.id.clone(),
            spec,
            holders: ranked.len(),
            slice,
            first_host,
            chains: ChainSource::build(ranked),
            held,
        });
    }

    /// The service at an address.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceView> {
        self.by_address
            .get(&address)
            .map(|index| &self.services[index.0 as usize])
    }

    /// The service of this name.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceView> {
        self.by_id
            .get(id)
            .map(|index| &self.services[index.0 as usize])
    }

    /// The hosts of a service.
    pub fn hosts_of(&self, service: &ServiceView) -> &[HostRecord] {
        let start = service.first_host.0 as usize;
        &self.hosts[start..start + service.holders]
    }

    /// A host of this view.
    pub fn host(&self, index: HostIndex) -> &HostRecord {
        &self.hosts[index.0 as usize]
    }

    /// All services.
    pub fn services(&self) -> &[ServiceView] {
        &self.services
    }

    /// All hosts that may hold flows.
    pub fn hosts(&self) -> &[HostRecord] {
        &self.hosts
    }
}

// A suspicion is not part of the hash, since keepers may differ in it.
fn slice_hash(version: ObjectVersion, records: &[HostRecord]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(&version.0.to_le_bytes());
    for record in records {
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
