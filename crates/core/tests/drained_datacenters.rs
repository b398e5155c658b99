//! A drained data centre: its hosts get no new flows and keep those that they have, its callers
//! are served by the others, and every entry VM and host goes by the newest version.

mod common;

use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use std::sync::Arc;

use chestnutlb_core::events::ListScope;
use chestnutlb_core::opening_rules::{OpeningGate, RulesChange};
use chestnutlb_core::{
    ControlAction, ControlEvent, DatacenterName, DocumentId, DocumentItem, DocumentKind,
    DrainNotice, EntryControl, EntryRouter, FeedConfirmation, FeedIndex, HostRecord, HostRevision,
    HostState, ObjectVersion, OpeningRules, PassthroughRouter, RegistrationReply, RouteDecision,
    RouteDrop, RoutingView, ServiceKind, StoreEra, StoreRevision, TimePoint,
};
use common::{data, entry, host, quickcheck, syn};

const DATACENTERS: usize = 4;
const HOSTS_PER_DATACENTER: usize = 12;
const CALLERS: u16 = 2_000;
const START: TimePoint = TimePoint(1_000);
/// Later than the time in which a new service address is not refused.
const LATER: TimePoint = TimePoint(30_000);

fn datacenter(number: usize) -> DatacenterName {
    format!("honam-{number}").parse().unwrap()
}

fn record(number: usize) -> HostRecord {
    HostRecord {
        datacenter: datacenter(number % DATACENTERS),
        ..host(number, HostState::Serving)
    }
}

fn load(
    kind: DocumentKind,
    name: &str,
    version: ObjectVersion,
    items: Vec<DocumentItem>,
) -> ControlEvent {
    ControlEvent::Loaded {
        id: DocumentId::new(kind, name),
        version,
        items,
    }
}

// An entry VM of `honam-0` that knows a service in all data centres.
fn control(kind: ServiceKind) -> EntryControl {
    let mut control = EntryControl::new(entry(1, "honam-0"), Vec::new(), 1, START);
    let grant = DocumentItem::Grant("10.20.0.0/16".parse().unwrap(), "dalbit".into());
    let first = ObjectVersion(1);
    control.handle(load(DocumentKind::Grants, "all", first, vec![grant]), START);
    let mut spec = common::spec();
    spec.kind = kind;
    let items = vec![DocumentItem::Service(Arc::new(spec))];
    control.handle(load(DocumentKind::Manifest, "dalbit", first, items), START);
    for group in 0..DATACENTERS {
        let numbers = (0..DATACENTERS * HOSTS_PER_DATACENTER).filter(|n| n % DATACENTERS == group);
        let items = numbers.map(|number| DocumentItem::Host(Arc::new(record(number))));
        let event = load(
            DocumentKind::Roster,
            datacenter(group).as_str(),
            first,
            items.collect(),
        );
        control.handle(event, START);
    }
    control.handle(listed(Vec::new()), START);
    control.poll_view(TimePoint(START.0 + 500));
    control
}

fn listed(list: Vec<(DocumentId, ObjectVersion)>) -> ControlEvent {
    let confirms = Some(FeedConfirmation {
        feed: FeedIndex(0),
        at: START,
    });
    ControlEvent::VersionsListed { list, confirms }
}

fn drain_id(group: usize) -> DocumentId {
    DocumentId::new(DocumentKind::Drain, datacenter(group).as_str())
}

fn drain(control: &mut EntryControl, group: usize, version: ObjectVersion) -> Vec<ControlAction> {
    let items = vec![DocumentItem::Drain(datacenter(group))];
    let event = load(
        DocumentKind::Drain,
        datacenter(group).as_str(),
        version,
        items,
    );
    control.handle(event, LATER)
}

// The store lists the drains of these data centres, at this version.
fn list_drains(control: &mut EntryControl, groups: &[usize], version: ObjectVersion) {
    let event = ControlEvent::AllListed {
        scope: ListScope::Drains,
        version,
        listed: groups.iter().copied().map(drain_id).collect(),
        first_era: None,
    };
    control.handle(event, LATER);
}

fn drained(control: &EntryControl) -> Vec<String> {
    let names = control.documents().drained_datacenters();
    names.map(ToString::to_string).collect()
}

fn router(view: &RoutingView, local: usize) -> PassthroughRouter {
    let limit = NonZeroUsize::new(10_000).unwrap();
    let mut router = PassthroughRouter::new(datacenter(local), limit);
    router.update_view(view, START);
    router.record_freshness(true, START);
    router
}

