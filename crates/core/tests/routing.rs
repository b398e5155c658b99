//! Placement of flows and plans of packets, which all entry VMs compute identically.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use chestnutlb_core::placement::{CHAIN_HOPS, HostChain, HostRanking, HostSeed, RankedHost, score};
use chestnutlb_core::view::{PlacementLimits, ServiceView};
use chestnutlb_core::{
    BucketIndex, EntryRouter, HostIndex, HostRecord, HostState, HostWeight, ObjectVersion,
    PlanSource, RouteDecision, RouteDrop, RoutingView, ServiceSpec, TimePoint,
};
use common::{data, host, key, quickcheck, syn};

fn spec() -> Arc<ServiceSpec> {
    Arc::new(common::spec())
}

fn view(hosts: Vec<HostRecord>) -> Arc<RoutingView> {
    let hosts: Vec<_> = hosts.into_iter().map(Arc::new).collect();
    let version = ObjectVersion(1);
    let mut view = RoutingView::default();
    view.put(ServiceView::build(
        spec(),
        version,
        &hosts,
        &PlacementLimits::default(),
    ));
    Arc::new(view)
}

fn router(hosts: Vec<HostRecord>) -> EntryRouter {
    let mut router = EntryRouter::new(16);
    router.replace_view(view(hosts), TimePoint(0));
    router
}

// Returns the names of a plan's hosts, or the reason of a drop.
fn names(router: &EntryRouter, decision: RouteDecision) -> Vec<String> {
    let service = router.view().service_at(key(1).service).unwrap();
    match decision {
        RouteDecision::Forward(plan) => plan
            .hops()
            .iter()
            .map(|hop| service.host(*hop).record.name.to_string())
            .collect(),
        RouteDecision::Drop(cause) => vec![cause.as_str().to_owned()],
    }
}

fn ranked(count: usize, weight: impl Fn(usize) -> u16) -> Vec<RankedHost> {
    (0..count)
        .map(|number| RankedHost {
            host: HostIndex(number as u32),
            seed: HostSeed::of(&format!("host-{number}")),
            weight: HostWeight::new(weight(number)).unwrap(),
        })
        .collect()
}

fn rank(bucket: BucketIndex, hosts: &[RankedHost]) -> HostChain {
    HostRanking::new(hosts.to_vec()).chain(bucket)
}

#[test]
fn new_host_moves_others_down_by_at_most_one_rank() {
    fn property(count: u8, bucket: u16) -> bool {
        let hosts = ranked(usize::from(count) + 2, |_| 100);
        let bucket = BucketIndex(bucket % 4096);
        let before = rank(bucket, &hosts[..hosts.len() - 1]);
        let after = rank(bucket, &hosts);
        before.as_slice().iter().enumerate().all(|(old, host)| {
            match after.as_slice().iter().position(|h| h == host) {
                Some(new) => new == old || new == old + 1,
                None => old == CHAIN_HOPS - 1,
            }
        })
    }
    quickcheck().quickcheck(property as fn(u8, u16) -> bool);
}

// Returns the hosts by the definition of the chain: those of the lowest scores.
fn hosts_by_score(bucket: BucketIndex, hosts: &[RankedHost]) -> Vec<HostIndex> {
    let mut scored: Vec<_> = hosts
        .iter()
        .map(|ranked| (score(bucket, ranked.seed, ranked.weight), ranked.host))
        .collect();
    scored.sort_by(|(score, _), (other, _)| score.total_cmp(other));
    let hosts = scored.into_iter().map(|(_, host)| host);
    hosts.take(CHAIN_HOPS).collect()
}

#[test]
fn chain_has_hosts_of_lowest_scores() {
    let weights: [fn(usize) -> u16; 3] = [
        |_| 100,
        |number| 50 + number as u16,
        |number| if number % 7 == 0 { 10_000 } else { 1 },
    ];
    for weight in weights {
        for count in [1, 8, 9, 40, 300] {
            let hosts = ranked(count, weight);
            let ranking = HostRanking::new(hosts.clone());
            for bucket in (0..4096).map(BucketIndex) {
                let chain = ranking.chain(bucket);
                assert_eq!(chain.as_slice(), hosts_by_score(bucket, &hosts));
            }
        }
    }
}

#[test]
fn buckets_are_shared_by_weight() {
    let hosts = ranked(8, |number| if number < 4 { 100 } else { 400 });
    let mut bucket_counts: HashMap<HostIndex, usize> = HashMap::new();
    for bucket in (0..4096).map(BucketIndex) {
        let first = rank(bucket, &hosts).as_slice()[0];
        *bucket_counts.entry(first).or_default() += 1;
    }
    let mut shares: Vec<_> = bucket_counts.into_iter().collect();
    shares.sort_unstable();
    insta::assert_debug_snapshot!(shares);
}

#[test]
fn packet_without_service_or_hosts_is_dropped() {
    let mut router = router(Vec::new());
    assert_eq!(
        router.route(&syn(1), TimePoint(0)),
        RouteDecision::Drop(RouteDrop::NoHost)
    );
    let mut other = syn(1);
    other.key.service = "10.30.0.1:7000".parse().unwrap();
    assert_eq!(
        router.route(&other, TimePoint(0)),
        RouteDecision::Drop(RouteDrop::NoService)
    );
}

