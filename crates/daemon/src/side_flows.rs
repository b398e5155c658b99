//! The flow thread of a side process: packets, flows and their bytes.

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
use chestnutlb_core::placement::{CHAIN_HOPS, retain_held};
use chestnutlb_core::{
    BucketIndex, FlowEvent, FlowKey, FlowState, FlowTable, HostAdmission, HostRecord, HostState,
    PacketArrival, PacketDrop, PacketVerdict, ServiceSpec, ServiceTag, TcpSegment, TimePoint,
};
use chestnutlb_stack::{FlowStack, flow_seed, scan_sent};
use chestnutlb_wire::packet::{
    MAX_DATAGRAM_BYTES, OwnerNotice, advance, scan_frame, scan_segment, write_data,
    write_owner_notice, write_reset,
};
use chestnutlb_wire::{PacketError, PacketFrame, PacketHeader, WireHop};

use crate::clock;
use crate::metrics::{Counter, CounterSet};
use crate::settings::SideSettings;
use crate::side_events::{ServiceUpdate, SideEvent, SideShared};
use crate::side_flow::{FlowWork, RequestFlow, ServeStep, SideFlow};
use crate::side_link::BackendLink;
use crate::side_requests::{FlowAnswer, RequestDesk};

/// Token of the packet socket.
pub const PACKET_TOKEN: Token = Token(0);
/// Token of the waker.
pub const WAKER_TOKEN: Token = Token(1);
/// First token of stream connections; they use even ones.
const FIRST_STREAM_TOKEN: usize = 2;

/// Events that are taken from the system at a time.
const POLL_EVENTS: usize = 1024;
/// Longest wait for events.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Time between two looks at deadlines and idle flows.
const SWEEP_PERIOD: Duration = Duration::from_millis(20);
/// Time between two looks at flows that this host holds without being a
/// candidate.
const HELD_PERIOD: Duration = Duration::from_secs(1);
/// Time between two notes to entry VMs about the same flow.
const NOTE_PERIOD: Duration = Duration::from_secs(1);
/// What a keeper said counts as fresh for this time.
const FRESH_TIME: Duration = Duration::from_secs(3);
/// Hops of a plan that a host extended; fits the largest header.
const MAX_PLAN_HOPS: usize = 16;
/// Packets that are read before other work gets its turn.
const PACKET_BATCH: usize = 256;

/// The flow thread.
#[derive(Debug)]
pub struct FlowLoop {
    settings: Arc<SideSettings>,
    spec: Arc<ServiceSpec>,
    hosts: Vec<HostRecord>,
    heard_fresh: Option<TimePoint>,
    table: FlowTable,
    admission: HostAdmission,
    flows: HashMap<FlowKey, SideFlow>,
    due: BinaryHeap<Reverse<(TimePoint, FlowKey)>>,
    links: HashMap<Token, FlowKey>,
    next_token: usize,
    desk: RequestDesk,
    poll: Poll,
    registry: Registry,
    socket: UdpSocket,
    events: Receiver<SideEvent>,
    shared: Arc<SideShared>,
    counters: Arc<CounterSet>,
    random: StdRng,
    swept: TimePoint,
    held_checked: TimePoint,
    leave_by: Option<TimePoint>,
    buffer: Vec<u8>,
}

/// What a flow thread is made with.
#[derive(Debug)]
pub struct FlowParts {
    /// Settings of the process.
    pub settings: Arc<SideSettings>,
    /// The service.
    pub spec: Arc<ServiceSpec>,
    /// Flows of this host.
    pub table: FlowTable,
    /// Requests of this host.
    pub desk: RequestDesk,
    /// The event loop.
    pub poll: Poll,
    /// The packet socket.
    pub socket: UdpSocket,
    /// Events of the other threads.
    pub events: Receiver<SideEvent>,
    /// What the threads share.
    pub shared: Arc<SideShared>,
    /// Random numbers.
    pub random: StdRng,
}

