//! Versions of documents: their order and text, and patches between eras of the store.

mod common;

use std::sync::Arc;

use chestnutlb_core::document::{DocumentStore, VersionedDocument};
use chestnutlb_core::ids::{IdError, REVISION_BITS};
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, HostState,
    ObjectVersion, StoreEra, StoreRevision, TimePoint,
};
use common::{entry, host, quickcheck};

fn version(era: u64, revision: u64) -> ObjectVersion {
    ObjectVersion::new(StoreEra(era), StoreRevision(revision.into())).unwrap()
}

fn roster_id() -> DocumentId {
    DocumentId::new(DocumentKind::Roster, "honam-1")
}

fn hosts(numbers: &[u8]) -> Vec<DocumentItem> {
    let mut numbers: Vec<usize> = numbers.iter().map(|n| usize::from(n % 16)).collect();
    numbers.sort_unstable();
    numbers.dedup();
    let records = numbers.into_iter().map(|n| host(n, HostState::Serving));
    records
        .map(|record| DocumentItem::Host(Arc::new(record)))
        .collect()
}

#[test]
fn versions_are_ordered_by_era_and_then_by_revision() {
    let ascending = [
        version(0, 18),
        version(0, 20),
        version(1, 0),
        version(1, 3),
        version(1, 21),
        version(2, 1),
    ];
    assert!(ascending.is_sorted_by(|earlier, later| earlier < later));
    assert_eq!(version(0, 20), ObjectVersion(20));
    assert_eq!(version(2, 7).absent(), version(2, 0));
}

#[test]
fn text_of_version_names_the_era_if_there_is_one() {
    for (version, text) in [(version(0, 20), "20"), (version(3, 18), "3.18")] {
        assert_eq!(version.to_string(), text);
        assert_eq!(text.parse(), Ok(version));
    }
    for text in ["", ".", "1.", ".2", "1.2.3", "-1", "1,2", "a.1"] {
        let parsed: Result<ObjectVersion, IdError> = text.parse();
        assert!(parsed.is_err(), "{text:?}");
    }
}

#[test]
fn era_or_revision_that_does_not_fit_is_rejected() {
    let max_era = (u128::MAX >> REVISION_BITS) as u64;
    let max_revision = (1 << REVISION_BITS) - 1;
    let highest = ObjectVersion::new(StoreEra(max_era), StoreRevision(max_revision));
    assert_eq!(highest, Ok(ObjectVersion(u128::MAX)));
    for (era, revision) in [(max_era + 1, 0), (0, max_revision + 1)] {
        assert!(ObjectVersion::new(StoreEra(era), StoreRevision(revision)).is_err());
        let parsed: Result<ObjectVersion, IdError> = format!("{era}.{revision}").parse();
        assert!(parsed.is_err());
    }
}

// Guards against CONFIG breaches: after a restore, an entry VM with version 20 ignored the
// newer documents that the store wrote as 18, 19 and 20.
#[test]
fn document_of_later_era_replaces_one_of_higher_revision() {
    let mut control = EntryControl::new(entry(1, "honam-1"), Vec::new(), 1, TimePoint(0));
    let mut load = |version, numbers: &[u8]| {
        let event = ControlEvent::Loaded {
            id: roster_id(),
            version,
            items: hosts(numbers),
        };
        let actions = control.handle(event, TimePoint(0));
        let in_force = |action: &ControlAction| matches!(action, ControlAction::InForce(_, in_force) if *in_force == version);
        actions.iter().any(in_force)
    };
    assert!(load(version(0, 20), &[1, 2]));
    assert!(load(version(1, 18), &[1]));
    assert!(!load(version(0, 21), &[1, 2, 3]));
    assert!(load(version(1, 19), &[1, 4]));
    assert!(!load(version(1, 18), &[1]));
    assert!(load(version(2, 2), &[]));
}

#[test]
fn summary_is_the_one_of_releases_without_eras() {
    let mut documents = DocumentStore::default();
    let held = version(1, 20);
    documents.replace(&roster_id(), held, hosts(&[1]));
    let line = format!("{}@{}", roster_id(), held.compact().unwrap());
    assert_eq!(
        documents.summary(),
        xxhash_rust::xxh3::xxh3_64(line.as_bytes())
    );
}

#[test]
fn peer_at_held_version_of_the_earlier_era_gets_only_the_difference() {
    let mut peer = VersionedDocument::default();
    peer.replace(version(1, 20), hosts(&[1, 2, 3]));
    let mut document = peer.clone();
    document.replace(version(1, 21), hosts(&[1, 2, 3, 4]));
    document.replace(version(2, 18), hosts(&[1, 2]));
    let patch = document.patch(&roster_id(), peer.version()).unwrap();
    assert_eq!(patch.since, Some(peer.version()));
    assert!(patch.items.is_empty());
    peer.apply(patch);
    assert!(peer.items().eq(document.items()));
}

// The peer holds any version of the earlier era, or one of the later era that this entry VM
// has not received.
#[test]
fn patch_between_eras_makes_documents_equal() {
    fn property(before: Vec<Vec<u8>>, missed: Vec<Vec<u8>>, after: Vec<Vec<u8>>) -> bool {
        let mut document = VersionedDocument::default();
        let mut peers = vec![VersionedDocument::default()];
        for (index, numbers) in before.iter().enumerate() {
            document.replace(version(1, 100 + index as u64), hosts(numbers));
            peers.push(document.clone());
        }
        let mut restored = document.clone();
        for (index, numbers) in missed.iter().enumerate() {
            restored.replace(version(2, 10 + index as u64), hosts(numbers));
            peers.push(restored.clone());
        }
        for (index, numbers) in after.iter().enumerate() {
            document.replace(version(2, 200 + index as u64), hosts(numbers));
        }
        peers.into_iter().all(|mut peer| {
            if let Some(patch) = document.patch(&roster_id(), peer.version()) {
                peer.apply(patch);
            }
            peer.version() > document.version() || peer.items().eq(document.items())
        })
    }
    quickcheck().quickcheck(property as fn(Vec<Vec<u8>>, Vec<Vec<u8>>, Vec<Vec<u8>>) -> bool);
}
