//! Passthrough flows, as the side process of their backend server tracks them.
//!
//! The two ends of such a flow are the caller and the backend server; no process between
//! them may change a byte. The side process reads packet headers only. From the packets
//! to and from its backend server it derives which flows exist there, how many requests
//! are in progress and how long they take.
//!
//! The backend server outlives its side process. A side process that has been up for
//! longer than the maximum age of a flow has seen every flow, and replies for its backend
//! server. One that started more recently has to query it: it delivers the packet once
//! and observes whether the backend server returns it as unknown.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::capacity_estimate::{CapacityEstimate, LearnedCapacity};
use crate::flow::{FlowKey, TcpSegment};
use crate::load::HostLoad;
use crate::opening_rules::{COLD_WINDOW, ColdOpenings, KnownColdLimit};
use crate::owner_lookup::OwnershipReply;
use crate::passthrough_verdict::{
    FlowKnowledge, PassthroughArrival, PassthroughVerdict, ReplyVerdict, judge_data, judge_reset,
    lookup_reply,
};
use crate::responses::ResponseMonitor;
use crate::units::TimePoint;

/// Time after which a SYN without a SYN-ACK counts as unanswered: a retransmission of it
/// goes to the next host, if there is one. Callers send the first retransmission after
/// 200 ms.
pub const SYN_ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without a packet after which a flow that was reset, or closed by both ends, is
/// removed.
pub const CLOSED_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a flow whose handshake was not completed is removed.
pub const HALF_OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a new flow without a request counts as load. Callers send a request as
/// soon as the flow is established.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a packet of the caller after which a request without a response no longer
/// counts as load. Its caller has given up, or its last packets were lost.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of flows for which the state of a query to the backend server is kept.
const BACKEND_REPLY_LIMIT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// Time constant of the moving average of the requests in progress.
const AVERAGE_WINDOW: Duration = Duration::from_millis(500);

/// Weight of the newest measurement in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Queue limit of a host for a SYN that another host could accept, as a multiple of its
/// slots.
const QUEUE_LIMIT_FACTOR: u16 = 1;

/// Queue limit for a SYN at the last host of its plan, as a multiple of the host's slots.
const LAST_HOP_QUEUE_LIMIT_FACTOR: u16 = 3;

/// Last observed state of a flow at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PassthroughPhase {
    /// The caller's SYN was delivered.
    SynDelivered,
    /// The backend server sent a SYN-ACK with this sequence number.
    SynAckSent(u32),
    /// Established.
    Established,
    /// Reset by one of its ends.
    Closed,
    /// Recorded before the backend server restarted; the backend server has to be queried.
    Unverified,
}

/// State of the query to the backend server about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackendReply {
    /// Queried, without a reply so far.
    Pending,
    /// The backend server does not hold the flow.
    NotOwned,
}

