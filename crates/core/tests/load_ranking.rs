//! Placing of openings under the load of the users' heaviest days, in virtual
//! time: seven hosts of unlike speed with three slots and a queue of twelve each,
//! reports every 100 ms, callers that want their answer within 150 ms.
//!
//! The shipped ranking is compared with simple policies in one run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddrV4;

use chestnutlb_core::load::RankingInput;
use chestnutlb_core::{DatacenterName, HostLoad, LoadTable, TimePoint};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 3;
const QUEUE: usize = 12;
const REPORT_MS: u64 = 100;
const AIM_MS: u64 = 150;
const RUN_MS: u64 = 60_000;
/// How long the same work takes at each host, relative to an ordinary one.
const SLOWNESS: [f64; 7] = [1.4, 1.4, 0.6, 1.4, 1.4, 0.6, 1.4];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    PlainHash,
    RoundRobin,
    LeastFlows,
    LeastWork,
    PowerOfTwo,
    Shipped,
}

#[derive(Debug, Default)]
struct Host {
    running: usize,
    waiting: VecDeque<(u64, f64)>,
    opened: usize,
    service_ms: f64,
}

impl Host {
    fn at_work(&self) -> usize {
        self.running + self.waiting.len()
    }

    fn report(&self) -> HostLoad {
        HostLoad {
            slots: SLOTS as u16,
            at_work: self.at_work() as u16,
            busy_hundredths: (self.running * 100) as u16,
            flows: 0,
            service_us: (self.service_ms * 1000.0) as u32,
            failing_percent: 0,
            takes: true,
            cold: false,
        }
    }
}

#[derive(Debug, Default)]
struct Result {
    asked: usize,
    in_aim: usize,
    shed: usize,
    latencies: Vec<u64>,
}

fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host as u8].into(), 7000)
}

// Times in microseconds.
fn play(policy: Policy, per_second: f64, seed: u64) -> Result {
    let here: DatacenterName = "honam-1".parse().unwrap();
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = SLOWNESS.iter().map(|_| Host::default()).collect();
    let mut loads = LoadTable::default();
    let mut ends: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let mut seen: Vec<usize> = vec![0; hosts.len()];
    let mut result = Result::default();
    let (mut now, mut report_due, mut turn) = (0_u64, 0_u64, 0_usize);
    while now < RUN_MS * 1000 {
        let gap: f64 = -(1.0 - random.random::<f64>()).ln() / per_second;
        now += (gap * 1e6) as u64;
        while let Some(Reverse((end, host, began))) = ends.peek().copied() {
            if end > now {
                break;
            }
            ends.pop();
            result.latencies.push(end - began);
            finish(&mut hosts[host], host, end, &mut ends);
        }
        while report_due <= now {
            for (index, host) in hosts.iter().enumerate() {
                loads.record_report(address(index), host.report(), TimePoint(report_due / 1000));
                seen[index] = host.at_work();
            }
            report_due += REPORT_MS * 1000;
        }
        let at = TimePoint(now / 1000);
        let least = |values: &dyn Fn(usize) -> f64, among: &[usize]| {
            let mut best = among.to_vec();
            best.sort_by(|host, other| values(*host).total_cmp(&values(*other)));
            best[0]
        };
        let all: Vec<usize> = (0..hosts.len()).collect();
        turn += 1;
        let chosen = match policy {
            Policy::PlainHash => random.random_range(0..hosts.len()),
            Policy::RoundRobin => turn % hosts.len(),
            Policy::LeastFlows => least(&|host| hosts[host].opened as f64, &all),
            Policy::LeastWork => least(&|host| seen[host] as f64, &all),
            Policy::PowerOfTwo => {
                let two = [
                    random.random_range(0..hosts.len()),
                    random.random_range(0..hosts.len()),
                ];
                least(&|host| seen[host] as f64, &two)
            }
            Policy::Shipped => {
                let cost = |host: usize| {
                    let place = RankingInput {
                        packets: address(host),
                        datacenter: &here,
                        cold: false,
                    };
                    loads.cost(&place, &here, at)
                };
                least(&cost, &all)
            }
        };
        loads.record_placement(address(chosen), at);
        result.asked += 1;
        hosts[chosen].opened += 1;
        let tail = if random.random_bool(0.03) { 7.0 } else { 1.0 };
        let work = 25.0 * random.random_range(0.5..1.5) * tail;
        arrive(
            &mut hosts[chosen],
            chosen,
            now,
            work,
            &mut ends,
            &mut result,
        );
    }
    result.in_aim = result
        .latencies
        .iter()
        .filter(|latency| **latency <= AIM_MS * 1000)
        .count();
    result
}

