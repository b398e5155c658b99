//! Flows of a service that has no route any more: a configuration that moves the route leaves open
//! flows where they are, and every entry VM has to know the hosts that may own them.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;

use chestnutlb_core::known_hosts::{REGISTRATION_WAIT, VANISHED_HOST_MEMORY};
use chestnutlb_core::{
    ControlEvent, DocumentId, DocumentItem, DocumentKind, HostRecord, HostState, LookupVerdict,
    ObjectVersion, OwnershipReply, ServiceSpec, StoreEra, StoreRevision,
};
use common::entry_run::{DATACENTER, EntryRun, LISTED_HOSTS, STEP_MS, listed_hosts, registration};
use common::{data, host, key, spec};

const MOVED_TO: &str = "dalbit/patterns";

// Returns the service that the only route of the service of `spec` has been moved to.
fn other_spec() -> ServiceSpec {
    ServiceSpec {
        id: MOVED_TO.parse().unwrap(),
        ..spec()
    }
}

fn other_host(number: usize) -> HostRecord {
    HostRecord {
        service: MOVED_TO.parse().unwrap(),
        ..host(number, HostState::Serving)
    }
}

// Returns the hosts of both services.
fn all_hosts() -> Vec<HostRecord> {
    let mut hosts = listed_hosts();
    hosts.extend([other_host(20), other_host(21)]);
    hosts
}

fn addresses(hosts: &[HostRecord]) -> Vec<SocketAddrV4> {
    let mut addresses: Vec<_> = hosts.iter().map(|record| record.packets).collect();
    addresses.sort_unstable();
    addresses
}

// Returns an entry VM that started after the route was moved, with a view that has been fresh for
// longer than hosts take to register.
fn started_after_the_change() -> EntryRun {
    let mut run = EntryRun::start_without_documents();
    run.load_grants();
    run.load_manifest(vec![other_spec()]);
    run.load_members(2);
    run.load_roster(&all_hosts());
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64 + STEP_MS, true);
    run
}

// Guards against resets of open flows by entry VMs that start after a configuration moved the only
// route of their service: denials by the hosts of the other service were taken for a proof.
#[test]
fn entry_that_starts_after_a_route_moved_asks_the_hosts_of_both_services() {
    let mut run = started_after_the_change();
    assert_eq!(run.queried_hosts(), addresses(&all_hosts()));
}

#[test]
fn denials_by_the_hosts_of_the_service_with_the_route_prove_nothing() {
    let mut run = started_after_the_change();
    run.queried_hosts();
    let denials = addresses(&all_hosts()[LISTED_HOSTS..]);
    assert_eq!(run.verdict_of_denials(denials), None);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn packets_go_to_an_owner_of_a_service_without_a_route() {
    let mut run = started_after_the_change();
    run.queried_hosts();
    let view = Arc::clone(run.control.view());
    let (flow, owner) = (key(run.flows), listed_hosts()[2].packets);
    let reply = OwnershipReply::Owned;
    let verdict = run
        .router
        .record_lookup_reply(&view, flow, owner, reply, true, run.now);
    assert_eq!(verdict, Some(LookupVerdict::Found(owner)));
    let plan = run
        .router
        .route(&view, &data(run.flows, 700), run.now)
        .unwrap();
    assert_eq!((plan.hops, plan.tag), (vec![owner], spec().id.tag()));
}

#[test]
fn hosts_without_a_route_that_can_not_tell_are_visited() {
    let mut run = started_after_the_change();
    let hosts = run.queried_hosts();
    let view = Arc::clone(run.control.view());
    let (flow, now) = (key(run.flows), run.now);
    let unsure = listed_hosts()[1].packets;
    let verdicts = hosts.into_iter().filter_map(|host| {
        let reply = match host == unsure {
            true => OwnershipReply::Unknown,
            false => OwnershipReply::NotOwned,
        };
        run.router
            .record_lookup_reply(&view, flow, host, reply, true, now)
    });
    let Some(LookupVerdict::Undetermined(plans)) = verdicts.last() else {
        panic!("no walk of the host that can't tell");
    };
    let walks: Vec<_> = plans
        .into_iter()
        .map(|plan| (plan.hops, plan.tag))
        .collect();
    assert_eq!(walks, [(vec![unsure], spec().id.tag())]);
}

#[test]
fn hosts_of_a_service_that_a_configuration_removed_are_asked_before_and_after_the_rosters_come() {
    for rosters_first in [false, true] {
        let mut run = EntryRun::start_without_documents();
        run.load_grants();
        if rosters_first {
            run.load_roster(&all_hosts());
        }
        run.load_manifest(vec![other_spec()]);
        run.load_members(2);
        run.load_roster(&all_hosts());
        run.advance_view(REGISTRATION_WAIT.as_millis() as u64 + STEP_MS, true);
        assert_eq!(run.queried_hosts(), addresses(&all_hosts()));
    }
}

#[test]
fn hosts_of_a_service_whose_address_is_not_granted_any_more_are_asked() {
    let mut run = EntryRun::start_without_documents();
    run.load_grants();
    let mut ungranted = spec();
    ungranted.address = "10.30.0.1:7000".parse().unwrap();
    run.load_manifest(vec![ungranted, other_spec()]);
    run.load_members(2);
    run.load_roster(&all_hosts());
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64 + STEP_MS, true);
    assert_eq!(run.queried_hosts(), addresses(&all_hosts()));
}

