//! Flows that walked in vain: every host is asked, and a caller is told only if each
//! is certain.

mod common;

use std::net::SocketAddrV4;
use std::time::Duration;

use chestnutlb_core::search::{QUESTION_FLOWS, QUESTION_RATE, SEARCH_TIMEOUT, SEARCHED_HOSTS};
use chestnutlb_core::{
    BackendFacts, CarriedArrival, CarriedFlows, CarriedRouter, CarriedVerdict, FlowWord, HostState,
    PlanSource, RoutingView, SearchVerdict, SegmentFacts, TimePoint,
};
use common::{carried_router, carried_view, data, host, key, put_carried, syn};

const HOSTS: usize = 20;
// Time between a caller's packet and its first copy.
const COPY_MS: u64 = 200;
const STABLE_MS: u64 = 10_000;

// A second service of the same firm, with a host of its own.
fn add_service(view: &mut RoutingView) -> SocketAddrV4 {
    let mut spec = common::spec();
    spec.id = "dalbit/patterns".parse().unwrap();
    spec.address = "10.20.0.2:7000".parse().unwrap();
    let mut record = host(200, HostState::Serving);
    record.service = spec.id.clone();
    let packets = record.packets;
    put_carried(view, spec, vec![record]);
    packets
}

// Packets of a flow that the router does not remember, until it asks for it.
fn search(router: &mut CarriedRouter, view: &RoutingView, now: u64) -> Vec<SocketAddrV4> {
    let packet = data(1, 700);
    router.route(view, &packet, TimePoint(now)).unwrap();
    assert!(!router.is_searching(), "a first walk asks nobody");
    let again = TimePoint(now + COPY_MS);
    let first = router.route(view, &packet, again).unwrap();
    assert_eq!(first.source, PlanSource::Hint);
    router.reroute(view, &packet, first.hops[0], again).unwrap();
    router
        .take_questions()
        .into_iter()
        .map(|question| {
            assert_eq!(question.flows, [key(1)]);
            question.host
        })
        .collect()
}

fn clear_all(
    router: &mut CarriedRouter,
    view: &RoutingView,
    asked: &[SocketAddrV4],
    fresh: bool,
    at: u64,
) -> Option<SearchVerdict> {
    let mut last = None;
    for host in asked {
        assert_eq!(last, None, "before every host has answered");
        last = router.hear_word(view, key(1), *host, FlowWord::Never, fresh, TimePoint(at));
    }
    last
}

#[test]
fn a_flow_whose_host_fell_out_of_its_walk_is_found() {
    let view = carried_view(HOSTS);
    let mut router = carried_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    assert_eq!(asked.len(), HOSTS, "a walk visits far fewer");
    let now = TimePoint(STABLE_MS + COPY_MS + 2);
    let owner = asked[HOSTS / 2];
    let none = router.hear_word(&view, key(1), asked[0], FlowWord::Never, false, now);
    assert_eq!(none, None);
    let found = router.hear_word(&view, key(1), owner, FlowWord::Here, false, now);
    assert_eq!(found, Some(SearchVerdict::Found(owner)));
    let plan = router.route(&view, &data(1, 700), now).unwrap();
    assert_eq!((plan.source, plan.hops), (PlanSource::Hint, vec![owner]));
}

#[test]
fn a_flow_is_dead_when_every_host_is_certain() {
    let view = carried_view(HOSTS);
    let mut router = carried_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let at = STABLE_MS + COPY_MS + 2;
    let verdict = clear_all(&mut router, &view, &asked, true, at);
    assert_eq!(verdict, Some(SearchVerdict::Dead(data(1, 700))));
}

#[test]
fn one_host_that_is_unsure_leaves_the_flow_alone() {
    let view = carried_view(HOSTS);
    let mut router = carried_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let at = STABLE_MS + COPY_MS + 2;
    assert_eq!(clear_all(&mut router, &view, &asked[1..], true, at), None);
    let unsure = FlowWord::Unsure;
    let now = TimePoint(at);
    let verdict = router.hear_word(&view, key(1), asked[0], unsure, true, now);
    assert_eq!(verdict, None);
}

#[test]
fn a_host_that_answers_twice_counts_once() {
    let view = carried_view(2);
    let mut router = carried_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let now = TimePoint(STABLE_MS + COPY_MS + 2);
    for _ in 0..3 {
        let verdict = router.hear_word(&view, key(1), asked[0], FlowWord::Never, true, now);
        assert_eq!(verdict, None);
    }
}

