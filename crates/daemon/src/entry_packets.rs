//! The packet thread of an entry VM: from the fabric to side processes.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;

use crossbeam_channel::Receiver;

use chestnutlb_core::SegmentFacts;
use chestnutlb_core::{EntryRouter, HopPlan, PlanSource, RouteDecision, RouteDrop, RoutingView};
use chestnutlb_wire::packet::{MAX_DATAGRAM_BYTES, write_data, write_probe};
use chestnutlb_wire::{PacketError, PacketFrame, PacketHeader, WireHop, scan_frame, scan_segment};

use crate::clock;
use crate::metrics::{Counter, CounterSet};

/// First byte of the system's own datagrams.
const MAGIC_FIRST: u8 = b'C';

/// Probes that are sent before packets get their turn.
const PROBE_BATCH: usize = 64;

/// The packet thread.
#[derive(Debug)]
pub struct PacketLoop {
    socket: UdpSocket,
    own: SocketAddrV4,
    fabric: SocketAddrV4,
    router: EntryRouter,
    views: Receiver<Arc<RoutingView>>,
    counters: Arc<CounterSet>,
    buffer: Vec<u8>,
}

impl PacketLoop {
    /// A loop on a bound socket.
    pub fn new(
        socket: UdpSocket,
        own: SocketAddrV4,
        fabric: SocketAddrV4,
        hints: usize,
        views: Receiver<Arc<RoutingView>>,
        counters: Arc<CounterSet>,
    ) -> Self {
        Self {
            socket,
            own,
            fabric,
            router: EntryRouter::new(hints),
            views,
            counters,
            buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        }
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // Only the newest view matters.
            if let Some(view) = self.views.try_iter().last() {
                self.router.replace_view(view, clock::now());
            }
            self.send_probes();
            // A timeout lets the loop look for a new view.
            if let Ok((len, _)) = self.socket.recv_from(&mut datagram) {
                self.handle(&datagram[..len]);
            }
        }
    }

    fn handle(&mut self, datagram: &[u8]) {
        let outcome = if datagram.first() == Some(&MAGIC_FIRST) {
            self.take_note(datagram)
        } else {
            self.forward(datagram)
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
            // A lost probe is made up for by the next one.
            let _ = self.socket.send_to(&write_probe(&probe), self.fabric);
        }
    }

    fn take_note(&mut self, datagram: &[u8]) -> Result<(), PacketError> {
        match scan_frame(datagram)? {
            PacketFrame::Note(note) => {
                self.counters.add(Counter::NotesIn);
                self.router.learn(note.key(), note.owner());
                Ok(())
            }
            PacketFrame::Data { .. } => Err(PacketError::Header),
        }
    }

    fn forward(&mut self, packet: &[u8]) -> Result<(), PacketError> {
        self.counters.add(Counter::PacketsIn);
        let segment = scan_segment(packet)?;
        match self.router.route(&segment, clock::now()) {
            RouteDecision::Forward(plan) => self.send(&segment, &plan, packet),
            RouteDecision::Drop(cause) => self.drop_packet(&segment, cause),
        }
        Ok(())
    }

    fn send(&mut self, segment: &SegmentFacts, plan: &HopPlan, packet: &[u8]) {
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
            generation: view.generation.0,
            complete: plan.complete,
            entry: (u32::from(*self.own.ip()), self.own.port()),
            hops,
        };
        let first = &service.host(plan.hops()[0]).record;
        let target = first.packets;
        if segment.opens {
            log::info!(
                target: "route",
                flow:% = segment.key, service:% = service.id(), host:% = first.name,
                generation = view.generation.0, hops = plan.hops().len();
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
        match self.socket.send_to(&self.buffer, target) {
            Ok(_) => self.counters.add(Counter::PacketsForwarded),
            Err(_) => self.counters.add(Counter::PacketsUnsent),
        }
    }

    fn drop_packet(&self, segment: &SegmentFacts, cause: RouteDrop) {
        self.counters.add(match cause {
            RouteDrop::NoService => Counter::PacketsNoService,
            RouteDrop::NoHost => Counter::PacketsNoHost,
        });
        log::info!(target: "route", flow:% = segment.key, cause = cause.as_str(); "drop");
    }
}
