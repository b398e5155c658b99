//! The packet thread of a side process with passthrough flows: sends callers' packets
//! from entry VMs to the backend server, and the backend server's packets to callers.

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
use crate::packet_format::PacketFormat;
use crate::passthrough_side::PassthroughShared;
use crate::settings::PassthroughSettings;

/// Event loop token of the socket for packets from entry VMs.
const ENTRY_TOKEN: Token = Token(0);

/// Event loop token of the socket for packets from the backend server.
const BACKEND_TOKEN: Token = Token(1);

/// Shortest interval between two reports of a changing load.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Report interval for each entry VM that receives reports. It limits a host to 40
/// datagrams per second in all, which is 7 KB/s on a node of the target deployment
/// with its 8.3 hosts.
const REPORT_PERIOD_PER_ENTRY: Duration = Duration::from_millis(25);

/// Interval between two reports of an unchanged load.
const STEADY_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Interval between two sweeps for flows that have ended.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Time without a packet from an entry VM after which it gets no more reports.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of entry VMs that receive reports.
const MAX_REPORTED_ENTRIES: usize = 16;

/// Maximum number of flows whose pending walk is kept in case the backend server returns
/// the packet.
const MAX_PENDING_WALKS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Maximum number of packets read from one socket before the other one is read.
const READ_BATCH: usize = 64;

/// Slots assumed for a backend server that has not reported yet.
const ASSUMED_SLOTS: u16 = 3;

/// The remainder of a packet's walk, kept after delivery in case the backend server
/// returns the packet.
#[derive(Debug, Clone)]
struct PendingWalk {
    entry: SocketAddrV4,
    // The datagram's bytes before the caller's packet.
    envelope: Vec<u8>,
    // The next host of the walk.
    next: Option<SocketAddrV4>,
    // Whether the walk names every host that could own the flow.
    complete: bool,
}

/// State of the packet thread.
#[derive(Debug)]
pub struct PassthroughPackets {
    packets: mio::net::UdpSocket,
    outbound: mio::net::UdpSocket,
    poll: Poll,
    format: PacketFormat,
    backend: SocketAddrV4,
    tag: ServiceTag,
    settings: PassthroughSettings,
    shared: Arc<PassthroughShared>,
    flows: PassthroughFlows,
    pending_walks: LruCache<FlowKey, PendingWalk>,
    // Entry VMs that receive reports, with the time of the last packet from each.
    entries: HashMap<SocketAddrV4, TimePoint>,
    last_report: Option<HostLoad>,
    report_due: TimePoint,
    steady_report_due: TimePoint,
    sweep_due: TimePoint,
    backend_epochs: u64,
    flow_log: FlowLog,
    buffer: Vec<u8>,
}

