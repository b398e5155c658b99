//! Passthrough flows at a side process: tracking of the flows, and verdicts on packets.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutlb_core::opening_rules::KnownColdLimit;
use chestnutlb_core::passthrough::{CLOSED_TIMEOUT, REQUEST_TIMEOUT};
use chestnutlb_core::{
    BackendInfo, OwnershipReply, PassthroughArrival, PassthroughFlows, PassthroughVerdict,
    ReplyVerdict, TcpSegment, TimePoint,
};

use common::{data, key, quickcheck, syn};

const DAY: Duration = Duration::from_secs(86_400);

fn backend() -> BackendInfo {
    BackendInfo {
        accepts_flows: true,
        slots: 3,
        flow_limit: 100,
        cold: false,
        cold_limit: KnownColdLimit::Unlimited,
        observed_from_start: true,
    }
}

fn last_hop() -> PassthroughArrival {
    PassthroughArrival {
        more_hops: false,
        complete: true,
    }
}

fn response(port: u16, payload: u16) -> TcpSegment {
    TcpSegment {
        key: key(port),
        is_syn: false,
        is_syn_ack: false,
        syn_copies: 0,
        is_fin: false,
        is_rst: false,
        sequence: 500,
        acknowledgement: Some(1),
        payload,
    }
}

fn syn_ack(port: u16) -> TcpSegment {
    TcpSegment {
        is_syn_ack: true,
        sequence: 499,
        ..response(port, 0)
    }
}

// Opens a flow and sends a request on it.
fn open_flow(flows: &mut PassthroughFlows, port: u16, now: TimePoint) {
    let info = backend();
    let verdict = flows.judge(&syn(port), last_hop(), &info, now);
    assert_eq!(verdict, PassthroughVerdict::Open);
    flows.record_delivered(&syn(port), &info, now);
    flows.record_reply_segment(&syn_ack(port), now);
    let request = data(port, 500);
    let verdict = flows.judge(&request, last_hop(), &info, now);
    assert_eq!(verdict, PassthroughVerdict::Deliver);
    flows.record_delivered(&request, &info, now);
}

#[test]
fn retransmission_of_answered_data_is_no_new_request() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    open_flow(&mut flows, 1, now);
    assert_eq!(flows.at_work(), 1);
    flows.record_reply_segment(&response(1, 100), now);
    assert_eq!(flows.at_work(), 0);
    flows.record_delivered(&data(1, 500), &backend(), now);
    assert_eq!(flows.at_work(), 0, "a retransmission is no new request");
    let next = TcpSegment {
        sequence: data(1, 500).sequence + 10,
        ..data(1, 600)
    };
    flows.record_delivered(&next, &backend(), now);
    assert_eq!(flows.at_work(), 1, "the next request counts");
}

fn more_hops() -> PassthroughArrival {
    PassthroughArrival {
        more_hops: true,
        complete: true,
    }
}

#[test]
fn packet_of_flow_at_other_host_is_not_delivered() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let stray = data(1, 500);
    let info = backend();
    let judge = |flows: &mut PassthroughFlows, arrival| flows.judge(&stray, arrival, &info, now);
    assert_eq!(judge(&mut flows, more_hops()), PassthroughVerdict::NextHop);
    assert_eq!(judge(&mut flows, last_hop()), PassthroughVerdict::NoNextHop);
}

#[test]
fn restarted_side_process_queries_backend_once() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let info = BackendInfo {
        observed_from_start: false,
        ..backend()
    };
    let packet = data(1, 500);
    let judge = |flows: &mut PassthroughFlows, now| flows.judge(&packet, more_hops(), &info, now);
    assert_eq!(judge(&mut flows, now), PassthroughVerdict::QueryBackend);
    // Until the backend server replies, retransmissions go to the next hop.
    assert_eq!(judge(&mut flows, now), PassthroughVerdict::NextHop);
    flows.record_returned(&packet);
    assert_eq!(judge(&mut flows, now), PassthroughVerdict::NextHop);
    // The backend server sends a packet of the flow after all.
    flows.record_reply_segment(&response(1, 0), now);
    assert_eq!(judge(&mut flows, now), PassthroughVerdict::Deliver);
    // By now, no flow can be older than the process.
    let later = TimePoint(now.0 + DAY.as_millis() as u64);
    let other = data(2, 500);
    let verdict = flows.judge(&other, more_hops(), &info, later);
    assert_eq!(verdict, PassthroughVerdict::NextHop);
}

#[test]
fn half_open_flow_yields_to_host_whose_syn_ack_is_acknowledged() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let info = backend();
    flows.record_delivered(&syn(1), &info, now);
    flows.record_reply_segment(&syn_ack(1), now);
    let acknowledges_other_host = data(1, 9_000);
    let verdict = flows.judge(&acknowledges_other_host, more_hops(), &info, now);
    assert_eq!(verdict, PassthroughVerdict::NextHop);
    let acknowledges_this_host = data(1, 500);
    let verdict = flows.judge(&acknowledges_this_host, more_hops(), &info, now);
    assert_eq!(verdict, PassthroughVerdict::Deliver);
}

