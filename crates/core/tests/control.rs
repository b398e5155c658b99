//! Documents and the control part of an entry VM under random events.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::document::VersionedDocument;
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, Heartbeat,
    HostRecord, HostState, ObjectVersion, TimePoint,
};
use common::{entry, host, quickcheck};

fn roster_id() -> DocumentId {
    DocumentId::new(DocumentKind::Roster, "honam-1")
}

fn items(numbers: &[u8]) -> Vec<DocumentItem> {
    numbers
        .iter()
        .map(|number| {
            // The state changes with the list, so that items change too.
            let state = if numbers.len().is_multiple_of(2) {
                HostState::Serving
            } else {
                HostState::Leaving
            };
            (usize::from(*number % 16), state)
        })
        .collect::<BTreeMap<_, _>>()
        .into_iter()
        .map(|(number, state)| DocumentItem::Host(Arc::new(host(number, state))))
        .collect()
}

#[test]
fn a_patch_brings_a_node_to_the_version_of_its_peer() {
    fn property(history: Vec<Vec<u8>>, behind: usize) -> bool {
        let mut ahead = VersionedDocument::default();
        let mut late = VersionedDocument::default();
        let stop = behind % (history.len() + 1);
        for (index, numbers) in history.iter().enumerate() {
            let version = ObjectVersion(index as u64 + 1);
            ahead.replace(version, items(numbers));
            if index < stop {
                late.replace(version, items(numbers));
            }
        }
        if let Some(patch) = ahead.patch(&roster_id(), late.version()) {
            late.apply(patch);
        }
        late.version() == ahead.version() && late.items().eq(ahead.items())
    }
    quickcheck().quickcheck(property as fn(Vec<Vec<u8>>, usize) -> bool);
}

fn control() -> EntryControl {
    EntryControl::new(entry(1, "honam-1"), Vec::new(), 1, TimePoint(0))
}

#[test]
fn whatever_arrives_in_whatever_order_no_document_reverts() {
    fn property(events: Vec<(u8, u8, Vec<u8>)>) -> bool {
        let mut control = control();
        let mut seen = 0;
        for (step, (kind, version, numbers)) in events.iter().enumerate() {
            let now = TimePoint(step as u64 * 50);
            let version = ObjectVersion(u64::from(*version));
            let event = if kind % 2 == 0 {
                ControlEvent::Loaded {
                    id: roster_id(),
                    version,
                    items: items(numbers),
                }
            } else {
                let mut peer = VersionedDocument::default();
                peer.replace(version, items(numbers));
                let since = ObjectVersion(u64::from(kind / 2) % 3);
                let patch = peer.patch(&roster_id(), since);
                ControlEvent::Pulled(patch.into_iter().collect())
            };
            let actions = control.handle(event, now);
            let now_in_force = control.documents().version(&roster_id()).0;
            let told = actions.iter().any(|action| {
                matches!(action, ControlAction::InForce(_, told) if told.0 == now_in_force)
            });
            if now_in_force < seen || told != (now_in_force > seen) {
                return false;
            }
            seen = now_in_force;
        }
        true
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, u8, Vec<u8>)>) -> bool);
}

fn heartbeat(control: &EntryControl, recent: Vec<(DocumentId, ObjectVersion)>) -> Heartbeat {
    Heartbeat {
        entry: entry(2, "honam-1"),
        summary: control.documents().summary() ^ 1,
        age: Duration::ZERO,
        recent,
    }
}

#[test]
fn a_heartbeat_that_names_something_newer_is_followed_by_one_pull() {
    let mut control = control();
    let update = heartbeat(&control, vec![(roster_id(), ObjectVersion(4))]);
    let pulls = |actions: Vec<ControlAction>| {
        actions
            .into_iter()
            .filter(|action| matches!(action, ControlAction::Pull(..)))
            .count()
    };
    let first = control.handle(
        ControlEvent::HeartbeatReceived(update.clone()),
        TimePoint(0),
    );
    let again = control.handle(
        ControlEvent::HeartbeatReceived(update.clone()),
        TimePoint(100),
    );
    let later = control.handle(ControlEvent::HeartbeatReceived(update), TimePoint(5_000));
    assert_eq!((pulls(first), pulls(again), pulls(later)), (1, 0, 1));
}

