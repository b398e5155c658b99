//! Capacity measurements: memory, processor time and message sizes of one entry VM or side
//! process at several fleet sizes, and the lines through these points.
//!
//! All points are measured on the core and the codecs in this process, with
//! generated rosters and manifests. No exchange between processes is simulated.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use chestnutlb_core::document::VersionedDocument;
use chestnutlb_core::{
    AdmissionGate, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, EntryRouter,
    FlowEvent, FlowKey, FlowTable, Heartbeat, HostRevision, Incarnation, ObjectVersion,
    PacketArrival, ServiceSpec, ServiceTag, TcpSegment, TimePoint, TimerKind,
};
use chestnutlb_stack::FlowStack;
use chestnutlb_wire::manifest::shared_services;
use chestnutlb_wire::packet::write_data;
use chestnutlb_wire::peer::{
    PeerHeartbeat, PeerMessage, WireKeepAlive, WireRegistration, WireRegistrationReply,
    write_message,
};
use chestnutlb_wire::{PacketHeader, WireHost, WirePatch, WireRoster};

use crate::capacity_tables::target;
use crate::capacity_world::{
    address, entry_record, host_record, load_document, loaded_control, manifests, random_segment,
    service_count,
};

/// A measured point.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CapacityPoint {
    /// Name of the measurement.
    pub what: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Size at which the value was measured, such as a number of hosts.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct SlopeLine {
    /// Value at size zero.
    pub base: f64,
    /// Growth per unit of size.
    pub slope: f64,
}

impl SlopeLine {
    /// Returns the least-squares line through the points.
    pub fn fit(points: &[CapacityPoint]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&CapacityPoint) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.size), mean(|point| point.value));
        let covariance: f64 = points
            .iter()
            .map(|point| (point.size - size) * (point.value - value))
            .sum();
        let variance: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        Self {
            base: value - slope * size,
            slope,
        }
    }

    /// Returns the line's value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// All measured points.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct CapacityReport {
    /// The points, in the order of measurement.
    pub points: Vec<CapacityPoint>,
}

impl CapacityReport {
    fn add(&mut self, what: &'static str, unit: &'static str, size: f64, value: f64) {
        let point = CapacityPoint {
            what,
            unit,
            size,
            value,
        };
        eprintln!("{what} at {size}: {value:.3} {unit}");
        self.points.push(point);
    }

    /// Returns the points of one measurement.
    pub fn points_of(&self, what: &str) -> Vec<CapacityPoint> {
        let points = self.points.iter().filter(|point| point.what == what);
        points.cloned().collect()
    }

    /// Returns the line through the points of one measurement.
    pub fn line(&self, what: &str) -> SlopeLine {
        SlopeLine::fit(&self.points_of(what))
    }
}

// Returns the resident memory of this process, or 0 if it cannot be read.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split(' ').nth(1)?.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}

