//! Requests at a host: slots, relays, outcomes and retries.

mod common;

use std::collections::BTreeMap;

use chestnutlb_core::budget::RetryBudget;
use chestnutlb_core::{
    CancelResult, PercentShare, RelayAdmission, RelayTable, RequestClass, RequestEvent, RequestId,
    RequestOutcome, RequestTable, SlotEvent, SlotOffer, SlotPolicy, SlotRefusal, SlotScheduler,
    TimePoint,
};
use common::quickcheck;

const FAR_DEADLINE: TimePoint = TimePoint(1_000_000);

fn offer(slots: &mut SlotScheduler, id: u64, class: RequestClass, now: u64) -> SlotOffer {
    slots.offer(RequestId(id), class, FAR_DEADLINE, TimePoint(now))
}

#[test]
fn long_requests_leave_slot_for_short_requests() {
    let mut slots = SlotScheduler::new(SlotPolicy::Classes, 3, 10);
    for id in 0..2 {
        assert_eq!(
            offer(&mut slots, id, RequestClass::Long, 0),
            SlotOffer::Start
        );
    }
    assert!(matches!(
        offer(&mut slots, 2, RequestClass::Long, 0),
        SlotOffer::Queued(_)
    ));
    assert_eq!(
        offer(&mut slots, 3, RequestClass::Short, 0),
        SlotOffer::Start
    );
    // The baseline policy assigns slots in order of arrival.
    let mut fifo = SlotScheduler::new(SlotPolicy::Fifo, 3, 10);
    for id in 0..3 {
        assert_eq!(
            offer(&mut fifo, id, RequestClass::Long, 0),
            SlotOffer::Start
        );
    }
    assert!(matches!(
        offer(&mut fifo, 3, RequestClass::Short, 0),
        SlotOffer::Queued(_)
    ));
}

#[test]
fn long_requests_get_slots_left_by_short_demand() {
    let concurrent_long_requests = |short_per_second: u64| {
        let mut slots = SlotScheduler::new(SlotPolicy::Classes, 6, 1_000);
        let interval_ms = 1_000 / short_per_second;
        let count = 20 * short_per_second;
        for id in 0..count {
            let now = id * interval_ms;
            offer(&mut slots, id, RequestClass::Short, now);
            slots.finish(RequestId(id), TimePoint(now + 20));
        }
        let now = count * interval_ms;
        (0..6)
            .filter(|id| {
                offer(&mut slots, 10_000 + id, RequestClass::Long, now) == SlotOffer::Start
            })
            .count()
    };
    assert_eq!(
        [1, 30, 100, 200].map(concurrent_long_requests),
        [5, 4, 2, 1]
    );
}

#[test]
fn full_long_queue_does_not_block_short_requests() {
    let mut slots = SlotScheduler::new(SlotPolicy::Classes, 2, 3);
    for id in 0..10 {
        offer(&mut slots, id, RequestClass::Long, 0);
    }
    assert_eq!(slots.waiting(), 3);
    offer(&mut slots, 20, RequestClass::Short, 0);
    let next = offer(&mut slots, 21, RequestClass::Short, 0);
    assert!(matches!(next, SlotOffer::Queued(_)), "{next:?}");
}

#[test]
fn short_requests_do_not_starve_long_requests() {
    let mut slots = SlotScheduler::new(SlotPolicy::Classes, 2, 10);
    offer(&mut slots, 1, RequestClass::Short, 0);
    offer(&mut slots, 2, RequestClass::Short, 0);
    offer(&mut slots, 3, RequestClass::Short, 0);
    offer(&mut slots, 4, RequestClass::Long, 0);
    slots.finish(RequestId(1), TimePoint(5));
    assert_eq!(
        slots.next(TimePoint(5)),
        Some(SlotEvent::Start(RequestId(4)))
    );
    slots.finish(RequestId(2), TimePoint(6));
    assert_eq!(
        slots.next(TimePoint(6)),
        Some(SlotEvent::Start(RequestId(3)))
    );
}

#[test]
fn late_requests_are_refused_before_taking_slot() {
    let mut slots = SlotScheduler::new(SlotPolicy::Classes, 1, 10);
    assert_eq!(
        offer(&mut slots, 1, RequestClass::Short, 0),
        SlotOffer::Start
    );
    let short = RequestClass::Short;
    let too_late = slots.offer(RequestId(2), short, TimePoint(0), TimePoint(0));
    assert_eq!(too_late, SlotOffer::Refused(SlotRefusal::WaitTooLong));
    let waiting = slots.offer(RequestId(3), short, TimePoint(50), TimePoint(0));
    assert!(matches!(waiting, SlotOffer::Queued(_)));
    assert_eq!(
        slots.next(TimePoint(60)),
        Some(SlotEvent::Refuse(RequestId(3), SlotRefusal::Expired))
    );
}