impl From<BackendReply> for FlowKnowledge {
    fn from(reply: BackendReply) -> Self {
        match reply {
            BackendReply::Pending => Self::Queried,
            BackendReply::NotOwned => Self::NotOwned,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct PassthroughFlow {
    phase: PassthroughPhase,
    // Opened by this process: the flow counts as load until its first request ends.
    first_request_pending: bool,
    caller_closed: bool,
    server_closed: bool,
    // Sequence numbers of the SYN and SYN-ACK that opened the flow, if this process saw them.
    // They tell copies of these packets from those of a later flow with the same key.
    syn_sequence: Option<u32>,
    syn_ack_sequence: Option<u32>,
    // Next sequence number that the caller sends; `None` before its first data packet.
    next_sequence: Option<u32>,
    // Delivery time of the last packet of a request that has no reply yet.
    requested_at: Option<TimePoint>,
    // Requests in progress when it was recorded, this one included.
    at_once: u16,
    // Whether a slot was free when the request began, or it was the first of its flow. Only
    // such requests enter the mean service time.
    found_free_slot: bool,
    created_at: TimePoint,
    last_seen: TimePoint,
}

/// State of the backend server that verdicts and load reports depend on, besides its
/// flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendInfo {
    /// Whether it accepts new flows.
    pub accepts_flows: bool,
    /// Requests that it runs concurrently.
    pub slots: u16,
    /// Maximum number of flows.
    pub flow_limit: usize,
    /// Whether it is slow because it has just started.
    pub cold: bool,
    /// Limit of its new flows while it is cold.
    pub cold_limit: KnownColdLimit,
    /// Whether it started after the side process, which has then seen all of its flows.
    pub observed_from_start: bool,
}

/// Times that the last packet of the backend server completed, if any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplyTiming {
    /// Time from the delivery of the SYN to the SYN-ACK.
    pub syn_ack_time: Option<Duration>,
    /// Time from the last packet of a request to the first packet of its response.
    pub response_time: Option<Duration>,
}

/// The flows of one backend server, tracked by its side process.
#[derive(Debug)]
pub struct PassthroughFlows {
    flows: HashMap<FlowKey, PassthroughFlow>,
    backend_replies: LruCache<FlowKey, BackendReply>,
    started_at: TimePoint,
    flow_age: Duration,
    at_work: u16,
    mean_at_work: f64,
    averaged_at: TimePoint,
    service_ms: f64,
    responses: ResponseMonitor,
    timing: ReplyTiming,
    cold_openings: ColdOpenings,
    // Learns what the backend server takes well, where the manifest asks for it.
    estimate: Option<CapacityEstimate>,
}

impl PassthroughFlows {
    /// Returns an empty table, created at the start of the process. `flow_age` is the
    /// maximum age of a flow.
    pub fn new(flow_age: Duration, now: TimePoint) -> Self {
        Self {
            flows: HashMap::new(),
            backend_replies: LruCache::new(BACKEND_REPLY_LIMIT),
            started_at: now,
            flow_age,
            at_work: 0,
            mean_at_work: 0.0,
            averaged_at: now,
            service_ms: 0.0,
            responses: ResponseMonitor::default(),
            timing: ReplyTiming::default(),
            cold_openings: ColdOpenings::default(),
            estimate: None,
        }
    }

    /// Sets whether to learn how many requests at once the backend server takes well, and to
    /// follow its service time also while it gets none.
    pub fn set_learning(&mut self, learns: bool) {
        if learns != self.estimate.is_some() {
            self.estimate = learns.then(CapacityEstimate::default);
        }
    }

    /// Returns what the backend server takes well, as reported to entry VMs.
    pub fn capacity(&self, backend: &BackendInfo, now: TimePoint) -> LearnedCapacity {
        match &self.estimate {
            Some(estimate) => estimate.capacity(backend.slots, now),
            None => LearnedCapacity {
                slots: backend.slots,
                service_ms: self.service_ms,
            },
        }
    }

    /// Returns the number of tracked flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the number of requests in progress at the backend server. A new flow
    /// counts as one from its SYN on, for at most [`FIRST_REQUEST_TIMEOUT`] without a
    /// request.
    pub fn at_work(&self) -> u16 {
        self.at_work
    }

    /// Returns the times completed by the last packet passed to
    /// [`Self::record_reply_segment`].
    pub fn timing(&self) -> ReplyTiming {
        self.timing
    }

    /// Returns the load report for entry VMs.
    pub fn load(&mut self, backend: &BackendInfo, now: TimePoint) -> HostLoad {
        self.update_mean_at_work(now);
        let capacity = self.capacity(backend, now);
        HostLoad {
            slots: capacity.slots,
            at_work: self.at_work,
            busy_hundredths: (self.mean_at_work * 100.0).min(f64::from(u16::MAX)) as u16,
            flows: self.flows.len().min(usize::from(u16::MAX)) as u16,
            service_us: (capacity.service_ms * 1000.0) as u32,
            failing_percent: self.responses.failing_percent(),
            takes: backend.accepts_flows && self.admits_while_cold(backend, now),
            cold: backend.cold,
        }
    }

