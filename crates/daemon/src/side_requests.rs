//! Request handling on a host: slots, connections to the backend server, relays
//! to other hosts and the responses to callers.

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
use chestnutlb_wire::peer::{CancelQuery, CancelReply, RelayQuery, RelayReply};

use crate::http1::{
    MAX_RESPONSE_BYTES, RequestHead, ResponseScan, scan_response, write_outcome_response,
    write_request,
};
use crate::metrics::{Counter, CounterSet, try_push};
use crate::settings::SideSettings;
use crate::side_events::SideShared;
use crate::side_link::{BackendConnection, READ_BUFFER_BYTES};
use crate::side_relay::{RelayJob, RelayResult};

/// Longest expected wait for a slot of this host. A request that would wait
/// longer is relayed to another host.
const MAX_WAIT_BEFORE_RELAY: Duration = Duration::from_millis(20);

/// Maximum number of hosts that a request is relayed to.
const MAX_RELAYS_PER_REQUEST: u8 = 2;

/// Maximum number of relays in flight at once; each occupies a thread until its
/// reply arrives. A leaving host may exceed the limit, and the excess relays
/// wait for a thread.
pub const MAX_CONCURRENT_RELAYS: usize = 16;

/// Time to wait for the result of a cancelled relay before the request ends as
/// unknown.
const CANCEL_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// First token of the backend connections that carry requests; these tokens are
/// odd.
const FIRST_REQUEST_TOKEN: usize = 3;

/// Origin of a request, which receives the response.
#[derive(Debug)]
enum JobSource {
    Flow(FlowKey),
    Relay(oneshot::Sender<RelayReply>),
}

#[derive(Debug)]
struct RequestJob {
    source: JobSource,
    bytes: Vec<u8>,
    class: RequestClass,
    repeatable: bool,
    is_head_method: bool,
    deadline: TimePoint,
    connection: Option<BackendConnection>,
    response: Vec<u8>,
    relay_count: u8,
    /// Host that the request was last relayed to.
    relay_target: Option<HostRecord>,
    /// Time at which the request ends as unknown; set while its relay is being
    /// cancelled.
    cancel_deadline: Option<TimePoint>,
}

/// Response that is ready to be sent on its flow.
#[derive(Debug)]
pub struct FlowResponse {
    /// Flow that the request arrived on.
    pub flow: FlowKey,
    /// Complete HTTP response.
    pub bytes: Vec<u8>,
}

/// Accepts, queues, runs and relays the requests of a host.
#[derive(Debug)]
pub struct RequestHandler {
    settings: Arc<SideSettings>,
    spec: Arc<ServiceSpec>,
    registry: Registry,
    relay_ring: Sender<RelayJob>,
    cancel_ring: Sender<RelayJob>,
    shared: Arc<SideShared>,
    counters: Arc<CounterSet>,
    incarnation: u64,
    slots: SlotScheduler,
    request_table: RequestTable,
    relay_table: RelayTable,
    relays_in_flight: usize,
    retry_budget: RetryBudget,
    jobs: HashMap<RequestId, RequestJob>,
    connections: HashMap<Token, RequestId>,
    peers: Vec<HostRecord>,
    state: HostState,
    next_id: u64,
    next_token: usize,
    random: StdRng,
    responses: Vec<FlowResponse>,
}

/// Parameters of [`RequestHandler::new`].
#[derive(Debug)]
pub struct RequestHandlerParams {
    /// Settings of the process.
    pub settings: Arc<SideSettings>,
    /// Service that the backend server runs.
    pub spec: Arc<ServiceSpec>,
    /// Event loop registry for the backend connections.
    pub registry: Registry,
    /// Sends requests to the relay threads.
    pub relay_ring: Sender<RelayJob>,
    /// Sends cancellations; separate, so that they do not wait behind relays.
    pub cancel_ring: Sender<RelayJob>,
    /// State shared by the threads of the process.
    pub shared: Arc<SideShared>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Random number generator.
    pub random: StdRng,
    /// Identifier of the first request; later ones count up from it.
    pub first_id: u64,
}

