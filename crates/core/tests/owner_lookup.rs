//! Owner lookups of flows that no host on the walk owned: every host is queried, and
//! the flow may be reset only if every host is certain not to own it.

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
// Time between a caller's packet and its first retransmission.
const RETRANSMISSION_MS: u64 = 200;
// Time at which the hosts of the view have been unchanged for long enough.
const STABLE_MS: u64 = 10_000;

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

// Routes packets of a flow whose owner is not cached until the router starts a lookup.
// Returns the hosts that it queries.
fn start_lookup(router: &mut PassthroughRouter, view: &RoutingView, now: u64) -> Vec<SocketAddrV4> {
    let packet = data(1, 700);
    router.route(view, &packet, TimePoint(now)).unwrap();
    assert!(
        !router.has_pending_lookups(),
        "the first walk starts no lookup"
    );
    let retransmitted_at = TimePoint(now + RETRANSMISSION_MS);
    let plan = router.route(view, &packet, retransmitted_at).unwrap();
    assert_eq!(plan.source, PlanSource::Hint);
    router
        .reroute(view, &packet, plan.hops[0], retransmitted_at)
        .unwrap();
    router
        .take_queries()
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
    let mut router = passthrough_router(&view);
    let queried = start_lookup(&mut router, &view, STABLE_MS);
    assert_eq!(
        queried.len(),
        HOSTS,
        "every host is queried, while a walk visits far fewer"
    );
    let now = TimePoint(STABLE_MS + RETRANSMISSION_MS + 2);
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
    let mut router = passthrough_router(&view);
    let queried = start_lookup(&mut router, &view, STABLE_MS);
    let replied_ms = STABLE_MS + RETRANSMISSION_MS + 2;
    let verdict = record_not_owned(&mut router, &view, &queried, true, replied_ms);
    assert_eq!(verdict, Some(LookupVerdict::NoOwner(data(1, 700))));
}

#[test]
fn unknown_reply_of_one_host_prevents_verdict() {
    let view = passthrough_view(HOSTS);
    let mut router = passthrough_router(&view);
    let queried = start_lookup(&mut router, &view, STABLE_MS);
    let replied_ms = STABLE_MS + RETRANSMISSION_MS + 2;
    assert_eq!(
        record_not_owned(&mut router, &view, &queried[1..], true, replied_ms),
        None
    );
    let unknown = OwnershipReply::Unknown;
    let now = TimePoint(replied_ms);
    let verdict = router.record_lookup_reply(&view, key(1), queried[0], unknown, true, now);
    assert_eq!(verdict, None);
}

#[test]
fn repeated_reply_of_host_counts_once() {
    let view = passthrough_view(2);
    let mut router = passthrough_router(&view);
    let queried = start_lookup(&mut router, &view, STABLE_MS);
    let now = TimePoint(STABLE_MS + RETRANSMISSION_MS + 2);
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
fn missing_owner_is_unconfirmed_with_stale_view_or_recent_host_change() {
    let view = passthrough_view(HOSTS);
    let replied_ms = STABLE_MS + RETRANSMISSION_MS + 2;
    let mut router_with_stale_view = passthrough_router(&view);
    let queried = start_lookup(&mut router_with_stale_view, &view, STABLE_MS);
    let verdict = record_not_owned(
        &mut router_with_stale_view,
        &view,
        &queried,
        false,
        replied_ms,
    );
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));

    let mut router = passthrough_router(&view);
    let grown = passthrough_view(HOSTS + 1);
    router.update_view(&grown, TimePoint(STABLE_MS - 1_000));
    let queried = start_lookup(&mut router, &grown, STABLE_MS);
    let verdict = record_not_owned(&mut router, &grown, &queried, true, replied_ms);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
}

#[test]
fn late_replies_give_no_verdict() {
    let view = passthrough_view(2);
    let mut router = passthrough_router(&view);
    let queried = start_lookup(&mut router, &view, STABLE_MS);
    let late = STABLE_MS + RETRANSMISSION_MS + LOOKUP_TIMEOUT.as_millis() as u64;
    assert_eq!(
        record_not_owned(&mut router, &view, &queried, true, late),
        None
    );
}

#[test]
fn hosts_of_other_services_of_firm_are_queried() {
    let mut view = passthrough_view(3);
    let other = add_service(&mut view);
    let mut router = passthrough_router(&view);
    let queried = start_lookup(&mut router, &view, STABLE_MS);
    assert!(
        queried.contains(&other),
        "the address may have belonged to the other service"
    );
}

#[test]
fn queries_are_split_to_fit_datagrams() {
    let view = passthrough_view(2);
    let mut router = passthrough_router(&view);
    for port in 1..=40 {
        let packet = data(port, 700);
        for at in [STABLE_MS, STABLE_MS + RETRANSMISSION_MS] {
            let now = TimePoint(at);
            let plan = router.route(&view, &packet, now).unwrap();
            if plan.source == PlanSource::Hint {
                router.reroute(&view, &packet, plan.hops[0], now).unwrap();
            }
        }
    }
    let queries = router.take_queries();
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

#[test]
fn lookup_queries_stay_within_rate_limit() {
    let view = passthrough_view(HOSTS);
    let mut router = passthrough_router(&view);
    let mut query_count = 0;
    let mut port = 0;
    const SECONDS: u64 = 10;
    for now in (STABLE_MS..STABLE_MS + SECONDS * 1_000).step_by(10) {
        port += 1;
        let packet = data(port, 700);
        for at in [now, now + RETRANSMISSION_MS] {
            let at = TimePoint(at);
            let plan = router.route(&view, &packet, at).unwrap();
            if plan.source == PlanSource::Hint {
                router.reroute(&view, &packet, plan.hops[0], at).unwrap();
            }
        }
        query_count += router.take_queries().len();
    }
    let limit = LOOKUP_QUERIES_PER_SECOND * (SECONDS + 1) + 2 * MAX_LOOKUP_HOSTS as u64;
    assert!(query_count as u64 <= limit, "{query_count}");
    assert!(
        query_count as u64 >= LOOKUP_QUERIES_PER_SECOND * SECONDS / 2,
        "{query_count}"
    );
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
        let router = passthrough_router(&view);
        Self {
            view,
            router,
            step: 0,
        }
    }

    // Starts a lookup of another flow. The first `silent_hosts` hosts do not reply, the
    // others reply `NotOwned`.
    fn start_lookup(&mut self, silent_hosts: usize) -> (TcpSegment, TimePoint) {
        let at = STABLE_MS + self.step * 500;
        let packet = data(100 + self.step as u16, 700);
        self.step += 1;
        let retransmitted_at = TimePoint(at + RETRANSMISSION_MS);
        self.router
            .route(&self.view, &packet, TimePoint(at))
            .unwrap();
        let hint = self
            .router
            .route(&self.view, &packet, retransmitted_at)
            .unwrap()
            .hops[0];
        self.router
            .reroute(&self.view, &packet, hint, retransmitted_at)
            .unwrap();
        for query in self.router.take_queries() {
            if query.host >= host(silent_hosts, HostState::Serving).packets {
                let verdict = self.record_reply(
                    packet,
                    query.host,
                    OwnershipReply::NotOwned,
                    retransmitted_at,
                );
                assert!(silent_hosts == 0 || verdict.is_none());
            }
        }
        (packet, retransmitted_at)
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
        finished[0].1
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
