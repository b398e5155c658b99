//! A service with hosts in five data centres, under a load of all of them: how many callers are
//! served in time, and by hosts of which data centre. A third of the hosts is slow.

mod common;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::sync::Arc;

use chestnutlb_core::view::{PlacementLimits, RegistrationReach, ServiceView};
use chestnutlb_core::{
    DatacenterName, FlowKey, HostLoad, HostRecord, HostState, ObjectVersion, PassthroughRouter,
    RoutingView, ServiceKind, TcpSegment, TimePoint,
};

use common::{SEED, host, syn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DATACENTERS: usize = 5;
const HOSTS_PER_DATACENTER: usize = 22;
const SLOTS: usize = 2;
const SERVICE_MS: u64 = 20;
/// Service time of the slow third.
const SLOW_SERVICE_MS: u64 = 34;
const TARGET_MS: u64 = 120;
const REPORT_MS: u64 = 100;
const RUN_MS: u64 = 10_000;
const START_MS: u64 = 1_000;
const MAX_CALLERS_PER_MS: usize = 4;

// When each slot of a host becomes free.
#[derive(Debug, Clone, Copy)]
struct Host {
    free_at: [u64; SLOTS],
    service_ms: u64,
}

impl Host {
    // Serves a request that arrives now. Returns its end.
    fn serve(&mut self, now: u64) -> u64 {
        let slot = self.free_at.iter_mut().min().unwrap();
        *slot = now.max(*slot) + self.service_ms;
        *slot
    }

    fn report(&self, now: u64) -> HostLoad {
        let waiting_ms: u64 = self.free_at.iter().map(|at| at.saturating_sub(now)).sum();
        let at_work = waiting_ms.div_ceil(self.service_ms) as u16;
        HostLoad {
            slots: SLOTS as u16,
            at_work,
            busy_hundredths: at_work.min(SLOTS as u16) * 100,
            flows: at_work,
            service_us: self.service_ms as u32 * 1_000,
            failing_percent: 0,
            takes: true,
            cold: false,
        }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    in_target: usize,
    near: usize,
}

fn datacenter(number: usize) -> DatacenterName {
    format!("honam-{number}").parse().unwrap()
}

fn record(number: usize) -> HostRecord {
    HostRecord {
        datacenter: datacenter(number % DATACENTERS),
        ..host(number, HostState::Serving)
    }
}

fn view() -> RoutingView {
    let records: Vec<_> = (0..DATACENTERS * HOSTS_PER_DATACENTER)
        .map(|number| Arc::new(record(number)))
        .collect();
    let mut spec = common::spec();
    spec.kind = ServiceKind::Passthrough;
    let mut view = RoutingView::default();
    view.registration_reach = RegistrationReach::SomeEntries;
    let version = ObjectVersion(1);
    view.put(ServiceView::build(
        Arc::new(spec),
        version,
        &records,
        &PlacementLimits::default(),
    ));
    view
}

fn router(view: &RoutingView, number: usize) -> PassthroughRouter {
    let limit = NonZeroUsize::new(10_000).unwrap();
    let mut router = PassthroughRouter::new(datacenter(number), limit);
    router.update_view(view, TimePoint(0));
    router.record_freshness(true, TimePoint(0));
    router
}

// Plays callers of each data centre, so many a second, through an entry VM of it. Each opens a
// flow for one request, which the first host of the plan serves.
fn play(per_second: [f64; DATACENTERS]) -> Outcome {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    let view = view();
    let mut routers: Vec<_> = (0..DATACENTERS).map(|group| router(&view, group)).collect();
    let mut hosts: HashMap<SocketAddrV4, (usize, Host)> = HashMap::new();
    for number in 0..DATACENTERS * HOSTS_PER_DATACENTER {
        let service_ms = if number % 3 == 0 {
            SLOW_SERVICE_MS
        } else {
            SERVICE_MS
        };
        let free_at = [0; SLOTS];
        let host = Host {
            free_at,
            service_ms,
        };
        hosts.insert(record(number).packets, (number % DATACENTERS, host));
    }
    let mut outcome = Outcome::default();
    for now in START_MS..START_MS + RUN_MS {
        if now.is_multiple_of(REPORT_MS) {
            for (address, (_, host)) in &hosts {
                for router in &mut routers {
                    router.record_load(*address, host.report(now), TimePoint(now));
                }
            }
        }
        for turn in 0..DATACENTERS * MAX_CALLERS_PER_MS {
            let group = turn % DATACENTERS;
            if !random.random_bool(per_second[group] / (1_000 * MAX_CALLERS_PER_MS) as f64) {
                continue;
            }
            let router = &mut routers[group];
            let segment = TcpSegment {
                key: FlowKey {
                    caller: SocketAddrV4::new(random.random::<u32>().into(), 1),
                    ..syn(1).key
                },
                ..syn(1)
            };
            let plan = router.route(&view, &segment, TimePoint(now)).unwrap();
            let (location, host) = hosts.get_mut(&plan.hops[0]).unwrap();
            outcome.requests += 1;
            outcome.near += usize::from(*location == group);
            outcome.in_target += usize::from(host.serve(now) - now <= TARGET_MS);
        }
    }
    outcome
}

#[test]
fn callers_are_served_near_while_near_hosts_have_room() {
    let outcome = play([250.0; DATACENTERS]);
    assert!(outcome.near * 100 >= outcome.requests * 95, "{outcome:?}");
    assert!(
        outcome.in_target * 100 >= outcome.requests * 99,
        "{outcome:?}"
    );
}

// The hosts of a data centre can serve some 1,800 requests a second, all five 9,000.
#[test]
fn callers_of_a_crowded_data_centre_are_served_by_others() {
    let outcome = play([2_500.0, 250.0, 250.0, 250.0, 250.0]);
    assert!(outcome.near * 100 <= outcome.requests * 90, "{outcome:?}");
    assert!(
        outcome.in_target * 100 >= outcome.requests * 99,
        "{outcome:?}"
    );
}
