//! The view that an entry VM routes packets by: an immutable snapshot of the
//! manifests and rosters, built outside of the packet path and replaced as a whole.
//!
//! A change rebuilds only the services that it affects; the old and the new view
//! share all others.
//!
//! What a view says of a service has two parts. A [`ServiceView`] tells where flows to its
//! addresses go; only a service with a route has one. [`ServiceHosts`] tells which hosts may own
//! flows; every service has them that the rosters list hosts of, since a configuration that
//! moves or removes a route leaves open flows where they are.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::chart::HostState;
use crate::flow::BucketIndex;
use crate::ids::{DatacenterName, HostName, Incarnation, ObjectVersion, ServiceId, ServiceTag};
use crate::manifest::{ServiceKind, ServiceSpec};
use crate::placement::{CHAIN_HOPS, HostChain, HostRanking, HostSeed, NEAR_HOPS, RankedHost};
use crate::roster::{HostIndex, HostRecord};
pub use crate::service_hosts::{PlacementLimits, ServiceHosts, ViewHost};

/// A service with a route, and its hosts.
#[derive(Debug)]
pub struct ServiceView {
    /// Hash of the firm and service name, contained in every packet.
    pub tag: ServiceTag,
    /// Specification from the manifest.
    pub spec: Arc<ServiceSpec>,
    /// Hash of the manifest version and the hosts, by which a host detects that its
    /// copy of the service is outdated.
    pub slice_hash: u64,
    owners: Arc<ServiceHosts>,
    ranking: HostRanking,
    // Rankings of the hosts of each data centre, if a chain does not contain all hosts.
    near_rankings: BTreeMap<DatacenterName, HostRanking>,
    // Ranking of the hosts that are not drained, if any is and a chain does not contain all hosts.
    undrained_ranking: Option<HostRanking>,
    // Hosts that hold flows of a bucket without being candidates for it.
    holders: HashMap<BucketIndex, Vec<HostIndex>>,
}

impl ServiceView {
    /// Builds the view of a service. `version` is the version of its manifest.
    pub fn build(
        spec: Arc<ServiceSpec>,
        version: ObjectVersion,
        records: &[Arc<HostRecord>],
        limits: &PlacementLimits,
    ) -> Self {
        let mut owners = ServiceHosts::build(spec.id.clone(), records, limits);
        apply_eject_limit(&spec, &mut owners.hosts);
        let hosts = &owners.hosts;
        let mut holders: HashMap<BucketIndex, Vec<HostIndex>> = HashMap::new();
        let mut ranked = Vec::with_capacity(hosts.len());
        for (index, host) in hosts.iter().enumerate() {
            let index = HostIndex(index as u32);
            ranked.push(RankedHost {
                host: index,
                seed: HostSeed::of(host.record.name.as_str()),
                weight: host.record.weight,
            });
            for bucket in &host.record.held_buckets {
                holders.entry(*bucket).or_default().push(index);
            }
        }
        Self {
            tag: owners.tag,
            slice_hash: slice_hash(version, hosts),
            spec,
            near_rankings: rank_by_datacenter(hosts, &ranked),
            undrained_ranking: rank_undrained(hosts, &ranked),
            ranking: HostRanking::new(ranked),
            holders,
            owners: Arc::new(owners),
        }
    }

    /// Returns the firm and name of the service.
    pub fn id(&self) -> &ServiceId {
        &self.spec.id
    }

    /// Returns the candidate hosts of a bucket.
    pub fn chain(&self, bucket: BucketIndex) -> HostChain {
        self.ranking.chain(bucket)
    }

    /// Returns the candidate hosts of a bucket for callers of a data centre: up to [`NEAR_HOPS`]
    /// of its hosts first. Entry VMs of different data centres have different candidates.
    pub fn chain_near(&self, bucket: BucketIndex, datacenter: &DatacenterName) -> HostChain {
        let chain = self.ranking.chain(bucket);
        match self.near_rankings.get(datacenter) {
            Some(ranking) => ranking.chain(bucket).followed_by(NEAR_HOPS, &chain),
            None => chain,
        }
    }

