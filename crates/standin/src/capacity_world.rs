//! A generated fleet in the proportions of the target: firms, services, hosts and
//! entry VMs, and the control part of one entry VM loaded with them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use rand::Rng;
use rand::rngs::StdRng;

use chestnutlb_core::{
    ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, EntryRecord, FirmManifest,
    FlowKey, HostRecord, HostState, HostWeight, Incarnation, ObjectVersion, TcpSegment, TimePoint,
};
use chestnutlb_wire::manifest::shared_services;
use chestnutlb_wire::{WireManifest, parse_json};

use crate::capacity_tables::target;

/// Number of firms that own the services. The target size sets no number of firms.
const FIRMS: usize = 200;

// Returns the address that lies `number` addresses after 10.0.0.0, with this port.
pub(crate) fn address(number: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), port)
}

// Returns the number of services for a number of hosts, in the proportion of the target:
// 43,000 hosts on 19,000 addresses.
pub(crate) fn service_count(hosts: usize) -> usize {
    (hosts as f64 * target::ADDRESSES / target::HOSTS) as usize
}

// Returns the name of the firm that owns a service.
pub(crate) fn firm_name(service: usize) -> String {
    format!("firm-{}", service % FIRMS)
}

// Returns the manifests of the firms, with the services assigned to the firms in turn.
pub(crate) fn manifests(services: usize) -> Vec<FirmManifest> {
    (0..FIRMS.min(services))
        .map(|firm| {
            let specs: Vec<_> = (firm..services)
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
            let text = serde_json::json!({"firm": firm_name(firm), "services": specs}).to_string();
            let wire: WireManifest = parse_json(&text).unwrap_or_else(|error| panic!("{error}"));
            FirmManifest::try_from(&wire).unwrap_or_else(|error| panic!("{error}"))
        })
        .collect()
}

// Returns the record of a serving host; `services` is the number of services of the fleet.
pub(crate) fn host_record(number: usize, services: usize) -> HostRecord {
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
        held_buckets: Vec::new(),
    }
}

// Returns the record of an entry VM.
pub(crate) fn entry_record(number: usize) -> EntryRecord {
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

// Loads a document at version 1 into the control part.
pub(crate) fn load_document(
    control: &mut EntryControl,
    kind: DocumentKind,
    name: &str,
    items: Vec<DocumentItem>,
) {
    let event = ControlEvent::Loaded {
        id: DocumentId::new(kind, name),
        version: ObjectVersion(1),
        items,
    };
    control.handle(event, TimePoint(0));
}

// Returns the control part of an entry VM with `hosts` hosts, their services and `entries`
// entry VMs loaded.
pub(crate) fn loaded_control(hosts: usize, entries: usize) -> EntryControl {
    let services = service_count(hosts);
    let mut control = EntryControl::new(entry_record(0), Vec::new(), 1, TimePoint(0));
    let mut members: BTreeMap<String, Vec<DocumentItem>> = BTreeMap::new();
    for number in 0..entries {
        let record = entry_record(number);
        members
            .entry(record.datacenter.to_string())
            .or_default()
            .push(DocumentItem::Entry(record));
    }
    for (name, items) in members {
        load_document(&mut control, DocumentKind::Members, &name, items);
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
    load_document(&mut control, DocumentKind::Grants, "all", grants.collect());
    let mut rosters: BTreeMap<String, Vec<DocumentItem>> = BTreeMap::new();
    for number in 0..hosts {
        let record = host_record(number, services);
        rosters
            .entry(record.datacenter.to_string())
            .or_default()
            .push(DocumentItem::Host(Arc::new(record)));
    }
    for (name, items) in rosters {
        load_document(&mut control, DocumentKind::Roster, &name, items);
    }
    for manifest in manifests(services) {
        let firm = manifest.firm.to_string();
        let items = shared_services(manifest)
            .into_iter()
            .map(DocumentItem::Service)
            .collect();
        load_document(&mut control, DocumentKind::Manifest, &firm, items);
    }
    control
}

// Returns a segment with a payload of 100 bytes, from a random caller to a random service.
pub(crate) fn random_segment(random: &mut StdRng, services: usize, is_syn: bool) -> TcpSegment {
    TcpSegment {
        key: FlowKey {
            caller: address(random.random_range(0..1 << 24), random.random()),
            service: address(random.random_range(0..services), 7000),
        },
        is_syn,
        is_syn_ack: false,
        syn_copies: 0,
        is_fin: false,
        is_rst: false,
        sequence: 1,
        acknowledgement: (!is_syn).then_some(1),
        payload: 100,
    }
}