// Returns how many callers of a data centre are sent to each data centre first, and how many
// hosts of a drained one are on their way.
fn openings(view: &RoutingView, local: usize) -> (BTreeMap<String, usize>, usize) {
    let mut router = router(view, local);
    let locations: BTreeMap<_, _> = (0..DATACENTERS * HOSTS_PER_DATACENTER)
        .map(|number| (record(number).packets, record(number).datacenter))
        .collect();
    let mut first = BTreeMap::new();
    let mut drained = 0;
    for port in 1..=CALLERS {
        let plan = router.route(view, &syn(port), LATER).unwrap();
        *first
            .entry(locations[&plan.hops[0]].to_string())
            .or_default() += 1;
        let hops = plan.hops.iter().map(|hop| &locations[hop]);
        drained += hops.filter(|name| view.drained.contains(*name)).count();
    }
    (first, drained)
}

#[test]
fn new_flows_go_to_other_data_centres_until_the_drain_ends() {
    let mut control = control(ServiceKind::Passthrough);
    let mut lines = vec![format!("before: {:?}", openings(control.view(), 0))];
    let actions = drain(&mut control, 0, ObjectVersion(5));
    assert!(actions.contains(&ControlAction::Publish), "not at once");
    lines.push(format!(
        "honam-0 drained: {:?}",
        openings(control.view(), 0)
    ));
    lines.push(format!(
        "honam-0 drained, callers of honam-1: {:?}",
        openings(control.view(), 1)
    ));
    list_drains(&mut control, &[], ObjectVersion(9));
    lines.push(format!("taken back: {:?}", openings(control.view(), 0)));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn open_flows_stay_at_the_hosts_of_a_drained_data_centre() {
    let mut control = control(ServiceKind::Passthrough);
    let before = Arc::clone(control.view());
    drain(&mut control, 0, ObjectVersion(5));
    let view = Arc::clone(control.view());
    for port in 1..=CALLERS {
        let opened = router(&before, 0)
            .route(&before, &syn(port), START)
            .unwrap();
        // An entry VM that has not seen the flow.
        let walk = router(&view, 0)
            .route(&view, &data(port, 1), LATER)
            .unwrap();
        assert!(walk.hops.contains(&opened.hops[0]), "port {port}");
    }
}

// The same walk after the drain: flows that were opened elsewhere are found by a lookup or in the
// walk.
#[test]
fn walk_during_a_drain_visits_the_hosts_that_open_flows_instead() {
    let mut control = control(ServiceKind::Passthrough);
    drain(&mut control, 0, ObjectVersion(5));
    let view = Arc::clone(control.view());
    let mut found = 0;
    for port in 1..=CALLERS {
        let opened = router(&view, 0).route(&view, &syn(port), LATER).unwrap();
        let walk = router(&view, 0)
            .route(&view, &data(port, 1), LATER)
            .unwrap();
        found += u16::from(walk.hops.contains(&opened.hops[0]));
    }
    assert!(found >= CALLERS / 2, "{found} of {CALLERS}");
}

#[test]
fn service_whose_hosts_are_all_drained_refuses_at_once_but_not_a_new_address() {
    let mut control = control(ServiceKind::Passthrough);
    for group in 0..DATACENTERS {
        drain(&mut control, group, ObjectVersion(5));
    }
    let view = Arc::clone(control.view());
    let mut router = router(&view, 0);
    assert_eq!(router.route(&view, &syn(1), START), Err(RouteDrop::NoHost));
    assert_eq!(router.route(&view, &syn(2), LATER), Err(RouteDrop::Drained));
    list_drains(&mut control, &[0, 1, 2], ObjectVersion(9));
    let view = Arc::clone(control.view());
    router.update_view(&view, LATER);
    assert!(router.route(&view, &syn(2), LATER).is_ok());
}

#[test]
fn stream_services_follow_the_drain_and_other_hosts_see_it_as_departure() {
    let mut control = control(ServiceKind::Stream);
    drain(&mut control, 0, ObjectVersion(5));
    let view = Arc::clone(control.view());
    let service = view.service_at(syn(1).key.service).unwrap();
    let mut router = EntryRouter::new(0);
    router.replace_view(Arc::clone(&view), LATER);
    for port in 1..=CALLERS {
        let RouteDecision::Forward(plan) = router.route(&syn(port), LATER) else {
            panic!("port {port} is dropped");
        };
        let drained = plan.hops().iter().filter(|hop| service.host(**hop).drained);
        assert_eq!(drained.count(), 0, "port {port}");
    }
    let leaving = service.hosts().iter().map(|host| host.shared_record());
    let leaving = leaving.filter(|record| record.state == HostState::Leaving);
    assert_eq!(leaving.count(), HOSTS_PER_DATACENTER);
}

#[test]
fn list_of_an_earlier_version_ends_no_later_drain() {
    let mut control = control(ServiceKind::Passthrough);
    drain(&mut control, 2, ObjectVersion(20));
    list_drains(&mut control, &[], ObjectVersion(12));
    assert_eq!(drained(&control), ["honam-2"]);
    list_drains(&mut control, &[], ObjectVersion(20));
    assert_eq!(drained(&control), ["honam-2"], "its own version");
    list_drains(&mut control, &[], ObjectVersion(21));
    assert!(drained(&control).is_empty());
    drain(&mut control, 2, ObjectVersion(20));
    assert!(drained(&control).is_empty(), "an older object");
}

#[test]
fn restored_store_ends_the_drains_that_it_lacks() {
    let mut control = control(ServiceKind::Passthrough);
    drain(&mut control, 1, ObjectVersion(900));
    let restored = ObjectVersion::new(StoreEra(1), StoreRevision(3)).unwrap();
    list_drains(&mut control, &[], restored);
    assert!(drained(&control).is_empty());
}

#[test]
fn entry_vms_that_learn_of_drains_in_any_order_agree_on_the_newest() {
    // The store's history: an operator drains and takes back, each change a version.
    fn property(history: Vec<bool>, seen: Vec<(usize, bool)>) -> bool {
        let mut control = control(ServiceKind::Passthrough);
        let mut drained_since = vec![None];
        for drains in &history {
            let version = drained_since.len() as u64;
            let before = drained_since.last().copied().flatten();
            let next = if *drains {
                before.or(Some(version))
            } else {
                None
            };
            drained_since.push(next);
        }
        let newest = drained_since.len() - 1;
        let seen = seen.into_iter().map(|(at, _)| at % drained_since.len());
        for at in seen.chain([newest]) {
            match drained_since[at] {
                Some(since) => {
                    let id = drain_id(0);
                    list_drains(&mut control, &[0], ObjectVersion(u128::from(at as u64)));
                    if control.documents().version(&id) < ObjectVersion(since.into()) {
                        drain(&mut control, 0, ObjectVersion(since.into()));
                    }
                }
                None => list_drains(&mut control, &[], ObjectVersion(u128::from(at as u64))),
            }
        }
        drained(&control).is_empty() == drained_since[newest].is_none()
    }
    quickcheck()
        .tests(60)
        .quickcheck(property as fn(Vec<bool>, Vec<(usize, bool)>) -> bool);
}

fn register(control: &mut EntryControl, number: usize) -> RegistrationReply {
    let event = ControlEvent::HostRegistered {
        record: record(number),
        revision: HostRevision(1),
        manifest: ObjectVersion(0),
        from: "10.1.0.1:1".parse().unwrap(),
    };
    let replies = control.handle(event, LATER).into_iter();
    let mut replies = replies.filter_map(|action| match action {
        ControlAction::ReplyToHost(_, reply) => Some(reply),
        _ => None,
    });
    replies.next().unwrap()
}

#[test]
fn host_learns_of_the_drain_and_goes_by_its_newest_version() {
    let mut control = control(ServiceKind::Passthrough);
    assert!(register(&mut control, 0).opening.is_empty());
    drain(&mut control, 0, ObjectVersion(5));
    assert!(register(&mut control, 1).opening.is_empty(), "another one");
    let mut gate = OpeningGate::new(None);
    let drained = register(&mut control, 0).opening;
    assert_eq!(gate.record_rules(&drained, LATER), RulesChange::Drained);
    list_drains(&mut control, &[], ObjectVersion(9));
    let undrained = register(&mut control, 0).opening;
    assert_eq!(gate.record_rules(&undrained, LATER), RulesChange::Undrained);
    // An entry VM that is cut off, and one that has just started.
    assert_eq!(gate.record_rules(&drained, LATER), RulesChange::Same);
    let silent = OpeningRules::default();
    assert_eq!(gate.record_rules(&silent, LATER), RulesChange::Same);
    assert!(!gate.is_drained());
    let later = OpeningRules {
        drain: Some(DrainNotice {
            version: ObjectVersion(12),
            drained: true,
        }),
        ..OpeningRules::default()
    };
    gate.record_rules(&later, LATER);
    gate.record_rules(&silent, LATER);
    assert!(gate.is_drained(), "no entry VM has said that it ended");
}
