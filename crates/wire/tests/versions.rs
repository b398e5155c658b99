//! Versions in messages and in output for operators.

use std::time::Duration;

use chestnutlb_core::{
    DocumentId, DocumentKind, EntryRecord, Heartbeat, Incarnation, ObjectVersion, StoreEra,
    StoreRevision,
};
use chestnutlb_wire::packet::write_data;
use chestnutlb_wire::peer::{PeerHeartbeat, write_message};
use chestnutlb_wire::records::VersionField;
use chestnutlb_wire::{PacketHeader, WireHop};

fn version(era: u64, revision: u64) -> ObjectVersion {
    ObjectVersion::new(StoreEra(era), StoreRevision(revision)).unwrap()
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
            header_bytes(first.revision().0),
            header_bytes(later.revision().0),
            header_bytes(later.0),
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
            fleet_age: Duration::from_millis(900),
            recent: vec![(id, version(era, 4_000)); 8],
        };
        write_message(&PeerHeartbeat::from(&heartbeat)).len()
    };
    let (first, later) = (bytes(0), bytes(1));
    println!("heartbeat: {first} bytes in era 0, {later} in era 1");
    assert!(later <= first + 8 * 8);
}
