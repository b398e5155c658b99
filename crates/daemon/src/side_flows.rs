//! The flow thread of a side process: receives packets, runs the TCP stacks of
//! the flows and exchanges their data with the backend server.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::Receiver;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Registry, Token};
use rand::Rng;
use rand::rngs::StdRng;

use chestnutlb_core::manifest::ServiceKind;
use chestnutlb_core::placement::{CHAIN_HOPS, retain_held_buckets};
use chestnutlb_core::{
    BucketIndex, FlowEvent, FlowKey, FlowState, FlowTable, HostAdmission, HostRecord, HostState,
    PacketArrival, PacketDrop, PacketVerdict, ServiceSpec, ServiceTag, TcpSegment, TimePoint,
};
use chestnutlb_stack::{FlowStack, flow_seed, parse_sent_segment};
use chestnutlb_wire::packet::{
    MAX_DATAGRAM_BYTES, OwnerNotice, advance, scan_frame, scan_segment, write_data,
    write_owner_notice, write_reset,
};
use chestnutlb_wire::{PacketError, PacketFrame, PacketHeader, WireHop};

use crate::clock;
use crate::metrics::{Counter, CounterSet};
use crate::settings::SideSettings;
use crate::side_events::{ServiceUpdate, SideEvent, SideShared};
use crate::side_flow::{FlowKind, RequestFlow, ServeResult, SideFlow};
use crate::side_link::BackendConnection;
use crate::side_requests::{FlowResponse, RequestHandler};

/// Event loop token of the packet socket.
pub const PACKET_TOKEN: Token = Token(0);
/// Event loop token of the waker.
pub const WAKER_TOKEN: Token = Token(1);
/// First token of the backend connections of stream flows; these tokens are
/// even.
const FIRST_STREAM_TOKEN: usize = 2;

/// Maximum number of readiness events per poll of the event loop.
const POLL_EVENTS: usize = 1024;
/// Longest wait for readiness events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(20);
/// Interval between checks of request deadlines, half-open flows and slow
/// senders.
const SWEEP_PERIOD: Duration = Duration::from_millis(20);
/// Interval between checks for buckets that this host holds flows of without being a
/// candidate for them.
const HELD_BUCKETS_PERIOD: Duration = Duration::from_secs(1);
/// Minimum interval between owner notices to entry VMs about the same flow.
const OWNER_NOTICE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a registration reply with fresh documents confirms this host's roster.
const FRESH_REPLY_LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of hops of a plan that this host extends; a header with this
/// many hops fits into the largest one allowed.
const MAX_PLAN_HOPS: usize = 16;
/// Maximum number of packets read in a row before other events are handled.
const MAX_PACKET_BATCH: usize = 256;

/// Event loop of the flow thread.
#[derive(Debug)]
pub struct FlowLoop {
    settings: Arc<SideSettings>,
    spec: Arc<ServiceSpec>,
    hosts: Vec<HostRecord>,
    /// Time of the last registration reply; `None` if its documents were not fresh.
    fresh_reply_at: Option<TimePoint>,
    table: FlowTable,
    admission: HostAdmission,
    flows: HashMap<FlowKey, SideFlow>,
    due_flows: BinaryHeap<Reverse<(TimePoint, FlowKey)>>,
    connections: HashMap<Token, FlowKey>,
    next_token: usize,
    request_handler: RequestHandler,
    poll: Poll,
    registry: Registry,
    socket: UdpSocket,
    events: Receiver<SideEvent>,
    shared: Arc<SideShared>,
    counters: Arc<CounterSet>,
    random: StdRng,
    last_sweep: TimePoint,
    last_held_buckets_check: TimePoint,
    drain_deadline: Option<TimePoint>,
    buffer: Vec<u8>,
}

