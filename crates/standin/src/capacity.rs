//! Slopes of state, time and messages at one node, and what they come to at
//! the target size.
//!
//! Everything is measured on the core and the codecs in this process, with
//! generated rosters and manifests; nothing is simulated across nodes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use chestnutlb_core::document::VersionedDocument;
use chestnutlb_core::{
    ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, EntryRecord, EntryRouter,
    FirmManifest, FlowEvent, FlowKey, FlowTable, HeartbeatNews, HostRecord, HostRevision,
    HostState, HostWeight, Incarnation, ObjectVersion, OpeningGate, PacketArrival, SegmentFacts,
    ServiceSpec, ServiceTag, TimePoint, TimerPart,
};
use chestnutlb_stack::FlowStack;
use chestnutlb_wire::manifest::shared_services;
use chestnutlb_wire::packet::write_data;
use chestnutlb_wire::peer::{
    Announcement, HostAlive, KeeperReply, PeerHeartbeat, PeerMessage, write_message,
};
use chestnutlb_wire::{PacketHeader, WireHost, WireManifest, WirePatch, WireRoster, parse_json};

/// The target of the developers' page.
pub mod target {
    /// Entry VMs.
    pub const NODES: f64 = 5_200.0;
    /// Hosts.
    pub const HOSTS: f64 = 43_000.0;
    /// Addresses of services.
    pub const ADDRESSES: f64 = 19_000.0;
    /// Open flows.
    pub const FLOWS: f64 = 120e6;
    /// New flows a second.
    pub const NEW_FLOWS: f64 = 570e3;
    /// Data centres.
    pub const DATACENTERS: f64 = 16.0;
    /// Changes of configuration a second.
    pub const CHANGES: f64 = 20_000.0 / 86_400.0;
    /// Hosts and entry VMs replaced a second.
    pub const REPLACED: f64 = (6_100.0 + 77.0) / 86_400.0;
    /// Share of a core for control.
    pub const CORE_PERCENT: f64 = 3.3;
    /// Memory for control, in bytes.
    pub const MEMORY: f64 = 64.0 * 1024.0 * 1024.0;
    /// Bytes a second for control.
    pub const BYTES: f64 = 15_000.0;
}

/// Writes of the roster in one host's life: warming, serving, leaving, gone.
const WRITES_PER_REPLACEMENT: f64 = 4.0;
/// Firms that the services are spread over; the target does not give it.
const FIRMS: usize = 200;

/// One measured point.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CapacityPoint {
    /// What was measured.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// The size that was varied.
    pub size: f64,
    /// The value.
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
    /// Least squares through the points.
    pub fn fit(points: &[CapacityPoint]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&CapacityPoint) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.size), mean(|point| point.value));
        let over: f64 = points
            .iter()
            .map(|point| (point.size - size) * (point.value - value))
            .sum();
        let under: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
        let slope = if under > 0.0 { over / under } else { 0.0 };
        Self {
            base: value - slope * size,
            slope,
        }
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// All points and what they come to.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct CapacityReport {
    /// The points.
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

    fn of(&self, what: &str) -> Vec<CapacityPoint> {
        let points = self.points.iter().filter(|point| point.what == what);
        points.cloned().collect()
    }

    fn line(&self, what: &str) -> SlopeLine {
        SlopeLine::fit(&self.of(what))
    }
}

fn address(number: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), port)
}

// Service and host numbers as at the target: 43,000 hosts on 19,000 addresses.
fn service_count(hosts: usize) -> usize {
    (hosts as f64 * target::ADDRESSES / target::HOSTS) as usize
}

fn firm_name(service: usize) -> String {
    format!("firm-{}", service % FIRMS)
}

fn manifests(services: usize) -> Vec<FirmManifest> {
    (0..FIRMS.min(services))
        .map(|firm| {
            let list: Vec<_> = (firm..services)
                .step_by(FIRMS)
                .map(|service| {
                    serde_json::json!({
                        "name": format!("service-{service}"),
                        "kind": "request",
                        "address": address(service, 7000).to_string(),
                        "datacenters": ["dc-1", "dc-2", "dc-3"],
                        "rules": [
                            {"method": "POST", "path": "/orders", "deadline_ms": 5000},
                            {"method": "POST", "path": "/uploads", "class": "long", "deadline_ms": 60000}
                        ]
                    })
                })
                .collect();
            let text = serde_json::json!({"firm": firm_name(firm), "services": list}).to_string();
            let wire: WireManifest = parse_json(&text).unwrap_or_else(|error| panic!("{error}"));
            FirmManifest::try_from(&wire).unwrap_or_else(|error| panic!("{error}"))
        })
        .collect()
}