impl FlowLoop {
    /// A loop without flows.
    pub fn new(mut parts: FlowParts, now: TimePoint) -> std::io::Result<Self> {
        let registry = parts.poll.registry().try_clone()?;
        registry.register(&mut parts.socket, PACKET_TOKEN, Interest::READABLE)?;
        let admission = HostAdmission::new(
            HostState::Joining,
            now,
            parts.spec.timing.warm_up,
            parts.spec.limits.flows,
        );
        Ok(Self {
            counters: Arc::clone(&parts.shared.counters),
            settings: parts.settings,
            spec: parts.spec,
            hosts: Vec::new(),
            heard_fresh: None,
            table: parts.table,
            admission,
            flows: HashMap::new(),
            due: BinaryHeap::new(),
            links: HashMap::new(),
            next_token: FIRST_STREAM_TOKEN,
            desk: parts.desk,
            poll: parts.poll,
            registry,
            socket: parts.socket,
            events: parts.events,
            shared: parts.shared,
            random: parts.random,
            swept: now,
            held_checked: now,
            leave_by: None,
            buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        })
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(POLL_EVENTS);
        loop {
            let now = clock::now();
            let wait = self
                .due
                .peek()
                .map_or(MAX_WAIT, |Reverse((due, _))| due.since(now).min(MAX_WAIT));
            if let Err(error) = self.poll.poll(&mut events, Some(wait))
                && error.kind() != std::io::ErrorKind::Interrupted
            {
                log::error!(target: "process", cause:% = error; "event loop failed");
                std::process::exit(crate::EXIT_FAILURE);
            }
            let now = clock::now();
            for event in &events {
                let failed = event.is_error() || event.is_read_closed();
                self.wake(event.token(), event.is_readable() || failed, now);
            }
            self.read_packets(now);
            while let Ok(event) = self.events.try_recv() {
                self.handle(event, now);
            }
            self.poll_due(now);
            self.sweep(now);
            self.deliver_answers(now);
        }
    }

    fn wake(&mut self, token: Token, readable: bool, now: TimePoint) {
        if token == PACKET_TOKEN || token == WAKER_TOKEN {
            return;
        }
        if token.0 % 2 == 1 {
            return self.desk.wake(token, readable, now);
        }
        let Some(key) = self.links.get(&token).copied() else {
            return;
        };
        if let Some(SideFlow {
            work: FlowWork::Stream(Some(link)),
            ..
        }) = self.flows.get_mut(&key)
        {
            link.wake(readable);
        }
        self.advance_flow(key, now);
    }

    /// Takes an event of another thread.
    pub fn handle(&mut self, event: SideEvent, now: TimePoint) {
        match event {
            SideEvent::News(news) => self.hear(news),
            SideEvent::Heard { fresh } => {
                self.heard_fresh = fresh.then_some(now);
            }
            SideEvent::State(state) => {
                self.admission.enter(state, now);
                self.desk.enter(state, now);
                if state == HostState::Leaving && self.leave_by.is_none() {
                    self.leave_by = Some(now + self.spec.timing.drain_grace);
                    self.probe_flows(now);
                }
            }
            SideEvent::Relay(query, reply) => self.desk.take_relay(query, reply, now),
            SideEvent::Cancel(query, reply) => {
                let word = self.desk.take_cancel(&query, now);
                // A closed channel means that the asker has gone.
                let _ = reply.send(word);
            }
            SideEvent::RelayDone(id, result) => self.desk.relay_done(id, result, now),
            SideEvent::CancelDone(id, word) => self.desk.cancel_done(id, word, now),
        }
    }

