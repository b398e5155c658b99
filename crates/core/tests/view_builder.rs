//! Timing of view rebuilds at an entry VM: changes of passthrough services are batched,
//! changes that callers or hosts wait for are not.

mod common;

use std::sync::Arc;

use chestnutlb_core::view_builder::VIEW_PERIOD;
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, HostState,
    ObjectVersion, ServiceKind, TimePoint,
};
use common::{entry, host};

const START: TimePoint = TimePoint(1_000);

fn control() -> EntryControl {
    let mut control = EntryControl::new(entry(1, "honam-1"), Vec::new(), 1, START);
    let grant = DocumentItem::Grant("10.20.0.0/16".parse().unwrap(), "dalbit".into());
    control.handle(load(DocumentKind::Grants, "all", 1, vec![grant]), START);
    control
}

fn load(kind: DocumentKind, name: &str, version: u64, items: Vec<DocumentItem>) -> ControlEvent {
    ControlEvent::Loaded {
        id: DocumentId::new(kind, name),
        version: ObjectVersion(version.into()),
        items,
    }
}

fn manifest(kind: ServiceKind, version: u64) -> ControlEvent {
    let mut spec = common::spec();
    spec.kind = kind;
    let items = vec![DocumentItem::Service(Arc::new(spec))];
    load(DocumentKind::Manifest, "dalbit", version, items)
}

fn roster(version: u64, hosts: usize) -> ControlEvent {
    let items = (0..hosts)
        .map(|number| DocumentItem::Host(Arc::new(host(number, HostState::Serving))))
        .collect();
    load(DocumentKind::Roster, "honam-1", version, items)
}

fn publishes(control: &mut EntryControl, event: ControlEvent, now: TimePoint) -> bool {
    let actions = control.handle(event, now);
    actions.contains(&ControlAction::Publish)
}

fn host_count(control: &EntryControl) -> usize {
    let id = "dalbit/catalogue".parse().unwrap();
    let service = control.view().service(&id);
    service.map_or(0, |service| service.hosts().len())
}

#[test]
fn changes_of_passthrough_service_are_batched() {
    let mut control = control();
    control.handle(manifest(ServiceKind::Passthrough, 1), START);
    assert!(
        publishes(&mut control, roster(1, 1), START),
        "the first hosts are urgent"
    );
    for version in 2..20 {
        assert!(!publishes(
            &mut control,
            roster(version, version as usize),
            START
        ));
    }
    assert_eq!(host_count(&control), 1);
    let due = START + VIEW_PERIOD;
    assert_eq!(control.poll_view(due), Some(ControlAction::Publish));
    assert_eq!(host_count(&control), 19);
    assert_eq!(control.poll_view(due), None);
}

#[test]
fn manifest_is_published_immediately_with_batched_changes() {
    let mut control = control();
    control.handle(manifest(ServiceKind::Passthrough, 1), START);
    control.handle(roster(1, 1), START);
    control.handle(roster(2, 5), START);
    assert!(publishes(
        &mut control,
        manifest(ServiceKind::Passthrough, 2),
        START
    ));
    assert_eq!(host_count(&control), 5);
}

// Hosts of a request service need each other's records, which they fetch after a
// registration reply.
#[test]
fn hosts_of_request_service_are_published_immediately() {
    let mut control = control();
    control.handle(manifest(ServiceKind::Request, 1), START);
    for version in 1..5 {
        assert!(publishes(
            &mut control,
            roster(version, version as usize),
            START
        ));
    }
    assert_eq!(host_count(&control), 4);
}

#[test]
fn next_due_covers_batched_changes() {
    let mut control = control();
    control.handle(manifest(ServiceKind::Passthrough, 1), START);
    control.handle(roster(1, 1), START);
    control.handle(roster(2, 2), START);
    let due = control.next_due().unwrap();
    assert!(due <= START + VIEW_PERIOD, "{due:?}");
}

#[test]
fn changes_between_views_name_added_removed_and_changed_hosts() {
    let mut control = control();
    control.handle(manifest(ServiceKind::Stream, 1), START);
    control.handle(roster(2, 2), START);
    let old = Arc::clone(control.view());
    let items = [(1, HostState::Leaving), (2, HostState::Serving)]
        .map(|(number, state)| DocumentItem::Host(Arc::new(host(number, state))))
        .to_vec();
    control.handle(load(DocumentKind::Roster, "honam-1", 3, items), START);
    let changes: Vec<_> = control
        .view()
        .host_changes(&old)
        .into_iter()
        .map(|change| (change.name.to_string(), change.before, change.after))
        .collect();
    let serving = Some(HostState::Serving);
    assert_eq!(
        changes,
        [
            ("host-0".to_owned(), serving, None),
            ("host-1".to_owned(), serving, Some(HostState::Leaving)),
            ("host-2".to_owned(), None, serving),
        ]
    );
    assert!(control.view().host_changes(control.view()).is_empty());
}
