//! Documents of operators that can't be read: they do not count as current while the platform has
//! them, and an item that can't be read costs that item.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::events::ListScope;
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl,
    FeedConfirmation, FeedIndex, FeedScope, Heartbeat, ObjectVersion, ServiceSpec, TimePoint,
    UnreadableItems,
};
use common::{entry, spec};

const OPERATORS: FeedIndex = FeedIndex(0);
const FLEET: FeedIndex = FeedIndex(1);

fn manifest_id() -> DocumentId {
    DocumentId::new(DocumentKind::Manifest, "dalbit")
}

fn control_of(number: usize) -> EntryControl {
    EntryControl::new(entry(number, "honam-1"), Vec::new(), 1, TimePoint(0))
        .with_feeds(&[FeedScope::Operators, FeedScope::Fleet])
        .with_change_deadline(Duration::from_secs(3))
}

fn read(stored: u128, is_readable: bool) -> ControlEvent {
    ControlEvent::DocumentRead {
        id: manifest_id(),
        stored: ObjectVersion(stored),
        is_readable,
    }
}

fn loaded(version: u128, specs: Vec<ServiceSpec>) -> ControlEvent {
    let services = specs.into_iter().map(Arc::new);
    ControlEvent::Loaded {
        id: manifest_id(),
        version: ObjectVersion(version),
        items: services.map(DocumentItem::Service).collect(),
    }
}

fn answer(feed: FeedIndex, now: u64) -> ControlEvent {
    let at = TimePoint(now);
    ControlEvent::VersionsListed {
        list: Vec::new(),
        confirms: Some(FeedConfirmation { feed, at }),
    }
}

fn handle(control: &mut EntryControl, now: u64, events: Vec<ControlEvent>) -> Vec<ControlAction> {
    let handled = events
        .into_iter()
        .map(|event| control.handle(event, TimePoint(now)));
    handled.flatten().collect()
}

// Returns an entry VM that has read manifest 7, at revision 20 of the store.
fn current_control() -> EntryControl {
    let mut control = control_of(1);
    handle(
        &mut control,
        1_000,
        vec![
            loaded(7, vec![spec()]),
            read(20, true),
            answer(OPERATORS, 1_000),
            answer(FLEET, 1_000),
        ],
    );
    assert_eq!(control.confirmed_at(), Some(TimePoint(1_000)));
    control
}

// Guards against a document that counts as current though its change could not be read: the old
// one stayed in force for good, and nothing told so (review/12).
#[test]
fn document_that_can_not_be_read_is_not_confirmed_for_as_long_as_the_platform_has_it() {
    let mut control = current_control();
    handle(
        &mut control,
        2_000,
        vec![
            read(21, false),
            answer(OPERATORS, 2_000),
            answer(FLEET, 2_000),
        ],
    );
    for now in [4_000, 6_000, 60_000] {
        // Watches end without a change.
        handle(
            &mut control,
            now,
            vec![answer(OPERATORS, now), answer(FLEET, now)],
        );
        assert_eq!(control.confirmed_at(), Some(TimePoint(1_000)));
        assert!(control.is_outdated());
        let unreadable: Vec<_> = control.unreadable_documents().collect();
        assert_eq!(unreadable, [&manifest_id()]);
    }
    handle(
        &mut control,
        61_000,
        vec![
            loaded(9, vec![spec()]),
            read(22, true),
            answer(OPERATORS, 61_000),
        ],
    );
    assert!(!control.is_outdated());
    assert_eq!(
        control.operators_age(TimePoint(61_000)),
        Some(Duration::ZERO)
    );
}

// The operators write the earlier content again.
#[test]
fn document_is_current_again_once_one_that_is_in_force_can_be_read() {
    let mut control = current_control();
    let unreadable = vec![read(21, false), answer(OPERATORS, 2_000)];
    handle(&mut control, 2_000, unreadable);
    let again = vec![
        loaded(7, vec![spec()]),
        read(22, true),
        answer(OPERATORS, 3_000),
    ];
    handle(&mut control, 3_000, again);
    assert!(!control.is_outdated());
}

#[test]
fn late_read_of_an_earlier_object_does_not_make_the_document_current() {
    let mut control = current_control();
    let unreadable = vec![read(21, false), answer(OPERATORS, 2_000)];
    handle(&mut control, 2_000, unreadable);
    let late = vec![
        loaded(7, vec![spec()]),
        read(20, true),
        answer(OPERATORS, 2_500),
    ];
    handle(&mut control, 2_600, late);
    assert!(control.is_outdated());
    // And a late one that can't be read does not take it back.
    let readable = vec![
        loaded(9, vec![spec()]),
        read(22, true),
        answer(OPERATORS, 3_000),
    ];
    handle(&mut control, 3_000, readable);
    handle(
        &mut control,
        3_100,
        vec![read(21, false), answer(OPERATORS, 3_100)],
    );
    assert!(!control.is_outdated());
}