impl RequestHandler {
    /// Creates a handler without requests.
    pub fn new(params: RequestHandlerParams) -> Self {
        let share = PercentShare::new(RETRY_PERCENT).unwrap_or_else(|error| {
            panic!("retry budget: {error}");
        });
        let limits = params.spec.limits;
        Self {
            counters: Arc::clone(&params.shared.counters),
            settings: params.settings,
            slots: SlotScheduler::new(SlotPolicy::Classes, limits.slots, limits.queue),
            spec: params.spec,
            registry: params.registry,
            relay_ring: params.relay_ring,
            cancel_ring: params.cancel_ring,
            shared: params.shared,
            incarnation: params.incarnation,
            request_table: RequestTable::default(),
            relay_table: RelayTable::default(),
            relays_in_flight: 0,
            retry_budget: RetryBudget::new(share),
            jobs: HashMap::new(),
            connections: HashMap::new(),
            peers: Vec::new(),
            state: HostState::Joining,
            next_id: params.first_id,
            next_token: FIRST_REQUEST_TOKEN,
            random: params.random,
            responses: Vec::new(),
        }
    }

    /// Updates the service's manifest entry and its hosts.
    pub fn update_service(&mut self, spec: Arc<ServiceSpec>, hosts: Vec<HostRecord>) {
        self.slots.set_limits(spec.limits.slots, spec.limits.queue);
        self.spec = spec;
        self.peers = hosts;
        let own_name = self.settings.name.clone();
        self.peers
            .retain(|host| host.name != own_name && host.accepts_flows());
    }