/// Parameters of [`FlowLoop::new`].
#[derive(Debug)]
pub struct FlowLoopParams {
    /// Settings of the process.
    pub settings: Arc<SideSettings>,
    /// Service that the backend server runs.
    pub spec: Arc<ServiceSpec>,
    /// Table of the flows that this host owns.
    pub table: FlowTable,
    /// Handler of this host's requests.
    pub request_handler: RequestHandler,
    /// The event loop.
    pub poll: Poll,
    /// The packet socket.
    pub socket: UdpSocket,
    /// Events from the other threads.
    pub events: Receiver<SideEvent>,
    /// State shared by the threads of the process.
    pub shared: Arc<SideShared>,
    /// Random number generator.
    pub random: StdRng,
}

impl FlowLoop {
    /// Creates a loop without flows and registers the packet socket with the
    /// event loop.
    pub fn new(mut params: FlowLoopParams, now: TimePoint) -> std::io::Result<Self> {
        let registry = params.poll.registry().try_clone()?;
        registry.register(&mut params.socket, PACKET_TOKEN, Interest::READABLE)?;
        let admission = HostAdmission::new(
            HostState::Joining,
            now,
            params.spec.timing.warm_up,
            params.spec.limits.flows,
        );
        Ok(Self {
            counters: Arc::clone(&params.shared.counters),
            settings: params.settings,
            spec: params.spec,
            hosts: Vec::new(),
            fresh_reply_at: None,
            table: params.table,
            admission,
            flows: HashMap::new(),
            due_flows: BinaryHeap::new(),
            connections: HashMap::new(),
            next_token: FIRST_STREAM_TOKEN,
            request_handler: params.request_handler,
            poll: params.poll,
            registry,
            socket: params.socket,
            events: params.events,
            shared: params.shared,
            random: params.random,
            last_sweep: now,
            last_held_buckets_check: now,
            drain_deadline: None,
            buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        })
    }

