//! Versions in messages and in output for operators.

use std::time::Duration;

use chestnutlb_core::{
    DocumentId, DocumentKind, EntryRecord, Heartbeat, Incarnation, ObjectVersion, StoreEra,
    StoreRevision,
};
use chestnutlb_wire::packet::write_data;
use chestnutlb_wire::peer::{PeerHeartbeat, scan_message, write_message};
use chestnutlb_wire::records::VersionField;
use chestnutlb_wire::{PacketHeader, WireHop, WireObjectVersion};

fn version(era: u64, revision: u64) -> ObjectVersion {
    ObjectVersion::new(StoreEra(era), StoreRevision(revision.into())).unwrap()
}

#[test]
fn version_in_output_is_a_number_in_era_zero_and_text_in_later_ones() {
    for (version, json, text) in [
        (version(0, 20), "20", "20"),
        (version(1, 18), "\"1.18\"", "1.18"),
        (version(12, 0), "\"12.0\"", "12.0"),
    ] {
        let field = VersionField::from(version);
        assert_eq!(serde_json::to_string(&field).unwrap(), json);
        assert_eq!(serde_json::from_str::<VersionField>(json).unwrap(), field);
        assert_eq!(field.to_string(), text);
    }
}

fn header_bytes(generation: u64) -> usize {
    let header = PacketHeader {
        tag: u64::MAX,
        generation,
        complete: true,
        entry: (0x7f00_0001, 9001),
        hops: vec![WireHop::from("10.1.0.1:9000".parse::<std::net::SocketAddrV4>().unwrap()); 3],
    };
    let mut buffer = Vec::new();
    write_data(&mut buffer, &header, &[]);
    buffer.len()
}

// Bytes between data centres are expensive.
#[test]
fn packet_header_is_not_longer_in_a_later_era() {
    for revision in [18, 200, 40_000] {
        let (first, later) = (version(0, revision), version(3, revision));
        let sizes = [
            header_bytes(first.revision_u64()),
            header_bytes(later.revision_u64()),
            header_bytes(later.compact().unwrap()),
        ];
        println!("revision {revision}: {sizes:?} bytes; the last with the era");
        assert_eq!(sizes[0], sizes[1]);
        assert!(sizes[2] > sizes[0]);
    }
}

// Every version is up to eight bytes longer.
#[test]
fn heartbeat_with_versions_of_a_later_era_fits_a_datagram() {
    let bytes = |era| {
        let id = DocumentId::new(DocumentKind::Roster, "honam-1");
        let heartbeat = Heartbeat {
            entry: EntryRecord {
                name: "entry-1".parse().unwrap(),
                datacenter: "honam-1".parse().unwrap(),
                peers: "10.2.0.1:9002".parse().unwrap(),
                status: "10.2.0.1:9003".parse().unwrap(),
                incarnation: Incarnation(1_780_000_000_000),
            },
            summary: u64::MAX,
            operators_age: Duration::from_millis(300),
            unreadable_age: Duration::MAX,
            fleet_age: Duration::from_millis(900),
            recent: vec![(id, version(era, 4_000)); 8],
        };
        write_message(&PeerHeartbeat::from(&heartbeat)).len()
    };
    let (first, later) = (bytes(0), bytes(1));
    println!("heartbeat: {first} bytes in era 0, {later} in era 1");
    assert!(later <= first + 8 * 8);
}

// Earlier releases read and write the compact form only.
#[test]
fn version_in_messages_is_the_compact_number_where_that_holds_it() {
    for (version, json) in [
        (version(0, 20), "20"),
        (version(1, 7), "17592186044423"),
        (version(3, (1 << 44) - 1), "70368744177663"),
        (version(0, 1 << 44), "\"17592186044416\""),
        (version(1, 20_261_207_153_000), "\"1.20261207153000\""),
        (version(1, u64::MAX), "\"1.18446744073709551615\""),
    ] {
        let wire = WireObjectVersion(version);
        assert_eq!(serde_json::to_string(&wire).unwrap(), json);
        assert_eq!(
            serde_json::from_str::<WireObjectVersion>(json).unwrap(),
            wire
        );
        let message = write_message(&wire);
        assert_eq!(scan_message::<WireObjectVersion>(&message).unwrap(), wire);
        if let Some(number) = version.compact() {
            assert_eq!(message, write_message(&number));
            assert_eq!(ObjectVersion::from_compact(number), version);
        }
    }
}

#[test]
fn versions_that_no_store_assigns_are_malformed() {
    for json in ["-1", "1.5", "\"\"", "\"1.\"", "\"x\"", "null", "[1]"] {
        assert!(
            serde_json::from_str::<WireObjectVersion>(json).is_err(),
            "{json}"
        );
    }
}

#[test]
fn versions_are_ordered_by_era_then_by_revision_of_any_length() {
    let ordered = [
        version(0, 7),
        version(0, u64::MAX),
        version(1, 0),
        version(1, 7),
        version(1, 1 << 44),
        version(1, u64::MAX),
        version(2, 1),
    ];
    assert!(ordered.is_sorted_by(|version, next| version < next));
    for version in ordered {
        assert_eq!(version.to_string().parse(), Ok(version));
    }
}
