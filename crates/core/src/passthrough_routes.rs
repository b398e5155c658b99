//! Routing of passthrough flows at an entry VM: the hosts that a packet visits.
//!
//! A SYN goes to the host that is expected to complete a request first according to the
//! load reports; the other hosts follow in case it is full or leaving. Packets of an
//! established flow go directly to the cached owner. If that host does not own the flow
//! it returns the packet, which then walks all hosts that may own it. The cache only
//! shortens the way.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::entry::{PLAN_HOPS, PlanSource, RouteDrop};
use crate::flow::{FlowKey, TcpSegment};
use crate::ids::{DatacenterName, FirmName, ServiceTag};
use crate::load::{HostLoad, LoadTable, RankingInput, UNRESPONSIVE_AFTER};
use crate::owner_lookup::{
    IncompleteLookup, LookupQuery, LookupResult, OwnerLookups, OwnershipReply,
};
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceView, ViewHost};
use crate::{FlowHash, HostState};

/// The hosts that a packet visits, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PassthroughPlan {
    /// Tag of the service that the hosts have to run.
    pub tag: ServiceTag,
    /// Packet addresses of their side processes.
    pub hops: Vec<SocketAddrV4>,
    /// Whether the last host makes the final decision. Otherwise it returns a packet whose
    /// flow it does not own.
    pub complete: bool,
    /// Origin of the first hop.
    pub source: PlanSource,
}

/// Number of SYNs of a flow that are not refused even if every host rejects them.
/// Callers retransmit a SYN after 200 and 600 ms, in which time a full host works off its
/// queue; the last retransmission is refused so that the caller does not have to wait for
/// a timeout.
const SYNS_BEFORE_REFUSAL: u8 = 2;

/// SYNs to an address that was added to the view less than this time ago are not refused: to
/// the caller a refusal would look as if the address had no service yet.
const ADDRESS_GRACE_PERIOD: Duration = Duration::from_secs(15);

/// A flow that no host owns is reset only if the hosts of its firm have been unchanged
/// for this time. A host that has just joined may be unknown here; it registers every 500
/// ms and is in the roster within a second.
const STABLE_HOSTS_TIME: Duration = Duration::from_millis(1500);

/// A walk is taken to have found no owner if the next walk of the flow begins between these
/// times after it. Callers retransmit after 200 ms, then at growing intervals.
const RETRANSMISSION_WINDOW: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Minimum time between two lookups of the same flow.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of flows whose last walk is cached.
const WALK_LIMIT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// A host from which nothing was received for this time after a SYN is not the first hop
/// of the retransmission. Callers send the first retransmission after 200 ms.
const SILENT_AFTER_SYN: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct FlowWalk {
    started_at: TimePoint,
    lookup_at: Option<TimePoint>,
}

#[derive(Debug, Clone)]
struct FirmHosts {
    // Sorted.
    hosts: Vec<SocketAddrV4>,
    unchanged_since: TimePoint,
}

/// Outcome of an owner lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupVerdict {
    /// This host owns the flow and is cached as owner.
    Found(SocketAddrV4),
    /// No host owns the flow, and the view of the hosts is fresh: the caller may be sent
    /// a reset. Contains the segment that started the lookup.
    NoOwner(TcpSegment),
    /// No host in the view owns the flow, but another one may.
    Unconfirmed,
    /// Some hosts replied [`OwnershipReply::Unknown`] or did not reply.
    Incomplete(IncompleteLookup),
}

impl LookupVerdict {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Found(_) => "found",
            Self::NoOwner(_) => "dead",
            Self::Unconfirmed => "doubtful",
            Self::Incomplete(_) => "open",
        }
    }

    /// Returns the replies that the lookup lacks, if it is incomplete.
    pub fn incomplete(self) -> Option<IncompleteLookup> {
        match self {
            Self::Incomplete(incomplete) => Some(incomplete),
            _ => None,
        }
    }

    /// Returns the host that owns the flow, if it was found.
    pub fn owner(self) -> Option<SocketAddrV4> {
        match self {
            Self::Found(owner) => Some(owner),
            Self::NoOwner(_) | Self::Unconfirmed | Self::Incomplete(_) => None,
        }
    }
}

