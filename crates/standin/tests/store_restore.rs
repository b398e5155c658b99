//! A platform that comes back from an older copy: it has lost what it acknowledged in an
//! interval, and assigns the versions of that interval again.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TryRecvError, bounded};
use serde_json::Value;

use chestnutlb_standin::caller::{CallerEnd, CallerLoop, CallerResult};
use chestnutlb_standin::fleet::{Fleet, HostPlan, WAIT_LIMIT};
use chestnutlb_standin::http::send_request;
use chestnutlb_standin::platform::RestorePoint;
use chestnutlb_standin::tryout::program_folder;
use common::{end_name, feed_task, new_caller, order_task, start_fleet, write_manifest};

const TERMINATE: i32 = signal_hook::consts::SIGTERM;
const PAUSE: i32 = signal_hook::consts::SIGSTOP;
const RESUME: i32 = signal_hook::consts::SIGCONT;

// Time between the starts of two orders of a continuous load.
const ORDER_INTERVAL: Duration = Duration::from_millis(40);
// Run time of an order at its backend server.
const WORK_MS: u64 = 5;
// A feed sends a line every 100 ms; one that is silent for this time is frozen.
const FROZEN_FEED_TIME: Duration = Duration::from_secs(3);
// Commits by which the version of a lost manifest exceeds the first ones after a restore.
const LOST_COMMITS: usize = 10;
// Time that the client waits for a version that is not expected to come in force.
const SHORT_WAIT: &str = "2";

// Callers that run in a thread of their own until this is finished or dropped.
struct CallerThread {
    running: Sender<()>,
    thread: JoinHandle<Vec<CallerResult>>,
}

impl CallerThread {
    // Opens `count` feeds, waits until each has received a line, and keeps them open.
    fn hold_feeds(fleet: &Fleet, caller: u8, count: usize) -> Self {
        let mut feeds = new_caller(fleet, caller);
        (0..count).for_each(|id| feeds.add(feed_task(id)));
        feeds.run(|feeds| feeds.live_feeds() == count || feeds.elapsed() > WAIT_LIMIT);
        assert_eq!(feeds.live_feeds(), count, "{:?}", feeds.results());
        let (running, state) = bounded(0);
        let thread = std::thread::spawn(move || {
            feeds.run(|_| !is_running(&state));
            feeds.end_feeds();
            feeds.results().to_vec()
        });
        Self { running, thread }
    }

    // Sends orders without a pause.
    fn send_orders(fleet: &Fleet, caller: u8) -> Self {
        let mut callers = new_caller(fleet, caller);
        let (running, state) = bounded(0);
        let thread = std::thread::spawn(move || {
            let mut id = 0;
            while is_running(&state) {
                add_order(&mut callers, id, common::ORDER_SERVICE);
                id += 1;
                let next = callers.elapsed() + ORDER_INTERVAL;
                callers.run(|callers| callers.elapsed() >= next);
                std::thread::sleep(next.saturating_sub(callers.elapsed()));
            }
            callers.run(|_| false);
            callers.results().to_vec()
        });
        Self { running, thread }
    }

    fn finish(self) -> Vec<CallerResult> {
        drop(self.running);
        self.thread.join().unwrap()
    }

    fn finish_answered(self) {
        for result in self.finish() {
            assert_eq!(end_name(&result.end), "answered", "{result:?}");
        }
    }

    fn finish_held(self) {
        for result in self.finish() {
            let CallerEnd::FeedHeld { silent, .. } = &result.end else {
                panic!("feed not held: {result:?}");
            };
            assert!(*silent < FROZEN_FEED_TIME, "{result:?}");
        }
    }
}

// Returns whether the sender of this channel still exists.
fn is_running(state: &Receiver<()>) -> bool {
    state.try_recv() == Err(TryRecvError::Empty)
}