#[test]
fn leaving_hosts_get_no_syn_and_suspects_are_walked_last() {
    let mut hosts: Vec<_> = (0..6).map(|n| host(n, HostState::Serving)).collect();
    hosts[1].state = HostState::Leaving;
    hosts[2].state = HostState::Suspect;
    let mut router = router(hosts);
    for port in 1..200 {
        let syn_hops = router.route(&syn(port), TimePoint(0));
        let syn_hops = names(&router, syn_hops);
        assert_eq!(syn_hops.len(), 4);
        assert!(!syn_hops.contains(&"host-1".to_owned()));
        let walk = router.route(&data(port, 1), TimePoint(0));
        let walk = names(&router, walk);
        assert_eq!(walk.len(), 6);
        assert_eq!(walk[5], "host-2");
    }
}

#[test]
fn suspects_beyond_eject_limit_still_get_syns() {
    let hosts = (0..4)
        .map(|n| {
            let state = if n < 3 {
                HostState::Suspect
            } else {
                HostState::Serving
            };
            host(n, state)
        })
        .collect();
    let mut router = router(hosts);
    let syn_hops = router.route(&syn(1), TimePoint(0));
    assert_eq!(names(&router, syn_hops).len(), 4);
}

#[test]
fn hinted_host_is_first_hop_until_it_restarts() {
    let hosts: Vec<_> = (0..5).map(|n| host(n, HostState::Serving)).collect();
    let mut router = router(hosts.clone());
    let last_hop = |router: &mut EntryRouter| {
        let walk = router.route(&data(1, 1), TimePoint(0));
        names(router, walk)[4].clone()
    };
    let owner = last_hop(&mut router);
    let record = hosts.iter().find(|h| h.name.as_str() == owner).unwrap();
    router.record_owner(key(1), record.packets, record.incarnation);
    let RouteDecision::Forward(plan) = router.route(&data(1, 1), TimePoint(0)) else {
        panic!("packet was dropped");
    };
    assert_eq!(plan.source, PlanSource::Hint);
    assert!(plan.complete);
    assert_eq!(names(&router, RouteDecision::Forward(plan))[0], owner);

    let mut restarted = hosts;
    for host in &mut restarted {
        host.incarnation.0 += 100;
    }
    router.replace_view(view(restarted), TimePoint(0));
    let RouteDecision::Forward(plan) = router.route(&data(1, 1), TimePoint(0)) else {
        panic!("packet was dropped");
    };
    assert_eq!(plan.source, PlanSource::Chain);
}

#[test]
fn host_outside_ranking_is_walked_if_it_holds_flows_of_bucket() {
    let mut hosts: Vec<_> = (0..40).map(|n| host(n, HostState::Serving)).collect();
    let mut router_without_held_buckets = router(hosts.clone());
    let walk = router_without_held_buckets.route(&data(1, 1), TimePoint(0));
    let walk = names(&router_without_held_buckets, walk);
    let outside = hosts
        .iter()
        .position(|host| !walk.contains(&host.name.to_string()))
        .unwrap();
    hosts[outside].held_buckets = vec![key(1).hash().bucket()];
    let name = hosts[outside].name.to_string();
    let mut router = router(hosts);
    let walk = router.route(&data(1, 1), TimePoint(0));
    assert!(names(&router, walk).contains(&name));
}

// Returns the seconds from `from` on at which each flow is probed, by the caller's port. The flow
// from port 3 is used each second.
fn probe_seconds(
    router: &mut EntryRouter,
    hosts: &[HostRecord],
    from: u64,
) -> BTreeMap<u16, Vec<u64>> {
    let time_at = |seconds: u64| TimePoint(seconds * 1000);
    router.replace_view(view(hosts.to_vec()), time_at(from));
    let mut probes: BTreeMap<u16, Vec<u64>> = BTreeMap::new();
    for second in from..from + 70 {
        router.route(&data(3, 700), time_at(second));
        while let Some(probe) = router.next_probe(time_at(second)) {
            let port = probe.key.caller.port();
            assert_eq!(
                (probe.key, probe.sequence),
                (key(port), u32::from(port) * 100 + 399)
            );
            probes.entry(port).or_default().push(second - from);
        }
    }
    probes
}

// Seen in CI beside load: a caller that only listens sent its keep-alive 20 ms before its host was
// declared lost, and was not told before its second keep-alive after that, a minute later.
#[test]
fn flows_are_probed_when_a_host_of_their_service_is_lost_and_they_are_idle() {
    let mut hosts: Vec<_> = (0..3).map(|n| host(n, HostState::Serving)).collect();
    let mut router = router(hosts.clone());
    let time_at = |seconds: u64| TimePoint(seconds * 1000);
    router.route(&data(1, 500), time_at(0));
    router.route(&data(2, 600), time_at(99));
    hosts[0].state = HostState::Suspect;
    assert!(
        probe_seconds(&mut router, &hosts, 20).is_empty(),
        "a suspect host may recover"
    );
    hosts.remove(0);
    let probed = probe_seconds(&mut router, &hosts, 100);
    let expected = [(1, vec![0, 3, 6, 9, 12]), (2, vec![4, 7, 10, 13, 16])];
    assert_eq!(probed, BTreeMap::from(expected));
    hosts[0].state = HostState::Leaving;
    assert!(probe_seconds(&mut router, &hosts, 200).is_empty());
    hosts.remove(0);
    assert!(
        probe_seconds(&mut router, &hosts, 300).is_empty(),
        "a host that has left held no flows"
    );
}
