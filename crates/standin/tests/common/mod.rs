//! Small fleet for the tests: two data centres, two entry VMs, and one service of each
//! kind, stream and request, with three hosts each.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chestnutlb_standin::caller::{CallerEnd, CallerLoop, CallerTask, TaskKind};
use chestnutlb_standin::fleet::{Fleet, HostPlan};
use chestnutlb_standin::tryout::{order_request, program_folder};

/// Address of the stream service `dalbit/catalogue`.
pub const FEED_SERVICE: &str = "10.20.0.1:7000";
/// Address of the request service `calinawan/order-desk`.
pub const ORDER_SERVICE: &str = "10.30.0.1:7000";

/// Returns the folder of the example manifests.
pub fn example_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Returns the folder for settings and logs of the test with this name. Each run of the tests has
/// another one: processes watch their settings, also those that an earlier run has left.
pub fn output_folder(name: &str) -> PathBuf {
    static RUN: LazyLock<String> = LazyLock::new(|| {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        format!("{}-{}", std::process::id(), started_at.as_millis())
    });
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", *RUN))
}

/// Removes the folder of a test at its end, unless it fails.
pub struct FolderGuard(pub PathBuf);

impl Drop for FolderGuard {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Writes the example manifest of a firm, with text replacements, and returns the new path.
///
/// The file name contains the number of replacements, so that a test can write several.
pub fn write_manifest(name: &str, firm: &str, changes: &[(&str, &str)]) -> PathBuf {
    let mut text = std::fs::read_to_string(example_folder().join(format!("{firm}.json"))).unwrap();
    for (from, to) in changes {
        assert!(
            text.contains(from),
            "{from} is not in the manifest of {firm}"
        );
        text = text.replace(from, to);
    }
    std::fs::create_dir_all(output_folder(name)).unwrap();
    let path = output_folder(name).join(format!("{firm}-{}.json", changes.len()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns the hosts of the fleet: three with feeds and three with orders, over both data
/// centres.
pub fn plan_hosts() -> Vec<HostPlan> {
    let mut hosts = Vec::new();
    for number in 1..=3 {
        let datacenter = format!("dc-{}", number % 2 + 1);
        let feed = format!("feed-{number}");
        let order = format!("order-{number}");
        hosts.push(HostPlan::new(&feed, &datacenter, "dalbit/catalogue", true));
        hosts.push(HostPlan::new(
            &order,
            &datacenter,
            "calinawan/order-desk",
            false,
        ));
    }
    hosts
}

/// Starts the fleet and waits until all entry VMs and hosts are ready.
pub fn start_fleet(name: &str) -> Fleet {
    let mut fleet =
        Fleet::start_temporary(&program_folder().unwrap(), &output_folder(name)).unwrap();
    fleet
        .grant(&[("10.20.0.0/16", "dalbit"), ("10.30.0.0/16", "calinawan")])
        .unwrap();
    fleet.start_entry("entry-1", "dc-1").unwrap();
    fleet.start_entry("entry-2", "dc-2").unwrap();
    let short_warm_up = [("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100")];
    for firm in ["dalbit", "calinawan"] {
        fleet
            .commit(&write_manifest(name, firm, &short_warm_up))
            .unwrap();
    }
    let hosts = plan_hosts();
    for host in &hosts {
        fleet.start_host(host).unwrap();
    }
    let names: Vec<_> = hosts.into_iter().map(|host| host.name).collect();
    let entries = ["entry-1".to_owned(), "entry-2".to_owned()];
    fleet.wait_ready(&entries, &names).unwrap();
    fleet
}

/// Returns a caller loop without tasks, with its own address and random seed.
pub fn new_caller(fleet: &Fleet, number: u8) -> CallerLoop {
    let address = Ipv4Addr::new(10, 9, 1, number);
    CallerLoop::new(address, fleet.fabric, u64::from(number)).unwrap()
}

/// Returns a task that opens a feed at once.
pub fn feed_task(id: usize) -> CallerTask {
    CallerTask {
        id,
        start: Duration::ZERO,
        service: FEED_SERVICE.parse().unwrap(),
        kind: TaskKind::Feed,
        timeout: Duration::from_secs(600),
    }
}

/// Opens `count` feeds and returns their caller once each has received a line.
pub fn open_feeds(fleet: &Fleet, count: usize) -> CallerLoop {
    let mut feeds = new_caller(fleet, 1);
    for id in 0..count {
        feeds.add(feed_task(id));
    }
    feeds.run(|feeds| feeds.live_feeds() == count);
    feeds
}

/// Returns a task that sends an order with a body of `body` bytes, which takes `work_ms` to
/// run.
pub fn order_task(id: usize, start_ms: u64, work_ms: u64, body: usize) -> CallerTask {
    let service: SocketAddrV4 = ORDER_SERVICE.parse().unwrap();
    CallerTask {
        id,
        start: Duration::from_millis(start_ms),
        service,
        kind: TaskKind::Request(order_request("/orders", &format!("o{id}"), work_ms, body)),
        timeout: Duration::from_secs(60),
    }
}

/// Returns a short name for the result of a task.
pub fn end_name(end: &CallerEnd) -> &'static str {
    match end {
        CallerEnd::Answered { status: 200, .. } => "answered",
        CallerEnd::Answered { outcome, .. } => match outcome.as_deref() {
            Some("not-run") => "not-run",
            Some("unknown") => "unknown",
            _ => "other",
        },
        CallerEnd::FeedHeld { .. } => "held",
        CallerEnd::Refused => "refused",
        CallerEnd::Broken(_) => "broken",
        CallerEnd::Timeout => "timeout",
    }
}

/// Returns how often an order was started, over all backend servers that answer.
pub fn count_starts(fleet: &Fleet, order: &str) -> u32 {
    fleet
        .hosts()
        .iter()
        .filter_map(|host| fleet.backend_report(host))
        .filter_map(|report| report.starts.get(order).copied())
        .sum()
}

/// Returns the host whose backend server started an order.
pub fn find_host_of_order(fleet: &Fleet, order: &str) -> Option<String> {
    fleet.hosts().into_iter().find(|host| {
        fleet
            .backend_report(host)
            .is_some_and(|report| report.starts.contains_key(order))
    })
}