// Adds an order that starts at once.
fn add_order(callers: &mut CallerLoop, id: usize, service: &str) {
    let start_ms = callers.elapsed().as_millis() as u64;
    let mut task = order_task(id, start_ms, WORK_MS, 10);
    task.service = service.parse().unwrap();
    callers.add(task);
}

// Reads a path of the platform without the project's client.
fn read_platform(fleet: &Fleet, path: &str) -> Option<Value> {
    let (status, body) = send_request(fleet.platform, "GET", path, "").ok()?;
    let body = serde_json::from_str(&body).ok();
    body.filter(|_| status == 200)
}

fn read_object(fleet: &Fleet, object: &str) -> Option<Value> {
    read_platform(fleet, &format!("/v1/objects/{object}"))
}

// Returns a point to restore to: the platform as it is now.
fn restore_point(fleet: &Fleet) -> RestorePoint {
    let list = read_platform(fleet, "/v1/objects").unwrap();
    RestorePoint::Revision(list["revision"].as_u64().unwrap())
}

fn stored_version(fleet: &Fleet, object: &str) -> u64 {
    read_object(fleet, object).unwrap()["version"]
        .as_u64()
        .unwrap()
}

// Returns the field `list` of the objects of this kind for both data centres.
fn stored_items(fleet: &Fleet, kind: &str, list: &str) -> Vec<Value> {
    ["dc-1", "dc-2"]
        .iter()
        .filter_map(|datacenter| read_object(fleet, &format!("{kind}/{datacenter}")))
        .filter_map(|object| object["value"][list].as_array().cloned())
        .flatten()
        .collect()
}

// Returns the state of a host in the platform's rosters.
fn stored_host_state(fleet: &Fleet, host: &str) -> Option<String> {
    let hosts = stored_items(fleet, "roster", "hosts");
    let host = hosts.iter().find(|record| record["name"] == host)?;
    Some(host["state"].as_str().unwrap().to_owned())
}

fn wait_stored_state(fleet: &Fleet, host: &str, state: Option<&str>) {
    fleet
        .wait_for(&format!("state {state:?} of {host} in the roster"), || {
            stored_host_state(fleet, host).as_deref() == state
        })
        .unwrap();
}

// Waits until the platform and each running entry VM list exactly these entry VMs.
fn wait_members(fleet: &Fleet, names: &[&str]) {
    let expected: BTreeSet<&str> = names.iter().copied().collect();
    fleet
        .wait_for(&format!("{names:?} in the platform's members"), || {
            let entries = stored_items(fleet, "members", "entries");
            let listed = entries.iter().filter_map(|entry| entry["name"].as_str());
            listed.collect::<BTreeSet<_>>() == expected
        })
        .unwrap();
    for entry in fleet.entries() {
        fleet
            .wait_for(&format!("{entry} to list {names:?}"), || {
                fleet.entry_status(&entry).is_some_and(|status| {
                    let listed = status.entries.iter().map(|entry| entry.name.as_str());
                    listed.collect::<BTreeSet<_>>() == expected
                })
            })
            .unwrap();
    }
}

// Returns the service at an address and the hosts of a flow's walk, as an entry VM explains
// them; `None` if it knows no service at the address.
fn explain(fleet: &Fleet, entry: &str, service: &str) -> Option<(String, Vec<String>)> {
    let status: SocketAddrV4 = fleet.entry_addresses(entry)?.status;
    let path = format!("/v1/explain?caller=10.9.1.1:10000&service={service}");
    let (code, body) = send_request(status, "GET", &path, "").ok()?;
    let body: Value = serde_json::from_str(&body).ok().filter(|_| code == 200)?;
    let hosts = body["walk"].as_array()?.iter();
    let names = hosts.map(|hop| hop["host"].as_str().unwrap().to_owned());
    Some((body["service"].as_str()?.to_owned(), names.collect()))
}

