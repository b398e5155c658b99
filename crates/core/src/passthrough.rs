//! Flows that are carried through unread.
//!
//! The two ends of such a flow are the caller and the backend server; nobody
//! between them may change a byte. The side process reads heads only. From the
//! packets to and from its backend server it knows which flows live there,
//! how many requests are at work and how fast they are.
//!
//! The backend server outlives its side process. A side process that has been
//! up for longer than the flow can be old answers for its own backend server;
//! one that has just started asks it: it delivers the packet once and sees
//! whether the backend server returns it as unknown.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use crate::answers::AnswerMonitor;
use crate::flow::{FlowKey, TcpSegment};
use crate::load::HostLoad;
use crate::owner_lookup::OwnershipReply;
use crate::passthrough_verdict::{
    FlowKnowledge, PassthroughArrival, PassthroughVerdict, ReplyVerdict, judge_data, judge_reset,
    lookup_reply,
};
use crate::units::TimePoint;

/// A backend server that has not answered an opening for this time gets no
/// copy of it while another host is left: callers send the first copy after
/// 200 ms.
pub const SYN_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// A flow is forgotten when it was silent for this time and one end closed it.
pub const CLOSED_LINGER: Duration = Duration::from_secs(5);

/// An opening is forgotten when it led to no open flow in this time.
pub const HALF_OPEN_LIFETIME: Duration = Duration::from_secs(3);

/// An open flow without a request counts as load for this time: callers that
/// open a flow send a request at once.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Flows that are remembered as unknown to the backend server.
const STRANGER_LIMIT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// Time constant of the average of requests at work.
const BUSY_WINDOW: Duration = Duration::from_millis(500);

/// Weight of the newest measurement in the mean service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// Queue of a backend server behind its slots, in slots, up to which a host
/// takes an opening that another host could take.
const EAGER_QUEUE_FACTOR: u16 = 1;

/// Queue behind its slots, in slots, up to which the last host that is asked
/// takes an opening.
const LAST_QUEUE_FACTOR: u16 = 3;

/// What a flow's backend server was last seen to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PassthroughPhase {
    /// The caller's opening was delivered.
    SynDelivered,
    /// The backend server answered it with this sequence number.
    SynAckSent(u32),
    /// Open.
    Established,
    /// One end closed or reset it.
    Closed,
    /// It was known before the backend server started again.
    Unverified,
}

/// What is known of a flow that the backend server was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackendReply {
    /// It has not answered.
    Pending,
    /// It does not hold the flow.
    Denied,
}

impl From<BackendReply> for FlowKnowledge {
    fn from(word: BackendReply) -> Self {
        match word {
            BackendReply::Pending => Self::Queried,
            BackendReply::Denied => Self::NotOwned,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct PassthroughFlow {
    phase: PassthroughPhase,
    // Opened by this process: it counts as load until its first request ends.
    fresh: bool,
    caller_closed: bool,
    server_closed: bool,
    // What the caller sends next; none if no packet of it was seen.
    next_sequence: Option<u32>,
    // When the last packet of a request that has no answer yet was delivered.
    asked: Option<TimePoint>,
    // Whether the backend server had a free slot then.
    unqueued: bool,
    since: TimePoint,
    seen: TimePoint,
}

/// What a side process knows of its backend server besides its flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendInfo {
    /// Whether it may get new flows.
    pub takes: bool,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Most flows that it holds.
    pub flow_limit: usize,
    /// Whether it is slow since it has just started.
    pub cold: bool,
    /// Whether it started after the side process, which then saw all of its
    /// flows.
    pub observed_from_start: bool,
}

/// What a packet of the backend server ended, if anything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplyTiming {
    /// Time since the opening that it answers.
    pub opening: Option<Duration>,
    /// Time since the last packet of the request that it answers.
    pub answer: Option<Duration>,
}

/// The flows of one backend server as its side process sees them.
#[derive(Debug)]
pub struct PassthroughFlows {
    flows: HashMap<FlowKey, PassthroughFlow>,
    strangers: LruCache<FlowKey, BackendReply>,
    started: TimePoint,
    flow_age: Duration,
    at_work: u16,
    busy: f64,
    busy_at: TimePoint,
    service_ms: f64,
    answers: AnswerMonitor,
    timing: ReplyTiming,
}

impl PassthroughFlows {
    /// No flows, at the start of the process. Flows are never older than
    /// `flow_age`.
    pub fn new(flow_age: Duration, now: TimePoint) -> Self {
        Self {
            flows: HashMap::new(),
            strangers: LruCache::new(STRANGER_LIMIT),
            started: now,
            flow_age,
            at_work: 0,
            busy: 0.0,
            busy_at: now,
            service_ms: 0.0,
            answers: AnswerMonitor::default(),
            timing: ReplyTiming::default(),
        }
    }

