//! Hosts that may own a flow though no roster lists them: an entry VM that knows of such a host
//! asks it before it decides that a flow has no owner.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::control::MAX_LISTED_FLOW_AGE;
use chestnutlb_core::events::ListScope;
use chestnutlb_core::known_hosts::{
    MAX_VANISHED_HOSTS, NEW_HOST_DELAY, REGISTRATION_WAIT, RELISTING_WAIT, VANISHED_HOST_MEMORY,
};
use chestnutlb_core::members::FULL_MESH_FLEET;
use chestnutlb_core::view::RosterCoverage;
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl,
    FeedConfirmation, FeedIndex, Heartbeat, HostRecord, HostState, LookupVerdict, ObjectVersion,
    RouteDrop, RoutingView, StoreEra, StoreRevision, TimePoint, UnreadableItems,
};
use common::entry_run::{
    DATACENTER, EntryRun, LISTED_HOSTS, STEP_MS, listed_hosts, queried_hosts, registration,
    unlisted_host,
};
use common::{data, entry, host, key, syn};

// Runs of a test whose result may depend on the order of a hash map.
const ORDERS: usize = 40;

// Returns a view with a record of another service that has the address of host 0.
fn view_with_shared_address(service: &str) -> RoutingView {
    let mut view = common::passthrough_view(LISTED_HOSTS);
    let mut spec = common::spec();
    spec.id = service.parse().unwrap();
    spec.address = "10.30.0.2:7000".parse().unwrap();
    let mut record = host(77, HostState::Suspect);
    record.service = spec.id.clone();
    record.packets = listed_hosts()[0].packets;
    common::put_passthrough(&mut view, spec, vec![record]);
    view
}

fn numbered_hosts(count: usize) -> Vec<HostRecord> {
    (0..count)
        .map(|number| host(number, HostState::Serving))
        .collect()
}

// Returns hosts of which the first ones have other names and addresses than numbered_hosts.
fn replaced_hosts(count: usize, replaced: usize) -> Vec<HostRecord> {
    let mut hosts = numbered_hosts(count);
    for (number, record) in hosts.iter_mut().take(replaced).enumerate() {
        record.name = format!("successor-{number}").parse().unwrap();
        record.packets.set_ip([10, 5, 0, number as u8].into());
    }
    hosts
}

#[test]
fn registered_host_is_asked_after_a_roster_version_that_does_not_list_it() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    let mut hosts = listed_hosts();
    hosts[0].state = HostState::Leaving;
    run.load_roster(&hosts);
    assert!(run.queried_hosts().contains(&unlisted_host().packets));
}

#[test]
fn host_that_no_longer_registers_here_is_asked() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    run.advance(5_000);
    assert!(run.queried_hosts().contains(&unlisted_host().packets));
}

#[test]
fn host_that_its_trackers_removed_by_mistake_is_asked_for_a_while() {
    let mut run = EntryRun::start();
    run.load_roster(&listed_hosts()[1..]);
    let removed = listed_hosts()[0].packets;
    assert!(run.queried_hosts().contains(&removed));
    run.advance(VANISHED_HOST_MEMORY.as_millis() as u64);
    run.load_roster(&listed_hosts()[1..]);
    assert!(!run.queried_hosts().contains(&removed));
}

#[test]
fn host_that_announced_its_departure_is_not_asked() {
    let mut run = EntryRun::start();
    let mut hosts = listed_hosts();
    hosts[0].state = HostState::Leaving;
    run.load_roster(&hosts);
    run.load_roster(&hosts[1..]);
    assert!(!run.queried_hosts().contains(&hosts[0].packets));
    run.register(host(1, HostState::Gone));
    run.load_roster(&hosts[2..]);
    assert!(!run.queried_hosts().contains(&hosts[1].packets));
}

#[test]
fn unlisted_host_gets_no_flows_unless_it_registers_with_all_entries() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    run.advance(NEW_HOST_DELAY.as_millis() as u64);
    assert!(run.is_offered(unlisted_host().packets));
    run.load_members(FULL_MESH_FLEET + 1);
    run.register(unlisted_host());
    assert!(!run.is_offered(unlisted_host().packets));
}

