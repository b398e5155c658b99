//! Owner lookups of flows that no host on the walk owned: every host is queried, and
//! the flow may be reset only if every host is certain not to own it.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::opening_rules::KnownColdLimit;
use chestnutlb_core::owner_lookup::{
    LOOKUP_QUERIES_PER_SECOND, LOOKUP_TIMEOUT, MAX_FLOWS_PER_QUERY, MAX_LOOKUP_HOSTS,
    UNREACHABLE_AFTER,
};
use chestnutlb_core::{
    BackendInfo, HostState, LookupResult, LookupVerdict, OwnerLookups, OwnershipReply,
    PassthroughArrival, PassthroughFlows, PassthroughPlan, PassthroughRouter, PassthroughVerdict,
    PlanSource, RerouteDecision, RoutingView, TcpSegment, TimePoint,
};
use common::{
    data, host, key, passthrough_router, passthrough_view, put_passthrough, settled_router, syn,
};

const HOSTS: usize = 20;
// Time between a caller's packet and its first retransmission.
const RETRANSMISSION_MS: u64 = 200;
// Time of the first packet.
const START_MS: u64 = 10_000;
// Time for which a walk and the replies to a lookup take.
const WALK_MS: u64 = 8;
const REPLY_MS: u64 = 2;

// Adds a second service of the same firm with one host, and returns the host's address.
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

// Routes a packet of a flow whose owner is not cached. Returns its walk.
fn walk(
    router: &mut PassthroughRouter,
    view: &RoutingView,
    packet: &TcpSegment,
    now: u64,
) -> PassthroughPlan {
    let now = TimePoint(now);
    let plan = router.route(view, packet, now).unwrap();
    if plan.source == PlanSource::Chain {
        return plan;
    }
    match router.reroute(view, packet, plan.hops[0], now).unwrap() {
        RerouteDecision::Walk(plan) => plan,
        RerouteDecision::AwaitLookup => panic!("the host of the hint is not the last hop"),
    }
}

// Routes a packet and returns it from the last host of its walk, which starts a lookup.
fn walk_in_vain(router: &mut PassthroughRouter, view: &RoutingView, packet: &TcpSegment, now: u64) {
    let plan = walk(router, view, packet, now);
    assert!(!plan.complete, "the last host returns the packet");
    let last = *plan.hops.last().unwrap();
    let decision = router.reroute(view, packet, last, TimePoint(now + WALK_MS));
    assert_eq!(decision, Ok(RerouteDecision::AwaitLookup));
}

// Starts a lookup of a flow. Returns the hosts that it queries.
fn start_lookup(router: &mut PassthroughRouter, view: &RoutingView, now: u64) -> Vec<SocketAddrV4> {
    walk_in_vain(router, view, &data(1, 700), now);
    router
        .take_queries(TimePoint(now + WALK_MS))
        .into_iter()
        .map(|query| {
            assert_eq!(query.flows, [key(1)]);
            query.host
        })
        .collect()
}

fn record_not_owned(
    router: &mut PassthroughRouter,
    view: &RoutingView,
    queried: &[SocketAddrV4],
    fresh: bool,
    now_ms: u64,
) -> Option<LookupVerdict> {
    let mut verdict = None;
    for host in queried {
        assert_eq!(verdict, None, "verdict before every host has replied");
        verdict = router.record_lookup_reply(
            view,
            key(1),
            *host,
            OwnershipReply::NotOwned,
            fresh,
            TimePoint(now_ms),
        );
    }
    verdict
}

#[test]
fn owner_outside_walk_is_found() {
    let view = passthrough_view(HOSTS);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    assert_eq!(
        queried.len(),
        HOSTS,
        "every host is queried, while a walk visits far fewer"
    );
    let now = TimePoint(START_MS + WALK_MS + REPLY_MS);
    let owner = queried[HOSTS / 2];
    let verdict = router.record_lookup_reply(
        &view,
        key(1),
        queried[0],
        OwnershipReply::NotOwned,
        false,
        now,
    );
    assert_eq!(verdict, None);
    let found = router.record_lookup_reply(&view, key(1), owner, OwnershipReply::Owned, false, now);
    assert_eq!(found, Some(LookupVerdict::Found(owner)));
    let plan = router.route(&view, &data(1, 700), now).unwrap();
    assert_eq!((plan.source, plan.hops), (PlanSource::Hint, vec![owner]));
}

