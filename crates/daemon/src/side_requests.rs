//! Requests at a host: slots, connections to the backend server, relays and
//! what the caller is told.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::Sender;
use mio::{Registry, Token};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rocket::tokio::sync::oneshot;

use chestnutlb_core::budget::RETRY_PERCENT;
use chestnutlb_core::manifest::RequestClass;
use chestnutlb_core::{
    CancelResult, FlowKey, HostRecord, HostState, PercentShare, RelayAdmission, RelayTable,
    RequestEvent, RequestId, RequestOutcome, RequestTable, RetryBudget, ServiceSpec, SlotEvent,
    SlotOffer, SlotPolicy, SlotRefusal, SlotScheduler, TimePoint,
};
use chestnutlb_wire::peer::{CancelAnswer, CancelQuery, RelayAnswer, RelayQuery};

use crate::http1::{
    AnswerScan, MAX_ANSWER_BYTES, RequestHead, scan_answer, write_outcome, write_request,
};
use crate::metrics::{Counter, CounterSet, offer};
use crate::settings::SideSettings;
use crate::side_events::SideShared;
use crate::side_link::{BackendLink, READ_BYTES};
use crate::side_relay::{RelayJob, RelayResult};

/// A request that would wait longer than this is offered to another host.
const RELAY_WAIT: Duration = Duration::from_millis(20);

/// Hosts that a request is offered to at most.
const MAX_RELAYS: u8 = 2;

/// Requests that are with other hosts at once; each takes a thread until its
/// answer comes. A leaving host may have more, which wait for a thread.
pub const RELAY_LIMIT: usize = 16;

/// Time to wait for the word on a cancellation.
const CANCEL_GRACE: Duration = Duration::from_secs(1);

/// First token of the requests' connections; they use odd ones.
const FIRST_TOKEN: usize = 3;

#[derive(Debug)]
enum JobSource {
    Flow(FlowKey),
    Relay(oneshot::Sender<RelayAnswer>),
}

#[derive(Debug)]
struct RequestJob {
    source: JobSource,
    bytes: Vec<u8>,
    class: RequestClass,
    repeatable: bool,
    head_request: bool,
    deadline: TimePoint,
    link: Option<BackendLink>,
    answer: Vec<u8>,
    relays: u8,
    target: Option<HostRecord>,
    give_up: Option<TimePoint>,
}

/// An answer that is ready for its flow.
#[derive(Debug)]
pub struct FlowAnswer {
    /// The flow.
    pub flow: FlowKey,
    /// The whole answer.
    pub bytes: Vec<u8>,
}

/// The requests of a host.
#[derive(Debug)]
pub struct RequestDesk {
    settings: Arc<SideSettings>,
    spec: Arc<ServiceSpec>,
    registry: Registry,
    relay_ring: Sender<RelayJob>,
    cancel_ring: Sender<RelayJob>,
    shared: Arc<SideShared>,
    counters: Arc<CounterSet>,
    incarnation: u64,
    slots: SlotScheduler,
    ledger: RequestTable,
    relays: RelayTable,
    relays_out: usize,
    budget: RetryBudget,
    jobs: HashMap<RequestId, RequestJob>,
    links: HashMap<Token, RequestId>,
    peers: Vec<HostRecord>,
    state: HostState,
    next_id: u64,
    next_token: usize,
    random: StdRng,
    answers: Vec<FlowAnswer>,
}

/// What a desk is made with.
#[derive(Debug)]
pub struct DeskParts {
    /// Settings of the process.
    pub settings: Arc<SideSettings>,
    /// The service.
    pub spec: Arc<ServiceSpec>,
    /// Where connections are registered.
    pub registry: Registry,
    /// Requests for other hosts.
    pub relay_ring: Sender<RelayJob>,
    /// Cancellations, which must not wait behind requests.
    pub cancel_ring: Sender<RelayJob>,
    /// What the threads share.
    pub shared: Arc<SideShared>,
    /// Start of this process.
    pub incarnation: u64,
    /// Random numbers.
    pub random: StdRng,
    /// First id of a request.
    pub first_id: u64,
}

