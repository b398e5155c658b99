//! The tryout: both example firms at their present sizes serve requests and feeds while
//! an entry VM is killed, another is added, a host is drained, a manifest is committed
//! and an entry VM is stopped.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::caller::{CallerEnd, CallerLoop, CallerResult, CallerTask, TaskKind};
use crate::fleet::{Fleet, FleetError, HostPlan, ProcessReport, WAIT_LIMIT};

/// Configuration of a tryout.
#[derive(Debug, Clone)]
pub struct TryoutPlan {
    /// Folder of the programs.
    pub binaries: PathBuf,
    /// Folder for logs and settings.
    pub logs: PathBuf,
    /// Folder of the example manifests.
    pub manifests: PathBuf,
    /// Number of requests to send.
    pub requests: usize,
    /// Number of feeds to open.
    pub feeds: usize,
    /// Seed of the callers.
    pub seed: u64,
}

/// Results of a tryout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TryoutReport {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered by a backend server with the response that belongs to them.
    pub answered: usize,
    /// Requests answered with the outcome `not-run`.
    pub not_run: usize,
    /// Requests answered with the outcome `unknown`.
    pub unknown: usize,
    /// Requests with any other result, or without a response.
    pub lost: usize,
    /// Successful responses without the nonce of their request.
    pub crossed: usize,
    /// Orders that were started more than once.
    pub doubled: usize,
    /// Requests answered with `not-run` although a backend server had started them.
    pub false_not_run: usize,
    /// Feeds opened.
    pub feeds: usize,
    /// Feeds that did not stay open until the end without a gap.
    pub broken_feeds: usize,
    /// Lines received by the feeds that stayed open.
    pub feed_lines: u64,
    /// Time until the second manifest was in force everywhere, as reported by the
    /// operators' client, in milliseconds.
    pub in_force_ms: u64,
    /// Flows opened at the drained host after its state was `leaving`.
    pub flows_after_leave: u64,
    /// Log of the changes and of each lost request or feed.
    pub steps: Vec<String>,
}

impl TryoutReport {
    /// Returns whether the tryout passed: nothing lost, doubled or broken, and every
    /// request answered or reported as not run.
    pub fn passed(&self) -> bool {
        self.lost == 0
            && self.unknown == 0
            && self.crossed == 0
            && self.doubled == 0
            && self.false_not_run == 0
            && self.broken_feeds == 0
            && self.flows_after_leave == 0
            && self.answered + self.not_run == self.requests
    }
}

impl fmt::Display for TryoutReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        writeln!(
            f,
            "requests {}: answered {}, not run {}, unknown {}, lost {}, crossed {}, doubled {}",
            self.requests,
            self.answered,
            self.not_run,
            self.unknown,
            self.lost,
            self.crossed,
            self.doubled
        )?;
        writeln!(
            f,
            "feeds {}: broken {}, lines {}",
            self.feeds, self.broken_feeds, self.feed_lines
        )?;
        write!(
            f,
            "second manifest in force everywhere after {} ms; new flows at the leaving host: {}",
            self.in_force_ms, self.flows_after_leave
        )
    }
}

const FEED_SERVICE: &str = "10.20.0.1:7000";
const REQUEST_SERVICES: [(&str, &str); 3] = [
    ("10.20.0.2:7000", "/orders"),
    ("10.30.0.1:7000", "/orders"),
    ("10.30.0.2:7000", "/certificates"),
];
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const FEED_TIMEOUT: Duration = Duration::from_secs(3600);

/// Returns the hosts of both example firms at their present sizes.
pub fn firm_hosts() -> Vec<HostPlan> {
    let groups = [
        ("dalbit/catalogue", "honam", 7, true),
        ("dalbit/patterns", "honam", 3, false),
        ("calinawan/order-desk", "luzon", 7, false),
        ("calinawan/qa-vault", "luzon", 3, false),
    ];
    let mut hosts = Vec::new();
    for (service, region, count, feeds) in groups {
        let service_name = service.split('/').next_back().unwrap_or(service);
        for number in 1..=count {
            let datacenter = format!("{region}-{}", (number - 1) % 3 + 1);
            let name = format!("{service_name}-{number}");
            hosts.push(HostPlan::new(&name, &datacenter, service, feeds));
        }
    }
    hosts
}

/// Returns the names and data centres of the entry VMs of both firms.
pub fn firm_entries() -> Vec<(String, String)> {
    ["honam", "luzon"]
        .iter()
        .flat_map(|region| {
            (1..=3).map(move |number| {
                let datacenter = format!("{region}-{number}");
                (format!("entry-{datacenter}"), datacenter)
            })
        })
        .collect()
}

