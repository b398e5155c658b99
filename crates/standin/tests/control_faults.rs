//! Commits, rosters and members while the platform, operators and entry VMs
//! misbehave.

mod common;

use chestnutlb_standin::platform::PlatformSwitch;
use common::{caller, manifest, open_feeds, order, start, word};

const STOP: i32 = signal_hook::consts::SIGSTOP;
const CONTINUE: i32 = signal_hook::consts::SIGCONT;

#[test]
fn a_commit_whose_answer_is_lost_is_found_out() {
    let name = "lost-answer";
    let fleet = start(name);
    let second = manifest(name, "dalbit", &[("\"queue\": 64", "\"queue\": 65")]);
    // The keepers may take a lost answer first; then the commit's are lost too.
    fleet
        .switch(PlatformSwitch {
            lose_answers: 2,
            ..PlatformSwitch::default()
        })
        .unwrap();
    let version = fleet.commit(&second).unwrap();
    fleet.wait_in_force("dalbit", version).unwrap();
    // Committing the same change again by another id meets no conflict.
    let again = fleet.commit(&second).unwrap();
    assert!(again > version);
}

#[test]
fn of_two_racing_operators_one_is_told_of_a_conflict() {
    let name = "race";
    let fleet = start(name);
    let warm = ("\"warm_up_ms\": 1000", "\"warm_up_ms\": 100");
    let queue = |to| ("\"queue\": 64", to);
    let one = manifest(name, "dalbit", &[warm, queue("\"queue\": 70")]);
    let flows = ("\"flows\": 2000", "\"flows\": 1999");
    let other = manifest(name, "dalbit", &[warm, queue("\"queue\": 71"), flows]);
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
                    let words = ["commit", "--platform", platform, "--base", base, &path];
                    fleet.run_client(&words).unwrap().status.code().unwrap()
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
fn one_firm_can_not_take_the_addresses_of_the_other() {
    let name = "foreign";
    let fleet = start(name);
    let greedy = manifest(name, "dalbit", &[("10.20.0.2:7000", "10.30.0.1:7000")]);
    let error = fleet.commit(&greedy).unwrap_err().to_string();
    assert!(error.contains("services[1].address"), "{error}");
    let mut callers = caller(&fleet, 1);
    callers.add(order(1, 0, 5, 10));
    callers.run(|_| false);
    assert_eq!(word(&callers.results()[0].end), "answered");
}

#[test]
fn without_the_platform_all_goes_on_and_a_new_entry_learns_from_peers() {
    let name = "outage";
    let mut fleet = start(name);
    let mut feeds = open_feeds(&fleet, 10);
    fleet
        .switch(PlatformSwitch {
            down: true,
            ..PlatformSwitch::default()
        })
        .unwrap();
    fleet.start_entry("entry-3", "dc-1").unwrap();
    fleet
        .wait_for("the new entry VM to know the manifests", || {
            fleet.entry_status("entry-3").is_some_and(|status| {
                let manifests = status.documents.iter().filter(|d| d.kind == "manifest");
                manifests.count() == 2
            })
        })
        .unwrap();
    // Only the new entry VM is left.
    fleet.kill("entry-1").unwrap();
    fleet.kill("entry-2").unwrap();
    let mut callers = caller(&fleet, 2);
    for id in 0..20 {
        callers.add(order(id, id as u64 * 10, 5, 10));
    }
    callers.run(|_| false);
    for result in callers.results() {
        assert_eq!(word(&result.end), "answered", "{result:?}");
    }
    let before = feeds.elapsed();
    let later = before + std::time::Duration::from_secs(3);
    feeds.run(|feeds| feeds.elapsed() > later);
    feeds.end_feeds();
    for result in feeds.results() {
        assert_eq!(word(&result.end), "held", "{result:?}");
    }
}

#[test]
fn a_platform_that_answers_old_versions_reverts_nothing() {
    let name = "stale";
    let mut fleet = start(name);
    let second = manifest(name, "dalbit", &[("\"queue\": 64", "\"queue\": 66")]);
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
                    status
                        .documents
                        .iter()
                        .any(|d| d.kind == "manifest" && d.name == "dalbit" && d.version >= version)
                })
            })
            .unwrap();
    }
}

#[test]
fn an_entry_that_was_frozen_comes_back_and_accuses_nobody() {
    let name = "frozen-entry";
    let mut fleet = start(name);
    fleet.start_entry("entry-3", "dc-1").unwrap();
    let names: Vec<_> = common::hosts().into_iter().map(|host| host.name).collect();
    fleet.wait_ready(&["entry-3".to_owned()], &names).unwrap();
    fleet.signal("entry-1", STOP).unwrap();
    fleet
        .wait_for("the others to miss it", || {
            fleet
                .entry_status("entry-3")
                .is_some_and(|status| status.entries.iter().all(|e| e.name != "entry-1"))
        })
        .unwrap();
    fleet.signal("entry-1", CONTINUE).unwrap();
    fleet
        .wait_for("it to be listed again", || {
            fleet
                .entry_status("entry-3")
                .is_some_and(|status| status.entries.iter().any(|e| e.name == "entry-1"))
        })
        .unwrap();
    let accused = fleet.log("entry-1").contains("\"state\":\"suspect\"");
    assert!(!accused, "a paused keeper must blame itself");
    assert!(
        fleet
            .roster_hosts()
            .iter()
            .all(|host| host.state == "serving")
    );
}

#[test]
fn operators_see_what_is_in_force_and_where_flows_go() {
    let name = "operators";
    let mut fleet = start(name);
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
    let ask = |words: &[&str]| -> serde_json::Value {
        let output = fleet.run_client(words).unwrap();
        assert_eq!(output.status.code(), Some(0), "{words:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    };
    let status = ask(&["status", "--json", "--entry", &entry]);
    assert_eq!(status["entries"].as_array().unwrap().len(), 3);
    assert_eq!(status["hosts"].as_object().unwrap().len(), 6);
    let words = ["explain", "--json", "--entry", &entry];
    let flow = ["--caller", "10.9.1.1:10000", "--service", common::FEEDS];
    let explained = ask(&[&words[..], &flow].concat());
    assert_eq!(explained["service"], "dalbit/catalogue");
    assert_eq!(explained["opening"].as_array().unwrap().len(), 3);
    assert_eq!(explained["complete"], true);
    let nowhere = ["--caller", "10.9.1.1:10000", "--service", "10.99.0.1:1"];
    let output = fleet.run_client(&[&words[..], &nowhere].concat()).unwrap();
    assert_eq!(output.status.code(), Some(3));
    let late = ["wait", "--json", "--entry", &entry, "--firm", "dalbit"];
    let version = ["--manifest", "999999", "--seconds", "1"];
    let output = fleet.run_client(&[&late[..], &version].concat()).unwrap();
    assert_eq!(output.status.code(), Some(1));

    let mut datagram = [0; 2048];
    let len = receiver.recv(&mut datagram).unwrap();
    let metric = String::from_utf8_lossy(&datagram[..len]).into_owned();
    assert!(metric.starts_with("chestnutlb.entry."), "{metric}");
}