#[test]
fn flow_that_all_hosts_deny_has_no_owner() {
    let view = passthrough_view(HOSTS);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let replied_ms = START_MS + WALK_MS + REPLY_MS;
    let verdict = record_not_owned(&mut router, &view, &queried, true, replied_ms);
    assert_eq!(verdict, Some(LookupVerdict::NoOwner(data(1, 700))));
}

// A new view is confirmed a moment after the packet thread has received it.
#[test]
fn verdict_that_lacks_a_confirmation_follows_once_the_view_is_confirmed() {
    let view = passthrough_view(HOSTS);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let replied_ms = START_MS + WALK_MS + REPLY_MS;
    let verdict = record_not_owned(&mut router, &view, &queried, false, replied_ms);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
    assert!(router.has_pending_lookups());
    let mut finished = |fresh, at| router.take_finished_lookups(&view, fresh, TimePoint(at));
    assert!(finished(false, replied_ms + 20).is_empty());
    let no_owner = (key(1), LookupVerdict::NoOwner(data(1, 700)));
    assert_eq!(finished(true, replied_ms + 40), [no_owner]);
    assert!(finished(true, replied_ms + 60).is_empty());
}

#[test]
fn verdict_that_lacks_a_confirmation_lapses_with_time_and_if_the_owner_is_found() {
    let view = passthrough_view(HOSTS);
    for (is_found, confirmed_after_ms) in [(true, 40), (false, 500)] {
        let mut router = settled_router(&view);
        let queried = start_lookup(&mut router, &view, START_MS);
        let replied_ms = START_MS + WALK_MS + REPLY_MS;
        record_not_owned(&mut router, &view, &queried, false, replied_ms);
        if is_found {
            router.record_owner(&view, key(1), queried[0]);
        }
        let confirmed_at = TimePoint(replied_ms + confirmed_after_ms);
        let finished = router.take_finished_lookups(&view, true, confirmed_at);
        assert!(finished.is_empty(), "{finished:?}");
    }
}

// Records replies of all hosts, `Unknown` from those of `unknown`.
fn record_unknown(
    router: &mut PassthroughRouter,
    view: &RoutingView,
    queried: &[SocketAddrV4],
    unknown: &[SocketAddrV4],
    now: TimePoint,
) -> Option<LookupVerdict> {
    let mut verdict = None;
    for host in queried {
        let reply = if unknown.contains(host) {
            OwnershipReply::Unknown
        } else {
            OwnershipReply::NotOwned
        };
        verdict = router.record_lookup_reply(view, key(1), *host, reply, true, now);
    }
    verdict
}

#[test]
fn packet_visits_hosts_that_cannot_tell_before_the_verdict() {
    let mut view = passthrough_view(3);
    let other = add_service(&mut view);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let now = TimePoint(START_MS + WALK_MS + REPLY_MS);
    let verdict = record_unknown(&mut router, &view, &queried, &[other], now);
    let Some(LookupVerdict::Undetermined(plans)) = verdict else {
        panic!("{verdict:?}");
    };
    let [plan] = &plans[..] else {
        panic!("{plans:?}");
    };
    let service = view.services().find(|service| service.tag == plan.tag);
    assert_eq!(plan.hops, [other]);
    assert_eq!(
        service.map(|service| service.id().to_string()),
        Some("dalbit/patterns".to_owned()),
        "a host drops packets that name another service"
    );
    // Its backend server returned the packet, so now it can tell.
    let decision = router.reroute(&view, &data(1, 700), other, now).unwrap();
    assert_eq!(decision, RerouteDecision::AwaitLookup);
    let queried: Vec<_> = router.take_queries(now).iter().map(|q| q.host).collect();
    assert_eq!(queried, [other], "the others have denied the flow");
    let verdict = record_unknown(&mut router, &view, &queried, &[], now);
    assert_eq!(verdict, Some(LookupVerdict::NoOwner(data(1, 700))));
}

