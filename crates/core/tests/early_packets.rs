//! Packets that arrive before an entry VM has read the configuration.

mod common;

use chestnutlb_core::early_packets::{EARLY_PACKET_LIFETIME, EARLY_PACKET_LIMIT, EarlyPacket};
use chestnutlb_core::{EarlyPackets, TimePoint};
use common::key;

fn bytes(packets: Vec<EarlyPacket>) -> Vec<Vec<u8>> {
    packets.into_iter().map(|early| early.bytes).collect()
}

const LIFETIME_MS: u64 = EARLY_PACKET_LIFETIME.as_millis() as u64;

#[test]
fn newest_packet_of_each_flow_is_tried_with_each_view_until_one_is_confirmed() {
    let mut packets = EarlyPackets::default();
    assert!(packets.keep(key(1), b"first", TimePoint(10)));
    assert!(packets.keep(key(2), b"other", TimePoint(20)));
    assert!(packets.keep(key(1), b"second", TimePoint(30)));
    let taken = bytes(packets.take(false, TimePoint(40)));
    assert_eq!(taken, [b"other".to_vec(), b"second".to_vec()]);
    assert!(packets.is_empty());
    // A packet that this view does not help either is kept again.
    assert!(packets.keep(key(2), b"other", TimePoint(40)));
    assert_eq!(bytes(packets.take(true, TimePoint(50))), [b"other"]);
    assert!(!packets.keep(key(2), b"later", TimePoint(60)));
    assert!(packets.take(true, TimePoint(70)).is_empty());
}

#[test]
fn old_packets_and_those_beyond_the_limit_are_dropped() {
    let mut packets = EarlyPackets::default();
    packets.keep(key(1), b"old", TimePoint(0));
    packets.keep(key(2), b"recent", TimePoint(1));
    assert_eq!(
        bytes(packets.take(false, TimePoint(LIFETIME_MS))),
        [b"recent"]
    );
    for port in 0..=EARLY_PACKET_LIMIT.get() as u16 {
        packets.keep(key(port), b"packet", TimePoint(0));
    }
    let taken = packets.take(true, TimePoint(1));
    assert_eq!(taken.len(), EARLY_PACKET_LIMIT.get());
}
