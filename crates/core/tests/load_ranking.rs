//! Ranking of hosts for new flows, simulated in virtual time under a load like that of
//! the users' busiest days: seven hosts of unequal speed with three slots and a queue of
//! twelve each, reports every 100 ms, and callers that need a response within 150 ms.
//!
//! The shipped ranking is compared with simple policies under the same load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddrV4;

use chestnutlb_core::load::RankingInput;
use chestnutlb_core::{DatacenterName, HostLoad, LoadTable, TimePoint};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 3;
const QUEUE_LIMIT: usize = 12;
const REPORT_MS: u64 = 100;
const TARGET_MS: u64 = 150;
const RUN_MS: u64 = 60_000;
/// Service time of the same request at each host, relative to an ordinary host.
const RELATIVE_SERVICE_TIME: [f64; 7] = [1.4, 1.4, 0.6, 1.4, 1.4, 0.6, 1.4];

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
    flows_placed: usize,
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
struct SimulationResult {
    requests: usize,
    within_target: usize,
    shed: usize,
    latencies: Vec<u64>,
}

fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host as u8].into(), 7000)
}

// Sends requests to the hosts that the policy chooses. Times are in microseconds.
fn simulate(policy: Policy, per_second: f64, seed: u64) -> SimulationResult {
    let local_datacenter: DatacenterName = "honam-1".parse().unwrap();
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = RELATIVE_SERVICE_TIME
        .iter()
        .map(|_| Host::default())
        .collect();
    let mut loads = LoadTable::default();
    let mut completions: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    let mut reported_at_work: Vec<usize> = vec![0; hosts.len()];
    let mut result = SimulationResult::default();
    let (mut now, mut report_due, mut turn) = (0_u64, 0_u64, 0_usize);
    while now < RUN_MS * 1000 {
        let interval: f64 = -(1.0 - random.random::<f64>()).ln() / per_second;
        now += (interval * 1e6) as u64;
        while let Some(Reverse((end, host, arrived_at))) = completions.peek().copied() {
            if end > now {
                break;
            }
            completions.pop();
            result.latencies.push(end - arrived_at);
            finish(&mut hosts[host], host, end, &mut completions);
        }
        while report_due <= now {
            for (index, host) in hosts.iter().enumerate() {
                loads.record_report(address(index), host.report(), TimePoint(report_due / 1000));
                reported_at_work[index] = host.at_work();
            }
            report_due += REPORT_MS * 1000;
        }
        let now_point = TimePoint(now / 1000);
        let argmin = |values: &dyn Fn(usize) -> f64, candidates: &[usize]| {
            let mut sorted = candidates.to_vec();
            sorted.sort_by(|host, other| values(*host).total_cmp(&values(*other)));
            sorted[0]
        };
        let all_hosts: Vec<usize> = (0..hosts.len()).collect();
        turn += 1;
        let chosen = match policy {
            Policy::PlainHash => random.random_range(0..hosts.len()),
            Policy::RoundRobin => turn % hosts.len(),
            Policy::LeastFlows => argmin(&|host| hosts[host].flows_placed as f64, &all_hosts),
            Policy::LeastWork => argmin(&|host| reported_at_work[host] as f64, &all_hosts),
            Policy::PowerOfTwo => {
                let pair = [
                    random.random_range(0..hosts.len()),
                    random.random_range(0..hosts.len()),
                ];
                argmin(&|host| reported_at_work[host] as f64, &pair)
            }
            Policy::Shipped => {
                let cost = |host: usize| {
                    let input = RankingInput {
                        packets: address(host),
                        datacenter: &local_datacenter,
                        cold: false,
                    };
                    loads.cost(&input, &local_datacenter, now_point)
                };
                argmin(&cost, &all_hosts)
            }
        };
        loads.record_placement(address(chosen), now_point);
        result.requests += 1;
        hosts[chosen].flows_placed += 1;
        let tail_factor = if random.random_bool(0.03) { 7.0 } else { 1.0 };
        let work_ms = 25.0 * random.random_range(0.5..1.5) * tail_factor;
        arrive(
            &mut hosts[chosen],
            chosen,
            now,
            work_ms,
            &mut completions,
            &mut result,
        );
    }
    result.within_target = result
        .latencies
        .iter()
        .filter(|latency| **latency <= TARGET_MS * 1000)
        .count();
    result
}

fn arrive(
    host: &mut Host,
    index: usize,
    now: u64,
    work_ms: f64,
    completions: &mut BinaryHeap<Reverse<(u64, usize, u64)>>,
    result: &mut SimulationResult,
) {
    if host.running < SLOTS {
        let service = work_ms * RELATIVE_SERVICE_TIME[index];
        host.service_ms = if host.service_ms == 0.0 {
            service
        } else {
            host.service_ms * 0.9 + service * 0.1
        };
        host.running += 1;
        completions.push(Reverse((now + (service * 1000.0) as u64, index, now)));
    } else if host.waiting.len() < QUEUE_LIMIT {
        host.waiting.push_back((now, work_ms));
    } else {
        result.shed += 1;
    }
}

fn finish(
    host: &mut Host,
    index: usize,
    now: u64,
    completions: &mut BinaryHeap<Reverse<(u64, usize, u64)>>,
) {
    host.running -= 1;
    if let Some((arrived_at, work_ms)) = host.waiting.pop_front() {
        host.running += 1;
        let service = work_ms * RELATIVE_SERVICE_TIME[index];
        completions.push(Reverse((
            now + (service * 1000.0) as u64,
            index,
            arrived_at,
        )));
    }
}

fn share_within_target(result: &SimulationResult) -> f64 {
    result.within_target as f64 / result.requests as f64
}

fn describe(policy: Policy, result: &mut SimulationResult) -> String {
    result.latencies.sort_unstable();
    let quantile = |fraction: f64| {
        let index = ((result.latencies.len() - 1) as f64 * fraction) as usize;
        result.latencies[index] / 1000
    };
    format!(
        "{policy:?}: within target {:.3}, shed {:.3}, p50 {} ms, p99 {} ms",
        share_within_target(result),
        result.shed as f64 / result.requests as f64,
        quantile(0.5),
        quantile(0.99),
    )
}

#[test]
fn load_ranking_meets_target_more_often_than_baselines() {
    let baselines = [
        Policy::PlainHash,
        Policy::RoundRobin,
        Policy::LeastFlows,
        Policy::LeastWork,
        Policy::PowerOfTwo,
    ];
    let mut lines = Vec::new();
    // The capacity is about 730 requests per second: half load, peak load and full load.
    for per_second in [350.0, 520.0, 700.0] {
        let mut shipped = simulate(Policy::Shipped, per_second, 7);
        lines.push(format!("{per_second} requests per second"));
        for policy in baselines {
            let mut result = simulate(policy, per_second, 7);
            assert!(
                share_within_target(&shipped) >= share_within_target(&result),
                "{policy:?} is better at {per_second} requests per second"
            );
            lines.push(describe(policy, &mut result));
        }
        lines.push(describe(Policy::Shipped, &mut shipped));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn fast_failing_host_is_ranked_last() {
    let local_datacenter: DatacenterName = "honam-1".parse().unwrap();
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
        let input = RankingInput {
            packets: address(host),
            datacenter: &local_datacenter,
            cold: false,
        };
        loads.cost(&input, &local_datacenter, now)
    };
    assert!((0..4).all(|host| cost(host) < cost(4)));
}