    /// Decides what to do with a caller's packet.
    pub fn judge(
        &mut self,
        segment: &TcpSegment,
        arrival: PassthroughArrival,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> PassthroughVerdict {
        if segment.is_syn {
            return self.judge_syn(segment, arrival, backend, now);
        }
        let knowledge = self.knowledge(segment, backend, now);
        let verdict = judge_data(knowledge, arrival);
        match (verdict, self.flows.get_mut(&segment.key)) {
            (PassthroughVerdict::Deliver, Some(flow)) => {
                if let PassthroughPhase::SynAckSent(_) = flow.phase {
                    flow.phase = PassthroughPhase::Established;
                }
            }
            // Until the backend server replies, further packets of the flow go to the
            // next hop.
            (PassthroughVerdict::QueryBackend, _) => {
                self.remove(&segment.key);
                self.backend_replies.put(segment.key, BackendReply::Pending);
            }
            _ => {}
        }
        verdict
    }

    fn knowledge(
        &self,
        segment: &TcpSegment,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> FlowKnowledge {
        match self.flows.get(&segment.key).map(|flow| flow.phase) {
            Some(PassthroughPhase::SynDelivered) => FlowKnowledge::HalfOpen,
            Some(PassthroughPhase::SynAckSent(number)) => {
                if segment.acknowledgement == Some(number.wrapping_add(1)) {
                    FlowKnowledge::Owned
                } else {
                    FlowKnowledge::OpenedElsewhere
                }
            }
            Some(PassthroughPhase::Established | PassthroughPhase::Closed) => FlowKnowledge::Owned,
            Some(PassthroughPhase::Unverified) => FlowKnowledge::Unverified,
            None if segment.is_rst => FlowKnowledge::NotOwned,
            None => self.untracked_knowledge(segment.key, backend, now),
        }
    }

    fn untracked_knowledge(
        &self,
        key: FlowKey,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> FlowKnowledge {
        match self.backend_replies.peek(&key) {
            Some(reply) => (*reply).into(),
            None if self.may_have_untracked_flows(backend, now) => FlowKnowledge::Unverified,
            None => FlowKnowledge::NotOwned,
        }
    }

    /// Returns the reply to an entry VM's lookup query for a flow.
    pub fn lookup_reply(
        &self,
        key: FlowKey,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> OwnershipReply {
        lookup_reply(match self.flows.get(&key).map(|flow| flow.phase) {
            Some(PassthroughPhase::Established | PassthroughPhase::Closed) => FlowKnowledge::Owned,
            Some(PassthroughPhase::SynDelivered | PassthroughPhase::SynAckSent(_)) => {
                FlowKnowledge::HalfOpen
            }
            Some(PassthroughPhase::Unverified) => FlowKnowledge::Unverified,
            None => self.untracked_knowledge(key, backend, now),
        })
    }

    // Returns whether the backend server may hold flows that began before this process
    // started.
    fn may_have_untracked_flows(&self, backend: &BackendInfo, now: TimePoint) -> bool {
        !backend.observed_from_start && now.since(self.started_at) < self.flow_age
    }

    fn judge_syn(
        &mut self,
        segment: &TcpSegment,
        arrival: PassthroughArrival,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> PassthroughVerdict {
        self.remove_if_reopened(segment);
        if let Some(flow) = self.flows.get(&segment.key) {
            let unanswered = flow.phase == PassthroughPhase::SynDelivered;
            let timed_out = unanswered && now.since(flow.created_at) >= SYN_ACK_TIMEOUT;
            if !timed_out || !arrival.more_hops {
                return PassthroughVerdict::Deliver;
            }
            self.remove(&segment.key);
            return PassthroughVerdict::NextHop;
        }
        let slots = self.capacity(backend, now).slots;
        let work_limit = slots.saturating_mul(1 + queue_factor(segment, arrival));
        let accepts = backend.accepts_flows
            && self.admits_while_cold(backend, now)
            && self.at_work < work_limit
            && self.flows.len() < backend.flow_limit;
        match (accepts, arrival.more_hops) {
            (true, _) => PassthroughVerdict::Open,
            (false, true) => PassthroughVerdict::NextHop,
            (false, false) if arrival.complete => PassthroughVerdict::Refuse,
            (false, false) => PassthroughVerdict::NoNextHop,
        }
    }

    /// Returns whether the limit of cold hosts admits another flow. A process that has just
    /// started does not know what an earlier one delivered within the window.
    pub fn admits_while_cold(&self, backend: &BackendInfo, now: TimePoint) -> bool {
        let limit = backend.cold_limit;
        if !backend.cold || limit == KnownColdLimit::Unlimited {
            return true;
        }
        let knows_window = backend.observed_from_start || now.since(self.started_at) >= COLD_WINDOW;
        knows_window && self.cold_openings.admits(limit, now)
    }

    // Removes a closed flow if the segment is the SYN or SYN-ACK of a later flow with the same
    // key: the caller uses its port again.
    fn remove_if_reopened(&mut self, segment: &TcpSegment) {
        let is_reopened = self
            .flows
            .get(&segment.key)
            .is_some_and(|flow| flow.is_closed() && !flow.was_opened_by(segment));
        if is_reopened {
            self.remove(&segment.key);
        }
    }

    /// Records the delivery of a caller's packet.
    pub fn record_delivered(
        &mut self,
        segment: &TcpSegment,
        backend: &BackendInfo,
        now: TimePoint,
    ) {
        if segment.is_syn {
            if !self.flows.contains_key(&segment.key) {
                self.backend_replies.pop(&segment.key);
                self.cold_openings.record_opened(backend.cold_limit, now);
                let flow = PassthroughFlow {
                    first_request_pending: true,
                    syn_sequence: Some(segment.sequence),
                    ..PassthroughFlow::new(PassthroughPhase::SynDelivered, now)
                };
                self.flows.insert(segment.key, flow);
                self.add_work(1, now);
            }
            return;
        }
        let has_free_slot = self.at_work < backend.slots;
        let at_work = self.at_work;
        let Some(flow) = self.flows.get_mut(&segment.key) else {
            return;
        };
        flow.last_seen = now;
        flow.caller_closed |= segment.is_fin;
        if segment.is_rst {
            flow.phase = PassthroughPhase::Closed;
            self.end_work(segment.key, now);
            return;
        }
        // A retransmission of data that was delivered before starts no request.
        if segment.payload > 0 && flow.advance_sequence(segment) {
            let starts_request = flow.requested_at.is_none();
            flow.requested_at = Some(now);
            if starts_request {
                flow.found_free_slot = has_free_slot || flow.first_request_pending;
                // The first request of a flow counts from its SYN on.
                flow.at_once = at_work + u16::from(!flow.first_request_pending);
                if !flow.first_request_pending {
                    self.add_work(1, now);
                }
            }
        }
    }

    /// Records a packet from the backend server to the caller, and returns whether to
    /// forward it. `segment` has the key of the flow, with the caller's end first.
    pub fn record_reply_segment(&mut self, segment: &TcpSegment, now: TimePoint) -> ReplyVerdict {
        self.timing = ReplyTiming::default();
        if segment.is_rst {
            return self.record_reset(segment.key, now);
        }
        if segment.is_syn_ack {
            self.remove_if_reopened(segment);
        }
        if !self.flows.contains_key(&segment.key) {
            // The flow began before this process started, or its SYN was delivered while an
            // earlier flow with its key was open.
            self.backend_replies.pop(&segment.key);
            let flow = PassthroughFlow::new(phase_after_reply(segment), now);
            self.flows.insert(segment.key, flow);
        }
        let Some(flow) = self.flows.get_mut(&segment.key) else {
            return ReplyVerdict::Forward;
        };
        flow.last_seen = now;
        flow.server_closed |= segment.is_fin;
        if flow.phase == PassthroughPhase::Unverified {
            flow.phase = phase_after_reply(segment);
        }
        if segment.is_syn_ack {
            flow.syn_ack_sequence = Some(segment.sequence);
            if flow.phase == PassthroughPhase::SynDelivered {
                flow.phase = PassthroughPhase::SynAckSent(segment.sequence);
                self.timing.syn_ack_time = Some(now.since(flow.created_at));
            }
            return ReplyVerdict::Forward;
        }
        if segment.payload > 0 || segment.is_fin {
            if let Some(requested_at) = flow.requested_at.filter(|_| segment.payload > 0) {
                self.timing.response_time = Some(now.since(requested_at));
                self.responses
                    .record_response(segment.key.service, segment.payload);
                if let Some(estimate) = &mut self.estimate {
                    let time = now.since(requested_at);
                    estimate.record_answer(segment.key.service, flow.at_once, time, now);
                }
            }
            let unqueued_at = flow
                .requested_at
                .filter(|_| flow.found_free_slot && segment.payload > 0);
            if let Some(requested_at) = unqueued_at {
                self.record_service_time(now.since(requested_at), now);
            }
            self.end_work(segment.key, now);
        }
        ReplyVerdict::Forward
    }

    fn record_reset(&mut self, key: FlowKey, now: TimePoint) -> ReplyVerdict {
        let knowledge = match self.flows.get(&key).map(|flow| flow.phase) {
            Some(PassthroughPhase::Established | PassthroughPhase::Closed) => FlowKnowledge::Owned,
            Some(PassthroughPhase::SynDelivered | PassthroughPhase::SynAckSent(_)) => {
                FlowKnowledge::HalfOpen
            }
            Some(PassthroughPhase::Unverified) | None => FlowKnowledge::NotOwned,
        };
        let verdict = judge_reset(knowledge);
        match verdict {
            ReplyVerdict::Forward => self.mark_closed(key, now),
            ReplyVerdict::Withhold => {
                self.remove(&key);
                self.backend_replies.put(key, BackendReply::NotOwned);
            }
        }
        verdict
    }

    /// Records that the backend server returned a packet because it does not hold the
    /// flow or cannot open it. Returns whether the flow was established in this table.
    pub fn record_returned(&mut self, segment: &TcpSegment) -> bool {
        let was_open = self
            .flows
            .get(&segment.key)
            .is_some_and(|flow| flow.phase == PassthroughPhase::Established);
        self.remove(&segment.key);
        if !segment.is_syn {
            self.backend_replies
                .put(segment.key, BackendReply::NotOwned);
        }
        was_open
    }

    /// Marks all flows as unverified, for a restart of the backend server: flows of its
    /// earlier epoch are gone, but some may have begun before the new epoch was detected.
    /// The backend server is queried about each. Returns their number.
    pub fn mark_all_unverified(&mut self) -> usize {
        for flow in self.flows.values_mut() {
            flow.phase = PassthroughPhase::Unverified;
            flow.first_request_pending = false;
            flow.requested_at = None;
        }
        self.responses = ResponseMonitor::default();
        if let Some(estimate) = &mut self.estimate {
            *estimate = CapacityEstimate::default();
        }
        self.backend_replies.clear();
        self.at_work = 0;
        self.flows.len()
    }

    /// Removes flows that have ended, flows without a packet for `idle`, and half-open flows
    /// that timed out. New flows without a request no longer count as load after
    /// [`FIRST_REQUEST_TIMEOUT`], and requests without a response after
    /// [`REQUEST_TIMEOUT`].
    pub fn sweep(&mut self, idle: Duration, now: TimePoint) {
        let expired: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_expired(idle, now))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove(&key);
        }
        let overdue: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_work_overdue(now))
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
            self.end_work(key, now);
        }
    }

    fn remove(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.remove(key)
            && (flow.first_request_pending || flow.requested_at.is_some())
        {
            self.at_work = self.at_work.saturating_sub(1);
        }
    }

    // Late packets of a reset flow still go to the backend server, so the flow stays in the
    // table until it times out.
    fn mark_closed(&mut self, key: FlowKey, now: TimePoint) {
        self.end_work(key, now);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.phase = PassthroughPhase::Closed;
            flow.last_seen = now;
        }
    }