#[test]
fn retransmitted_syn_goes_to_next_host_if_backend_is_silent() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let info = backend();
    flows.record_delivered(&syn(1), &info, now);
    let retransmitted_at = TimePoint(now.0 + 200);
    assert_eq!(
        flows.judge(&syn(1), last_hop(), &info, retransmitted_at),
        PassthroughVerdict::Deliver,
        "there is no other host"
    );
    assert_eq!(
        flows.judge(&syn(1), more_hops(), &info, retransmitted_at),
        PassthroughVerdict::NextHop
    );
    assert_eq!(flows.at_work(), 0);
}

#[test]
fn leaving_backend_gets_no_syn_and_keeps_its_flows() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    open_flow(&mut flows, 1, now);
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
    assert_eq!(
        verdict,
        PassthroughVerdict::NoNextHop,
        "a host outside of the plan may accept it"
    );
}

#[test]
fn data_is_not_delivered_after_unanswered_syn() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let info = backend();
    flows.record_delivered(&syn(1), &info, now);
    // The backend server has sent no SYN-ACK; another host accepted a retransmitted SYN.
    for _ in 0..3 {
        let verdict = flows.judge(&data(1, 9_000), last_hop(), &info, now);
        assert_eq!(verdict, PassthroughVerdict::NoNextHop);
    }
}

#[test]
fn reset_of_flow_not_established_at_backend_is_withheld() {
    let now = TimePoint(1_000);
    let mut flows = PassthroughFlows::new(DAY, now);
    let reset = TcpSegment {
        is_rst: true,
        ..response(1, 0)
    };
    assert_eq!(
        flows.record_reply_segment(&reset, now),
        ReplyVerdict::Withhold
    );
    flows.record_delivered(&syn(1), &backend(), now);
    flows.record_reply_segment(&syn_ack(1), now);
    assert_eq!(
        flows.record_reply_segment(&reset, now),
        ReplyVerdict::Withhold
    );
    open_flow(&mut flows, 2, now);
    let reset = TcpSegment {
        is_rst: true,
        ..response(2, 0)
    };
    assert_eq!(
        flows.record_reply_segment(&reset, now),
        ReplyVerdict::Forward
    );
}

// What the model knows of a flow: whether it counts as load, and since when.
#[derive(Debug, Clone, Copy)]
enum ModelFlow {
    Requested(TimePoint),
    Idle,
    Closed,
}

impl ModelFlow {
    fn is_load(self, now: TimePoint) -> bool {
        match self {
            Self::Requested(at) => now.since(at) < REQUEST_TIMEOUT,
            Self::Idle | Self::Closed => false,
        }
    }
}

#[test]
fn load_is_that_of_flows_whose_callers_still_wait() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut flows = PassthroughFlows::new(DAY, TimePoint(0));
        let mut model: BTreeMap<u16, ModelFlow> = BTreeMap::new();
        let mut now = TimePoint(0);
        let mut sequence = 1;
        for (step, port, wait) in steps {
            now = now + Duration::from_millis(u64::from(wait) * 10);
            flows.sweep(DAY, now);
            let port = u16::from(port % 8) + 1;
            match (step % 4, model.get(&port).copied()) {
                (_, None) => {
                    open_flow(&mut flows, port, now);
                    model.insert(port, ModelFlow::Requested(now));
                }
                (_, Some(ModelFlow::Closed)) => {}
                (0 | 1, Some(_)) => {
                    sequence += 10;
                    let request = TcpSegment {
                        sequence,
                        ..data(port, 700)
                    };
                    flows.record_delivered(&request, &backend(), now);
                    model.insert(port, ModelFlow::Requested(now));
                }
                (2, Some(_)) => {
                    flows.record_reply_segment(&response(port, 100), now);
                    model.insert(port, ModelFlow::Idle);
                }
                (_, Some(_)) => {
                    let reset = TcpSegment {
                        is_rst: true,
                        ..data(port, 700)
                    };
                    flows.record_delivered(&reset, &backend(), now);
                    model.insert(port, ModelFlow::Closed);
                }
            }
            flows.sweep(DAY, now);
            let load = model.values().filter(|flow| flow.is_load(now)).count();
            if usize::from(flows.at_work()) != load {
                return false;
            }
        }
        // An outage: the callers give up, and no packet tells so.
        flows.sweep(DAY, now + REQUEST_TIMEOUT);
        flows.at_work() == 0
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

fn caller_fin(port: u16) -> TcpSegment {
    TcpSegment {
        is_fin: true,
        payload: 0,
        ..data(port, 500)
    }
}

fn server_fin(port: u16) -> TcpSegment {
    TcpSegment {
        is_fin: true,
        ..response(port, 0)
    }
}

fn caller_reset(port: u16) -> TcpSegment {
    TcpSegment {
        is_rst: true,
        payload: 0,
        ..data(port, 500)
    }
}

fn server_reset(port: u16) -> TcpSegment {
    TcpSegment {
        is_rst: true,
        ..response(port, 0)
    }
}