// Waits until every entry VM knows the order desk at one address and nothing at the other.
fn wait_routed(fleet: &Fleet, address: &str, lost_address: &str) {
    for entry in fleet.entries() {
        fleet
            .wait_for(
                &format!("{entry} to route {address}, not {lost_address}"),
                || {
                    let service = explain(fleet, &entry, address).map(|(service, _)| service);
                    service.as_deref() == Some("calinawan/order-desk")
                        && explain(fleet, &entry, lost_address).is_none()
                },
            )
            .unwrap();
    }
}

// Waits until the walk of an order at every entry VM contains a host, or until none does.
fn wait_in_walks(fleet: &Fleet, host: &str, expected: bool) {
    for entry in fleet.entries() {
        fleet
            .wait_for(
                &format!("{host} in the walks of {entry}: {expected}"),
                || {
                    explain(fleet, &entry, common::ORDER_SERVICE).is_some_and(|(_, hosts)| {
                        hosts.iter().any(|listed| listed == host) == expected
                    })
                },
            )
            .unwrap();
    }
}

// Sends orders to an address until each of the hosts has accepted a flow of it.
fn wait_orders_accepted(fleet: &Fleet, caller: u8, service: &str, hosts: &[&str]) {
    let mut callers = new_caller(fleet, caller);
    let flow_end = format!(">{service}\"");
    fleet
        .wait_for(&format!("flows to {service} at {hosts:?}"), || {
            let first = callers.results().len();
            (first..first + 20).for_each(|id| add_order(&mut callers, id, service));
            callers.run(|_| false);
            hosts.iter().all(|host| {
                let log = fleet.log(host);
                let accepted = log.lines().filter(|line| line.contains("\"accepted\""));
                accepted.into_iter().any(|line| line.contains(&flow_end))
            })
        })
        .unwrap();
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
    }
}

// Returns the number of flows that a host has accepted since its start.
fn opened_flows(fleet: &Fleet, host: &str) -> u64 {
    let status = fleet.side_status(host).unwrap();
    status.counters.get("flows.opened").copied().unwrap_or(0)
}

// Writes the manifest of calinawan with the order desk at this address.
fn order_desk_at(name: &str, address: &str) -> PathBuf {
    let changes = [
        ("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100"),
        (common::ORDER_SERVICE, address),
    ];
    let path = write_manifest(name, "calinawan", &changes);
    let own_path = path.with_file_name(format!("{}.json", address.replace([':', '.'], "-")));
    std::fs::rename(&path, &own_path).unwrap();
    own_path
}

// Runs the client; returns its exit code and what it printed as JSON.
fn run_client(fleet: &Fleet, arguments: &[&str]) -> (Option<i32>, Value) {
    let output = fleet.run_client(arguments).unwrap();
    let value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code(), value)
}

fn run_manifest_command(fleet: &Fleet, command: &[&str], manifest: &Path) -> (Option<i32>, Value) {
    let platform = format!("http://{}", fleet.platform);
    let path = manifest.to_string_lossy();
    let options = ["--json", "--platform", &platform, &path];
    run_client(fleet, &[command, &options].concat())
}

// Returns a printed version as it is given to another command.
fn version_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

// Commits a manifest; returns the version that the client prints.
fn commit(fleet: &Fleet, manifest: &Path) -> String {
    let (code, result) = run_manifest_command(fleet, &["commit"], manifest);
    assert_eq!(code, Some(0), "{result}");
    version_text(&result["version"])
}

// Commits a manifest until the platform assigns it this version, and returns what the client
// prints for it. If another object gets the version first, restores the platform again.
fn commit_up_to(fleet: &Fleet, manifest: &Path, version: u64, point: RestorePoint) -> String {
    loop {
        let printed = commit(fleet, manifest);
        match stored_version(fleet, "manifest/calinawan") {
            stored if stored == version => return printed,
            stored if stored > version => {
                fleet.restore(point).unwrap();
            }
            _ => {}
        }
    }
}

