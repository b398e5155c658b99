//! Routing of packets at an entry VM, for stream and request services.
//!
//! The result is a plan of hops that travels with the packet, so that a walk follows a
//! single roster from start to end, whatever updates the hosts on the way have received.
//! An entry VM holds no state that a flow depends on. Its bounded cache of flows shortens
//! walks, and serves callers that only receive: when a host is lost, idle flows of its
//! service are probed, the callers' replies walk the hosts, and a host that is certain
//! that a flow has no owner resets it.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
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

/// Maximum number of hops of a plan: the hinted host, the chain and holders of old flows.
pub const PLAN_HOPS: usize = CHAIN_HOPS + 4;

/// Time without a caller's packet after which a flow counts as idle. Idle flows are probed
/// when a host of their service is lost, because no packet would reveal that they have no
/// owner.
pub const PROBE_AFTER_IDLE: Duration = Duration::from_secs(5);

/// Time after the loss of a host in which a flow that was in use is probed once it is idle.
/// Callers that only listen send a keep-alive now and then, which may come just before the loss.
pub const PROBE_WATCH: Duration = Duration::from_secs(60);

/// Interval between two probes of a flow.
pub const PROBE_PERIOD: Duration = Duration::from_secs(3);

/// Probes per flow: enough for a host to become certain that the flow has no owner, with
/// one probe lost.
pub const PROBE_ROUNDS: u8 = 5;

/// Origin of the first hop of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanSource {
    /// An owner hint: the host reported that it owns the flow.
    Hint,
    /// The ranking of the hosts.
    Chain,
}

/// Reason for which an entry VM drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteDrop {
    /// No manifest has a service at this address.
    NoService,
    /// The service has no host that could accept the packet.
    NoHost,
    /// All hosts of the service that would accept the flow are in drained data centres.
    Drained,
}

impl RouteDrop {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoHost => "no-host",
            Self::Drained => "drained",
        }
    }
}

/// The hops of a packet, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopPlan {
    hops: [HostIndex; PLAN_HOPS],
    len: u8,
    /// Whether the plan names every host that could own the flow.
    pub complete: bool,
    /// Origin of the first hop.
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

    /// Returns the hosts to visit.
    pub fn hops(&self) -> &[HostIndex] {
        &self.hops[..usize::from(self.len)]
    }
}

/// Action of an entry VM on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it to the first hop.
    Forward(HopPlan),
    /// Drop it.
    Drop(RouteDrop),
}

/// The last reported owner of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnerHint {
    host: HostIndex,
    incarnation: Incarnation,
}

/// Cached facts about a flow that the entry VM forwarded packets of.
#[derive(Debug, Clone, Copy)]
struct CachedFlow {
    hint: Option<OwnerHint>,
    next_sequence: u32,
    acknowledged: u32,
    last_seen: TimePoint,
}

/// A segment that makes a caller reply if it still has the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowProbe {
    /// The flow.
    pub key: FlowKey,
    /// Sequence number, one less than the caller expects.
    pub sequence: u32,
    /// Acknowledgement number, after all data that the caller sent.
    pub acknowledgement: u32,
}

#[derive(Debug, Clone, Copy)]
struct PlannedProbe {
    key: FlowKey,
    due: TimePoint,
    rounds_left: u8,
    // A flow that is in use until then is not probed.
    watched_until: TimePoint,
}

/// Routes packets by the newest view.
#[derive(Debug)]
pub struct EntryRouter {
    view: Arc<RoutingView>,
    flows: Option<LruCache<FlowKey, CachedFlow>>,
    probes: VecDeque<PlannedProbe>,
}

