//! Routing of passthrough flows at an entry VM: the hosts that a packet visits.
//!
//! A SYN goes to the host that is expected to complete a request first according to the
//! load reports; the other hosts follow in case it is full or leaving. Packets of an
//! established flow go directly to the cached owner. If that host does not own the flow
//! it returns the packet, which then walks the other candidates. The cache only shortens
//! the way. The last host of a walk returns the packet too, and the owner is looked up.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::entry::{PLAN_HOPS, PlanSource, RouteDrop};
use crate::flow::{FlowKey, TcpSegment};
use crate::ids::{DatacenterName, ServiceTag};
use crate::known_hosts::KnownHosts;
use crate::load::{HostLoad, LoadTable, UNRESPONSIVE_AFTER};
use crate::opening_plan::ADDRESS_GRACE_PERIOD;
use crate::owner_lookup::{LOOKUP_TIMEOUT, OwnerLookups};
use crate::passthrough_lookups::UnconfirmedLookup;
use crate::passthrough_plan::{PassthroughPlan, RerouteDecision};
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceView, ViewHost};
use crate::{FlowHash, HostState};

/// A walk whose last host did not return the packet is taken to have found no owner if the
/// next walk of the flow begins between these times after it. Callers retransmit after
/// 200 ms, then at growing intervals.
const RETRANSMISSION_WINDOW: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Time in which a flow gets at most [`LOOKUPS_PER_INTERVAL`] lookups. The replies to the
/// first ones must not mix with those to the next.
const LOOKUP_INTERVAL: Duration = LOOKUP_TIMEOUT;

/// See [`LOOKUP_INTERVAL`]. All but the first follow a walk of the hosts that could not
/// tell whether they own the flow.
pub(crate) const LOOKUPS_PER_INTERVAL: u8 = 3;

/// Maximum number of flows whose last walk is cached.
const WALK_LIMIT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

// The last walk of a flow, and its lookups since `lookups_since`.
#[derive(Debug, Clone)]
pub(crate) struct FlowWalk {
    pub(crate) started_at: TimePoint,
    // Last hops of its copies of the packet that were not returned so far.
    pub(crate) last_hops: Vec<SocketAddrV4>,
    pub(crate) lookups: u8,
    lookups_since: TimePoint,
}

impl FlowWalk {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            started_at: now,
            last_hops: Vec::new(),
            lookups: 0,
            lookups_since: now,
        }
    }

    // Records that this host returned a copy of the packet. Returns whether it was the last hop
    // of that copy.
    fn record_returned(&mut self, from: SocketAddrV4) -> bool {
        let copies = self.last_hops.len();
        self.last_hops.retain(|hop| *hop != from);
        self.last_hops.len() < copies
    }

    // Counts a lookup. Returns whether it is within the limit.
    pub(crate) fn admit_lookup(&mut self, now: TimePoint) -> bool {
        if now.since(self.lookups_since) >= LOOKUP_INTERVAL {
            self.lookups = 0;
        }
        if self.lookups == 0 {
            self.lookups_since = now;
        }
        let admitted = self.lookups < LOOKUPS_PER_INTERVAL;
        self.lookups += u8::from(admitted);
        admitted
    }
}

// Owner of a flow; the first hop of its last packet as long as no host has claimed it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CachedOwner {
    pub(crate) tag: ServiceTag,
    pub(crate) host: SocketAddrV4,
    // SYNs of the flow that were routed so far.
    pub(crate) syns: u8,
}

/// Routes packets of passthrough flows.
#[derive(Debug)]
pub struct PassthroughRouter {
    pub(crate) local_datacenter: DatacenterName,
    pub(crate) loads: LoadTable,
    pub(crate) cached_owners: LruCache<FlowKey, CachedOwner>,
    // When each service address first appeared in the view.
    address_added_at: HashMap<SocketAddrV4, TimePoint>,
    pub(crate) known_hosts: KnownHosts,
    pub(crate) walks: LruCache<FlowKey, FlowWalk>,
    pub(crate) lookups: OwnerLookups,
    pub(crate) unconfirmed: Vec<UnconfirmedLookup>,
}