    fn end_work(&mut self, key: FlowKey, now: TimePoint) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.first_request_pending || flow.requested_at.is_some() {
            flow.first_request_pending = false;
            flow.requested_at = None;
            self.update_mean_at_work(now);
            self.at_work = self.at_work.saturating_sub(1);
        }
    }

    fn add_work(&mut self, count: u16, now: TimePoint) {
        self.update_mean_at_work(now);
        self.at_work = self.at_work.saturating_add(count);
    }

    fn update_mean_at_work(&mut self, now: TimePoint) {
        let elapsed = now.since(self.averaged_at).as_secs_f64() / AVERAGE_WINDOW.as_secs_f64();
        let decay = (-elapsed).exp();
        self.mean_at_work = self.mean_at_work * decay + f64::from(self.at_work) * (1.0 - decay);
        self.averaged_at = now;
    }

    fn record_service_time(&mut self, service: Duration, now: TimePoint) {
        if let Some(estimate) = &mut self.estimate {
            estimate.record_service_time(service, now);
        }
        let millis = service.as_secs_f64() * 1000.0;
        self.service_ms = if self.service_ms == 0.0 {
            millis
        } else {
            self.service_ms + (millis - self.service_ms) * SERVICE_TIME_WEIGHT
        };
    }
}

// Returns the queue limit for a SYN, as a multiple of the slots. A caller that has
// retransmitted its SYN has waited for 200 ms or more, longer than most callers want to wait
// in all. When a backlog of such callers remains after an outage, they get the slots that
// newer callers leave free, as otherwise all callers would wait as long.
fn queue_factor(segment: &TcpSegment, arrival: PassthroughArrival) -> u16 {
    match (segment.syn_copies, arrival.more_hops) {
        (0, true) => QUEUE_LIMIT_FACTOR,
        (0, false) => LAST_HOP_QUEUE_LIMIT_FACTOR,
        _ => 0,
    }
}

