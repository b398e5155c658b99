//! A service of more hosts than a packet visits, some or all of which are full: what its callers
//! get for their SYNs.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use chestnutlb_core::opening_rules::KnownColdLimit;
use chestnutlb_core::{
    BackendInfo, PassthroughArrival, PassthroughFlows, PassthroughPlan, PassthroughRouter,
    PassthroughVerdict, RoutingView, TcpSegment, TimePoint,
};
use common::{passthrough_view, settled_router, syn};

const HOSTS: usize = 100;
const SLOTS: u16 = 2;
/// Times of a caller's SYNs after the first. A caller without a reply to any of them waits for
/// its timeout.
const COPIES_MS: [u64; 3] = [0, 200, 600];
/// Later than the time in which a new service address is not refused.
const START_MS: u64 = 20_000;
const CALLERS: u16 = 400;
const BACKEND: BackendInfo = BackendInfo {
    accepts_flows: true,
    slots: SLOTS,
    flow_limit: 2_000,
    cold: false,
    cold_limit: KnownColdLimit::Unlimited,
    observed_from_start: true,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    /// A host opened the flow at this copy of the SYN.
    Opened(usize),
    /// The caller was refused at this copy.
    Refused(usize),
    None,
}

struct Service {
    view: RoutingView,
    router: PassthroughRouter,
    hosts: HashMap<SocketAddrV4, PassthroughFlows>,
}

impl Service {
    // Starts a service. Hosts for which `is_full` holds have no room for flows.
    fn start(is_full: impl Fn(usize) -> bool) -> Self {
        let view = passthrough_view(HOSTS);
        let mut hosts = HashMap::new();
        for number in 0..HOSTS {
            let mut flows = PassthroughFlows::new(Duration::from_secs(60), TimePoint(0));
            if is_full(number) {
                fill(&mut flows);
            }
            let record = common::host(number, chestnutlb_core::HostState::Serving);
            hosts.insert(record.packets, flows);
        }
        let router = settled_router(&view);
        Self {
            view,
            router,
            hosts,
        }
    }

    // Plays the SYNs of one caller, who sees no entry VM twice if `changes_entry`.
    fn call(&mut self, port: u16, changes_entry: bool) -> Answer {
        for (copies, delay) in COPIES_MS.into_iter().enumerate() {
            if changes_entry {
                self.router = settled_router(&self.view);
            }
            let segment = TcpSegment {
                syn_copies: copies as u32,
                ..syn(port)
            };
            let now = TimePoint(START_MS + delay);
            let Ok(plan) = self.router.route(&self.view, &segment, now) else {
                continue;
            };
            match self.walk(&plan, &segment, now) {
                PassthroughVerdict::Open => return Answer::Opened(copies),
                PassthroughVerdict::Refuse => return Answer::Refused(copies),
                _ => {}
            }
        }
        Answer::None
    }

    fn walk(
        &mut self,
        plan: &PassthroughPlan,
        segment: &TcpSegment,
        now: TimePoint,
    ) -> PassthroughVerdict {
        let mut verdict = PassthroughVerdict::NoNextHop;
        for (position, hop) in plan.hops.iter().enumerate() {
            let arrival = PassthroughArrival {
                more_hops: position + 1 < plan.hops.len(),
                complete: plan.complete,
            };
            let flows = self.hosts.get_mut(hop).unwrap();
            verdict = flows.judge(segment, arrival, &BACKEND, now);
            if verdict != PassthroughVerdict::NextHop {
                break;
            }
        }
        verdict
    }

    fn answers(&mut self, changes_entry: bool) -> BTreeMap<Answer, usize> {
        let mut answers = BTreeMap::new();
        for port in 1..=CALLERS {
            *answers.entry(self.call(port, changes_entry)).or_default() += 1;
        }
        answers
    }
}

// Opens flows whose requests are in progress until the queue has no room at the last hop either.
fn fill(flows: &mut PassthroughFlows) {
    for port in 0..4 * SLOTS {
        let segment = syn(40_000 + port);
        flows.record_delivered(&segment, &BACKEND, TimePoint(START_MS));
    }
}

#[test]
fn caller_is_refused_if_all_hosts_of_a_large_service_are_full() {
    for changes_entry in [false, true] {
        let mut service = Service::start(|_| true);
        let expected = BTreeMap::from([(Answer::Refused(2), usize::from(CALLERS))]);
        assert_eq!(service.answers(changes_entry), expected);
    }
}

#[test]
fn caller_whose_candidates_are_full_is_served_by_other_hosts() {
    // All candidates of one caller in a hundred.
    let is_full = |number: usize| number % 10 < 6;
    let mut service = Service::start(is_full);
    let answers = service.answers(false);
    let unserved: usize = answers
        .iter()
        .filter(|(answer, _)| !matches!(answer, Answer::Opened(_)))
        .map(|(_, count)| count)
        .sum();
    assert_eq!(unserved, 0, "{answers:?}");
    assert!(answers.contains_key(&Answer::Opened(1)), "{answers:?}");
}

#[test]
fn all_entry_vms_try_the_same_hosts_for_copies_of_a_syn() {
    let mut service = Service::start(|_| true);
    let hosts_of = |router: &mut PassthroughRouter, view: &RoutingView, copies: u32| {
        let segment = TcpSegment {
            syn_copies: copies,
            ..syn(7)
        };
        let mut hosts = router
            .route(view, &segment, TimePoint(START_MS))
            .unwrap()
            .hops;
        hosts.sort_unstable();
        hosts
    };
    let mut other = settled_router(&service.view);
    hosts_of(&mut service.router, &service.view, 0);
    let hosts = hosts_of(&mut service.router, &service.view, 1);
    assert_eq!(hosts, hosts_of(&mut other, &service.view, 2));
    assert!(hosts.len() > 8);
}
