//! Flows at their hosts: the last word, and who may reset.

mod common;

use std::time::Duration;

use chestnutlb_core::{
    AdmissionGate, FlowEvent, FlowTable, Incarnation, PacketArrival, PacketDrop, PacketVerdict,
    ServiceTag, TimePoint,
};
use common::{data, key, syn};

const TAG: ServiceTag = ServiceTag(7);
const ME: Incarnation = Incarnation(3);
const OPEN: AdmissionGate = AdmissionGate {
    open: true,
    flow_limit: 10,
};
const SHUT: AdmissionGate = AdmissionGate {
    open: false,
    flow_limit: 10,
};

fn arrival(more_hops: bool, no_owner_proved: bool) -> PacketArrival {
    PacketArrival {
        tag: TAG,
        incarnation: ME,
        more_hops,
        no_owner_proved,
    }
}

fn table() -> FlowTable {
    FlowTable::new(TAG, ME)
}

#[test]
fn a_packet_for_another_service_or_incarnation_is_dropped() {
    let mut table = table();
    for wrong in [
        PacketArrival {
            tag: ServiceTag(8),
            ..arrival(false, true)
        },
        PacketArrival {
            incarnation: Incarnation(2),
            ..arrival(false, true)
        },
    ] {
        let verdict = table.judge(&wrong, &syn(1), OPEN, TimePoint(0));
        assert_eq!(verdict, PacketVerdict::Drop(PacketDrop::Misdirected));
    }
}

#[test]
fn a_syn_taken_twice_is_established_once() {
    let (mut first, mut second) = (table(), table());
    first.insert(key(1), 1000, TimePoint(0));
    second.insert(key(1), 5000, TimePoint(0));
    // The caller took the answer of the second host.
    let ack = data(1, 5001);
    let here = first.judge(&arrival(true, false), &ack, OPEN, TimePoint(1));
    let there = second.judge(&arrival(false, false), &ack, OPEN, TimePoint(1));
    assert_eq!(
        (here, there),
        (PacketVerdict::PassOn, PacketVerdict::Deliver)
    );
}

#[test]
fn a_host_that_leaves_or_is_full_passes_syns_on_and_refuses_as_the_last() {
    let mut table = table();
    let judge = |table: &mut FlowTable, more, gate| {
        table.judge(&arrival(more, false), &syn(1), gate, TimePoint(0))
    };
    assert_eq!(judge(&mut table, true, SHUT), PacketVerdict::PassOn);
    assert_eq!(judge(&mut table, false, SHUT), PacketVerdict::Reset);
    let full = AdmissionGate {
        open: true,
        flow_limit: 0,
    };
    assert_eq!(judge(&mut table, true, full), PacketVerdict::PassOn);
    assert_eq!(judge(&mut table, false, OPEN), PacketVerdict::Open);
}

#[test]
fn an_unowned_flow_is_reset_only_with_proof_that_lasts() {
    let mut table = table();
    let judge = |table: &mut FlowTable, proved, at| {
        table.judge(&arrival(false, proved), &data(1, 9), OPEN, TimePoint(at))
    };
    let dropped = PacketVerdict::Drop(PacketDrop::NoOwner);
    assert_eq!(judge(&mut table, false, 0), dropped);
    assert_eq!(judge(&mut table, true, 1_000), dropped, "doubt begins");
    assert_eq!(judge(&mut table, true, 6_900), dropped, "still in doubt");
    assert_eq!(judge(&mut table, false, 9_000), dropped, "no proof now");
    assert_eq!(judge(&mut table, true, 9_000), PacketVerdict::Reset);
}

#[test]
fn an_open_flow_keeps_its_packets_and_not_those_of_a_reused_port() {
    let mut table = table();
    table.insert(key(1), 1000, TimePoint(0));
    table.apply(key(1), FlowEvent::Established);
    table.record_sent(key(1), 50_000);
    for number in [1_001, 30_000, 50_000] {
        let verdict = table.judge(&arrival(true, false), &data(1, number), SHUT, TimePoint(1));
        assert_eq!(verdict, PacketVerdict::Deliver, "{number}");
    }
    for number in [50_001, 4_000_000_000] {
        let verdict = table.judge(&arrival(true, false), &data(1, number), SHUT, TimePoint(1));
        assert_eq!(verdict, PacketVerdict::PassOn, "{number}");
    }
}

#[test]
fn half_open_flows_expire_and_open_ones_do_not() {
    let mut table = table();
    table.insert(key(1), 1, TimePoint(0));
    table.insert(key(2), 1, TimePoint(0));
    table.apply(key(2), FlowEvent::Established);
    let later = TimePoint(0) + Duration::from_secs(60);
    assert_eq!(table.expired(later), vec![key(1)]);
    table.apply(key(2), FlowEvent::Finished);
    assert_eq!(table.len(), 1);
}