/// Starts both firms and waits until their manifests are in force and all hosts serve.
pub fn start_firms(plan: &TryoutPlan) -> Result<Fleet, FleetError> {
    let mut fleet = Fleet::start(&plan.binaries, &plan.logs)?;
    fleet.grant(&[("10.20.0.0/16", "dalbit"), ("10.30.0.0/16", "calinawan")])?;
    let entries = firm_entries();
    for (name, datacenter) in &entries {
        fleet.start_entry(name, datacenter)?;
    }
    let hosts = firm_hosts();
    for host in &hosts {
        fleet.start_host(host)?;
    }
    for firm in ["dalbit", "calinawan"] {
        let version = fleet.commit(&plan.manifests.join(format!("{firm}.json")))?;
        fleet.wait_in_force(firm, version)?;
    }
    let entries: Vec<_> = entries.into_iter().map(|(name, _)| name).collect();
    let hosts: Vec<_> = hosts.into_iter().map(|host| host.name).collect();
    fleet.wait_ready(&entries, &hosts)?;
    Ok(fleet)
}

fn parse_address(text: &str) -> Result<SocketAddrV4, FleetError> {
    text.parse()
        .map_err(|_| FleetError::Failed(format!("invalid address {text}")))
}

/// Returns the bytes of an order request with a body of `body` bytes. The order runs for
/// `work_ms` at a backend server, whose response contains the nonce of the request.
pub fn order_request(path: &str, order: &str, work_ms: u64, body: usize) -> Vec<u8> {
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop\r\nOrder-Id: {order}\r\nNonce: n-{order}\r\n\
         Work-Ms: {work_ms}\r\nContent-Length: {body}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body, b'x');
    request
}

/// Runs the tryout.
pub fn run(plan: &TryoutPlan) -> Result<TryoutReport, FleetError> {
    let mut fleet = start_firms(plan)?;
    let mut report = TryoutReport::default();
    let fabric = fleet.fabric;
    let feeds = CallerLoop::new(Ipv4Addr::new(10, 9, 0, 1), fabric, plan.seed)?;
    let mut feeds = open_feeds(plan, feeds)?;
    report
        .steps
        .push(format!("{} feeds open", feeds.live_feeds()));
    let (stop_sender, stop_receiver) = crossbeam_channel::bounded::<()>(1);
    let feed_thread = std::thread::spawn(move || {
        feeds.run(|_| stop_receiver.try_recv().is_ok());
        feeds.end_feeds();
        feeds.results().to_vec()
    });

    let tasks = request_tasks(plan)?;
    let mut callers = CallerLoop::new(Ipv4Addr::new(10, 9, 0, 2), fabric, plan.seed + 1)?;
    for task in tasks {
        callers.add(task);
    }
    let request_thread = std::thread::spawn(move || {
        callers.run(|_| false);
        callers.results().to_vec()
    });

    let steps = apply_changes(plan, &mut fleet, &mut report);
    let results = request_thread
        .join()
        .map_err(|_| FleetError::Failed("the request thread panicked".to_owned()))?;
    // Sending fails only if the thread has ended early; joining it reports a panic.
    let _ = stop_sender.send(());
    let feed_results = feed_thread
        .join()
        .map_err(|_| FleetError::Failed("the feed thread panicked".to_owned()))?;
    steps?;
    tally_requests(&fleet, &results, &mut report);
    tally_feeds(plan, &feed_results, &mut report);
    Ok(report)
}

fn open_feeds(plan: &TryoutPlan, mut feeds: CallerLoop) -> Result<CallerLoop, FleetError> {
    for id in 0..plan.feeds {
        feeds.add(CallerTask {
            id,
            start: Duration::from_millis(id as u64 * 5),
            service: parse_address(FEED_SERVICE)?,
            kind: TaskKind::Feed,
            timeout: FEED_TIMEOUT,
        });
    }
    let expected = plan.feeds;
    let start = Instant::now();
    feeds.run(|feeds| feeds.live_feeds() == expected || start.elapsed() > WAIT_LIMIT);
    if feeds.live_feeds() < expected {
        let what = format!("{expected} feeds: {:?}", feeds.results());
        return Err(FleetError::Timeout(what, ProcessReport::default()));
    }
    Ok(feeds)
}

fn request_tasks(plan: &TryoutPlan) -> Result<Vec<CallerTask>, FleetError> {
    // Three of every ten requests for certificates are large uploads.
    const UPLOAD_BYTES: usize = 60_000;
    const UPLOAD_CYCLE: usize = 10;
    const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
    let mut tasks = Vec::new();
    for id in 0..plan.requests {
        let (address, path) = REQUEST_SERVICES[id % REQUEST_SERVICES.len()];
        let upload = path == "/certificates" && id % UPLOAD_CYCLE < 3;
        let (work_ms, body) = if upload { (300, UPLOAD_BYTES) } else { (5, 40) };
        tasks.push(CallerTask {
            id,
            start: REQUEST_INTERVAL * id as u32,
            service: parse_address(address)?,
            kind: TaskKind::Request(order_request(path, &format!("o{id}"), work_ms, body)),
            timeout: REQUEST_TIMEOUT,
        });
    }
    Ok(tasks)
}