    /// Returns the candidate hosts of a bucket for new flows. They differ from those of
    /// [`Self::chain`] only if a data centre is drained.
    pub fn opening_chain(&self, bucket: BucketIndex) -> HostChain {
        let ranking = self.undrained_ranking.as_ref().unwrap_or(&self.ranking);
        ranking.chain(bucket)
    }

    /// Returns the candidate hosts of a bucket for new flows of callers of a data centre: those
    /// of [`Self::chain_near`], without hosts of drained data centres.
    pub fn opening_chain_near(
        &self,
        bucket: BucketIndex,
        datacenter: &DatacenterName,
    ) -> HostChain {
        let Some(undrained) = &self.undrained_ranking else {
            return self.chain_near(bucket, datacenter);
        };
        let chain = undrained.chain(bucket);
        let near = self.near_rankings.get(datacenter);
        match near.map(|ranking| ranking.chain(bucket)) {
            Some(near) if !self.is_drained(&near) => near.followed_by(NEAR_HOPS, &chain),
            _ => chain,
        }
    }

    // Returns whether the hosts of a chain, all of one data centre, are drained.
    fn is_drained(&self, chain: &HostChain) -> bool {
        let first = chain.as_slice().first();
        first.is_some_and(|host| self.host(*host).drained)
    }

    /// Returns whether the candidates of a bucket for new flows differ from the others, since a
    /// data centre is drained.
    pub fn has_drained_hosts(&self) -> bool {
        self.undrained_ranking.is_some()
    }

    /// Returns whether the service has hosts that would accept new flows, and all of them are
    /// drained.
    pub fn is_wholly_drained(&self) -> bool {
        let has_drained_host = self
            .hosts()
            .iter()
            .any(|host| host.drained && host.record.accepts_flows());
        has_drained_host && !self.hosts().iter().any(ViewHost::accepts_flows)
    }

    /// Returns the hosts that hold flows of a bucket without being candidates for it.
    pub fn holders(&self, bucket: BucketIndex) -> &[HostIndex] {
        self.holders.get(&bucket).map_or(&[], Vec::as_slice)
    }

    /// Returns the host at `index`.
    pub fn host(&self, index: HostIndex) -> &ViewHost {
        &self.hosts()[index.0 as usize]
    }

    // Returns whether a host of this view that was not leaving is missing from `later`. A
    // restarted host counts as a different one.
    fn has_lost_hosts(&self, later: &ServiceView) -> bool {
        let process = |host: &ViewHost| (host.record.name.clone(), host.record.incarnation);
        let remaining: HashSet<_> = later.hosts().iter().map(process).collect();
        self.hosts().iter().any(|host| {
            host.record.state != HostState::Leaving && !remaining.contains(&process(host))
        })
    }

    /// Returns all hosts that may hold flows.
    pub fn hosts(&self) -> &[ViewHost] {
        self.owners.hosts()
    }
}

// Returns the rankings of the hosts of each data centre, or none if a chain contains all hosts.
fn rank_by_datacenter(
    hosts: &[ViewHost],
    ranked: &[RankedHost],
) -> BTreeMap<DatacenterName, HostRanking> {
    let mut groups: BTreeMap<DatacenterName, Vec<RankedHost>> = BTreeMap::new();
    if hosts.len() > CHAIN_HOPS {
        for (host, ranked) in hosts.iter().zip(ranked) {
            let datacenter = host.record.datacenter.clone();
            groups.entry(datacenter).or_default().push(*ranked);
        }
    }
    groups
        .into_iter()
        .map(|(datacenter, group)| (datacenter, HostRanking::new(group)))
        .collect()
}

// Returns the ranking of the hosts that are not drained, or `None` if none is drained or a chain
// contains all hosts.
fn rank_undrained(hosts: &[ViewHost], ranked: &[RankedHost]) -> Option<HostRanking> {
    if hosts.len() <= CHAIN_HOPS || hosts.iter().all(|host| !host.drained) {
        return None;
    }
    let undrained = hosts.iter().zip(ranked).filter(|(host, _)| !host.drained);
    Some(HostRanking::new(
        undrained.map(|(_, ranked)| *ranked).collect(),
    ))
}