fn host(number: usize, services: usize) -> HostRecord {
    let service = number % services;
    let text = format!("{}/service-{service}", firm_name(service));
    let parse = |text: &str| text.parse().unwrap_or_else(|_| panic!("{text}"));
    HostRecord {
        name: parse(&format!("host-{number}")),
        service: text.parse().unwrap_or_else(|error| panic!("{error}")),
        datacenter: format!("dc-{}", number % target::DATACENTERS as usize)
            .parse()
            .unwrap_or_else(|error| panic!("{error}")),
        packets: address(1 << 20 | number, 9000),
        relays: address(1 << 20 | number, 9001),
        incarnation: Incarnation(1_700_000_000_000 + number as u64),
        weight: HostWeight::ORDINARY,
        state: HostState::Serving,
        held: Vec::new(),
    }
}

fn entry(number: usize) -> EntryRecord {
    EntryRecord {
        name: format!("entry-{number}")
            .parse()
            .unwrap_or_else(|error| panic!("{error}")),
        datacenter: format!("dc-{}", number % target::DATACENTERS as usize)
            .parse()
            .unwrap_or_else(|error| panic!("{error}")),
        peers: address(1 << 22 | number, 9002),
        status: address(1 << 22 | number, 9003),
        incarnation: Incarnation(1_700_000_000_000 + number as u64),
    }
}

fn load(control: &mut EntryControl, kind: DocumentKind, name: &str, items: Vec<DocumentItem>) {
    let event = ControlEvent::Loaded {
        id: DocumentId::new(kind, name),
        version: ObjectVersion(1),
        items,
    };
    control.handle(event, TimePoint(0));
}

// An entry VM that knows `hosts` hosts, their services and `entries` peers.
fn loaded_control(hosts: usize, entries: usize) -> EntryControl {
    let services = service_count(hosts);
    let mut control = EntryControl::new(entry(0), Vec::new(), 1, TimePoint(0));
    let mut members: BTreeMap<String, Vec<DocumentItem>> = BTreeMap::new();
    for number in 0..entries {
        let record = entry(number);
        members
            .entry(record.datacenter.to_string())
            .or_default()
            .push(DocumentItem::Entry(record));
    }
    for (name, items) in members {
        load(&mut control, DocumentKind::Members, &name, items);
    }
    let firms = manifests(services);
    let grants = firms.iter().enumerate().flat_map(|(firm, manifest)| {
        let name = firm_name(firm);
        manifest
            .services
            .iter()
            .filter_map(move |spec| {
                let block = format!("{}/32", spec.address.ip()).parse().ok()?;
                Some(DocumentItem::Grant(block, name.as_str().into()))
            })
            .collect::<Vec<_>>()
    });
    load(&mut control, DocumentKind::Grants, "all", grants.collect());
    let mut rosters: BTreeMap<String, Vec<DocumentItem>> = BTreeMap::new();
    for number in 0..hosts {
        let record = host(number, services);
        rosters
            .entry(record.datacenter.to_string())
            .or_default()
            .push(DocumentItem::Host(Arc::new(record)));
    }
    for (name, items) in rosters {
        load(&mut control, DocumentKind::Roster, &name, items);
    }
    for manifest in manifests(services) {
        let firm = manifest.firm.to_string();
        let items = shared_services(manifest)
            .into_iter()
            .map(DocumentItem::Service)
            .collect();
        load(&mut control, DocumentKind::Manifest, &firm, items);
    }
    control
}

fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split(' ').nth(1)?.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}

// Median time of one call, in nanoseconds, over batches.
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

fn segment(random: &mut StdRng, services: usize, opens: bool) -> SegmentFacts {
    SegmentFacts {
        key: FlowKey {
            caller: address(random.random_range(0..1 << 24), random.random()),
            service: address(random.random_range(0..services), 7000),
        },
        opens,
        resets: false,
        sequence: 1,
        acknowledgement: (!opens).then_some(1),
        payload: 100,
    }
}

