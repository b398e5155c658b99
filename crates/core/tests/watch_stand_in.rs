//! Entry VMs that reach the store while its watchers do not, in virtual time: how long an old
//! configuration stays in force, and how often the store is read.

mod common;

use std::time::Duration;

use chestnutlb_core::ObjectVersion;
use common::fleet::{Fleet, configuration};

const DEADLINES: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(6)];
/// Time within which all entry VMs start.
const START_MS: u64 = 300;
const SETTLE_MS: u64 = 10_000;
/// Length of a day without faults.
const CALM_MS: u64 = 60_000;
/// Sizes of fleets: entry VMs and data centres.
const FLEETS: [(usize, usize); 3] = [(6, 3), (25, 4), (59, 5)];

fn settled(entries: usize, datacenters: usize, deadline: Duration) -> Fleet {
    let mut fleet = Fleet::start_with_deadline(entries, datacenters, deadline, START_MS);
    fleet.run(SETTLE_MS);
    fleet.commit();
    fleet.run(SETTLE_MS);
    fleet
}

// Cuts the entry VMs for which `is_cut` holds off from the store, and waits.
fn cut(fleet: &mut Fleet, is_cut: impl Fn(&Fleet, usize) -> bool, wait_ms: u64) {
    for number in 0..fleet.controls.len() {
        fleet.reaches_store[number] = !is_cut(fleet, number);
    }
    fleet.run(wait_ms);
}

// Returns the time until a new configuration is in force on all entry VMs that run.
fn time_to_force(fleet: &mut Fleet) -> u64 {
    let version = fleet.commit();
    let begin = fleet.now;
    while !fleet.has_configuration(version) && fleet.now < begin + 60_000 {
        fleet.run(10);
    }
    fleet.now - begin
}

#[test]
fn change_is_in_force_in_time_though_no_watcher_reaches_the_store() {
    for (entries, datacenters) in FLEETS {
        for deadline in DEADLINES {
            // The cut begins at different times before the change.
            for wait_ms in [0, 200, 1_000, 2_700, 9_000] {
                let mut fleet = settled(entries, datacenters, deadline);
                cut(&mut fleet, |fleet, number| fleet.watches[number], wait_ms);
                let millis = time_to_force(&mut fleet);
                assert!(
                    u128::from(millis) < deadline.as_millis(),
                    "{entries} entry VMs, {deadline:?}, cut {wait_ms} ms before: {millis} ms"
                );
            }
        }
    }
}

#[test]
fn change_is_in_force_in_time_though_one_entry_vm_reaches_the_store() {
    for deadline in DEADLINES {
        let mut fleet = settled(6, 3, deadline);
        let reached = (0..6).find(|number| !fleet.watches[*number]).unwrap();
        cut(&mut fleet, |_, number| number != reached, 100);
        let millis = time_to_force(&mut fleet);
        assert!(
            u128::from(millis) < deadline.as_millis(),
            "{deadline:?}: {millis} ms"
        );
    }
}

#[test]
fn change_is_in_force_in_time_on_the_only_entry_vm_left() {
    for deadline in DEADLINES {
        let mut fleet = settled(6, 3, deadline);
        let left = (0..6).find(|number| !fleet.watches[*number]).unwrap();
        for number in 0..6 {
            fleet.runs[number] = number == left;
        }
        let millis = time_to_force(&mut fleet);
        assert!(
            u128::from(millis) < deadline.as_millis(),
            "{deadline:?}: {millis} ms"
        );
    }
}

#[test]
fn calm_fleet_reads_little_more_than_its_watchers() {
    for (entries, datacenters) in FLEETS {
        let mut fleet = settled(entries, datacenters, DEADLINES[1]);
        (fleet.watch_calls, fleet.probe_calls) = (0, 0);
        fleet.run(CALM_MS);
        let watchers = fleet.watches.iter().filter(|watches| **watches).count();
        let extra = fleet.probe_calls * 20;
        assert!(
            extra <= fleet.watch_calls && watchers <= datacenters + entries / 10,
            "{entries} entry VMs: {} probes, {} watches, {watchers} watchers",
            fleet.probe_calls,
            fleet.watch_calls
        );
    }
}

// While the store answers nobody, every entry VM asks once in the deadline, spread over time.
#[test]
fn store_that_answers_nobody_is_asked_seldom_and_not_by_all_at_once() {
    let (entries, datacenters) = (200, 5);
    let mut fleet = settled(entries, datacenters, DEADLINES[0]);
    cut(&mut fleet, |_, _| true, 3_000);
    let mut most = 0;
    for _ in 0..30 {
        let before = fleet.failed_calls;
        fleet.run(100);
        most = most.max(fleet.failed_calls - before);
    }
    assert!(most <= entries as u64 / 4, "{most} calls in 100 ms");
    // One of them that reaches the store again brings the change to all.
    fleet.reaches_store[7] = true;
    let millis = time_to_force(&mut fleet);
    assert!(u128::from(millis) < DEADLINES[0].as_millis(), "{millis} ms");
    let version = fleet.controls[8].documents().version(&configuration());
    assert!(version > ObjectVersion(0));
}
