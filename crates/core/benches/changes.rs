//! Time that an entry VM spends on the change of one host: its documents, its view, the
//! possible owners of flows and the first packet routed by the new view.

mod common;

use std::hint::black_box;
use std::num::NonZeroUsize;
use std::sync::Arc;

use criterion::Criterion;

use chestnutlb_core::document::VersionedItem;
use chestnutlb_core::view_builder::VIEW_PERIOD;
use chestnutlb_core::{
    AddressBlock, ControlEvent, DocumentId, DocumentItem, DocumentKind, DocumentPatch,
    EntryControl, EntryRecord, FlowKey, HostRecord, HostState, HostWeight, Incarnation,
    ObjectVersion, PassthroughRouter, ServiceKind, TcpSegment, TimePoint,
};
use common::{address, service_address, spec};

const DATACENTERS: u32 = 5;
const EMPTY_SERVICES: u32 = 120;
const ENTRIES: u32 = 59;

fn datacenter(number: u32) -> String {
    format!("dc-{}", number % DATACENTERS)
}

fn host(number: u32, state: HostState) -> HostRecord {
    HostRecord {
        name: format!("side-dc-{number}").parse().unwrap(),
        service: "firm/service-0".parse().unwrap(),
        datacenter: datacenter(number).parse().unwrap(),
        packets: address(0x0a40_0000, number, 9000),
        relays: address(0x0a40_0000, number, 9001),
        incarnation: Incarnation(0),
        weight: HostWeight::ORDINARY,
        state,
        held_buckets: Vec::new(),
    }
}

fn entry(number: u32) -> EntryRecord {
    EntryRecord {
        name: format!("front-dc-{number}").parse().unwrap(),
        datacenter: datacenter(number).parse().unwrap(),
        peers: address(0x0a80_0000, number, 9002),
        status: address(0x0a80_0000, number, 9003),
        incarnation: Incarnation(1),
    }
}

// An entry VM, and the version of its documents.
struct ChangedEntry {
    control: EntryControl,
    router: PassthroughRouter,
    now: TimePoint,
    version: u64,
}

impl ChangedEntry {
    fn new(hosts: u32) -> Self {
        let limit = NonZeroUsize::new(1000).unwrap();
        let mut changed = Self {
            control: EntryControl::new(entry(0), Vec::new(), 1, TimePoint(0)),
            router: PassthroughRouter::new("dc-0".parse().unwrap(), limit),
            now: TimePoint(0),
            version: 1,
        };
        let block: AddressBlock = "0.0.0.0/0".parse().unwrap();
        changed.load(
            DocumentId::new(DocumentKind::Grants, "grants"),
            vec![DocumentItem::Grant(block, "firm".into())],
        );
        let services = (0..=EMPTY_SERVICES)
            .map(|number| DocumentItem::Service(Arc::new(spec(number, ServiceKind::Passthrough))));
        changed.load(
            DocumentId::new(DocumentKind::Manifest, "firm"),
            services.collect(),
        );
        for group in 0..DATACENTERS {
            let entries = (0..ENTRIES).filter(|number| number % DATACENTERS == group);
            let entries = entries.map(|number| DocumentItem::Entry(entry(number)));
            let name = datacenter(group);
            changed.load(
                DocumentId::new(DocumentKind::Members, &name),
                entries.collect(),
            );
            let hosts = (0..hosts).filter(|number| number % DATACENTERS == group);
            let hosts =
                hosts.map(|number| DocumentItem::Host(Arc::new(host(number, HostState::Serving))));
            changed.load(
                DocumentId::new(DocumentKind::Roster, &name),
                hosts.collect(),
            );
        }
        changed.route();
        changed
    }

    fn load(&mut self, id: DocumentId, items: Vec<DocumentItem>) {
        let version = ObjectVersion(self.version.into());
        let event = ControlEvent::Loaded { id, version, items };
        self.control.handle(event, self.now);
    }

    // Takes a patch that changes the state of one host, and routes a packet by the new view.
    fn change_host(&mut self, number: u32) {
        let since = ObjectVersion(self.version.into());
        self.version += 1;
        self.now = self.now + VIEW_PERIOD;
        let changed_in = ObjectVersion(self.version.into());
        let state = if self.version.is_multiple_of(2) {
            HostState::Leaving
        } else {
            HostState::Serving
        };
        let item = DocumentItem::Host(Arc::new(host(number, state)));
        let patch = DocumentPatch {
            id: DocumentId::new(DocumentKind::Roster, &datacenter(number)),
            since: Some(since),
            version: changed_in,
            items: vec![VersionedItem { changed_in, item }],
            removed: Vec::new(),
        };
        self.control
            .handle(ControlEvent::Pulled(vec![patch]), self.now);
        self.route();
    }

    fn route(&mut self) {
        self.now = self.now + VIEW_PERIOD;
        self.control.poll_view(self.now);
        let view = Arc::clone(self.control.view());
        self.router.update_view(&view, self.now);
        let segment = TcpSegment {
            key: FlowKey {
                caller: address(0x0b00_0000, self.version as u32, 4000),
                service: service_address(0),
            },
            is_syn: true,
            is_syn_ack: false,
            syn_copies: 0,
            is_fin: false,
            is_rst: false,
            sequence: 1,
            acknowledgement: None,
            payload: 0,
        };
        let plan = self.router.route(&view, &segment, self.now);
        assert!(black_box(plan).is_ok());
    }
}

fn bench_changes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change of one host");
    for hosts in [55, 136, 1_000, 10_000] {
        let mut changed = ChangedEntry::new(hosts);
        group.bench_function(format!("among {hosts}"), |bencher| {
            // One host of the first data centre, so that each patch follows the last one.
            bencher.iter(|| changed.change_host(0));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_changes(&mut criterion);
    criterion.final_summary();
}
