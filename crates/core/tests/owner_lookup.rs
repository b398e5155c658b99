//! Flows that walked in vain: every host is asked, and a caller is told only if each
//! is certain.

mod common;

use std::net::SocketAddrV4;
use std::time::Duration;

use chestnutlb_core::owner_lookup::{
    LOOKUP_QUERIES_PER_SECOND, LOOKUP_TIMEOUT, MAX_FLOWS_PER_QUERY, MAX_LOOKUP_HOSTS,
};
use chestnutlb_core::{
    BackendInfo, HostState, LookupVerdict, OwnershipReply, PassthroughArrival, PassthroughFlows,
    PassthroughRouter, PassthroughVerdict, PlanSource, RoutingView, TcpSegment, TimePoint,
};
use common::{data, host, key, passthrough_router, passthrough_view, put_passthrough, syn};

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
    put_passthrough(view, spec, vec![record]);
    packets
}

// Packets of a flow that the router does not remember, until it asks for it.
fn search(router: &mut PassthroughRouter, view: &RoutingView, now: u64) -> Vec<SocketAddrV4> {
    let packet = data(1, 700);
    router.route(view, &packet, TimePoint(now)).unwrap();
    assert!(!router.has_pending_lookups(), "a first walk asks nobody");
    let again = TimePoint(now + COPY_MS);
    let first = router.route(view, &packet, again).unwrap();
    assert_eq!(first.source, PlanSource::Hint);
    router.reroute(view, &packet, first.hops[0], again).unwrap();
    router
        .take_queries()
        .into_iter()
        .map(|question| {
            assert_eq!(question.flows, [key(1)]);
            question.host
        })
        .collect()
}

fn clear_all(
    router: &mut PassthroughRouter,
    view: &RoutingView,
    asked: &[SocketAddrV4],
    fresh: bool,
    at: u64,
) -> Option<LookupVerdict> {
    let mut last = None;
    for host in asked {
        assert_eq!(last, None, "before every host has answered");
        last = router.record_lookup_reply(
            view,
            key(1),
            *host,
            OwnershipReply::NotOwned,
            fresh,
            TimePoint(at),
        );
    }
    last
}

#[test]
fn a_flow_whose_host_fell_out_of_its_walk_is_found() {
    let view = passthrough_view(HOSTS);
    let mut router = passthrough_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    assert_eq!(asked.len(), HOSTS, "a walk visits far fewer");
    let now = TimePoint(STABLE_MS + COPY_MS + 2);
    let owner = asked[HOSTS / 2];
    let none = router.record_lookup_reply(
        &view,
        key(1),
        asked[0],
        OwnershipReply::NotOwned,
        false,
        now,
    );
    assert_eq!(none, None);
    let found = router.record_lookup_reply(&view, key(1), owner, OwnershipReply::Owned, false, now);
    assert_eq!(found, Some(LookupVerdict::Found(owner)));
    let plan = router.route(&view, &data(1, 700), now).unwrap();
    assert_eq!((plan.source, plan.hops), (PlanSource::Hint, vec![owner]));
}

#[test]
fn a_flow_is_dead_when_every_host_is_certain() {
    let view = passthrough_view(HOSTS);
    let mut router = passthrough_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let at = STABLE_MS + COPY_MS + 2;
    let verdict = clear_all(&mut router, &view, &asked, true, at);
    assert_eq!(verdict, Some(LookupVerdict::NoOwner(data(1, 700))));
}

#[test]
fn one_host_that_is_unsure_leaves_the_flow_alone() {
    let view = passthrough_view(HOSTS);
    let mut router = passthrough_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let at = STABLE_MS + COPY_MS + 2;
    assert_eq!(clear_all(&mut router, &view, &asked[1..], true, at), None);
    let unsure = OwnershipReply::Unknown;
    let now = TimePoint(at);
    let verdict = router.record_lookup_reply(&view, key(1), asked[0], unsure, true, now);
    assert_eq!(verdict, None);
}

#[test]
fn a_host_that_answers_twice_counts_once() {
    let view = passthrough_view(2);
    let mut router = passthrough_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let now = TimePoint(STABLE_MS + COPY_MS + 2);
    for _ in 0..3 {
        let verdict = router.record_lookup_reply(
            &view,
            key(1),
            asked[0],
            OwnershipReply::NotOwned,
            true,
            now,
        );
        assert_eq!(verdict, None);
    }
}

#[test]
fn nobody_is_told_while_hosts_come_and_go_or_knowledge_is_old() {
    let view = passthrough_view(HOSTS);
    let at = STABLE_MS + COPY_MS + 2;
    let mut router_without_store = passthrough_router(&view);
    let asked = search(&mut router_without_store, &view, STABLE_MS);
    let verdict = clear_all(&mut router_without_store, &view, &asked, false, at);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));

    let mut router = passthrough_router(&view);
    let grown = passthrough_view(HOSTS + 1);
    router.update_view(&grown, TimePoint(STABLE_MS - 1_000));
    let asked = search(&mut router, &grown, STABLE_MS);
    let verdict = clear_all(&mut router, &grown, &asked, true, at);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
}

