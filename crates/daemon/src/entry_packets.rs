//! The packet thread of an entry VM: forwards packets from the fabric to side
//! processes, and handles their owner notices, load reports, lookup replies and returned
//! packets.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Receiver;
use lru::LruCache;

use chestnutlb_core::view::ServiceView;
use chestnutlb_core::{
    EarlyPackets, EntryRouter, FlowKey, HopPlan, HostLoad, LookupVerdict, PassthroughPlan,
    PassthroughRouter, PlanSource, RerouteDecision, RouteDecision, RouteDrop, RoutingView,
    ServiceKind, TcpSegment, TimePoint,
};
use chestnutlb_wire::packet::{
    MAX_DATAGRAM_BYTES, WireFlow, WireLookupQuery, WireLookupReply, is_frame, write_data,
    write_lookup_query, write_probe,
};
use chestnutlb_wire::{PacketError, PacketFrame, PacketHeader, WireHop, scan_frame};

use crate::clock;
use crate::entry_http::EntryShared;
use crate::flow_log::FlowLog;
use crate::flow_questions::FlowQuestion;
use crate::logs::LoggedVersion;
use crate::metrics::{Counter, CounterSet, Timing};
use crate::packet_format::PacketFormat;
use crate::settings::EntrySettings;

/// Maximum number of probes sent before the next datagram is read.
const PROBE_BATCH: usize = 64;

/// Maximum number of packets that wait for a lookup, 1.5 MB in all.
const MAX_WAITING_PACKETS: NonZeroUsize = NonZeroUsize::new(1024).unwrap();

/// State of the packet thread.
#[derive(Debug)]
pub struct PacketLoop {
    socket: UdpSocket,
    own_address: SocketAddrV4,
    format: PacketFormat,
    router: EntryRouter,
    passthrough: PassthroughRouter,
    // Packets that wait for the verdict of a lookup, one for each flow.
    waiting_packets: LruCache<FlowKey, Vec<u8>>,
    early_packets: EarlyPackets,
    flow_log: FlowLog,
    views: Receiver<Arc<RoutingView>>,
    questions: Receiver<FlowQuestion>,
    shared: Arc<EntryShared>,
    counters: Arc<CounterSet>,
    buffer: Vec<u8>,
}