#[test]
fn a_pull_that_failed_is_tried_again_with_the_next_heartbeat() {
    let mut control = control();
    let update = heartbeat(&control, vec![(roster_id(), ObjectVersion(4))]);
    let pulls = |actions: Vec<ControlAction>| {
        let is_pull = |action: &ControlAction| matches!(action, ControlAction::Pull(..));
        actions.iter().any(is_pull)
    };
    assert!(pulls(control.handle(
        ControlEvent::HeartbeatReceived(update.clone()),
        TimePoint(0)
    )));
    control.handle(ControlEvent::PullFailed(vec![roster_id()]), TimePoint(100));
    assert!(pulls(control.handle(
        ControlEvent::HeartbeatReceived(update),
        TimePoint(500)
    )));
}

#[test]
fn knowledge_is_fresh_only_by_the_platform_or_an_equal_peer() {
    let mut control = control();
    let mut update = heartbeat(&control, Vec::new());
    control.handle(
        ControlEvent::HeartbeatReceived(update.clone()),
        TimePoint(10_000),
    );
    assert_eq!(
        control.confirmation_age(TimePoint(10_000)),
        None,
        "the peer differs"
    );
    update.summary = control.documents().summary();
    update.age = Duration::from_secs(2);
    control.handle(ControlEvent::HeartbeatReceived(update), TimePoint(10_000));
    assert_eq!(
        control.confirmation_age(TimePoint(10_000)),
        Some(Duration::from_secs(2))
    );
    let stale = ControlEvent::VersionsListed {
        list: Vec::new(),
        stale: true,
    };
    control.handle(stale, TimePoint(12_000));
    assert_eq!(
        control.confirmation_age(TimePoint(12_000)),
        Some(Duration::from_secs(4))
    );
    let list = ControlEvent::VersionsListed {
        list: Vec::new(),
        stale: false,
    };
    control.handle(list, TimePoint(12_000));
    assert_eq!(
        control.confirmation_age(TimePoint(12_000)),
        Some(Duration::ZERO)
    );
}

#[test]
fn an_entry_that_is_not_listed_puts_itself_on_the_list() {
    let mut control = control();
    let mut written = Vec::new();
    for at in (0..3_000).step_by(50) {
        let now = TimePoint(at);
        while let Some(part) = control.poll_timer(now) {
            written.extend(
                control
                    .handle(ControlEvent::Tick(part), now)
                    .into_iter()
                    .filter(|action| matches!(action, ControlAction::WriteMembers(..))),
            );
        }
    }
    assert_eq!(written.len(), 1, "{written:?}");
}

// What a view says of a service, in words.
fn describe(control: &EntryControl) -> Vec<String> {
    let mut lines: Vec<_> = control
        .view()
        .ids()
        .map(|id| {
            let service = control.view().service(id).unwrap();
            let hosts: Vec<_> = service
                .hosts()
                .iter()
                .map(|host| format!("{} {}", host.record.name, host.state))
                .collect();
            format!("{id} {} {}", service.spec.address, hosts.join(", "))
        })
        .collect();
    lines.sort();
    lines
}

fn roster(datacenter: &str, version: u64, numbers: &[u8]) -> ControlEvent {
    let items = items(numbers)
        .into_iter()
        .map(|item| match item {
            DocumentItem::Host(record) => {
                let mut record = HostRecord::clone(&record);
                record.name = format!("{}-{datacenter}", record.name).parse().unwrap();
                if version.is_multiple_of(2) {
                    record.service = "dalbit/patterns".parse().unwrap();
                }
                DocumentItem::Host(Arc::new(record))
            }
            other => other,
        })
        .collect();
    ControlEvent::Loaded {
        id: DocumentId::new(DocumentKind::Roster, datacenter),
        version: ObjectVersion(version),
        items,
    }
}

fn manifest(version: u64, choice: u8) -> ControlEvent {
    let spec = |name: &str, host: u8| {
        let mut spec = common::spec();
        spec.id = format!("dalbit/{name}").parse().unwrap();
        spec.address = format!("10.20.0.{host}:7000").parse().unwrap();
        DocumentItem::Service(Arc::new(spec))
    };
    let items = match choice % 4 {
        0 => vec![spec("catalogue", 1), spec("patterns", 2)],
        1 => vec![spec("catalogue", 2), spec("patterns", 1)],
        2 => vec![spec("patterns", 2)],
        // An address of the other firm.
        _ => vec![spec("catalogue", 1), spec("patterns", 200)],
    };
    ControlEvent::Loaded {
        id: DocumentId::new(DocumentKind::Manifest, "dalbit"),
        version: ObjectVersion(version),
        items,
    }
}