// Owner of a flow; the first hop of its last packet as long as no host has claimed it.
#[derive(Debug, Clone, Copy)]
struct CachedOwner {
    tag: ServiceTag,
    host: SocketAddrV4,
    // SYNs of the flow that were routed so far.
    syns: u8,
}

/// Routes packets of passthrough flows.
#[derive(Debug)]
pub struct PassthroughRouter {
    local_datacenter: DatacenterName,
    loads: LoadTable,
    cached_owners: LruCache<FlowKey, CachedOwner>,
    // When each service address first appeared in the view.
    address_added_at: HashMap<SocketAddrV4, TimePoint>,
    firm_hosts: HashMap<FirmName, FirmHosts>,
    walks: LruCache<FlowKey, FlowWalk>,
    lookups: OwnerLookups,
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
            firm_hosts: HashMap::new(),
            walks: LruCache::new(WALK_LIMIT),
            lookups: OwnerLookups::default(),
        }
    }

    /// Records a new view: when its addresses appeared and when the hosts of firms changed.
    /// Removes outdated load reports.
    pub fn update_view(&mut self, view: &RoutingView, now: TimePoint) {
        self.address_added_at
            .retain(|address, _| view.service_at(*address).is_some());
        for address in view.services().flat_map(|service| service.spec.addresses()) {
            self.address_added_at.entry(address).or_insert(now);
        }
        self.record_hosts(view, now);
        self.loads.expire(now);
    }

    fn record_hosts(&mut self, view: &RoutingView, now: TimePoint) {
        let mut old = std::mem::take(&mut self.firm_hosts);
        for (firm, hosts) in hosts_by_firm(view) {
            let previous = old.remove(&firm);
            let unchanged = previous.filter(|previous| previous.hosts == hosts);
            let unchanged_since = unchanged.map_or(now, |unchanged| unchanged.unchanged_since);
            self.firm_hosts.insert(
                firm,
                FirmHosts {
                    hosts,
                    unchanged_since,
                },
            );
        }
    }

    fn has_stable_hosts(&self, firm: &FirmName, now: TimePoint) -> bool {
        self.firm_hosts
            .get(firm)
            .is_some_and(|recorded| now.since(recorded.unchanged_since) >= STABLE_HOSTS_TIME)
    }

    fn is_past_grace_period(&self, address: SocketAddrV4, now: TimePoint) -> bool {
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
        if let Some(service) = view.service_at(key.service) {
            let syns = self
                .cached_owners
                .peek(&key)
                .map_or(0, |cached| cached.syns);
            let owner = CachedOwner {
                tag: service.tag,
                host,
                syns,
            };
            self.cached_owners.put(key, owner);
            self.walks.pop(&key);
        }
    }

    /// Records that something was received from a host.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.lookups.record_activity(host);
        self.loads.record_activity(host);
    }

    /// Returns the lookup queries to send.
    pub fn take_queries(&mut self) -> Vec<LookupQuery> {
        self.lookups.take_queries()
    }

    /// Returns the lookups that timed out since the last call. `fresh` states whether the
    /// view was confirmed recently.
    pub fn take_finished_lookups(
        &mut self,
        view: &RoutingView,
        fresh: bool,
        now: TimePoint,
    ) -> Vec<(FlowKey, LookupVerdict)> {
        let finished = self.lookups.take_finished(now).into_iter();
        finished
            .map(|(key, result)| (key, self.lookup_verdict(view, key, result, fresh, now)))
            .collect()
    }

    /// Returns whether a lookup is in progress or has a result to be taken.
    pub fn has_pending_lookups(&self) -> bool {
        !self.lookups.is_empty()
    }

    /// Records the reply of a host to a lookup query. Returns the verdict if this reply
    /// completes the lookup. `fresh` states whether the view was confirmed recently.
    pub fn record_lookup_reply(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        host: SocketAddrV4,
        reply: OwnershipReply,
        fresh: bool,
        now: TimePoint,
    ) -> Option<LookupVerdict> {
        let result = self.lookups.record_reply(key, host, reply, now)?;
        Some(self.lookup_verdict(view, key, result, fresh, now))
    }

    fn lookup_verdict(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        result: LookupResult,
        fresh: bool,
        now: TimePoint,
    ) -> LookupVerdict {
        match result {
            LookupResult::Found(owner) => {
                self.record_owner(view, key, owner);
                LookupVerdict::Found(owner)
            }
            LookupResult::NotFound(segment) => {
                let service = view.service_at(key.service);
                let stable =
                    service.is_some_and(|service| self.has_stable_hosts(&service.id().firm, now));
                if fresh && stable {
                    self.cached_owners.pop(&key);
                    self.walks.pop(&key);
                    LookupVerdict::NoOwner(segment)
                } else {
                    LookupVerdict::Unconfirmed
                }
            }
            LookupResult::Incomplete(incomplete) => LookupVerdict::Incomplete(incomplete),
        }
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
            return self.plan_syn(service, segment.key, cached, now);
        }
        match cached.filter(|cached| is_owner_in_view(view, service, cached)) {
            Some(cached) => Ok(PassthroughPlan {
                tag: cached.tag,
                hops: vec![cached.host],
                complete: false,
                source: PlanSource::Hint,
            }),
            None => self.plan_walk(service, segment, None, now),
        }
    }

    /// Returns the hosts that a packet visits after `from` returned it because it does not own
    /// the flow.
    pub fn reroute(
        &mut self,
        view: &RoutingView,
        segment: &TcpSegment,
        from: SocketAddrV4,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let service = view
            .service_at(segment.key.service)
            .ok_or(RouteDrop::NoService)?;
        if self
            .cached_owners
            .peek(&segment.key)
            .is_some_and(|cached| cached.host == from)
        {
            self.cached_owners.pop(&segment.key);
        }
        self.plan_walk(service, segment, Some(from), now)
    }

    // Retransmitted SYNs go to the host of the first one, unless that host has been
    // silent since.
    fn plan_syn(
        &mut self,
        service: &ServiceView,
        key: FlowKey,
        cached: Option<CachedOwner>,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let mut ranked: Vec<(f64, SocketAddrV4)> = candidates(service, key.hash())
            .filter(|host| host.accepts_flows())
            .filter(|host| !self.loads.refuses(host.record.packets, now))
            .map(|host| (self.cost(host, now), host.record.packets))
            .collect();
        ranked.sort_by(|(cost, _), (other, _)| cost.total_cmp(other));
        let syns = cached.map_or(0, |cached| cached.syns);
        let cached_host = cached.map(|cached| cached.host);
        let silent_host =
            cached_host.filter(|host| self.loads.is_silent(*host, SILENT_AFTER_SYN, now));
        // The sort is stable: the other hosts keep their order.
        ranked.sort_by_key(|(_, host)| Some(*host) == silent_host);
        let preferred = cached_host.filter(|_| silent_host.is_none());
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        hops.extend(preferred.filter(|host| ranked.iter().any(|(_, other)| other == host)));
        for (_, host) in ranked {
            if hops.len() < PLAN_HOPS && !hops.contains(&host) {
                hops.push(host);
            }
        }
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        if preferred != Some(first) {
            self.loads.record_placement(first, now);
        }
        let owner = CachedOwner {
            tag: service.tag,
            host: first,
            syns: syns.saturating_add(1),
        };
        self.cached_owners.put(key, owner);
        let refusable = syns >= SYNS_BEFORE_REFUSAL && self.is_past_grace_period(key.service, now);
        let accepting = service.hosts().iter().filter(|host| host.accepts_flows());
        Ok(PassthroughPlan {
            tag: service.tag,
            complete: refusable && hops.len() == accepting.count(),
            hops,
            source: PlanSource::Chain,
        })
    }

    fn cost(&self, host: &ViewHost, now: TimePoint) -> f64 {
        let input = RankingInput {
            packets: host.record.packets,
            datacenter: &host.record.datacenter,
            cold: host.state == HostState::Warming,
        };
        self.loads.cost(&input, &self.local_datacenter, now)
    }

    // Records a walk. If the last walk of the same flow began within RETRANSMISSION_WINDOW,
    // it is taken to have found no owner, and a lookup is started.
    fn record_walk(&mut self, service: &ServiceView, segment: &TcpSegment, now: TimePoint) {
        let (earliest, latest) = RETRANSMISSION_WINDOW;
        let last_walk = self.walks.peek(&segment.key).copied();
        let last_walk_failed = last_walk.is_some_and(|walk| {
            let elapsed = now.since(walk.started_at);
            elapsed >= earliest && elapsed < latest
        });
        let lookup_at = last_walk.and_then(|walk| walk.lookup_at);
        let interval_elapsed = lookup_at.is_none_or(|at| now.since(at) >= LOOKUP_INTERVAL);
        let starts_lookup = last_walk_failed && interval_elapsed && !segment.is_rst;
        let walk = FlowWalk {
            started_at: now,
            lookup_at: if starts_lookup { Some(now) } else { lookup_at },
        };
        self.walks.put(segment.key, walk);
        if starts_lookup {
            let recorded = self.firm_hosts.get(&service.id().firm);
            let hosts = recorded.map_or_else(Vec::new, |recorded| recorded.hosts.clone());
            self.lookups.begin(segment, hosts, now);
        }
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
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        for unresponsive_pass in [false, true] {
            for host in candidates(service, key.hash()) {
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
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        // The first hop is the presumed owner. An owner notice of another host replaces it.
        let owner = CachedOwner {
            tag: service.tag,
            host: first,
            syns: 0,
        };
        self.cached_owners.put(key, owner);
        Ok(PassthroughPlan {
            tag: service.tag,
            // The walk ends at its last host; the packet does not return to this entry
            // VM.
            complete: true,
            hops,
            source: PlanSource::Chain,
        })
    }
}

// Returns all hosts of each firm, sorted.
fn hosts_by_firm(view: &RoutingView) -> HashMap<FirmName, Vec<SocketAddrV4>> {
    let mut firms: HashMap<FirmName, Vec<SocketAddrV4>> = HashMap::new();
    for service in view.services() {
        let hosts = service.hosts().iter().map(|host| host.record.packets);
        firms
            .entry(service.id().firm.clone())
            .or_default()
            .extend(hosts);
    }
    for hosts in firms.values_mut() {
        hosts.sort_unstable();
        hosts.dedup();
    }
    firms
}

// Returns the hosts that may own or open a flow: the candidates of its bucket, then the
// hosts that hold flows of the bucket.
fn candidates(service: &ServiceView, flow: FlowHash) -> impl Iterator<Item = &ViewHost> {
    let bucket = flow.bucket();
    let chain = service.chain(bucket);
    let indexes: Vec<_> = chain
        .as_slice()
        .iter()
        .chain(service.holders(bucket))
        .copied()
        .collect();
    indexes.into_iter().map(|index| service.host(index))
}

fn is_owner_in_view(view: &RoutingView, service: &ServiceView, cached: &CachedOwner) -> bool {
    let has_host = |service: &ServiceView| {
        let mut hosts = service.hosts().iter();
        hosts.any(|host| host.record.packets == cached.host)
    };
    if cached.tag == service.tag {
        return has_host(service);
    }
    view.services()
        .any(|other| other.tag == cached.tag && has_host(other))
}