// The same for an entry VM that has run all the time.
#[test]
fn hosts_are_asked_for_as_long_as_they_are_listed_after_a_route_moved() {
    let mut run = EntryRun::start();
    run.load_roster(&all_hosts());
    run.load_manifest(vec![other_spec()]);
    run.advance_view(VANISHED_HOST_MEMORY.as_millis() as u64 + 10_000, true);
    run.load_roster(&all_hosts());
    run.advance_view(1_000, true);
    assert_eq!(run.queried_hosts(), addresses(&all_hosts()));
}

#[test]
fn unlisted_host_without_a_route_that_registers_here_is_asked() {
    let mut run = started_after_the_change();
    let unlisted = host(9, HostState::Serving);
    run.register(unlisted.clone());
    assert!(run.queried_hosts().contains(&unlisted.packets));
    run.advance(5_000);
    assert!(run.queried_hosts().contains(&unlisted.packets));
}

#[test]
fn host_without_a_route_is_not_asked_after_its_announced_departure() {
    let mut run = started_after_the_change();
    let mut hosts = all_hosts();
    hosts[0].state = HostState::Leaving;
    run.load_roster(&hosts);
    assert!(run.queried_hosts().contains(&hosts[0].packets));
    run.load_roster(&hosts[1..]);
    assert!(!run.queried_hosts().contains(&hosts[0].packets));
    // The last ones leave at the same time.
    for host in &mut hosts[..LISTED_HOSTS] {
        host.state = HostState::Leaving;
    }
    run.load_roster(&hosts[1..]);
    run.load_roster(&hosts[LISTED_HOSTS..]);
    assert_eq!(run.queried_hosts(), addresses(&hosts[LISTED_HOSTS..]));
}

#[test]
fn suspected_host_without_a_route_stays_a_possible_owner() {
    let mut run = started_after_the_change();
    let mut hosts = all_hosts();
    hosts[0].state = HostState::Suspect;
    run.load_roster(&hosts);
    assert!(run.queried_hosts().contains(&hosts[0].packets));
    let denials = addresses(&hosts[1..]);
    assert_eq!(run.verdict_of_denials(denials), None);
}

#[test]
fn two_services_that_swap_their_routes_keep_their_owners() {
    let mut patterns = other_spec();
    patterns.address = "10.20.0.2:7000".parse().unwrap();
    let (mut moved, mut moved_patterns) = (spec(), patterns);
    std::mem::swap(&mut moved.address, &mut moved_patterns.address);
    let mut run = EntryRun::start();
    run.load_roster(&all_hosts());
    let owner = listed_hosts()[0].packets;
    run.router.record_owner(run.control.view(), key(1), owner);
    run.load_manifest(vec![moved, moved_patterns]);
    let view = Arc::clone(run.control.view());
    let plan = run.router.route(&view, &data(1, 700), run.now).unwrap();
    assert_eq!((plan.hops, plan.tag), (vec![owner], spec().id.tag()));
}

// A service whose name returns with other hosts: those of before may still own flows.
#[test]
fn earlier_hosts_are_asked_after_the_name_of_a_service_returned_with_others() {
    let mut run = EntryRun::start();
    run.load_manifest(vec![]);
    run.load_roster(&[host(30, HostState::Serving)]);
    run.load_manifest(vec![spec()]);
    let asked = run.queried_hosts();
    assert!(asked.contains(&host(30, HostState::Serving).packets));
    assert!(
        listed_hosts()
            .iter()
            .all(|host| asked.contains(&host.packets))
    );
}

// The store is away: a process that starts has its documents from peers.
#[test]
fn entry_that_has_its_documents_from_peers_only_resets_no_flow() {
    let mut peer = started_after_the_change();
    let patches: Vec<_> = peer
        .control
        .documents()
        .iter()
        .filter_map(|(id, document)| document.patch(id, ObjectVersion(0)))
        .collect();
    let mut run = EntryRun::start_without_documents();
    run.handle(ControlEvent::Pulled(patches));
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64 + STEP_MS, false);
    assert_eq!(run.queried_hosts(), addresses(&all_hosts()));
    let view = Arc::clone(run.control.view());
    let (flow, now) = (key(run.flows), run.now);
    let verdicts = addresses(&all_hosts()).into_iter().filter_map(|host| {
        let reply = OwnershipReply::NotOwned;
        run.router
            .record_lookup_reply(&view, flow, host, reply, false, now)
    });
    assert_eq!(verdicts.last(), Some(LookupVerdict::Unconfirmed));
    assert!(matches!(peer.verdict(), Some(LookupVerdict::NoOwner(_))));
}