#[test]
fn overloaded_host_refuses_on_arrival_and_meets_accepted_deadlines() {
    let mut slots = SlotScheduler::new(SlotPolicy::Classes, 1, 1_000);
    let short = RequestClass::Short;
    // Lets the measured run time converge to 50 ms.
    for id in 0..100 {
        let now = id * 50;
        offer(&mut slots, id, short, now);
        slots.finish(RequestId(id), TimePoint(now + 50));
    }
    let now = TimePoint(5_000);
    let deadline = TimePoint(6_000);
    let mut accepted = Vec::new();
    for id in 1_000..1_100 {
        match slots.offer(RequestId(id), short, deadline, now) {
            SlotOffer::Refused(refusal) => assert_eq!(refusal, SlotRefusal::WaitTooLong),
            _ => accepted.push(id),
        }
    }
    assert_eq!(
        accepted.len(),
        11,
        "one runs, and ten wait for at most half of the time to the deadline"
    );
    for (position, id) in accepted.iter().enumerate() {
        let end = TimePoint(5_000 + 50 * (position as u64 + 1));
        slots.finish(RequestId(*id), end);
        let next = accepted
            .get(position + 1)
            .map(|id| SlotEvent::Start(RequestId(*id)));
        assert_eq!(slots.next(end), next);
    }
}

#[test]
fn random_requests_never_exceed_slots_and_none_is_lost() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let mut slots = SlotScheduler::new(SlotPolicy::Classes, 3, 5);
        let mut running: Vec<RequestId> = Vec::new();
        // Whether each unfinished request has started.
        let mut unfinished: BTreeMap<RequestId, bool> = BTreeMap::new();
        for (step, (choice, long)) in steps.iter().enumerate() {
            let now = TimePoint(step as u64 * 7);
            let id = RequestId(step as u64);
            let class = if *long {
                RequestClass::Long
            } else {
                RequestClass::Short
            };
            if choice % 3 == 0 && !running.is_empty() {
                let finished = running.remove(usize::from(*choice) % running.len());
                slots.finish(finished, now);
                unfinished.remove(&finished);
            } else {
                match slots.offer(id, class, now + std::time::Duration::from_millis(60), now) {
                    SlotOffer::Start => {
                        running.push(id);
                        unfinished.insert(id, true);
                    }
                    SlotOffer::Queued(_) => {
                        unfinished.insert(id, false);
                    }
                    SlotOffer::Refused(_) => {}
                }
            }
            while let Some(event) = slots.next(now) {
                match event {
                    SlotEvent::Start(id) => {
                        running.push(id);
                        unfinished.insert(id, true);
                    }
                    SlotEvent::Refuse(id, _) => {
                        unfinished.remove(&id);
                    }
                }
            }
            let waiting = unfinished.values().filter(|started| !**started).count();
            if running.len() > 3 || slots.running() != running.len() || slots.waiting() != waiting {
                return false;
            }
        }
        true
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn relay_after_cancellation_is_refused() {
    let mut relays = RelayTable::default();
    let id = RequestId(1);
    assert_eq!(relays.cancel(id, TimePoint(0)), CancelResult::NotRun);
    assert_eq!(relays.accept(id), RelayAdmission::Cancelled);
    assert!(!relays.start(id));
}

#[test]
fn not_run_is_never_reported_for_started_relay() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut relays = RelayTable::default();
        let mut started = BTreeMap::new();
        let mut reported_not_run = BTreeMap::new();
        for (step, (action, id)) in steps.into_iter().enumerate() {
            let now = TimePoint(step as u64 * 100);
            let id = RequestId(u64::from(id % 4));
            match action % 4 {
                0 => {
                    relays.accept(id);
                }
                1 => {
                    if relays.start(id) {
                        if reported_not_run.contains_key(&id) || started.contains_key(&id) {
                            return false;
                        }
                        started.insert(id, ());
                    }
                }
                2 => relays.end(id, now),
                _ => {
                    if relays.cancel(id, now) == CancelResult::NotRun {
                        if started.contains_key(&id) {
                            return false;
                        }
                        reported_not_run.insert(id, ());
                    }
                }
            }
        }
        true
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn late_answer_to_ended_request_has_no_effect() {
    let mut table = RequestTable::default();
    let id = RequestId(1);
    table.insert(id);
    table.apply(id, RequestEvent::Relay);
    assert_eq!(
        table.apply(id, RequestEvent::Expire),
        None,
        "the relay is cancelled first"
    );
    assert_eq!(
        table.apply(id, RequestEvent::Lose),
        Some(RequestOutcome::Unknown)
    );
    assert_eq!(table.apply(id, RequestEvent::Answer), None);
    assert!(table.is_empty());
}

#[test]
fn retries_are_limited_to_tenth_of_first_attempts() {
    let mut budget = RetryBudget::new(PercentShare::new(10).unwrap());
    let mut granted = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        granted += u32::from(budget.try_spend());
    }
    assert_eq!(granted, 100);
}
