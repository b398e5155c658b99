//! The decision of an entry VM: where does a packet go?
//!
//! The answer is a plan of hops that travels with the packet, so that a walk
//! follows one roster from its start to its end, whatever the hosts on the
//! way have heard of. An entry VM keeps nothing that a flow needs; its hints
//! only shorten the walk.

use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;

use crate::chart::HostState;
use crate::flow::{FlowHash, SegmentFacts};
use crate::ids::Incarnation;
use crate::placement::CHAIN_HOPS;
use crate::roster::HostIndex;
use crate::view::{RoutingView, ServiceView};

/// Most hops of a plan: the hinted host, the chain and holders of old flows.
pub const PLAN_HOPS: usize = CHAIN_HOPS + 4;

/// Where the first hop of a plan comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanSource {
    /// A host told that it owns the flow.
    Hint,
    /// The ranking.
    Chain,
}

/// Why an entry VM drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteDrop {
    /// No manifest has a service at this address.
    NoService,
    /// The service has no host that could take the packet.
    NoHost,
}

impl RouteDrop {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoHost => "no-host",
        }
    }
}

/// The hops of a packet, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopPlan {
    hops: [HostIndex; PLAN_HOPS],
    len: u8,
    /// Whether every host that could own the flow is in the plan.
    pub complete: bool,
    /// Where the first hop comes from.
    pub source: PlanSource,
}

impl HopPlan {
    fn new() -> Self {
        Self {
            hops: [HostIndex(u32::MAX); PLAN_HOPS],
            len: 0,
            complete: false,
            source: PlanSource::Chain,
        }
    }

    fn push(&mut self, host: HostIndex) {
        let len = usize::from(self.len);
        if len < PLAN_HOPS && !self.hops().contains(&host) {
            self.hops[len] = host;
            self.len += 1;
        }
    }

    /// The hosts to visit.
    pub fn hops(&self) -> &[HostIndex] {
        &self.hops[..usize::from(self.len)]
    }
}

/// What an entry VM does with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it to the first hop.
    Forward(HopPlan),
    /// Drop it.
    Drop(RouteDrop),
}

/// Whom a flow was last heard to belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnerHint {
    host: HostIndex,
    incarnation: Incarnation,
}

/// Routes packets by the newest view.
#[derive(Debug)]
pub struct EntryRouter {
    view: Arc<RoutingView>,
    hints: Option<LruCache<FlowHash, OwnerHint>>,
}

impl EntryRouter {
    /// A router that keeps up to `hint_limit` hints, none if zero.
    pub fn new(hint_limit: usize) -> Self {
        Self {
            view: Arc::default(),
            hints: NonZeroUsize::new(hint_limit).map(LruCache::new),
        }
    }

    /// The view in use.
    pub fn view(&self) -> &Arc<RoutingView> {
        &self.view
    }

    /// Takes a new view. A hint to a host that moved is noticed by its
    /// incarnation when it is looked at.
    pub fn replace_view(&mut self, view: Arc<RoutingView>) {
        self.view = view;
    }

    /// Notes that the host with this incarnation owns the flow.
    pub fn learn(&mut self, flow: FlowHash, address: SocketAddrV4, owner: Incarnation) {
        let (Some(hints), Some(service)) = (&mut self.hints, self.view.service_at(address)) else {
            return;
        };
        let place = service
            .hosts()
            .iter()
            .position(|host| host.record.incarnation == owner);
        if let Some(place) = place {
            let host = HostIndex(place as u32);
            let incarnation = owner;
            hints.put(flow, OwnerHint { host, incarnation });
        }
    }

    /// Decides where a segment goes.
    pub fn route(&mut self, segment: &SegmentFacts) -> RouteDecision {
        let Some(service) = self.view.service_at(segment.key.service) else {
            return RouteDecision::Drop(RouteDrop::NoService);
        };
        let flow = segment.key.hash();
        let mut plan = HopPlan::new();
        if segment.opens {
            plan_opening(service, flow, &mut plan);
        } else {
            if let Some(host) = self
                .hints
                .as_mut()
                .and_then(|hints| hints.get(&flow))
                .and_then(|hint| current_host(service, *hint))
            {
                plan.push(host);
                plan.source = PlanSource::Hint;
            }
            plan_walk(service, flow, &mut plan);
        }
        if plan.len == 0 {
            RouteDecision::Drop(RouteDrop::NoHost)
        } else {
            RouteDecision::Forward(plan)
        }
    }
}

fn plan_opening(service: &ServiceView, flow: FlowHash, plan: &mut HopPlan) {
    let chain = service.chain(flow.bucket());
    for host in chain.as_slice() {
        if service.host(*host).takes_flows() {
            plan.push(*host);
        }
    }
}

// A packet of an open flow visits the candidates, also those that take nothing
// new, and then the hosts that fell out of the ranking with flows left. Hosts
// that are silent come last, where they can't swallow what is not theirs.
fn plan_walk(service: &ServiceView, flow: FlowHash, plan: &mut HopPlan) {
    let bucket = flow.bucket();
    let chain = service.chain(bucket);
    for suspects in [false, true] {
        for host in chain.as_slice().iter().chain(service.held(bucket)) {
            if (service.host(*host).state == HostState::Suspect) == suspects {
                plan.push(*host);
            }
        }
    }
    plan.complete = plan.hops().len() == service.hosts().len();
}

fn current_host(service: &ServiceView, hint: OwnerHint) -> Option<HostIndex> {
    let host = service.hosts().get(hint.host.0 as usize)?;
    (host.record.incarnation == hint.incarnation).then_some(hint.host)
}