// Returns the exit code of the client's wait for a manifest version of calinawan.
fn wait_exit_code(fleet: &Fleet, version: &str, seconds: &str) -> Option<i32> {
    let entries = fleet.entries();
    let entry = fleet.entry_addresses(&entries[0]).unwrap();
    let status = entry.status.to_string();
    let arguments = ["wait", "--json", "--entry", &status, "--firm", "calinawan"];
    let version = ["--manifest", version, "--seconds", seconds];
    run_client(fleet, &[&arguments[..], &version].concat()).0
}

fn order_host(name: &str) -> HostPlan {
    HostPlan::new(name, "dc-1", "calinawan/order-desk", false)
}

fn wait_all_ready(fleet: &Fleet, hosts: &[&str]) {
    let hosts: Vec<_> = hosts.iter().map(ToString::to_string).collect();
    fleet.wait_ready(&fleet.entries(), &hosts).unwrap();
}

const FIRST_HOSTS: [&str; 6] = [
    "feed-1", "feed-2", "feed-3", "order-1", "order-2", "order-3",
];

const LOST_ADDRESS: &str = "10.30.0.1:7008";
const KEPT_ADDRESS: &str = "10.30.0.1:7009";

#[test]
fn manifest_committed_after_restore_is_in_force_although_its_version_is_not_higher() {
    let name = "restore-manifest";
    let fleet = start_fleet(name);
    let feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let point = restore_point(&fleet);
    let lost = order_desk_at(name, LOST_ADDRESS);
    for _ in 1..LOST_COMMITS {
        commit(&fleet, &lost);
    }
    let lost_printed = commit(&fleet, &lost);
    let lost_version = stored_version(&fleet, "manifest/calinawan");
    assert_eq!(wait_exit_code(&fleet, &lost_printed, "30"), Some(0));
    wait_routed(&fleet, LOST_ADDRESS, common::ORDER_SERVICE);
    fleet.restore(point).unwrap();
    let printed = commit(&fleet, &order_desk_at(name, KEPT_ADDRESS));
    assert!(stored_version(&fleet, "manifest/calinawan") <= lost_version);
    assert_eq!(wait_exit_code(&fleet, &printed, "30"), Some(0));
    wait_routed(&fleet, KEPT_ADDRESS, LOST_ADDRESS);
    wait_orders_accepted(&fleet, 2, KEPT_ADDRESS, &["order-1", "order-2", "order-3"]);
    feeds.finish_held();
}

#[test]
fn manifest_with_same_version_as_lost_one_is_in_force_after_restore() {
    let name = "restore-same-version";
    let fleet = start_fleet(name);
    let point = restore_point(&fleet);
    commit(&fleet, &order_desk_at(name, LOST_ADDRESS));
    let version = stored_version(&fleet, "manifest/calinawan");
    wait_routed(&fleet, LOST_ADDRESS, common::ORDER_SERVICE);
    fleet.restore(point).unwrap();
    commit_up_to(&fleet, &order_desk_at(name, KEPT_ADDRESS), version, point);
    wait_routed(&fleet, KEPT_ADDRESS, LOST_ADDRESS);
    wait_orders_accepted(&fleet, 2, KEPT_ADDRESS, &["order-1", "order-2", "order-3"]);
}

#[test]
fn host_registered_in_lost_interval_is_listed_again_and_keeps_its_feeds() {
    let mut fleet = start_fleet("restore-new-host");
    let old_feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let point = restore_point(&fleet);
    fleet.start_host(&order_host("order-4")).unwrap();
    let feed_host = HostPlan::new("feed-4", "dc-1", "dalbit/catalogue", true);
    fleet.start_host(&feed_host).unwrap();
    wait_all_ready(&fleet, &["order-4", "feed-4"]);
    let new_feeds = CallerThread::hold_feeds(&fleet, 2, 24);
    assert!(opened_flows(&fleet, "feed-4") > 0);
    let orders = CallerThread::send_orders(&fleet, 3);
    fleet.restore(point).unwrap();
    for host in ["order-4", "feed-4"] {
        wait_stored_state(&fleet, host, Some("serving"));
    }
    wait_in_walks(&fleet, "order-4", true);
    let opened_before = opened_flows(&fleet, "order-4");
    fleet
        .wait_for("order-4 to accept a flow after the restore", || {
            opened_flows(&fleet, "order-4") > opened_before
        })
        .unwrap();
    let opened_before = opened_flows(&fleet, "feed-4");
    let late_feeds = CallerThread::hold_feeds(&fleet, 4, 24);
    assert!(opened_flows(&fleet, "feed-4") > opened_before);
    wait_all_ready(&fleet, &[&FIRST_HOSTS[..], &["order-4", "feed-4"]].concat());
    orders.finish_answered();
    for feeds in [old_feeds, new_feeds, late_feeds] {
        feeds.finish_held();
    }
}