impl PassthroughPackets {
    /// Creates the state of the thread on bound sockets, which become non-blocking.
    pub fn new(
        packets: UdpSocket,
        outbound: UdpSocket,
        format: PacketFormat,
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
        registry.register(&mut packets, ENTRY_TOKEN, Interest::READABLE)?;
        registry.register(&mut outbound, BACKEND_TOKEN, Interest::READABLE)?;
        Ok(Self {
            packets,
            outbound,
            poll,
            format,
            backend: shared.settings.backend,
            tag: shared.settings.service.tag(),
            flows: PassthroughFlows::new(settings.flow_age, now),
            settings,
            shared,
            pending_walks: LruCache::new(MAX_PENDING_WALKS),
            entries: HashMap::new(),
            last_report: None,
            report_due: now,
            steady_report_due: now,
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
            // Readiness is edge-triggered, so both sockets are read until they are empty.
            while self.read_entries() | self.read_backend() {}
            self.tick();
        }
    }

    // Reads a batch of packets from entry VMs. Returns whether more may be waiting.
    fn read_entries(&mut self) -> bool {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..READ_BATCH {
            match self.packets.recv_from(&mut datagram) {
                Ok((len, from)) => self.handle_datagram(&mut datagram[..len], from),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // Other errors are ignored: the port of an entry VM, host or caller may be
                // closed for a moment.
                Err(_) => {}
            }
        }
        true
    }

    // Reads a batch of packets from the backend server. Returns whether more may be
    // waiting.
    fn read_backend(&mut self) -> bool {
        let mut packet = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..READ_BATCH {
            match self.outbound.recv_from(&mut packet) {
                Ok((len, from)) if is_from_backend(from, self.backend) => {
                    self.handle_backend_packet(&mut packet[..len]);
                }
                Ok((len, from)) => {
                    self.shared.counters.add(Counter::PacketsMisdirected);
                    log::info!(
                        target: "flow", from:% = from, bytes = len;
                        "packet not from the backend server"
                    );
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // Other errors are ignored: the backend server's port may be closed for a
                // moment.
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
            let period = REPORT_PERIOD_PER_ENTRY * self.entries.len() as u32;
            self.report_due = now + period.max(REPORT_PERIOD);
            self.report(now);
        }
    }

    // Drops ended and idle flows and silent entry VMs. After a restart of the backend
    // server, marks all flows as unverified.
    fn sweep(&mut self, now: TimePoint) {
        self.flows.sweep(self.settings.flow_idle, now);
        self.entries
            .retain(|_, last_seen| now.since(*last_seen) < ENTRY_TIMEOUT);
        let backend_epochs = self.shared.backend_epochs.load(Ordering::Relaxed);
        if backend_epochs != self.backend_epochs {
            self.backend_epochs = backend_epochs;
            let unverified = self.flows.mark_all_unverified();
            log::warn!(target: "flow", flows = unverified; "doubted as the backend started again");
        }
    }

    fn backend_info(&self, now: TimePoint) -> BackendInfo {
        let is_absent = self.shared.is_backend_absent();
        let opening = self.shared.opening().clone();
        let tracker = self.shared.backend();
        BackendInfo {
            accepts_flows: tracker.accepts_flows()
                && !opening.is_drained()
                && !is_absent
                && !self.shared.stopping.load(Ordering::Relaxed),
            slots: tracker
                .current()
                .map_or(ASSUMED_SLOTS, |report| report.slots.max(1)),
            flow_limit: self.settings.flow_limit,
            cold: tracker.is_cold(now) || opening.may_have_turned_cold(tracker.last_seen()),
            cold_limit: opening.cold_limit(),
            observed_from_start: tracker.observed_start().is_some() || is_absent,
        }
    }

    // Sends the load to entry VMs if it changed or the steady interval has passed.
    fn report(&mut self, now: TimePoint) {
        let backend_info = self.backend_info(now);
        let learns_capacity = self.shared.opening().learns_capacity();
        self.flows.set_learning(learns_capacity);
        if learns_capacity {
            self.log_capacity(&backend_info, now);
        }
        let load = self.flows.load(&backend_info, now);
        self.shared
            .flows
            .store(self.flows.len() as u64, Ordering::Relaxed);
        self.shared
            .at_work
            .store(load.at_work.into(), Ordering::Relaxed);
        let changed = self.last_report.is_none_or(|last| {
            (last.at_work, last.takes, last.cold) != (load.at_work, load.takes, load.cold)
        });
        if !changed && now < self.steady_report_due {
            return;
        }
        self.last_report = Some(load);
        self.steady_report_due = now + STEADY_REPORT_PERIOD;
        write_load(&mut self.buffer, &load.into());
        for entry in self.entries.keys().take(MAX_REPORTED_ENTRIES) {
            send(&self.packets, &self.buffer, *entry, &self.shared);
        }
    }

    // Logs and publishes what the backend server takes well if its usable slots have changed.
    fn log_capacity(&mut self, backend_info: &BackendInfo, now: TimePoint) {
        let capacity = self.flows.capacity(backend_info, now);
        let usable_slots = u64::from(capacity.slots);
        let before = self
            .shared
            .usable_slots
            .swap(usable_slots, Ordering::Relaxed);
        if before != usable_slots {
            log::info!(
                target: "host",
                from = before, usable_slots = usable_slots, slots = backend_info.slots,
                service_ms = capacity.service_ms, at_work = self.flows.at_work();
                "capacity learned"
            );
        }
    }

    fn handle_datagram(&mut self, datagram: &mut [u8], from: SocketAddr) {
        let outcome = match scan_frame(datagram) {
            Ok(PacketFrame::Data {
                header,
                position,
                inner,
            }) => {
                let envelope_len = datagram.len() - inner.len();
                self.handle_packet(&header, position, datagram, envelope_len)
            }
            Ok(PacketFrame::LookupQuery(query)) => {
                self.send_lookup_reply(&query, from);
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

    // Sends an entry VM the ownership reply for each flow of its lookup query.
    fn send_lookup_reply(&mut self, query: &WireLookupQuery, from: SocketAddr) {
        let now = clock::now();
        let backend_info = self.backend_info(now);
        let flows = query.flows.iter().map(|flow| FlowKey::from(*flow));
        let replies = flows.map(|key| (key, self.flows.lookup_reply(key, &backend_info, now)));
        write_lookup_reply(&mut self.buffer, &WireLookupReply::new(replies));
        if let SocketAddr::V4(entry) = from {
            send(&self.packets, &self.buffer, entry, &self.shared);
        }
    }

    fn handle_packet(
        &mut self,
        header: &PacketHeader,
        position: usize,
        datagram: &mut [u8],
        envelope_len: usize,
    ) -> Result<(), PacketError> {
        let now = clock::now();
        let segment = self.format.scan_caller(&datagram[envelope_len..])?;
        self.record_entry(header.entry(), now);
        let walk = PendingWalk {
            entry: header.entry(),
            envelope: datagram[..envelope_len].to_vec(),
            next: header.hops.get(position + 1).map(|hop| hop.target()),
            complete: header.complete,
        };
        let arrival = PassthroughArrival {
            more_hops: walk.next.is_some(),
            complete: walk.complete,
        };
        let backend_info = self.backend_info(now);
        let verdict = if header.tag() == self.tag {
            self.flows.judge(&segment, arrival, &backend_info, now)
        } else {
            // The address belonged to another service before, and the view of the entry
            // VM is outdated.
            self.shared.counters.add(Counter::PacketsMisdirected);
            if arrival.more_hops {
                PassthroughVerdict::NextHop
            } else {
                PassthroughVerdict::NoNextHop
            }
        };
        self.count_limited_syn(&segment, verdict, &backend_info, now);
        self.log_verdict(&segment, verdict, header, position);
        let packet = &datagram[envelope_len..];
        match verdict {
            PassthroughVerdict::Deliver
            | PassthroughVerdict::Open
            | PassthroughVerdict::QueryBackend => {
                self.deliver(&segment, packet, &backend_info, now);
                if position > 0 && verdict != PassthroughVerdict::QueryBackend {
                    self.send_owner_notice(walk.entry, segment.key);
                }
                if verdict != PassthroughVerdict::Deliver {
                    self.pending_walks.put(segment.key, walk);
                }
            }
            PassthroughVerdict::NextHop
            | PassthroughVerdict::NoNextHop
            | PassthroughVerdict::Refuse => {
                self.forward_or_refuse(&segment, packet, walk, verdict);
            }
        }
        Ok(())
    }

    // Counts a SYN that is not opened here because of the operators' rules.
    fn count_limited_syn(
        &self,
        segment: &TcpSegment,
        verdict: PassthroughVerdict,
        backend_info: &BackendInfo,
        now: TimePoint,
    ) {
        let is_passed_on = !matches!(
            verdict,
            PassthroughVerdict::Deliver | PassthroughVerdict::Open
        );
        if !segment.is_syn || !is_passed_on {
            return;
        }
        if self.shared.opening().is_drained() {
            self.shared.counters.add(Counter::SynsDrained);
        } else if !self.flows.admits_while_cold(backend_info, now) {
            self.shared.counters.add(Counter::SynsCold);
        }
    }

    // Records that an entry VM sent a packet. Up to [`MAX_REPORTED_ENTRIES`] entry VMs
    // receive load reports.
    fn record_entry(&mut self, entry: SocketAddrV4, now: TimePoint) {
        let is_recorded = self.entries.contains_key(&entry);
        if is_recorded || self.entries.len() < MAX_REPORTED_ENTRIES {
            self.entries.insert(entry, now);
        }
    }

    fn deliver(
        &mut self,
        segment: &TcpSegment,
        packet: &[u8],
        backend_info: &BackendInfo,
        now: TimePoint,
    ) {
        self.flows.record_delivered(segment, backend_info, now);
        self.shared.counters.add(Counter::PacketsOwned);
        // Sent from the socket to which the backend server sends its packets.
        send(&self.outbound, packet, self.backend, &self.shared);
    }

    fn send_owner_notice(&mut self, entry: SocketAddrV4, key: FlowKey) {
        write_owner_notice(&mut self.buffer, &OwnerNotice::new(key, Incarnation(0)));
        send(&self.packets, &self.buffer, entry, &self.shared);
    }

    // Refuses a packet with a reset, sends it to the next host of its walk or returns it
    // to its entry VM. At the end of the walk a SYN is dropped, and so is any packet if
    // the walk named every host that could own its flow.
    fn forward_or_refuse(
        &mut self,
        segment: &TcpSegment,
        packet: &[u8],
        walk: PendingWalk,
        verdict: PassthroughVerdict,
    ) {
        let counters = &self.shared.counters;
        if verdict == PassthroughVerdict::Refuse {
            counters.add(Counter::PacketsReset);
            let reset = self.format.write_reset(segment);
            let target = self.format.caller_target(segment.key);
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

    fn handle_backend_packet(&mut self, packet: &mut [u8]) {
        let now = clock::now();
        if self.format.is_returned(packet) {
            self.handle_returned(packet);
            return;
        }
        match self.format.scan_backend(packet) {
            Ok(segment) => match self.flows.record_reply_segment(&segment, now) {
                ReplyVerdict::Forward => {
                    self.record_timing(self.flows.timing());
                    let target = self.format.caller_target(segment.key);
                    send(&self.packets, packet, target, &self.shared);
                }
                ReplyVerdict::Withhold => {
                    self.shared.counters.add(Counter::ResetsWithheld);
                    if self.should_log(segment.key) {
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

    fn record_timing(&self, timing: ReplyTiming) {
        let counters = &self.shared.counters;
        if let Some(duration) = timing.syn_ack_time {
            counters.record_timing(Timing::SynReply, duration);
        }
        if let Some(duration) = timing.response_time {
            counters.record_timing(Timing::Response, duration);
        }
    }

    // Handles a caller's packet that the backend server returned: it does not hold the
    // flow or can't open it. The packet goes on along its walk.
    fn handle_returned(&mut self, packet: &mut [u8]) {
        self.format.clear_returned(packet);
        let Ok(segment) = self.format.scan_caller(packet) else {
            self.shared.counters.add(Counter::PacketsBad);
            return;
        };
        let was_open = self.flows.record_returned(&segment);
        let walk = self.pending_walks.pop(&segment.key);
        if self.should_log(segment.key) {
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
            self.forward_or_refuse(&segment, packet, walk, verdict);
        }
    }

    // Returns whether the flow log admits a line about this flow.
    fn should_log(&mut self, key: FlowKey) -> bool {
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
        // Ordinary packets of established flows are only counted.
        if verdict == PassthroughVerdict::Deliver || !self.should_log(segment.key) {
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

// Returns whether a packet came from the backend server's address or a loopback one.
fn is_from_backend(from: SocketAddr, backend: SocketAddrV4) -> bool {
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