fn heartbeat(control: &mut EntryControl, now: u64) -> Heartbeat {
    let tick = chestnutlb_core::TimerKind::Heartbeat;
    let actions = control.handle(ControlEvent::Tick(tick), TimePoint(now));
    let sent = actions.into_iter().find_map(|action| match action {
        ControlAction::Heartbeat(_, heartbeat) => Some(heartbeat),
        _ => None,
    });
    sent.unwrap()
}

// An entry VM that does not watch learns it from its peers, and does not read the store itself.
#[test]
fn peers_pass_on_that_a_document_can_not_be_read() {
    let seed = vec![entry(2, "honam-1").peers];
    let mut watcher = current_control();
    watcher.handle(ControlEvent::SeedsChanged(seed), TimePoint(1_000));
    let mut peer = control_of(2);
    handle(&mut peer, 1_000, vec![loaded(7, vec![spec()])]);
    for now in [2_000, 4_000, 6_000, 8_000] {
        let unreadable = vec![read(21, false), answer(OPERATORS, now), answer(FLEET, now)];
        handle(&mut watcher, now, unreadable);
        let told = heartbeat(&mut watcher, now);
        assert_eq!(told.unreadable_age, Duration::ZERO);
        let mut actions = peer.handle(ControlEvent::HeartbeatReceived(told), TimePoint(now));
        for tick in [now, now + 1_000] {
            let liveness = ControlEvent::Tick(chestnutlb_core::TimerKind::Liveness);
            actions.extend(peer.handle(liveness, TimePoint(tick)));
        }
        assert!(peer.is_outdated());
        assert!(!actions.contains(&ControlAction::ProbeStore), "{now}");
    }
    let readable = vec![
        read(22, true),
        answer(OPERATORS, 9_000),
        answer(FLEET, 9_000),
    ];
    handle(&mut watcher, 9_000, readable);
    let told = heartbeat(&mut watcher, 9_000);
    peer.handle(ControlEvent::HeartbeatReceived(told), TimePoint(9_000));
    assert!(!peer.is_outdated());
}

// The feed of a store that lists versions: what it listed once is not listed again.
#[test]
fn listed_document_that_was_not_read_is_not_confirmed_and_read_again() {
    let mut control = EntryControl::new(entry(1, "honam-1"), Vec::new(), 1, TimePoint(0));
    handle(
        &mut control,
        1_000,
        vec![loaded(7, vec![spec()]), answer(OPERATORS, 1_000)],
    );
    assert_eq!(control.confirmed_at(), Some(TimePoint(1_000)));
    let at = TimePoint(2_000);
    let listed = ControlEvent::VersionsListed {
        list: vec![(manifest_id(), ObjectVersion(9))],
        confirms: Some(FeedConfirmation {
            feed: OPERATORS,
            at,
        }),
    };
    let load = ControlAction::Load(manifest_id());
    assert!(handle(&mut control, 2_000, vec![listed]).contains(&load));
    // The read fails, and a watch ends without a change.
    let failed = vec![
        ControlEvent::WriteFinished(manifest_id()),
        answer(OPERATORS, 4_000),
    ];
    assert!(handle(&mut control, 4_000, failed).contains(&load));
    assert_eq!(control.confirmed_at(), Some(TimePoint(1_000)));
    assert!(
        !control.is_outdated(),
        "it is not known that it can't be read"
    );
    // The read shows that it can't be read.
    let unreadable = vec![ControlEvent::WriteFinished(manifest_id()), read(0, false)];
    handle(&mut control, 4_100, unreadable);
    assert!(!handle(&mut control, 6_000, vec![answer(OPERATORS, 6_000)]).contains(&load));
    assert_eq!(control.confirmed_at(), Some(TimePoint(1_000)));
    assert!(control.is_outdated());
    let readable = vec![
        loaded(9, vec![spec()]),
        read(9, true),
        answer(OPERATORS, 8_000),
    ];
    handle(&mut control, 8_000, readable);
    assert_eq!(control.confirmed_at(), Some(TimePoint(8_000)));
    assert!(!control.is_outdated());
}