impl RequestDesk {
    /// A desk without requests.
    pub fn new(parts: DeskParts) -> Self {
        let share = PercentShare::new(RETRY_PERCENT).unwrap_or_else(|error| {
            panic!("retry budget: {error}");
        });
        let limits = parts.spec.limits;
        Self {
            counters: Arc::clone(&parts.shared.counters),
            settings: parts.settings,
            slots: SlotScheduler::new(SlotPolicy::Classes, limits.slots, limits.queue),
            spec: parts.spec,
            registry: parts.registry,
            relay_ring: parts.relay_ring,
            cancel_ring: parts.cancel_ring,
            shared: parts.shared,
            incarnation: parts.incarnation,
            ledger: RequestTable::default(),
            relays: RelayTable::default(),
            relays_out: 0,
            budget: RetryBudget::new(share),
            jobs: HashMap::new(),
            links: HashMap::new(),
            peers: Vec::new(),
            state: HostState::Joining,
            next_id: parts.first_id,
            next_token: FIRST_TOKEN,
            random: parts.random,
            answers: Vec::new(),
        }
    }

    /// Takes news of the service.
    pub fn hear(&mut self, spec: Arc<ServiceSpec>, hosts: Vec<HostRecord>) {
        self.slots.set_limits(spec.limits.slots, spec.limits.queue);
        self.spec = spec;
        self.peers = hosts;
        let me = self.settings.name.clone();
        self.peers
            .retain(|host| host.name != me && host.accepts_flows());
    }

    /// Notes the host's state.
    pub fn enter(&mut self, state: HostState, now: TimePoint) {
        self.state = state;
        if state != HostState::Leaving {
            return;
        }
        // What waits here would only delay the end.
        let waiting: Vec<_> = self
            .jobs
            .keys()
            .copied()
            .filter(|id| self.slots.withdraw(*id))
            .collect();
        for id in waiting {
            self.place_elsewhere(id, SlotRefusal::Leaving, now);
        }
    }

    /// Whether no request is under way.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The answers that are ready.
    pub fn take_answers(&mut self) -> Vec<FlowAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Takes a whole request from a caller.
    pub fn take(&mut self, flow: FlowKey, head: &RequestHead, bytes: Vec<u8>, now: TimePoint) {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let rule = self.spec.rule(&head.method, &head.path);
        let job = RequestJob {
            source: JobSource::Flow(flow),
            bytes,
            class: rule.class,
            repeatable: rule.repeatable,
            head_request: head.method == "HEAD",
            deadline: now + rule.deadline,
            link: None,
            answer: Vec::new(),
            relays: 0,
            target: None,
            give_up: None,
        };
        self.counters.add(Counter::Requests);
        self.budget.first_try();
        self.ledger.open(id);
        self.jobs.insert(id, job);
        self.place(id, now);
    }

    /// Takes a request from another host.
    pub fn take_relay(
        &mut self,
        query: RelayQuery,
        reply: oneshot::Sender<RelayAnswer>,
        now: TimePoint,
    ) {
        let id = RequestId(query.id);
        let own = query.incarnation == self.incarnation
            && query.service == self.settings.service.to_string().as_str();
        if !own {
            // A closed channel means that the asker has gone.
            let _ = reply.send(RelayAnswer::NotRun);
            return;
        }
        match self.relays.accept(id) {
            RelayAdmission::New => {}
            RelayAdmission::Cancelled => {
                let _ = reply.send(RelayAnswer::NotRun);
                return;
            }
            RelayAdmission::Duplicate => {
                let _ = reply.send(RelayAnswer::Unknown);
                return;
            }
        }
        self.counters.add(Counter::RelaysIn);
        let class = if query.long {
            RequestClass::Long
        } else {
            RequestClass::Short
        };
        let deadline = now + Duration::from_millis(query.left_ms);
        let job = RequestJob {
            source: JobSource::Relay(reply),
            head_request: query.request.starts_with(b"HEAD "),
            bytes: query.request,
            class,
            repeatable: false,
            deadline,
            link: None,
            answer: Vec::new(),
            relays: MAX_RELAYS,
            target: None,
            give_up: None,
        };
        self.jobs.insert(id, job);
        let max_wait = Duration::from_millis(query.max_wait_ms);
        let takes = matches!(self.state, HostState::Warming | HostState::Serving);
        let offer = if takes {
            self.slots.offer(id, class, deadline, now)
        } else {
            SlotOffer::Refused(SlotRefusal::Leaving)
        };
        match offer {
            SlotOffer::Start => self.run(id, now),
            SlotOffer::Queued(wait) if wait <= max_wait => {}
            SlotOffer::Queued(_) => {
                self.slots.withdraw(id);
                self.finish(id, RequestOutcome::NotRun, "busy", now);
            }
            SlotOffer::Refused(refusal) => {
                self.finish(id, RequestOutcome::NotRun, refusal.as_str(), now);
            }
        }
    }