// Treats all suspects as serving if there are more than the eject limit: it is then
// more likely that the trackers are at fault than that the hosts are.
fn apply_eject_limit(spec: &ServiceSpec, hosts: &mut [ViewHost]) {
    let is_suspect = |host: &&mut ViewHost| host.state == HostState::Suspect;
    let suspects = hosts.iter_mut().filter(is_suspect).count();
    if suspects > spec.eject_limit.of(hosts.len()) {
        for host in hosts.iter_mut().filter(is_suspect) {
            host.state = HostState::Serving;
        }
    }
}

// Returns the slice hash. Suspect hosts are hashed as serving, since trackers may
// disagree on which hosts they suspect.
fn slice_hash(version: ObjectVersion, hosts: &[ViewHost]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    match version.compact() {
        Some(number) => hash.update(&number.to_le_bytes()),
        None => hash.update(&version.0.to_le_bytes()),
    }
    for host in hosts {
        let record = &host.record;
        let state = match host.shared_state() {
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

fn hosts_by_name(service: Option<&ServiceHosts>) -> HashMap<&HostName, &ViewHost> {
    let hosts = service.map_or(&[][..], ServiceHosts::hosts);
    hosts.iter().map(|host| (&host.record.name, host)).collect()
}

/// A host that is in one of two views only, or in another state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostChange {
    /// Name of the host.
    pub name: HostName,
    /// Address of its side process for packets.
    pub packets: SocketAddrV4,
    /// State in the earlier view, or `None` if it is not in that view.
    pub before: Option<HostState>,
    /// State in the later view, or `None` if it is not in that view.
    pub after: Option<HostState>,
    /// Whether a roster lists the host, as of the later of the views that contain it.
    pub is_listed: bool,
}

/// Which entry VMs hosts register with. It tells whether an entry VM knows the hosts that are
/// in no roster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RegistrationReach {
    /// Not known: this entry VM is not among the members yet.
    #[default]
    Unknown,
    /// With all of them.
    AllEntries,
    /// With some of them.
    SomeEntries,
}

/// Whether the rosters name every live host that may own passthrough flows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RosterCoverage {
    /// Not known: the store was not read, or was restored from an older copy since the rosters
    /// were first written.
    #[default]
    Unknown,
    /// They do, as read since the start of this process.
    AllOwners,
}

// What a view has of a service.
#[derive(Debug, Clone)]
struct ViewedService {
    hosts: Arc<ServiceHosts>,
    // `None` without a route.
    routed: Option<Arc<ServiceView>>,
}

/// The services of all firms, by address and by name.
#[derive(Debug, Clone, Default)]
pub struct RoutingView {
    /// The highest version of the rosters that the view is built from.
    pub generation: ObjectVersion,
    /// Packet addresses of hosts that have registered here and are in no roster yet, so that
    /// other entry VMs may not know them.
    pub unlisted_hosts: BTreeSet<SocketAddrV4>,
    /// Which entry VMs hosts register with.
    pub registration_reach: RegistrationReach,
    /// Whether the rosters name every live host that may own passthrough flows.
    pub roster_coverage: RosterCoverage,
    /// Names of hosts that are leaving as of their registration here, and not as of the rosters.
    pub unlisted_leaving_hosts: BTreeSet<HostName>,
    /// Hosts that have announced their departure here.
    pub departed_hosts: BTreeMap<HostName, Incarnation>,
    /// Data centres that operators have drained.
    pub drained: BTreeSet<DatacenterName>,
    by_address: HashMap<SocketAddrV4, Arc<ServiceView>>,
    // One map, since each new view copies it.
    by_id: HashMap<ServiceId, ViewedService>,
    unrouted_services: usize,
}

impl RoutingView {
    /// Adds or replaces a service with a route.
    pub fn put(&mut self, service: ServiceView) {
        self.remove(&service.spec.id);
        let service = Arc::new(service);
        for address in service.spec.addresses() {
            self.by_address.insert(address, Arc::clone(&service));
        }
        let viewed = ViewedService {
            hosts: Arc::clone(&service.owners),
            routed: Some(Arc::clone(&service)),
        };
        self.by_id.insert(service.id().clone(), viewed);
    }

    /// Adds or replaces the hosts of a service without a route. One without hosts is removed.
    pub fn put_unrouted(&mut self, hosts: ServiceHosts) {
        self.remove(&hosts.id);
        if !hosts.hosts.is_empty() {
            let viewed = ViewedService {
                hosts: Arc::new(hosts),
                routed: None,
            };
            self.by_id.insert(viewed.hosts.id.clone(), viewed);
            self.unrouted_services += 1;
        }
    }