#[test]
fn document_that_the_platform_lists_no_more_is_forgotten() {
    let mut control = EntryControl::new(entry(1, "honam-1"), Vec::new(), 1, TimePoint(0));
    let at = TimePoint(2_000);
    let listed = ControlEvent::VersionsListed {
        list: vec![(manifest_id(), ObjectVersion(9))],
        confirms: Some(FeedConfirmation {
            feed: OPERATORS,
            at,
        }),
    };
    handle(
        &mut control,
        2_000,
        vec![listed, read(0, false), answer(OPERATORS, 2_100)],
    );
    assert!(control.is_outdated());
    let all_listed = ControlEvent::AllListed {
        scope: ListScope::All,
        version: ObjectVersion(12),
        listed: Vec::new(),
        first_era: None,
    };
    handle(
        &mut control,
        3_000,
        vec![all_listed, answer(OPERATORS, 3_000)],
    );
    assert!(!control.is_outdated());
    assert_eq!(control.confirmed_at(), Some(TimePoint(3_000)));
}

fn named(service: &str, address: &str) -> ServiceSpec {
    ServiceSpec {
        id: format!("dalbit/{service}").parse().unwrap(),
        address: address.parse().unwrap(),
        ..spec()
    }
}

fn service_addresses(control: &EntryControl) -> Vec<String> {
    let document = control.documents().get(&manifest_id()).unwrap();
    let services = document.items().filter_map(|item| match item {
        DocumentItem::Service(spec) => Some(format!("{} {}", spec.id.service, spec.address)),
        _ => None,
    });
    services.collect()
}

#[test]
fn service_that_can_not_be_read_stays_as_it_was_and_costs_no_other() {
    let mut control = control_of(1);
    let first = vec![
        named("catalogue", "10.20.0.1:7000"),
        named("lager", "10.20.0.2:7000"),
        named("patterns", "10.20.0.3:7000"),
    ];
    handle(&mut control, 1_000, vec![loaded(7, first)]);
    // Of the next version, two services can't be read, and another one has the address of one of
    // them; a third is removed.
    let moved = named("orders", "10.20.0.2:7000");
    let event = ControlEvent::LoadedPartly {
        id: manifest_id(),
        version: ObjectVersion(9),
        items: vec![DocumentItem::Service(Arc::new(moved))],
        unreadable: UnreadableItems {
            keys: ["catalogue".into(), "lager".into()].into(),
            ..UnreadableItems::default()
        },
    };
    let actions = handle(
        &mut control,
        2_000,
        vec![event, read(21, true), answer(OPERATORS, 2_000)],
    );
    assert!(actions.contains(&ControlAction::InForce(manifest_id(), ObjectVersion(9))));
    assert_eq!(
        service_addresses(&control),
        ["catalogue 10.20.0.1:7000", "orders 10.20.0.2:7000"]
    );
    assert!(!control.is_outdated());
    let partly: Vec<_> = control.partly_read_documents().collect();
    assert_eq!(partly, [(&manifest_id(), 2)]);
    // Nothing is written in place of the operators.
    let repair = ControlEvent::Tick(chestnutlb_core::TimerKind::Repair);
    let actions = control.handle(repair, TimePoint(200_000));
    let writes = |action: &ControlAction| matches!(action, ControlAction::RemoveUnreadable(..));
    assert!(!actions.iter().any(writes), "{actions:?}");
    handle(&mut control, 3_000, vec![loaded(10, vec![spec()])]);
    assert_eq!(control.partly_read_documents().count(), 0);
}

// It read the store in place of a watcher once, and reads no more.
#[test]
fn entry_that_reads_no_more_learns_from_peers_that_the_document_is_current() {
    let seed = vec![entry(2, "honam-1").peers];
    let mut reader = control_of(2);
    let unreadable = vec![
        loaded(7, vec![spec()]),
        read(21, false),
        answer(OPERATORS, 2_000),
    ];
    handle(&mut reader, 2_000, unreadable);
    assert_eq!(reader.unreadable_documents().count(), 1);
    let mut watcher = current_control();
    watcher.handle(ControlEvent::SeedsChanged(seed), TimePoint(1_000));
    let again = vec![
        read(22, true),
        answer(OPERATORS, 3_000),
        answer(FLEET, 3_000),
    ];
    handle(&mut watcher, 3_000, again);
    let told = heartbeat(&mut watcher, 3_000);
    reader.handle(ControlEvent::HeartbeatReceived(told), TimePoint(3_000));
    assert!(!reader.is_outdated());
    assert_eq!(reader.unreadable_documents().count(), 0);
}
