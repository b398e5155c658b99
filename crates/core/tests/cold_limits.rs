//! The limit of new flows at a cold host, which its side process enforces: in every second, under
//! retransmissions, restarts and changes of the limit.

mod common;

use std::num::NonZeroU32;
use std::time::Duration;

use chestnutlb_core::opening_rules::{
    ColdLimit, KnownColdLimit, OpeningGate, RULE_MEMORY, RulesChange,
};
use chestnutlb_core::{
    BackendInfo, DrainNotice, ObjectVersion, OpeningRules, PassthroughArrival, PassthroughFlows,
    PassthroughVerdict, TcpSegment, TimePoint,
};
use common::{quickcheck, syn};

const ARRIVAL: PassthroughArrival = PassthroughArrival {
    more_hops: true,
    complete: false,
};
const FLOW_AGE: Duration = Duration::from_secs(60);

fn limit(flows: u32) -> ColdLimit {
    ColdLimit(NonZeroU32::new(flows).unwrap())
}

fn backend(cold: bool, cold_limit: KnownColdLimit) -> BackendInfo {
    BackendInfo {
        accepts_flows: true,
        slots: 1_000,
        flow_limit: 100_000,
        cold,
        cold_limit,
        observed_from_start: true,
    }
}

// Offers a SYN. Returns whether it is delivered as a new flow.
fn offer(
    flows: &mut PassthroughFlows,
    segment: &TcpSegment,
    backend: &BackendInfo,
    now: TimePoint,
) -> bool {
    let verdict = flows.judge(segment, ARRIVAL, backend, now);
    if matches!(
        verdict,
        PassthroughVerdict::Open | PassthroughVerdict::Deliver
    ) {
        flows.record_delivered(segment, backend, now);
    }
    verdict == PassthroughVerdict::Open
}