impl PacketLoop {
    /// Creates the loop on a bound socket.
    pub fn new(
        socket: UdpSocket,
        settings: &EntrySettings,
        views: Receiver<Arc<RoutingView>>,
        questions: Receiver<FlowQuestion>,
        shared: Arc<EntryShared>,
    ) -> Self {
        let passthrough_limit = NonZeroUsize::new(settings.hint_limit).unwrap_or(NonZeroUsize::MIN);
        Self {
            socket,
            own_address: settings.packets,
            format: PacketFormat::new(settings.dialect, settings.callers),
            router: EntryRouter::new(settings.hint_limit),
            passthrough: PassthroughRouter::new(settings.datacenter.clone(), passthrough_limit),
            waiting_packets: LruCache::new(MAX_WAITING_PACKETS),
            early_packets: EarlyPackets::default(),
            flow_log: FlowLog::default(),
            views,
            questions,
            counters: Arc::clone(&shared.counters),
            shared,
            buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        }
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // Older views in the ring are superseded by the newest one.
            let view = self.views.try_iter().last();
            let has_new_view = view.is_some();
            if let Some(view) = view {
                let now = clock::now();
                self.passthrough.update_view(&view, now);
                self.router.replace_view(view, now);
            }
            let now = clock::now();
            let is_fresh = self.shared.is_fresh(self.router.view(), now);
            self.passthrough.record_freshness(is_fresh, now);
            if has_new_view || is_fresh {
                self.forward_early_packets(is_fresh, now);
            }
            self.answer_questions();
            self.send_probes();
            self.send_lookup_queries();
            // The socket's read timeout lets the loop check for a new view.
            if let Ok((len, SocketAddr::V4(from))) = self.socket.recv_from(&mut datagram) {
                self.handle_datagram(&datagram[..len], from);
            }
        }
    }

    fn answer_questions(&self) {
        while let Ok(question) = self.questions.try_recv() {
            let view = self.router.view();
            let syn = TcpSegment::first_syn(question.key);
            let explanation = self.passthrough.explain_opening(view, &syn, clock::now());
            question.answer(explanation);
        }
    }

    // Keeps a packet that can't be forwarded if the configuration is not known yet. Returns
    // whether it is kept.
    fn keep_early(&mut self, segment: &TcpSegment, packet: &[u8], arrived_at: TimePoint) -> bool {
        let is_kept = self.early_packets.keep(segment.key, packet, arrived_at);
        if is_kept {
            self.counters.add(Counter::PacketsEarly);
            if self.should_log(segment) {
                log::info!(target: "route", flow:% = segment.key; "kept until configured");
            }
        }
        is_kept
    }

    // Forwards the packets that came before the configuration; `is_fresh` states whether the
    // view is confirmed.
    fn forward_early_packets(&mut self, is_fresh: bool, now: TimePoint) {
        for early in self.early_packets.take(is_fresh, now) {
            // It was scanned when it arrived.
            let _ = self.forward(&early.bytes, early.arrived_at);
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let outcome = if is_frame(datagram) {
            self.handle_frame(datagram, from)
        } else {
            self.counters.add(Counter::PacketsIn);
            self.forward(datagram, clock::now())
        };
        if let Err(error) = outcome {
            self.counters.add(Counter::PacketsBad);
            log::info!(target: "route", cause:% = error, bytes = datagram.len(); "drop");
        }
    }

    fn send_probes(&mut self) {
        for _ in 0..PROBE_BATCH {
            let Some(probe) = self.router.next_probe(clock::now()) else {
                return;
            };
            self.counters.add(Counter::ProbesOut);
            log::info!(target: "route", flow:% = probe.key; "probe");
            // A lost probe is not retransmitted: the next one replaces it.
            let target = self.format.caller_target(probe.key);
            let _ = self.socket.send_to(&write_probe(&probe), target);
        }
    }

    // Sends the pending lookup queries and finishes the lookups that have timed out.
    fn send_lookup_queries(&mut self) {
        if !self.passthrough.has_pending_lookups() {
            return;
        }
        for query in self.passthrough.take_queries(clock::now()) {
            let flows = query.flows.iter().copied();
            let flows = flows.map(WireFlow::from).collect();
            write_lookup_query(&mut self.buffer, &WireLookupQuery { flows });
            // A lost query is repeated when the caller's next packet arrives.
            self.send_buffer(query.host);
        }
        let now = clock::now();
        let view = Arc::clone(self.router.view());
        let fresh = self.shared.is_fresh(&view, now);
        for (key, verdict) in self.passthrough.take_finished_lookups(&view, fresh, now) {
            self.finish_lookup(&view, key, verdict, fresh);
        }
    }

    fn handle_lookup_reply(&mut self, reply: &WireLookupReply, from: SocketAddrV4) {
        let now = clock::now();
        let view = Arc::clone(self.router.view());
        let fresh = self.shared.is_fresh(&view, now);
        for (key, ownership) in reply.replies() {
            let verdict = self
                .passthrough
                .record_lookup_reply(&view, key, from, ownership, fresh, now);
            if let Some(verdict) = verdict {
                self.finish_lookup(&view, key, verdict, fresh);
            }
        }
    }

    // Counts and logs the verdict of a lookup, and carries it out: the packet that waits for
    // it is forwarded, or the caller of a flow without an owner gets a reset.
    fn finish_lookup(
        &mut self,
        view: &Arc<RoutingView>,
        key: FlowKey,
        verdict: LookupVerdict,
        fresh: bool,
    ) {
        self.counters.add(Counter::LookupsFinished);
        let packet = self.waiting_packets.pop(&key);
        match &verdict {
            LookupVerdict::Found(_) => {
                self.counters.add(Counter::LookupsFoundOwner);
                if let Some(packet) = packet {
                    self.forward_waiting(&packet);
                }
            }
            LookupVerdict::Undetermined(plans) => {
                if let Some(packet) = packet {
                    for plan in plans {
                        self.send_plan(view, plan, &packet);
                    }
                }
            }
            LookupVerdict::NoOwner(segment) => {
                self.counters.add(Counter::FlowsWithoutOwner);
                let reset = self.format.write_reset(segment);
                let target = self.format.caller_target(key);
                // A lost reset is not retransmitted: the caller's next packet gets
                // another one.
                let _ = self.socket.send_to(&reset, target);
            }
            LookupVerdict::NotStarted => self.counters.add(Counter::LookupsNotStarted),
            LookupVerdict::Unconfirmed | LookupVerdict::Incomplete(_) => {}
        }
        let now = clock::now();
        if !self.flow_log.admits(key, &self.counters, now) {
            return;
        }
        let view_age = self.shared.view_age(view, now);
        let incomplete = verdict.incomplete();
        log::info!(
            target: "route",
            flow:% = key, verdict = verdict.as_str(), host:? = verdict.owner(),
            fresh = fresh, generation = LoggedVersion::from(view.generation),
            view_age_ms = view_age.map(|age| age.as_millis() as u64),
            hosts = self.passthrough.lookup_host_count(view, key),
            unsure = incomplete.map(|lookup| lookup.unknown),
            silent = incomplete.map(|lookup| lookup.silent),
            silent_host:? = incomplete.and_then(|lookup| lookup.silent_host);
            "searched"
        );
    }

    fn handle_frame(&mut self, datagram: &[u8], from: SocketAddrV4) -> Result<(), PacketError> {
        let frame = scan_frame(datagram)?;
        self.passthrough.record_activity(from);
        match frame {
            PacketFrame::OwnerNotice(notice) => {
                self.counters.add(Counter::OwnerNoticesIn);
                let view = Arc::clone(self.router.view());
                match view.service_at(notice.key().service) {
                    Some(service) if is_passthrough(service) => {
                        self.passthrough.record_owner(&view, notice.key(), from);
                    }
                    _ => self.router.record_owner(notice.key(), from, notice.owner()),
                }
                Ok(())
            }
            PacketFrame::Load(report) => {
                self.passthrough
                    .record_load(from, report.into(), clock::now());
                Ok(())
            }
            PacketFrame::Returned(packet) => self.reroute(packet, from),
            PacketFrame::LookupReply(reply) => {
                self.handle_lookup_reply(&reply, from);
                Ok(())
            }
            PacketFrame::Data { .. } | PacketFrame::LookupQuery(_) => Err(PacketError::Header),
        }
    }

    fn forward(&mut self, packet: &[u8], arrived_at: TimePoint) -> Result<(), PacketError> {
        let segment = self.format.scan_caller(packet)?;
        let now = clock::now();
        let view = Arc::clone(self.router.view());
        match view.service_at(segment.key.service) {
            Some(service) if is_passthrough(service) => {
                let plan = self.passthrough.route(&view, &segment, now);
                if plan.is_err() && self.keep_early(&segment, packet, arrived_at) {
                    return Ok(());
                }
                self.send_passthrough(&view, &segment, plan, packet);
            }
            None if self.keep_early(&segment, packet, arrived_at) => {}
            _ => match self.router.route(&segment, now) {
                RouteDecision::Forward(plan) => self.send(&segment, &plan, packet),
                RouteDecision::Drop(cause) => self.drop_packet(&segment, cause),
            },
        }
        Ok(())
    }

    // Forwards a packet that host `from` returned because it does not own the flow.
    fn reroute(&mut self, packet: &[u8], from: SocketAddrV4) -> Result<(), PacketError> {
        self.counters.add(Counter::PacketsRerouted);
        let segment = self.format.scan_caller(packet)?;
        let view = Arc::clone(self.router.view());
        let decision = self
            .passthrough
            .reroute(&view, &segment, from, clock::now());
        let plan = match decision {
            Ok(RerouteDecision::Walk(plan)) => Ok(plan),
            Ok(RerouteDecision::AwaitLookup) => {
                self.waiting_packets.put(segment.key, packet.to_vec());
                return Ok(());
            }
            Err(cause) => Err(cause),
        };
        if self.should_log(&segment) {
            log::info!(
                target: "route",
                flow:% = segment.key, from:% = from, generation = LoggedVersion::from(view.generation),
                hops = plan.as_ref().map_or(0, |plan| plan.hops.len());
                "reroute"
            );
        }
        self.send_passthrough(&view, &segment, plan, packet);
        Ok(())
    }

    // Forwards a packet that waited for a lookup to the owner, which is cached now.
    fn forward_waiting(&mut self, packet: &[u8]) {
        // The packet was scanned before it began to wait.
        let Ok(segment) = self.format.scan_caller(packet) else {
            return;
        };
        let view = Arc::clone(self.router.view());
        let plan = self.passthrough.route(&view, &segment, clock::now());
        self.send_passthrough(&view, &segment, plan, packet);
    }

    fn send_passthrough(
        &mut self,
        view: &RoutingView,
        segment: &TcpSegment,
        plan: Result<PassthroughPlan, RouteDrop>,
        packet: &[u8],
    ) {
        let plan = match plan {
            Ok(plan) => plan,
            Err(cause) => return self.drop_packet(segment, cause),
        };
        if segment.is_syn {
            let report = self.passthrough.loads().report(plan.hops[0], clock::now());
            if let Some((_, age)) = report {
                self.counters.record_timing(Timing::ReportAge, age);
            }
            if self.should_log(segment) {
                log_syn(view, segment, &plan, report);
            }
        }
        if plan.source == PlanSource::Hint {
            self.counters.add(Counter::PacketsHinted);
        }
        self.send_plan(view, &plan, packet);
    }

    fn send_plan(&mut self, view: &RoutingView, plan: &PassthroughPlan, packet: &[u8]) {
        let header = PacketHeader {
            tag: plan.tag.0,
            generation: view.generation.revision_u64(),
            complete: plan.complete,
            entry: (u32::from(*self.own_address.ip()), self.own_address.port()),
            hops: plan.hops.iter().copied().map(WireHop::from).collect(),
        };
        write_data(&mut self.buffer, &header, packet);
        self.send_buffer(plan.hops[0]);
    }

    // Returns whether the flow log admits a line about this segment's flow.
    fn should_log(&mut self, segment: &TcpSegment) -> bool {
        self.flow_log
            .admits(segment.key, &self.counters, clock::now())
    }

    fn send_buffer(&self, target: SocketAddrV4) {
        match self.socket.send_to(&self.buffer, target) {
            Ok(_) => self.counters.add(Counter::PacketsForwarded),
            Err(_) => self.counters.add(Counter::PacketsUnsent),
        }
    }

    fn send(&mut self, segment: &TcpSegment, plan: &HopPlan, packet: &[u8]) {
        let view = self.router.view();
        let Some(service) = view.service_at(segment.key.service) else {
            return;
        };
        let hops: Vec<WireHop> = plan
            .hops()
            .iter()
            .map(|host| service.host(*host).record.as_ref().into())
            .collect();
        let header = PacketHeader {
            tag: service.tag.0,
            generation: view.generation.revision_u64(),
            complete: plan.complete,
            entry: (u32::from(*self.own_address.ip()), self.own_address.port()),
            hops,
        };
        let first = &service.host(plan.hops()[0]).record;
        let target = first.packets;
        if segment.is_syn {
            log::info!(
                target: "route",
                flow:% = segment.key, service:% = service.id(), host:% = first.name,
                generation = LoggedVersion::from(view.generation), hops = plan.hops().len();
                "open"
            );
        } else {
            log::debug!(
                target: "route",
                flow:% = segment.key, service:% = service.id(), host:% = first.name,
                hinted = plan.source == PlanSource::Hint;
                "forward"
            );
        }
        if plan.source == PlanSource::Hint {
            self.counters.add(Counter::PacketsHinted);
        }
        write_data(&mut self.buffer, &header, packet);
        self.send_buffer(target);
    }

    fn drop_packet(&mut self, segment: &TcpSegment, cause: RouteDrop) {
        self.counters.add(match cause {
            RouteDrop::NoService => Counter::PacketsNoService,
            RouteDrop::NoHost => Counter::PacketsNoHost,
            RouteDrop::Drained => Counter::PacketsDrained,
        });
        // Nothing was opened, so the caller may try again at once, elsewhere.
        if cause == RouteDrop::Drained {
            let reset = self.format.write_reset(segment);
            let target = self.format.caller_target(segment.key);
            // A lost reset is not retransmitted: the caller's next SYN gets another one.
            let _ = self.socket.send_to(&reset, target);
        }
        if self.should_log(segment) {
            log::info!(target: "route", flow:% = segment.key, cause = cause.as_str(); "drop");
        }
    }
}

fn log_syn(
    view: &RoutingView,
    segment: &TcpSegment,
    plan: &PassthroughPlan,
    report: Option<(HostLoad, Duration)>,
) {
    log::info!(
        target: "route",
        flow:% = segment.key, host:% = plan.hops[0], hops = plan.hops.len(),
        generation = LoggedVersion::from(view.generation), complete = plan.complete,
        at_work = report.map(|(load, _)| load.at_work),
        report_age_ms = report.map(|(_, age)| age.as_millis() as u64);
        "open"
    );
}

fn is_passthrough(service: &ServiceView) -> bool {
    service.spec.kind == ServiceKind::Passthrough
}