#[test]
fn words_that_come_late_end_nothing() {
    let view = passthrough_view(2);
    let mut router = passthrough_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    let late = STABLE_MS + COPY_MS + LOOKUP_TIMEOUT.as_millis() as u64;
    assert_eq!(clear_all(&mut router, &view, &asked, true, late), None);
}

#[test]
fn hosts_of_the_firms_other_services_are_asked_too() {
    let mut view = passthrough_view(3);
    let other = add_service(&mut view);
    let mut router = passthrough_router(&view);
    let asked = search(&mut router, &view, STABLE_MS);
    assert!(asked.contains(&other), "the address may have been its own");
}

#[test]
fn a_question_fits_a_datagram() {
    let view = passthrough_view(2);
    let mut router = passthrough_router(&view);
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
    let questions = router.take_queries();
    assert!(
        questions
            .iter()
            .all(|q| q.flows.len() <= MAX_FLOWS_PER_QUERY)
    );
    let flows: usize = questions.iter().map(|question| question.flows.len()).sum();
    assert_eq!(flows, 2 * 40);
}

fn backend(observed_from_start: bool) -> BackendInfo {
    BackendInfo {
        accepts_flows: true,
        slots: 3,
        flow_limit: 100,
        cold: false,
        observed_from_start,
    }
}

const LAST_HOP: PassthroughArrival = PassthroughArrival {
    more_hops: false,
    complete: true,
};

#[test]
fn a_host_is_certain_only_of_what_it_saw_or_was_told() {
    let now = TimePoint(1_000);
    let age = Duration::from_secs(60);
    let mut flows = PassthroughFlows::new(age, now);
    let facts = backend(true);
    assert_eq!(
        flows.lookup_reply(key(1), &facts, now),
        OwnershipReply::NotOwned
    );

    let young = backend(false);
    assert_eq!(
        flows.lookup_reply(key(1), &young, now),
        OwnershipReply::Unknown
    );
    let later = now + age;
    assert_eq!(
        flows.lookup_reply(key(1), &young, later),
        OwnershipReply::NotOwned
    );

    // Asked, but not answered: the backend server may be at work on it.
    let verdict = flows.judge(&data(1, 700), LAST_HOP, &young, now);
    assert_eq!(verdict, PassthroughVerdict::QueryBackend);
    assert_eq!(
        flows.lookup_reply(key(1), &young, now),
        OwnershipReply::Unknown
    );
    flows.record_returned(&data(1, 700));
    assert_eq!(
        flows.lookup_reply(key(1), &young, now),
        OwnershipReply::NotOwned
    );
}

#[test]
fn a_half_open_flow_is_in_doubt_and_an_open_one_is_here() {
    let now = TimePoint(1_000);
    let facts = backend(true);
    let mut flows = PassthroughFlows::new(Duration::from_secs(60), now);
    flows.judge(&syn(1), LAST_HOP, &facts, now);
    flows.record_delivered(&syn(1), &facts, now);
    assert_eq!(
        flows.lookup_reply(key(1), &facts, now),
        OwnershipReply::Unknown
    );
    let handshake = TcpSegment {
        is_syn_ack: true,
        is_syn: false,
        sequence: 699,
        ..data(1, 2)
    };
    flows.record_reply_segment(&handshake, now);
    assert_eq!(
        flows.lookup_reply(key(1), &facts, now),
        OwnershipReply::Unknown
    );
    flows.judge(&data(1, 700), LAST_HOP, &facts, now);
    assert_eq!(
        flows.lookup_reply(key(1), &facts, now),
        OwnershipReply::Owned
    );
}

#[test]
fn questions_keep_to_their_rate() {
    let view = passthrough_view(HOSTS);
    let mut router = passthrough_router(&view);
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
        asked += router.take_queries().len();
    }
    let limit = LOOKUP_QUERIES_PER_SECOND * (SECONDS + 1) + 2 * MAX_LOOKUP_HOSTS as u64;
    assert!(asked as u64 <= limit, "{asked}");
    assert!(
        asked as u64 >= LOOKUP_QUERIES_PER_SECOND * SECONDS / 2,
        "{asked}"
    );
}

struct RepeatedLookup {
    view: RoutingView,
    router: PassthroughRouter,
    step: u64,
}

impl RepeatedLookup {
    fn new() -> Self {
        let view = passthrough_view(HOSTS);
        let router = passthrough_router(&view);
        Self {
            view,
            router,
            step: 0,
        }
    }