#[test]
fn flow_is_not_declared_ownerless_before_all_hosts_could_register() {
    let mut run = EntryRun::start();
    let wait = REGISTRATION_WAIT.as_millis() as u64;
    run.advance_view(wait, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(50, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn flow_is_not_declared_ownerless_soon_after_a_time_without_a_fresh_view() {
    let mut run = EntryRun::start();
    run.advance_view(10_000, true);
    run.advance_view(1_000, false);
    run.advance_view(500, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(1_000, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn entry_that_is_no_member_yet_declares_no_flow_ownerless() {
    let mut run = EntryRun::start();
    run.load(
        DocumentKind::Members,
        DATACENTER,
        vec![DocumentItem::Entry(entry(2, DATACENTER))],
    );
    run.advance_view(10_000, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
}

#[test]
fn silence_of_most_vanished_hosts_does_not_prevent_the_verdict() {
    let mut run = EntryRun::start();
    run.advance_view(2_000, true);
    let remaining = &listed_hosts()[..1];
    run.load_roster(remaining);
    run.advance_view(2_000, true);
    let verdict = run.verdict_of(&[remaining[0].packets]);
    assert!(matches!(verdict, LookupVerdict::NoOwner(_)), "{verdict:?}");
}

#[test]
fn flow_of_a_service_with_new_hosts_only_is_not_declared_ownerless() {
    let mut run = EntryRun::start();
    run.advance_view(2_000, true);
    let mut hosts = listed_hosts();
    for host in &mut hosts {
        host.state = HostState::Leaving;
    }
    hosts.push(unlisted_host());
    run.load_roster(&hosts);
    run.advance_view(100, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(NEW_HOST_DELAY.as_millis() as u64, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn host_learns_of_a_new_entry_with_its_next_keep_alive() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    assert!(!run.requests_registration(&unlisted_host()));
    run.load_members(3);
    assert!(run.requests_registration(&unlisted_host()));
    run.register(unlisted_host());
    assert!(!run.requests_registration(&unlisted_host()));
}

#[test]
fn view_is_not_confirmed_while_a_newer_roster_is_named_but_not_read() {
    let mut run = EntryRun::start();
    run.handle(ControlEvent::VersionsListed {
        list: Vec::new(),
        confirms: Some(FeedConfirmation {
            feed: FeedIndex(0),
            at: run.now,
        }),
    });
    run.advance(STEP_MS);
    assert!(run.control.view_confirmed_at().is_some());
    let roster = DocumentId::new(DocumentKind::Roster, DATACENTER);
    run.handle(ControlEvent::HeartbeatReceived(Heartbeat {
        entry: entry(2, DATACENTER),
        summary: 1,
        operators_age: Duration::ZERO,
        unreadable_age: Duration::MAX,
        fleet_age: Duration::ZERO,
        recent: vec![(roster, ObjectVersion(u128::from(run.version + 1)))],
    }));
    assert_eq!(run.control.view_confirmed_at(), None);
    run.load_roster(&listed_hosts());
    assert!(run.control.view_confirmed_at().is_some());
}

#[test]
fn host_registers_with_every_entry_of_a_fleet_of_nine() {
    let mut run = EntryRun::start();
    run.load_members(9);
    let actions = run.control.handle(registration(unlisted_host()), run.now);
    let targets = actions.iter().find_map(|action| match action {
        ControlAction::ReplyToHost(_, reply) => Some(reply.targets.len()),
        _ => None,
    });
    assert_eq!(targets, Some(9));
}

#[test]
fn packets_go_to_an_owner_that_is_no_longer_in_the_view() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    let owner = unlisted_host().packets;
    run.router.record_owner(run.control.view(), key(1), owner);
    run.load_roster(&listed_hosts()[1..]);
    let view = Arc::clone(run.control.view());
    let plan = run.router.route(&view, &data(1, 700), run.now).unwrap();
    assert_eq!(plan.hops, [owner]);
}

#[test]
fn packets_go_to_an_owner_that_was_looked_up_at_a_host_of_another_service() {
    let mut view = common::passthrough_view(LISTED_HOSTS);
    let mut spec = common::spec();
    spec.id = "dalbit/patterns".parse().unwrap();
    spec.address = "10.20.0.2:7000".parse().unwrap();
    let mut record = unlisted_host();
    record.service = spec.id.clone();
    let tag = spec.id.tag();
    common::put_passthrough(&mut view, spec, vec![record.clone()]);
    let mut router = common::passthrough_router(&view);
    router.record_owner(&view, key(1), record.packets);
    let plan = router.route(&view, &data(1, 700), TimePoint(0)).unwrap();
    assert_eq!((plan.hops, plan.tag), (vec![record.packets], tag));
}

#[test]
fn unlisted_leaving_host_is_asked_after_a_roster_version_that_does_not_list_it() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    run.register(host(9, HostState::Leaving));
    let mut hosts = listed_hosts();
    hosts[0].state = HostState::Leaving;
    run.load_roster(&hosts);
    assert!(run.queried_hosts().contains(&unlisted_host().packets));
}

#[test]
fn unlisted_leaving_host_that_no_longer_registers_here_is_asked() {
    let mut run = EntryRun::start();
    run.register(unlisted_host());
    run.register(host(9, HostState::Leaving));
    run.advance(5_000);
    assert!(run.queried_hosts().contains(&unlisted_host().packets));
}

#[test]
fn host_that_is_leaving_here_only_is_asked_after_its_removal() {
    let mut run = EntryRun::start();
    run.register(host(0, HostState::Leaving));
    run.load_roster(&listed_hosts()[1..]);
    assert!(run.queried_hosts().contains(&listed_hosts()[0].packets));
}

#[test]
fn lookup_begun_before_all_hosts_could_register_declares_no_flow_ownerless() {
    let mut run = EntryRun::start();
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64, true);
    let hosts = run.queried_hosts();
    run.advance_view(100, true);
    let verdict = run.verdict_of_denials(hosts);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
}

#[test]
fn lookup_that_did_not_ask_a_host_that_registered_since_declares_no_flow_ownerless() {
    let mut run = EntryRun::start();
    run.advance_view(10_000, true);
    let hosts = run.queried_hosts();
    run.handle(registration(unlisted_host()));
    run.advance_view(100, true);
    let verdict = run.verdict_of_denials(hosts);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
}

#[test]
fn flow_is_not_declared_ownerless_soon_after_the_fleet_became_a_full_mesh() {
    let mut run = EntryRun::start();
    run.load_members(FULL_MESH_FLEET + 1);
    run.advance_view(10_000, true);
    run.load_members(FULL_MESH_FLEET);
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(50, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn unlisted_host_gets_no_flows_soon_after_the_fleet_became_a_full_mesh() {
    let mut run = EntryRun::start();
    run.load_members(FULL_MESH_FLEET + 1);
    for _ in 0..20 {
        run.register(unlisted_host());
    }
    run.load_members(FULL_MESH_FLEET);
    run.register(unlisted_host());
    assert!(!run.is_offered(unlisted_host().packets));
    run.advance(NEW_HOST_DELAY.as_millis() as u64);
    assert!(run.is_offered(unlisted_host().packets));
}

#[test]
fn host_whose_address_a_record_of_another_firm_has_is_asked() {
    for _ in 0..ORDERS {
        let view = view_with_shared_address("hodu/patterns");
        let mut router = common::settled_router(&view);
        let hosts = queried_hosts(&mut router, &view, 1, TimePoint(5_000));
        assert!(hosts.contains(&listed_hosts()[0].packets));
    }
}

#[test]
fn packets_to_a_looked_up_owner_name_its_service_if_another_service_has_its_address() {
    let owner = listed_hosts()[0].packets;
    for _ in 0..ORDERS {
        let view = view_with_shared_address("dalbit/patterns");
        let mut router = common::passthrough_router(&view);
        router.record_owner(&view, key(1), owner);
        let plan = router.route(&view, &data(1, 700), TimePoint(0)).unwrap();
        assert_eq!(
            (plan.hops, plan.tag),
            (vec![owner], common::spec().id.tag())
        );
    }
}

#[test]
fn packets_go_to_a_cached_owner_after_another_service_got_a_record_of_its_address() {
    let view = common::passthrough_view(LISTED_HOSTS);
    let owner = listed_hosts()[0].packets;
    for _ in 0..ORDERS {
        let later = view_with_shared_address("dalbit/patterns");
        let mut router = common::passthrough_router(&view);
        router.record_owner(&view, key(1), owner);
        router.update_view(&later, TimePoint(100));
        let plan = router.route(&later, &data(1, 700), TimePoint(100)).unwrap();
        assert_eq!(
            (plan.hops, plan.tag),
            (vec![owner], common::spec().id.tag())
        );
    }
}

#[test]
fn host_is_asked_though_an_earlier_host_of_its_address_announced_its_departure() {
    let mut run = EntryRun::start();
    run.register(host(0, HostState::Gone));
    let mut successor = unlisted_host();
    successor.packets = listed_hosts()[0].packets;
    run.register(successor.clone());
    run.advance(5_000);
    assert!(run.queried_hosts().contains(&successor.packets));
}

#[test]
fn owner_is_looked_up_if_only_the_hosts_in_the_view_are_within_the_limit() {
    let mut run = EntryRun::start();
    run.load_roster(&numbered_hosts(240));
    run.load_roster(&replaced_hosts(240, 20));
    assert_eq!(run.queried_hosts().len(), 260);
}

#[test]
fn most_recent_vanished_hosts_are_asked_and_no_flow_is_ownerless_if_there_are_more() {
    let mut run = EntryRun::start();
    run.load_roster(&numbered_hosts(200));
    run.advance_view(10_000, true);
    run.load_roster(&replaced_hosts(200, 60));
    run.load_roster(&replaced_hosts(200, 60 + MAX_VANISHED_HOSTS));
    run.advance_view(2_000, true);
    let hosts = run.queried_hosts();
    let replaced = numbered_hosts(60 + MAX_VANISHED_HOSTS);
    let asked = |record: &HostRecord| hosts.contains(&record.packets);
    assert!(replaced[60..].iter().all(asked));
    assert!(!replaced[..60].iter().any(asked));
    let verdict = run.verdict_of_denials(hosts);
    assert_eq!(verdict, Some(LookupVerdict::Unconfirmed));
}

#[test]
fn flow_is_not_declared_ownerless_before_hosts_of_a_large_fleet_are_listed_again() {
    let mut run = EntryRun::start();
    run.load_members(FULL_MESH_FLEET + 1);
    run.advance_view(RELISTING_WAIT.as_millis() as u64, true);
    assert_eq!(RELISTING_WAIT, Duration::from_secs(2));
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(50, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

// Returns an entry VM of a large fleet that has just started and read all rosters, of a store
// that recorded this first era and is in era zero now.
fn restarted_entry_of_large_fleet(first_era: Option<StoreEra>) -> EntryRun {
    let mut run = EntryRun::start();
    run.load_members(FULL_MESH_FLEET + 1);
    run.handle(ControlEvent::AllListed {
        scope: ListScope::Fleet,
        version: ObjectVersion(run.version.into()),
        listed: vec![DocumentId::new(DocumentKind::Roster, DATACENTER)],
        first_era,
    });
    run.advance_view(STEP_MS, true);
    run
}

// On the users' bench, callers of flows that had died in a loss of power got no answer for two
// seconds after it (sauveteurs-baie-grown trouble-2).
#[test]
fn restarted_entry_of_a_large_fleet_trusts_rosters_of_a_store_that_was_never_restored() {
    let mut run = restarted_entry_of_large_fleet(Some(StoreEra(0)));
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn restarted_entry_waits_if_the_store_was_restored_or_never_recorded_its_first_era() {
    for first_era in [None, Some(StoreEra(1))] {
        let mut run = restarted_entry_of_large_fleet(first_era);
        assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
        run.advance_view(RELISTING_WAIT.as_millis() as u64, true);
        assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
    }
}

#[test]
fn restarted_entry_waits_if_flows_outlive_their_silent_hosts_in_the_roster() {
    let mut run = EntryRun::start();
    run.control = EntryControl::new(entry(1, DATACENTER), Vec::new(), 1, run.now)
        .with_flow_age(MAX_LISTED_FLOW_AGE + Duration::from_millis(1));
    run.handle(ControlEvent::AllListed {
        scope: ListScope::Fleet,
        version: ObjectVersion(1),
        listed: Vec::new(),
        first_era: Some(StoreEra(0)),
    });
    run.load_roster(&listed_hosts());
    let coverage = run.control.view().roster_coverage;
    assert_eq!(coverage, RosterCoverage::Unknown);
}

#[test]
fn rosters_are_not_trusted_any_more_once_a_restored_one_is_read() {
    let mut run = restarted_entry_of_large_fleet(Some(StoreEra(0)));
    let next_era = ObjectVersion::new(StoreEra(1), StoreRevision(1)).unwrap();
    let hosts = listed_hosts().into_iter().map(Arc::new);
    run.handle(ControlEvent::Loaded {
        id: DocumentId::new(DocumentKind::Roster, DATACENTER),
        version: next_era,
        items: hosts.map(DocumentItem::Host).collect(),
    });
    run.advance(STEP_MS);
    assert_eq!(run.control.view().roster_coverage, RosterCoverage::Unknown);
}

// Guards against resets of living flows by an entry VM that has just started: a record that can't
// be read may be that of their host.
#[test]
fn rosters_with_records_that_can_not_be_read_do_not_name_every_owner() {
    let mut run = restarted_entry_of_large_fleet(Some(StoreEra(0)));
    let hosts = listed_hosts().into_iter().map(Arc::new);
    run.handle(ControlEvent::LoadedPartly {
        id: DocumentId::new(DocumentKind::Roster, DATACENTER),
        version: ObjectVersion(u128::from(run.version + 1)),
        items: hosts.map(DocumentItem::Host).collect(),
        unreadable: UnreadableItems {
            unnamed: 1,
            ..UnreadableItems::default()
        },
    });
    run.handle(ControlEvent::AllListed {
        scope: ListScope::Fleet,
        version: ObjectVersion(u128::from(run.version + 1)),
        listed: vec![DocumentId::new(DocumentKind::Roster, DATACENTER)],
        first_era: Some(StoreEra(0)),
    });
    run.advance_view(STEP_MS, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(RELISTING_WAIT.as_millis() as u64, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn first_era_is_recorded_only_before_there_is_a_roster() {
    let all_listed = |listed: Vec<DocumentId>, first_era| ControlEvent::AllListed {
        scope: ListScope::Fleet,
        version: ObjectVersion::new(StoreEra(3), StoreRevision(9)).unwrap(),
        listed,
        first_era,
    };
    let roster = DocumentId::new(DocumentKind::Roster, DATACENTER);
    let records_era = |event: ControlEvent| {
        let mut control = EntryControl::new(entry(1, DATACENTER), Vec::new(), 1, TimePoint(0));
        let actions = control.handle(event, TimePoint(0));
        actions.contains(&ControlAction::RecordFirstEra(StoreEra(3)))
    };
    assert!(records_era(all_listed(Vec::new(), None)));
    assert!(!records_era(all_listed(vec![roster], None)));
    assert!(!records_era(all_listed(Vec::new(), Some(StoreEra(2)))));
}

// A restarted entry VM does not know a host in no roster.
#[test]
fn host_in_no_roster_of_a_large_fleet_gets_flows_only_if_the_store_and_all_others_are_away() {
    let mut run = EntryRun::start();
    run.load_members(FULL_MESH_FLEET + 1);
    run.load_roster(&[]);
    run.register(unlisted_host());
    run.advance_view(NEW_HOST_DELAY.as_millis() as u64, true);
    let view = Arc::clone(run.control.view());
    let plan = run.router.route(&view, &syn(1), run.now);
    assert_eq!(plan, Err(RouteDrop::NoHost));
    run.router.record_freshness(false, run.now);
    let plan = run.router.route(&view, &syn(2), run.now).unwrap();
    assert_eq!(plan.hops, [unlisted_host().packets]);
}

#[test]
fn wait_for_registrations_begins_when_the_entry_becomes_a_member() {
    let mut run = EntryRun::start();
    let other = DocumentItem::Entry(entry(2, DATACENTER));
    run.load(DocumentKind::Members, DATACENTER, vec![other]);
    run.advance_view(10_000, true);
    run.load_members(2);
    run.advance_view(REGISTRATION_WAIT.as_millis() as u64, true);
    assert_eq!(run.verdict(), Some(LookupVerdict::Unconfirmed));
    run.advance_view(50, true);
    assert!(matches!(run.verdict(), Some(LookupVerdict::NoOwner(_))));
}

#[test]
fn host_that_is_listed_again_after_its_removal_gets_flows_at_once() {
    let mut run = EntryRun::start();
    run.advance_view(2_000, true);
    run.load_roster(&listed_hosts()[1..]);
    run.load_roster(&listed_hosts());
    assert!(run.is_offered(listed_hosts()[0].packets));
}

#[test]
fn packets_do_not_go_to_a_cached_owner_whose_address_runs_another_service_only() {
    let owner = listed_hosts()[0].packets;
    let mut router = common::passthrough_router(&common::passthrough_view(LISTED_HOSTS));
    let mut view = common::passthrough_view(LISTED_HOSTS);
    router.record_owner(&view, key(1), owner);
    let mut hosts = listed_hosts();
    hosts[0].state = HostState::Leaving;
    common::put_passthrough(&mut view, common::spec(), hosts.clone());
    router.update_view(&view, TimePoint(100));
    let mut later = view_with_shared_address("dalbit/patterns");
    common::put_passthrough(&mut later, common::spec(), hosts.split_off(1));
    router.update_view(&later, TimePoint(200));
    let plan = router.route(&later, &data(1, 700), TimePoint(200)).unwrap();
    assert!(!plan.hops.contains(&owner));
}
