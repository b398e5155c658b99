//! Documents and the control plane of an entry VM, in part under random events.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::document::{HELD_VERSION_LIMIT, TOMBSTONE_LIMIT, VersionedDocument};
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, DocumentPatch,
    EntryControl, FeedConfirmation, FeedIndex, Heartbeat, HostRecord, HostState, ObjectVersion,
    ServiceKind, TimePoint,
};
use common::{SEED, entry, host, quickcheck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn roster_id() -> DocumentId {
    DocumentId::new(DocumentKind::Roster, "honam-1")
}

fn items(numbers: &[u8]) -> Vec<DocumentItem> {
    numbers
        .iter()
        .map(|number| {
            // The state depends on the length of the list, so that hosts of both the old and the
            // new list change too.
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
fn patch_updates_document_to_version_of_peer() {
    fn property(history: Vec<Vec<u8>>, received_seed: usize) -> bool {
        let mut newer = VersionedDocument::default();
        let mut outdated = VersionedDocument::default();
        let received = received_seed % (history.len() + 1);
        for (index, numbers) in history.iter().enumerate() {
            let version = ObjectVersion(u128::from(index as u64 + 1));
            newer.replace(version, items(numbers));
            if index < received {
                outdated.replace(version, items(numbers));
            }
        }
        if let Some(patch) = newer.patch(&roster_id(), outdated.version()) {
            outdated.apply(patch);
        }
        outdated.version() == newer.version() && outdated.items().eq(newer.items())
    }
    quickcheck().quickcheck(property as fn(Vec<Vec<u8>>, usize) -> bool);
}

// Seen on the users' bench (sauveteurs-baie trouble-3, seed 1): an entry VM that had just
// started had loaded version 42 of a roster; its patch for peers at version 35 had no
// removals, and four of them kept a host that had left.
#[test]
fn patch_of_peer_that_missed_versions_removes_what_it_lacks() {
    for first_version in [0, 3] {
        let mut newer = VersionedDocument::default();
        newer.replace(ObjectVersion(first_version), items(&[1]));
        let mut outdated = VersionedDocument::default();
        outdated.replace(ObjectVersion(5), items(&[1, 2]));
        newer.replace(ObjectVersion(9), items(&[1]));
        let patch = newer.patch(&roster_id(), outdated.version()).unwrap();
        outdated.apply(patch);
        assert!(
            outdated.items().eq(newer.items()),
            "the peer began at version {first_version}"
        );
    }
}

// Returns a document that was replaced by each of these versions in turn.
fn document(versions: &[(u64, &[u8])]) -> VersionedDocument {
    let mut document = VersionedDocument::default();
    for (version, numbers) in versions {
        document.replace(ObjectVersion(u128::from(*version)), items(numbers));
    }
    document
}

fn patch(document: &VersionedDocument, since: u64) -> DocumentPatch {
    document
        .patch(&roster_id(), ObjectVersion(since.into()))
        .unwrap()
}

#[test]
fn peer_at_version_that_was_not_held_gets_whole_document_and_loses_what_it_lacks() {
    let newer = document(&[(5, &[1, 2]), (9, &[1])]);
    let mut outdated = document(&[(7, &[1, 2, 3])]);
    let whole = patch(&newer, 7);
    assert_eq!((whole.since, whole.items.len()), (None, 1));
    outdated.apply(whole);
    assert!(outdated.items().eq(newer.items()));
}

#[test]
fn peer_at_version_that_was_held_gets_only_the_difference() {
    let mut newer = document(&[(3, &[1, 2, 3, 4]), (5, &[1, 2, 3]), (7, &[1, 2, 5])]);
    let held = newer.version().revision_u64();
    newer.apply(patch(&document(&[(7, &[1, 2, 5]), (9, &[1, 2, 6])]), held));
    let difference = |since: u64| {
        let difference = patch(&newer, since);
        assert_eq!(difference.since, Some(ObjectVersion(since.into())));
        let removed = difference.removed.into_iter().map(|(key, _)| key);
        (difference.items.len(), removed.collect::<Vec<_>>())
    };
    assert_eq!(difference(7), (1, vec!["host-5".into()]));
    assert_eq!(difference(5), (1, vec!["host-3".into(), "host-5".into()]));
    // The number of hosts in version 3 is even, so that all have another state there.
    let all_removed = vec!["host-3".into(), "host-4".into(), "host-5".into()];
    assert_eq!(difference(3), (3, all_removed));
}

#[test]
fn document_received_whole_gives_differences_only_since_then() {
    let newer = document(&[(9, &[1])]);
    let mut received = document(&[(5, &[1, 2])]);
    received.apply(patch(&newer, 5));
    received.replace(ObjectVersion(11), items(&[3]));
    let bases = [5, 7, 9].map(|since| patch(&received, since).since);
    assert_eq!(bases, [None, None, Some(ObjectVersion(9))]);
}

#[test]
fn peer_at_version_before_the_newest_held_ones_gets_whole_document() {
    let last = HELD_VERSION_LIMIT as u64 + 1;
    let mut newer = VersionedDocument::default();
    for version in 1..=last {
        newer.replace(ObjectVersion(version.into()), items(&[version as u8]));
    }
    let bases = [1, 2].map(|since| patch(&newer, since).since);
    assert_eq!(bases, [None, Some(ObjectVersion(2))]);
}

#[test]
fn peer_at_version_before_a_pruned_removal_gets_whole_document() {
    let hosts = |count: usize| -> Vec<DocumentItem> {
        (0..count)
            .map(|number| DocumentItem::Host(Arc::new(host(number, HostState::Serving))))
            .collect()
    };
    let mut newer = VersionedDocument::default();
    let mut outdated = VersionedDocument::default();
    outdated.replace(ObjectVersion(1), hosts(TOMBSTONE_LIMIT + 1));
    for (version, count) in [(1, TOMBSTONE_LIMIT + 1), (2, TOMBSTONE_LIMIT), (3, 0)] {
        newer.replace(ObjectVersion(version), hosts(count));
    }
    let bases = [1, 2].map(|since| patch(&newer, since).since);
    assert_eq!(bases, [None, Some(ObjectVersion(2))]);
    outdated.apply(patch(&newer, 1));
    assert_eq!(outdated.items().count(), 0);
}

// A document, and the replies of peers that it has not received yet.
#[derive(Default)]
struct Node {
    document: VersionedDocument,
    replies: Vec<DocumentPatch>,
}

#[test]
fn nodes_that_load_skip_restart_and_pull_in_random_order_hold_content_of_their_version() {
    const ROUNDS: u64 = 300;
    for seed in SEED..SEED + ROUNDS {
        println!("seed {seed}");
        let (nodes, contents) = run_nodes(seed);
        assert_all_hold_newest_after_pulls(nodes, &contents);
    }
}

const NODES: usize = 4;

// Runs nodes in random order of steps. Returns them, and the content of each version.
fn run_nodes(seed: u64) -> ([Node; NODES], Vec<Vec<DocumentItem>>) {
    const STEPS: usize = 300;
    const HOSTS: usize = 6;
    // Number of versions that may be written while a read is in flight.
    const READ_LAG: usize = 3;
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts = BTreeMap::new();
    let mut contents = vec![Vec::new()];
    let mut nodes: [Node; NODES] = Default::default();
    for step in 0..STEPS {
        let peer = nodes[random.random_range(0..NODES)].document.clone();
        let Node { document, replies } = &mut nodes[random.random_range(0..NODES)];
        match random.random_range(0..32) {
            0..10 => {
                change_host(&mut hosts, random.random_range(0..HOSTS), &mut random);
                contents.push(hosts.values().cloned().collect());
            }
            10..18 => {
                let lag = random.random_range(0..=READ_LAG);
                let version = (contents.len() - 1).saturating_sub(lag);
                document.replace(
                    ObjectVersion(u128::from(version as u64)),
                    contents[version].clone(),
                );
            }
            18..26 => replies.extend(peer.patch(&roster_id(), document.version())),
            26..31 => {
                for reply in replies.drain(..) {
                    document.apply(reply);
                }
            }
            _ => *document = VersionedDocument::default(),
        }
        assert!(
            holds_content_of_its_version(document, &contents),
            "after step {step}"
        );
    }
    (nodes, contents)
}

fn assert_all_hold_newest_after_pulls(mut nodes: [Node; NODES], contents: &[Vec<DocumentItem>]) {
    let newest = nodes.iter().map(|node| node.document.version()).max();
    for puller in 0..NODES {
        for peer in 0..NODES {
            let since = nodes[puller].document.version();
            if let Some(reply) = nodes[peer].document.patch(&roster_id(), since) {
                nodes[puller].document.apply(reply);
            }
        }
    }
    for Node { document, .. } in &nodes {
        assert_eq!(Some(document.version()), newest);
        assert!(holds_content_of_its_version(document, contents));
    }
}

// Removes a host or puts it in one of two states.
fn change_host(hosts: &mut BTreeMap<usize, DocumentItem>, number: usize, random: &mut StdRng) {
    let states = [HostState::Serving, HostState::Leaving];
    match states.get(random.random_range(0..2 * states.len())) {
        Some(state) => {
            let record = Arc::new(host(number, *state));
            hosts.insert(number, DocumentItem::Host(record));
        }
        None => {
            hosts.remove(&number);
        }
    }
}

fn holds_content_of_its_version(
    document: &VersionedDocument,
    contents: &[Vec<DocumentItem>],
) -> bool {
    document
        .items()
        .eq(&contents[document.version().0 as usize])
}

#[test]
fn difference_is_rejected_by_document_that_loaded_later_version_than_its_base() {
    let mut peer = VersionedDocument::default();
    let mut document = VersionedDocument::default();
    for document in [&mut peer, &mut document] {
        document.replace(ObjectVersion(5), items(&[1]));
    }
    peer.replace(ObjectVersion(9), items(&[1]));
    let difference = peer.patch(&roster_id(), document.version()).unwrap();
    assert_eq!(difference.since, Some(ObjectVersion(5)));
    document.replace(ObjectVersion(7), items(&[1, 2, 3]));
    assert_eq!(document.apply(difference), None);
    assert_eq!(document.version(), ObjectVersion(7));
    assert!(document.items().eq(&items(&[1, 2, 3])));
}

fn control() -> EntryControl {
    EntryControl::new(entry(1, "honam-1"), Vec::new(), 1, TimePoint(0))
}

#[test]
fn documents_never_revert_under_random_events() {
    fn property(events: Vec<(u8, u8, Vec<u8>)>) -> bool {
        let mut control = control();
        let mut last_in_force = 0;
        for (step, (kind, version, numbers)) in events.iter().enumerate() {
            let now = TimePoint(step as u64 * 50);
            let version = ObjectVersion(u64::from(*version).into());
            let event = if kind % 2 == 0 {
                ControlEvent::Loaded {
                    id: roster_id(),
                    version,
                    items: items(numbers),
                }
            } else {
                // The peer gives a difference from versions that it held: that of the local
                // document, and one that the local document mostly does not have.
                let since = match kind / 2 % 3 {
                    0 => ObjectVersion(0),
                    1 => control.documents().version(&roster_id()),
                    _ => ObjectVersion(version.0 / 2),
                };
                let mut peer = VersionedDocument::default();
                peer.replace(since, items(&[1]));
                peer.replace(version, items(numbers));
                let patch = peer.patch(&roster_id(), since);
                ControlEvent::Pulled(patch.into_iter().collect())
            };
            let actions = control.handle(event, now);
            let in_force = control.documents().version(&roster_id()).0;
            let reported = actions.iter().any(|action| {
                matches!(action, ControlAction::InForce(_, version) if version.0 == in_force)
            });
            if in_force < last_in_force || reported != (in_force > last_in_force) {
                return false;
            }
            last_in_force = in_force;
        }
        true
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, u8, Vec<u8>)>) -> bool);
}

// Returns the heartbeat of a peer whose versions differ from those of `control`.
// The platform confirms all documents.
fn confirmed(at: TimePoint) -> ControlEvent {
    ControlEvent::VersionsListed {
        list: Vec::new(),
        confirms: Some(FeedConfirmation {
            feed: FeedIndex(0),
            at,
        }),
    }
}

fn heartbeat(control: &EntryControl, recent: Vec<(DocumentId, ObjectVersion)>) -> Heartbeat {
    Heartbeat {
        entry: entry(2, "honam-1"),
        summary: control.documents().summary() ^ 1,
        operators_age: Duration::ZERO,
        unreadable_age: Duration::MAX,
        fleet_age: Duration::ZERO,
        recent,
    }
}

#[test]
fn heartbeat_with_newer_version_triggers_pull_unless_one_is_in_flight() {
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
fn failed_pull_is_retried_at_next_heartbeat() {
    let mut control = control();
    let update = heartbeat(&control, vec![(roster_id(), ObjectVersion(4))]);
    let has_pull = |actions: Vec<ControlAction>| {
        let is_pull = |action: &ControlAction| matches!(action, ControlAction::Pull(..));
        actions.iter().any(is_pull)
    };
    assert!(has_pull(control.handle(
        ControlEvent::HeartbeatReceived(update.clone()),
        TimePoint(0)
    )));
    control.handle(ControlEvent::PullFailed(vec![roster_id()]), TimePoint(100));
    assert!(has_pull(control.handle(
        ControlEvent::HeartbeatReceived(update),
        TimePoint(500)
    )));
}

#[test]
fn difference_outdated_by_load_is_pulled_again_at_next_heartbeat() {
    let mut control = control();
    let load = |version: u64, numbers: &[u8]| ControlEvent::Loaded {
        id: roster_id(),
        version: ObjectVersion(version.into()),
        items: items(numbers),
    };
    control.handle(load(5, &[1]), TimePoint(0));
    let peer = document(&[(5, &[1]), (9, &[1])]);
    let update = heartbeat(&control, vec![(roster_id(), ObjectVersion(9))]);
    for (now, since, loaded) in [(0, 5_u64, Some(7)), (500, 7, None)] {
        let now = TimePoint(now);
        let actions = control.handle(ControlEvent::HeartbeatReceived(update.clone()), now);
        let wanted = vec![(roster_id(), ObjectVersion(since.into()))];
        let pull = ControlAction::Pull(update.entry.status, wanted);
        assert!(actions.contains(&pull), "{actions:?}");
        if let Some(version) = loaded {
            control.handle(load(version, &[1, 2, 3]), now);
        }
        control.handle(ControlEvent::Pulled(vec![patch(&peer, since)]), now);
    }
    let documents = control.documents();
    assert_eq!(documents.version(&roster_id()), ObjectVersion(9));
    assert!(
        documents
            .get(&roster_id())
            .unwrap()
            .items()
            .eq(peer.items())
    );
}

#[test]
fn documents_are_confirmed_only_by_platform_or_peer_of_equal_versions() {
    let mut control = control();
    let mut update = heartbeat(&control, Vec::new());
    control.handle(
        ControlEvent::HeartbeatReceived(update.clone()),
        TimePoint(10_000),
    );
    assert_eq!(
        control.confirmation_age(TimePoint(10_000)),
        None,
        "the peer has other versions"
    );
    update.summary = control.documents().summary();
    (update.operators_age, update.fleet_age) = (Duration::from_secs(2), Duration::from_secs(2));
    control.handle(ControlEvent::HeartbeatReceived(update), TimePoint(10_000));
    assert_eq!(
        control.confirmation_age(TimePoint(10_000)),
        Some(Duration::from_secs(2))
    );
    let stale = ControlEvent::VersionsListed {
        list: Vec::new(),
        confirms: None,
    };
    control.handle(stale, TimePoint(12_000));
    assert_eq!(
        control.confirmation_age(TimePoint(12_000)),
        Some(Duration::from_secs(4))
    );
    control.handle(confirmed(TimePoint(12_000)), TimePoint(12_000));
    assert_eq!(
        control.confirmation_age(TimePoint(12_000)),
        Some(Duration::ZERO)
    );
}

#[test]
fn rejected_patch_and_load_of_missing_document_leave_versions_equal_to_those_of_peer() {
    let mut control = control();
    let mut update = heartbeat(&control, Vec::new());
    update.summary = control.documents().summary();
    let difference = patch(&document(&[(5, &[1]), (9, &[1, 2])]), 5);
    let load = ControlEvent::Loaded {
        id: roster_id(),
        version: ObjectVersion(0),
        items: items(&[1]),
    };
    for rejected in [ControlEvent::Pulled(vec![difference]), load] {
        control.handle(rejected, TimePoint(0));
        let actions = control.handle(
            ControlEvent::HeartbeatReceived(update.clone()),
            TimePoint(5_000),
        );
        assert!(actions.is_empty(), "{actions:?}");
        assert_eq!(control.documents().get(&roster_id()), None);
    }
}

#[test]
fn rejected_patch_and_load_copy_no_document() {
    let mut control = control();
    let load = |version: u64| ControlEvent::Loaded {
        id: roster_id(),
        version: ObjectVersion(version.into()),
        items: items(&[1]),
    };
    control.handle(load(7), TimePoint(0));
    let shared = control.documents().clone();
    let difference = patch(&document(&[(5, &[1]), (9, &[1, 2])]), 5);
    for rejected in [load(7), ControlEvent::Pulled(vec![difference])] {
        control.handle(rejected, TimePoint(0));
        let [before, after] = [&shared, control.documents()].map(|store| store.get(&roster_id()));
        assert!(std::ptr::eq(before.unwrap(), after.unwrap()));
    }
}

// Guards against FLOW breaches of a trial: just after its start, an entry VM routed by the
// first roster that it had read, and reset flows of hosts in the others.
#[test]
fn view_is_confirmed_only_with_all_documents_that_the_platform_listed() {
    let mut control = control();
    let at = |ms: u64| TimePoint(1_000 + ms);
    control.handle(grants(1, 1), at(0));
    let mut manifest = manifest(2, 0);
    if let ControlEvent::Loaded { items, .. } = &mut manifest {
        for item in items {
            if let DocumentItem::Service(spec) = item {
                Arc::make_mut(spec).kind = ServiceKind::Passthrough;
            }
        }
    }
    control.handle(manifest, at(0));
    control.handle(roster("honam-1", 3, &[1]), at(1));
    control.handle(roster("honam-2", 5, &[2, 3]), at(2));
    control.handle(confirmed(at(3)), at(3));
    assert_eq!(control.confirmed_at(), Some(at(3)));
    let hosts = |control: &EntryControl| -> usize {
        let view = control.view();
        view.services().map(|service| service.hosts().len()).sum()
    };
    assert_eq!(
        hosts(&control),
        3,
        "the first view of all documents is not delayed"
    );
    assert_eq!(control.view_confirmed_at(), Some(at(3)));
    // A later change waits for the next view, which is confirmed only then.
    control.handle(roster("honam-1", 7, &[1, 4]), at(4));
    control.handle(confirmed(at(5)), at(5));
    assert_eq!(
        (hosts(&control), control.view_confirmed_at()),
        (3, Some(at(3)))
    );
    for ms in 5..300 {
        control.poll_view(at(ms));
        let is_confirmed = control.view_confirmed_at() == Some(at(5));
        assert_eq!(is_confirmed, hosts(&control) == 4, "after {ms} ms");
    }
}

#[test]
fn unlisted_entry_writes_members_once_while_write_is_in_flight() {
    let mut control = control();
    let mut written = Vec::new();
    for at in (0..3_000).step_by(50) {
        let now = TimePoint(at);
        while let Some(kind) = control.poll_timer(now) {
            written.extend(
                control
                    .handle(ControlEvent::Tick(kind), now)
                    .into_iter()
                    .filter(|action| matches!(action, ControlAction::WriteMembers(..))),
            );
        }
    }
    assert_eq!(written.len(), 1, "{written:?}");
}

// Describes each service of the view in one line.
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
        version: ObjectVersion(version.into()),
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
        // The second address is granted to the other firm.
        _ => vec![spec("catalogue", 1), spec("patterns", 200)],
    };
    ControlEvent::Loaded {
        id: DocumentId::new(DocumentKind::Manifest, "dalbit"),
        version: ObjectVersion(version.into()),
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
        version: ObjectVersion(version.into()),
        items,
    }
}

#[test]
fn incremental_view_equals_view_built_from_scratch() {
    fn property(steps: Vec<(u8, Vec<u8>)>) -> bool {
        let mut incremental = control();
        let mut latest: BTreeMap<u8, ControlEvent> = BTreeMap::new();
        for (step, (choice, numbers)) in steps.iter().enumerate() {
            let version = step as u64 + 1;
            let event = match choice % 4 {
                0 => roster("honam-1", version, numbers),
                1 => roster("honam-2", version, numbers),
                2 => manifest(version, choice / 4),
                _ => grants(version, choice / 4),
            };
            incremental.handle(event.clone(), TimePoint(0));
            latest.insert(choice % 4, event);
        }
        let mut fresh = control();
        for event in latest.into_values() {
            fresh.handle(event, TimePoint(0));
        }
        describe(&incremental) == describe(&fresh)
    }
    quickcheck().quickcheck(property as fn(Vec<(u8, Vec<u8>)>) -> bool);
}

#[test]
fn service_at_address_of_other_firm_or_two_firms_is_excluded() {
    let mut control = control();
    control.handle(grants(1, 1), TimePoint(0));
    control.handle(manifest(2, 3), TimePoint(0));
    assert_eq!(
        describe(&control).len(),
        1,
        "the address of patterns is granted to the other firm"
    );
    control.handle(grants(3, 0), TimePoint(0));
    assert_eq!(
        describe(&control).len(),
        0,
        "the block is granted to two firms"
    );
    control.handle(grants(4, 1), TimePoint(0));
    assert_eq!(describe(&control).len(), 1);
}

// Returns the response of a peer to a pull: the wanted documents, or all documents if
// `wanted` is empty.
fn pull_response(newer: &EntryControl, wanted: &[(DocumentId, ObjectVersion)]) -> ControlEvent {
    let documents = newer.documents();
    let patches = documents.iter().filter_map(|(id, document)| {
        let requested = wanted.iter().find(|(wanted_id, _)| wanted_id == id);
        match requested {
            Some((_, since)) => document.patch(id, *since),
            None if wanted.is_empty() => document.patch(id, ObjectVersion(0)),
            None => None,
        }
    });
    ControlEvent::Pulled(patches.collect())
}

// Guards against a manifest that never reaches a peer: heartbeats list only the most recent
// changes, from which constant changes of other documents displace it.
#[test]
fn manifest_is_pulled_while_all_other_documents_keep_changing() {
    const OTHER_DOCUMENTS: usize = 8;
    // Time within which a configuration has to be in force.
    const IN_FORCE_MS: u64 = 5_000;
    let manifest = DocumentId::new(DocumentKind::Manifest, "dalbit");
    let mut newer = control();
    let mut outdated = EntryControl::new(entry(2, "honam-1"), Vec::new(), 2, TimePoint(0));
    let load = |id: DocumentId, version: u64| ControlEvent::Loaded {
        id,
        version: ObjectVersion(version.into()),
        items: Vec::new(),
    };
    newer.handle(load(manifest.clone(), 1), TimePoint(0));
    let mut version = 1;
    for at in (500..=IN_FORCE_MS).step_by(500) {
        let now = TimePoint(at);
        for number in 0..OTHER_DOCUMENTS {
            version += 1;
            let name = format!("honam-{number}");
            let id = DocumentId::new(DocumentKind::Roster, &name);
            newer.handle(load(id, version), now);
        }
        // An entry VM replies with a heartbeat to a sender that is not in its members.
        let unknown_sender = heartbeat(&outdated, Vec::new());
        let replies = newer.handle(ControlEvent::HeartbeatReceived(unknown_sender), now);
        for action in replies {
            let ControlAction::Heartbeat(_, update) = action else {
                continue;
            };
            for action in outdated.handle(ControlEvent::HeartbeatReceived(update), now) {
                if let ControlAction::Pull(_, wanted) = action {
                    outdated.handle(pull_response(&newer, &wanted), now);
                }
            }
        }
    }
    assert_eq!(outdated.documents().version(&manifest), ObjectVersion(1));
}

// On the users' bench, entry VMs that were rolled went on watching for the rest of the day: they
// knew the other members before their first check of their duties.
#[test]
fn entry_vm_that_knows_the_members_at_its_first_check_stops_watching() {
    let members = DocumentId::new(DocumentKind::Members, "honam-1");
    let watches_after_start = |number: usize| {
        let me = entry(number, "honam-1");
        let mut control = EntryControl::new(me, Vec::new(), 1, TimePoint(0));
        assert!(control.is_watching());
        let entries = (0..9).map(|number| DocumentItem::Entry(entry(number, "honam-1")));
        control.handle(
            ControlEvent::Loaded {
                id: members.clone(),
                version: ObjectVersion(1),
                items: entries.collect(),
            },
            TimePoint(1),
        );
        let mut watches = true;
        for at in [200, 400] {
            while let Some(kind) = control.poll_timer(TimePoint(at)) {
                for action in control.handle(ControlEvent::Tick(kind), TimePoint(at)) {
                    if let ControlAction::Watch(enabled) = action {
                        watches = enabled;
                    }
                }
            }
        }
        assert_eq!(watches, control.is_watching());
        watches
    };
    let watchers = (0..9).filter(|number| watches_after_start(*number));
    assert_eq!(watchers.count(), 1);
}

// An entry VM without time left handles events late; it must not count as up to date.
#[test]
fn confirmation_is_as_old_as_the_event_that_brought_it() {
    let start = || {
        let me = entry(1, "honam-1");
        EntryControl::new(me, Vec::new(), 1, TimePoint(0))
    };
    let (arrived_at, now) = (TimePoint(10_000), TimePoint(16_000));
    let mut listed = start();
    listed.handle_arrived(confirmed(arrived_at), arrived_at, now);
    assert_eq!(listed.confirmation_age(now), Some(Duration::from_secs(6)));
    let mut told = start();
    let heartbeat = Heartbeat {
        entry: entry(2, "honam-1"),
        summary: told.documents().summary(),
        operators_age: Duration::from_secs(1),
        unreadable_age: Duration::MAX,
        fleet_age: Duration::from_secs(1),
        recent: Vec::new(),
    };
    let event = ControlEvent::HeartbeatReceived(heartbeat);
    told.handle_arrived(event, arrived_at, now);
    assert_eq!(told.confirmation_age(now), Some(Duration::from_secs(7)));
    // The next event has not waited.
    told.handle(confirmed(now), now);
    assert_eq!(told.confirmation_age(now), Some(Duration::ZERO));
}

// Gossip of a change had the largest age, on the wire in milliseconds, and so has every heartbeat
// of an entry VM without a confirmation. One that waited for a millisecond was taken for a
// confirmation of this moment.
#[test]
fn heartbeat_without_a_confirmation_confirms_nothing_however_long_it_waited() {
    for age in [Duration::MAX, Duration::from_millis(u64::MAX)] {
        for lag_ms in [0, 1, 2, 700] {
            let mut control = control();
            let heartbeat = Heartbeat {
                operators_age: age,
                unreadable_age: Duration::MAX,
                fleet_age: age,
                summary: control.documents().summary(),
                ..heartbeat(&control, Vec::new())
            };
            let now = TimePoint(90_000_000);
            let arrived_at = TimePoint(now.0 - lag_ms);
            let event = ControlEvent::HeartbeatReceived(heartbeat);
            control.handle_arrived(event, arrived_at, now);
            assert_eq!(control.confirmed_at(), None, "{age:?}, {lag_ms} ms");
        }
    }
}
