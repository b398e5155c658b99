//! Size of the datagrams that name registration targets.

use std::net::SocketAddrV4;
use std::num::NonZeroU32;

use chestnutlb_core::members::{FULL_MESH_FLEET, TRACKERS_PER_HOST};
use chestnutlb_core::opening_rules::OpeningRules;
use chestnutlb_core::{
    ColdLimit, DrainNotice, EntryRecord, Incarnation, ObjectVersion, RegistrationReply,
};
use chestnutlb_wire::peer::{MAX_PEER_DATAGRAM_BYTES, write_registration_reply};
use chestnutlb_wire::{PeerMessage, scan_message};

const LONGEST_NAME_BYTES: usize = 63;

// Returns a reply to a registration with this many targets, whose other fields are as long as
// they may be.
fn reply(targets: usize, name_bytes: usize) -> RegistrationReply {
    let name = |prefix: &str| format!("{prefix:x<name_bytes$}");
    let address = SocketAddrV4::new([255, 255, 255, 255].into(), u16::MAX);
    RegistrationReply {
        targets: (0..targets)
            .map(|number| EntryRecord {
                name: name(&format!("e{number}-")).parse().unwrap(),
                datacenter: name("dc-").parse().unwrap(),
                peers: address,
                status: address,
                incarnation: Incarnation(u64::MAX),
            })
            .collect(),
        slice_hash: u64::MAX,
        fresh: true,
        resend: false,
        opening: OpeningRules::default(),
    }
}

fn received(bytes: &[u8]) -> RegistrationReply {
    let Ok(PeerMessage::Welcome(wire)) = scan_message(bytes) else {
        panic!("no reply")
    };
    RegistrationReply::try_from(&wire).unwrap()
}

#[test]
fn reply_with_all_targets_of_a_full_mesh_and_names_of_24_bytes_fits() {
    let sent = reply(FULL_MESH_FLEET, 24);
    let datagram = write_registration_reply(&sent);
    println!("{} bytes", datagram.bytes.len());
    assert!(datagram.bytes.len() <= MAX_PEER_DATAGRAM_BYTES);
    assert_eq!(datagram.dropped_targets, 0);
    assert_eq!(received(&datagram.bytes), sent);
}

#[test]
fn opening_rules_round_trip_and_cost_no_byte_where_there_are_none() {
    let plain = reply(2, 24);
    let limit = ColdLimit(NonZeroU32::new(40).unwrap());
    let notice = DrainNotice {
        version: ObjectVersion(77),
        drained: true,
    };
    let cases = [
        (None, None),
        (Some(notice), None),
        (None, Some(limit)),
        (Some(notice), Some(limit)),
    ];
    let sizes = cases.map(|(drain, cold)| {
        let opening = OpeningRules {
            drain,
            cold,
            learns_capacity: cold.is_some(),
        };
        let sent = RegistrationReply {
            opening,
            ..plain.clone()
        };
        let datagram = write_registration_reply(&sent);
        assert_eq!(received(&datagram.bytes), sent);
        datagram.bytes.len()
    });
    // The earlier format: an array of four fields, without the rules.
    let PeerMessage::Welcome(wire) = scan_message(&write_registration_reply(&plain).bytes).unwrap()
    else {
        panic!("no reply")
    };
    let earlier = (&wire.keepers, wire.slice, wire.fresh, wire.resend);
    let earlier =
        rmp_serde::to_vec(&std::collections::BTreeMap::from([("Welcome", earlier)])).unwrap();
    assert_eq!(sizes[0], 1 + earlier.len());
    assert!(sizes[3] > sizes[0], "{sizes:?}");
}

#[test]
fn reply_with_the_longest_names_has_the_first_targets_and_fits() {
    let sent = reply(FULL_MESH_FLEET, LONGEST_NAME_BYTES);
    let datagram = write_registration_reply(&sent);
    assert!(datagram.bytes.len() <= MAX_PEER_DATAGRAM_BYTES);
    let named = received(&datagram.bytes).targets;
    println!("{} bytes, {} targets", datagram.bytes.len(), named.len());
    assert!(named.len() >= TRACKERS_PER_HOST);
    assert_eq!(named, sent.targets[..named.len()]);
    assert_eq!(datagram.dropped_targets, FULL_MESH_FLEET - named.len());
    let longer = reply(named.len() + 1, LONGEST_NAME_BYTES);
    assert_eq!(
        write_registration_reply(&longer).dropped_targets,
        1,
        "no more would fit"
    );
}
