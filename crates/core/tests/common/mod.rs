//! Helpers shared by the tests of this crate.

#![allow(dead_code)]

pub mod entry_run;
pub mod fleet;

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::manifest::{HostLimits, ServiceTiming};
use chestnutlb_core::view::{PlacementLimits, RegistrationReach, ServiceView};
use chestnutlb_core::{
    ByteCount, EntryRecord, FlowKey, HostRecord, HostState, HostWeight, Incarnation, ObjectVersion,
    PassthroughRouter, PercentShare, RequestClass, RouteRule, RoutingView, ServiceKind,
    ServiceSpec, TcpSegment, TimePoint,
};
use quickcheck::{Gen, QuickCheck};

/// Seed of all property tests, fixed so that a failure can be reproduced.
pub const SEED: u64 = 20_261_204;
const GEN_SIZE: usize = 60;
const TEST_CASES: u64 = 300;

/// Returns a runner for property tests with the fixed seed.
pub fn quickcheck() -> QuickCheck {
    println!("quickcheck seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TEST_CASES)
}

pub fn host(number: usize, state: HostState) -> HostRecord {
    HostRecord {
        name: format!("host-{number}").parse().unwrap(),
        service: "dalbit/catalogue".parse().unwrap(),
        datacenter: "honam-1".parse().unwrap(),
        packets: format!("10.1.0.{}:9000", number % 250 + 1).parse().unwrap(),
        relays: format!("10.1.0.{}:9001", number % 250 + 1).parse().unwrap(),
        incarnation: Incarnation(1000 + number as u64),
        weight: HostWeight::ORDINARY,
        state,
        held_buckets: Vec::new(),
    }
}

pub fn entry(number: usize, datacenter: &str) -> EntryRecord {
    EntryRecord {
        name: format!("entry-{number}").parse().unwrap(),
        datacenter: datacenter.parse().unwrap(),
        peers: format!("10.2.0.{}:9002", number % 250 + 1).parse().unwrap(),
        status: format!("10.2.0.{}:9003", number % 250 + 1).parse().unwrap(),
        incarnation: Incarnation(5000 + number as u64),
    }
}

/// Returns the key of a flow from this caller port to the service of [`spec`].
pub fn key(port: u16) -> FlowKey {
    FlowKey {
        caller: format!("10.9.0.1:{port}").parse().unwrap(),
        service: "10.20.0.1:7000".parse().unwrap(),
    }
}

pub fn syn(port: u16) -> TcpSegment {
    TcpSegment {
        key: key(port),
        is_syn: true,
        is_syn_ack: false,
        syn_copies: 0,
        is_fin: false,
        is_rst: false,
        sequence: 1,
        acknowledgement: None,
        payload: 0,
    }
}

/// Returns a segment with 10 bytes of data and this acknowledgement number.
pub fn data(port: u16, acknowledgement: u32) -> TcpSegment {
    TcpSegment {
        is_syn: false,
        acknowledgement: Some(acknowledgement),
        payload: 10,
        ..syn(port)
    }
}

/// Returns a stream service.
pub fn spec() -> ServiceSpec {
    ServiceSpec {
        id: "dalbit/catalogue".parse().unwrap(),
        kind: ServiceKind::Stream,
        address: key(1).service,
        aliases: Vec::new(),
        datacenters: vec!["honam-1".parse().unwrap()],
        limits: HostLimits {
            slots: 3,
            queue: 10,
            flows: 100,
            head: ByteCount(1024),
            body: ByteCount(1024),
            cold: None,
            learns_capacity: false,
        },
        timing: ServiceTiming {
            drain_grace: Duration::from_secs(1),
            warm_up: Duration::from_secs(1),
            receive: Duration::from_secs(1),
        },
        eject_limit: PercentShare::new(50).unwrap(),
        rules: Vec::new(),
        fallback: RouteRule {
            method: None,
            path_prefix: "/".into(),
            class: RequestClass::Short,
            repeatable: false,
            deadline: Duration::from_secs(1),
        },
    }
}

/// Returns a view of one passthrough service with this number of serving hosts.
pub fn passthrough_view(hosts: usize) -> RoutingView {
    let records: Vec<_> = (0..hosts)
        .map(|number| host(number, HostState::Serving))
        .collect();
    let mut view = RoutingView::default();
    view.registration_reach = RegistrationReach::AllEntries;
    put_passthrough(&mut view, spec(), records);
    view
}

/// Adds a passthrough service to the view.
pub fn put_passthrough(view: &mut RoutingView, mut spec: ServiceSpec, hosts: Vec<HostRecord>) {
    spec.kind = ServiceKind::Passthrough;
    let records: Vec<_> = hosts.into_iter().map(Arc::new).collect();
    view.put(ServiceView::build(
        Arc::new(spec),
        ObjectVersion(1),
        &records,
        &PlacementLimits::default(),
    ));
}

/// Returns a router that received the view at time zero, when the platform confirmed it.
pub fn settled_router(view: &RoutingView) -> PassthroughRouter {
    let mut router = passthrough_router(view);
    router.record_freshness(true, TimePoint(0));
    router
}

/// Returns a router that received the view at time zero.
pub fn passthrough_router(view: &RoutingView) -> PassthroughRouter {
    let limit = NonZeroUsize::new(64).unwrap();
    let mut router = PassthroughRouter::new("honam-1".parse().unwrap(), limit);
    router.update_view(view, TimePoint(0));
    router
}
