//! Where an entry VM sends a SYN of a passthrough flow, and why.
//!
//! [`PassthroughRouter::explain_opening`] shows the decision on a SYN that is not sent. It is made
//! by the same code as that of [`PassthroughRouter::route`], without counting as a placement.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::HostState;
use crate::entry::{PLAN_HOPS, PlanSource, RouteDrop};
use crate::flow::{FlowHash, FlowKey, TcpSegment};
use crate::ids::{DatacenterName, HostName};
use crate::load::{HostLoad, RankingInput};
use crate::passthrough_plan::PassthroughPlan;
use crate::passthrough_routes::{CachedOwner, PassthroughRouter};
use crate::units::TimePoint;
use crate::view::{RoutingView, ServiceView, ViewHost};

/// Number of SYNs of a flow that are not refused even if every host rejects them.
/// Callers retransmit a SYN after 200 and 600 ms, in which time a full host works off its
/// queue; the last retransmission is refused so that the caller does not have to wait for
/// a timeout.
const SYNS_BEFORE_REFUSAL: u8 = 2;

/// SYNs to an address that was added to the view less than this time ago are not refused: to
/// the caller a refusal would look as if the address had no service yet.
pub(crate) const ADDRESS_GRACE_PERIOD: Duration = Duration::from_secs(15);

/// A host from which nothing was received for this time after a SYN is not the first hop
/// of the retransmission. Callers send the first retransmission after 200 ms.
const SILENT_AFTER_SYN: Duration = Duration::from_millis(150);

/// Why a candidate is no hop of a SYN.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeftOut {
    /// Its data centre is drained.
    Drained,
    /// Its state does not allow new flows.
    State,
    /// Its last load report rejects new flows: its backend server leaves, or is cold and has
    /// opened as many flows as it may.
    Refuses,
    /// Other entry VMs may not know it yet.
    New,
}

impl LeftOut {
    /// Returns the name used in explanations.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drained => "drained",
            Self::State => "state",
            Self::Refuses => "refuses",
            Self::New => "new",
        }
    }
}

/// A candidate for a SYN, with the inputs of its rank.
#[derive(Debug, Clone, PartialEq)]
pub struct OpeningCandidate {
    /// Name of the host.
    pub name: HostName,
    /// Packet address of the host.
    pub packets: SocketAddrV4,
    /// Data centre of the host.
    pub datacenter: DatacenterName,
    /// State of the host in the view.
    pub state: HostState,
    /// Time in which it would complete one more request, with penalties, in milliseconds.
    pub cost_ms: f64,
    /// Its newest load report and the age of it, if there is one.
    pub report: Option<(HostLoad, Duration)>,
    /// Why it is no hop; `None` if it is one.
    pub left_out: Option<LeftOut>,
}

/// The decision on a SYN that is not sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OpeningExplanation {
    /// The candidates: the hops by cost, then those left out.
    pub candidates: Vec<OpeningCandidate>,
    /// The plan, or why there is none.
    pub plan: Result<PassthroughPlan, RouteDrop>,
    /// The hosts that a later packet visits if no owner is cached.
    pub walk: Vec<SocketAddrV4>,
}

// A candidate with its cost in milliseconds.
#[derive(Debug, Clone, Copy)]
struct RankedCandidate<'a> {
    host: &'a ViewHost,
    cost_ms: f64,
    left_out: Option<LeftOut>,
}

impl RankedCandidate<'_> {
    fn address(&self) -> SocketAddrV4 {
        self.host.record.packets
    }
}

impl PassthroughRouter {
    pub(crate) fn plan_syn(
        &mut self,
        service: &ServiceView,
        segment: &TcpSegment,
        cached: Option<CachedOwner>,
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let ranked = self.rank_candidates(service, segment.key, now);
        let plan = self.choose_hops(service, segment, cached, &ranked, now)?;
        let first = plan.hops[0];
        let is_sent_again = cached.is_some_and(|cached| cached.host == first);
        if !is_sent_again || self.is_silent_after_syn(first, now) {
            self.loads.record_placement(first, now);
        }
        let syns = cached.map_or(0, |cached| cached.syns);
        let owner = CachedOwner {
            tag: service.tag,
            host: first,
            syns: syns.saturating_add(1),
        };
        self.cached_owners.put(segment.key, owner);
        Ok(plan)
    }

