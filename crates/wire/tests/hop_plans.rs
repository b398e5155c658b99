//! Which hosts the hop plan of a packet visits.

use chestnutlb_core::{HostRecord, HostState, HostWeight, Incarnation};
use chestnutlb_wire::{PacketHeader, WireHop};

fn host(number: u8, incarnation: u64) -> HostRecord {
    HostRecord {
        name: format!("host-{number}").parse().unwrap(),
        service: "dalbit/catalogue".parse().unwrap(),
        datacenter: "honam-1".parse().unwrap(),
        packets: format!("10.1.0.{number}:9000").parse().unwrap(),
        relays: format!("10.1.0.{number}:9001").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        weight: HostWeight::ORDINARY,
        state: HostState::Serving,
        held_buckets: Vec::new(),
    }
}

// Guards against resets of flows whose host was not asked: one that had started in the same
// millisecond as a host of the plan counted as visited.
#[test]
fn plan_does_not_visit_a_host_that_has_the_incarnation_of_another() {
    let header = PacketHeader {
        tag: 1,
        generation: 7,
        complete: true,
        entry: (0x0a01_0001, 9000),
        hops: vec![
            WireHop::from(&host(1, 5_000)),
            WireHop::from(&host(2, 5_001)),
        ],
    };
    assert!(header.visits(&host(1, 5_000)));
    assert!(header.visits(&host(2, 5_001)));
    assert!(!header.visits(&host(3, 5_000)));
    assert!(
        !header.visits(&host(1, 5_001)),
        "another process of the host"
    );
}