#[test]
fn nobody_is_told_while_hosts_come_and_go_or_knowledge_is_old() {
    let view = carried_view(HOSTS);
    let at = STABLE_MS + COPY_MS + 2;
    let mut router_without_store = carried_router(&view);
    let asked = search(&mut router_without_store, &view, STABLE_MS);
    let verdict = clear_all(&mut router_without_store, &view, &asked, false, at);
    assert_eq!(verdict, Some(SearchVerdict::Doubtful));

    let mut router = carried_router(&view);
    let grown = carried_view(HOSTS + 1);
    router.note_view(&grown, TimePoint(STABLE_MS - 1_000));
    let asked = search(&mut router, &grown, STABLE_MS);
    let verdict = clear_all(&mut router, &grown, &asked, true, at);
    assert_eq!(verdict, Some(SearchVerdict::Doubtful));
}

#[test]
fn words_that_come_late_end_nothing() {
    let view = carried_view(2);
    let mut router = carried_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let late = STABLE_MS + COPY_MS + SEARCH_TIMEOUT.as_millis() as u64;
    assert_eq!(clear_all(&mut router, &view, &asked, true, late), None);
}

#[test]
fn hosts_of_the_firms_other_services_are_asked_too() {
    let mut view = carried_view(3);
    let other = add_service(&mut view);
    let mut router = carried_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    assert!(asked.contains(&other), "the address may have been its own");
}

#[test]
fn a_question_fits_a_datagram() {
    let view = carried_view(2);
    let mut router = carried_router(&view);
    for port in 1..=40 {
        let packet = data(port, 700);
        for at in [STABLE_MS, STABLE_MS + COPY_MS] {
            let now = TimePoint(at);
            let plan = router.route(&view, &packet, now).unwrap();
            if plan.source == PlanSource::Hint {
                router.reroute(&view, &packet, plan.hops[0], now).unwrap();
            }
        }
    }
    let questions = router.take_questions();
    assert!(questions.iter().all(|q| q.flows.len() <= QUESTION_FLOWS));
    let flows: usize = questions.iter().map(|question| question.flows.len()).sum();
    assert_eq!(flows, 2 * 40);
}

fn backend(watched_from_start: bool) -> BackendFacts {
    BackendFacts {
        takes: true,
        slots: 3,
        flow_limit: 100,
        cold: false,
        watched_from_start,
    }
}

const LAST_HOP: CarriedArrival = CarriedArrival {
    more_hops: false,
    complete: true,
};

#[test]
fn a_host_is_certain_only_of_what_it_saw_or_was_told() {
    let now = TimePoint(1_000);
    let age = Duration::from_secs(60);
    let mut flows = CarriedFlows::new(age, now);
    let facts = backend(true);
    assert_eq!(flows.word(key(1), &facts, now), FlowWord::Never);

    let young = backend(false);
    assert_eq!(flows.word(key(1), &young, now), FlowWord::Unsure);
    let later = now + age;
    assert_eq!(flows.word(key(1), &young, later), FlowWord::Never);

    // Asked, but not answered: the backend server may be at work on it.
    let verdict = flows.judge(&data(1, 700), LAST_HOP, &young, now);
    assert_eq!(verdict, CarriedVerdict::Ask);
    assert_eq!(flows.word(key(1), &young, now), FlowWord::Unsure);
    flows.note_returned(&data(1, 700));
    assert_eq!(flows.word(key(1), &young, now), FlowWord::Never);
}

#[test]
fn a_half_open_flow_is_in_doubt_and_an_open_one_is_here() {
    let now = TimePoint(1_000);
    let facts = backend(true);
    let mut flows = CarriedFlows::new(Duration::from_secs(60), now);
    flows.judge(&syn(1), LAST_HOP, &facts, now);
    flows.note_delivered(&syn(1), &facts, now);
    assert_eq!(flows.word(key(1), &facts, now), FlowWord::Unsure);
    let handshake = SegmentFacts {
        synchronizes: true,
        opens: false,
        sequence: 699,
        ..data(1, 2)
    };
    flows.note_sent(&handshake, now);
    assert_eq!(flows.word(key(1), &facts, now), FlowWord::Unsure);
    flows.judge(&data(1, 700), LAST_HOP, &facts, now);
    assert_eq!(flows.word(key(1), &facts, now), FlowWord::Here);
}