// The store is restored from a copy whose roster lacks the hosts without a route.
#[test]
fn hosts_that_a_restored_roster_lacks_are_asked_while_they_register() {
    let mut run = started_after_the_change();
    for host in listed_hosts() {
        run.register(host);
    }
    let patterns = all_hosts()
        .split_off(LISTED_HOSTS)
        .into_iter()
        .map(Arc::new);
    run.handle(ControlEvent::Loaded {
        id: DocumentId::new(DocumentKind::Roster, DATACENTER),
        version: ObjectVersion::new(StoreEra(1), StoreRevision(1)).unwrap(),
        items: patterns.map(DocumentItem::Host).collect(),
    });
    run.advance(STEP_MS);
    assert_eq!(run.queried_hosts(), addresses(&all_hosts()));
}

// No host of another firm is asked for flows of this one, with or without a route.
#[test]
fn hosts_of_another_firm_without_a_route_are_not_asked() {
    let mut run = started_after_the_change();
    let foreign = HostRecord {
        service: "hodu/lager".parse().unwrap(),
        ..host(40, HostState::Serving)
    };
    run.handle(registration(foreign.clone()));
    run.advance(STEP_MS);
    assert!(!run.queried_hosts().contains(&foreign.packets));
}

#[test]
fn walk_without_any_host_of_the_service_with_the_route_looks_the_owner_up() {
    let mut run = EntryRun::start_without_documents();
    run.load_grants();
    run.load_manifest(vec![other_spec()]);
    run.load_members(2);
    run.load_roster(&listed_hosts());
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64 + STEP_MS, true);
    let view = Arc::clone(run.control.view());
    let packet = data(1, 700);
    assert!(run.router.route(&view, &packet, run.now).is_err());
    run.advance_view(200, true);
    assert!(run.router.route(&view, &packet, run.now).is_err());
    let queries = run.router.take_queries(run.now);
    let asked: Vec<_> = queries.into_iter().map(|query| query.host).collect();
    assert_eq!(asked, addresses(&listed_hosts()));
}

#[test]
fn services_without_a_route_get_no_new_flows() {
    let run = started_after_the_change();
    let id = spec().id;
    let view = run.control.view();
    assert!(view.service(&id).is_none());
    assert_eq!(view.unrouted_services(), 1);
    let service = view.service_at(spec().address).unwrap();
    assert_eq!(service.id(), &other_spec().id);
    let hosts = view.hosts_of(&id).unwrap().hosts();
    assert_eq!(hosts.len(), LISTED_HOSTS);
}

// The state of a host without a route follows its roster, drains and suspicion too.
#[test]
fn drain_of_a_data_centre_is_known_of_hosts_without_a_route() {
    let mut run = started_after_the_change();
    let drained = DocumentItem::Drain("honam-1".parse().unwrap());
    run.load(DocumentKind::Drain, "honam-1", vec![drained]);
    let view = run.control.view();
    let hosts = view.hosts_of(&spec().id).unwrap().hosts();
    assert!(
        hosts
            .iter()
            .all(|host| host.drained && !host.accepts_flows())
    );
}

// One step in the life of an entry VM: a manifest with a route to one of two services, or to none
// of them, or a roster with some hosts of both.
fn apply_step(run: &mut EntryRun, step: u8, listed: &mut Vec<HostRecord>) {
    match step % 4 {
        0 => run.load_manifest(vec![spec()]),
        1 => run.load_manifest(vec![other_spec()]),
        2 => run.load_manifest(Vec::new()),
        _ => {
            let hosts = all_hosts().into_iter().enumerate();
            let is_listed = |number: &usize| step >> 2 & 1 << number != 0;
            *listed = hosts
                .filter(|(number, _)| is_listed(number))
                .map(|(_, record)| record)
                .collect();
            run.load_roster(listed);
        }
    }
}

// Whatever the order of configurations and rosters, and whenever the process started: every host
// that the rosters list is asked before a flow counts as ownerless.
#[test]
fn every_listed_host_is_asked_after_any_series_of_configurations_and_rosters() {
    fn asks_all(steps: Vec<u8>) -> bool {
        let mut run = EntryRun::start_without_documents();
        run.load_grants();
        run.load_members(2);
        let mut listed = Vec::new();
        for step in steps {
            apply_step(&mut run, step, &mut listed);
        }
        run.load_manifest(vec![other_spec()]);
        run.advance_view(REGISTRATION_WAIT.as_millis() as u64 + STEP_MS, true);
        let is_routed = |record: &HostRecord| record.service == other_spec().id;
        if !listed.iter().any(is_routed) {
            return true;
        }
        let asked = run.queried_hosts();
        listed.iter().all(|host| asked.contains(&host.packets))
    }
    common::quickcheck().quickcheck(asks_all as fn(Vec<u8>) -> bool);
}
