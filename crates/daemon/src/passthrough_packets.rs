//! The packet thread beside a backend server whose flows are carried through:
//! callers' packets from entry VMs to the backend server, and its packets to
//! callers.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lru::LruCache;
use mio::{Events, Interest, Poll, Token};

use chestnutlb_core::{
    BackendInfo, FlowKey, HostLoad, Incarnation, PassthroughArrival, PassthroughFlows,
    PassthroughVerdict, ReplyTiming, ReplyVerdict, ServiceTag, TcpSegment, TimePoint,
};
use chestnutlb_wire::packet::{
    MAX_DATAGRAM_BYTES, OwnerNotice, WireLookupQuery, WireLookupReply, advance, write_load,
    write_lookup_reply, write_owner_notice, write_returned,
};
use chestnutlb_wire::{PacketError, PacketFrame, PacketHeader, scan_frame};

use crate::clock;
use crate::flow_log::FlowLog;
use crate::metrics::{Counter, Timing};
use crate::packet_form::PacketForm;
use crate::passthrough_side::PassthroughShared;
use crate::settings::PassthroughSettings;

const ENTRIES: Token = Token(0);
const BACKEND: Token = Token(1);

/// Least time between two reports of a load that changes.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Time between two reports for each entry VM that gets them: 40 datagrams a
/// second, 7 KB/s at a node of the target, which has 8.3 hosts.
const REPORT_SHARE: Duration = Duration::from_millis(25);

/// Time between two reports of a load that does not change.
const STEADY_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Time between two looks for ended flows.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// An entry VM that sent nothing for this time gets no reports.
const ENTRY_SILENCE: Duration = Duration::from_secs(5);

/// Most entry VMs that get reports.
const REPORTED_ENTRIES: usize = 16;

/// Packets of which the way onward is remembered, should the backend server
/// return them.
const WALK_LIMIT: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Packets that are read from one socket before the other gets its turn.
const READ_BATCH: usize = 64;

/// Slots that are assumed of a backend server which has not reported yet.
const ASSUMED_SLOTS: u16 = 3;

/// The rest of a packet's way.
#[derive(Debug, Clone)]
struct PendingWalk {
    entry: SocketAddrV4,
    // The datagram up to the caller's packet.
    envelope: Vec<u8>,
    next: Option<SocketAddrV4>,
    complete: bool,
}

/// The packet thread.
#[derive(Debug)]
pub struct PassthroughPackets {
    packets: mio::net::UdpSocket,
    outbound: mio::net::UdpSocket,
    poll: Poll,
    form: PacketForm,
    backend: SocketAddrV4,
    tag: ServiceTag,
    settings: PassthroughSettings,
    shared: Arc<PassthroughShared>,
    flows: PassthroughFlows,
    walks: LruCache<FlowKey, PendingWalk>,
    entries: HashMap<SocketAddrV4, TimePoint>,
    reported: Option<HostLoad>,
    report_due: TimePoint,
    steady_due: TimePoint,
    sweep_due: TimePoint,
    backend_epochs: u64,
    flow_log: FlowLog,
    buffer: Vec<u8>,
}