    /// Flows that are known.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Requests at the backend server, with openings whose request is on its
    /// way.
    pub fn at_work(&self) -> u16 {
        self.at_work
    }

    /// What the last packet of the backend server ended.
    pub fn timing(&self) -> ReplyTiming {
        self.timing
    }

    /// What entry VMs are told.
    pub fn load(&mut self, backend: &BackendInfo, now: TimePoint) -> HostLoad {
        self.average(now);
        HostLoad {
            slots: backend.slots,
            at_work: self.at_work,
            busy_hundredths: (self.busy * 100.0).min(f64::from(u16::MAX)) as u16,
            flows: self.flows.len().min(usize::from(u16::MAX)) as u16,
            service_us: (self.service_ms * 1000.0) as u32,
            failing_percent: self.answers.failing_percent(),
            takes: backend.takes,
            cold: backend.cold,
        }
    }

    /// Judges a caller's packet.
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
            // Until the answer is there, other packets of it walk on.
            (PassthroughVerdict::QueryBackend, _) => {
                self.forget(&segment.key);
                self.strangers.put(segment.key, BackendReply::Pending);
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
            None => self.knowledge_of_unknown(segment.key, backend, now),
        }
    }

    fn knowledge_of_unknown(
        &self,
        key: FlowKey,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> FlowKnowledge {
        match self.strangers.peek(&key) {
            Some(word) => (*word).into(),
            None if self.may_be_unseen(backend, now) => FlowKnowledge::Unverified,
            None => FlowKnowledge::NotOwned,
        }
    }

    /// What an entry VM that searches a flow is told.
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
            None => self.knowledge_of_unknown(key, backend, now),
        })
    }

    // Whether the backend server may have flows that began before this process.
    fn may_be_unseen(&self, backend: &BackendInfo, now: TimePoint) -> bool {
        !backend.observed_from_start && now.since(self.started) < self.flow_age
    }

    fn judge_syn(
        &mut self,
        segment: &TcpSegment,
        arrival: PassthroughArrival,
        backend: &BackendInfo,
        now: TimePoint,
    ) -> PassthroughVerdict {
        if let Some(flow) = self.flows.get(&segment.key) {
            let unanswered = flow.phase == PassthroughPhase::SynDelivered;
            let silent = unanswered && now.since(flow.since) >= SYN_ANSWER_TIMEOUT;
            if !silent || !arrival.more_hops {
                return PassthroughVerdict::Deliver;
            }
            self.forget(&segment.key);
            return PassthroughVerdict::NextHop;
        }
        let queue = if arrival.more_hops {
            EAGER_QUEUE_FACTOR
        } else {
            LAST_QUEUE_FACTOR
        };
        let room = backend.slots.saturating_mul(1 + queue);
        let takes = backend.takes && self.at_work < room && self.flows.len() < backend.flow_limit;
        match (takes, arrival.more_hops) {
            (true, _) => PassthroughVerdict::Open,
            (false, true) => PassthroughVerdict::NextHop,
            (false, false) if arrival.complete => PassthroughVerdict::Refuse,
            (false, false) => PassthroughVerdict::NoNextHop,
        }
    }

    /// Notes that a caller's packet was delivered.
    pub fn record_delivered(
        &mut self,
        segment: &TcpSegment,
        backend: &BackendInfo,
        now: TimePoint,
    ) {
        if segment.is_syn {
            if !self.flows.contains_key(&segment.key) {
                self.strangers.pop(&segment.key);
                self.insert(segment.key, PassthroughPhase::SynDelivered, now);
                self.add_work(1, now);
            }
            return;
        }
        let free = self.at_work < backend.slots;
        let Some(flow) = self.flows.get_mut(&segment.key) else {
            return;
        };
        flow.seen = now;
        flow.caller_closed |= segment.is_fin;
        if segment.is_rst {
            flow.phase = PassthroughPhase::Closed;
            self.end_work(segment.key, now);
            return;
        }
        // A copy of data that was answered already asks for nothing.
        if segment.payload > 0 && flow.advances(segment) {
            let began = flow.asked.is_none();
            flow.asked = Some(now);
            if began {
                flow.unqueued = free || flow.fresh;
                if !flow.fresh {
                    self.add_work(1, now);
                }
            }
        }
    }

    fn insert(&mut self, key: FlowKey, phase: PassthroughPhase, now: TimePoint) {
        let flow = PassthroughFlow {
            phase,
            fresh: phase == PassthroughPhase::SynDelivered,
            caller_closed: false,
            server_closed: false,
            next_sequence: None,
            asked: None,
            unqueued: false,
            since: now,
            seen: now,
        };
        self.flows.insert(key, flow);
    }

    /// Notes a packet that the backend server sent to the caller, and tells
    /// whether the caller may get it. `segment` has the key of the flow, that is
    /// the caller's end first.
    pub fn record_reply_segment(&mut self, segment: &TcpSegment, now: TimePoint) -> ReplyVerdict {
        self.timing = ReplyTiming::default();
        if segment.is_rst {
            return self.note_reset(segment.key, now);
        }
        if !self.flows.contains_key(&segment.key) {
            // It began before this process did.
            self.strangers.pop(&segment.key);
            let phase = if segment.is_syn_ack {
                PassthroughPhase::SynAckSent(segment.sequence)
            } else {
                PassthroughPhase::Established
            };
            self.insert(segment.key, phase, now);
        }
        let Some(flow) = self.flows.get_mut(&segment.key) else {
            return ReplyVerdict::Forward;
        };
        flow.seen = now;
        flow.server_closed |= segment.is_fin;
        if flow.phase == PassthroughPhase::Unverified {
            flow.phase = if segment.is_syn_ack {
                PassthroughPhase::SynAckSent(segment.sequence)
            } else {
                PassthroughPhase::Established
            };
        }
        if segment.is_syn_ack {
            if flow.phase == PassthroughPhase::SynDelivered {
                flow.phase = PassthroughPhase::SynAckSent(segment.sequence);
                self.timing.opening = Some(now.since(flow.since));
            }
            return ReplyVerdict::Forward;
        }
        if segment.payload > 0 || segment.is_fin {
            if let Some(asked) = flow.asked.filter(|_| segment.payload > 0) {
                self.timing.answer = Some(now.since(asked));
                self.answers.note(segment.key.service, segment.payload);
            }
            let measured = flow.asked.filter(|_| flow.unqueued && segment.payload > 0);
            if let Some(asked) = measured {
                self.measure(now.since(asked));
            }
            self.end_work(segment.key, now);
        }
        ReplyVerdict::Forward
    }

    fn note_reset(&mut self, key: FlowKey, now: TimePoint) -> ReplyVerdict {
        let knowledge = match self.flows.get(&key).map(|flow| flow.phase) {
            Some(PassthroughPhase::Established | PassthroughPhase::Closed) => FlowKnowledge::Owned,
            Some(PassthroughPhase::SynDelivered | PassthroughPhase::SynAckSent(_)) => {
                FlowKnowledge::HalfOpen
            }
            Some(PassthroughPhase::Unverified) | None => FlowKnowledge::NotOwned,
        };
        let verdict = judge_reset(knowledge);
        match verdict {
            ReplyVerdict::Forward => self.forget_as_closed(key, now),
            ReplyVerdict::Withhold => {
                self.forget(&key);
                self.strangers.put(key, BackendReply::Denied);
            }
        }
        verdict
    }

    /// Notes that the backend server returned a packet: it does not hold the
    /// flow, or can't open it. Returns whether the flow was open here before.
    pub fn record_returned(&mut self, segment: &TcpSegment) -> bool {
        let was_open = self
            .flows
            .get(&segment.key)
            .is_some_and(|flow| flow.phase == PassthroughPhase::Established);
        self.forget(&segment.key);
        if !segment.is_syn {
            self.strangers.put(segment.key, BackendReply::Denied);
        }
        was_open
    }

    /// Doubts all flows, as when the backend server has started again: those of its
    /// earlier life are gone, but some may have begun before the new one was heard of.
    /// It is asked for each. Returns how many there are.
    pub fn mark_all_unverified(&mut self) -> usize {
        for flow in self.flows.values_mut() {
            flow.phase = PassthroughPhase::Unverified;
            flow.fresh = false;
            flow.asked = None;
        }
        self.answers = AnswerMonitor::default();
        self.strangers.clear();
        self.at_work = 0;
        self.flows.len()
    }

    /// Forgets flows that have ended or been silent for `idle`, and openings
    /// that led to nothing.
    pub fn sweep(&mut self, idle: Duration, now: TimePoint) {
        let ended: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_over(idle, now))
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.forget(&key);
        }
        let idle_openings: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_idle_opening(now))
            .map(|(key, _)| *key)
            .collect();
        for key in idle_openings {
            self.end_work(key, now);
        }
    }

    fn forget(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.remove(key)
            && (flow.fresh || flow.asked.is_some())
        {
            self.at_work = self.at_work.saturating_sub(1);
        }
    }

    // Late packets of a reset flow still belong to the backend server.
    fn forget_as_closed(&mut self, key: FlowKey, now: TimePoint) {
        self.end_work(key, now);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.phase = PassthroughPhase::Closed;
            flow.seen = now;
        }
    }

    fn end_work(&mut self, key: FlowKey, now: TimePoint) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.fresh || flow.asked.is_some() {
            flow.fresh = false;
            flow.asked = None;
            self.average(now);
            self.at_work = self.at_work.saturating_sub(1);
        }
    }

    fn add_work(&mut self, count: u16, now: TimePoint) {
        self.average(now);
        self.at_work = self.at_work.saturating_add(count);
    }

    fn average(&mut self, now: TimePoint) {
        let passed = now.since(self.busy_at).as_secs_f64() / BUSY_WINDOW.as_secs_f64();
        let kept = (-passed).exp();
        self.busy = self.busy * kept + f64::from(self.at_work) * (1.0 - kept);
        self.busy_at = now;
    }

    fn measure(&mut self, service: Duration) {
        let millis = service.as_secs_f64() * 1000.0;
        self.service_ms = if self.service_ms == 0.0 {
            millis
        } else {
            self.service_ms + (millis - self.service_ms) * SERVICE_WEIGHT
        };
    }
}

impl PassthroughFlow {
    // Whether the segment carries data that was not seen before.
    fn advances(&mut self, segment: &TcpSegment) -> bool {
        let end = segment.sequence.wrapping_add(segment.payload.into());
        let new = self
            .next_sequence
            .is_none_or(|next| (end.wrapping_sub(next) as i32) > 0);
        if new {
            self.next_sequence = Some(end);
        }
        new
    }

    fn is_idle_opening(&self, now: TimePoint) -> bool {
        self.fresh && self.asked.is_none() && now.since(self.since) >= FIRST_REQUEST_TIMEOUT
    }

    fn is_over(&self, idle: Duration, now: TimePoint) -> bool {
        let silence = now.since(self.seen);
        let closed =
            self.phase == PassthroughPhase::Closed || (self.caller_closed && self.server_closed);
        match self.phase {
            PassthroughPhase::SynDelivered | PassthroughPhase::SynAckSent(_) => {
                now.since(self.since) >= HALF_OPEN_LIFETIME && silence >= HALF_OPEN_LIFETIME
            }
            _ if closed => silence >= CLOSED_LINGER,
            _ => silence >= idle,
        }
    }
}
