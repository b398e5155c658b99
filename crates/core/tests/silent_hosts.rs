//! Routing of SYNs around hosts that are silent or unresponsive.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use chestnutlb_core::load::UNRESPONSIVE_AFTER;
use chestnutlb_core::{HostLoad, PassthroughRouter, RoutingView, TimePoint};
use common::{data, passthrough_router, passthrough_view, syn};

const HOSTS: usize = 4;
// Time between a caller's SYN and its first retransmission.
const RETRANSMISSION_MS: u64 = 200;

const LOAD: HostLoad = HostLoad {
    slots: 3,
    at_work: 0,
    busy_hundredths: 0,
    flows: 0,
    service_us: 20_000,
    failing_percent: 0,
    takes: true,
    cold: false,
};

struct RouterFixture {
    view: RoutingView,
    router: PassthroughRouter,
}

impl RouterFixture {
    fn new() -> Self {
        let view = passthrough_view(HOSTS);
        let router = passthrough_router(&view);
        Self { view, router }
    }

    fn route_syn(&mut self, port: u16, at: u64) -> Vec<SocketAddrV4> {
        let plan = self.router.route(&self.view, &syn(port), TimePoint(at));
        plan.unwrap().hops
    }
}

#[test]
fn retransmitted_syn_avoids_silent_first_host() {
    let mut fixture = RouterFixture::new();
    let first = fixture.route_syn(1, 1_000)[0];
    let retransmission_hops = fixture.route_syn(1, 1_000 + RETRANSMISSION_MS);
    assert_ne!(retransmission_hops[0], first);
    assert!(
        retransmission_hops.contains(&first),
        "the first host may still accept the flow"
    );
}

#[test]
fn retransmitted_syn_goes_to_first_host_that_reported() {
    let mut fixture = RouterFixture::new();
    let first = fixture.route_syn(1, 1_000)[0];
    fixture.router.record_load(first, LOAD, TimePoint(1_050));
    assert_eq!(fixture.route_syn(1, 1_000 + RETRANSMISSION_MS)[0], first);
}

#[test]
fn unresponsive_host_is_last_hop_until_it_reports() {
    let mut fixture = RouterFixture::new();
    let unresponsive = fixture.route_syn(1, 1_000)[0];
    let now = 1_000 + UNRESPONSIVE_AFTER.as_millis() as u64;
    for port in 2..20 {
        let hops = fixture.route_syn(port, now);
        assert_eq!(hops.last(), Some(&unresponsive));
        for host in &hops[..HOSTS - 1] {
            fixture.router.record_load(*host, LOAD, TimePoint(now));
        }
    }
    let walk = fixture
        .router
        .route(&fixture.view, &data(30, 700), TimePoint(now))
        .unwrap();
    assert_eq!(walk.hops.last(), Some(&unresponsive));
    fixture
        .router
        .record_load(unresponsive, LOAD, TimePoint(now));
    let first_hops: BTreeSet<_> = (40..60)
        .map(|port| fixture.route_syn(port, now)[0])
        .collect();
    assert!(first_hops.contains(&unresponsive));
}