    fn probe_flows(&mut self, now: TimePoint) {
        let keys: Vec<_> = self.flows.keys().copied().collect();
        for key in keys {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.stack.probe_often();
            }
            self.advance_flow(key, now);
        }
    }

    fn hear(&mut self, news: ServiceUpdate) {
        if let Some(spec) = news.spec {
            self.admission
                .set_limits(spec.timing.warm_up, spec.limits.flows);
            self.spec = Arc::clone(&spec);
            self.desk.hear(spec, news.hosts.clone());
        }
        self.hosts = news.hosts;
    }

    fn read_packets(&mut self, now: TimePoint) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..PACKET_BATCH {
            let Ok((len, _)) = self.socket.recv_from(&mut datagram) else {
                return;
            };
            if let Err(error) = self.take_packet(&mut datagram[..len], now) {
                self.counters.add(Counter::PacketsBad);
                log::info!(target: "flow", cause:% = error, bytes = len; "drop");
            }
        }
        // Come back soon: the socket tells only once that it is readable.
        self.due.push(Reverse((now, NO_FLOW)));
    }

    fn take_packet(&mut self, datagram: &mut [u8], now: TimePoint) -> Result<(), PacketError> {
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
            proved: !more_hops && self.is_proved(&header, now),
        };
        let hash = segment.key.hash();
        let gate = self.admission.gate(hash, !more_hops, now);
        self.counters.add(Counter::PacketsIn);
        match self.table.judge(&arrival, &segment, gate, now) {
            PacketVerdict::Deliver => {
                self.counters.add(Counter::PacketsOwned);
                if position > 0 {
                    self.send_note(&header, segment.key, now);
                }
                if let Some(flow) = self.flows.get_mut(&segment.key) {
                    flow.stack.deliver(inner);
                }
                self.advance_flow(segment.key, now);
            }
            PacketVerdict::Open => {
                self.open_flow(&segment, inner, now);
            }
            PacketVerdict::PassOn => {
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

    // An entry VM with an old roster may know fewer hosts than this one does. A
    // SYN that nobody took yet goes on to those, rather than being refused.
    fn extend_plan(&self, header: &PacketHeader, segment: &TcpSegment, inner: &[u8]) -> bool {
        let planned = |host: &&HostRecord| {
            let hops = &mut header.hops.iter();
            !hops.any(|hop| hop.incarnation() == host.incarnation)
        };
        let takers = self.hosts.iter().filter(|host| host.accepts_flows());
        let room = MAX_PLAN_HOPS.saturating_sub(header.hops.len());
        let added: Vec<WireHop> = takers.filter(planned).take(room).map(Into::into).collect();
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

    // Whether every host that is known here has had the packet, and what is
    // known here was confirmed lately.
    fn is_proved(&self, header: &PacketHeader, now: TimePoint) -> bool {
        let fresh = self
            .heard_fresh
            .is_some_and(|heard| now.since(heard) < FRESH_TIME);
        fresh
            && header.complete
            && self
                .hosts
                .iter()
                .filter(|host| host.holds_flows())
                .all(|host| {
                    header
                        .hops
                        .iter()
                        .any(|hop| hop.incarnation() == host.incarnation)
                })
    }

    fn send_packet(&self, packet: &[u8], target: SocketAddrV4) {
        // A lost packet is sent again by the end that misses its answer.
        if self.socket.send_to(packet, target.into()).is_err() {
            self.counters.add(Counter::PacketsUnsent);
        }
    }

    // Tells the entry VM who owns the flow, so that it need not walk again.
    fn send_note(&mut self, header: &PacketHeader, key: FlowKey, now: TimePoint) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow
            .noted
            .is_some_and(|noted| now.since(noted) < NOTE_PERIOD)
        {
            return;
        }
        flow.noted = Some(now);
        let note = OwnerNotice::new(key, self.table.incarnation());
        let mut buffer = std::mem::take(&mut self.buffer);
        write_owner_notice(&mut buffer, &note);
        self.send_packet(&buffer, header.entry());
        self.buffer = buffer;
    }

    fn open_flow(&mut self, segment: &TcpSegment, packet: &[u8], now: TimePoint) {
        let key = segment.key;
        self.drop_flow(key, now);
        let seed = flow_seed(key, self.random.random());
        let Some(mut stack) = FlowStack::listen(key.service, seed, now) else {
            log::error!(target: "flow", flow:% = key; "no stack");
            return;
        };
        stack.deliver(packet);
        stack.poll(now);
        let Some(answer) = stack.pop_packet() else {
            return;
        };
        let Some(sent) = scan_sent(&answer).filter(|sent| sent.is_syn) else {
            return;
        };
        self.table.insert(key, sent.sequence, now);
        self.send_packet(&answer, self.settings.callers.target(key));
        let work = match self.spec.kind {
            ServiceKind::Stream => FlowWork::Stream(None),
            ServiceKind::Request => FlowWork::Request(RequestFlow::default()),
            // Settings of this process say that flows end here.
            ServiceKind::Passthrough => FlowWork::Stream(None),
        };
        self.flows.insert(key, SideFlow::new(stack, work));
        self.counters.add(Counter::FlowsOpened);
        log::info!(
            target: "flow",
            flow:% = key, host:% = self.settings.name, service:% = self.spec.id;
            "accepted"
        );
        self.advance_flow(key, now);
    }

    /// Does all that can be done for a flow now.
    fn advance_flow(&mut self, key: FlowKey, now: TimePoint) {
        let Some(mut flow) = self.flows.remove(&key) else {
            return;
        };
        flow.stack.poll(now);
        if !flow.open && flow.stack.is_established() {
            self.establish(key, &mut flow);
        }
        if flow.open {
            match flow.work {
                FlowWork::Stream(_) => flow.splice(),
                FlowWork::Request(_) => self.serve(key, &mut flow, now),
            }
            flow.stack.poll(now);
        }
        while let Some(packet) = flow.stack.pop_packet() {
            if let Some(sent) = scan_sent(&packet) {
                self.table.record_sent(key, sent.next_sequence);
            }
            self.send_packet(&packet, self.settings.callers.target(key));
        }
        if flow.stack.is_closed() {
            self.end_flow(key, flow, now);
            return;
        }
        if flow.open && !flow.closing && !flow.stack.socket().may_recv() {
            flow.closing = true;
            self.table.apply(key, FlowEvent::Finish);
        }
        let due = flow.stack.next_due(now);
        if due != flow.due
            && let Some(due) = due
        {
            self.due.push(Reverse((due, key)));
        }
        flow.due = due;
        self.flows.insert(key, flow);
    }

    fn establish(&mut self, key: FlowKey, flow: &mut SideFlow) {
        flow.open = true;
        self.table.apply(key, FlowEvent::Established);
        let FlowWork::Stream(slot) = &mut flow.work else {
            return;
        };
        let token = Token(self.next_token);
        self.next_token += 2;
        match BackendLink::connect(self.settings.backend, token, &self.registry) {
            Ok(link) => {
                self.links.insert(token, key);
                *slot = Some(link);
            }
            Err(error) => {
                log::warn!(target: "flow", flow:% = key, cause:% = error; "no backend server");
                flow.stack.socket_mut().abort();
            }
        }
    }

    // Takes requests off the flow, one at a time, and sends answers.
    fn serve(&mut self, key: FlowKey, flow: &mut SideFlow, now: TimePoint) {
        match flow.serve(&self.spec, now) {
            ServeStep::Wait => {}
            ServeStep::Taken(head, bytes) => self.desk.take(key, &head, bytes, now),
            ServeStep::CutShort => self.counters.add(Counter::RequestsBad),
            ServeStep::Refused(bad) => {
                self.counters.add(Counter::RequestsBad);
                log::info!(target: "request", flow:% = key, status = bad.status; "refused");
                // The answer is sent when the flow is looked at next.
                self.due.push(Reverse((now, key)));
            }
        }
    }

    fn deliver_answers(&mut self, now: TimePoint) {
        for FlowAnswer { flow: key, bytes } in self.desk.take_answers() {
            let leaving = self.admission.state() == HostState::Leaving;
            if let Some(SideFlow {
                work: FlowWork::Request(work),
                ..
            }) = self.flows.get_mut(&key)
            {
                work.answer(bytes, leaving);
            }
            self.advance_flow(key, now);
        }
    }

    fn poll_due(&mut self, now: TimePoint) {
        while let Some(Reverse((due, key))) = self.due.peek().copied() {
            if due > now {
                return;
            }
            self.due.pop();
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.due = None;
                self.advance_flow(key, now);
            }
        }
    }

    fn sweep(&mut self, now: TimePoint) {
        if now.since(self.swept) < SWEEP_PERIOD {
            return;
        }
        self.swept = now;
        self.desk.sweep(now);
        for key in self.table.expired(now) {
            self.drop_flow(key, now);
        }
        self.check_slow_senders(now);
        if self.leave_by.is_some_and(|end| now >= end) {
            self.cut_flows(now);
        }
        if now.since(self.held_checked) >= HELD_PERIOD {
            self.held_checked = now;
            self.shared.set_held(self.held_buckets());
        }
        self.shared
            .flows
            .store(self.flows.len() as u64, Ordering::Relaxed);
        let busy = !self.flows.is_empty() || !self.desk.is_empty();
        self.shared.busy.store(busy, Ordering::Relaxed);
    }

    fn check_slow_senders(&mut self, now: TimePoint) {
        let receive = self.spec.timing.receive;
        let slow: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| match &flow.work {
                FlowWork::Request(work) => work.is_slow(receive, now),
                FlowWork::Stream(_) => false,
            })
            .map(|(key, _)| *key)
            .collect();
        for key in slow {
            self.advance_flow(key, now);
        }
    }

    // Buckets with flows for which this host is no candidate any more.
    fn held_buckets(&self) -> Vec<BucketIndex> {
        if self.hosts.len() <= CHAIN_HOPS {
            return Vec::new();
        }
        let hosts: Vec<_> = self.hosts.iter().filter(|h| h.holds_flows()).collect();
        let mut held = self.table.buckets();
        retain_held(&mut held, &hosts, &self.settings.name);
        held
    }

    // Ends what is left of a leaving host's flows when its grace is over.
    fn cut_flows(&mut self, now: TimePoint) {
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

    // Forgets a flow without a word to its caller.
    fn drop_flow(&mut self, key: FlowKey, now: TimePoint) {
        if let Some(flow) = self.flows.remove(&key) {
            self.end_flow(key, flow, now);
        }
        self.table.apply(key, FlowEvent::Abort);
    }

    fn end_flow(&mut self, key: FlowKey, flow: SideFlow, now: TimePoint) {
        self.counters.add(Counter::FlowsEnded);
        log::info!(target: "flow", flow:% = key, host:% = self.settings.name; "ended");
        match flow.work {
            FlowWork::Stream(Some(link)) => {
                self.links.remove(&link.token);
                link.close(&self.registry);
            }
            FlowWork::Request(work) if work.is_in_flight() => self.desk.abandon(key, now),
            FlowWork::Stream(None) | FlowWork::Request(_) => {}
        }
        let state = self.table.apply(key, FlowEvent::Finished);
        debug_assert!(matches!(state, None | Some(FlowState::Closed)));
    }
}

/// Stands in the list of due flows for the packet socket.
const NO_FLOW: FlowKey = FlowKey {
    caller: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
    service: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
};