fn measure_decisions(report: &mut CapacityReport, hosts: usize, control: &EntryControl) {
    const SEGMENTS: usize = 4096;
    let services = service_count(hosts);
    let mut random = StdRng::seed_from_u64(1);
    let mut segments = |opens| -> Vec<SegmentFacts> {
        (0..SEGMENTS)
            .map(|_| segment(&mut random, services, opens))
            .collect()
    };
    let (opening, data) = (segments(true), segments(false));
    let mut router = EntryRouter::new(SEGMENTS * 2);
    router.replace_view(Arc::clone(control.view()), TimePoint(0));
    let size = hosts as f64;
    let syn = median_ns(SEGMENTS, |step| {
        black_box(router.route(&opening[step % SEGMENTS], TimePoint(1)));
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
            let owner = host.record.incarnation;
            router.learn(segment.key, owner);
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

// One service with all the hosts, the worst case for a ranking.
fn measure_large_service(report: &mut CapacityReport, hosts: usize) {
    let mut control = EntryControl::new(entry(0), Vec::new(), 1, TimePoint(0));
    let manifest = manifests(1).remove(0);
    let block = "10.0.0.0/8"
        .parse()
        .unwrap_or_else(|error| panic!("{error}"));
    let firm = manifest.firm.to_string();
    let grant = vec![DocumentItem::Grant(block, firm.as_str().into())];
    load(&mut control, DocumentKind::Grants, "all", grant);
    let services: Vec<Arc<ServiceSpec>> = shared_services(manifest);
    let items = services.into_iter().map(DocumentItem::Service).collect();
    load(&mut control, DocumentKind::Manifest, &firm, items);
    let items = (0..hosts)
        .map(|number| DocumentItem::Host(Arc::new(host(number, 1))))
        .collect();
    let start = Instant::now();
    load(&mut control, DocumentKind::Roster, "dc-1", items);
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
    let data: Vec<_> = (0..4096).map(|_| segment(&mut random, 1, false)).collect();
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

fn measure_control(report: &mut CapacityReport, hosts: usize, control: &mut EntryControl) {
    let size = hosts as f64;
    let services = service_count(hosts);
    let roster = DocumentId::new(DocumentKind::Roster, "dc-0");
    let before: Vec<DocumentItem> = control
        .documents()
        .get(&roster)
        .map(|document| document.items().cloned().collect())
        .unwrap_or_default();
    let mut version = 10;
    let mut times = Vec::new();
    for _ in 0..7 {
        version += 1;
        let mut items = before.clone();
        if let Some(DocumentItem::Host(record)) = items.first_mut() {
            Arc::make_mut(record).incarnation.0 += version;
        }
        let event = ControlEvent::Loaded {
            id: roster.clone(),
            version: ObjectVersion(version),
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

    let announced = median_ns(20, |step| {
        let number = step * 16 % hosts;
        let event = ControlEvent::Announced {
            record: host(number, services),
            revision: HostRevision(1),
            manifest: ObjectVersion(1),
            from: address(1, 1),
        };
        black_box(control.handle(event, TimePoint(100)));
    });
    report.add("announcement taken", "us", size, announced / 1e3);
    let mut at = 1_000;
    let batch = median_ns(5, |_| {
        at += 200;
        black_box(control.handle(ControlEvent::Tick(TimerPart::Batch), TimePoint(at)));
    });
    report.add("look at what to write", "us", size, batch / 1e3);
}

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
    let news = HeartbeatNews {
        entry: entry(1),
        summary: control.documents().summary(),
        age: Duration::ZERO,
        recent: Vec::new(),
    };
    let heard = median_ns(20, |_| {
        black_box(control.handle(ControlEvent::Heard(news.clone()), TimePoint(5)));
    });
    report.add("heartbeat taken", "us", size, heard / 1e3);
    let mut at = 1_000;
    let ticks = median_ns(5, |_| {
        at += 200;
        let now = TimePoint(at);
        black_box(control.handle(ControlEvent::Tick(TimerPart::Liveness), now));
        black_box(control.handle(ControlEvent::Tick(TimerPart::Heartbeat), now));
    });
    report.add("heartbeat and liveness tick", "us", size, ticks / 1e3);
}

fn measure_memory(report: &mut CapacityReport, hosts: usize) -> EntryControl {
    let before = resident_bytes();
    let control = loaded_control(hosts, target::NODES as usize);
    let grown = resident_bytes() - before;
    report.add("control state of an entry VM", "bytes", hosts as f64, grown);
    control
}

fn measure_messages(report: &mut CapacityReport) {
    let services = service_count(43_000);
    let record = host(42_000, services);
    let wire_host = WireHost::from(&record);
    let announce = PeerMessage::Announce(Announcement {
        host: wire_host.clone(),
        revision: 300,
        manifest: 1_000_000,
    });
    let alive = PeerMessage::Alive(HostAlive {
        name: wire_host.name.clone(),
        incarnation: wire_host.incarnation,
        revision: 300,
        manifest: 1_000_000,
    });
    let short = PeerMessage::Welcome(KeeperReply {
        keepers: Vec::new(),
        slice: u64::MAX / 3,
        fresh: true,
        resend: false,
    });
    let welcome = PeerMessage::Welcome(KeeperReply {
        keepers: vec![(&entry(5_000)).into(), (&entry(5_001)).into()],
        slice: u64::MAX / 3,
        fresh: true,
        resend: false,
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
        PeerMessage::Heartbeat(PeerHeartbeat::from(&HeartbeatNews {
            entry: entry(5_000),
            summary: u64::MAX / 3,
            age: Duration::from_millis(1500),
            recent,
        }))
    };
    let mut full = recent.clone();
    while full.len() < chestnutlb_core::control::RECENT_LIMIT {
        full.push(recent[0].clone());
    }
    let size = |message: &PeerMessage| write_message(message).len() as f64;
    report.add("message: announcement", "bytes", 1.0, size(&announce));
    report.add("message: welcome", "bytes", 1.0, size(&welcome));
    report.add("message: short announcement", "bytes", 1.0, size(&alive));
    report.add("message: short welcome", "bytes", 1.0, size(&short));
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
    report.add("message: heartbeat", "bytes", 1.0, size(&heartbeat(full)));

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
    let hosts = |changed: u64| -> Vec<DocumentItem> {
        (0..2_688)
            .map(|number| {
                let mut record = host(number * 16, services);
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

fn measure_side(report: &mut CapacityReport, flows: usize) {
    const GATE: OpeningGate = OpeningGate {
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
        proved: false,
    };
    let judge = median_ns(4096, |step| {
        let segment = SegmentFacts {
            key: keys[step * 7919 % flows],
            opens: false,
            resets: false,
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
        judge,
    );

    let mut stacks: Vec<FlowStack> = keys
        .iter()
        .filter_map(|key| FlowStack::listen(key.service, key.hash().0, TimePoint(0)))
        .collect();
    let poll = median_ns(512, |step| {
        let place = step * 7919 % stacks.len();
        stacks[place].poll(TimePoint(step as u64 / 100));
    });
    report.add(
        "side process, poll of a flow's stack",
        "ns",
        flows as f64,
        poll,
    );
}

// Idle flows, added to those that are there already.
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
        let grown = resident_bytes() - before;
        report.add(
            "side process, memory of idle flows",
            "bytes",
            flows as f64,
            grown,
        );
    }
}

/// Measures everything.
pub fn measure() -> CapacityReport {
    let mut report = CapacityReport::default();
    // Memory first, while the process is small.
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

/// The page's tables.
pub fn write_tables(report: &CapacityReport) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "| measured | unit | points (size: value) | line |\n|---|---|---|---|"
    );
    let mut seen: Vec<&str> = Vec::new();
    for point in &report.points {
        if seen.contains(&point.what) {
            continue;
        }
        seen.push(point.what);
        let points = report.of(point.what);
        let list: Vec<_> = points
            .iter()
            .map(|point| format!("{}: {}", point.size, short(point.value)))
            .collect();
        let line = if points.len() > 2 {
            let line = report.line(point.what);
            format!("{} + {:.3e} × size", short(line.base), line.slope)
        } else {
            "–".to_owned()
        };
        let _ = writeln!(
            text,
            "| {} | {} | {} | {line} |",
            point.what,
            point.unit,
            list.join(", ")
        );
    }
    let _ = writeln!(text, "\n{}", write_target(report));
    text
}

fn short(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

// What the slopes come to at the target, row by row.
fn write_target(report: &CapacityReport) -> String {
    use target::*;
    let line = |what: &str| report.line(what);
    let message = |what: &str| report.of(what).first().map_or(0.0, |point| point.value);
    let hosts_per_node = HOSTS / NODES;
    let announcements = hosts_per_node * KEEPERS * ANNOUNCEMENTS;
    let roster_changes = REPLACED * WRITES_PER_REPLACEMENT;
    let changes = roster_changes + CHANGES;
    let pushes = FANOUT * changes;

    let cpu_ms = [
        (
            "roster and manifest changes",
            changes * line("change of a roster taken").at(HOSTS),
        ),
        (
            "members changes",
            REPLACED * line("change of members taken").at(NODES),
        ),
        (
            "announcements",
            announcements * line("announcement taken").at(HOSTS) / 1e3,
        ),
        (
            "heartbeats taken",
            (HEARTBEATS + pushes) * line("heartbeat taken").at(NODES) / 1e3,
        ),
        (
            "heartbeat and liveness ticks",
            5.0 * line("heartbeat and liveness tick").at(NODES) / 1e3,
        ),
        (
            "looks at what to write",
            5.0 * line("look at what to write").at(HOSTS) / 1e3,
        ),
    ];
    let bytes = [
        (
            "announcements and welcomes",
            announcements
                * ((1.0 - FULL_SHARE)
                    * (message("message: short announcement") + message("message: short welcome"))
                    + FULL_SHARE
                        * (message("message: announcement") + message("message: welcome"))),
        ),
        (
            "heartbeats, in and out",
            2.0 * HEARTBEATS * message("message: heartbeat"),
        ),
        (
            "pushes of changes, in and out",
            2.0 * pushes * message("message: push of a change"),
        ),
        (
            "patches, in and out",
            2.0 * (CHANGES * message("message: patch of one service")
                + roster_changes * message("message: patch of one host")),
        ),
    ];
    let memory = line("control state of an entry VM").at(HOSTS);
    let mut text = String::new();
    let mut row = |what: &str, value: String, limit: String| {
        let _ = writeln!(text, "| {what} | {value} | {limit} |");
    };
    row(
        "at the target, an entry VM",
        "value".to_owned(),
        "limit".to_owned(),
    );
    row("---", "---".to_owned(), "---".to_owned());
    for (what, value) in cpu_ms {
        row(
            &format!("processor: {what}"),
            format!("{:.3}% of a core", value / 10.0),
            String::new(),
        );
    }
    let total: f64 = cpu_ms.iter().map(|(_, value)| value).sum::<f64>() / 10.0;
    row(
        "processor: control, sum",
        format!("{total:.2}% of a core"),
        format!("{CORE_PERCENT}%"),
    );
    for (what, value) in bytes {
        row(
            &format!("bytes: {what}"),
            format!("{value:.0} B/s"),
            String::new(),
        );
    }
    let total: f64 = bytes.iter().map(|(_, value)| value).sum();
    row(
        "bytes: control, sum",
        format!("{total:.0} B/s"),
        format!("{BYTES:.0} B/s"),
    );
    let mib = |bytes: f64| format!("{:.1} MiB", bytes / 1048576.0);
    row("memory: control state", mib(memory), mib(MEMORY));
    let decision = line("decision, data without hint").at(HOSTS);
    let flows = NEW_FLOWS / NODES;
    row(
        "new flows",
        format!("{flows:.0}/s, {decision:.0} ns each"),
        String::new(),
    );
    let open = FLOWS / HOSTS;
    let flow_memory = line("side process, memory of idle flows").slope;
    row(
        "a side process: open flows",
        format!("{open:.0}, {} of stacks", mib(open * flow_memory)),
        String::new(),
    );
    let watchers = DATACENTERS * WATCHERS;
    let calls = watchers * WATCHES + watchers * changes + 2.0 * changes;
    row(
        "platform: calls of the whole fleet",
        format!("{calls:.0}/s"),
        "2000/s".to_owned(),
    );
    row(
        "platform: writes of the whole fleet",
        format!("{:.2}/s", changes + 2.0 * REPLACED),
        "a few hundred/s".to_owned(),
    );
    text
}

/// Keepers of a host.
const KEEPERS: f64 = chestnutlb_core::members::KEEPERS_PER_HOST as f64;
/// Announcements of a host to each keeper, a second.
const ANNOUNCEMENTS: f64 = 2.0;
/// Share of them that are in full: one in 5 s.
const FULL_SHARE: f64 = 0.1;
/// Heartbeats sent a second: to neighbours and a seed.
const HEARTBEATS: f64 = (chestnutlb_core::members::NEIGHBOURS as f64 + 1.0) * 2.0;
/// Peers told of a change at once.
const FANOUT: f64 = chestnutlb_core::control::SPREAD_FANOUT as f64;
/// Watchers of a data centre.
const WATCHERS: f64 = chestnutlb_core::members::WATCHERS_PER_DATACENTER as f64;
/// Watch calls of a watcher, a second.
const WATCHES: f64 = 0.5;
