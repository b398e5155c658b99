//! Commits, rosters and members under faults of the platform, conflicting operators and
//! paused entry VMs.

mod common;

use std::collections::BTreeSet;

use chestnutlb_standin::fleet::Fleet;
use chestnutlb_standin::platform::PlatformSwitch;
use common::{
    end_name, find_host_of_order, new_caller, open_feeds, order_task, start_fleet, write_manifest,
};

const PAUSE: i32 = signal_hook::consts::SIGSTOP;
const RESUME: i32 = signal_hook::consts::SIGCONT;

#[test]
fn commit_succeeds_when_store_replies_are_lost() {
    let name = "lost-replies";
    let fleet = start_fleet(name);
    let second = write_manifest(name, "dalbit", &[("\"queue\": 64", "\"queue\": 65")]);
    // Two replies are lost, since a write of a tracker may use up one before the commit.
    fleet
        .switch(PlatformSwitch {
            lose_answers: 2,
            ..PlatformSwitch::default()
        })
        .unwrap();
    let version = fleet.commit(&second).unwrap();
    fleet.wait_in_force("dalbit", version).unwrap();
    // A second commit of the same manifest has a new commit id and causes no conflict.
    let repeated = fleet.commit(&second).unwrap();
    assert!(repeated > version);
}

#[test]
fn concurrent_commits_on_one_base_give_one_conflict() {
    let name = "race";
    let fleet = start_fleet(name);
    let short_warm_up = ("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100");
    let queue = |to| ("\"queue\": 64", to);
    let one = write_manifest(name, "dalbit", &[short_warm_up, queue("\"queue\": 70")]);
    let flows = ("\"flows\": 2000", "\"flows\": 1999");
    let other = write_manifest(
        name,
        "dalbit",
        &[short_warm_up, queue("\"queue\": 71"), flows],
    );
    let platform = format!("http://{}", fleet.platform);
    let plan = fleet
        .run_client(&[
            "plan",
            "--json",
            "--platform",
            &platform,
            &one.to_string_lossy(),
        ])
        .unwrap();
    let plan: serde_json::Value = serde_json::from_slice(&plan.stdout).unwrap();
    assert_eq!(plan["changes"], serde_json::json!(["~ dalbit/patterns"]));
    let base = plan["base"].to_string();
    let codes: Vec<_> = std::thread::scope(|scope| {
        let commits: Vec<_> = [&one, &other]
            .map(|path| {
                let (fleet, platform, base) = (&fleet, &platform, &base);
                scope.spawn(move || {
                    let path = path.to_string_lossy();
                    let arguments = ["commit", "--platform", platform, "--base", base, &path];
                    fleet.run_client(&arguments).unwrap().status.code().unwrap()
                })
            })
            .into_iter()
            .collect();
        let mut codes: Vec<_> = commits.into_iter().map(|run| run.join().unwrap()).collect();
        codes.sort_unstable();
        codes
    });
    assert_eq!(codes, [0, 1]);
}

#[test]
fn manifest_with_address_of_another_firm_is_rejected() {
    let name = "foreign-address";
    let fleet = start_fleet(name);
    let conflicting = write_manifest(name, "dalbit", &[("10.20.0.2:7000", "10.30.0.1:7000")]);
    let error = fleet.commit(&conflicting).unwrap_err().to_string();
    assert!(error.contains("services[1].address"), "{error}");
    let mut callers = new_caller(&fleet, 1);
    callers.add(order_task(1, 0, 5, 10));
    callers.run(|_| false);
    assert_eq!(end_name(&callers.results()[0].end), "answered");
}