    /// Removes a service.
    pub fn remove(&mut self, id: &ServiceId) {
        let Some(viewed) = self.by_id.remove(id) else {
            return;
        };
        self.unrouted_services -= usize::from(viewed.routed.is_none());
        if let Some(old) = viewed.routed {
            for address in old.spec.addresses() {
                // The address may have been assigned to another service meanwhile.
                let maps_to_service = self
                    .by_address
                    .get(&address)
                    .is_some_and(|service| service.spec.id == *id);
                if maps_to_service {
                    self.by_address.remove(&address);
                }
            }
        }
    }

    /// Returns the service at an address.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&Arc<ServiceView>> {
        self.by_address.get(&address)
    }

    /// Returns the service of this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<ServiceView>> {
        self.by_id.get(id)?.routed.as_ref()
    }

    /// Returns the addresses of the services that lost a host since `old`. A lost host was
    /// not leaving in `old` and is missing from this view.
    pub fn services_with_lost_hosts(&self, old: &RoutingView) -> BTreeSet<SocketAddrV4> {
        let mut lost = BTreeSet::new();
        for (address, before) in &old.by_address {
            let Some(after) = self.by_address.get(address) else {
                continue;
            };
            // Flows of passthrough services outlive their side processes and are not probed.
            let is_probed = before.spec.kind != ServiceKind::Passthrough;
            if is_probed && !Arc::ptr_eq(before, after) && before.has_lost_hosts(after) {
                lost.insert(*address);
            }
        }
        lost
    }

    /// Returns the hosts that were added, removed or changed their state since `old`.
    pub fn host_changes(&self, old: &RoutingView) -> Vec<HostChange> {
        let mut changes = Vec::new();
        for service in self.service_hosts() {
            let earlier = old.hosts_of(service.id());
            if earlier.is_some_and(|earlier| Arc::ptr_eq(earlier, service)) {
                continue;
            }
            let mut gone = hosts_by_name(earlier.map(Arc::as_ref));
            for host in service.hosts() {
                let before = gone.remove(&host.record.name).map(|host| host.state);
                if before != Some(host.state) {
                    changes.push(self.host_change(host, before, Some(host.state)));
                }
            }
            let removed = gone.into_values();
            changes.extend(removed.map(|host| old.host_change(host, Some(host.state), None)));
        }
        let removed_services = old
            .service_hosts()
            .filter(|service| self.hosts_of(service.id()).is_none());
        for host in removed_services.flat_map(|service| service.hosts()) {
            changes.push(old.host_change(host, Some(host.state), None));
        }
        changes.sort_by(|change, other| change.name.cmp(&other.name));
        changes
    }

    fn host_change(
        &self,
        host: &ViewHost,
        before: Option<HostState>,
        after: Option<HostState>,
    ) -> HostChange {
        HostChange {
            name: host.record.name.clone(),
            packets: host.record.packets,
            before,
            after,
            is_listed: !self.unlisted_hosts.contains(&host.record.packets),
        }
    }

    /// Returns all services with a route.
    pub fn services(&self) -> impl Iterator<Item = &ServiceView> {
        let routed = self
            .by_id
            .values()
            .filter_map(|viewed| viewed.routed.as_ref());
        routed.map(Arc::as_ref)
    }

    /// Returns the ids of all services with a route.
    pub fn ids(&self) -> impl Iterator<Item = &ServiceId> {
        self.services().map(ServiceView::id)
    }

    /// Returns the hosts of a service, which may have no route.
    pub fn hosts_of(&self, id: &ServiceId) -> Option<&Arc<ServiceHosts>> {
        self.by_id.get(id).map(|viewed| &viewed.hosts)
    }

    /// Returns the hosts of each service, with and without a route. Views share those that are
    /// equal in them.
    pub fn service_hosts(&self) -> impl Iterator<Item = &Arc<ServiceHosts>> {
        self.by_id.values().map(|viewed| &viewed.hosts)
    }

    /// Returns the number of services that have hosts and no route.
    pub fn unrouted_services(&self) -> usize {
        self.unrouted_services
    }
}