// The ways in which a flow ends.
#[derive(Debug, Clone, Copy)]
enum FlowEnd {
    Fins,
    CallerReset,
    ServerReset,
}

const FLOW_ENDS: [FlowEnd; 3] = [FlowEnd::Fins, FlowEnd::CallerReset, FlowEnd::ServerReset];

fn end_flow(flows: &mut PassthroughFlows, port: u16, end: FlowEnd, now: TimePoint) {
    match end {
        FlowEnd::Fins => {
            flows.record_delivered(&caller_fin(port), &backend(), now);
            flows.record_reply_segment(&server_fin(port), now);
        }
        FlowEnd::CallerReset => flows.record_delivered(&caller_reset(port), &backend(), now),
        FlowEnd::ServerReset => {
            flows.record_reply_segment(&server_reset(port), now);
        }
    }
}

// Returns a flow table in which the flow of port 1 has ended at `now`.
fn with_ended_flow(end: FlowEnd, now: TimePoint) -> PassthroughFlows {
    let mut flows = PassthroughFlows::new(DAY, now);
    open_flow(&mut flows, 1, now);
    end_flow(&mut flows, 1, end, now);
    flows
}

fn later_syn() -> TcpSegment {
    TcpSegment {
        sequence: 70_000,
        ..syn(1)
    }
}

fn later_syn_ack() -> TcpSegment {
    TcpSegment {
        sequence: 80_000,
        ..syn_ack(1)
    }
}

// Returns the reply to a lookup of port 1's flow after the caller has sent a request on it and
// was then idle for longer than closed flows are kept.
fn lookup_reply_after_pause(flows: &mut PassthroughFlows, now: TimePoint) -> OwnershipReply {
    let request = TcpSegment {
        sequence: 70_001,
        ..data(1, 80_001)
    };
    let verdict = flows.judge(&request, last_hop(), &backend(), now);
    assert_eq!(verdict, PassthroughVerdict::Deliver);
    flows.record_delivered(&request, &backend(), now);
    flows.record_reply_segment(&response(1, 100), now);
    let later = now + CLOSED_TIMEOUT;
    flows.sweep(DAY, later);
    flows.lookup_reply(key(1), &backend(), later)
}

#[test]
fn flow_of_reused_port_is_owned_after_pause() {
    for end in FLOW_ENDS {
        let now = TimePoint(1_000);
        let mut flows = with_ended_flow(end, now);
        let verdict = flows.judge(&later_syn(), last_hop(), &backend(), now);
        assert_eq!(verdict, PassthroughVerdict::Open, "{end:?}");
        flows.record_delivered(&later_syn(), &backend(), now);
        assert_eq!(flows.at_work(), 1, "{end:?}");
        flows.record_reply_segment(&later_syn_ack(), now);
        let reply = lookup_reply_after_pause(&mut flows, now);
        assert_eq!(reply, OwnershipReply::Owned, "{end:?}");
        assert_eq!(flows.at_work(), 0, "{end:?}");
    }
}

#[test]
fn flow_whose_syn_preceded_the_end_of_the_last_one_is_owned_after_pause() {
    for end in FLOW_ENDS {
        let now = TimePoint(1_000);
        let mut flows = PassthroughFlows::new(DAY, now);
        open_flow(&mut flows, 1, now);
        let verdict = flows.judge(&later_syn(), last_hop(), &backend(), now);
        assert_eq!(verdict, PassthroughVerdict::Deliver, "{end:?}");
        flows.record_delivered(&later_syn(), &backend(), now);
        end_flow(&mut flows, 1, end, now);
        flows.record_reply_segment(&later_syn_ack(), now);
        let reply = lookup_reply_after_pause(&mut flows, now);
        assert_eq!(reply, OwnershipReply::Owned, "{end:?}");
    }
}

#[test]
fn reused_port_goes_to_next_host_if_backend_accepts_no_flows() {
    let leaving = BackendInfo {
        accepts_flows: false,
        ..backend()
    };
    for end in FLOW_ENDS {
        let now = TimePoint(1_000);
        let mut flows = with_ended_flow(end, now);
        let verdict = flows.judge(&later_syn(), more_hops(), &leaving, now);
        assert_eq!(verdict, PassthroughVerdict::NextHop, "{end:?}");
        let reply = flows.lookup_reply(key(1), &leaving, now);
        assert_eq!(reply, OwnershipReply::NotOwned, "opened at the next host");
    }
}

#[test]
fn copies_of_syn_and_syn_ack_do_not_reopen_closed_flow() {
    for end in FLOW_ENDS {
        let now = TimePoint(1_000);
        let mut flows = with_ended_flow(end, now);
        let verdict = flows.judge(&syn(1), last_hop(), &backend(), now);
        assert_eq!(verdict, PassthroughVerdict::Deliver, "{end:?}");
        flows.record_delivered(&syn(1), &backend(), now);
        flows.record_reply_segment(&syn_ack(1), now);
        assert_eq!(flows.at_work(), 0, "{end:?}");
        flows.sweep(DAY, now + CLOSED_TIMEOUT);
        assert!(flows.is_empty(), "{end:?}");
    }
}
