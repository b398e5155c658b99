//! Roster edits that meet a later version than the one that they were derived from.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, HostRecord, HostState, HostWeight, Incarnation,
    MemberEdit, ObjectVersion, RosterEdit,
};
use chestnutlb_store::{
    EditOutcome, FeedIndex, FeedUpdate, ReadObject, StoreCalls, StoreError, WriteOutcome, objects,
};
use chestnutlb_wire::WireHost;

// A store with one object. `cached` is an outdated copy, as a client may have.
#[derive(Debug, Default)]
struct OneObjectStore {
    object: Mutex<Option<(ObjectVersion, Value)>>,
    cached: Mutex<Option<(ObjectVersion, Value)>>,
    // Whether a conflict tells the content of the object.
    tells_content: bool,
    reads: AtomicUsize,
}

fn read_object((version, value): (ObjectVersion, Value)) -> ReadObject {
    ReadObject { version, value }
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

    fn cached_object(&self, _id: &DocumentId) -> Option<ReadObject> {
        self.cached.lock().unwrap().clone().map(read_object)
    }

    fn watch_wait(&self, _feed: FeedIndex) -> Duration {
        Duration::ZERO
    }

    fn read(&self, _id: &DocumentId) -> Result<Option<ReadObject>, StoreError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(self.object.lock().unwrap().clone().map(read_object))
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
    match objects::edit_roster(store, &id, ObjectVersion(base.into()), edits) {
        EditOutcome::Done(loaded) => {
            let names = loaded.items.iter().map(|item| match item {
                DocumentItem::Host(record) => record.name.to_string(),
                other => panic!("not a host: {other:?}"),
            });
            (loaded.version.revision_u64(), names.collect())
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

// Puts an object as another program does.
fn write_object(store: &OneObjectStore, version: u64, value: Value) {
    *store.object.lock().unwrap() = Some((ObjectVersion(version.into()), value));
}

// Returns the records of an object: names, or the whole record if it has none.
fn stored_records(store: &OneObjectStore, list: &str) -> Vec<String> {
    let object = store.object.lock().unwrap().clone();
    let (_, value) = object.unwrap();
    let records = value[list].as_array().unwrap();
    let text = |record: &Value| match record["name"].as_str() {
        Some(name) => name.to_owned(),
        None => record.to_string(),
    };
    records.iter().map(text).collect()
}

fn odd_records() -> Vec<Value> {
    let record = |name: &str, field: &str, value: Value| {
        let mut record = serde_json::to_value(WireHost::from(&host(1))).unwrap();
        record["name"] = json!(name);
        record[field] = value;
        record
    };
    vec![
        record("host-7", "packets", json!("10.1.0.1:70000")),
        record("odd-port", "packets", json!("10.1.0.1:0")),
        record("odd-address", "relays", json!("0.0.0.0:9001")),
        record("odd-state", "state", json!("resting")),
        record("odd-weight", "weight", json!(0)),
        record("odd-bucket", "held", json!([65535])),
        record("other-datacenter", "datacenter", json!("honam-2")),
        record("further-field", "port", json!(70000)),
        record("Odd Name", "weight", json!(100)),
        json!({}),
        json!(7),
        Value::Null,
    ]
}

// Guards against a data centre that no new host can join: one record that could not be read made
// the whole roster unreadable, for all entry VMs and for edits.
#[test]
fn records_that_can_not_be_read_leave_the_others_in_use_and_are_kept_by_edits() {
    let store = OneObjectStore::default();
    let mut records = odd_records();
    records.push(serde_json::to_value(WireHost::from(&host(1))).unwrap());
    write_object(&store, 3, json!({"hosts": records}));
    let id = DocumentId::new(DocumentKind::Roster, "honam-1");
    let loaded = objects::load(&store, &id).unwrap().unwrap();
    let mut lines = vec![format!("{:?}", loaded.unreadable)];
    let edits = [RosterEdit::Put(host(2)), RosterEdit::Put(host(7))];
    lines.push(format!("put: {}", edit(&store, 3, &edits).1.join(" ")));
    lines.push(format!(
        "stored: {}",
        stored_records(&store, "hosts").join(" ")
    ));
    let removal = RosterEdit::Remove(HostRecord {
        name: "odd-state".parse().unwrap(),
        ..host(1)
    });
    edit(&store, 4, &[removal]);
    lines.push(format!(
        "stored: {}",
        stored_records(&store, "hosts").join(" ")
    ));
    let outdated = objects::remove_unreadable(&store, &id, ObjectVersion(4));
    assert!(matches!(outdated, EditOutcome::Done(_)), "{outdated:?}");
    lines.push(format!(
        "version 5: {}",
        stored_records(&store, "hosts").len()
    ));
    objects::remove_unreadable(&store, &id, ObjectVersion(5));
    lines.push(format!(
        "removed: {}",
        stored_records(&store, "hosts").join(" ")
    ));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn object_without_a_list_is_replaced_by_the_next_edit() {
    for object in [json!({}), json!({"hosts": 7}), json!([]), Value::Null] {
        let store = OneObjectStore::default();
        write_object(&store, 3, object.clone());
        let id = DocumentId::new(DocumentKind::Roster, "honam-1");
        let loaded = objects::load(&store, &id).unwrap().unwrap();
        assert!(loaded.unreadable.is_whole, "{object}");
        let (version, hosts) = edit(&store, 3, &[RosterEdit::Put(host(1))]);
        assert_eq!((version, hosts), (4, vec!["host-1".to_owned()]), "{object}");
    }
}

#[test]
fn member_records_that_can_not_be_read_leave_the_others_in_use() {
    let store = OneObjectStore::default();
    let record = |name: &str, peers: &str| {
        json!({"name": name, "datacenter": "honam-1", "peers": peers, "status": "10.2.0.1:9003",
               "incarnation": 5})
    };
    let entries = [
        record("entry-1", "10.2.0.1:9002"),
        record("entry-2", "10.2.0.1:70000"),
        record("entry-3", "10.2.0.1:0"),
    ];
    write_object(&store, 3, json!({"entries": entries}));
    let id = DocumentId::new(DocumentKind::Members, "honam-1");
    let loaded = objects::load(&store, &id).unwrap().unwrap();
    assert_eq!((loaded.items.len(), loaded.unreadable.count()), (1, 2));
    let DocumentItem::Entry(mut second) = loaded.items[0].clone() else {
        panic!("not an entry VM");
    };
    second.name = "entry-2".parse().unwrap();
    objects::edit_members(&store, &id, loaded.version, &[MemberEdit::Put(second)]);
    assert_eq!(
        stored_records(&store, "entries"),
        ["entry-1", "entry-2", "entry-3"]
    );
}
