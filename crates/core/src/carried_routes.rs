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
use crate::flow::{FlowKey, SegmentFacts};
use crate::ids::{DatacenterName, ServiceTag};
use crate::load::{HostLoad, LoadBoard, RankedPlace};
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceView, ViewHost};
use crate::{FlowHash, HostState};

/// The hosts that a packet visits, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CarriedPlan {
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

#[derive(Debug, Clone, Copy)]
struct CarriedMemory {
    tag: ServiceTag,
    host: SocketAddrV4,
    openings: u8,
}

/// Routes packets of carried flows.
#[derive(Debug)]
pub struct CarriedRouter {
    here: DatacenterName,
    board: LoadBoard,
    flows: LruCache<FlowKey, CarriedMemory>,
    known_since: HashMap<SocketAddrV4, TimePoint>,
}

impl CarriedRouter {
    /// A router in the data centre `here` that remembers up to `flow_limit`
    /// flows.
    pub fn new(here: DatacenterName, flow_limit: NonZeroUsize) -> Self {
        Self {
            here,
            board: LoadBoard::default(),
            flows: LruCache::new(flow_limit),
            known_since: HashMap::new(),
        }
    }

    /// Notes a new view: which addresses it has.
    pub fn note_view(&mut self, view: &RoutingView, now: TimePoint) {
        self.known_since
            .retain(|address, _| view.service_at(*address).is_some());
        for address in view.services().flat_map(|service| service.spec.addresses()) {
            self.known_since.entry(address).or_insert(now);
        }
        self.board.expire(now);
    }

    fn is_settled(&self, address: SocketAddrV4, now: TimePoint) -> bool {
        self.known_since
            .get(&address)
            .is_some_and(|since| now.since(*since) >= SETTLING_TIME)
    }

    /// What hosts reported.
    pub fn board(&self) -> &LoadBoard {
        &self.board
    }

    /// Notes a host's report of its load.
    pub fn hear(&mut self, host: SocketAddrV4, load: HostLoad, now: TimePoint) {
        self.board.hear(host, load, now);
    }

    /// Notes that a host said it owns the flow.
    pub fn learn(&mut self, view: &RoutingView, key: FlowKey, host: SocketAddrV4) {
        if let Some(service) = view.service_at(key.service) {
            let openings = self.flows.peek(&key).map_or(0, |known| known.openings);
            let memory = CarriedMemory {
                tag: service.tag,
                host,
                openings,
            };
            self.flows.put(key, memory);
        }
    }

    /// Decides which hosts a caller's packet visits.
    pub fn route(
        &mut self,
        view: &RoutingView,
        segment: &SegmentFacts,
        now: TimePoint,
    ) -> Result<CarriedPlan, RouteDrop> {
        let service = view
            .service_at(segment.key.service)
            .ok_or(RouteDrop::NoService)?;
        let known = self.flows.get(&segment.key).copied();
        if segment.opens {
            return self.plan_opening(service, segment.key, known, now);
        }
        match known.filter(|memory| is_host(view, service, memory)) {
            Some(memory) => Ok(CarriedPlan {
                tag: memory.tag,
                hops: vec![memory.host],
                complete: false,
                source: PlanSource::Hint,
            }),
            None => self.plan_walk(service, segment.key, None),
        }
    }

    /// Decides where a packet goes that `from` returned as unknown to it.
    pub fn reroute(
        &mut self,
        view: &RoutingView,
        segment: &SegmentFacts,
        from: SocketAddrV4,
    ) -> Result<CarriedPlan, RouteDrop> {
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
        self.plan_walk(service, segment.key, Some(from))
    }

    // Copies of an opening go where the first one went.
    fn plan_opening(
        &mut self,
        service: &ServiceView,
        key: FlowKey,
        known: Option<CarriedMemory>,
        now: TimePoint,
    ) -> Result<CarriedPlan, RouteDrop> {
        let mut ranked: Vec<(f64, SocketAddrV4)> = candidates(service, key.hash())
            .filter(|host| host.takes_flows())
            .filter(|host| !self.board.refuses(host.record.packets, now))
            .map(|host| (self.cost(host, now), host.record.packets))
            .collect();
        ranked.sort_by(|(cost, _), (other, _)| cost.total_cmp(other));
        let openings = known.map_or(0, |memory| memory.openings);
        let known = known.map(|memory| memory.host);
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        hops.extend(known.filter(|host| ranked.iter().any(|(_, other)| other == host)));
        for (_, host) in ranked {
            if hops.len() < PLAN_HOPS && !hops.contains(&host) {
                hops.push(host);
            }
        }
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        if known != Some(first) {
            self.board.place(first, now);
        }
        let memory = CarriedMemory {
            tag: service.tag,
            host: first,
            openings: openings.saturating_add(1),
        };
        self.flows.put(key, memory);
        let refusable = openings >= PATIENT_OPENINGS && self.is_settled(key.service, now);
        let takers = service.hosts().iter().filter(|host| host.takes_flows());
        Ok(CarriedPlan {
            tag: service.tag,
            complete: refusable && hops.len() == takers.count(),
            hops,
            source: PlanSource::Chain,
        })
    }

    fn cost(&self, host: &ViewHost, now: TimePoint) -> f64 {
        let place = RankedPlace {
            packets: host.record.packets,
            datacenter: &host.record.datacenter,
            cold: host.state == HostState::Warming,
        };
        self.board.cost(&place, &self.here, now)
    }

    fn plan_walk(
        &mut self,
        service: &ServiceView,
        key: FlowKey,
        tried: Option<SocketAddrV4>,
    ) -> Result<CarriedPlan, RouteDrop> {
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        for silent in [false, true] {
            for host in candidates(service, key.hash()) {
                let address = host.record.packets;
                let turn = (host.state == HostState::Suspect) == silent;
                let new = Some(address) != tried && !hops.contains(&address);
                if turn && new && hops.len() < PLAN_HOPS {
                    hops.push(address);
                }
            }
        }
        let first = *hops.first().ok_or(RouteDrop::NoHost)?;
        // Should another host own it, that host will say so.
        let memory = CarriedMemory {
            tag: service.tag,
            host: first,
            openings: 0,
        };
        self.flows.put(key, memory);
        Ok(CarriedPlan {
            tag: service.tag,
            // A walk ends at its last host; it never comes back here.
            complete: true,
            hops,
            source: PlanSource::Chain,
        })
    }
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

fn is_host(view: &RoutingView, service: &ServiceView, memory: &CarriedMemory) -> bool {
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