    /// Sets the host's state. A host that starts to leave relays its waiting
    /// requests.
    pub fn set_state(&mut self, state: HostState, now: TimePoint) {
        self.state = state;
        if state != HostState::Leaving {
            return;
        }
        // Requests that wait here would only delay the end of the process.
        let waiting: Vec<_> = self
            .jobs
            .keys()
            .copied()
            .filter(|id| self.slots.withdraw(*id))
            .collect();
        for id in waiting {
            self.try_relay(id, SlotRefusal::Leaving, now);
        }
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Removes and returns the responses that are ready.
    pub fn take_responses(&mut self) -> Vec<FlowResponse> {
        std::mem::take(&mut self.responses)
    }

    /// Accepts a complete request from a caller.
    pub fn accept_request(
        &mut self,
        flow: FlowKey,
        head: &RequestHead,
        bytes: Vec<u8>,
        now: TimePoint,
    ) {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let rule = self.spec.rule(&head.method, &head.path);
        let job = RequestJob {
            source: JobSource::Flow(flow),
            bytes,
            class: rule.class,
            repeatable: rule.repeatable,
            is_head_method: head.method == "HEAD",
            deadline: now + rule.deadline,
            connection: None,
            response: Vec::new(),
            relay_count: 0,
            relay_target: None,
            cancel_deadline: None,
        };
        self.counters.add(Counter::Requests);
        self.retry_budget.record_first_attempt();
        self.request_table.insert(id);
        self.jobs.insert(id, job);
        self.place_request(id, now);
    }

    /// Accepts or refuses a request that another host relayed.
    pub fn handle_relay(
        &mut self,
        query: RelayQuery,
        reply_sender: oneshot::Sender<RelayReply>,
        now: TimePoint,
    ) {
        let id = RequestId(query.id);
        let is_for_this_process = query.incarnation == self.incarnation
            && query.service == self.settings.service.to_string().as_str();
        if !is_for_this_process {
            // Sending fails if the requesting host has disconnected.
            let _ = reply_sender.send(RelayReply::NotRun);
            return;
        }
        match self.relay_table.accept(id) {
            RelayAdmission::New => {}
            RelayAdmission::Cancelled => {
                let _ = reply_sender.send(RelayReply::NotRun);
                return;
            }
            RelayAdmission::Duplicate => {
                let _ = reply_sender.send(RelayReply::Unknown);
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
            source: JobSource::Relay(reply_sender),
            is_head_method: query.request.starts_with(b"HEAD "),
            bytes: query.request,
            class,
            repeatable: false,
            deadline,
            connection: None,
            response: Vec::new(),
            relay_count: MAX_RELAYS_PER_REQUEST,
            relay_target: None,
            cancel_deadline: None,
        };
        self.jobs.insert(id, job);
        let max_wait = Duration::from_millis(query.max_wait_ms);
        let accepts_requests = matches!(self.state, HostState::Warming | HostState::Serving);
        let slot_offer = if accepts_requests {
            self.slots.offer(id, class, deadline, now)
        } else {
            SlotOffer::Refused(SlotRefusal::Leaving)
        };
        match slot_offer {
            SlotOffer::Start => self.start_request(id, now),
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

    /// Cancels a relayed request on behalf of the host that relayed it.
    pub fn handle_cancel(&mut self, query: &CancelQuery, now: TimePoint) -> CancelReply {
        if query.incarnation != self.incarnation {
            // The query is for an earlier incarnation, which may have started
            // the request.
            return CancelReply::Started;
        }
        let id = RequestId(query.id);
        match self.relay_table.cancel(id, now) {
            CancelResult::Started => CancelReply::Started,
            CancelResult::NotRun => {
                self.slots.withdraw(id);
                self.finish(id, RequestOutcome::NotRun, "cancelled", now);
                CancelReply::NotRun
            }
        }
    }

    /// Cancels the requests of a flow whose caller has disconnected.
    pub fn cancel_flow_requests(&mut self, flow: FlowKey, now: TimePoint) {
        let ids: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| matches!(job.source, JobSource::Flow(key) if key == flow))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            log::info!(target: "request", request = id.0, flow:% = flow; "caller gone");
            self.slots.withdraw(id);
            self.send_cancel(id);
            self.finish(id, RequestOutcome::Unknown, "caller-gone", now);
        }
    }

    // Starts, queues or relays a request that a caller sent to this host.
    fn place_request(&mut self, id: RequestId, now: TimePoint) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        match self.state {
            HostState::Leaving => return self.try_relay(id, SlotRefusal::Leaving, now),
            HostState::Suspect => return self.try_relay(id, SlotRefusal::NotStarted, now),
            _ => {}
        }
        let may_relay = job.relay_count < MAX_RELAYS_PER_REQUEST
            && !self.peers.is_empty()
            && self.relays_in_flight < MAX_CONCURRENT_RELAYS;
        let wait = self.slots.expected_wait(job.class);
        if wait > MAX_WAIT_BEFORE_RELAY && may_relay {
            return self.try_relay(id, SlotRefusal::WaitTooLong, now);
        }
        match self.slots.offer(id, job.class, job.deadline, now) {
            SlotOffer::Start => self.start_request(id, now),
            SlotOffer::Queued(wait) => {
                log::info!(
                    target: "placement",
                    request = id.0, host:% = self.settings.name,
                    wait_ms = wait.as_millis() as u64;
                    "queued"
                );
            }
            SlotOffer::Refused(refusal) => self.try_relay(id, refusal, now),
        }
    }

    // Relays the request to another host. Without a suitable host the request
    // is queued here or refused.
    fn try_relay(&mut self, id: RequestId, refusal: SlotRefusal, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let time_left = job.deadline.since(now);
        let from_caller = matches!(job.source, JobSource::Flow(_));
        let has_relay_capacity =
            self.relays_in_flight < MAX_CONCURRENT_RELAYS || self.state == HostState::Leaving;
        let relay_allowed = from_caller
            && job.relay_count < MAX_RELAYS_PER_REQUEST
            && !time_left.is_zero()
            && has_relay_capacity;
        let last_target = job.relay_target.as_ref().map(|host| host.name.clone());
        let target = self
            .peers
            .iter()
            .filter(|host| Some(&host.name) != last_target.as_ref())
            .choose(&mut self.random);
        let (true, Some(target)) = (relay_allowed, target) else {
            return self.queue_or_refuse(id, refusal, now);
        };
        job.relay_count += 1;
        job.relay_target = Some(target.clone());
        let max_wait = match refusal {
            SlotRefusal::Leaving | SlotRefusal::NotStarted => time_left,
            _ => self.slots.expected_wait(job.class) / 2,
        };
        let query = RelayQuery {
            id: id.0,
            service: self.settings.service.to_string().into(),
            incarnation: target.incarnation.0,
            left_ms: time_left.as_millis() as u64,
            max_wait_ms: max_wait.as_millis() as u64,
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
        if try_push(&self.relay_ring, job, &self.counters) {
            self.relays_in_flight += 1;
            self.request_table.apply(id, RequestEvent::Relay);
        } else {
            self.queue_or_refuse(id, refusal, now);
        }
    }

    fn queue_or_refuse(&mut self, id: RequestId, refusal: SlotRefusal, now: TimePoint) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let slot_offer = match refusal {
            SlotRefusal::Leaving | SlotRefusal::Expired | SlotRefusal::NotStarted => {
                SlotOffer::Refused(refusal)
            }
            SlotRefusal::QueueFull | SlotRefusal::WaitTooLong => {
                self.slots.offer(id, job.class, job.deadline, now)
            }
        };
        match slot_offer {
            SlotOffer::Start => self.start_request(id, now),
            SlotOffer::Queued(_) => {}
            SlotOffer::Refused(refusal) => {
                self.finish(id, RequestOutcome::NotRun, refusal.as_str(), now);
            }
        }
    }

    fn start_request(&mut self, id: RequestId, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if matches!(job.source, JobSource::Relay(_)) && !self.relay_table.start(id) {
            return self.finish(id, RequestOutcome::NotRun, "cancelled", now);
        }
        self.request_table.apply(id, RequestEvent::Start);
        let token = Token(self.next_token);
        self.next_token += 2;
        let left_ms = job.deadline.since(now).as_millis() as u64;
        log::info!(
            target: "placement",
            request = id.0, host:% = self.settings.name, left_ms = left_ms;
            "started"
        );
        match BackendConnection::connect(self.settings.backend, token, &self.registry) {
            Ok(mut connection) => {
                connection.push(&write_request(&job.bytes, id, left_ms));
                job.connection = Some(connection);
                self.connections.insert(token, id);
            }
            Err(_) => self.handle_not_started(id, now),
        }
    }

    /// Handles readiness of the backend connection `token`.
    pub fn handle_readiness(&mut self, token: Token, readable: bool, now: TimePoint) {
        let Some(id) = self.connections.get(&token).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(connection) = &mut job.connection else {
            return;
        };
        connection.handle_readiness(readable);
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let len = connection.read(&mut buffer);
            if len == 0 {
                break;
            }
            job.response.extend_from_slice(&buffer[..len]);
        }
        let closed = connection.read_closed || connection.failed;
        let scan = if job.response.len() > MAX_RESPONSE_BYTES {
            ResponseScan::Invalid
        } else {
            scan_response(&job.response, closed, job.is_head_method)
        };
        let sent_any = connection.sent_any;
        match scan {
            ResponseScan::Incomplete => {}
            ResponseScan::Complete(response) => {
                job.response = response;
                self.finish(id, RequestOutcome::Answered, "answered", now);
            }
            ResponseScan::NotRun => self.handle_not_started(id, now),
            ResponseScan::Invalid if !sent_any => self.handle_not_started(id, now),
            ResponseScan::Invalid => self.handle_lost_response(id, now),
        }
    }

