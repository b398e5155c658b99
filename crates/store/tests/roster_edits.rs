//! Roster edits that meet a later version than the one that they were derived from.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::Value;

use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, HostRecord, HostState, HostWeight, Incarnation,
    ObjectVersion, RosterEdit,
};
use chestnutlb_store::{
    EditOutcome, FeedIndex, FeedUpdate, StoreCalls, StoreError, WriteOutcome, objects,
};
use chestnutlb_wire::ObjectReply;

// A store with one object. `cached` is an outdated copy, as a client may have.
#[derive(Debug, Default)]
struct OneObjectStore {
    object: Mutex<Option<(ObjectVersion, Value)>>,
    cached: Mutex<Option<(ObjectVersion, Value)>>,
    // Whether a conflict tells the content of the object.
    tells_content: bool,
    reads: AtomicUsize,
}

fn reply((version, value): (ObjectVersion, Value)) -> ObjectReply {
    ObjectReply {
        version: version.0,
        value,
    }
}

impl StoreCalls for OneObjectStore {
    fn feeds(&self) -> usize {
        0
    }

    fn fetch_updates(
        &self,
        _feed: FeedIndex,
        _after: Option<ObjectVersion>,
        _wait: Duration,
    ) -> Result<FeedUpdate, StoreError> {
        Err(StoreError::Status(404))
    }

    fn cached_object(&self, _id: &DocumentId) -> Option<ObjectReply> {
        self.cached.lock().unwrap().clone().map(reply)
    }

    fn watch_wait(&self, _feed: FeedIndex) -> Duration {
        Duration::ZERO
    }

    fn read(&self, _id: &DocumentId) -> Result<Option<ObjectReply>, StoreError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(self.object.lock().unwrap().clone().map(reply))
    }

    fn write(&self, _id: &DocumentId, expected: ObjectVersion, value: &Value) -> WriteOutcome {
        let mut object = self.object.lock().unwrap();
        let current = object
            .as_ref()
            .map_or(ObjectVersion(0), |(version, _)| *version);
        if current != expected {
            let content = self.tells_content.then(|| object.clone()).flatten();
            return WriteOutcome::Conflict(current, content.map(|(_, value)| value));
        }
        let next = ObjectVersion(current.0 + 1);
        *object = Some((next, value.clone()));
        WriteOutcome::Written(next)
    }
}

fn host(number: usize) -> HostRecord {
    HostRecord {
        name: format!("host-{number}").parse().unwrap(),
        service: "dalbit/catalogue".parse().unwrap(),
        datacenter: "honam-1".parse().unwrap(),
        packets: "10.1.0.1:9000".parse().unwrap(),
        relays: "10.1.0.1:9001".parse().unwrap(),
        incarnation: Incarnation(0),
        weight: HostWeight::ORDINARY,
        state: HostState::Serving,
        held_buckets: Vec::new(),
    }
}

// Applies edits derived from version `base`. Returns the version and hosts after it.
fn edit(store: &OneObjectStore, base: u64, edits: &[RosterEdit]) -> (u64, Vec<String>) {
    let id = DocumentId::new(DocumentKind::Roster, "honam-1");
    match objects::edit_roster(store, &id, ObjectVersion(base), edits) {
        EditOutcome::Done(loaded) => {
            let names = loaded.items.iter().map(|item| match item {
                DocumentItem::Host(record) => record.name.to_string(),
                other => panic!("not a host: {other:?}"),
            });
            (loaded.version.0, names.collect())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn host_removed_since_the_base_version_is_not_added_again() {
    let store = OneObjectStore::default();
    let put = |number| RosterEdit::Put(host(number));
    let names = |numbers: &[usize]| -> Vec<String> {
        numbers.iter().map(|n| format!("host-{n}")).collect()
    };
    assert_eq!(edit(&store, 0, &[put(1), put(2)]), (1, names(&[1, 2])));
    *store.cached.lock().unwrap() = store.object.lock().unwrap().clone();
    assert_eq!(
        edit(&store, 1, &[RosterEdit::Remove(host(1))]),
        (2, names(&[2]))
    );
    // Another writer, which has not seen the removal. The edit is derived from version 1 or,
    // with its older registration, from no version.
    for base in [1, 0] {
        edit(&store, base, &[put(1)]);
        let (version, _) = store.object.lock().unwrap().clone().unwrap();
        assert_eq!(version, ObjectVersion(2), "base {base}");
    }
    // Derived from the version with the removal: the host has registered since.
    assert_eq!(edit(&store, 2, &[put(1)]), (3, names(&[1, 2])));
}

#[test]
fn removal_is_applied_to_later_versions() {
    let store = OneObjectStore::default();
    let put = |number| RosterEdit::Put(host(number));
    edit(&store, 0, &[put(1)]);
    edit(&store, 1, &[put(2)]);
    let (version, hosts) = edit(&store, 1, &[RosterEdit::Remove(host(1)), put(3)]);
    assert_eq!((version, hosts), (3, vec!["host-2".to_owned()]));
}

// An entry VM whose cached object is outdated, as when several start at once.
#[test]
fn edit_after_a_conflict_reads_only_if_the_conflict_does_not_tell_the_object() {
    for (tells_content, reads) in [(false, 1), (true, 0)] {
        let store = OneObjectStore {
            tells_content,
            ..OneObjectStore::default()
        };
        let put = |number| RosterEdit::Put(host(number));
        edit(&store, 0, &[put(1), put(2)]);
        *store.cached.lock().unwrap() = store.object.lock().unwrap().clone();
        edit(&store, 1, &[put(3)]);
        store.reads.store(0, Ordering::SeqCst);
        let (version, hosts) = edit(&store, 1, &[RosterEdit::Remove(host(1)), put(4)]);
        assert_eq!((version, hosts.join(" ")), (3, "host-2 host-3".to_owned()));
        assert_eq!(store.reads.load(Ordering::SeqCst), reads);
    }
}
