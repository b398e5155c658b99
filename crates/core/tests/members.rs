//! Registration targets of hosts.

use std::net::SocketAddrV4;

use chestnutlb_core::members::{
    FULL_FANOUT_FLEET, FULL_MESH_FLEET, MemberRing, REGISTRATION_FANOUT, TRACKERS_PER_HOST,
};
use chestnutlb_core::{EntryRecord, HostName, Incarnation};

fn ring(entries: usize) -> MemberRing {
    MemberRing::new((0..entries).map(|number| EntryRecord {
        name: format!("entry-{number}").parse().unwrap(),
        datacenter: "honam-1".parse().unwrap(),
        peers: SocketAddrV4::new([10, 0, 0, 1].into(), number as u16 + 1),
        status: SocketAddrV4::new([10, 0, 0, 2].into(), number as u16 + 1),
        incarnation: Incarnation(1),
    }))
}

#[test]
fn hosts_register_beyond_their_trackers_except_in_the_largest_fleets() {
    let host: HostName = "catalogue-1".parse().unwrap();
    let target_count = |entries: usize| {
        let all = ring(entries);
        let names = |chosen: Vec<&EntryRecord>| -> Vec<String> {
            chosen.iter().map(|entry| entry.name.to_string()).collect()
        };
        let trackers = names(all.trackers(&host, &all));
        let registration_targets = names(all.registration_targets(&host, &all));
        assert_eq!(
            registration_targets[..trackers.len()],
            trackers,
            "trackers come first"
        );
        registration_targets.len()
    };
    assert_eq!(target_count(1), 1);
    assert_eq!(target_count(4), 4);
    assert_eq!(target_count(FULL_MESH_FLEET), FULL_MESH_FLEET);
    assert_eq!(target_count(FULL_MESH_FLEET + 1), REGISTRATION_FANOUT);
    assert_eq!(target_count(FULL_FANOUT_FLEET), REGISTRATION_FANOUT);
    let fewest = REGISTRATION_FANOUT / TRACKERS_PER_HOST * FULL_FANOUT_FLEET;
    assert_eq!(target_count(fewest), TRACKERS_PER_HOST);
}
