//! Hosts that say nothing: where an entry VM sends openings meanwhile.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use chestnutlb_core::load::UNRESPONSIVE_AFTER;
use chestnutlb_core::{HostLoad, PassthroughRouter, RoutingView, TimePoint};
use common::{data, passthrough_router, passthrough_view, syn};

const HOSTS: usize = 4;
const COPY_MS: u64 = 200;

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

struct Player {
    view: RoutingView,
    router: PassthroughRouter,
}

impl Player {
    fn new() -> Self {
        let view = passthrough_view(HOSTS);
        let router = passthrough_router(&view);
        Self { view, router }
    }

    fn open(&mut self, port: u16, at: u64) -> Vec<SocketAddrV4> {
        let plan = self.router.route(&self.view, &syn(port), TimePoint(at));
        plan.unwrap().hops
    }
}

#[test]
fn a_copy_goes_elsewhere_if_the_first_host_said_nothing() {
    let mut player = Player::new();
    let first = player.open(1, 1_000)[0];
    let copy = player.open(1, 1_000 + COPY_MS);
    assert_ne!(copy[0], first);
    assert!(copy.contains(&first), "it may still take the flow");
}

#[test]
fn a_copy_goes_to_the_first_host_if_that_has_reported() {
    let mut player = Player::new();
    let first = player.open(1, 1_000)[0];
    player.router.record_load(first, LOAD, TimePoint(1_050));
    assert_eq!(player.open(1, 1_000 + COPY_MS)[0], first);
}

#[test]
fn a_mute_host_is_asked_last_until_it_says_a_word() {
    let mut player = Player::new();
    let mute = player.open(1, 1_000)[0];
    let now = 1_000 + UNRESPONSIVE_AFTER.as_millis() as u64;
    for port in 2..20 {
        let hops = player.open(port, now);
        assert_eq!(hops.last(), Some(&mute));
        for host in &hops[..HOSTS - 1] {
            player.router.record_load(*host, LOAD, TimePoint(now));
        }
    }
    let walk = player
        .router
        .route(&player.view, &data(30, 700), TimePoint(now))
        .unwrap();
    assert_eq!(walk.hops.last(), Some(&mute));
    player.router.record_load(mute, LOAD, TimePoint(now));
    let firsts: BTreeSet<_> = (40..60).map(|port| player.open(port, now)[0]).collect();
    assert!(firsts.contains(&mute));
}