    /// Returns where a SYN would go now, and why. Nothing is sent, and no load changes.
    pub fn explain_opening(
        &self,
        view: &RoutingView,
        segment: &TcpSegment,
        now: TimePoint,
    ) -> Result<OpeningExplanation, RouteDrop> {
        let service = view
            .service_at(segment.key.service)
            .ok_or(RouteDrop::NoService)?;
        let cached = self.cached_owners.peek(&segment.key).copied();
        let ranked = self.rank_candidates(service, segment.key, now);
        Ok(OpeningExplanation {
            plan: self.choose_hops(service, segment, cached, &ranked, now),
            walk: self.walk_hops(service, segment.key, None, now),
            candidates: ranked
                .iter()
                .map(|candidate| self.explain_candidate(candidate, now))
                .collect(),
        })
    }

    fn explain_candidate(
        &self,
        candidate: &RankedCandidate<'_>,
        now: TimePoint,
    ) -> OpeningCandidate {
        let record = &candidate.host.record;
        OpeningCandidate {
            name: record.name.clone(),
            packets: record.packets,
            datacenter: record.datacenter.clone(),
            state: candidate.host.state,
            cost_ms: candidate.cost_ms,
            report: self.loads.report(record.packets, now),
            left_out: candidate.left_out,
        }
    }

