//! Explanations of where a SYN would go: they agree with the real decision, and change nothing.

mod common;

use std::num::NonZeroUsize;
use std::sync::Arc;

use chestnutlb_core::view::{PlacementLimits, RegistrationReach, ServiceView};
use chestnutlb_core::{
    DatacenterName, HostLoad, HostRecord, HostState, LeftOut, ObjectVersion, PassthroughRouter,
    RouteDrop, RoutingView, ServiceKind, TcpSegment, TimePoint,
};
use common::{SEED, host, key, syn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STATES: usize = 1_000;
const DATACENTERS: usize = 3;
const START_MS: u64 = 20_000;

fn datacenter(number: usize) -> DatacenterName {
    format!("honam-{number}").parse().unwrap()
}

fn record(number: usize, state: HostState) -> HostRecord {
    HostRecord {
        datacenter: datacenter(number % DATACENTERS),
        ..host(number, state)
    }
}

fn random_state(random: &mut StdRng) -> HostState {
    match random.random_range(0..10) {
        0 => HostState::Leaving,
        1 => HostState::Suspect,
        2 => HostState::Warming,
        _ => HostState::Serving,
    }
}

fn random_view(random: &mut StdRng) -> RoutingView {
    let hosts = random.random_range(0..30);
    let records: Vec<_> = (0..hosts)
        .map(|number| Arc::new(record(number, random_state(random))))
        .collect();
    let drained = (0..DATACENTERS).filter(|_| random.random_bool(0.2));
    let limits = PlacementLimits {
        drained: drained.map(datacenter).collect(),
        ..PlacementLimits::default()
    };
    let mut spec = common::spec();
    spec.kind = ServiceKind::Passthrough;
    let mut view = RoutingView::default();
    view.registration_reach = RegistrationReach::SomeEntries;
    view.drained = limits.drained.clone();
    let unlisted = records.iter().filter(|_| random.random_bool(0.1));
    view.unlisted_hosts = unlisted.map(|record| record.packets).collect();
    let service = ServiceView::build(Arc::new(spec), ObjectVersion(1), &records, &limits);
    view.put(service);
    view
}

fn random_load(random: &mut StdRng) -> HostLoad {
    HostLoad {
        slots: 3,
        at_work: random.random_range(0..12),
        busy_hundredths: random.random_range(0..300),
        flows: 0,
        service_us: random.random_range(0..90_000),
        failing_percent: random.random_range(0..20),
        takes: random.random_bool(0.9),
        cold: random.random_bool(0.1),
    }
}

fn random_syn(random: &mut StdRng) -> TcpSegment {
    TcpSegment {
        syn_copies: random.random_range(0..3),
        ..syn(random.random_range(1..200))
    }
}

// Two routers with the same history. One of them is asked before each decision.
fn routers(view: &RoutingView) -> [PassthroughRouter; 2] {
    [(); 2].map(|()| {
        let limit = NonZeroUsize::new(64).unwrap();
        let mut router = PassthroughRouter::new(datacenter(0), limit);
        router.update_view(view, TimePoint(0));
        router.record_freshness(true, TimePoint(0));
        router
    })
}

#[test]
fn explanation_agrees_with_the_decision_and_changes_no_later_one() {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    let (mut refusable, mut dropped) = (0, 0);
    for state in 0..STATES {
        let view = random_view(&mut random);
        let [mut asked, mut unasked] = routers(&view);
        let service = view.service(&common::spec().id).unwrap();
        let hosts = service.hosts();
        let mut now = START_MS;
        for _ in 0..20 {
            now += random.random_range(0..400);
            for host in hosts {
                let load = random_load(&mut random);
                if !random.random_bool(0.2) {
                    continue;
                }
                for router in [&mut asked, &mut unasked] {
                    router.record_load(host.record.packets, load, TimePoint(now));
                }
            }
            let segment = random_syn(&mut random);
            let at = TimePoint(now);
            let explained = asked.explain_opening(&view, &segment, at).unwrap();
            assert_eq!(
                asked.explain_opening(&view, &segment, at).unwrap(),
                explained
            );
            let plan = asked.route(&view, &segment, at);
            assert_eq!(explained.plan, plan, "state {state}");
            assert_eq!(unasked.route(&view, &segment, at), plan, "state {state}");
            refusable += usize::from(plan.as_ref().is_ok_and(|plan| plan.complete));
            dropped += usize::from(plan.is_err());
        }
    }
    assert!(refusable > 100 && dropped > 100, "{refusable}, {dropped}");
}

#[test]
fn candidates_come_by_cost_with_reasons_for_those_left_out() {
    let states = [
        HostState::Serving,
        HostState::Serving,
        HostState::Leaving,
        HostState::Serving,
    ];
    let records: Vec<_> = (0..4)
        .map(|number| Arc::new(record(number, states[number])))
        .collect();
    let limits = PlacementLimits {
        drained: [datacenter(1)].into(),
        ..PlacementLimits::default()
    };
    let mut spec = common::spec();
    spec.kind = ServiceKind::Passthrough;
    let mut view = RoutingView::default();
    view.put(ServiceView::build(
        Arc::new(spec),
        ObjectVersion(1),
        &records,
        &limits,
    ));
    let [mut router, _] = routers(&view);
    let busy = HostLoad {
        slots: 3,
        at_work: 5,
        busy_hundredths: 300,
        flows: 5,
        service_us: 20_000,
        failing_percent: 0,
        takes: true,
        cold: false,
    };
    router.record_load(records[0].packets, busy, TimePoint(START_MS));
    let at = TimePoint(START_MS + 50);
    let explained = router.explain_opening(&view, &syn(1), at).unwrap();
    let left_out: Vec<_> = explained
        .candidates
        .iter()
        .map(|candidate| (candidate.name.to_string(), candidate.left_out))
        .collect();
    let expected = [
        ("host-3".to_owned(), None),
        ("host-0".to_owned(), None),
        ("host-1".to_owned(), Some(LeftOut::Drained)),
        ("host-2".to_owned(), Some(LeftOut::State)),
    ];
    assert_eq!(left_out, expected);
    let (load, age) = explained.candidates[1].report.unwrap();
    assert_eq!((load, age.as_millis()), (busy, 50));
    assert_eq!(explained.plan.unwrap().hops.len(), 2);
}

#[test]
fn unknown_address_has_no_explanation() {
    let view = RoutingView::default();
    let [router, _] = routers(&view);
    let explained = router.explain_opening(&view, &syn(1), TimePoint(START_MS));
    assert_eq!(explained, Err(RouteDrop::NoService));
    assert_eq!(syn(1).key, key(1));
}
