//! Flows that are carried through: what a side process knows of them, and where
//! an entry VM sends their packets.

mod common;

use std::time::Duration;

use chestnutlb_core::{
    BackendInfo, PassthroughArrival, PassthroughFlows, PassthroughVerdict, ReplyVerdict,
    TcpSegment, TimePoint,
};

use common::{data, key, syn};

const DAY: Duration = Duration::from_secs(86_400);

fn backend() -> BackendInfo {
    BackendInfo {
        accepts_flows: true,
        slots: 3,
        flow_limit: 100,
        cold: false,
        observed_from_start: true,
    }
}

fn last_hop() -> PassthroughArrival {
    PassthroughArrival {
        more_hops: false,
        complete: true,
    }
}

fn answer(port: u16, payload: u16) -> TcpSegment {
    TcpSegment {
        key: key(port),
        is_syn: false,
        is_syn_ack: false,
        is_fin: false,
        is_rst: false,
        sequence: 500,
        acknowledgement: Some(1),
        payload,
    }
}

fn handshake(port: u16) -> TcpSegment {
    TcpSegment {
        is_syn_ack: true,
        sequence: 499,
        ..answer(port, 0)
    }
}

// Opens a flow and sends a request on it.
fn open(flows: &mut PassthroughFlows, port: u16, now: TimePoint) {
    let facts = backend();
    let verdict = flows.judge(&syn(port), last_hop(), &facts, now);
    assert_eq!(verdict, PassthroughVerdict::Open);
    flows.record_delivered(&syn(port), &facts, now);
    flows.record_reply_segment(&handshake(port), now);
    let request = data(port, 500);
    let verdict = flows.judge(&request, last_hop(), &facts, now);
    assert_eq!(verdict, PassthroughVerdict::Deliver);
    flows.record_delivered(&request, &facts, now);
}

#[test]
fn a_copy_of_answered_data_is_no_new_work() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    open(&mut flows, 1, now);
    assert_eq!(flows.at_work(), 1);
    flows.record_reply_segment(&answer(1, 100), now);
    assert_eq!(flows.at_work(), 0);
    flows.record_delivered(&data(1, 500), &backend(), now);
    assert_eq!(flows.at_work(), 0, "a retransmission asks for nothing");
    let next = TcpSegment {
        sequence: data(1, 500).sequence + 10,
        ..data(1, 600)
    };
    flows.record_delivered(&next, &backend(), now);
    assert_eq!(flows.at_work(), 1, "the next request does");
}

fn more_hops() -> PassthroughArrival {
    PassthroughArrival {
        more_hops: true,
        complete: true,
    }
}

#[test]
fn a_flow_of_another_host_is_never_delivered() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let stray = data(1, 500);
    let facts = backend();
    let judged = |flows: &mut PassthroughFlows, arrival| flows.judge(&stray, arrival, &facts, now);
    assert_eq!(judged(&mut flows, more_hops()), PassthroughVerdict::NextHop);
    assert_eq!(
        judged(&mut flows, last_hop()),
        PassthroughVerdict::NoNextHop
    );
}

#[test]
fn a_restarted_side_process_asks_its_backend_once() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let facts = BackendInfo {
        observed_from_start: false,
        ..backend()
    };
    let packet = data(1, 500);
    let judged = |flows: &mut PassthroughFlows, now| flows.judge(&packet, more_hops(), &facts, now);
    assert_eq!(judged(&mut flows, now), PassthroughVerdict::QueryBackend);
    // Until the backend server has answered, the packet's copies walk on.
    assert_eq!(judged(&mut flows, now), PassthroughVerdict::NextHop);
    flows.record_returned(&packet);
    assert_eq!(judged(&mut flows, now), PassthroughVerdict::NextHop);
    // It sends something of the flow after all.
    flows.record_reply_segment(&answer(1, 0), now);
    assert_eq!(judged(&mut flows, now), PassthroughVerdict::Deliver);
    // A flow can't be older than the process any more.
    let later = TimePoint(now.0 + DAY.as_millis() as u64);
    let other = data(2, 500);
    let verdict = flows.judge(&other, more_hops(), &facts, later);
    assert_eq!(verdict, PassthroughVerdict::NextHop);
}

#[test]
fn a_half_open_flow_yields_to_the_host_that_the_caller_chose() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let facts = backend();
    flows.record_delivered(&syn(1), &facts, now);
    flows.record_reply_segment(&handshake(1), now);
    let elsewhere = data(1, 9_000);
    let verdict = flows.judge(&elsewhere, more_hops(), &facts, now);
    assert_eq!(verdict, PassthroughVerdict::NextHop);
    let here = data(1, 500);
    let verdict = flows.judge(&here, more_hops(), &facts, now);
    assert_eq!(verdict, PassthroughVerdict::Deliver);
}

#[test]
fn a_silent_backend_loses_the_opening_to_the_next_host() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let facts = backend();
    flows.record_delivered(&syn(1), &facts, now);
    let copy = TimePoint(now.0 + 200);
    assert_eq!(
        flows.judge(&syn(1), last_hop(), &facts, copy),
        PassthroughVerdict::Deliver,
        "there is no other host"
    );
    assert_eq!(
        flows.judge(&syn(1), more_hops(), &facts, copy),
        PassthroughVerdict::NextHop
    );
    assert_eq!(flows.at_work(), 0);
}

#[test]
fn a_leaving_backend_gets_no_opening_and_keeps_its_flows() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    open(&mut flows, 1, now);
    let leaving = BackendInfo {
        accepts_flows: false,
        ..backend()
    };
    let verdict = flows.judge(&data(1, 500), last_hop(), &leaving, now);
    assert_eq!(verdict, PassthroughVerdict::Deliver);
    let verdict = flows.judge(&syn(2), more_hops(), &leaving, now);
    assert_eq!(verdict, PassthroughVerdict::NextHop);
    let verdict = flows.judge(&syn(2), last_hop(), &leaving, now);
    assert_eq!(verdict, PassthroughVerdict::Refuse);
    let partial = PassthroughArrival {
        more_hops: false,
        complete: false,
    };
    let verdict = flows.judge(&syn(2), partial, &leaving, now);
    assert_eq!(verdict, PassthroughVerdict::NoNextHop, "others may take it");
}

#[test]
fn an_unanswered_opening_takes_no_data_of_the_flow() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let facts = backend();
    flows.record_delivered(&syn(1), &facts, now);
    // The backend server is silent; a copy of the opening went elsewhere.
    for _ in 0..3 {
        let verdict = flows.judge(&data(1, 9_000), last_hop(), &facts, now);
        assert_eq!(verdict, PassthroughVerdict::NoNextHop);
    }
}

#[test]
fn a_reset_of_a_flow_that_was_opened_elsewhere_is_withheld() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let reset = TcpSegment {
        is_rst: true,
        ..answer(1, 0)
    };
    assert_eq!(
        flows.record_reply_segment(&reset, now),
        ReplyVerdict::Withhold
    );
    flows.record_delivered(&syn(1), &backend(), now);
    flows.record_reply_segment(&handshake(1), now);
    assert_eq!(
        flows.record_reply_segment(&reset, now),
        ReplyVerdict::Withhold
    );
    open(&mut flows, 2, now);
    let reset = TcpSegment {
        is_rst: true,
        ..answer(2, 0)
    };
    assert_eq!(
        flows.record_reply_segment(&reset, now),
        ReplyVerdict::Forward
    );
}