// After a loss of power no host can tell. On the users' bench (dalbit-edge-grown) a flow took
// seven to nine lookups, one for each walk, which the rate limit did not allow.
#[test]
fn all_hosts_that_cannot_tell_are_visited_at_once_and_asked_once_more() {
    let view = passthrough_view(HOSTS);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let now = TimePoint(START_MS + WALK_MS + REPLY_MS);
    let verdict = record_unknown(&mut router, &view, &queried, &queried, now);
    let Some(LookupVerdict::Undetermined(plans)) = verdict else {
        panic!("{verdict:?}");
    };
    let mut visited: Vec<_> = plans.iter().flat_map(|plan| plan.hops.clone()).collect();
    visited.sort_unstable();
    assert_eq!(visited, queried);
    let last_hops: Vec<_> = plans
        .iter()
        .map(|plan| *plan.hops.last().unwrap())
        .collect();
    for (returned, last_hop) in last_hops.iter().enumerate() {
        assert!(
            router.take_queries(now).is_empty(),
            "{returned} copies are back"
        );
        let decision = router.reroute(&view, &data(1, 700), *last_hop, now);
        assert_eq!(decision, Ok(RerouteDecision::AwaitLookup));
    }
    let queries = router.take_queries(now);
    let asked: Vec<_> = queries.iter().map(|query| query.host).collect();
    assert_eq!(asked, queried);
    let verdict = record_not_owned(&mut router, &view, &queried, true, now.0);
    assert_eq!(verdict, Some(LookupVerdict::NoOwner(data(1, 700))));
}

#[test]
fn denials_of_an_undetermined_lookup_hold_for_a_second() {
    let view = passthrough_view(3);
    for (later_ms, hosts) in [(999, 1), (1_000, 3)] {
        let mut router = settled_router(&view);
        let queried = start_lookup(&mut router, &view, START_MS);
        let replied_ms = START_MS + WALK_MS + REPLY_MS;
        let unknown = &queried[..1];
        record_unknown(&mut router, &view, &queried, unknown, TimePoint(replied_ms));
        let now = TimePoint(replied_ms + later_ms);
        router
            .reroute(&view, &data(1, 700), unknown[0], now)
            .unwrap();
        assert_eq!(router.take_queries(now).len(), hosts, "{later_ms} ms later");
    }
}

