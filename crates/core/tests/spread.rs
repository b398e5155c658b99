//! Spread of changes among 70 entry VMs of five data centres, in virtual time.

mod common;

use chestnutlb_core::control::HEARTBEAT_PERIOD;
use common::fleet::Fleet;

const ENTRIES: usize = 70;
const DATACENTERS: usize = 5;
/// Time after which a fleet that has just started is settled.
const SETTLE_MS: u64 = 5_000;
/// Time in which gossip of a change ends, before the next heartbeats.
const GOSSIP_MS: u64 = 100;
/// A configuration is in force on every entry VM within this time.
const CONFIGURATION_MS: u64 = 3_000;

fn settled_fleet() -> Fleet {
    let mut fleet = Fleet::start(ENTRIES, DATACENTERS);
    fleet.run(SETTLE_MS);
    fleet.clear();
    fleet
}

#[test]
fn change_reaches_all_entry_vms_mostly_over_near_links() {
    let mut fleet = settled_fleet();
    let (mut near, mut far) = (0, 0);
    let period_ms = HEARTBEAT_PERIOD.as_millis() as u64;
    for round in 0..20 {
        (fleet.near, fleet.far) = (0, 0);
        let version = fleet.change_configuration(round * 7 % ENTRIES);
        fleet.run(GOSSIP_MS);
        near += fleet.near;
        far += fleet.far;
        // Those that no peer chose learn of it by a heartbeat.
        fleet.run(period_ms);
        assert!(fleet.has_configuration(version), "round {round}");
        fleet.run(period_ms - GOSSIP_MS);
    }
    assert!(near > 2 * far, "{near} near, {far} far");
}

// A third of the fleet and of the hosts changes: six versions of rosters a second.
#[test]
fn configuration_is_in_force_in_time_while_rosters_change() {
    let mut fleet = settled_fleet();
    for round in 0..10 {
        let version = fleet.change_configuration(round * 7 % ENTRIES);
        for change in 0..6 * CONFIGURATION_MS / 1_000 {
            fleet.change_roster((round * 11 + change as usize * 13) % ENTRIES);
            fleet.run(1_000 / 6);
        }
        assert!(fleet.has_configuration(version), "round {round}");
    }
}