fn grants(version: u64, choice: u8) -> ControlEvent {
    let grant = |block: &str, firm: &str| DocumentItem::Grant(block.parse().unwrap(), firm.into());
    let mut items = vec![
        grant("10.20.0.0/25", "dalbit"),
        grant("10.20.0.128/25", "calinawan"),
    ];
    if choice.is_multiple_of(3) {
        items.push(grant("10.20.0.0/30", "calinawan"));
    }
    ControlEvent::Loaded {
        id: DocumentId::new(DocumentKind::Grants, "all"),
        version: ObjectVersion(version),
        items,
    }
}

#[test]
fn a_view_grown_by_changes_is_the_view_built_at_once() {
    fn property(steps: Vec<(u8, Vec<u8>)>) -> bool {
        let mut grown = control();
        let mut last: BTreeMap<u8, ControlEvent> = BTreeMap::new();
        for (step, (choice, numbers)) in steps.iter().enumerate() {
            let version = step as u64 + 1;
            let event = match choice % 4 {
                0 => roster("honam-1", version, numbers),
                1 => roster("honam-2", version, numbers),
                2 => manifest(version, choice / 4),
                _ => grants(version, choice / 4),
            };
            grown.handle(event.clone(), TimePoint(0));
            last.insert(choice % 4, event);
        }
        let mut fresh = control();
        for event in last.into_values() {
            fresh.handle(event, TimePoint(0));
        }
        describe(&grown) == describe(&fresh)
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, Vec<u8>)>) -> bool);
}

#[test]
fn an_address_of_the_other_firm_or_of_two_firms_is_nobodys() {
    let mut control = control();
    control.handle(grants(1, 1), TimePoint(0));
    control.handle(manifest(2, 3), TimePoint(0));
    assert_eq!(
        describe(&control).len(),
        1,
        "patterns is at a foreign address"
    );
    control.handle(grants(3, 0), TimePoint(0));
    assert_eq!(describe(&control).len(), 0, "the block is granted twice");
    control.handle(grants(4, 1), TimePoint(0));
    assert_eq!(describe(&control).len(), 1);
}

// What a peer answers to a pull: what is wanted, everything if nothing is named.
fn answer_pull(ahead: &EntryControl, wanted: &[(DocumentId, ObjectVersion)]) -> ControlEvent {
    let documents = ahead.documents();
    let patches = documents.iter().filter_map(|(id, document)| {
        let named = wanted.iter().find(|(known, _)| known == id);
        match named {
            Some((_, since)) => document.patch(id, *since),
            None if wanted.is_empty() => document.patch(id, ObjectVersion(0)),
            None => None,
        }
    });
    ControlEvent::Pulled(patches.collect())
}

#[test]
fn a_manifest_arrives_though_all_other_documents_keep_changing() {
    const OTHERS: usize = 8;
    // A configuration has to be in force within this time.
    const IN_FORCE_MS: u64 = 5_000;
    let manifest = DocumentId::new(DocumentKind::Manifest, "dalbit");
    let mut ahead = control();
    let mut late = EntryControl::new(entry(2, "honam-1"), Vec::new(), 2, TimePoint(0));
    let load = |id: DocumentId, version: u64| ControlEvent::Loaded {
        id,
        version: ObjectVersion(version),
        items: Vec::new(),
    };
    ahead.handle(load(manifest.clone(), 1), TimePoint(0));
    let mut version = 1;
    for at in (500..=IN_FORCE_MS).step_by(500) {
        let now = TimePoint(at);
        for number in 0..OTHERS {
            version += 1;
            let name = format!("honam-{number}");
            let id = DocumentId::new(DocumentKind::Roster, &name);
            ahead.handle(load(id, version), now);
        }
        // An entry VM that knows nobody answers a heartbeat with its own.
        let stranger = heartbeat(&late, Vec::new());
        let answers = ahead.handle(ControlEvent::HeartbeatReceived(stranger), now);
        for action in answers {
            let ControlAction::Heartbeat(_, update) = action else {
                continue;
            };
            for action in late.handle(ControlEvent::HeartbeatReceived(update), now) {
                if let ControlAction::Pull(_, wanted) = action {
                    late.handle(answer_pull(&ahead, &wanted), now);
                }
            }
        }
    }
    assert_eq!(late.documents().version(&manifest), ObjectVersion(1));
}
