//! Whom hosts announce themselves to.

use std::net::SocketAddrV4;

use chestnutlb_core::members::{MemberRing, REGISTRATION_FANOUT, SMALL_FLEET, TRACKERS_PER_HOST};
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
fn small_fleets_hear_hosts_directly_and_large_ones_through_keepers() {
    let host: HostName = "catalogue-1".parse().unwrap();
    let registration_targets = |entries: usize| {
        let all = ring(entries);
        let names = |chosen: Vec<&EntryRecord>| -> Vec<String> {
            chosen.iter().map(|entry| entry.name.to_string()).collect()
        };
        let trackers = names(all.trackers(&host, &all));
        let registration_targets = names(all.registration_targets(&host, &all));
        assert_eq!(
            registration_targets[..trackers.len()],
            trackers,
            "keepers come first"
        );
        registration_targets.len()
    };
    assert_eq!(registration_targets(1), 1);
    assert_eq!(registration_targets(4), 4);
    assert_eq!(registration_targets(SMALL_FLEET), REGISTRATION_FANOUT);
    assert_eq!(registration_targets(SMALL_FLEET + 1), TRACKERS_PER_HOST);
}
