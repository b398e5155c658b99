//! The decision of an entry VM for flows that are carried through unread:
//! which hosts a packet visits.
//!
//! An opening goes to the host that would complete a request first, as far as
//! reports tell; the others follow, should it be full or leaving. Packets of an
//! open flow go straight to the host that is remembered. If that one does not
//! know the flow it returns the packet, and the packet walks all hosts that
//! may hold it. What is remembered only shortens the way.

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
    /// The service that the hosts have to run.
    pub tag: ServiceTag,
    /// Where their side processes take packets.
    pub hops: Vec<SocketAddrV4>,
    /// Whether the last host decides; else it returns a packet that is not its
    /// own.
    pub complete: bool,
    /// Where the first hop comes from.
    pub source: PlanSource,
}

/// Copies of an opening that find every host full before the next one is
/// refused. Callers send copies after 200 and 600 ms, in which time a full host
/// works off its queue; the last copy is refused rather than left to time out.
const PATIENT_OPENINGS: u8 = 2;

/// An address that has been known for less than this time refuses nothing: a
/// refusal would look as if the address were still unknown.
const SETTLING_TIME: Duration = Duration::from_secs(15);

/// The hosts of a firm must have been the same for this time before a flow that
/// none of them owns is reset: a host that has just joined may be unknown here. It
/// announces itself every 500 ms and is in the roster within a second.
const STABLE_HOSTS_TIME: Duration = Duration::from_millis(1500);

/// A walk counts as in vain if the next one of its flow begins between these times
/// after it: callers send again after 200 ms and then ever later.
const RETRANSMISSION_WINDOW: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Least time between two searches of the same flow.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

/// Flows whose last walk is remembered.
const WALK_MEMORY: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// A host that has said nothing for this time since an opening gets no copy of it
/// first: callers send the first copy after 200 ms.
const COPY_PATIENCE: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct FlowWalk {
    began: TimePoint,
    searched: Option<TimePoint>,
}

#[derive(Debug, Clone)]
struct KnownHosts {
    // Sorted.
    hosts: Vec<SocketAddrV4>,
    since: TimePoint,
}

/// What became of a flow that was searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupVerdict {
    /// A host owns it and is remembered.
    Found(SocketAddrV4),
    /// No host owns it, and what is known of the hosts is fresh: its caller may be
    /// told. The facts are those of its latest packet.
    NoOwner(TcpSegment),
    /// No host that is known owns it, but another one may.
    Unconfirmed,
    /// Some hosts could not tell or did not answer.
    Incomplete(IncompleteLookup),
}