    /// Another host cancels a request.
    pub fn take_cancel(&mut self, query: &CancelQuery, now: TimePoint) -> CancelAnswer {
        if query.incarnation != self.incarnation {
            // The process that was meant has gone; what it ran is unknown.
            return CancelAnswer::Started;
        }
        let id = RequestId(query.id);
        match self.relays.cancel(id, now) {
            CancelResult::Started => CancelAnswer::Started,
            CancelResult::NotRun => {
                self.slots.withdraw(id);
                self.finish(id, RequestOutcome::NotRun, "cancelled", now);
                CancelAnswer::NotRun
            }
        }
    }

    /// The caller of a flow has gone.
    pub fn abandon(&mut self, flow: FlowKey, now: TimePoint) {
        let gone: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| matches!(job.source, JobSource::Flow(key) if key == flow))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            log::info!(target: "request", request = id.0, flow:% = flow; "caller gone");
            self.slots.withdraw(id);
            self.cancel_relay(id);
            self.finish(id, RequestOutcome::Unknown, "caller-gone", now);
        }
    }

    fn place(&mut self, id: RequestId, now: TimePoint) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        match self.state {
            HostState::Leaving => return self.place_elsewhere(id, SlotRefusal::Leaving, now),
            HostState::Suspect => return self.place_elsewhere(id, SlotRefusal::NotStarted, now),
            _ => {}
        }
        let may_relay =
            job.relays < MAX_RELAYS && !self.peers.is_empty() && self.relays_out < RELAY_LIMIT;
        let wait = self.slots.expected_wait(job.class);
        if wait > RELAY_WAIT && may_relay {
            return self.place_elsewhere(id, SlotRefusal::WaitTooLong, now);
        }
        match self.slots.offer(id, job.class, job.deadline, now) {
            SlotOffer::Start => self.run(id, now),
            SlotOffer::Queued(wait) => {
                log::info!(
                    target: "placement",
                    request = id.0, host:% = self.settings.name,
                    wait_ms = wait.as_millis() as u64;
                    "queued"
                );
            }
            SlotOffer::Refused(refusal) => self.place_elsewhere(id, refusal, now),
        }
    }

    // Hands the request to another host; if there is none to try, it waits
    // here or is refused.
    fn place_elsewhere(&mut self, id: RequestId, refusal: SlotRefusal, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let left = job.deadline.since(now);
        let from_caller = matches!(job.source, JobSource::Flow(_));
        let has_room = self.relays_out < RELAY_LIMIT || self.state == HostState::Leaving;
        let tries_left = from_caller && job.relays < MAX_RELAYS && !left.is_zero() && has_room;
        let last = job.target.as_ref().map(|host| host.name.clone());
        let target = self
            .peers
            .iter()
            .filter(|host| Some(&host.name) != last.as_ref())
            .choose(&mut self.random);
        let (true, Some(target)) = (tries_left, target) else {
            return self.keep_or_refuse(id, refusal, now);
        };
        job.relays += 1;
        job.target = Some(target.clone());
        let wait = match refusal {
            SlotRefusal::Leaving | SlotRefusal::NotStarted => left,
            _ => self.slots.expected_wait(job.class) / 2,
        };
        let query = RelayQuery {
            id: id.0,
            service: self.settings.service.to_string().into(),
            incarnation: target.incarnation.0,
            left_ms: left.as_millis() as u64,
            max_wait_ms: wait.as_millis() as u64,
            long: job.class == RequestClass::Long,
            request: job.bytes.clone(),
        };
        log::info!(
            target: "placement",
            request = id.0, host:% = target.name, cause = refusal.as_str();
            "relayed"
        );
        self.counters.add(Counter::RelaysOut);
        let job = RelayJob::Send(target.relays, query);
        if offer(&self.relay_ring, job, &self.counters) {
            self.relays_out += 1;
            self.ledger.apply(id, RequestEvent::Relay);
        } else {
            self.keep_or_refuse(id, refusal, now);
        }
    }

    fn keep_or_refuse(&mut self, id: RequestId, refusal: SlotRefusal, now: TimePoint) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let offer = match refusal {
            SlotRefusal::Leaving | SlotRefusal::Expired | SlotRefusal::NotStarted => {
                SlotOffer::Refused(refusal)
            }
            SlotRefusal::QueueFull | SlotRefusal::WaitTooLong => {
                self.slots.offer(id, job.class, job.deadline, now)
            }
        };
        match offer {
            SlotOffer::Start => self.run(id, now),
            SlotOffer::Queued(_) => {}
            SlotOffer::Refused(refusal) => {
                self.finish(id, RequestOutcome::NotRun, refusal.as_str(), now);
            }
        }
    }

    fn run(&mut self, id: RequestId, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if matches!(job.source, JobSource::Relay(_)) && !self.relays.start(id) {
            return self.finish(id, RequestOutcome::NotRun, "cancelled", now);
        }
        self.ledger.apply(id, RequestEvent::Start);
        let token = Token(self.next_token);
        self.next_token += 2;
        let left = job.deadline.since(now).as_millis() as u64;
        log::info!(
            target: "placement",
            request = id.0, host:% = self.settings.name, left_ms = left;
            "started"
        );
        match BackendLink::connect(self.settings.backend, token, &self.registry) {
            Ok(mut link) => {
                link.push(&write_request(&job.bytes, id, left));
                job.link = Some(link);
                self.links.insert(token, id);
            }
            Err(_) => self.not_started(id, now),
        }
    }

    /// A connection of a request became ready.
    pub fn wake(&mut self, token: Token, readable: bool, now: TimePoint) {
        let Some(id) = self.links.get(&token).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(link) = &mut job.link else { return };
        link.wake(readable);
        let mut buffer = [0; READ_BYTES];
        loop {
            let len = link.read(&mut buffer);
            if len == 0 {
                break;
            }
            job.answer.extend_from_slice(&buffer[..len]);
        }
        let ended = link.ended || link.failed;
        let scan = if job.answer.len() > MAX_ANSWER_BYTES {
            AnswerScan::Broken
        } else {
            scan_answer(&job.answer, ended, job.head_request)
        };
        let started = link.started;
        match scan {
            AnswerScan::Incomplete => {}
            AnswerScan::Complete(answer) => {
                job.answer = answer;
                self.finish(id, RequestOutcome::Answered, "answered", now);
            }
            AnswerScan::NotRun => self.not_started(id, now),
            AnswerScan::Broken if !started => self.not_started(id, now),
            AnswerScan::Broken => self.lost(id, now),
        }
    }

    // No backend server started it, and that is proved.
    fn not_started(&mut self, id: RequestId, now: TimePoint) {
        self.close_link(id);
        self.slots.finish(id, now);
        let again = self
            .jobs
            .get(&id)
            .is_some_and(|job| matches!(job.source, JobSource::Flow(_)))
            && self.budget.spend();
        if again {
            self.ledger.apply(id, RequestEvent::Return);
            self.place_elsewhere(id, SlotRefusal::NotStarted, now);
        } else {
            self.finish(id, RequestOutcome::NotRun, "not-started", now);
        }
    }

    // A backend server may have run it.
    fn lost(&mut self, id: RequestId, now: TimePoint) {
        self.close_link(id);
        self.slots.finish(id, now);
        let again = self.jobs.get(&id).is_some_and(|job| {
            job.repeatable && matches!(job.source, JobSource::Flow(_)) && job.relays < MAX_RELAYS
        }) && !self.peers.is_empty()
            && self.budget.spend();
        if again {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.answer.clear();
            }
            self.ledger.apply(id, RequestEvent::Return);
            self.place_elsewhere(id, SlotRefusal::WaitTooLong, now);
        } else {
            self.finish(id, RequestOutcome::Unknown, "lost", now);
        }
    }

    fn close_link(&mut self, id: RequestId) {
        if let Some(link) = self.jobs.get_mut(&id).and_then(|job| job.link.take()) {
            self.links.remove(&link.token);
            link.close(&self.registry);
        }
    }

    /// What became of a request that was handed over.
    pub fn relay_done(&mut self, id: RequestId, result: RelayResult, now: TimePoint) {
        self.relays_out = self.relays_out.saturating_sub(1);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match result {
            RelayResult::Told(RelayAnswer::Answered(answer)) => {
                job.answer = answer;
                self.finish(id, RequestOutcome::Answered, "relayed", now);
            }
            RelayResult::Told(RelayAnswer::NotRun) | RelayResult::NotSent => {
                self.counters.add(Counter::RelaysRefused);
                self.relay_refused(id, now);
            }
            RelayResult::Told(RelayAnswer::Unknown) => {
                self.finish(id, RequestOutcome::Unknown, "relay-unknown", now);
            }
            RelayResult::Lost => {
                self.ledger.apply(id, RequestEvent::Lose);
                job.give_up = Some(now + CANCEL_GRACE);
                self.cancel_relay(id);
            }
        }
    }

    fn relay_refused(&mut self, id: RequestId, now: TimePoint) {
        if self.jobs.get(&id).is_some_and(|job| job.give_up.is_some()) {
            return self.finish(id, RequestOutcome::NotRun, "cancelled", now);
        }
        self.ledger.apply(id, RequestEvent::Return);
        if self.state == HostState::Leaving {
            self.place_elsewhere(id, SlotRefusal::Leaving, now);
        } else {
            self.keep_or_refuse(id, SlotRefusal::WaitTooLong, now);
        }
    }

    fn cancel_relay(&mut self, id: RequestId) {
        if let Some(target) = self.jobs.get(&id).and_then(|job| job.target.as_ref()) {
            let query = CancelQuery {
                id: id.0,
                incarnation: target.incarnation.0,
            };
            let job = RelayJob::Cancel(target.relays, query);
            offer(&self.cancel_ring, job, &self.counters);
        }
    }

    /// The other host's word on a cancellation.
    pub fn cancel_done(&mut self, id: RequestId, word: Option<CancelAnswer>, now: TimePoint) {
        match word {
            Some(CancelAnswer::NotRun) => {
                self.finish(id, RequestOutcome::NotRun, "cancelled", now);
            }
            // Its answer may still come; the sweep gives up in the end.
            Some(CancelAnswer::Started) | None => {}
        }
    }

    /// Looks for deadlines that passed and for slots that became free.
    pub fn sweep(&mut self, now: TimePoint) {
        let due: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| now >= job.give_up.unwrap_or(job.deadline))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.expire(id, now);
        }
        self.relays.sweep(now);
        self.start_waiting(now);
        self.shared
            .running
            .store(self.slots.running() as u64, Ordering::Relaxed);
        self.shared
            .waiting
            .store(self.slots.waiting() as u64, Ordering::Relaxed);
    }

    fn expire(&mut self, id: RequestId, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let given_up = job.give_up.is_some();
        if job.link.is_some() {
            self.close_link(id);
            self.finish(id, RequestOutcome::Unknown, "deadline", now);
        } else if self.slots.withdraw(id) {
            self.finish(id, RequestOutcome::NotRun, "expired", now);
        } else if given_up {
            self.finish(id, RequestOutcome::Unknown, "deadline", now);
        } else {
            job.give_up = Some(now + CANCEL_GRACE);
            self.ledger.apply(id, RequestEvent::Expire);
            self.cancel_relay(id);
        }
    }

    fn start_waiting(&mut self, now: TimePoint) {
        while let Some(event) = self.slots.next(now) {
            match event {
                SlotEvent::Start(id) => self.run(id, now),
                SlotEvent::Refuse(id, refusal) => {
                    self.finish(id, RequestOutcome::NotRun, refusal.as_str(), now);
                }
            }
        }
    }

    fn finish(&mut self, id: RequestId, outcome: RequestOutcome, cause: &str, now: TimePoint) {
        self.close_link(id);
        self.slots.finish(id, now);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        log::info!(
            target: "request",
            request = id.0, outcome = outcome.as_str(), cause = cause;
            "ended"
        );
        match job.source {
            JobSource::Flow(flow) => {
                self.settle(id, outcome);
                let bytes = match outcome {
                    RequestOutcome::Answered => job.answer,
                    RequestOutcome::NotRun | RequestOutcome::Unknown => {
                        write_outcome(outcome, cause)
                    }
                };
                self.answers.push(FlowAnswer { flow, bytes });
            }
            JobSource::Relay(reply) => {
                self.relays.end(id, now);
                // A closed channel means that the asker has gone.
                let _ = reply.send(match outcome {
                    RequestOutcome::Answered => RelayAnswer::Answered(job.answer),
                    RequestOutcome::NotRun => RelayAnswer::NotRun,
                    RequestOutcome::Unknown => RelayAnswer::Unknown,
                });
            }
        }
        self.start_waiting(now);
    }

    // Ends the request's chart and counts its outcome.
    fn settle(&mut self, id: RequestId, outcome: RequestOutcome) {
        let (event, counter) = match outcome {
            RequestOutcome::Answered => (RequestEvent::Answer, Counter::RequestsAnswered),
            RequestOutcome::NotRun => (RequestEvent::Refuse, Counter::RequestsNotRun),
            RequestOutcome::Unknown => (RequestEvent::Lose, Counter::RequestsUnknown),
        };
        self.counters.add(counter);
        // A relayed request is lost in two steps: cancelling, then unknown.
        while self.ledger.state(id).is_some() && self.ledger.apply(id, event).is_none() {
            if self
                .ledger
                .state(id)
                .is_none_or(|state| state.after(event).is_none())
            {
                break;
            }
        }
    }
}
