//! Measures a demand swing with real processes: seven order-desk hosts of different speeds
//! at ordinary load, at the peak and after it.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{CallerEnd, CallerLoop, CallerResult, CallerTask, TaskKind};
use crate::fleet::{Fleet, FleetError, HostPlan};
use crate::tryout::order_request;

/// Speeds of the hosts, as factors of the ordinary speed; the fastest is four times the slowest.
const SPEEDS: [f64; 7] = [0.5, 0.5, 1.0, 1.0, 1.0, 2.0, 2.0];
/// Number of slots of each host.
const SLOTS: f64 = 3.0;
/// Run time of a request at ordinary speed, in milliseconds.
const WORK_MS: u64 = 60;
/// Deadline of a request, which is also written into the manifest.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Number of caller machines. Each has a thread, so that they share the work of user-space TCP.
const CALLER_MACHINES: usize = 3;
/// Address of the service.
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 30, 0, 1), 7000);
/// Interval between two samples of the busy times of the hosts.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// A phase of the demand swing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SwingPhase {
    /// Name of the phase.
    pub name: &'static str,
    /// Offered load, as a share of capacity.
    pub load: f64,
    /// Duration of the phase.
    pub time: Duration,
}

/// Figures of one phase.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PhaseFigures {
    /// Name of the phase.
    pub phase: &'static str,
    /// Offered load, as a share of capacity.
    pub load: f64,
    /// Number of requests offered.
    pub offered: usize,
    /// Number of requests answered within the deadline.
    pub in_time: usize,
    /// Number of requests answered after the deadline.
    pub late: usize,
    /// Number of requests answered `not-run`.
    pub not_run: usize,
    /// Number of requests with any other answer, such as `unknown`.
    pub unknown: usize,
    /// Number of flows that were refused, cut or timed out.
    pub lost: usize,
    /// Requests answered within the deadline, as a share of what the capacity allows.
    pub goodput: f64,
    /// Median time to an answer, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: u64,
    /// 99th percentile of the time to a `not-run` answer, in milliseconds.
    pub refusal_p99_ms: u64,
    /// Largest busy time of a host relative to the mean of the hosts, median over the samples.
    pub imbalance_p50: f64,
    /// Largest sample of the same ratio.
    pub imbalance_max: f64,
}

/// Settings of the measurement.
#[derive(Debug, Clone)]
pub struct SwingPlan<'a> {
    /// Folder of the compiled programs.
    pub binaries: &'a Path,
    /// Folder for logs.
    pub logs: &'a Path,
    /// The firm's manifest.
    pub manifest: &'a Path,
    /// Load at the peak, as a share of capacity.
    pub peak_load: f64,
    /// Whether the speeds of the hosts are their weights in the roster.
    pub weighted: bool,
    /// Seed of the callers.
    pub seed: u64,
}

fn capacity_per_second() -> f64 {
    SPEEDS.iter().sum::<f64>() * SLOTS * 1000.0 / WORK_MS as f64
}

fn start_fleet(plan: &SwingPlan<'_>) -> Result<Fleet, FleetError> {
    let mut fleet = Fleet::start(plan.binaries, plan.logs)?;
    fleet.grant(&[("10.30.0.0/16", "calinawan")])?;
    let entries = ["entry-1".to_owned(), "entry-2".to_owned()];
    for entry in &entries {
        fleet.start_entry(entry, "luzon-1")?;
    }
    let text = std::fs::read_to_string(plan.manifest)?;
    let text = text.replacen(
        "\"deadline_ms\": 5000",
        &format!("\"deadline_ms\": {}", DEADLINE.as_millis()),
        1,
    );
    let path = plan.logs.join("manifest.json");
    std::fs::write(&path, text)?;
    let version = fleet.commit(&path)?;
    let mut names = Vec::new();
    for (number, speed) in SPEEDS.iter().enumerate() {
        let name = format!("order-desk-{}", number + 1);
        let mut host = HostPlan::new(&name, "luzon-1", "calinawan/order-desk", false);
        host.backend_arguments
            .extend(["--speed".to_owned(), speed.to_string()]);
        if plan.weighted {
            host.weight = (speed * 100.0) as u16;
        }
        fleet.start_host(&host)?;
        names.push(name);
    }
    fleet.wait_ready(&entries, &names)?;
    fleet.wait_in_force("calinawan", version)?;
    Ok(fleet)
}

// Returns the requests of all phases, spaced evenly within each phase.
fn plan_tasks(phases: &[SwingPhase]) -> Vec<CallerTask> {
    let mut tasks = Vec::new();
    let mut start = Duration::ZERO;
    for phase in phases {
        let count = (phase.time.as_secs_f64() * phase.load * capacity_per_second()) as u32;
        for number in 0..count {
            let id = tasks.len();
            tasks.push(CallerTask {
                id,
                start: start + phase.time * number / count,
                service: SERVICE_ADDRESS,
                kind: TaskKind::Request(order_request("/orders", &format!("o{id}"), WORK_MS, 20)),
                timeout: DEADLINE * 5,
            });
        }
        start += phase.time;
    }
    tasks
}