    // Searches another flow; the first hosts do not answer, the others clear it.
    fn search(&mut self, mute: usize) -> (TcpSegment, TimePoint) {
        let at = STABLE_MS + self.step * 500;
        let packet = data(100 + self.step as u16, 700);
        self.step += 1;
        let again = TimePoint(at + COPY_MS);
        self.router
            .route(&self.view, &packet, TimePoint(at))
            .unwrap();
        let hint = self.router.route(&self.view, &packet, again).unwrap().hops[0];
        self.router
            .reroute(&self.view, &packet, hint, again)
            .unwrap();
        for question in self.router.take_queries() {
            if question.host >= host(mute, HostState::Serving).packets {
                let verdict = self.say(packet, question.host, OwnershipReply::NotOwned, again);
                assert!(mute == 0 || verdict.is_none());
            }
        }
        (packet, again)
    }

    fn say(
        &mut self,
        packet: TcpSegment,
        host: SocketAddrV4,
        word: OwnershipReply,
        now: TimePoint,
    ) -> Option<LookupVerdict> {
        self.router.record_activity(host);
        let (view, key) = (&self.view, packet.key);
        self.router
            .record_lookup_reply(view, key, host, word, true, now)
    }

    fn verdict(&mut self, began: TimePoint) -> LookupVerdict {
        let over = began + LOOKUP_TIMEOUT;
        let ended = self.router.take_finished_lookups(&self.view, true, over);
        assert_eq!(ended.len(), 1);
        ended[0].1
    }

    fn search_for(&mut self, mute: usize, seconds: u64) -> LookupVerdict {
        let mut last = None;
        for _ in 0..seconds * 2 {
            let (_, began) = self.search(mute);
            last = Some(self.verdict(began));
        }
        last.unwrap()
    }
}

#[test]
fn a_host_that_answers_nothing_for_long_is_not_needed() {
    let mut searches = RepeatedLookup::new();
    let early = searches.search_for(1, 1);
    assert_eq!(early.incomplete().map(|open| open.silent), Some(1));
    let late = searches.search_for(1, 4);
    assert!(matches!(late, LookupVerdict::NoOwner(_)), "{late:?}");
}

#[test]
fn an_entry_that_hears_few_hosts_tells_nobody() {
    let verdict = RepeatedLookup::new().search_for(HOSTS / 2 + 1, 5);
    assert!(
        matches!(verdict, LookupVerdict::Incomplete(_)),
        "{verdict:?}"
    );
}

#[test]
fn a_lost_host_that_came_back_has_its_say() {
    let mut searches = RepeatedLookup::new();
    searches.search_for(1, 5);
    let back = host(0, HostState::Serving).packets;
    let (packet, now) = searches.search(1);
    let later = now + LOOKUP_TIMEOUT / 2;
    let verdict = searches.say(packet, back, OwnershipReply::Owned, later);
    assert_eq!(verdict, Some(LookupVerdict::Found(back)));
    // From now on it is waited for again.
    let (_, began) = searches.search(1);
    let verdict = searches.verdict(began);
    assert!(
        matches!(verdict, LookupVerdict::Incomplete(_)),
        "{verdict:?}"
    );
}

// A host crashed and started again. Its side process hears of it a moment later,
// when the new life has flows already.
#[test]
fn a_flow_that_began_before_a_new_life_was_noticed_is_not_denied() {
    let now = TimePoint(1_000);
    let facts = backend(true);
    let mut flows = PassthroughFlows::new(Duration::from_secs(60), now);
    for port in [1, 2] {
        flows.judge(&syn(port), LAST_HOP, &facts, now);
        flows.record_delivered(&syn(port), &facts, now);
        let handshake = TcpSegment {
            is_syn_ack: true,
            is_syn: false,
            sequence: 699,
            ..data(port, 2)
        };
        flows.record_reply_segment(&handshake, now);
        flows.judge(&data(port, 700), LAST_HOP, &facts, now);
    }
    assert_eq!(flows.mark_all_unverified(), 2);
    assert_eq!(
        flows.lookup_reply(key(1), &facts, now),
        OwnershipReply::Unknown
    );
    let later = now + Duration::from_secs(11);
    flows.sweep(Duration::from_secs(600), later);

    // One that lives: its backend server is asked and answers.
    let verdict = flows.judge(&data(1, 700), LAST_HOP, &facts, later);
    assert_eq!(verdict, PassthroughVerdict::QueryBackend);
    flows.record_reply_segment(&data(1, 710), later);
    assert_eq!(
        flows.lookup_reply(key(1), &facts, later),
        OwnershipReply::Owned
    );

    // One of the earlier life: it is asked once, and returns the packet.
    let verdict = flows.judge(&data(2, 700), LAST_HOP, &facts, later);
    assert_eq!(verdict, PassthroughVerdict::QueryBackend);
    let verdict = flows.judge(&data(2, 700), LAST_HOP, &facts, later);
    assert_eq!(verdict, PassthroughVerdict::NoNextHop);
    flows.record_returned(&data(2, 700));
    assert_eq!(
        flows.lookup_reply(key(2), &facts, later),
        OwnershipReply::NotOwned
    );
}