#[test]
fn questions_keep_to_their_rate() {
    let view = carried_view(HOSTS);
    let mut router = carried_router(&view);
    let mut asked = 0;
    let mut port = 0;
    const SECONDS: u64 = 10;
    for now in (STABLE_MS..STABLE_MS + SECONDS * 1_000).step_by(10) {
        port += 1;
        let packet = data(port, 700);
        for at in [now, now + COPY_MS] {
            let at = TimePoint(at);
            let plan = router.route(&view, &packet, at).unwrap();
            if plan.source == PlanSource::Hint {
                router.reroute(&view, &packet, plan.hops[0], at).unwrap();
            }
        }
        asked += router.take_questions().len();
    }
    let limit = QUESTION_RATE * (SECONDS + 1) + 2 * SEARCHED_HOSTS as u64;
    assert!(asked as u64 <= limit, "{asked}");
    assert!(asked as u64 >= QUESTION_RATE * SECONDS / 2, "{asked}");
}

// Searches of one flow after another, in which all but `mute` answer at once.
fn search_repeatedly(mute: usize, seconds: u64) -> Option<SearchVerdict> {
    let view = carried_view(HOSTS);
    let mut router = carried_router(&view);
    let mut last = None;
    for step in 0..seconds * 2 {
        let at = STABLE_MS + step * 500;
        let packet = data(100 + step as u16, 700);
        router.route(&view, &packet, TimePoint(at)).unwrap();
        let again = TimePoint(at + COPY_MS);
        let hint = router.route(&view, &packet, again).unwrap().hops[0];
        router.reroute(&view, &packet, hint, again).unwrap();
        let mut asked: Vec<_> = router.take_questions();
        asked.sort_by_key(|question| question.host);
        last = None;
        for question in asked {
            if question.host < host(mute, HostState::Serving).packets {
                continue;
            }
            let word = FlowWord::Never;
            last = router.hear_word(&view, packet.key, question.host, word, true, again);
        }
    }
    last
}

#[test]
fn a_host_that_answers_nothing_for_long_is_not_waited_for() {
    assert_eq!(search_repeatedly(1, 1), None);
    let late = search_repeatedly(1, 5);
    assert!(matches!(late, Some(SearchVerdict::Dead(_))), "{late:?}");
}

#[test]
fn an_entry_that_hears_few_hosts_tells_nobody() {
    assert_eq!(search_repeatedly(HOSTS / 2 + 1, 5), None);
}

// A host crashed and started again. Its side process hears of it a moment later,
// when the new life has flows already.
#[test]
fn a_flow_that_began_before_a_new_life_was_noticed_is_not_denied() {
    let now = TimePoint(1_000);
    let facts = backend(true);
    let mut flows = CarriedFlows::new(Duration::from_secs(60), now);
    for port in [1, 2] {
        flows.judge(&syn(port), LAST_HOP, &facts, now);
        flows.note_delivered(&syn(port), &facts, now);
        let handshake = SegmentFacts {
            synchronizes: true,
            opens: false,
            sequence: 699,
            ..data(port, 2)
        };
        flows.note_sent(&handshake, now);
        flows.judge(&data(port, 700), LAST_HOP, &facts, now);
    }
    assert_eq!(flows.doubt_all(), 2);
    assert_eq!(flows.word(key(1), &facts, now), FlowWord::Unsure);
    let later = now + Duration::from_secs(11);
    flows.sweep(Duration::from_secs(600), later);

    // One that lives: its backend server is asked and answers.
    let verdict = flows.judge(&data(1, 700), LAST_HOP, &facts, later);
    assert_eq!(verdict, CarriedVerdict::Ask);
    flows.note_sent(&data(1, 710), later);
    assert_eq!(flows.word(key(1), &facts, later), FlowWord::Here);

    // One of the earlier life: it is asked once, and returns the packet.
    let verdict = flows.judge(&data(2, 700), LAST_HOP, &facts, later);
    assert_eq!(verdict, CarriedVerdict::Ask);
    let verdict = flows.judge(&data(2, 700), LAST_HOP, &facts, later);
    assert_eq!(verdict, CarriedVerdict::NotHere);
    flows.note_returned(&data(2, 700));
    assert_eq!(flows.word(key(2), &facts, later), FlowWord::Never);
}