#[test]
fn host_that_left_in_lost_interval_gets_no_orders_and_leaves_the_roster_again() {
    let mut fleet = start_fleet("restore-departed-host");
    let feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let orders = CallerThread::send_orders(&fleet, 2);
    let listed = stored_host_state(&fleet, "order-2");
    assert_eq!(listed.as_deref(), Some("serving"));
    let point = restore_point(&fleet);
    assert_eq!(fleet.stop("order-2").unwrap(), Some(0));
    wait_stored_state(&fleet, "order-2", None);
    wait_in_walks(&fleet, "order-2", false);
    let started = fleet.backend_report("order-2").unwrap().starts;
    fleet.restore(point).unwrap();
    wait_stored_state(&fleet, "order-2", None);
    wait_in_walks(&fleet, "order-2", false);
    // An entry VM that starts now learns the roster from the platform as well.
    fleet.start_entry("entry-3", "dc-1").unwrap();
    wait_all_ready(
        &fleet,
        &["feed-1", "feed-2", "feed-3", "order-1", "order-3"],
    );
    wait_in_walks(&fleet, "order-2", false);
    orders.finish_answered();
    assert_eq!(fleet.backend_report("order-2").unwrap().starts, started);
    feeds.finish_held();
}

#[test]
fn host_draining_since_lost_interval_gets_no_new_feeds_and_keeps_its_own() {
    let mut fleet = start_fleet("restore-draining-host");
    let feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let listed = stored_host_state(&fleet, "feed-1");
    assert_eq!(listed.as_deref(), Some("serving"));
    let point = restore_point(&fleet);
    fleet.signal("feed-1", TERMINATE).unwrap();
    wait_stored_state(&fleet, "feed-1", Some("leaving"));
    let opened_before = opened_flows(&fleet, "feed-1");
    assert!(opened_before > 0);
    fleet.restore(point).unwrap();
    let late_feeds = CallerThread::hold_feeds(&fleet, 2, 24);
    wait_stored_state(&fleet, "feed-1", Some("leaving"));
    assert_eq!(opened_flows(&fleet, "feed-1"), opened_before);
    feeds.finish_held();
    assert_eq!(fleet.wait_for_exit("feed-1").unwrap(), Some(0));
    wait_stored_state(&fleet, "feed-1", None);
    late_feeds.finish_held();
}

#[test]
fn entry_vm_that_joined_in_lost_interval_is_a_member_again() {
    let mut fleet = start_fleet("restore-new-entry");
    let feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let orders = CallerThread::send_orders(&fleet, 2);
    let point = restore_point(&fleet);
    fleet.start_entry("entry-3", "dc-1").unwrap();
    wait_members(&fleet, &["entry-1", "entry-2", "entry-3"]);
    fleet.restore(point).unwrap();
    wait_members(&fleet, &["entry-1", "entry-2", "entry-3"]);
    wait_all_ready(&fleet, &FIRST_HOSTS);
    orders.finish_answered();
    feeds.finish_held();
}