impl LookupVerdict {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Found(_) => "found",
            Self::NoOwner(_) => "dead",
            Self::Unconfirmed => "doubtful",
            Self::Incomplete(_) => "open",
        }
    }

    /// What is missing for a verdict.
    pub fn open(self) -> Option<IncompleteLookup> {
        match self {
            Self::Incomplete(open) => Some(open),
            _ => None,
        }
    }

    /// The host that owns the flow.
    pub fn owner(self) -> Option<SocketAddrV4> {
        match self {
            Self::Found(owner) => Some(owner),
            Self::NoOwner(_) | Self::Unconfirmed | Self::Incomplete(_) => None,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct RememberedOwner {
    tag: ServiceTag,
    host: SocketAddrV4,
    openings: u8,
}

/// Routes packets of carried flows.
#[derive(Debug)]
pub struct PassthroughRouter {
    here: DatacenterName,
    loads: LoadTable,
    flows: LruCache<FlowKey, RememberedOwner>,
    known_since: HashMap<SocketAddrV4, TimePoint>,
    known_hosts: HashMap<FirmName, KnownHosts>,
    walks: LruCache<FlowKey, FlowWalk>,
    lookups: OwnerLookups,
}

impl PassthroughRouter {
    /// A router in the data centre `here` that remembers up to `flow_limit`
    /// flows.
    pub fn new(here: DatacenterName, flow_limit: NonZeroUsize) -> Self {
        Self {
            here,
            loads: LoadTable::default(),
            flows: LruCache::new(flow_limit),
            known_since: HashMap::new(),
            known_hosts: HashMap::new(),
            walks: LruCache::new(WALK_MEMORY),
            lookups: OwnerLookups::default(),
        }
    }

    /// Notes a new view: which addresses it has.
    pub fn update_view(&mut self, view: &RoutingView, now: TimePoint) {
        self.known_since
            .retain(|address, _| view.service_at(*address).is_some());
        for address in view.services().flat_map(|service| service.spec.addresses()) {
            self.known_since.entry(address).or_insert(now);
        }
        self.note_hosts(view, now);
        self.loads.expire(now);
    }

    fn note_hosts(&mut self, view: &RoutingView, now: TimePoint) {
        let mut old = std::mem::take(&mut self.known_hosts);
        for (firm, hosts) in firm_hosts(view) {
            let known = old.remove(&firm);
            let known = known.filter(|known| known.hosts == hosts);
            let since = known.map_or(now, |known| known.since);
            self.known_hosts.insert(firm, KnownHosts { hosts, since });
        }
    }

    fn has_stable_hosts(&self, firm: &FirmName, now: TimePoint) -> bool {
        self.known_hosts
            .get(firm)
            .is_some_and(|known| now.since(known.since) >= STABLE_HOSTS_TIME)
    }

    fn is_settled(&self, address: SocketAddrV4, now: TimePoint) -> bool {
        self.known_since
            .get(&address)
            .is_some_and(|since| now.since(*since) >= SETTLING_TIME)
    }

    /// What hosts reported.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Notes a host's report of its load.
    pub fn record_load(&mut self, host: SocketAddrV4, load: HostLoad, now: TimePoint) {
        self.loads.record_report(host, load, now);
    }

    /// Notes that a host said it owns the flow.
    pub fn record_owner(&mut self, view: &RoutingView, key: FlowKey, host: SocketAddrV4) {
        if let Some(service) = view.service_at(key.service) {
            let openings = self.flows.peek(&key).map_or(0, |known| known.openings);
            let memory = RememberedOwner {
                tag: service.tag,
                host,
                openings,
            };
            self.flows.put(key, memory);
            self.walks.pop(&key);
        }
    }

    /// Notes that a host sent something.
    pub fn record_activity(&mut self, host: SocketAddrV4) {
        self.lookups.record_activity(host);
        self.loads.record_activity(host);
    }

    /// Questions to hosts about flows that are searched.
    pub fn take_queries(&mut self) -> Vec<LookupQuery> {
        self.lookups.take_queries()
    }

    /// Searches that ended by time since the last call. `fresh` tells whether what is
    /// known of the hosts was confirmed lately.
    pub fn take_finished_lookups(
        &mut self,
        view: &RoutingView,
        fresh: bool,
        now: TimePoint,
    ) -> Vec<(FlowKey, LookupVerdict)> {
        let ended = self.lookups.take_ended(now).into_iter();
        ended
            .map(|(key, end)| (key, self.judge_end(view, key, end, fresh, now)))
            .collect()
    }

    /// Whether a search is under way.
    pub fn has_pending_lookups(&self) -> bool {
        !self.lookups.is_empty()
    }

    /// Notes what a host said of a flow that is searched. `fresh` tells whether what
    /// is known of the hosts was confirmed lately.
    pub fn record_lookup_reply(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        host: SocketAddrV4,
        word: OwnershipReply,
        fresh: bool,
        now: TimePoint,
    ) -> Option<LookupVerdict> {
        let end = self.lookups.record_reply(key, host, word, now)?;
        Some(self.judge_end(view, key, end, fresh, now))
    }

    fn judge_end(
        &mut self,
        view: &RoutingView,
        key: FlowKey,
        end: LookupResult,
        fresh: bool,
        now: TimePoint,
    ) -> LookupVerdict {
        match end {
            LookupResult::Found(owner) => {
                self.record_owner(view, key, owner);
                LookupVerdict::Found(owner)
            }
            LookupResult::NotFound(segment) => {
                let service = view.service_at(key.service);
                let stable =
                    service.is_some_and(|service| self.has_stable_hosts(&service.id().firm, now));
                if fresh && stable {
                    self.flows.pop(&key);
                    self.walks.pop(&key);
                    LookupVerdict::NoOwner(segment)
                } else {
                    LookupVerdict::Unconfirmed
                }
            }
            LookupResult::Incomplete(open) => LookupVerdict::Incomplete(open),
        }
    }

    /// Decides which hosts a caller's packet visits.
    pub fn route(
        &mut self,
        view: &RoutingView,
        segment: &TcpSegment,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let service = view
            .service_at(segment.key.service)
            .ok_or(RouteDrop::NoService)?;
        let known = self.flows.get(&segment.key).copied();
        if segment.is_syn {
            return self.plan_syn(service, segment.key, known, now);
        }
        match known.filter(|memory| is_host(view, service, memory)) {
            Some(memory) => Ok(PassthroughPlan {
                tag: memory.tag,
                hops: vec![memory.host],
                complete: false,
                source: PlanSource::Hint,
            }),
            None => self.plan_walk(service, segment, None, now),
        }
    }

    /// Decides where a packet goes that `from` returned as unknown to it.
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
            .flows
            .peek(&segment.key)
            .is_some_and(|memory| memory.host == from)
        {
            self.flows.pop(&segment.key);
        }
        self.plan_walk(service, segment, Some(from), now)
    }

    // Copies of an opening go where the first one went, unless that host has been
    // silent since.
    fn plan_syn(
        &mut self,
        service: &ServiceView,
        key: FlowKey,
        known: Option<RememberedOwner>,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let mut ranked: Vec<(f64, SocketAddrV4)> = candidates(service, key.hash())
            .filter(|host| host.accepts_flows())
            .filter(|host| !self.loads.refuses(host.record.packets, now))
            .map(|host| (self.cost(host, now), host.record.packets))
            .collect();
        ranked.sort_by(|(cost, _), (other, _)| cost.total_cmp(other));
        let openings = known.map_or(0, |memory| memory.openings);
        let known = known.map(|memory| memory.host);
        let silent = known.filter(|host| self.loads.is_silent(*host, COPY_PATIENCE, now));
        // The others keep their order.
        ranked.sort_by_key(|(_, host)| Some(*host) == silent);
        let known = known.filter(|_| silent.is_none());
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        hops.extend(known.filter(|host| ranked.iter().any(|(_, other)| other == host)));
        for (_, host) in ranked {
            if hops.len() < PLAN_HOPS && !hops.contains(&host) {
                hops.push(host);
            }
        }
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        if known != Some(first) {
            self.loads.record_placement(first, now);
        }
        let memory = RememberedOwner {
            tag: service.tag,
            host: first,
            openings: openings.saturating_add(1),
        };
        self.flows.put(key, memory);
        let refusable = openings >= PATIENT_OPENINGS && self.is_settled(key.service, now);
        let takers = service.hosts().iter().filter(|host| host.accepts_flows());
        Ok(PassthroughPlan {
            tag: service.tag,
            complete: refusable && hops.len() == takers.count(),
            hops,
            source: PlanSource::Chain,
        })
    }

    fn cost(&self, host: &ViewHost, now: TimePoint) -> f64 {
        let place = RankingInput {
            packets: host.record.packets,
            datacenter: &host.record.datacenter,
            cold: host.state == HostState::Warming,
        };
        self.loads.cost(&place, &self.here, now)
    }

    // A flow that walks again was not found by its last walk.
    fn note_walk(&mut self, service: &ServiceView, segment: &TcpSegment, now: TimePoint) {
        let (soonest, latest) = RETRANSMISSION_WINDOW;
        let last = self.walks.peek(&segment.key).copied();
        let in_vain = last.is_some_and(|walk| {
            let passed = now.since(walk.began);
            passed >= soonest && passed < latest
        });
        let searched = last.and_then(|walk| walk.searched);
        let rested = searched.is_none_or(|at| now.since(at) >= LOOKUP_INTERVAL);
        let searches = in_vain && rested && !segment.is_rst;
        let walk = FlowWalk {
            began: now,
            searched: if searches { Some(now) } else { searched },
        };
        self.walks.put(segment.key, walk);
        if searches {
            let known = self.known_hosts.get(&service.id().firm);
            let hosts = known.map_or_else(Vec::new, |known| known.hosts.clone());
            self.lookups.begin(segment, hosts, now);
        }
    }

    fn plan_walk(
        &mut self,
        service: &ServiceView,
        segment: &TcpSegment,
        tried: Option<SocketAddrV4>,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let key = segment.key;
        self.note_walk(service, segment, now);
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        for silent in [false, true] {
            for host in candidates(service, key.hash()) {
                let address = host.record.packets;
                let mute = self.loads.is_silent(address, UNRESPONSIVE_AFTER, now);
                let turn = (mute || host.state == HostState::Suspect) == silent;
                let new = Some(address) != tried && !hops.contains(&address);
                if turn && new && hops.len() < PLAN_HOPS {
                    hops.push(address);
                }
            }
        }
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        // Should another host own it, that host will say so.
        let memory = RememberedOwner {
            tag: service.tag,
            host: first,
            openings: 0,
        };
        self.flows.put(key, memory);
        Ok(PassthroughPlan {
            tag: service.tag,
            // A walk ends at its last host; it never comes back here.
            complete: true,
            hops,
            source: PlanSource::Chain,
        })
    }
}

// All hosts of each firm, sorted.
fn firm_hosts(view: &RoutingView) -> HashMap<FirmName, Vec<SocketAddrV4>> {
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

// The hosts that may own or open a flow: the candidates of its bucket, then
// those that hold flows of it.
fn candidates(service: &ServiceView, flow: FlowHash) -> impl Iterator<Item = &ViewHost> {
    let bucket = flow.bucket();
    let chain = service.chain(bucket);
    let chosen: Vec<_> = chain
        .as_slice()
        .iter()
        .chain(service.held(bucket))
        .copied()
        .collect();
    chosen.into_iter().map(|index| service.host(index))
}

fn is_host(view: &RoutingView, service: &ServiceView, memory: &RememberedOwner) -> bool {
    let has = |service: &ServiceView| {
        let mut hosts = service.hosts().iter();
        hosts.any(|host| host.record.packets == memory.host)
    };
    if memory.tag == service.tag {
        return has(service);
    }
    view.services()
        .any(|other| other.tag == memory.tag && has(other))
}