fn arrive(
    host: &mut Host,
    index: usize,
    now: u64,
    work: f64,
    ends: &mut BinaryHeap<Reverse<(u64, usize, u64)>>,
    result: &mut Result,
) {
    if host.running < SLOTS {
        let service = work * SLOWNESS[index];
        host.service_ms = if host.service_ms == 0.0 {
            service
        } else {
            host.service_ms * 0.9 + service * 0.1
        };
        host.running += 1;
        ends.push(Reverse((now + (service * 1000.0) as u64, index, now)));
    } else if host.waiting.len() < QUEUE {
        host.waiting.push_back((now, work));
    } else {
        result.shed += 1;
    }
}

fn finish(
    host: &mut Host,
    index: usize,
    now: u64,
    ends: &mut BinaryHeap<Reverse<(u64, usize, u64)>>,
) {
    host.running -= 1;
    if let Some((began, work)) = host.waiting.pop_front() {
        host.running += 1;
        let service = work * SLOWNESS[index];
        ends.push(Reverse((now + (service * 1000.0) as u64, index, began)));
    }
}

fn share(result: &Result) -> f64 {
    result.in_aim as f64 / result.asked as f64
}

fn describe(policy: Policy, result: &mut Result) -> String {
    result.latencies.sort_unstable();
    let quantile = |share: f64| {
        let index = ((result.latencies.len() - 1) as f64 * share) as usize;
        result.latencies[index] / 1000
    };
    format!(
        "{policy:?}: in aim {:.3}, shed {:.3}, p50 {} ms, p99 {} ms",
        share(result),
        result.shed as f64 / result.asked as f64,
        quantile(0.5),
        quantile(0.99),
    )
}

#[test]
fn callers_get_more_than_by_simple_policies() {
    let baselines = [
        Policy::PlainHash,
        Policy::RoundRobin,
        Policy::LeastFlows,
        Policy::LeastWork,
        Policy::PowerOfTwo,
    ];
    let mut lines = Vec::new();
    // Capacity is some 730 a second: half of it, a crest, and all of it.
    for per_second in [350.0, 520.0, 700.0] {
        let mut shipped = play(Policy::Shipped, per_second, 7);
        lines.push(format!("{per_second} a second"));
        for policy in baselines {
            let mut result = play(policy, per_second, 7);
            assert!(
                share(&shipped) >= share(&result),
                "{policy:?} is better at {per_second}"
            );
            lines.push(describe(policy, &mut result));
        }
        lines.push(describe(Policy::Shipped, &mut shipped));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_host_that_fails_at_once_draws_no_callers() {
    let here: DatacenterName = "honam-1".parse().unwrap();
    let now = TimePoint(1_000);
    let mut loads = LoadTable::default();
    let report = |service_us: u32, at_work: u16, failing_percent: u8| HostLoad {
        at_work,
        service_us,
        failing_percent,
        ..Host::default().report()
    };
    for host in 0..4 {
        loads.record_report(address(host), report(22_000, 5, 0), now);
    }
    loads.record_report(address(4), report(3_000, 0, 90), now);
    let cost = |host: usize| {
        let place = RankingInput {
            packets: address(host),
            datacenter: &here,
            cold: false,
        };
        loads.cost(&place, &here, now)
    };
    assert!((0..4).all(|host| cost(host) < cost(4)));
}