#[test]
fn fleet_follows_platform_over_two_restores_with_an_entry_vm_killed_in_between() {
    let name = "restore-twice";
    let mut fleet = start_fleet(name);
    fleet.start_entry("entry-3", "dc-1").unwrap();
    let three = ["entry-1", "entry-2", "entry-3"];
    wait_members(&fleet, &three);
    let feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let point = restore_point(&fleet);
    fleet.start_host(&order_host("order-4")).unwrap();
    wait_all_ready(&fleet, &["order-4"]);
    let lost = order_desk_at(name, LOST_ADDRESS);
    commit(&fleet, &lost);
    wait_routed(&fleet, LOST_ADDRESS, common::ORDER_SERVICE);
    fleet.restore(point).unwrap();
    fleet.kill("entry-1").unwrap();
    commit(&fleet, &lost);
    fleet.start_entry("entry-4", "dc-1").unwrap();
    assert_eq!(fleet.restore(point).unwrap().era, 2);
    let printed = commit(&fleet, &order_desk_at(name, KEPT_ADDRESS));
    wait_stored_state(&fleet, "order-4", Some("serving"));
    wait_members(&fleet, &["entry-2", "entry-3", "entry-4"]);
    assert_eq!(wait_exit_code(&fleet, &printed, "30"), Some(0));
    wait_routed(&fleet, KEPT_ADDRESS, LOST_ADDRESS);
    let hosts = ["order-1", "order-2", "order-3", "order-4"];
    wait_orders_accepted(&fleet, 2, KEPT_ADDRESS, &hosts);
    wait_all_ready(&fleet, &[&FIRST_HOSTS[..], &["order-4"]].concat());
    feeds.finish_held();
}

#[test]
fn entry_vm_paused_over_two_restores_follows_platform_after_it_resumes() {
    let name = "restore-paused-entry";
    let mut fleet = start_fleet(name);
    fleet.start_entry("entry-3", "dc-1").unwrap();
    let three = ["entry-1", "entry-2", "entry-3"];
    wait_members(&fleet, &three);
    let feeds = CallerThread::hold_feeds(&fleet, 1, 12);
    let point = restore_point(&fleet);
    for _ in 0..LOST_COMMITS {
        commit(&fleet, &order_desk_at(name, LOST_ADDRESS));
    }
    let lost_version = stored_version(&fleet, "manifest/calinawan");
    wait_routed(&fleet, LOST_ADDRESS, common::ORDER_SERVICE);
    fleet.signal("entry-1", PAUSE).unwrap();
    fleet.restore(point).unwrap();
    fleet.restore(point).unwrap();
    let printed = commit(&fleet, &order_desk_at(name, KEPT_ADDRESS));
    assert!(stored_version(&fleet, "manifest/calinawan") <= lost_version);
    fleet.signal("entry-1", RESUME).unwrap();
    wait_members(&fleet, &three);
    assert_eq!(wait_exit_code(&fleet, &printed, "30"), Some(0));
    wait_routed(&fleet, KEPT_ADDRESS, LOST_ADDRESS);
    wait_orders_accepted(&fleet, 2, KEPT_ADDRESS, &["order-1", "order-2", "order-3"]);
    feeds.finish_held();
}

#[test]
fn wait_does_not_report_lost_version_as_in_force() {
    let name = "restore-wait";
    let fleet = start_fleet(name);
    let point = restore_point(&fleet);
    let lost_printed = commit(&fleet, &order_desk_at(name, LOST_ADDRESS));
    let lost_version = stored_version(&fleet, "manifest/calinawan");
    assert_eq!(wait_exit_code(&fleet, &lost_printed, "30"), Some(0));
    wait_routed(&fleet, LOST_ADDRESS, common::ORDER_SERVICE);
    fleet.restore(point).unwrap();
    // The manifest that the platform has now comes in force again.
    wait_routed(&fleet, common::ORDER_SERVICE, LOST_ADDRESS);
    assert_eq!(wait_exit_code(&fleet, &lost_printed, SHORT_WAIT), Some(1));
    let kept = order_desk_at(name, KEPT_ADDRESS);
    let printed = commit_up_to(&fleet, &kept, lost_version, point);
    assert_eq!(wait_exit_code(&fleet, &printed, "30"), Some(0));
    assert_eq!(wait_exit_code(&fleet, &lost_printed, SHORT_WAIT), Some(1));
}