impl PassthroughRouter {
    /// Returns a router for the data centre `local_datacenter` that caches the owners of
    /// up to `flow_limit` flows.
    pub fn new(local_datacenter: DatacenterName, flow_limit: NonZeroUsize) -> Self {
        Self {
            local_datacenter,
            loads: LoadTable::default(),
            cached_owners: LruCache::new(flow_limit),
            address_added_at: HashMap::new(),
            known_hosts: KnownHosts::default(),
            walks: LruCache::new(WALK_LIMIT),
            lookups: OwnerLookups::default(),
            unconfirmed: Vec::new(),
        }
    }

    /// Records a new view: when its addresses appeared and which hosts have joined.
    /// Removes outdated load reports.
    pub fn update_view(&mut self, view: &RoutingView, now: TimePoint) {
        self.address_added_at
            .retain(|address, _| view.service_at(*address).is_some());
        for address in view.services().flat_map(|service| service.spec.addresses()) {
            self.address_added_at.entry(address).or_insert(now);
        }
        self.known_hosts.update(view, now);
        self.lookups.set_vanished(self.known_hosts.vanished());
        self.loads.expire(now);
    }

    /// Records whether the platform confirmed the view recently.
    pub fn record_freshness(&mut self, has_fresh_view: bool, now: TimePoint) {
        self.known_hosts.record_freshness(has_fresh_view, now);
    }

    pub(crate) fn is_past_grace_period(&self, address: SocketAddrV4, now: TimePoint) -> bool {
        self.address_added_at
            .get(&address)
            .is_some_and(|since| now.since(*since) >= ADDRESS_GRACE_PERIOD)
    }

    /// Returns the load reports of the hosts.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Records the load report of a host.
    pub fn record_load(&mut self, host: SocketAddrV4, load: HostLoad, now: TimePoint) {
        self.loads.record_report(host, load, now);
    }

    /// Caches the host as owner of the flow, after an owner notice or a lookup reply.
    pub fn record_owner(&mut self, view: &RoutingView, key: FlowKey, host: SocketAddrV4) {
        let service = view.service_at(key.service).map(|service| service.tag);
        // The host may run another service: the address belonged to that one when the flow
        // began.
        let tag = service
            .filter(|tag| self.known_hosts.runs_service(host, *tag))
            .or_else(|| self.known_hosts.service_tag(host))
            .or(service);
        if let Some(tag) = tag {
            let syns = self
                .cached_owners
                .peek(&key)
                .map_or(0, |cached| cached.syns);
            let owner = CachedOwner { tag, host, syns };
            self.cached_owners.put(key, owner);
            self.walks.pop(&key);
            self.unconfirmed.retain(|pending| pending.key != key);
        }
    }