    // Returns the candidates of a SYN: those that may open the flow by cost, then the others.
    fn rank_candidates<'a>(
        &self,
        service: &'a ServiceView,
        key: FlowKey,
        now: TimePoint,
    ) -> Vec<RankedCandidate<'a>> {
        let mut ranked: Vec<_> = opening_candidates(service, key.hash(), &self.local_datacenter)
            .map(|host| RankedCandidate {
                host,
                cost_ms: self.cost(host, now),
                left_out: self.reason_to_leave_out(host, now),
            })
            .collect();
        self.leave_out_new_hosts(service, &mut ranked, now);
        ranked.sort_by(|candidate, other| candidate.cost_ms.total_cmp(&other.cost_ms));
        // The sort is stable: hosts of equal cost keep their order.
        ranked.sort_by_key(|candidate| candidate.left_out);
        ranked
    }

    fn reason_to_leave_out(&self, host: &ViewHost, now: TimePoint) -> Option<LeftOut> {
        if host.drained {
            Some(LeftOut::Drained)
        } else if !host.accepts_flows() {
            Some(LeftOut::State)
        } else if self.loads.refuses(host.record.packets, now) {
            Some(LeftOut::Refuses)
        } else {
            None
        }
    }

    // Without other hosts, a new one is better than none.
    fn leave_out_new_hosts(
        &self,
        service: &ServiceView,
        ranked: &mut [RankedCandidate<'_>],
        now: TimePoint,
    ) {
        let is_known =
            |candidate: &RankedCandidate| !self.known_hosts.is_new(candidate.address(), now);
        let mut usable = ranked
            .iter()
            .filter(|candidate| candidate.left_out.is_none());
        let has_known_candidate = usable.any(is_known);
        let has_known_host = has_known_candidate || self.has_established_host(service, now);
        for candidate in ranked {
            let may_open = if has_known_candidate {
                is_known(candidate)
            } else {
                let host = candidate.address();
                self.known_hosts.may_stand_in(host, has_known_host)
            };
            if !may_open && candidate.left_out.is_none() {
                candidate.left_out = Some(LeftOut::New);
            }
        }
    }

    fn is_silent_after_syn(&self, host: SocketAddrV4, now: TimePoint) -> bool {
        self.loads.is_silent(host, SILENT_AFTER_SYN, now)
    }

    // Retransmitted SYNs go to the host of the first one, unless that host has been
    // silent since. After the candidates they visit other hosts of the service.
    fn choose_hops(
        &self,
        service: &ServiceView,
        segment: &TcpSegment,
        cached: Option<CachedOwner>,
        ranked: &[RankedCandidate<'_>],
        now: TimePoint,
    ) -> Result<PassthroughPlan, RouteDrop> {
        let key = segment.key;
        let syns = cached.map_or(0, |cached| cached.syns);
        let earlier_syns = syns.max(segment.syn_copies.min(u8::MAX.into()) as u8);
        let cached_host = cached.map(|cached| cached.host);
        let silent_host = cached_host.filter(|host| self.is_silent_after_syn(*host, now));
        let mut usable: Vec<SocketAddrV4> = ranked
            .iter()
            .filter(|candidate| candidate.left_out.is_none())
            .map(RankedCandidate::address)
            .collect();
        // The sort is stable: the other hosts keep their order.
        usable.sort_by_key(|host| Some(*host) == silent_host);
        let preferred = cached_host.filter(|_| silent_host.is_none());
        let mut hops: Vec<SocketAddrV4> = Vec::with_capacity(PLAN_HOPS);
        hops.extend(preferred.filter(|host| usable.contains(host)));
        for host in usable {
            if hops.len() < PLAN_HOPS && !hops.contains(&host) {
                hops.push(host);
            }
        }
        if earlier_syns > 0 || hops.is_empty() {
            self.append_stand_ins(service, key.hash(), &mut hops, now);
        }
        let is_past_grace_period = self.is_past_grace_period(key.service, now);
        if hops.is_empty() {
            // A refusal of an address that was just added would look as if it had no service.
            return Err(if is_past_grace_period && service.is_wholly_drained() {
                RouteDrop::Drained
            } else {
                RouteDrop::NoHost
            });
        }
        let refusable = earlier_syns >= SYNS_BEFORE_REFUSAL && is_past_grace_period;
        Ok(PassthroughPlan {
            tag: service.tag,
            complete: refusable && self.tries_enough_hosts(service, hops.len(), now),
            hops,
            source: PlanSource::Chain,
        })
    }

    // Appends the hosts of another bucket, as far as the plan has room: where all candidates of
    // a large service are full, others may not be. All entry VMs append the same ones.
    fn append_stand_ins(
        &self,
        service: &ServiceView,
        flow: FlowHash,
        hops: &mut Vec<SocketAddrV4>,
        now: TimePoint,
    ) {
        let chain = service.opening_chain(flow.bucket().opposite());
        for index in chain.as_slice() {
            let host = service.host(*index);
            let address = host.record.packets;
            let is_usable = self.reason_to_leave_out(host, now).is_none()
                && !self.known_hosts.is_new(address, now);
            if is_usable && hops.len() < PLAN_HOPS && !hops.contains(&address) {
                hops.push(address);
            }
        }
    }

    // Returns whether a SYN may be refused once so many hosts have rejected it: all that do not
    // reject every SYN, or as many as a plan has room for.
    fn tries_enough_hosts(&self, service: &ServiceView, hops: usize, now: TimePoint) -> bool {
        let usable = |host: &&ViewHost| self.reason_to_leave_out(host, now).is_none();
        hops == PLAN_HOPS || hops >= service.hosts().iter().filter(usable).count()
    }

    fn cost(&self, host: &ViewHost, now: TimePoint) -> f64 {
        let input = RankingInput {
            packets: host.record.packets,
            datacenter: &host.record.datacenter,
            cold: host.state == HostState::Warming,
        };
        self.loads.cost(&input, &self.local_datacenter, now)
    }
}

// Returns the hosts that may open a flow, near ones first.
fn opening_candidates<'a>(
    service: &'a ServiceView,
    flow: FlowHash,
    local_datacenter: &DatacenterName,
) -> impl Iterator<Item = &'a ViewHost> + use<'a> {
    let bucket = flow.bucket();
    let chain = service.opening_chain_near(bucket, local_datacenter);
    let mut indexes: Vec<_> = chain.as_slice().to_vec();
    indexes.extend(service.holders(bucket));
    indexes.into_iter().map(|index| service.host(index))
}