// Calls `call` in several batches. Returns the time of one call in nanoseconds: the median of the
// batches' means.
fn median_ns(batch: usize, mut call: impl FnMut(usize)) -> f64 {
    const BATCHES: usize = 41;
    let mut times: Vec<f64> = (0..BATCHES)
        .map(|round| {
            let start = Instant::now();
            for step in 0..batch {
                call(round * batch + step);
            }
            start.elapsed().as_nanos() as f64 / batch as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[BATCHES / 2]
}

// Measures routing decisions for SYNs and for data with and without an owner hint, and a
// plain hash over the hosts as a baseline.
fn measure_decisions(report: &mut CapacityReport, hosts: usize, control: &EntryControl) {
    const SEGMENTS: usize = 4096;
    let services = service_count(hosts);
    let mut random = StdRng::seed_from_u64(1);
    let mut segments = |is_syn| -> Vec<TcpSegment> {
        (0..SEGMENTS)
            .map(|_| random_segment(&mut random, services, is_syn))
            .collect()
    };
    let (syns, data) = (segments(true), segments(false));
    let mut router = EntryRouter::new(SEGMENTS * 2);
    router.replace_view(Arc::clone(control.view()), TimePoint(0));
    let size = hosts as f64;
    let syn = median_ns(SEGMENTS, |step| {
        black_box(router.route(&syns[step % SEGMENTS], TimePoint(1)));
    });
    report.add("decision, SYN", "ns", size, syn);
    let walk = median_ns(SEGMENTS, |step| {
        black_box(router.route(&data[step % SEGMENTS], TimePoint(1)));
    });
    report.add("decision, data without hint", "ns", size, walk);
    let view = Arc::clone(control.view());
    for segment in &data {
        if let Some(service) = view.service_at(segment.key.service)
            && let Some(host) = service.hosts().last()
        {
            let record = &host.record;
            router.record_owner(segment.key, record.packets, record.incarnation);
        }
    }
    let hinted = median_ns(SEGMENTS, |step| {
        black_box(router.route(&data[step % SEGMENTS], TimePoint(1)));
    });
    report.add("decision, data with hint", "ns", size, hinted);
    let plain = median_ns(SEGMENTS, |step| {
        let segment = &data[step % SEGMENTS];
        let service = view.service_at(segment.key.service);
        black_box(service.map(|service| {
            let hosts = service.hosts();
            &hosts[(segment.key.hash().0 % hosts.len().max(1) as u64) as usize]
        }));
    });
    report.add("baseline, plain hash", "ns", size, plain);
}

// Measures a single service with all hosts, the worst case for ranking them.
fn measure_large_service(report: &mut CapacityReport, hosts: usize) {
    let mut control = EntryControl::new(entry_record(0), Vec::new(), 1, TimePoint(0));
    let manifest = manifests(1).remove(0);
    let block = "10.0.0.0/8"
        .parse()
        .unwrap_or_else(|error| panic!("{error}"));
    let firm = manifest.firm.to_string();
    let grant = vec![DocumentItem::Grant(block, firm.as_str().into())];
    load_document(&mut control, DocumentKind::Grants, "all", grant);
    let services: Vec<Arc<ServiceSpec>> = shared_services(manifest);
    let items = services.into_iter().map(DocumentItem::Service).collect();
    load_document(&mut control, DocumentKind::Manifest, &firm, items);
    let items = (0..hosts)
        .map(|number| DocumentItem::Host(Arc::new(host_record(number, 1))))
        .collect();
    let start = Instant::now();
    load_document(&mut control, DocumentKind::Roster, "dc-1", items);
    let build = start.elapsed().as_secs_f64() * 1e3;
    report.add(
        "view with one service of all hosts",
        "ms",
        hosts as f64,
        build,
    );
    let mut router = EntryRouter::new(0);
    router.replace_view(Arc::clone(control.view()), TimePoint(0));
    let mut random = StdRng::seed_from_u64(2);
    let data: Vec<_> = (0..4096)
        .map(|_| random_segment(&mut random, 1, false))
        .collect();
    let walk = median_ns(4096, |step| {
        black_box(router.route(&data[step % data.len()], TimePoint(1)));
    });
    report.add(
        "decision in one service of all hosts",
        "ns",
        hosts as f64,
        walk,
    );
}

// Measures a roster change, a registration and the batch tick of the control part.
fn measure_control(report: &mut CapacityReport, hosts: usize, control: &mut EntryControl) {
    let size = hosts as f64;
    let services = service_count(hosts);
    let roster = DocumentId::new(DocumentKind::Roster, "dc-0");
    let unchanged: Vec<DocumentItem> = control
        .documents()
        .get(&roster)
        .map(|document| document.items().cloned().collect())
        .unwrap_or_default();
    let mut version = 10;
    let mut times = Vec::new();
    for _ in 0..7 {
        version += 1;
        let mut items = unchanged.clone();
        if let Some(DocumentItem::Host(record)) = items.first_mut() {
            Arc::make_mut(record).incarnation.0 += version;
        }
        let event = ControlEvent::Loaded {
            id: roster.clone(),
            version: ObjectVersion(version.into()),
            items,
        };
        let start = Instant::now();
        black_box(control.handle(event, TimePoint(1)));
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    report.add(
        "change of a roster taken",
        "ms",
        size,
        times[times.len() / 2],
    );

    let registered = median_ns(20, |step| {
        let number = step * 16 % hosts;
        let event = ControlEvent::HostRegistered {
            record: host_record(number, services),
            revision: HostRevision(1),
            manifest: ObjectVersion(1),
            from: address(1, 1),
        };
        black_box(control.handle(event, TimePoint(100)));
    });
    report.add("announcement taken", "us", size, registered / 1e3);
    let mut now_ms = 1_000;
    let batch_tick = median_ns(5, |_| {
        now_ms += 200;
        black_box(control.handle(ControlEvent::Tick(TimerKind::Batch), TimePoint(now_ms)));
    });
    report.add("look at what to write", "us", size, batch_tick / 1e3);
}

// Measures a members change, a heartbeat and the periodic ticks by number of entry VMs.
fn measure_members(report: &mut CapacityReport, entries: usize) {
    let mut control = loaded_control(1000, entries);
    let size = entries as f64;
    let members = DocumentId::new(DocumentKind::Members, "dc-0");
    let items: Vec<_> = control
        .documents()
        .get(&members)
        .map(|document| document.items().cloned().collect())
        .unwrap_or_default();
    let mut times: Vec<f64> = (0..7)
        .map(|round| {
            let event = ControlEvent::Loaded {
                id: members.clone(),
                version: ObjectVersion(100 + round),
                items: items.clone(),
            };
            let start = Instant::now();
            black_box(control.handle(event, TimePoint(1)));
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    report.add("change of members taken", "ms", size, times[3]);
    let heartbeat = Heartbeat {
        entry: entry_record(1),
        summary: control.documents().summary(),
        operators_age: Duration::ZERO,
        unreadable_age: Duration::MAX,
        fleet_age: Duration::ZERO,
        recent: Vec::new(),
    };
    let received = median_ns(20, |_| {
        black_box(control.handle(
            ControlEvent::HeartbeatReceived(heartbeat.clone()),
            TimePoint(5),
        ));
    });
    report.add("heartbeat taken", "us", size, received / 1e3);
    let mut now_ms = 1_000;
    let ticks = median_ns(5, |_| {
        now_ms += 200;
        let now = TimePoint(now_ms);
        black_box(control.handle(ControlEvent::Tick(TimerKind::Liveness), now));
        black_box(control.handle(ControlEvent::Tick(TimerKind::Heartbeat), now));
    });
    report.add("heartbeat and liveness tick", "us", size, ticks / 1e3);
}

// Measures the memory of the control part and returns the part for further use.
fn measure_memory(report: &mut CapacityReport, hosts: usize) -> EntryControl {
    let before = resident_bytes();
    let control = loaded_control(hosts, target::ENTRIES as usize);
    let growth = resident_bytes() - before;
    report.add(
        "control state of an entry VM",
        "bytes",
        hosts as f64,
        growth,
    );
    control
}

// Measures the sizes of messages, packet headers, patches and platform objects.
fn measure_messages(report: &mut CapacityReport) {
    let services = service_count(43_000);
    let record = host_record(42_000, services);
    let wire_host = WireHost::from(&record);
    let registration = PeerMessage::Announce(WireRegistration {
        host: wire_host.clone(),
        revision: 300,
        manifest: ObjectVersion(1_000_000).into(),
    });
    let keep_alive = PeerMessage::Alive(WireKeepAlive {
        name: wire_host.name.clone(),
        incarnation: wire_host.incarnation,
        revision: 300,
        manifest: ObjectVersion(1_000_000).into(),
    });
    let short_reply = PeerMessage::Welcome(WireRegistrationReply {
        keepers: Vec::new(),
        slice: u64::MAX / 3,
        fresh: true,
        resend: false,
        opening: None,
    });
    let full_reply = PeerMessage::Welcome(WireRegistrationReply {
        keepers: vec![(&entry_record(5_000)).into(), (&entry_record(5_001)).into()],
        slice: u64::MAX / 3,
        fresh: true,
        resend: false,
        opening: None,
    });
    let recent = vec![
        (
            DocumentId::new(DocumentKind::Manifest, "firm-199"),
            ObjectVersion(1_000_000),
        ),
        (
            DocumentId::new(DocumentKind::Roster, "dc-15"),
            ObjectVersion(1_000_001),
        ),
    ];
    let heartbeat = |recent| {
        PeerMessage::Heartbeat(PeerHeartbeat::from(&Heartbeat {
            entry: entry_record(5_000),
            summary: u64::MAX / 3,
            operators_age: Duration::from_millis(1500),
            unreadable_age: Duration::MAX,
            fleet_age: Duration::from_millis(1500),
            recent,
        }))
    };
    let mut full_recent = recent.clone();
    while full_recent.len() < chestnutlb_core::control::RECENT_LIMIT {
        full_recent.push(recent[0].clone());
    }
    let size = |message: &PeerMessage| write_message(message).len() as f64;
    report.add("message: announcement", "bytes", 1.0, size(&registration));
    report.add("message: welcome", "bytes", 1.0, size(&full_reply));
    report.add(
        "message: short announcement",
        "bytes",
        1.0,
        size(&keep_alive),
    );
    report.add("message: short welcome", "bytes", 1.0, size(&short_reply));
    for hops in [1, 4, 8, 12] {
        let header = PacketHeader {
            tag: u64::MAX / 3,
            generation: 1_000_000,
            complete: true,
            entry: (u32::MAX / 3, 9001),
            hops: vec![(&record).into(); hops],
        };
        let mut buffer = Vec::new();
        write_data(&mut buffer, &header, &[]);
        report.add(
            "message: header of a packet",
            "bytes",
            hops as f64,
            buffer.len() as f64,
        );
    }
    report.add(
        "message: push of a change",
        "bytes",
        1.0,
        size(&heartbeat(recent[..1].to_vec())),
    );
    report.add(
        "message: heartbeat",
        "bytes",
        1.0,
        size(&heartbeat(full_recent)),
    );

    let mut document = VersionedDocument::default();
    let manifest = manifests(services).remove(0);
    let mut specs = shared_services(manifest);
    let items =
        |specs: &[Arc<ServiceSpec>]| specs.iter().cloned().map(DocumentItem::Service).collect();
    document.replace(ObjectVersion(1), items(&specs));
    let mut changed = ServiceSpec::clone(&specs[0]);
    changed.limits.queue += 1;
    specs[0] = Arc::new(changed);
    document.replace(ObjectVersion(2), items(&specs));
    let id = DocumentId::new(DocumentKind::Manifest, "firm-0");
    for (what, since) in [
        ("message: patch of one service", 1),
        ("message: whole manifest", 0),
    ] {
        if let Some(patch) = document.patch(&id, ObjectVersion(since)) {
            let bytes = write_message(&WirePatch::from(&patch)).len();
            report.add(what, "bytes", 1.0, bytes as f64);
        }
    }
    let mut roster = VersionedDocument::default();
    // 2,688 hosts are the share of one data centre at the target: 43,000 over 16.
    let hosts = |changed: u64| -> Vec<DocumentItem> {
        (0..2_688)
            .map(|number| {
                let mut record = host_record(number * 16, services);
                if number == 7 {
                    record.incarnation.0 += changed;
                }
                DocumentItem::Host(Arc::new(record))
            })
            .collect()
    };
    roster.replace(ObjectVersion(1), hosts(0));
    roster.replace(ObjectVersion(2), hosts(1));
    let id = DocumentId::new(DocumentKind::Roster, "dc-0");
    for (what, since) in [
        ("message: patch of one host", 1),
        ("message: whole roster", 0),
    ] {
        if let Some(patch) = roster.patch(&id, ObjectVersion(since)) {
            let bytes = write_message(&WirePatch::from(&patch)).len();
            report.add(what, "bytes", 1.0, bytes as f64);
        }
    }
    let object = WireRoster {
        hosts: vec![wire_host; 2_688],
    };
    let bytes = serde_json::to_string(&object).map_or(0, |text| text.len());
    report.add(
        "platform object: roster of a data centre",
        "bytes",
        2_688.0,
        bytes as f64,
    );
}

// Measures the verdict on a packet and the poll of a stack by number of flows.
fn measure_side(report: &mut CapacityReport, flows: usize) {
    const GATE: AdmissionGate = AdmissionGate {
        open: true,
        flow_limit: usize::MAX,
    };
    let tag = ServiceTag(1);
    let mut table = FlowTable::new(tag, Incarnation(1));
    let service = address(1, 7000);
    let keys: Vec<_> = (0..flows)
        .map(|number| FlowKey {
            caller: address(1 << 21 | number, 1000),
            service,
        })
        .collect();
    for key in &keys {
        table.insert(*key, 1, TimePoint(0));
        table.apply(*key, FlowEvent::Established);
    }
    let arrival = PacketArrival {
        tag,
        incarnation: Incarnation(1),
        more_hops: true,
        no_owner_proved: false,
    };
    let verdict = median_ns(4096, |step| {
        let segment = TcpSegment {
            key: keys[step * 7919 % flows],
            is_syn: false,
            is_syn_ack: false,
            syn_copies: 0,
            is_fin: false,
            is_rst: false,
            sequence: 1,
            acknowledgement: Some(2),
            payload: 100,
        };
        black_box(table.judge(&arrival, &segment, GATE, TimePoint(1)));
    });
    report.add(
        "side process, verdict on a packet",
        "ns",
        flows as f64,
        verdict,
    );

    let mut stacks: Vec<FlowStack> = keys
        .iter()
        .filter_map(|key| FlowStack::listen(key.service, key.hash().0, TimePoint(0)))
        .collect();
    let poll = median_ns(512, |step| {
        let index = step * 7919 % stacks.len();
        stacks[index].poll(TimePoint(step as u64 / 100));
    });
    report.add(
        "side process, poll of a flow's stack",
        "ns",
        flows as f64,
        poll,
    );
}

// Measures the memory of idle flows. Each point adds flows to those of the previous one.
fn measure_flow_memory(report: &mut CapacityReport) {
    let before = resident_bytes();
    let mut stacks: Vec<FlowStack> = Vec::new();
    for flows in [1_000, 3_000, 10_000] {
        while stacks.len() < flows {
            let number = stacks.len();
            let service = address(1, 7000);
            match FlowStack::listen(service, number as u64, TimePoint(0)) {
                Some(stack) => stacks.push(stack),
                None => return,
            }
        }
        let growth = resident_bytes() - before;
        report.add(
            "side process, memory of idle flows",
            "bytes",
            flows as f64,
            growth,
        );
    }
}

/// Measures all points.
pub fn measure() -> CapacityReport {
    let mut report = CapacityReport::default();
    // Memory of flows is measured first, while the process is still small.
    measure_flow_memory(&mut report);
    for hosts in [5_000, 10_000, 20_000, 43_000] {
        let mut control = measure_memory(&mut report, hosts);
        measure_decisions(&mut report, hosts, &control);
        measure_control(&mut report, hosts, &mut control);
    }
    for hosts in [1_000, 3_000, 10_000] {
        measure_large_service(&mut report, hosts);
    }
    for entries in [650, 1_300, 2_600, 5_200] {
        measure_members(&mut report, entries);
    }
    for flows in [100, 1_000, 3_000, 10_000] {
        measure_side(&mut report, flows);
    }
    measure_messages(&mut report);
    report
}