// Starts a platform without entry VMs and hosts, so that only operators write to it, and
// commits a first manifest.
fn start_platform(name: &str) -> Fleet {
    let fleet =
        Fleet::start_temporary(&program_folder().unwrap(), &common::output_folder(name)).unwrap();
    fleet.grant(&[("10.30.0.0/16", "calinawan")]).unwrap();
    commit(&fleet, &order_desk_at(name, common::ORDER_SERVICE));
    fleet
}

// Returns the address of the order desk in the stored manifest.
fn stored_address(fleet: &Fleet) -> String {
    let object = read_object(fleet, "manifest/calinawan").unwrap();
    let address = &object["value"]["manifest"]["services"][0]["address"];
    address.as_str().unwrap().to_owned()
}

#[test]
fn plan_shows_changes_of_lost_commit_and_commit_makes_them_again() {
    let name = "restore-plan";
    let fleet = start_platform(name);
    let manifest = order_desk_at(name, LOST_ADDRESS);
    let point = restore_point(&fleet);
    let (_, first_plan) = run_manifest_command(&fleet, &["plan"], &manifest);
    commit(&fleet, &manifest);
    let (_, plan) = run_manifest_command(&fleet, &["plan"], &manifest);
    assert_eq!(plan["changes"], serde_json::json!([]));
    fleet.restore(point).unwrap();
    let (code, plan) = run_manifest_command(&fleet, &["plan"], &manifest);
    assert_eq!(code, Some(0));
    assert_eq!(plan["changes"], first_plan["changes"]);
    assert_eq!(stored_address(&fleet), common::ORDER_SERVICE);
    let base = version_text(&plan["base"]);
    let (code, _) = run_manifest_command(&fleet, &["commit", "--base", &base], &manifest);
    assert_eq!(code, Some(0));
    assert_eq!(stored_address(&fleet), LOST_ADDRESS);
}

#[test]
fn commit_on_lost_version_conflicts_although_its_number_is_assigned_again() {
    let name = "restore-commit-base";
    let fleet = start_platform(name);
    let point = restore_point(&fleet);
    let lost_base = commit(&fleet, &order_desk_at(name, LOST_ADDRESS));
    let lost_version = stored_version(&fleet, "manifest/calinawan");
    fleet.restore(point).unwrap();
    commit_up_to(
        &fleet,
        &order_desk_at(name, KEPT_ADDRESS),
        lost_version,
        point,
    );
    let next = order_desk_at(name, "10.30.0.1:7010");
    let (code, _) = run_manifest_command(&fleet, &["commit", "--base", &lost_base], &next);
    assert_eq!(
        code,
        Some(1),
        "the base was lost; another commit came first"
    );
    assert_eq!(stored_address(&fleet), KEPT_ADDRESS);
}

#[test]
fn repeated_commit_id_of_lost_commit_is_reported_as_committed_only_if_stored() {
    let name = "restore-commit-id";
    let fleet = start_platform(name);
    let manifest = order_desk_at(name, LOST_ADDRESS);
    let (_, plan) = run_manifest_command(&fleet, &["plan"], &manifest);
    let base = version_text(&plan["base"]);
    let point = restore_point(&fleet);
    let arguments = ["commit", "--base", &base, "--id", "00000000000000aa"];
    let (code, _) = run_manifest_command(&fleet, &arguments, &manifest);
    assert_eq!(code, Some(0));
    fleet.restore(point).unwrap();
    let (code, _) = run_manifest_command(&fleet, &arguments, &manifest);
    assert!(matches!(code, Some(0 | 1)), "{code:?}");
    assert_eq!(code == Some(0), stored_address(&fleet) == LOST_ADDRESS);
}