impl EntryRouter {
    /// Returns a router that caches up to `flow_limit` flows; zero disables the cache.
    pub fn new(flow_limit: usize) -> Self {
        Self {
            view: Arc::default(),
            flows: NonZeroUsize::new(flow_limit).map(LruCache::new),
            probes: VecDeque::new(),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> &Arc<RoutingView> {
        &self.view
    }

    /// Replaces the view. Owner hints are not updated: a hint whose host was replaced or has
    /// another index now fails the incarnation check when it is used. If the new view lacks
    /// a host, the flows of its service are probed once they are idle.
    pub fn replace_view(&mut self, view: Arc<RoutingView>, now: TimePoint) {
        let affected = view.services_with_lost_hosts(&self.view);
        self.view = view;
        let (Some(flows), false) = (&self.flows, affected.is_empty()) else {
            return;
        };
        let watched = flows
            .iter()
            .filter(|(key, _)| affected.contains(&key.service));
        for (key, cached) in watched {
            self.probes.push_back(PlannedProbe {
                key: *key,
                due: now.max(cached.last_seen + PROBE_AFTER_IDLE),
                rounds_left: PROBE_ROUNDS,
                watched_until: now + PROBE_WATCH,
            });
        }
        self.probes
            .make_contiguous()
            .sort_by_key(|planned| planned.due);
    }

    fn plan_probe(&mut self, planned: PlannedProbe) {
        let index = self
            .probes
            .partition_point(|other| other.due <= planned.due);
        self.probes.insert(index, planned);
    }

    /// Returns the next probe that is due.
    pub fn next_probe(&mut self, now: TimePoint) -> Option<FlowProbe> {
        while self.probes.front()?.due <= now {
            let probe = self.probes.pop_front()?;
            let cached = self.flows.as_ref().and_then(|flows| flows.peek(&probe.key));
            let Some(cached) = cached.copied() else {
                continue;
            };
            // The reply to the first probe makes a flow look used.
            let idle_at = cached.last_seen + PROBE_AFTER_IDLE;
            if probe.rounds_left == PROBE_ROUNDS && idle_at > now {
                if idle_at < probe.watched_until {
                    self.plan_probe(PlannedProbe {
                        due: idle_at,
                        ..probe
                    });
                }
                continue;
            }
            if probe.rounds_left > 1 {
                self.plan_probe(PlannedProbe {
                    due: now + PROBE_PERIOD,
                    rounds_left: probe.rounds_left - 1,
                    ..probe
                });
            }
            return Some(FlowProbe {
                key: probe.key,
                sequence: cached.acknowledged.wrapping_sub(1),
                acknowledgement: cached.next_sequence,
            });
        }
        None
    }

    /// Records that the host at this packet address, with this incarnation, owns the flow.
    pub fn record_owner(&mut self, key: FlowKey, packets: SocketAddrV4, owner: Incarnation) {
        let (Some(flows), Some(service)) = (&mut self.flows, self.view.service_at(key.service))
        else {
            return;
        };
        let position = service
            .hosts()
            .iter()
            .position(|host| host.record.packets == packets && host.record.incarnation == owner);
        if let (Some(position), Some(cached)) = (position, flows.get_mut(&key)) {
            cached.hint = Some(OwnerHint {
                host: HostIndex(position as u32),
                incarnation: owner,
            });
        }
    }

    /// Decides where to send a segment.
    pub fn route(&mut self, segment: &TcpSegment, now: TimePoint) -> RouteDecision {
        let Some(service) = self.view.service_at(segment.key.service) else {
            return RouteDecision::Drop(RouteDrop::NoService);
        };
        let flow = segment.key.hash();
        let mut plan = HopPlan::new();
        if segment.is_syn {
            plan_syn(service, flow, &mut plan);
        } else {
            let hint = record_segment(&mut self.flows, segment, now);
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

// Updates the cache with a caller's segment, and returns the owner hint. A reset removes the
// flow from the cache.
fn record_segment(
    flows: &mut Option<LruCache<FlowKey, CachedFlow>>,
    segment: &TcpSegment,
    now: TimePoint,
) -> Option<OwnerHint> {
    let flows = flows.as_mut()?;
    if segment.is_rst {
        return flows.pop(&segment.key)?.hint;
    }
    let acknowledged = segment.acknowledgement?;
    let next_sequence = segment.sequence.wrapping_add(segment.payload.into());
    let cached = flows.get_or_insert_mut(segment.key, || CachedFlow {
        hint: None,
        next_sequence,
        acknowledged,
        last_seen: now,
    });
    cached.next_sequence = next_sequence;
    cached.acknowledged = acknowledged;
    cached.last_seen = now;
    cached.hint
}

fn plan_syn(service: &ServiceView, flow: FlowHash, plan: &mut HopPlan) {
    let chain = service.opening_chain(flow.bucket());
    for host in chain.as_slice() {
        if service.host(*host).accepts_flows() {
            plan.push(*host);
        }
    }
}

// Plans the walk of a non-SYN packet: the candidates, including those that accept no new
// flows, then the hosts that are no longer candidates but still hold flows. Suspect hosts
// come last, because packets sent to them may be lost.
fn plan_walk(service: &ServiceView, flow: FlowHash, plan: &mut HopPlan) {
    let bucket = flow.bucket();
    let chain = service.chain(bucket);
    for suspects in [false, true] {
        for host in chain.as_slice().iter().chain(service.holders(bucket)) {
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