    /// Records that something was received from a host.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.lookups.record_activity(host);
        self.loads.record_activity(host);
    }

    // Returns whether a host of the service accepts flows and is known to all entry VMs.
    pub(crate) fn has_established_host(&self, service: &ServiceView, now: TimePoint) -> bool {
        service
            .hosts()
            .iter()
            .any(|host| host.accepts_flows() && !self.known_hosts.is_new(host.record.packets, now))
    }

    /// Returns the hosts that a caller's packet visits.
    pub fn route(
        &mut self,
        view: &RoutingView,
        segment: &TcpSegment,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let service = view
            .service_at(segment.key.service)
            .ok_or(RouteDrop::NoService)?;
        let cached = self.cached_owners.get(&segment.key).copied();
        if segment.is_syn {
            return self.plan_syn(service, segment, cached, now);
        }
        let runs_service =
            |cached: &CachedOwner| self.known_hosts.runs_service(cached.host, cached.tag);
        match cached.filter(runs_service) {
            Some(cached) => Ok(PassthroughPlan {
                tag: cached.tag,
                hops: vec![cached.host],
                complete: false,
                source: PlanSource::Hint,
            }),
            None => self.plan_walk(service, segment, None, now),
        }
    }

    /// Decides on a packet that `from` returned because it does not own the flow.
    pub fn reroute(
        &mut self,
        view: &RoutingView,
        segment: &TcpSegment,
        from: SocketAddrV4,
        now: TimePoint,
    ) -> Result<RerouteDecision, RouteDrop> {
        let service = view
            .service_at(segment.key.service)
            .ok_or(RouteDrop::NoService)?;
        let is_presumed = self
            .cached_owners
            .peek(&segment.key)
            .is_some_and(|cached| cached.host == from);
        if let Some(walk) = self.walks.get_mut(&segment.key)
            && walk.record_returned(from)
        {
            let is_complete = walk.last_hops.is_empty();
            self.cached_owners.pop(&segment.key);
            if is_complete {
                self.start_lookup(service, segment, now);
            }
            return Ok(RerouteDecision::AwaitLookup);
        }
        if is_presumed {
            self.cached_owners.pop(&segment.key);
        }
        match self.plan_walk(service, segment, Some(from), now) {
            Ok(plan) => Ok(RerouteDecision::Walk(plan)),
            // The only candidate returned it.
            Err(RouteDrop::NoHost) => {
                self.start_lookup(service, segment, now);
                Ok(RerouteDecision::AwaitLookup)
            }
            Err(cause) => Err(cause),
        }
    }

    // Records the start of a walk. If the last walk of the same flow began within
    // RETRANSMISSION_WINDOW and its packet was not returned, it is taken to have found no
    // owner, and a lookup is started.
    fn record_walk(&mut self, service: &ServiceView, segment: &TcpSegment, now: TimePoint) {
        let (earliest, latest) = RETRANSMISSION_WINDOW;
        let last_walk = self.walks.get(&segment.key).cloned();
        let last_walk_failed = last_walk.as_ref().is_some_and(|walk| {
            let elapsed = now.since(walk.started_at);
            elapsed >= earliest && elapsed < latest
        });
        let walk = FlowWalk {
            started_at: now,
            last_hops: Vec::new(),
            ..last_walk.unwrap_or(FlowWalk::new(now))
        };
        self.walks.put(segment.key, walk);
        if last_walk_failed {
            self.start_lookup(service, segment, now);
        }
    }

    // Returns the hosts that a packet of a flow visits if its owner is not cached. Those that may
    // not answer come last.
    pub(crate) fn walk_hops(
        &self,
        service: &ServiceView,
        key: FlowKey,
        visited: Option<SocketAddrV4>,
        now: TimePoint,
    ) -> Vec<SocketAddrV4> {
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        for unresponsive_pass in [false, true] {
            for host in candidates(service, key.hash(), &self.local_datacenter) {
                let address = host.record.packets;
                let unresponsive = self.loads.is_silent(address, UNRESPONSIVE_AFTER, now);
                let in_pass =
                    (unresponsive || host.state == HostState::Suspect) == unresponsive_pass;
                let unvisited = Some(address) != visited && !hops.contains(&address);
                if in_pass && unvisited && hops.len() < PLAN_HOPS {
                    hops.push(address);
                }
            }
        }
        hops
    }

    fn plan_walk(
        &mut self,
        service: &ServiceView,
        segment: &TcpSegment,
        visited: Option<SocketAddrV4>,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let key = segment.key;
        self.record_walk(service, segment, now);
        let hops = self.walk_hops(service, key, visited, now);
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        if let Some(walk) = self.walks.get_mut(&key) {
            walk.last_hops = hops.last().copied().into_iter().collect();
        }
        // The first hop is the presumed owner. An owner notice of another host replaces it.
        let owner = CachedOwner {
            tag: service.tag,
            host: first,
            syns: 0,
        };
        self.cached_owners.put(key, owner);
        Ok(PassthroughPlan {
            tag: service.tag,
            // The last host returns the packet if no host owns the flow.
            complete: false,
            hops,
            source: PlanSource::Chain,
        })
    }
}

// Returns the hosts that may own a flow: the candidates of its bucket, near ones first, those
// that open flows in place of hosts of drained data centres, then the hosts that hold flows of
// the bucket.
fn candidates<'a>(
    service: &'a ServiceView,
    flow: FlowHash,
    local_datacenter: &DatacenterName,
) -> impl Iterator<Item = &'a ViewHost> + use<'a> {
    let bucket = flow.bucket();
    let chain = service.chain_near(bucket, local_datacenter);
    let mut indexes: Vec<_> = chain.as_slice().to_vec();
    if service.has_drained_hosts() {
        let opening_chain = service.opening_chain_near(bucket, local_datacenter);
        indexes.extend(opening_chain.as_slice());
    }
    indexes.extend(service.holders(bucket));
    indexes.into_iter().map(|index| service.host(index))
}