    /// Runs the loop until the process ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(POLL_EVENTS);
        loop {
            let now = clock::now();
            let wait = self
                .due_flows
                .peek()
                .map_or(MAX_POLL_WAIT, |Reverse((due, _))| {
                    due.since(now).min(MAX_POLL_WAIT)
                });
            if let Err(error) = self.poll.poll(&mut events, Some(wait))
                && error.kind() != std::io::ErrorKind::Interrupted
            {
                log::error!(target: "process", cause:% = error; "event loop failed");
                std::process::exit(crate::EXIT_FAILURE);
            }
            let now = clock::now();
            for event in &events {
                let failed = event.is_error() || event.is_read_closed();
                self.handle_readiness(event.token(), event.is_readable() || failed, now);
            }
            self.read_packets(now);
            while let Ok(event) = self.events.try_recv() {
                self.handle_event(event, now);
            }
            self.poll_due_flows(now);
            self.sweep(now);
            self.deliver_responses(now);
        }
    }

    fn handle_readiness(&mut self, token: Token, readable: bool, now: TimePoint) {
        if token == PACKET_TOKEN || token == WAKER_TOKEN {
            return;
        }
        if token.0 % 2 == 1 {
            return self.request_handler.handle_readiness(token, readable, now);
        }
        let Some(key) = self.connections.get(&token).copied() else {
            return;
        };
        if let Some(SideFlow {
            kind: FlowKind::Stream(Some(connection)),
            ..
        }) = self.flows.get_mut(&key)
        {
            connection.handle_readiness(readable);
        }
        self.advance_flow(key, now);
    }

    /// Handles an event from another thread.
    pub fn handle_event(&mut self, event: SideEvent, now: TimePoint) {
        match event {
            SideEvent::ServiceChanged(update) => self.update_service(update),
            SideEvent::RegistrationReplied { fresh } => {
                self.fresh_reply_at = fresh.then_some(now);
            }
            SideEvent::StateChanged(state) => {
                self.admission.set_state(state, now);
                self.request_handler.set_state(state, now);
                if state == HostState::Leaving && self.drain_deadline.is_none() {
                    self.drain_deadline = Some(now + self.spec.timing.drain_grace);
                    self.probe_callers(now);
                }
            }
            SideEvent::Relay(query, reply_sender) => {
                self.request_handler.handle_relay(query, reply_sender, now)
            }
            SideEvent::Cancel(query, reply_sender) => {
                let reply = self.request_handler.handle_cancel(&query, now);
                // Sending fails if the requesting host has disconnected.
                let _ = reply_sender.send(reply);
            }
            SideEvent::RelayDone(id, result) => {
                self.request_handler.handle_relay_result(id, result, now)
            }
            SideEvent::CancelDone(id, reply) => {
                self.request_handler.handle_cancel_reply(id, reply, now)
            }
        }
    }

    fn probe_callers(&mut self, now: TimePoint) {
        let keys: Vec<_> = self.flows.keys().copied().collect();
        for key in keys {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.stack.shorten_keep_alive();
            }
            self.advance_flow(key, now);
        }
    }

    fn update_service(&mut self, update: ServiceUpdate) {
        if let Some(spec) = update.spec {
            self.admission
                .set_limits(spec.timing.warm_up, spec.limits.flows);
            self.spec = Arc::clone(&spec);
            self.request_handler
                .update_service(spec, update.hosts.clone());
        }
        self.hosts = update.hosts;
    }

    fn read_packets(&mut self, now: TimePoint) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_PACKET_BATCH {
            let Ok((len, _)) = self.socket.recv_from(&mut datagram) else {
                return;
            };
            if let Err(error) = self.handle_packet(&mut datagram[..len], now) {
                self.counters.add(Counter::PacketsBad);
                log::info!(target: "flow", cause:% = error, bytes = len; "drop");
            }
        }
        // Readiness events are edge-triggered, so the remaining packets are
        // read in the next iteration without waiting for another event.
        self.due_flows.push(Reverse((now, PACKET_SOCKET_KEY)));
    }

    fn handle_packet(&mut self, datagram: &mut [u8], now: TimePoint) -> Result<(), PacketError> {
        let PacketFrame::Data {
            header,
            position,
            inner,
        } = scan_frame(datagram)?
        else {
            return Err(PacketError::Header);
        };
        let segment = scan_segment(inner)?;
        let more_hops = position + 1 < header.hops.len();
        let arrival = PacketArrival {
            tag: if segment.key.service == self.spec.address {
                header.tag()
            } else {
                ServiceTag(0)
            },
            incarnation: header.hops[position].incarnation(),
            more_hops,
            no_owner_proved: !more_hops && self.proves_no_owner(&header, now),
        };
        let hash = segment.key.hash();
        let gate = self.admission.gate(hash, !more_hops, now);
        self.counters.add(Counter::PacketsIn);
        match self.table.judge(&arrival, &segment, gate, now) {
            PacketVerdict::Deliver => {
                self.counters.add(Counter::PacketsOwned);
                if position > 0 {
                    self.send_owner_notice(&header, segment.key, now);
                }
                if let Some(flow) = self.flows.get_mut(&segment.key) {
                    flow.stack.deliver(inner);
                }
                self.advance_flow(segment.key, now);
            }
            PacketVerdict::Open => {
                self.open_flow(&segment, inner, now);
            }
            PacketVerdict::NextHop => {
                let target = header.hops[position + 1].target();
                self.counters.add(Counter::PacketsPassed);
                if segment.is_syn {
                    log::info!(target: "flow", flow:% = segment.key, to:% = target; "passed on");
                }
                advance(datagram);
                self.send_packet(datagram, target);
            }
            PacketVerdict::Reset
                if segment.is_syn && self.extend_plan(&header, &segment, inner) =>
            {
                self.counters.add(Counter::PacketsPassed);
            }
            PacketVerdict::Reset => {
                self.counters.add(Counter::PacketsReset);
                log::info!(target: "flow", flow:% = segment.key, opens = segment.is_syn; "reset");
                self.send_packet(
                    &write_reset(&segment),
                    self.settings.callers.target(segment.key),
                );
            }
            PacketVerdict::Drop(cause) => {
                self.counters.add(match cause {
                    PacketDrop::Misdirected => Counter::PacketsMisdirected,
                    _ => Counter::PacketsNoOwner,
                });
                log::info!(
                    target: "flow",
                    flow:% = segment.key, cause = cause.as_str();
                    "drop"
                );
            }
        }
        Ok(())
    }

    // Extends the plan of a SYN that no host of it accepted by the hosts of the roster
    // that accept flows, and sends the SYN on to the first of them. Returns false if
    // there is none. The plan of an entry VM with an outdated roster may lack hosts.
    fn extend_plan(&self, header: &PacketHeader, segment: &TcpSegment, inner: &[u8]) -> bool {
        let is_unplanned = |host: &&HostRecord| !header.visits(host);
        let accepting = self.hosts.iter().filter(|host| host.accepts_flows());
        let free_hops = MAX_PLAN_HOPS.saturating_sub(header.hops.len());
        let added: Vec<WireHop> = accepting
            .filter(is_unplanned)
            .take(free_hops)
            .map(Into::into)
            .collect();
        let Some(next) = added.first().map(WireHop::target) else {
            return false;
        };
        log::info!(target: "flow", flow:% = segment.key, to:% = next; "passed on");
        let visited = header.hops.len();
        let mut header = header.clone();
        header.hops.extend(added);
        let mut datagram = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        write_data(&mut datagram, &header, inner);
        for _ in 0..visited {
            advance(&mut datagram);
        }
        self.send_packet(&datagram, next);
        true
    }

    // Returns whether the walk proves that no host owns the flow: the plan is
    // complete and contains every host of this host's roster that may hold flows,
    // and an entry VM confirmed the roster within `FRESH_REPLY_LIFETIME`.
    fn proves_no_owner(&self, header: &PacketHeader, now: TimePoint) -> bool {
        let roster_is_fresh = self
            .fresh_reply_at
            .is_some_and(|confirmed| now.since(confirmed) < FRESH_REPLY_LIFETIME);
        roster_is_fresh
            && header.complete
            && self
                .hosts
                .iter()
                .filter(|host| host.holds_flows())
                .all(|host| header.visits(host))
    }

    fn send_packet(&self, packet: &[u8], target: SocketAddrV4) {
        // A lost packet is retransmitted by the end that misses its
        // acknowledgement.
        if self.socket.send_to(packet, target.into()).is_err() {
            self.counters.add(Counter::PacketsUnsent);
        }
    }

    // Sends an owner notice to the entry VM, so that later packets of the flow
    // reach this host without a walk.
    fn send_owner_notice(&mut self, header: &PacketHeader, key: FlowKey, now: TimePoint) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow
            .last_owner_notice
            .is_some_and(|last| now.since(last) < OWNER_NOTICE_PERIOD)
        {
            return;
        }
        flow.last_owner_notice = Some(now);
        let notice = OwnerNotice::new(key, self.table.incarnation());
        let mut buffer = std::mem::take(&mut self.buffer);
        write_owner_notice(&mut buffer, &notice);
        self.send_packet(&buffer, header.entry());
        self.buffer = buffer;
    }

    fn open_flow(&mut self, segment: &TcpSegment, packet: &[u8], now: TimePoint) {
        let key = segment.key;
        self.drop_flow(key, now);
        let seed = flow_seed(key, self.random.random());
        let Some(mut stack) = FlowStack::listen(key.service, seed, now) else {
            log::error!(target: "flow", flow:% = key; "TCP stack not created");
            return;
        };
        stack.deliver(packet);
        stack.poll(now);
        let Some(syn_ack) = stack.pop_packet() else {
            return;
        };
        let Some(sent) = parse_sent_segment(&syn_ack).filter(|sent| sent.is_syn) else {
            return;
        };
        self.table.insert(key, sent.sequence, now);
        self.send_packet(&syn_ack, self.settings.callers.target(key));
        let kind = match self.spec.kind {
            ServiceKind::Stream => FlowKind::Stream(None),
            ServiceKind::Request => FlowKind::Request(RequestFlow::default()),
            // The settings take precedence over the manifest: without
            // passthrough settings, flows end at the side process.
            ServiceKind::Passthrough => FlowKind::Stream(None),
        };
        self.flows.insert(key, SideFlow::new(stack, kind));
        self.counters.add(Counter::FlowsOpened);
        log::info!(
            target: "flow",
            flow:% = key, host:% = self.settings.name, service:% = self.spec.id;
            "accepted"
        );
        self.advance_flow(key, now);
    }

    /// Polls the flow's TCP stack, exchanges data with the backend server,
    /// sends the resulting packets and schedules the next poll.
    fn advance_flow(&mut self, key: FlowKey, now: TimePoint) {
        let Some(mut flow) = self.flows.remove(&key) else {
            return;
        };
        flow.stack.poll(now);
        if !flow.established && flow.stack.is_established() {
            self.establish(key, &mut flow);
        }
        if flow.established {
            match flow.kind {
                FlowKind::Stream(_) => flow.splice(),
                FlowKind::Request(_) => self.serve(key, &mut flow, now),
            }
            flow.stack.poll(now);
        }
        while let Some(packet) = flow.stack.pop_packet() {
            if let Some(sent) = parse_sent_segment(&packet) {
                self.table.record_sent(key, sent.next_sequence);
            }
            self.send_packet(&packet, self.settings.callers.target(key));
        }
        if flow.stack.is_closed() {
            self.end_flow(key, flow, now);
            return;
        }
        if flow.established && !flow.caller_closed && !flow.stack.socket().may_recv() {
            flow.caller_closed = true;
            self.table.apply(key, FlowEvent::Finish);
        }
        let next_poll = flow.stack.next_due(now);
        if next_poll != flow.next_poll
            && let Some(due) = next_poll
        {
            self.due_flows.push(Reverse((due, key)));
        }
        flow.next_poll = next_poll;
        self.flows.insert(key, flow);
    }

    fn establish(&mut self, key: FlowKey, flow: &mut SideFlow) {
        flow.established = true;
        self.table.apply(key, FlowEvent::Established);
        let FlowKind::Stream(stream_connection) = &mut flow.kind else {
            return;
        };
        let token = Token(self.next_token);
        self.next_token += 2;
        match BackendConnection::connect(self.settings.backend, token, &self.registry) {
            Ok(connection) => {
                self.connections.insert(token, key);
                *stream_connection = Some(connection);
            }
            Err(error) => {
                log::warn!(target: "flow", flow:% = key, cause:% = error; "connection to the backend server failed");
                flow.stack.socket_mut().abort();
            }
        }
    }

    // Sends pending response data and accepts the next request of the flow, one
    // at a time.
    fn serve(&mut self, key: FlowKey, flow: &mut SideFlow, now: TimePoint) {
        match flow.serve(&self.spec, now) {
            ServeResult::Wait => {}
            ServeResult::Complete(head, bytes) => {
                self.request_handler.accept_request(key, &head, bytes, now)
            }
            ServeResult::Truncated => self.counters.add(Counter::RequestsBad),
            ServeResult::Refused(error) => {
                self.counters.add(Counter::RequestsBad);
                log::info!(target: "request", flow:% = key, status = error.status; "refused");
                // The error response is sent at the next poll of the flow.
                self.due_flows.push(Reverse((now, key)));
            }
        }
    }

    fn deliver_responses(&mut self, now: TimePoint) {
        for FlowResponse { flow: key, bytes } in self.request_handler.take_responses() {
            let leaving = self.admission.state() == HostState::Leaving;
            if let Some(SideFlow {
                kind: FlowKind::Request(requests),
                ..
            }) = self.flows.get_mut(&key)
            {
                requests.set_response(bytes, leaving);
            }
            self.advance_flow(key, now);
        }
    }

    fn poll_due_flows(&mut self, now: TimePoint) {
        while let Some(Reverse((due, key))) = self.due_flows.peek().copied() {
            if due > now {
                return;
            }
            self.due_flows.pop();
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.next_poll = None;
                self.advance_flow(key, now);
            }
        }
    }

    fn sweep(&mut self, now: TimePoint) {
        if now.since(self.last_sweep) < SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        self.request_handler.sweep(now);
        for key in self.table.expired(now) {
            self.drop_flow(key, now);
        }
        self.check_slow_senders(now);
        if self.drain_deadline.is_some_and(|end| now >= end) {
            self.abort_flows(now);
        }
        if now.since(self.last_held_buckets_check) >= HELD_BUCKETS_PERIOD {
            self.last_held_buckets_check = now;
            self.shared.set_held_buckets(self.find_held_buckets());
        }
        self.shared
            .flows
            .store(self.flows.len() as u64, Ordering::Relaxed);
        let busy = !self.flows.is_empty() || !self.request_handler.is_empty();
        self.shared.busy.store(busy, Ordering::Relaxed);
    }

    fn check_slow_senders(&mut self, now: TimePoint) {
        let receive_timeout = self.spec.timing.receive;
        let slow: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| match &flow.kind {
                FlowKind::Request(requests) => requests.is_slow(receive_timeout, now),
                FlowKind::Stream(_) => false,
            })
            .map(|(key, _)| *key)
            .collect();
        for key in slow {
            self.advance_flow(key, now);
        }
    }

    // Returns the buckets that have flows but no longer have this host as a
    // candidate.
    fn find_held_buckets(&self) -> Vec<BucketIndex> {
        if self.hosts.len() <= CHAIN_HOPS {
            return Vec::new();
        }
        let hosts: Vec<_> = self
            .hosts
            .iter()
            .filter(|host| host.holds_flows())
            .collect();
        let mut held_buckets = self.table.buckets();
        retain_held_buckets(&mut held_buckets, &hosts, &self.settings.name);
        held_buckets
    }

    // Aborts the remaining flows of a leaving host at the end of its drain
    // grace.
    fn abort_flows(&mut self, now: TimePoint) {
        let keys: Vec<_> = self.flows.keys().copied().collect();
        for key in keys {
            self.counters.add(Counter::FlowsCut);
            log::warn!(target: "flow", flow:% = key; "cut at the end of the drain grace");
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.stack.socket_mut().abort();
            }
            self.advance_flow(key, now);
        }
    }

    // Removes a flow without notifying its caller.
    fn drop_flow(&mut self, key: FlowKey, now: TimePoint) {
        if let Some(flow) = self.flows.remove(&key) {
            self.end_flow(key, flow, now);
        }
        self.table.apply(key, FlowEvent::Abort);
    }

    fn end_flow(&mut self, key: FlowKey, flow: SideFlow, now: TimePoint) {
        self.counters.add(Counter::FlowsEnded);
        log::info!(target: "flow", flow:% = key, host:% = self.settings.name; "ended");
        match flow.kind {
            FlowKind::Stream(Some(connection)) => {
                self.connections.remove(&connection.token);
                connection.close(&self.registry);
            }
            FlowKind::Request(requests) if requests.is_in_flight() => {
                self.request_handler.cancel_flow_requests(key, now)
            }
            FlowKind::Stream(None) | FlowKind::Request(_) => {}
        }
        let state = self.table.apply(key, FlowEvent::Finished);
        debug_assert!(matches!(state, None | Some(FlowState::Closed)));
    }
}

/// Key in the queue of due flows that stands for the packet socket. When it is
/// due the event loop does not wait, so that the socket is read again.
const PACKET_SOCKET_KEY: FlowKey = FlowKey {
    caller: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
    service: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
};