impl PassthroughPackets {
    /// A thread on bound sockets.
    pub fn new(
        packets: UdpSocket,
        outbound: UdpSocket,
        form: PacketForm,
        settings: PassthroughSettings,
        shared: Arc<PassthroughShared>,
        now: TimePoint,
    ) -> std::io::Result<Self> {
        packets.set_nonblocking(true)?;
        outbound.set_nonblocking(true)?;
        let mut packets = mio::net::UdpSocket::from_std(packets);
        let mut outbound = mio::net::UdpSocket::from_std(outbound);
        let poll = Poll::new()?;
        let registry = poll.registry();
        registry.register(&mut packets, ENTRIES, Interest::READABLE)?;
        registry.register(&mut outbound, BACKEND, Interest::READABLE)?;
        Ok(Self {
            packets,
            outbound,
            poll,
            form,
            backend: shared.settings.backend,
            tag: shared.settings.service.tag(),
            flows: PassthroughFlows::new(settings.flow_age, now),
            settings,
            shared,
            walks: LruCache::new(WALK_LIMIT),
            entries: HashMap::new(),
            reported: None,
            report_due: now,
            steady_due: now,
            sweep_due: now + SWEEP_PERIOD,
            backend_epochs: 0,
            flow_log: FlowLog::default(),
            buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        })
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(8);
        loop {
            let due = self.report_due.min(self.sweep_due);
            let wait = due.since(clock::now());
            match self.poll.poll(&mut events, Some(wait)) {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::error!(target: "process", cause:% = error; "event loop failed");
                    std::process::exit(crate::EXIT_FAILURE);
                }
            }
            // Readiness is reported once, so both sockets are read until they
            // are empty.
            while self.read_entries() | self.read_backend() {}
            self.tick();
        }
    }

    // Returns whether there may be more.
    fn read_entries(&mut self) -> bool {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..READ_BATCH {
            match self.packets.recv_from(&mut datagram) {
                Ok((len, from)) => self.take_datagram(&mut datagram[..len], from),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // The backend server's port may be closed for a moment.
                Err(_) => {}
            }
        }
        true
    }

    fn read_backend(&mut self) -> bool {
        let mut packet = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..READ_BATCH {
            match self.outbound.recv_from(&mut packet) {
                Ok((len, from)) if is_from(from, self.backend) => {
                    self.take_backend_packet(&mut packet[..len]);
                }
                Ok((len, from)) => {
                    self.shared.counters.add(Counter::PacketsMisdirected);
                    log::info!(target: "flow", from:% = from, bytes = len; "not the backend");
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => {}
            }
        }
        true
    }

    fn tick(&mut self) {
        let now = clock::now();
        if self.sweep_due <= now {
            self.sweep_due = now + SWEEP_PERIOD;
            self.sweep(now);
        }
        if self.report_due <= now {
            let share = REPORT_SHARE * self.entries.len() as u32;
            self.report_due = now + share.max(REPORT_PERIOD);
            self.report(now);
        }
    }

    fn sweep(&mut self, now: TimePoint) {
        self.flows.sweep(self.settings.flow_idle, now);
        self.entries
            .retain(|_, heard| now.since(*heard) < ENTRY_SILENCE);
        let backend_epochs = self.shared.backend_epochs.load(Ordering::Relaxed);
        if backend_epochs != self.backend_epochs {
            self.backend_epochs = backend_epochs;
            let doubted = self.flows.mark_all_unverified();
            log::warn!(target: "flow", flows = doubted; "doubted as the backend started again");
        }
    }

    fn backend_facts(&self, now: TimePoint) -> BackendInfo {
        let tracker = self.shared.backend();
        BackendInfo {
            takes: tracker.accepts_flows() && !self.shared.stopping.load(Ordering::Relaxed),
            slots: tracker
                .current()
                .map_or(ASSUMED_SLOTS, |report| report.slots.max(1)),
            flow_limit: self.settings.flow_limit,
            cold: tracker.is_cold(now),
            observed_from_start: tracker.is_observed_from_start(),
        }
    }

    fn report(&mut self, now: TimePoint) {
        let facts = self.backend_facts(now);
        let load = self.flows.load(&facts, now);
        self.shared
            .flows
            .store(self.flows.len() as u64, Ordering::Relaxed);
        self.shared
            .at_work
            .store(load.at_work.into(), Ordering::Relaxed);
        let changed = self.reported.is_none_or(|known| {
            (known.at_work, known.takes, known.cold) != (load.at_work, load.takes, load.cold)
        });
        if !changed && now < self.steady_due {
            return;
        }
        self.reported = Some(load);
        self.steady_due = now + STEADY_REPORT_PERIOD;
        write_load(&mut self.buffer, &load.into());
        for entry in self.entries.keys().take(REPORTED_ENTRIES) {
            send(&self.packets, &self.buffer, *entry, &self.shared);
        }
    }

    fn take_datagram(&mut self, datagram: &mut [u8], from: SocketAddr) {
        let outcome = match scan_frame(datagram) {
            Ok(PacketFrame::Data {
                header,
                position,
                inner,
            }) => {
                let envelope = datagram.len() - inner.len();
                self.take_packet(&header, position, datagram, envelope)
            }
            Ok(PacketFrame::LookupQuery(question)) => {
                self.answer(&question, from);
                Ok(())
            }
            Ok(_) => Err(PacketError::Header),
            Err(error) => Err(error),
        };
        if let Err(error) = outcome {
            self.shared.counters.add(Counter::PacketsBad);
            log::info!(target: "flow", cause:% = error, bytes = datagram.len(); "drop");
        }
    }

    // Says which of these flows its backend server holds.
    fn answer(&mut self, question: &WireLookupQuery, from: SocketAddr) {
        let now = clock::now();
        let facts = self.backend_facts(now);
        let flows = question.flows.iter().map(|flow| FlowKey::from(*flow));
        let words = flows.map(|key| (key, self.flows.lookup_reply(key, &facts, now)));
        write_lookup_reply(&mut self.buffer, &WireLookupReply::new(words));
        if let SocketAddr::V4(entry) = from {
            send(&self.packets, &self.buffer, entry, &self.shared);
        }
    }

    fn take_packet(
        &mut self,
        header: &PacketHeader,
        position: usize,
        datagram: &mut [u8],
        envelope: usize,
    ) -> Result<(), PacketError> {
        let now = clock::now();
        let segment = self.form.scan_caller(&datagram[envelope..])?;
        self.note_entry(header.entry(), now);
        let walk = PendingWalk {
            entry: header.entry(),
            envelope: datagram[..envelope].to_vec(),
            next: header.hops.get(position + 1).map(|hop| hop.target()),
            complete: header.complete,
        };
        let arrival = PassthroughArrival {
            more_hops: walk.next.is_some(),
            complete: walk.complete,
        };
        let facts = self.backend_facts(now);
        let verdict = if header.tag() == self.tag {
            self.flows.judge(&segment, arrival, &facts, now)
        } else {
            // The address was another service's before; the entry VM is behind.
            self.shared.counters.add(Counter::PacketsMisdirected);
            if arrival.more_hops {
                PassthroughVerdict::NextHop
            } else {
                PassthroughVerdict::NoNextHop
            }
        };
        self.log_verdict(&segment, verdict, header, position);
        let packet = &datagram[envelope..];
        match verdict {
            PassthroughVerdict::Deliver
            | PassthroughVerdict::Open
            | PassthroughVerdict::QueryBackend => {
                self.deliver(&segment, packet, &facts, now);
                if position > 0 && verdict != PassthroughVerdict::QueryBackend {
                    self.send_note(walk.entry, segment.key);
                }
                if verdict != PassthroughVerdict::Deliver {
                    self.walks.put(segment.key, walk);
                }
            }
            PassthroughVerdict::NextHop
            | PassthroughVerdict::NoNextHop
            | PassthroughVerdict::Refuse => {
                self.send_on(&segment, packet, walk, verdict);
            }
        }
        Ok(())
    }

    fn note_entry(&mut self, entry: SocketAddrV4, now: TimePoint) {
        let known = self.entries.contains_key(&entry);
        if known || self.entries.len() < REPORTED_ENTRIES {
            self.entries.insert(entry, now);
        }
    }

    fn deliver(
        &mut self,
        segment: &TcpSegment,
        packet: &[u8],
        facts: &BackendInfo,
        now: TimePoint,
    ) {
        self.flows.record_delivered(segment, facts, now);
        self.shared.counters.add(Counter::PacketsOwned);
        // It goes out of the socket that the backend server sends to.
        send(&self.outbound, packet, self.backend, &self.shared);
    }

    fn send_note(&mut self, entry: SocketAddrV4, key: FlowKey) {
        write_owner_notice(&mut self.buffer, &OwnerNotice::new(key, Incarnation(0)));
        send(&self.packets, &self.buffer, entry, &self.shared);
    }

    fn send_on(
        &mut self,
        segment: &TcpSegment,
        packet: &[u8],
        walk: PendingWalk,
        verdict: PassthroughVerdict,
    ) {
        let counters = &self.shared.counters;
        if verdict == PassthroughVerdict::Refuse {
            counters.add(Counter::PacketsReset);
            let reset = self.form.write_reset(segment);
            let target = self.form.caller_target(segment.key);
            send(&self.packets, &reset, target, &self.shared);
        } else if let Some(next) = walk.next {
            counters.add(Counter::PacketsPassed);
            self.buffer.clear();
            self.buffer.extend_from_slice(&walk.envelope);
            self.buffer.extend_from_slice(packet);
            advance(&mut self.buffer);
            send(&self.packets, &self.buffer, next, &self.shared);
        } else if walk.complete || segment.is_syn {
            counters.add(Counter::PacketsNoOwner);
        } else {
            counters.add(Counter::PacketsPassed);
            write_returned(&mut self.buffer, packet);
            send(&self.packets, &self.buffer, walk.entry, &self.shared);
        }
    }

    fn take_backend_packet(&mut self, packet: &mut [u8]) {
        let now = clock::now();
        if self.form.is_returned(packet) {
            self.take_returned(packet);
            return;
        }
        match self.form.scan_backend(packet) {
            Ok(segment) => match self.flows.record_reply_segment(&segment, now) {
                ReplyVerdict::Forward => {
                    self.note_timing(self.flows.timing());
                    let target = self.form.caller_target(segment.key);
                    send(&self.packets, packet, target, &self.shared);
                }
                ReplyVerdict::Withhold => {
                    self.shared.counters.add(Counter::ResetsWithheld);
                    if self.logs(segment.key) {
                        log::info!(target: "flow", flow:% = segment.key; "reset withheld");
                    }
                }
            },
            Err(error) => {
                self.shared.counters.add(Counter::PacketsBad);
                log::info!(target: "flow", cause:% = error, bytes = packet.len(); "backend drop");
            }
        }
    }

    fn note_timing(&self, timing: ReplyTiming) {
        let counters = &self.shared.counters;
        if let Some(span) = timing.opening {
            counters.time(Timing::Opening, span);
        }
        if let Some(span) = timing.answer {
            counters.time(Timing::Answer, span);
        }
    }

    // The backend server does not hold the flow, or can't open it.
    fn take_returned(&mut self, packet: &mut [u8]) {
        self.form.clear_returned(packet);
        let Ok(segment) = self.form.scan_caller(packet) else {
            self.shared.counters.add(Counter::PacketsBad);
            return;
        };
        let was_open = self.flows.record_returned(&segment);
        let walk = self.walks.pop(&segment.key);
        if self.logs(segment.key) {
            log::info!(
                target: "flow",
                flow:% = segment.key, opens = segment.is_syn, was_open = was_open,
                next:? = walk.as_ref().and_then(|walk| walk.next);
                "returned by the backend"
            );
        }
        if let Some(walk) = walk {
            let verdict = match walk.next {
                Some(_) => PassthroughVerdict::NextHop,
                None if segment.is_syn && walk.complete => PassthroughVerdict::Refuse,
                None => PassthroughVerdict::NoNextHop,
            };
            self.send_on(&segment, packet, walk, verdict);
        }
    }

    fn logs(&mut self, key: FlowKey) -> bool {
        let counters = &self.shared.counters;
        self.flow_log.admits(key, counters, clock::now())
    }

    fn log_verdict(
        &mut self,
        segment: &TcpSegment,
        verdict: PassthroughVerdict,
        header: &PacketHeader,
        position: usize,
    ) {
        // Ordinary packets of open flows are counted, not logged.
        if verdict == PassthroughVerdict::Deliver || !self.logs(segment.key) {
            return;
        }
        log::info!(
            target: "flow",
            flow:% = segment.key, opens = segment.is_syn, verdict = verdict.as_str(),
            entry:% = header.entry(), generation = header.generation, hop = position,
            hops = header.hops.len(), at_work = self.flows.at_work();
            "judged"
        );
    }
}

fn is_from(from: SocketAddr, backend: SocketAddrV4) -> bool {
    from.ip() == std::net::IpAddr::V4(*backend.ip()) || from.ip().is_loopback()
}

fn send(
    socket: &mio::net::UdpSocket,
    bytes: &[u8],
    target: SocketAddrV4,
    shared: &PassthroughShared,
) {
    if socket.send_to(bytes, target.into()).is_err() {
        shared.counters.add(Counter::PacketsUnsent);
    }
}