#[test]
fn hosts_that_never_can_tell_prevent_the_verdict_and_repeat_few_walks() {
    let view = passthrough_view(3);
    let mut router = settled_router(&view);
    let mut queried = start_lookup(&mut router, &view, START_MS);
    let now = TimePoint(START_MS + WALK_MS + REPLY_MS);
    let unknown = queried.clone();
    let mut walks = 0;
    loop {
        match record_unknown(&mut router, &view, &queried, &unknown, now) {
            Some(LookupVerdict::Undetermined(plans)) => {
                walks += 1;
                let last = *plans[0].hops.last().unwrap();
                router.reroute(&view, &data(1, 700), last, now).unwrap();
                queried = router.take_queries(now).iter().map(|q| q.host).collect();
            }
            Some(LookupVerdict::Incomplete(incomplete)) => {
                assert_eq!(incomplete.unknown, 3);
                break;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(walks, 2);
}

#[test]
fn repeated_reply_of_host_counts_once() {
    let view = passthrough_view(2);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let now = TimePoint(START_MS + WALK_MS + REPLY_MS);
    for _ in 0..3 {
        let verdict = router.record_lookup_reply(
            &view,
            key(1),
            queried[0],
            OwnershipReply::NotOwned,
            true,
            now,
        );
        assert_eq!(verdict, None);
    }
}

#[test]
fn missing_owner_is_unconfirmed_with_stale_view() {
    let view = passthrough_view(HOSTS);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let replied_ms = START_MS + WALK_MS + REPLY_MS;
    let verdict = record_not_owned(&mut router, &view, &queried, false, replied_ms);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
}

// Other entry VMs reset the flows of a host that they do not know. So no entry VM may offer
// it flows before they all know it.
#[test]
fn host_that_joined_gets_flows_only_after_all_entry_vms_know_it() {
    // Registrations are sent every 500 ms, and rosters written every 200 ms, by calls of the
    // store that may take some 100 ms.
    const KNOWN_MS: u64 = 1_000;
    let view = passthrough_view(3);
    let mut router = passthrough_router(&view);
    router.record_freshness(true, TimePoint(START_MS));
    let grown = passthrough_view(4);
    let joined = host(3, HostState::Serving).packets;
    router.update_view(&grown, TimePoint(START_MS));
    let offers = |router: &mut PassthroughRouter, at: u64| {
        (0..40).any(|port| {
            let flow = syn((at + port) as u16);
            let plan = router.route(&grown, &flow, TimePoint(at)).unwrap();
            plan.hops.contains(&joined)
        })
    };
    for at in (START_MS..START_MS + KNOWN_MS).step_by(100) {
        router.update_view(&grown, TimePoint(at));
        assert!(!offers(&mut router, at), "{} ms after", at - START_MS);
    }
    assert!(offers(&mut router, START_MS + KNOWN_MS));
    // Hosts of the first views after a start of this process get flows at once.
    let mut started = passthrough_router(&view);
    started.update_view(&grown, TimePoint(START_MS));
    started.record_freshness(true, TimePoint(START_MS));
    assert!(offers(&mut started, START_MS));
}

#[test]
fn unlisted_host_gets_flows_only_without_a_fresh_view() {
    const LATER_MS: u64 = START_MS + 10_000;
    let view = passthrough_view(3);
    let mut router = passthrough_router(&view);
    let mut grown = passthrough_view(4);
    let joined = host(3, HostState::Serving).packets;
    grown.unlisted_hosts.insert(joined);
    router.record_freshness(true, TimePoint(START_MS));
    router.update_view(&grown, TimePoint(START_MS));
    let is_offered = |router: &mut PassthroughRouter, view: &RoutingView, at: u64| {
        let plan = router.route(view, &syn(at as u16), TimePoint(at)).unwrap();
        plan.hops.contains(&joined)
    };
    assert!(!is_offered(&mut router, &grown, LATER_MS));
    router.record_freshness(false, TimePoint(LATER_MS));
    assert!(is_offered(&mut router, &grown, LATER_MS + 1));
    // Listed now: the delay begins.
    router.record_freshness(true, TimePoint(LATER_MS));
    let listed = passthrough_view(4);
    router.update_view(&listed, TimePoint(LATER_MS));
    assert!(!is_offered(&mut router, &listed, LATER_MS + 999));
    router.update_view(&listed, TimePoint(LATER_MS + 999));
    assert!(is_offered(&mut router, &listed, LATER_MS + 1_000));
}

#[test]
fn new_host_gets_flows_if_there_is_no_other() {
    let mut router = passthrough_router(&passthrough_view(1));
    router.record_freshness(true, TimePoint(START_MS));
    let mut view = RoutingView::default();
    let replacement = host(7, HostState::Serving);
    put_passthrough(&mut view, common::spec(), vec![replacement.clone()]);
    router.update_view(&view, TimePoint(START_MS));
    let plan = router.route(&view, &syn(1), TimePoint(START_MS)).unwrap();
    assert_eq!(plan.hops, [replacement.packets]);
}

// A host on the walk may be down, so that nobody returns the packet.
#[test]
fn second_walk_starts_a_lookup_if_the_first_ended_in_silence() {
    let view = passthrough_view(HOSTS);
    let mut router = settled_router(&view);
    walk(&mut router, &view, &data(1, 700), START_MS);
    assert!(!router.has_pending_lookups());
    let retransmitted_at = START_MS + RETRANSMISSION_MS;
    walk(&mut router, &view, &data(1, 700), retransmitted_at);
    assert_eq!(
        router.take_queries(TimePoint(retransmitted_at)).len(),
        HOSTS
    );
}

#[test]
fn late_replies_give_no_verdict() {
    let view = passthrough_view(2);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    let late = START_MS + WALK_MS + LOOKUP_TIMEOUT.as_millis() as u64;
    assert_eq!(
        record_not_owned(&mut router, &view, &queried, true, late),
        None
    );
}

#[test]
fn hosts_of_other_services_of_firm_are_queried() {
    let mut view = passthrough_view(3);
    let other = add_service(&mut view);
    let mut router = settled_router(&view);
    let queried = start_lookup(&mut router, &view, START_MS);
    assert!(
        queried.contains(&other),
        "the address may have belonged to the other service"
    );
}

#[test]
fn queries_are_split_to_fit_datagrams() {
    let view = passthrough_view(2);
    let mut router = settled_router(&view);
    for port in 1..=40 {
        walk_in_vain(&mut router, &view, &data(port, 700), START_MS);
    }
    let queries = router.take_queries(TimePoint(START_MS + WALK_MS));
    assert!(
        queries
            .iter()
            .all(|query| query.flows.len() <= MAX_FLOWS_PER_QUERY)
    );
    let flows: usize = queries.iter().map(|query| query.flows.len()).sum();
    assert_eq!(flows, 2 * 40);
}

// Returns the state of a backend server; the argument states whether the side process has
// observed it from its start.
fn backend(observed_from_start: bool) -> BackendInfo {
    BackendInfo {
        accepts_flows: true,
        slots: 3,
        flow_limit: 100,
        cold: false,
        cold_limit: KnownColdLimit::Unlimited,
        observed_from_start,
    }
}

const LAST_HOP: PassthroughArrival = PassthroughArrival {
    more_hops: false,
    complete: true,
};

#[test]
fn not_owned_reply_requires_observation_from_start_or_returned_packet() {
    let now = TimePoint(1_000);
    let age = Duration::from_secs(60);
    let mut flows = PassthroughFlows::new(age, now);
    let info = backend(true);
    assert_eq!(
        flows.lookup_reply(key(1), &info, now),
        OwnershipReply::NotOwned
    );

    let unobserved = backend(false);
    assert_eq!(
        flows.lookup_reply(key(1), &unobserved, now),
        OwnershipReply::Unknown
    );
    let later = now + age;
    assert_eq!(
        flows.lookup_reply(key(1), &unobserved, later),
        OwnershipReply::NotOwned
    );

    // Queried without a reply: the backend server may still be processing the packet.
    let verdict = flows.judge(&data(1, 700), LAST_HOP, &unobserved, now);
    assert_eq!(verdict, PassthroughVerdict::QueryBackend);
    assert_eq!(
        flows.lookup_reply(key(1), &unobserved, now),
        OwnershipReply::Unknown
    );
    flows.record_returned(&data(1, 700));
    assert_eq!(
        flows.lookup_reply(key(1), &unobserved, now),
        OwnershipReply::NotOwned
    );
}

#[test]
fn half_open_flow_is_unknown_and_established_flow_is_owned() {
    let now = TimePoint(1_000);
    let info = backend(true);
    let mut flows = PassthroughFlows::new(Duration::from_secs(60), now);
    flows.judge(&syn(1), LAST_HOP, &info, now);
    flows.record_delivered(&syn(1), &info, now);
    assert_eq!(
        flows.lookup_reply(key(1), &info, now),
        OwnershipReply::Unknown
    );
    let syn_ack = TcpSegment {
        is_syn_ack: true,
        is_syn: false,
        sequence: 699,
        ..data(1, 2)
    };
    flows.record_reply_segment(&syn_ack, now);
    assert_eq!(
        flows.lookup_reply(key(1), &info, now),
        OwnershipReply::Unknown
    );
    flows.judge(&data(1, 700), LAST_HOP, &info, now);
    assert_eq!(
        flows.lookup_reply(key(1), &info, now),
        OwnershipReply::Owned
    );
}

// Runs a router for ten seconds in which `flows_per_second` flows have lost their owner, and
// lets all hosts of the firm deny each flow. Returns the numbers of queries and verdicts.
fn run_loss(hosts: usize, flows_per_second: u64) -> (u64, u64) {
    const SECONDS: u64 = 10;
    let view = passthrough_view(hosts);
    let mut router = settled_router(&view);
    let (mut queries, mut verdicts, mut port) = (0, 0, 0);
    for now in START_MS..START_MS + SECONDS * 1_000 {
        let begun = (now - START_MS) * flows_per_second / 1_000;
        while port < begun {
            port += 1;
            walk_in_vain(&mut router, &view, &data(port as u16, 700), now);
        }
        let now = TimePoint(now + WALK_MS);
        for query in router.take_queries(now) {
            queries += 1;
            for flow in query.flows {
                let reply = OwnershipReply::NotOwned;
                let verdict = router.record_lookup_reply(&view, flow, query.host, reply, true, now);
                verdicts += u64::from(verdict.is_some());
            }
        }
        router.take_finished_lookups(&view, true, now);
    }
    (queries, verdicts)
}

#[test]
fn lookup_queries_stay_within_rate_limit() {
    const SECONDS: u64 = 10;
    let limit = LOOKUP_QUERIES_PER_SECOND * (SECONDS + 1) + 2 * MAX_LOOKUP_HOSTS as u64;
    let (queries, _) = run_loss(HOSTS, 3_000);
    assert!(queries <= limit, "{queries}");
    assert!(
        queries >= LOOKUP_QUERIES_PER_SECOND * SECONDS / 2,
        "{queries}"
    );
}

#[test]
fn flows_that_wait_share_queries_after_a_loss() {
    // 250 flows a second for each of 20 entry VMs, before 55 hosts. With a query for each
    // flow, 180 verdicts would be reached in ten seconds.
    let (_, verdicts) = run_loss(55, 250);
    assert!(verdicts >= 2_450, "{verdicts}");
}

#[test]
fn lookup_that_waits_too_long_is_reported() {
    const LARGE_FIRM_HOSTS: usize = 250;
    let view = passthrough_view(LARGE_FIRM_HOSTS);
    let mut router = settled_router(&view);
    // Twice as many as the first queries can name.
    let flows = 4 * MAX_FLOWS_PER_QUERY as u16;
    for port in 1..=flows {
        walk_in_vain(&mut router, &view, &data(port, 700), START_MS);
    }
    let now = TimePoint(START_MS + WALK_MS);
    let queries = router.take_queries(now);
    assert_eq!(queries.len(), 2 * LARGE_FIRM_HOSTS);
    let later = now + Duration::from_secs(1);
    let finished = router.take_finished_lookups(&view, true, later);
    let limited = finished
        .iter()
        .filter(|(_, verdict)| *verdict == LookupVerdict::NotStarted);
    assert_eq!(limited.count(), usize::from(flows) / 2);
}

// Runs lookups of different flows one after another at one router.
struct RepeatedLookup {
    view: RoutingView,
    router: PassthroughRouter,
    step: u64,
}

impl RepeatedLookup {
    fn new() -> Self {
        let view = passthrough_view(HOSTS);
        let router = settled_router(&view);
        Self {
            view,
            router,
            step: 0,
        }
    }

    // Starts a lookup of another flow. The first `silent_hosts` hosts do not reply, the
    // others reply `NotOwned`.
    fn start_lookup(&mut self, silent_hosts: usize) -> (TcpSegment, TimePoint) {
        let at = START_MS + self.step * 500;
        let packet = data(100 + self.step as u16, 700);
        self.step += 1;
        walk_in_vain(&mut self.router, &self.view, &packet, at);
        let queried_at = TimePoint(at + WALK_MS);
        for query in self.router.take_queries(queried_at) {
            if query.host >= host(silent_hosts, HostState::Serving).packets {
                let verdict =
                    self.record_reply(packet, query.host, OwnershipReply::NotOwned, queried_at);
                assert!(silent_hosts == 0 || verdict.is_none());
            }
        }
        (packet, queried_at)
    }

    fn record_reply(
        &mut self,
        packet: TcpSegment,
        host: SocketAddrV4,
        reply: OwnershipReply,
        now: TimePoint,
    ) -> Option<LookupVerdict> {
        self.router.record_activity(host);
        let (view, key) = (&self.view, packet.key);
        self.router
            .record_lookup_reply(view, key, host, reply, true, now)
    }

    // Returns the verdict after the timeout of the lookup in progress.
    fn verdict(&mut self, started_at: TimePoint) -> LookupVerdict {
        let timed_out_at = started_at + LOOKUP_TIMEOUT;
        let finished = self
            .router
            .take_finished_lookups(&self.view, true, timed_out_at);
        assert_eq!(finished.len(), 1);
        finished[0].1.clone()
    }

    // Repeats lookups every 500 ms and returns the verdict on the last one.
    fn repeat_lookups(&mut self, silent_hosts: usize, seconds: u64) -> LookupVerdict {
        let mut last = None;
        for _ in 0..seconds * 2 {
            let (_, started_at) = self.start_lookup(silent_hosts);
            last = Some(self.verdict(started_at));
        }
        last.unwrap()
    }
}

#[test]
fn reply_of_unreachable_host_is_not_required() {
    let mut lookups = RepeatedLookup::new();
    let early = lookups.repeat_lookups(1, 1);
    assert_eq!(early.incomplete().map(|lookup| lookup.silent), Some(1));
    let late = lookups.repeat_lookups(1, 4);
    assert!(matches!(late, LookupVerdict::NoOwner(_)), "{late:?}");
}

#[test]
fn lookup_of_isolated_entry_is_incomplete() {
    let verdict = RepeatedLookup::new().repeat_lookups(HOSTS / 2 + 1, 5);
    assert!(
        matches!(verdict, LookupVerdict::Incomplete(_)),
        "{verdict:?}"
    );
}

#[test]
fn reply_of_recovered_host_is_accepted_and_required_again() {
    let mut lookups = RepeatedLookup::new();
    lookups.repeat_lookups(1, 5);
    let recovered = host(0, HostState::Serving).packets;
    let (packet, now) = lookups.start_lookup(1);
    let later = now + LOOKUP_TIMEOUT / 2;
    let verdict = lookups.record_reply(packet, recovered, OwnershipReply::Owned, later);
    assert_eq!(verdict, Some(LookupVerdict::Found(recovered)));
    // From now on its reply is required again.
    let (_, started_at) = lookups.start_lookup(1);
    let verdict = lookups.verdict(started_at);
    assert!(
        matches!(verdict, LookupVerdict::Incomplete(_)),
        "{verdict:?}"
    );
}

// Guards against denying the ownership of a live flow. The side process detects a restart
// of its backend server with a delay, when the new epoch may already have flows.
#[test]
fn flow_opened_before_restart_was_detected_is_not_denied() {
    let now = TimePoint(1_000);
    let info = backend(true);
    let mut flows = PassthroughFlows::new(Duration::from_secs(60), now);
    for port in [1, 2] {
        flows.judge(&syn(port), LAST_HOP, &info, now);
        flows.record_delivered(&syn(port), &info, now);
        let syn_ack = TcpSegment {
            is_syn_ack: true,
            is_syn: false,
            sequence: 699,
            ..data(port, 2)
        };
        flows.record_reply_segment(&syn_ack, now);
        flows.judge(&data(port, 700), LAST_HOP, &info, now);
    }
    assert_eq!(flows.mark_all_unverified(), 2);
    assert_eq!(
        flows.lookup_reply(key(1), &info, now),
        OwnershipReply::Unknown
    );
    let later = now + Duration::from_secs(11);
    flows.sweep(Duration::from_secs(600), later);

    // A flow of the new epoch: the backend server is queried and sends a packet of it.
    let verdict = flows.judge(&data(1, 700), LAST_HOP, &info, later);
    assert_eq!(verdict, PassthroughVerdict::QueryBackend);
    flows.record_reply_segment(&data(1, 710), later);
    assert_eq!(
        flows.lookup_reply(key(1), &info, later),
        OwnershipReply::Owned
    );

    // A flow of the earlier epoch: the backend server is queried once and returns the packet.
    let verdict = flows.judge(&data(2, 700), LAST_HOP, &info, later);
    assert_eq!(verdict, PassthroughVerdict::QueryBackend);
    let verdict = flows.judge(&data(2, 700), LAST_HOP, &info, later);
    assert_eq!(verdict, PassthroughVerdict::NoNextHop);
    flows.record_returned(&data(2, 700));
    assert_eq!(
        flows.lookup_reply(key(2), &info, later),
        OwnershipReply::NotOwned
    );
}

// Looks these flows up at once among hosts of which the first does not reply.
fn results_with_silent_host(
    lookups: &mut OwnerLookups,
    flows: std::ops::Range<u16>,
    at: TimePoint,
) -> Vec<LookupResult> {
    let hosts = (0..HOSTS).map(|number| host(number, HostState::Serving).packets);
    let hosts: Arc<[SocketAddrV4]> = hosts.collect();
    for flow in flows {
        lookups.begin(&data(flow, 700), Arc::clone(&hosts), at);
    }
    for query in lookups.take_queries(at) {
        for flow in query.flows.into_iter().filter(|_| query.host != hosts[0]) {
            lookups.record_reply(flow, query.host, OwnershipReply::NotOwned, at);
        }
    }
    let finished = lookups.take_finished(at + LOOKUP_TIMEOUT);
    finished.into_iter().map(|(_, result)| result).collect()
}

#[test]
fn host_is_reachable_after_the_loss_of_two_queries_that_name_many_flows() {
    let mut lookups = OwnerLookups::default();
    let flows = MAX_FLOWS_PER_QUERY as u16;
    let at = TimePoint(START_MS);
    results_with_silent_host(&mut lookups, 0..flows, at);
    let at = at + UNREACHABLE_AFTER;
    let results = results_with_silent_host(&mut lookups, 100..100 + flows, at);
    assert_eq!(results.len(), usize::from(flows));
    let is_incomplete = |result: &LookupResult| matches!(result, LookupResult::Incomplete(_));
    assert!(results.iter().all(is_incomplete), "{results:?}");
}