    // Retries or ends a request after proof that no backend server started it.
    fn handle_not_started(&mut self, id: RequestId, now: TimePoint) {
        self.close_connection(id);
        self.slots.finish(id, now);
        let retry = self
            .jobs
            .get(&id)
            .is_some_and(|job| matches!(job.source, JobSource::Flow(_)))
            && self.retry_budget.try_spend();
        if retry {
            self.request_table.apply(id, RequestEvent::Return);
            self.try_relay(id, SlotRefusal::NotStarted, now);
        } else {
            self.finish(id, RequestOutcome::NotRun, "not-started", now);
        }
    }

    // Retries or ends a request that a backend server may have run.
    fn handle_lost_response(&mut self, id: RequestId, now: TimePoint) {
        self.close_connection(id);
        self.slots.finish(id, now);
        let retry = self.jobs.get(&id).is_some_and(|job| {
            job.repeatable
                && matches!(job.source, JobSource::Flow(_))
                && job.relay_count < MAX_RELAYS_PER_REQUEST
        }) && !self.peers.is_empty()
            && self.retry_budget.try_spend();
        if retry {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.response.clear();
            }
            self.request_table.apply(id, RequestEvent::Return);
            self.try_relay(id, SlotRefusal::WaitTooLong, now);
        } else {
            self.finish(id, RequestOutcome::Unknown, "lost", now);
        }
    }

    fn close_connection(&mut self, id: RequestId) {
        if let Some(connection) = self.jobs.get_mut(&id).and_then(|job| job.connection.take()) {
            self.connections.remove(&connection.token);
            connection.close(&self.registry);
        }
    }

    /// Handles the result of a relay to another host.
    pub fn handle_relay_result(&mut self, id: RequestId, result: RelayResult, now: TimePoint) {
        self.relays_in_flight = self.relays_in_flight.saturating_sub(1);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match result {
            RelayResult::Replied(RelayReply::Answered(response)) => {
                job.response = response;
                self.finish(id, RequestOutcome::Answered, "relayed", now);
            }
            RelayResult::Replied(RelayReply::NotRun) | RelayResult::NotSent => {
                self.counters.add(Counter::RelaysRefused);
                self.handle_relay_refusal(id, now);
            }
            RelayResult::Replied(RelayReply::Unknown) => {
                self.finish(id, RequestOutcome::Unknown, "relay-unknown", now);
            }
            RelayResult::NoReply => {
                self.request_table.apply(id, RequestEvent::Lose);
                job.cancel_deadline = Some(now + CANCEL_GRACE_PERIOD);
                self.send_cancel(id);
            }
        }
    }

    fn handle_relay_refusal(&mut self, id: RequestId, now: TimePoint) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.cancel_deadline.is_some())
        {
            return self.finish(id, RequestOutcome::NotRun, "cancelled", now);
        }
        self.request_table.apply(id, RequestEvent::Return);
        if self.state == HostState::Leaving {
            self.try_relay(id, SlotRefusal::Leaving, now);
        } else {
            self.queue_or_refuse(id, SlotRefusal::WaitTooLong, now);
        }
    }

    fn send_cancel(&mut self, id: RequestId) {
        if let Some(target) = self.jobs.get(&id).and_then(|job| job.relay_target.as_ref()) {
            let query = CancelQuery {
                id: id.0,
                incarnation: target.incarnation.0,
            };
            let job = RelayJob::Cancel(target.relays, query);
            try_push(&self.cancel_ring, job, &self.counters);
        }
    }

    /// Handles the other host's reply to a cancellation; `None` if there was no
    /// reply.
    pub fn handle_cancel_reply(
        &mut self,
        id: RequestId,
        reply: Option<CancelReply>,
        now: TimePoint,
    ) {
        match reply {
            Some(CancelReply::NotRun) => {
                self.finish(id, RequestOutcome::NotRun, "cancelled", now);
            }
            // The response may still arrive; the sweep ends the request at its
            // cancel deadline.
            Some(CancelReply::Started) | None => {}
        }
    }

    /// Ends requests whose deadline has passed, starts waiting requests in free
    /// slots and updates the shared request counts.
    pub fn sweep(&mut self, now: TimePoint) {
        let expired: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| now >= job.cancel_deadline.unwrap_or(job.deadline))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.expire(id, now);
        }
        self.relay_table.sweep(now);
        self.start_waiting_requests(now);
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
        let is_cancelling = job.cancel_deadline.is_some();
        if job.connection.is_some() {
            self.close_connection(id);
            self.finish(id, RequestOutcome::Unknown, "deadline", now);
        } else if self.slots.withdraw(id) {
            self.finish(id, RequestOutcome::NotRun, "expired", now);
        } else if is_cancelling {
            self.finish(id, RequestOutcome::Unknown, "deadline", now);
        } else {
            job.cancel_deadline = Some(now + CANCEL_GRACE_PERIOD);
            self.request_table.apply(id, RequestEvent::Expire);
            self.send_cancel(id);
        }
    }

    fn start_waiting_requests(&mut self, now: TimePoint) {
        while let Some(event) = self.slots.next(now) {
            match event {
                SlotEvent::Start(id) => self.start_request(id, now),
                SlotEvent::Refuse(id, refusal) => {
                    self.finish(id, RequestOutcome::NotRun, refusal.as_str(), now);
                }
            }
        }
    }

    fn finish(&mut self, id: RequestId, outcome: RequestOutcome, cause: &str, now: TimePoint) {
        self.close_connection(id);
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
                self.record_outcome(id, outcome);
                let bytes = match outcome {
                    RequestOutcome::Answered => job.response,
                    RequestOutcome::NotRun | RequestOutcome::Unknown => {
                        write_outcome_response(outcome, cause)
                    }
                };
                self.responses.push(FlowResponse { flow, bytes });
            }
            JobSource::Relay(reply_sender) => {
                self.relay_table.end(id, now);
                // Sending fails if the requesting host has disconnected.
                let _ = reply_sender.send(match outcome {
                    RequestOutcome::Answered => RelayReply::Answered(job.response),
                    RequestOutcome::NotRun => RelayReply::NotRun,
                    RequestOutcome::Unknown => RelayReply::Unknown,
                });
            }
        }
        self.start_waiting_requests(now);
    }

    // Moves the request to the final state of its chart and counts the outcome.
    fn record_outcome(&mut self, id: RequestId, outcome: RequestOutcome) {
        let (event, counter) = match outcome {
            RequestOutcome::Answered => (RequestEvent::Answer, Counter::RequestsAnswered),
            RequestOutcome::NotRun => (RequestEvent::Refuse, Counter::RequestsNotRun),
            RequestOutcome::Unknown => (RequestEvent::Lose, Counter::RequestsUnknown),
        };
        self.counters.add(counter);
        // A relayed request becomes unknown in two steps, by way of cancelling.
        while self.request_table.state(id).is_some()
            && self.request_table.apply(id, event).is_none()
        {
            if self
                .request_table
                .state(id)
                .is_none_or(|state| state.after(event).is_none())
            {
                break;
            }
        }
    }
}
