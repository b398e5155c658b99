//! A small fleet for the tests: two data centres, two entry VMs, a service of
//! each kind.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnutlb_standin::caller::{CallerEnd, CallerLoop, CallerTask, TaskKind};
use chestnutlb_standin::fleet::{Fleet, HostPlan};
use chestnutlb_standin::tryout::{order_request, program_folder};

pub const FEEDS: &str = "10.20.0.1:7000";
pub const ORDERS: &str = "10.30.0.1:7000";

pub fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

pub fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// The example manifest of a firm, changed, in a file of its own.
pub fn manifest(name: &str, firm: &str, changes: &[(&str, &str)]) -> PathBuf {
    let mut text = std::fs::read_to_string(examples().join(format!("{firm}.json"))).unwrap();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    std::fs::create_dir_all(folder(name)).unwrap();
    let path = folder(name).join(format!("{firm}-{}.json", changes.len()));
    std::fs::write(&path, text).unwrap();
    path
}

pub fn hosts() -> Vec<HostPlan> {
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

pub fn start(name: &str) -> Fleet {
    let mut fleet = Fleet::start(&program_folder().unwrap(), &folder(name)).unwrap();
    fleet
        .grant(&[("10.20.0.0/16", "dalbit"), ("10.30.0.0/16", "calinawan")])
        .unwrap();
    fleet.start_entry("entry-1", "dc-1").unwrap();
    fleet.start_entry("entry-2", "dc-2").unwrap();
    let warm = [("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100")];
    for firm in ["dalbit", "calinawan"] {
        fleet.commit(&manifest(name, firm, &warm)).unwrap();
    }
    let hosts = hosts();
    for host in &hosts {
        fleet.start_host(host).unwrap();
    }
    let names: Vec<_> = hosts.into_iter().map(|host| host.name).collect();
    let entries = ["entry-1".to_owned(), "entry-2".to_owned()];
    fleet.wait_ready(&entries, &names).unwrap();
    fleet
}

pub fn caller(fleet: &Fleet, number: u8) -> CallerLoop {
    let address = Ipv4Addr::new(10, 9, 1, number);
    CallerLoop::new(address, fleet.fabric, u64::from(number)).unwrap()
}

pub fn feed(id: usize) -> CallerTask {
    CallerTask {
        id,
        start: Duration::ZERO,
        service: FEEDS.parse().unwrap(),
        kind: TaskKind::Feed,
        timeout: Duration::from_secs(600),
    }
}

/// A caller with so many feeds, each of which has shown a line.
pub fn open_feeds(fleet: &Fleet, count: usize) -> CallerLoop {
    let mut feeds = caller(fleet, 1);
    for id in 0..count {
        feeds.add(feed(id));
    }
    feeds.run(|feeds| feeds.live_feeds() == count);
    feeds
}

pub fn order(id: usize, start_ms: u64, work_ms: u64, body: usize) -> CallerTask {
    let service: SocketAddrV4 = ORDERS.parse().unwrap();
    CallerTask {
        id,
        start: Duration::from_millis(start_ms),
        service,
        kind: TaskKind::Request(order_request("/orders", &format!("o{id}"), work_ms, body)),
        timeout: Duration::from_secs(60),
    }
}

/// What an end was, in a word.
pub fn word(end: &CallerEnd) -> &'static str {
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

/// How often each order was started, over all backend servers that answer.
pub fn starts(fleet: &Fleet, order: &str) -> u32 {
    fleet
        .hosts()
        .iter()
        .filter_map(|host| fleet.backend_report(host))
        .filter_map(|report| report.starts.get(order).copied())
        .sum()
}

/// Where an order was started.
pub fn runner(fleet: &Fleet, order: &str) -> Option<String> {
    fleet.hosts().into_iter().find(|host| {
        fleet
            .backend_report(host)
            .is_some_and(|report| report.starts.contains_key(order))
    })
}
