//! Decoding of datagrams: invalid input yields an error and never a panic.

use std::time::Duration;

use std::net::SocketAddrV4;

use chestnutlb_core::owner_lookup::MAX_FLOWS_PER_QUERY;
use chestnutlb_core::{FlowKey, OwnershipReply, TcpSegment};
use chestnutlb_wire::packet::{
    MAX_DATAGRAM_BYTES, WireFlow, WireLookupQuery, WireLookupReply, advance, write_data,
    write_lookup_query, write_lookup_reply, write_reset,
};
use chestnutlb_wire::peer::{PeerHeartbeat, PullQuery, WireAges};
use chestnutlb_wire::{
    PacketError, PacketFrame, PacketHeader, PeerError, PeerMessage, WireEntry, WireHop, scan_frame,
    scan_message, scan_segment, write_message,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;

fn quickcheck() -> QuickCheck {
    println!("quickcheck seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(2_000)
}

fn header() -> PacketHeader {
    PacketHeader {
        tag: 7,
        generation: 3,
        complete: true,
        entry: (0x7f00_0001, 9001),
        hops: vec![
            WireHop {
                address: 0x7f00_0001,
                port: 9000,
                incarnation: 1_700_000_000_000,
            };
            3
        ],
    }
}

fn segment() -> TcpSegment {
    let address = |text: &str| text.parse::<SocketAddrV4>().unwrap();
    TcpSegment {
        key: FlowKey {
            caller: address("10.9.0.1:4000"),
            service: address("10.20.0.1:7000"),
        },
        is_syn: true,
        is_syn_ack: false,
        syn_copies: 0,
        is_fin: false,
        is_rst: false,
        sequence: 41,
        acknowledgement: None,
        payload: 0,
    }
}

fn datagram() -> Vec<u8> {
    let mut buffer = Vec::new();
    write_data(&mut buffer, &header(), &write_reset(&segment()));
    buffer
}

#[test]
fn data_packet_round_trips_and_advances() {
    let mut bytes = datagram();
    advance(&mut bytes);
    let Ok(PacketFrame::Data {
        header: read,
        position,
        inner,
    }) = scan_frame(&bytes)
    else {
        panic!("data packet can't be decoded");
    };
    assert_eq!((read, position), (header(), 1));
    let reset = scan_segment(inner).unwrap();
    assert!(reset.is_rst);
    assert_eq!(reset.acknowledgement, Some(42));
    assert_eq!(reset.key.caller, segment().key.service);
}

#[test]
fn damaged_datagrams_yield_specific_errors() {
    let valid = datagram();
    let with_byte = |offset: usize, byte: u8| {
        let mut bytes = valid.clone();
        bytes[offset] = byte;
        bytes
    };
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("empty", Vec::new()),
        ("truncated prefix", valid[..5].to_vec()),
        ("truncated header", valid[..20].to_vec()),
        ("other magic", with_byte(0, b'X')),
        ("other version", with_byte(2, 9)),
        ("unknown kind", with_byte(3, 77)),
        ("position past the plan", with_byte(4, 3)),
        ("header too large", with_byte(5, 0xff)),
        ("header not in MessagePack", with_byte(7, 0xc1)),
        (
            "large datagram without magic",
            vec![b'C'; MAX_DATAGRAM_BYTES + 1],
        ),
    ];
    let lines: Vec<_> = cases
        .iter()
        .map(|(name, bytes)| match scan_frame(bytes) {
            Ok(_) => format!("{name}: accepted"),
            Err(error) => format!("{name}: {error}"),
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn random_bytes_never_panic() {
    fn property(bytes: Vec<u8>, offset: usize, byte: u8) -> bool {
        let _ = scan_frame(&bytes);
        let _ = scan_segment(&bytes);
        let _ = scan_message::<PeerMessage>(&bytes);
        let _ = scan_message::<PullQuery>(&bytes);
        let mut damaged = datagram();
        let offset = offset % damaged.len();
        damaged[offset] = byte;
        if let Ok(PacketFrame::Data { inner, .. }) = scan_frame(&damaged) {
            let _ = scan_segment(inner);
        }
        damaged.truncate(offset);
        scan_frame(&damaged).is_err() || offset >= damaged.len()
    }
    quickcheck().quickcheck(property as fn(Vec<u8>, usize, u8) -> bool);
}

#[test]
fn messages_of_other_versions_and_malformed_messages_are_refused() {
    let entry = WireEntry {
        name: "entry-1".into(),
        datacenter: "honam-1".into(),
        peers: "10.2.0.1:9002".into(),
        status: "10.2.0.1:9003".into(),
        incarnation: 5,
    };
    let message = PeerMessage::Heartbeat(PeerHeartbeat {
        entry,
        summary: 1,
        ages: WireAges::new(
            Duration::from_millis(2),
            Duration::MAX,
            Duration::from_millis(7),
        ),
        recent: Vec::new(),
    });
    let mut bytes = write_message(&message);
    assert_eq!(scan_message(&bytes), Ok(message));
    bytes[0] += 1;
    assert_eq!(scan_message::<PeerMessage>(&bytes), Err(PeerError::Version));
    assert_eq!(scan_message::<PeerMessage>(&[]), Err(PeerError::Empty));
    assert_eq!(
        scan_message::<PeerMessage>(&[1, 0xc1]),
        Err(PeerError::Malformed)
    );
    assert_eq!(scan_segment(&[0x45; 2000]), Err(PacketError::Oversized));
}

// Flows whose encoded addresses and ports take the most bytes.
fn largest_flows() -> Vec<FlowKey> {
    (0..MAX_FLOWS_PER_QUERY)
        .map(|number| FlowKey {
            caller: SocketAddrV4::new([255; 4].into(), 65_535 - number as u16),
            service: SocketAddrV4::new([255; 4].into(), 65_535),
        })
        .collect()
}

#[test]
fn largest_lookup_query_and_reply_round_trip() {
    let keys = largest_flows();
    let flows: Vec<WireFlow> = keys.iter().copied().map(WireFlow::from).collect();
    let query = WireLookupQuery { flows };
    let mut buffer = Vec::new();
    write_lookup_query(&mut buffer, &query);
    assert_eq!(scan_frame(&buffer), Ok(PacketFrame::LookupQuery(query)));

    let ownerships = [
        OwnershipReply::Owned,
        OwnershipReply::NotOwned,
        OwnershipReply::Unknown,
    ];
    let replies: Vec<_> = keys
        .into_iter()
        .zip(ownerships.into_iter().cycle())
        .collect();
    write_lookup_reply(&mut buffer, &WireLookupReply::new(replies.iter().copied()));
    match scan_frame(&buffer) {
        Ok(PacketFrame::LookupReply(read)) => {
            assert_eq!(read.replies().collect::<Vec<_>>(), replies);
        }
        other => panic!("not a lookup reply: {other:?}"),
    }
}

// Returns the age that a release takes this number for which knows one age only.
fn age_for_earlier_release(ages: WireAges) -> Duration {
    let number = serde_json::to_value(ages).unwrap();
    Duration::from_millis(number.as_u64().unwrap())
}

// An earlier release reads the two ages as one, which must not confirm what is not current.
#[test]
fn ages_of_a_heartbeat_are_read_as_written_and_never_younger_by_an_earlier_release() {
    // Seven weeks.
    const LARGE_AGE: Duration = Duration::from_millis(1 << 32);
    let never = Duration::MAX;
    // The mark of a document that can't be read takes a bit of the operators' age.
    const LONGEST_AGE: Duration = Duration::from_millis((1 << 31) - 3);
    let ages = [0, 1, 2_500, 4_000_000_000].map(Duration::from_millis);
    let ages: Vec<_> = ages.into_iter().chain([LONGEST_AGE, never]).collect();
    for operators in &ages {
        for fleet in &ages {
            let ages = WireAges::new(*operators, never, *fleet);
            let is_exact = *operators <= LONGEST_AGE || operators == fleet;
            let read = if is_exact { *operators } else { never };
            assert_eq!((ages.operators(), ages.fleet()), (read, *fleet));
            assert_eq!(ages.unreadable(), never);
            let oldest = (*operators).max(*fleet);
            assert!(age_for_earlier_release(ages) >= oldest.min(LARGE_AGE));
        }
    }
    for unreadable in ages.iter().filter(|age| **age <= LONGEST_AGE) {
        for fleet in &ages {
            let ages = WireAges::new(never, *unreadable, *fleet);
            assert_eq!((ages.operators(), ages.fleet()), (never, *fleet));
            assert_eq!(ages.unreadable(), *unreadable);
            assert!(age_for_earlier_release(ages) >= LARGE_AGE);
        }
    }
    let confirmed_since = WireAges::new(ages[1], ages[2], ages[1]);
    assert_eq!(confirmed_since, WireAges::new(ages[1], never, ages[1]));
    let of_earlier_release = |age: u64| -> WireAges { serde_json::from_value(age.into()).unwrap() };
    let same = of_earlier_release(1_700);
    assert_eq!(same.operators(), Duration::from_millis(1_700));
    assert_eq!(same.fleet(), Duration::from_millis(1_700));
    assert_eq!(of_earlier_release(u64::MAX).operators(), never);
    assert_eq!(of_earlier_release(u64::MAX).fleet(), never);
}
