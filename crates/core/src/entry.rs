//! The decision of an entry VM: where does a packet go?
//!
//! The answer is a plan of hops that travels with the packet, so that a walk
//! follows one roster from its start to its end, whatever the hosts on the
//! way have heard of. An entry VM keeps nothing that a flow needs. What it
//! remembers of flows, as many as fit, shortens the walk, and serves callers
//! that only listen: when a host is lost, quiet flows of its service are probed,
//! the callers' answers walk, and a host that is certain resets them.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use lru::LruCache;

use crate::chart::HostState;
use crate::flow::{FlowHash, FlowKey, TcpSegment};
use crate::ids::Incarnation;
use crate::placement::CHAIN_HOPS;
use crate::roster::HostIndex;
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceView};

/// Most hops of a plan: the hinted host, the chain and holders of old flows.
pub const PLAN_HOPS: usize = CHAIN_HOPS + 4;

/// A flow that was silent for this time may have lost its owner.
pub const PROBE_QUIET: Duration = Duration::from_secs(5);

/// Time between two probes of a flow.
pub const PROBE_PERIOD: Duration = Duration::from_secs(3);

/// Probes of a flow: enough for a host to be certain, with one to lose.
pub const PROBE_ROUNDS: u8 = 5;

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

/// What an entry VM remembers of a flow that it forwarded packets of.
#[derive(Debug, Clone, Copy)]
struct FlowMemory {
    hint: Option<OwnerHint>,
    next_sequence: u32,
    acknowledged: u32,
    seen: TimePoint,
}

/// A segment that asks a caller whether it still has a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowProbe {
    /// The flow.
    pub key: FlowKey,
    /// Sequence number, just before what the caller expects.
    pub sequence: u32,
    /// Acknowledges what the caller sent.
    pub acknowledgement: u32,
}

#[derive(Debug, Clone, Copy)]
struct PlannedProbe {
    key: FlowKey,
    due: TimePoint,
    rounds: u8,
}

/// Routes packets by the newest view.
#[derive(Debug)]
pub struct EntryRouter {
    view: Arc<RoutingView>,
    flows: Option<LruCache<FlowKey, FlowMemory>>,
    probes: VecDeque<PlannedProbe>,
}

impl EntryRouter {
    /// A router that remembers up to `flow_limit` flows, none if zero.
    pub fn new(flow_limit: usize) -> Self {
        Self {
            view: Arc::default(),
            flows: NonZeroUsize::new(flow_limit).map(LruCache::new),
            probes: VecDeque::new(),
        }
    }

    /// The view in use.
    pub fn view(&self) -> &Arc<RoutingView> {
        &self.view
    }

    /// Takes a new view. A hint to a host that moved is noticed by its
    /// incarnation when it is looked at. If a host was lost, the quiet flows
    /// of its service are asked whether they still have an owner.
    pub fn replace_view(&mut self, view: Arc<RoutingView>, now: TimePoint) {
        let lost = view.services_with_lost_hosts(&self.view);
        self.view = view;
        let (Some(flows), false) = (&self.flows, lost.is_empty()) else {
            return;
        };
        let quiet = flows.iter().filter(|(key, memory)| {
            lost.contains(&key.service) && now.since(memory.seen) >= PROBE_QUIET
        });
        for (key, _) in quiet {
            self.probes.push_back(PlannedProbe {
                key: *key,
                due: now,
                rounds: PROBE_ROUNDS,
            });
        }
    }

    /// The next probe that is due.
    pub fn next_probe(&mut self, now: TimePoint) -> Option<FlowProbe> {
        while self.probes.front()?.due <= now {
            let probe = self.probes.pop_front()?;
            let memory = self.flows.as_ref().and_then(|flows| flows.peek(&probe.key));
            let Some(memory) = memory else { continue };
            if probe.rounds > 1 {
                self.probes.push_back(PlannedProbe {
                    due: now + PROBE_PERIOD,
                    rounds: probe.rounds - 1,
                    ..probe
                });
            }
            return Some(FlowProbe {
                key: probe.key,
                sequence: memory.acknowledged.wrapping_sub(1),
                acknowledgement: memory.next_sequence,
            });
        }
        None
    }

    /// Notes that the host with this incarnation owns the flow.
    pub fn record_owner(&mut self, key: FlowKey, owner: Incarnation) {
        let (Some(flows), Some(service)) = (&mut self.flows, self.view.service_at(key.service))
        else {
            return;
        };
        let place = service
            .hosts()
            .iter()
            .position(|host| host.record.incarnation == owner);
        if let (Some(place), Some(memory)) = (place, flows.get_mut(&key)) {
            memory.hint = Some(OwnerHint {
                host: HostIndex(place as u32),
                incarnation: owner,
            });
        }
    }

    /// Decides where a segment goes.
    pub fn route(&mut self, segment: &TcpSegment, now: TimePoint) -> RouteDecision {
        let Some(service) = self.view.service_at(segment.key.service) else {
            return RouteDecision::Drop(RouteDrop::NoService);
        };
        let flow = segment.key.hash();
        let mut plan = HopPlan::new();
        if segment.is_syn {
            plan_syn(service, flow, &mut plan);
        } else {
            let hint = remember(&mut self.flows, segment, now);
            if let Some(host) = hint.and_then(|hint| current_host(service, hint)) {
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

// Notes what the segment tells of its flow, and returns the hint.
fn remember(
    flows: &mut Option<LruCache<FlowKey, FlowMemory>>,
    segment: &TcpSegment,
    now: TimePoint,
) -> Option<OwnerHint> {
    let flows = flows.as_mut()?;
    if segment.is_rst {
        return flows.pop(&segment.key)?.hint;
    }
    let acknowledged = segment.acknowledgement?;
    let next_sequence = segment.sequence.wrapping_add(segment.payload.into());
    let memory = flows.get_or_insert_mut(segment.key, || FlowMemory {
        hint: None,
        next_sequence,
        acknowledged,
        seen: now,
    });
    memory.next_sequence = next_sequence;
    memory.acknowledged = acknowledged;
    memory.seen = now;
    memory.hint
}

fn plan_syn(service: &ServiceView, flow: FlowHash, plan: &mut HopPlan) {
    let chain = service.chain(flow.bucket());
    for host in chain.as_slice() {
        if service.host(*host).accepts_flows() {
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