/// Runs all phases and returns the figures of each.
pub fn measure(plan: &SwingPlan<'_>) -> Result<Vec<PhaseFigures>, FleetError> {
    let phases = [
        SwingPhase {
            name: "ordinary",
            load: 0.7,
            time: Duration::from_secs(10),
        },
        SwingPhase {
            name: "crest",
            load: plan.peak_load,
            time: Duration::from_secs(6),
        },
        SwingPhase {
            name: "after",
            load: 0.7,
            time: Duration::from_secs(10),
        },
    ];
    let fleet = start_fleet(plan)?;
    let tasks = plan_tasks(&phases);
    let total: Duration = phases.iter().map(|phase| phase.time).sum();
    let starts: BTreeMap<usize, Duration> =
        tasks.iter().map(|task| (task.id, task.start)).collect();
    let mut callers = Vec::new();
    for number in 0..CALLER_MACHINES {
        let address = Ipv4Addr::new(10, 9, 2, number as u8 + 1);
        let mut caller = CallerLoop::new(address, fleet.fabric, plan.seed + number as u64)?;
        for task in tasks
            .iter()
            .filter(|task| task.id % CALLER_MACHINES == number)
        {
            caller.add(task.clone());
        }
        callers.push(std::thread::spawn(move || {
            caller.run(|_| false);
            caller.results().to_vec()
        }));
    }
    let samples = sample_imbalance(&fleet, total);
    let mut results = Vec::new();
    for caller in callers {
        results.extend(
            caller
                .join()
                .map_err(|_| FleetError::Failed("caller thread panicked".to_owned()))?,
        );
    }
    let mut phase_start = Duration::ZERO;
    let mut figures = Vec::new();
    for phase in phases {
        let range = phase_start..phase_start + phase.time;
        let phase_results: Vec<_> = results
            .iter()
            .filter(|result| {
                starts
                    .get(&result.id)
                    .is_some_and(|start| range.contains(start))
            })
            .collect();
        let imbalances: Vec<_> = samples
            .iter()
            .filter(|(sampled_at, _)| range.contains(sampled_at))
            .map(|(_, imbalance)| *imbalance)
            .collect();
        figures.push(phase_figures(&phase, &phase_results, imbalances));
        phase_start = range.end;
    }
    Ok(figures)
}

// Samples the busy times of the hosts until the end of all phases. Returns the time of each
// sample and the largest busy time since the last one relative to the mean of the hosts.
fn sample_imbalance(fleet: &Fleet, total: Duration) -> Vec<(Duration, f64)> {
    let start = Instant::now();
    let mut previous: BTreeMap<String, u64> = BTreeMap::new();
    let mut samples = Vec::new();
    while start.elapsed() < total {
        std::thread::sleep(SAMPLE_INTERVAL);
        let mut busy_times = Vec::new();
        for host in fleet.hosts() {
            let busy = fleet
                .backend_report(&host)
                .map_or(0, |report| report.busy_ms);
            let previous_busy = previous.insert(host, busy).unwrap_or(0);
            busy_times.push(busy.saturating_sub(previous_busy) as f64);
        }
        let mean = busy_times.iter().sum::<f64>() / busy_times.len().max(1) as f64;
        let largest = busy_times.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 {
            samples.push((start.elapsed(), largest / mean));
        }
    }
    samples
}

fn phase_figures(
    phase: &SwingPhase,
    results: &[&CallerResult],
    mut imbalances: Vec<f64>,
) -> PhaseFigures {
    const SIGNIFICANT_DIGITS: u8 = 3;
    let histogram =
        || Histogram::<u64>::new(SIGNIFICANT_DIGITS).unwrap_or_else(|error| panic!("{error}"));
    let (mut answers, mut refusals) = (histogram(), histogram());
    let (mut in_time, mut late, mut not_run, mut unknown, mut lost) = (0, 0, 0, 0, 0);
    for result in results {
        let took = result.took.as_millis() as u64;
        match &result.end {
            CallerEnd::Answered { status: 200, .. } => {
                // An auto-resizing histogram accepts every value.
                let _ = answers.record(took);
                if result.took <= DEADLINE {
                    in_time += 1;
                } else {
                    late += 1;
                }
            }
            CallerEnd::Answered { outcome, .. } if outcome.as_deref() == Some("not-run") => {
                let _ = refusals.record(took);
                not_run += 1;
            }
            CallerEnd::Answered { .. } => unknown += 1,
            _ => lost += 1,
        }
    }
    imbalances.sort_by(f64::total_cmp);
    PhaseFigures {
        phase: phase.name,
        load: phase.load,
        offered: results.len(),
        in_time,
        late,
        not_run,
        unknown,
        lost,
        goodput: in_time as f64 / (phase.time.as_secs_f64() * capacity_per_second()),
        p50_ms: answers.value_at_quantile(0.5),
        p99_ms: answers.value_at_quantile(0.99),
        refusal_p99_ms: refusals.value_at_quantile(0.99),
        imbalance_p50: imbalances.get(imbalances.len() / 2).copied().unwrap_or(0.0),
        imbalance_max: imbalances.last().copied().unwrap_or(0.0),
    }
}
