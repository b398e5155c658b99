//! Whom hosts announce themselves to.

use std::net::SocketAddrV4;

use chestnutlb_core::members::{ANNOUNCE_FANOUT, KEEPERS_PER_HOST, MemberRing, SMALL_FLEET};
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
    let listeners = |entries: usize| {
        let all = ring(entries);
        let names = |chosen: Vec<&EntryRecord>| -> Vec<String> {
            chosen.iter().map(|entry| entry.name.to_string()).collect()
        };
        let keepers = names(all.keepers(&host, &all));
        let listeners = names(all.listeners(&host, &all));
        assert_eq!(listeners[..keepers.len()], keepers, "keepers come first");
        listeners.len()
    };
    assert_eq!(listeners(1), 1);
    assert_eq!(listeners(4), 4);
    assert_eq!(listeners(SMALL_FLEET), ANNOUNCE_FANOUT);
    assert_eq!(listeners(SMALL_FLEET + 1), KEEPERS_PER_HOST);
}
