//! Size of the datagrams that name registration targets.

use std::net::SocketAddrV4;

use chestnutlb_core::members::{FULL_MESH_FLEET, TRACKERS_PER_HOST};
use chestnutlb_core::{EntryRecord, Incarnation, RegistrationReply};
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