#[test]
fn new_entry_loads_manifests_from_peers_during_platform_outage() {
    let name = "outage";
    let mut fleet = start_fleet(name);
    let mut feeds = open_feeds(&fleet, 10);
    fleet
        .switch(PlatformSwitch {
            down: true,
            ..PlatformSwitch::default()
        })
        .unwrap();
    fleet.start_entry("entry-3", "dc-1").unwrap();
    fleet
        .wait_for("the new entry VM to load the manifests", || {
            fleet.entry_status("entry-3").is_some_and(|status| {
                let manifests = status.documents.iter().filter(|d| d.kind == "manifest");
                manifests.count() == 2
            })
        })
        .unwrap();
    // From here on only the new entry VM runs.
    fleet.kill("entry-1").unwrap();
    fleet.kill("entry-2").unwrap();
    let mut callers = new_caller(&fleet, 2);
    for id in 0..20 {
        callers.add(order_task(id, id as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
    }
    let before = feeds.elapsed();
    let later = before + std::time::Duration::from_secs(3);
    feeds.run(|feeds| feeds.elapsed() > later);
    feeds.end_feeds();
    for result in feeds.results() {
        assert_eq!(end_name(&result.end), "held", "{result:?}");
    }
}

// Starts orders and returns the data centres of the hosts that ran them.
fn run_orders(fleet: &Fleet, caller: u8, first: usize) -> BTreeSet<&'static str> {
    let ids = first..first + 20;
    let mut callers = new_caller(fleet, caller);
    for id in ids.clone() {
        callers.add(order_task(id, (id - first) as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(end_name(&result.end), "answered", "{result:?}");
    }
    let hosts = ids.filter_map(|id| find_host_of_order(fleet, &format!("o{id}")));
    hosts.map(|host| datacenter_of(&host)).collect()
}

// As `plan_hosts` places them.
fn datacenter_of(host: &str) -> &'static str {
    if host == "order-2" { "dc-1" } else { "dc-2" }
}

#[test]
fn drained_data_centre_gets_no_orders_until_it_is_taken_back_and_its_feeds_stay() {
    let name = "drain";
    let fleet = start_fleet(name);
    let mut feeds = open_feeds(&fleet, 12);
    let platform = format!("http://{}", fleet.platform);
    let run = |command, datacenter| {
        let arguments = [command, "--platform", &platform, datacenter];
        let output = fleet.run_client(&arguments).unwrap();
        output.status.code().unwrap()
    };
    assert_eq!(run("drain", "dc-9"), 2, "an unknown data centre");
    let wait_drained = |expected: &[&str]| {
        fleet
            .wait_for("the drain to be in force", || {
                let mut statuses = fleet
                    .entries()
                    .into_iter()
                    .map(|entry| fleet.entry_status(&entry));
                statuses.all(|status| status.is_some_and(|status| status.drained == expected))
            })
            .unwrap();
    };
    assert_eq!(run("drain", "dc-2"), 0);
    assert_eq!(run("drain", "dc-2"), 0, "again");
    wait_drained(&["dc-2"]);
    assert_eq!(run_orders(&fleet, 2, 0), BTreeSet::from(["dc-1"]));
    let explanation = fleet.explain("entry-1", "10.30.0.1:7000").unwrap();
    assert_eq!(explanation.drained, ["dc-2"]);
    assert_eq!(explanation.opening.len(), 1);
    assert_eq!(run("undrain", "dc-2"), 0);
    wait_drained(&[]);
    assert_eq!(run_orders(&fleet, 3, 100), BTreeSet::from(["dc-1", "dc-2"]));
    let until = feeds.elapsed() + std::time::Duration::from_secs(1);
    feeds.run(|feeds| feeds.elapsed() > until);
    feeds.end_feeds();
    for result in feeds.results() {
        assert_eq!(end_name(&result.end), "held", "{result:?}");
    }
}

#[test]
fn stale_platform_replies_revert_no_manifest() {
    let name = "stale";
    let mut fleet = start_fleet(name);
    let second = write_manifest(name, "dalbit", &[("\"queue\": 64", "\"queue\": 66")]);
    let version = fleet.commit(&second).unwrap();
    fleet.wait_in_force("dalbit", version).unwrap();
    fleet
        .switch(PlatformSwitch {
            stale: true,
            ..PlatformSwitch::default()
        })
        .unwrap();
    fleet.start_entry("entry-3", "dc-1").unwrap();
    for entry in ["entry-1", "entry-2", "entry-3"] {
        fleet
            .wait_for("the version in force", || {
                fleet.entry_status(entry).is_some_and(|status| {
                    status.documents.iter().any(|d| {
                        d.kind == "manifest" && d.name == "dalbit" && d.version.0 >= version
                    })
                })
            })
            .unwrap();
    }
}

#[test]
fn resumed_entry_marks_no_host_suspect() {
    let name = "paused-entry";
    let mut fleet = start_fleet(name);
    fleet.start_entry("entry-3", "dc-1").unwrap();
    let names: Vec<_> = common::plan_hosts()
        .into_iter()
        .map(|host| host.name)
        .collect();
    fleet.wait_ready(&["entry-3".to_owned()], &names).unwrap();
    fleet.signal("entry-1", PAUSE).unwrap();
    fleet
        .wait_for("entry-1 to leave the member list", || {
            fleet
                .entry_status("entry-3")
                .is_some_and(|status| status.entries.iter().all(|e| e.name != "entry-1"))
        })
        .unwrap();
    fleet.signal("entry-1", RESUME).unwrap();
    fleet
        .wait_for("entry-1 to return to the member list", || {
            fleet
                .entry_status("entry-3")
                .is_some_and(|status| status.entries.iter().any(|e| e.name == "entry-1"))
        })
        .unwrap();
    let has_marked_suspect = fleet.log("entry-1").contains("\"state\":\"suspect\"");
    assert!(
        !has_marked_suspect,
        "a resumed tracker must not mark hosts suspect"
    );
    assert!(
        fleet
            .roster_hosts()
            .iter()
            .all(|host| host.state == "serving")
    );
}

#[test]
fn client_commands_and_metrics_match_fleet_state() {
    let name = "operators";
    let mut fleet = start_fleet(name);
    let receiver = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let std::net::SocketAddr::V4(address) = receiver.local_addr().unwrap() else {
        panic!("not IPv4");
    };
    fleet.metrics = Some(address);
    fleet.start_entry("entry-3", "dc-1").unwrap();
    fleet
        .wait_for("entry-3 to be listed", || {
            fleet
                .entry_status("entry-1")
                .is_some_and(|status| status.entries.len() == 3)
        })
        .unwrap();
    let entry = fleet.entry_addresses("entry-1").unwrap().status.to_string();
    let run_json = |arguments: &[&str]| -> serde_json::Value {
        let output = fleet.run_client(arguments).unwrap();
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    };
    let status = run_json(&["status", "--json", "--entry", &entry]);
    assert_eq!(status["entries"].as_array().unwrap().len(), 3);
    assert_eq!(status["hosts"].as_object().unwrap().len(), 6);
    let arguments = ["explain", "--json", "--entry", &entry];
    let flow = [
        "--caller",
        "10.9.1.1:10000",
        "--service",
        common::FEED_SERVICE,
    ];
    let explained = run_json(&[&arguments[..], &flow].concat());
    assert_eq!(explained["service"], "dalbit/catalogue");
    assert_eq!(explained["opening"].as_array().unwrap().len(), 3);
    assert_eq!(explained["complete"], true);
    assert!(explained["view_age_ms"].as_u64().is_some());
    let named = [
        "--caller",
        "10.9.1.1:10000",
        "--service",
        "dalbit/catalogue",
    ];
    let mut by_name = run_json(&[&arguments[..], &named].concat());
    by_name["view_age_ms"] = explained["view_age_ms"].clone();
    assert_eq!(by_name, explained);
    let unknown_name = ["--caller", "10.9.1.1:10000", "--service", "dalbit/none"];
    let output = fleet
        .run_client(&[&arguments[..], &unknown_name].concat())
        .unwrap();
    assert_eq!(output.status.code(), Some(3));
    let unknown_service = ["--caller", "10.9.1.1:10000", "--service", "10.99.0.1:1"];
    let output = fleet
        .run_client(&[&arguments[..], &unknown_service].concat())
        .unwrap();
    assert_eq!(output.status.code(), Some(3));
    let wait = ["wait", "--json", "--entry", &entry, "--firm", "dalbit"];
    let version = ["--manifest", "999999", "--seconds", "1"];
    let output = fleet.run_client(&[&wait[..], &version].concat()).unwrap();
    assert_eq!(output.status.code(), Some(1));

    let mut datagram = [0; 2048];
    let len = receiver.recv(&mut datagram).unwrap();
    let metric = String::from_utf8_lossy(&datagram[..len]).into_owned();
    assert!(metric.starts_with("chestnutlb.entry."), "{metric}");
}