// Returns the phase of a flow that is known only from this packet of the backend server.
fn phase_after_reply(segment: &TcpSegment) -> PassthroughPhase {
    if segment.is_syn_ack {
        PassthroughPhase::SynAckSent(segment.sequence)
    } else {
        PassthroughPhase::Established
    }
}

impl PassthroughFlow {
    fn new(phase: PassthroughPhase, now: TimePoint) -> Self {
        Self {
            phase,
            first_request_pending: false,
            caller_closed: false,
            server_closed: false,
            syn_sequence: None,
            syn_ack_sequence: None,
            next_sequence: None,
            requested_at: None,
            at_once: 0,
            found_free_slot: false,
            created_at: now,
            last_seen: now,
        }
    }

    // Returns whether the flow was reset, or closed by both ends.
    fn is_closed(&self) -> bool {
        self.phase == PassthroughPhase::Closed || (self.caller_closed && self.server_closed)
    }

    // Returns whether a SYN or SYN-ACK is a copy of the one that opened this flow.
    fn was_opened_by(&self, segment: &TcpSegment) -> bool {
        let opening_sequence = if segment.is_syn_ack {
            self.syn_ack_sequence
        } else {
            self.syn_sequence
        };
        opening_sequence == Some(segment.sequence)
    }

    // Returns whether the segment carries new data, and advances the sequence number if
    // so.
    fn advance_sequence(&mut self, segment: &TcpSegment) -> bool {
        let end = segment.sequence.wrapping_add(segment.payload.into());
        let new = self
            .next_sequence
            .is_none_or(|next| (end.wrapping_sub(next) as i32) > 0);
        if new {
            self.next_sequence = Some(end);
        }
        new
    }

    fn is_work_overdue(&self, now: TimePoint) -> bool {
        match self.requested_at {
            Some(requested_at) => now.since(requested_at) >= REQUEST_TIMEOUT,
            None => {
                self.first_request_pending && now.since(self.created_at) >= FIRST_REQUEST_TIMEOUT
            }
        }
    }

    fn is_expired(&self, idle: Duration, now: TimePoint) -> bool {
        let silence = now.since(self.last_seen);
        match self.phase {
            PassthroughPhase::SynDelivered | PassthroughPhase::SynAckSent(_) => {
                now.since(self.created_at) >= HALF_OPEN_TIMEOUT && silence >= HALF_OPEN_TIMEOUT
            }
            _ if self.is_closed() => silence >= CLOSED_TIMEOUT,
            _ => silence >= idle,
        }
    }
}
