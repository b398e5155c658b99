//! Ownership of flows at a side process: verdicts on packets, and the conditions for a reset.

mod common;

use std::time::Duration;

use chestnutlb_core::{
    AdmissionGate, FlowEvent, FlowTable, Incarnation, PacketArrival, PacketDrop, PacketVerdict,
    ServiceTag, TimePoint,
};
use common::{data, key, syn};

const TAG: ServiceTag = ServiceTag(7);
const INCARNATION: Incarnation = Incarnation(3);
const OPEN_GATE: AdmissionGate = AdmissionGate {
    open: true,
    flow_limit: 10,
};
const CLOSED_GATE: AdmissionGate = AdmissionGate {
    open: false,
    flow_limit: 10,
};

fn arrival(more_hops: bool, no_owner_proved: bool) -> PacketArrival {
    PacketArrival {
        tag: TAG,
        incarnation: INCARNATION,
        more_hops,
        no_owner_proved,
    }
}

fn table() -> FlowTable {
    FlowTable::new(TAG, INCARNATION)
}

#[test]
fn packet_for_other_service_or_incarnation_is_dropped() {
    let mut table = table();
    for misdirected in [
        PacketArrival {
            tag: ServiceTag(8),
            ..arrival(false, true)
        },
        PacketArrival {
            incarnation: Incarnation(2),
            ..arrival(false, true)
        },
    ] {
        let verdict = table.judge(&misdirected, &syn(1), OPEN_GATE, TimePoint(0));
        assert_eq!(verdict, PacketVerdict::Drop(PacketDrop::Misdirected));
    }
}

#[test]
fn syn_accepted_by_two_hosts_is_established_at_one() {
    let (mut first, mut second) = (table(), table());
    first.insert(key(1), 1000, TimePoint(0));
    second.insert(key(1), 5000, TimePoint(0));
    // The caller acknowledges the SYN-ACK of the second host.
    let ack = data(1, 5001);
    let at_first = first.judge(&arrival(true, false), &ack, OPEN_GATE, TimePoint(1));
    let at_second = second.judge(&arrival(false, false), &ack, OPEN_GATE, TimePoint(1));
    assert_eq!(
        (at_first, at_second),
        (PacketVerdict::NextHop, PacketVerdict::Deliver)
    );
}

#[test]
fn leaving_or_full_host_passes_syn_on_and_leaving_last_hop_resets_it() {
    let mut table = table();
    let judge = |table: &mut FlowTable, more_hops, gate| {
        table.judge(&arrival(more_hops, false), &syn(1), gate, TimePoint(0))
    };
    assert_eq!(judge(&mut table, true, CLOSED_GATE), PacketVerdict::NextHop);
    assert_eq!(judge(&mut table, false, CLOSED_GATE), PacketVerdict::Reset);
    let full = AdmissionGate {
        open: true,
        flow_limit: 0,
    };
    assert_eq!(judge(&mut table, true, full), PacketVerdict::NextHop);
    assert_eq!(judge(&mut table, false, OPEN_GATE), PacketVerdict::Open);
}

#[test]
fn unowned_flow_is_reset_only_with_proof_and_after_grace_period() {
    let mut table = table();
    let judge = |table: &mut FlowTable, proved, now_ms| {
        table.judge(
            &arrival(false, proved),
            &data(1, 9),
            OPEN_GATE,
            TimePoint(now_ms),
        )
    };
    let dropped = PacketVerdict::Drop(PacketDrop::NoOwner);
    assert_eq!(judge(&mut table, false, 0), dropped);
    assert_eq!(judge(&mut table, true, 1_000), dropped, "unowned since now");
    assert_eq!(
        judge(&mut table, true, 6_900),
        dropped,
        "unowned for less than the grace period"
    );
    assert_eq!(
        judge(&mut table, false, 9_000),
        dropped,
        "no proof with this packet"
    );
    assert_eq!(judge(&mut table, true, 9_000), PacketVerdict::Reset);
}

#[test]
fn established_flow_delivers_own_packets_and_passes_on_those_of_reused_port() {
    let mut table = table();
    table.insert(key(1), 1000, TimePoint(0));
    table.apply(key(1), FlowEvent::Established);
    table.record_sent(key(1), 50_000);
    for number in [1_001, 30_000, 50_000] {
        let verdict = table.judge(
            &arrival(true, false),
            &data(1, number),
            CLOSED_GATE,
            TimePoint(1),
        );
        assert_eq!(verdict, PacketVerdict::Deliver, "{number}");
    }
    for number in [50_001, 4_000_000_000] {
        let verdict = table.judge(
            &arrival(true, false),
            &data(1, number),
            CLOSED_GATE,
            TimePoint(1),
        );
        assert_eq!(verdict, PacketVerdict::NextHop, "{number}");
    }
}

#[test]
fn half_open_flows_expire_and_established_flows_do_not() {
    let mut table = table();
    table.insert(key(1), 1, TimePoint(0));
    table.insert(key(2), 1, TimePoint(0));
    table.apply(key(2), FlowEvent::Established);
    let later = TimePoint(0) + Duration::from_secs(60);
    assert_eq!(table.expired(later), vec![key(1)]);
    table.apply(key(2), FlowEvent::Finished);
    assert_eq!(table.len(), 1);
}