#[test]
fn cold_host_opens_no_more_flows_than_its_limit_in_any_second() {
    fn property(gaps_ms: Vec<u8>, limit_seed: u8) -> bool {
        let flows_per_second = u32::from(limit_seed % 20) + 1;
        let known = KnownColdLimit::Limited(limit(flows_per_second));
        let mut flows = PassthroughFlows::new(FLOW_AGE, TimePoint(0));
        let mut now = 5_000;
        let mut opened: Vec<u64> = Vec::new();
        for (index, gap) in gaps_ms.iter().enumerate() {
            now += u64::from(*gap);
            let segment = syn(index as u16 + 1);
            // Warm from time to time: what was opened meanwhile counts once it is cold again.
            let is_cold = index % 7 != 3;
            if offer(
                &mut flows,
                &segment,
                &backend(is_cold, known),
                TimePoint(now),
            ) && is_cold
            {
                opened.push(now);
                let window = opened.iter().filter(|at| now - **at < 1_000).count();
                if window > flows_per_second as usize {
                    return false;
                }
            }
        }
        true
    }
    quickcheck().quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn callers_beyond_the_limit_are_passed_on_and_all_are_opened_when_warm() {
    let known = KnownColdLimit::Limited(limit(10));
    let mut flows = PassthroughFlows::new(FLOW_AGE, TimePoint(0));
    let mut opened = Vec::new();
    for second in 0..4 {
        let is_cold = second < 3;
        let mut count = 0;
        for call in 0..100 {
            let now = TimePoint(5_000 + second * 1_000 + call * 10);
            let segment = syn((second * 100 + call) as u16 + 1);
            count += u32::from(offer(&mut flows, &segment, &backend(is_cold, known), now));
        }
        opened.push(count);
    }
    assert_eq!(opened, [10, 10, 10, 100]);
}

#[test]
fn retransmitted_syn_of_an_opened_flow_is_delivered_and_not_counted() {
    let known = KnownColdLimit::Limited(limit(1));
    let cold = backend(true, known);
    let mut flows = PassthroughFlows::new(FLOW_AGE, TimePoint(0));
    assert!(offer(&mut flows, &syn(1), &cold, TimePoint(5_000)));
    let copy = TcpSegment {
        syn_copies: 1,
        ..syn(1)
    };
    let verdict = flows.judge(&copy, ARRIVAL, &cold, TimePoint(5_100));
    assert_eq!(verdict, PassthroughVerdict::Deliver);
    assert!(!offer(&mut flows, &syn(2), &cold, TimePoint(5_900)));
    assert!(offer(&mut flows, &syn(2), &cold, TimePoint(6_000)));
}

// An earlier process may have opened flows just before.
#[test]
fn restarted_side_process_waits_for_a_second_beside_a_cold_backend_server() {
    let cold = BackendInfo {
        observed_from_start: false,
        ..backend(true, KnownColdLimit::Limited(limit(10)))
    };
    let mut flows = PassthroughFlows::new(FLOW_AGE, TimePoint(5_000));
    assert!(!offer(&mut flows, &syn(1), &cold, TimePoint(5_900)));
    assert!(!flows.load(&cold, TimePoint(5_900)).takes);
    assert!(offer(&mut flows, &syn(1), &cold, TimePoint(6_000)));
}

// Any host takes the first limit, and an entry VM that routes flows to it knows that of its service.
#[test]
fn cold_host_opens_few_flows_before_it_knows_its_limit() {
    let mut gate = OpeningGate::new(Some(limit(2)));
    assert!(gate.awaits_cold_limit());
    let mut flows = PassthroughFlows::new(FLOW_AGE, TimePoint(0));
    let unknown = backend(true, gate.cold_limit());
    let opened = (1..=5).filter(|port| offer(&mut flows, &syn(*port), &unknown, TimePoint(5_000)));
    assert_eq!(opened.count(), 2);
    let warm = backend(false, gate.cold_limit());
    assert!(offer(&mut flows, &syn(6), &warm, TimePoint(5_000)));
    gate.record_rules(&OpeningRules::default(), TimePoint(5_000));
    assert!(!gate.awaits_cold_limit());
    let unlimited = backend(true, gate.cold_limit());
    assert!(offer(&mut flows, &syn(7), &unlimited, TimePoint(5_000)));
    // Where manifests do not limit cold hosts, nothing is held back.
    let plain = OpeningGate::new(None);
    assert_eq!(plain.cold_limit(), KnownColdLimit::Unlimited);
}

#[test]
fn limit_that_one_entry_vm_lacks_holds_until_none_names_it() {
    let named = OpeningRules {
        drain: None,
        cold: Some(limit(7)),
        learns_capacity: false,
    };
    let mut gate = OpeningGate::new(Some(limit(2)));
    let start = TimePoint(5_000);
    assert_eq!(gate.record_rules(&named, start), RulesChange::ColdLimit);
    let unnamed = OpeningRules::default();
    let soon = start + RULE_MEMORY / 2;
    assert_eq!(gate.record_rules(&unnamed, soon), RulesChange::Same);
    assert_eq!(gate.cold_limit(), KnownColdLimit::Limited(limit(7)));
    let later = start + RULE_MEMORY;
    assert_eq!(gate.record_rules(&unnamed, later), RulesChange::ColdLimit);
    assert_eq!(gate.cold_limit(), KnownColdLimit::Unlimited);
}

// The hosts of a drained data centre may have turned cold shortly before its end.
#[test]
fn limited_host_counts_as_cold_after_a_drain_until_its_next_report() {
    let rules = |version, drained| OpeningRules {
        drain: Some(DrainNotice {
            version: ObjectVersion(version),
            drained,
        }),
        cold: Some(limit(7)),
        learns_capacity: false,
    };
    let mut gate = OpeningGate::new(Some(limit(2)));
    gate.record_rules(&rules(3, true), TimePoint(1_000));
    gate.record_rules(&rules(4, false), TimePoint(9_000));
    assert!(gate.may_have_turned_cold(None));
    assert!(gate.may_have_turned_cold(Some(TimePoint(8_500))));
    assert!(!gate.may_have_turned_cold(Some(TimePoint(9_000))));
    let mut unlimited = OpeningGate::new(None);
    let without_limit = |version, drained| OpeningRules {
        cold: None,
        ..rules(version, drained)
    };
    unlimited.record_rules(&without_limit(3, true), TimePoint(1_000));
    unlimited.record_rules(&without_limit(4, false), TimePoint(9_000));
    assert!(!unlimited.may_have_turned_cold(None));
}