// Applies planned and unplanned changes to the fleet while requests and feeds run.
fn apply_changes(
    plan: &TryoutPlan,
    fleet: &mut Fleet,
    report: &mut TryoutReport,
) -> Result<(), FleetError> {
    const STEP_INTERVAL: Duration = Duration::from_millis(800);
    let killed = "entry-honam-1";
    std::thread::sleep(STEP_INTERVAL);
    fleet.kill(killed)?;
    report.steps.push(format!("killed {killed}"));

    std::thread::sleep(STEP_INTERVAL);
    fleet.start_entry("entry-honam-1b", "honam-1")?;
    report.steps.push("added entry-honam-1b".to_owned());

    std::thread::sleep(STEP_INTERVAL);
    let drained = "patterns-1";
    fleet.signal(drained, signal_hook::consts::SIGTERM)?;
    fleet.wait_for("patterns-1 to leave", || {
        fleet
            .side_status(drained)
            .is_none_or(|status| status.state == "leaving" || status.state == "gone")
    })?;
    let opened_before = opened_flows(fleet, drained);
    report.steps.push(format!("drains {drained}"));

    let second_manifest = plan.logs.join("dalbit-2.json");
    let text = std::fs::read_to_string(plan.manifests.join("dalbit.json"))?;
    std::fs::write(
        &second_manifest,
        text.replace("\"queue\": 64", "\"queue\": 128"),
    )?;
    let version = fleet.commit(&second_manifest)?;
    report.in_force_ms = fleet.wait_in_force("dalbit", version)?;
    report.steps.push(format!(
        "manifest of dalbit in force with version {version}"
    ));

    std::thread::sleep(STEP_INTERVAL);
    let stopped = "entry-luzon-2";
    let code = fleet.stop(stopped)?;
    report
        .steps
        .push(format!("stopped {stopped}, exit code {code:?}"));
    // A host that does not answer has ended and accepts no more flows.
    let opened_after = opened_flows(fleet, drained);
    report.flows_after_leave = match (opened_before, opened_after) {
        (Some(opened_before), Some(opened_after)) => opened_after - opened_before,
        _ => 0,
    };
    let code = fleet.wait_for_exit(drained)?;
    report
        .steps
        .push(format!("{drained} ended, exit code {code:?}"));
    Ok(())
}

fn opened_flows(fleet: &Fleet, host: &str) -> Option<u64> {
    let status = fleet.side_status(host)?;
    Some(status.counters.get("flows.opened").copied().unwrap_or(0))
}

/// Counts the results of the requests and compares them with the reports of the backend
/// servers.
pub fn tally_requests(fleet: &Fleet, results: &[CallerResult], report: &mut TryoutReport) {
    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    for host in fleet.hosts() {
        if let Some(backend_report) = fleet.backend_report(&host) {
            for (order, count) in backend_report.starts {
                *starts.entry(order).or_default() += count;
            }
        }
    }
    report.requests = results.len();
    report.doubled = starts.values().filter(|count| **count > 1).count();
    for result in results {
        let order = format!("o{}", result.id);
        match &result.end {
            CallerEnd::Answered {
                status: 200, body, ..
            } => {
                if body.contains(&format!("\"nonce\":\"n-{order}\"")) {
                    report.answered += 1;
                } else {
                    report.crossed += 1;
                }
            }
            CallerEnd::Answered { outcome, .. } if outcome.as_deref() == Some("not-run") => {
                report.not_run += 1;
                report.false_not_run += usize::from(starts.contains_key(&order));
            }
            CallerEnd::Answered { outcome, .. } if outcome.as_deref() == Some("unknown") => {
                report.unknown += 1;
            }
            other => {
                report.lost += 1;
                report.steps.push(format!("lost {order}: {other:?}"));
            }
        }
    }
}

fn tally_feeds(plan: &TryoutPlan, results: &[CallerResult], report: &mut TryoutReport) {
    report.feeds = plan.feeds;
    let mut held_feeds = 0;
    for result in results {
        match &result.end {
            CallerEnd::FeedHeld { lines, .. } => {
                held_feeds += 1;
                report.feed_lines += lines;
            }
            other => report.steps.push(format!("feed {}: {other:?}", result.id)),
        }
    }
    report.broken_feeds = plan.feeds - held_feeds;
}

/// Returns the folder of the compiled programs: the folder of the running executable, or its
/// parent for a test, whose executable is in the folder `deps`.
pub fn program_folder() -> std::io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folder = executable.parent().unwrap_or(Path::new("."));
    Ok(if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder).to_owned()
    } else {
        folder.to_owned()
    })
}
