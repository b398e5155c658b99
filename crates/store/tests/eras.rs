//! The client of the object API and commits, across restores of the platform.

mod http;

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};

use chestnutlb_core::{DocumentId, DocumentKind, ObjectVersion, StoreEra, StoreRevision};
use chestnutlb_store::{
    CommitOutcome, FeedIndex, FeedUpdate, StoreCalls, StoreClient, StoreError, WriteOutcome, commit,
};
use chestnutlb_wire::WireManifest;

const WAIT: Duration = Duration::from_millis(10);

type Objects = BTreeMap<String, (u64, Value)>;

#[derive(Default)]
struct State {
    era: u64,
    era_text: Option<String>,
    revision: u64,
    objects: Objects,
    copy: (u64, Objects),
    calls: Vec<String>,
    // Restores the copy before the next write.
    restore_before_write: bool,
}

impl State {
    fn restore(&mut self) {
        (self.revision, self.objects) = self.copy.clone();
        self.era += 1;
    }

    fn put(&mut self, path: &str, value: Value) -> u64 {
        self.revision += 1;
        let object = (self.revision, value);
        self.objects.insert(path.to_owned(), object);
        self.revision
    }

    fn list(&self, after: u64) -> Value {
        let newer = self.objects.iter().filter(|(_, object)| object.0 > after);
        let objects: Vec<Value> = newer
            .map(|(path, (version, _))| {
                let (kind, name) = path.split_once('/').unwrap();
                json!({"kind": kind, "name": name, "version": version})
            })
            .collect();
        json!({"revision": self.revision, "objects": objects})
    }

    fn respond(&mut self, method: &str, target: &str, body: Value) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let argument = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.clone().find(|(key, _)| *key == name);
            value.map(|(_, value)| value.parse::<u64>().unwrap())
        };
        let object = path.strip_prefix("/v1/objects/");
        match (method, object) {
            ("GET", Some(object)) => match self.objects.get(object) {
                Some((version, value)) => (200, json!({"version": version, "value": value})),
                None => (404, Value::Null),
            },
            ("PUT", Some(object)) => {
                if std::mem::take(&mut self.restore_before_write) {
                    self.restore();
                }
                let current = self.objects.get(object).map_or(0, |(version, _)| *version);
                if argument("if_version") != Some(current) {
                    return (409, json!({"version": current}));
                }
                (200, json!({"version": self.put(object, body)}))
            }
            _ => (200, self.list(argument("after").unwrap_or(0))),
        }
    }
}

#[derive(Clone)]
struct Platform {
    state: Arc<Mutex<State>>,
    client: StoreClient,
}

impl Platform {
    // Starts a platform in era 1, with the grants and other objects up to version 14.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let mut state = State {
            era: 1,
            revision: 13,
            ..State::default()
        };
        let grants = json!({"grants": [{"block": "10.20.0.0/16", "firm": "dalbit"}]});
        state.put("grants/all", grants);
        let state = Arc::new(Mutex::new(state));
        let served = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                serve(&stream.unwrap(), &served);
            }
        });
        let client = StoreClient::new(&url);
        Self { state, client }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn keep_copy(&self) {
        let mut state = self.lock();
        state.copy = (state.revision, state.objects.clone());
    }

    fn take_calls(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().calls)
    }

    fn fetch(&self, after: Option<ObjectVersion>) -> (ObjectVersion, Vec<ObjectVersion>, bool) {
        match self
            .client
            .fetch_updates(FeedIndex(0), after, WAIT)
            .unwrap()
        {
            FeedUpdate::Versions { list, has_all, .. } => {
                let versions = list.objects.iter().map(|object| object.version);
                (list.revision, versions.collect(), has_all)
            }
            FeedUpdate::Objects { .. } => panic!("objects"),
        }
    }
}

fn serve(stream: &TcpStream, state: &Mutex<State>) {
    let Some(call) = http::read_call(stream) else {
        return;
    };
    let mut state = state.lock().unwrap();
    state.calls.push(format!("{} {}", call.method, call.target));
    let (status, reply) = state.respond(&call.method, &call.target, call.body);
    let era = state.era.to_string();
    let era = state.era_text.clone().unwrap_or(era);
    http::write_answer(stream, status, &format!("Object-Era: {era}\r\n"), &reply);
}

fn version(era: u64, revision: u64) -> ObjectVersion {
    ObjectVersion::new(StoreEra(era), StoreRevision(revision.into())).unwrap()
}

fn roster(name: &str) -> DocumentId {
    DocumentId::new(DocumentKind::Roster, name)
}

fn manifest() -> WireManifest {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/dalbit.json");
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

#[test]
fn watch_from_earlier_era_lists_all_objects() {
    let platform = Platform::start();
    platform.keep_copy();
    for _ in 0..6 {
        platform.lock().put("roster/old", json!({}));
    }
    let (after, _, has_all) = platform.fetch(None);
    assert_eq!((after, has_all), (version(1, 20), true));
    platform.lock().restore();
    for _ in 0..7 {
        platform.lock().put("roster/new", json!({}));
    }
    let expected = (version(2, 21), vec![version(2, 14), version(2, 21)], true);
    assert_eq!(platform.fetch(Some(after)), expected);
    platform.take_calls();
    assert_eq!(platform.fetch(Some(after)), expected);
    assert_eq!(platform.take_calls(), ["GET /v1/objects"]);
    assert_eq!(
        platform.fetch(Some(version(2, 21))),
        (version(2, 21), Vec::new(), false)
    );
}

#[test]
fn conditional_writes_do_not_match_versions_of_another_era() {
    let platform = Platform::start();
    let (client, id) = (&platform.client, roster("honam-1"));
    platform.keep_copy();
    let written = client.write(&id, version(1, 0), &json!(1));
    assert_eq!(written, WriteOutcome::Written(version(1, 15)));
    platform.lock().restore();
    platform.lock().put("roster/honam-1", json!(2));
    let matched = client.write(&id, version(1, 15), &json!(3));
    assert_eq!(matched, WriteOutcome::Unknown(StoreError::Restored));
    platform.take_calls();
    let outdated = client.write(&id, version(1, 15), &json!(3));
    assert_eq!(outdated, WriteOutcome::Conflict(version(2, 0), None));
    assert!(platform.take_calls().is_empty());
    let reply = client.read(&id).unwrap().unwrap();
    assert_eq!(reply.version, version(2, 16));
    let written = client.write(&id, version(2, 16), &json!(4));
    assert_eq!(written, WriteOutcome::Written(version(2, 17)));
    let conflict = client.write(&id, version(2, 16), &json!(5));
    assert_eq!(conflict, WriteOutcome::Conflict(version(2, 17), None));
}

#[test]
fn malformed_era_is_an_error() {
    let platform = Platform::start();
    platform.lock().era_text = Some("x".to_owned());
    let read = platform.client.read(&roster("honam-1"));
    assert!(matches!(read, Err(StoreError::Format(_))), "{read:?}");
    let written = platform
        .client
        .write(&roster("honam-1"), version(0, 0), &json!(1));
    assert!(
        matches!(written, WriteOutcome::Unknown(StoreError::Format(_))),
        "{written:?}"
    );
}

// Returns the outcome of a commit with this id.
fn try_commit(platform: &Platform, expected: ObjectVersion, id: &str) -> CommitOutcome {
    commit::commit(&platform.client, &manifest(), expected, id)
}

fn commit_first(platform: &Platform) {
    let first = try_commit(platform, version(0, 0), "first");
    assert_eq!(first, CommitOutcome::Committed(version(1, 15)));
}

#[test]
fn commit_that_was_lost_in_a_restore_is_not_reported_as_committed() {
    let platform = Platform::start();
    commit_first(&platform);
    platform.keep_copy();
    let second = try_commit(&platform, version(1, 15), "second");
    assert_eq!(second, CommitOutcome::Committed(version(1, 16)));
    platform.lock().restore();
    // The operator repeats the commit, whose response may have been lost.
    let repeated = try_commit(&platform, version(1, 15), "second");
    let (expected, found) = (version(1, 15), version(2, 15));
    assert_eq!(repeated, CommitOutcome::Conflict { expected, found });
    let repeated = try_commit(&platform, version(1, 15), "first");
    assert_eq!(repeated, CommitOutcome::Committed(version(2, 15)));
    let planned_again = try_commit(&platform, version(2, 15), "second");
    assert_eq!(planned_again, CommitOutcome::Committed(version(2, 16)));
}

#[test]
fn commit_based_on_a_manifest_that_a_restore_removed_conflicts() {
    let platform = Platform::start();
    platform.keep_copy();
    commit_first(&platform);
    platform.lock().restore();
    let (expected, found) = (version(1, 15), version(0, 0));
    assert_eq!(
        try_commit(&platform, expected, "second"),
        CommitOutcome::Conflict { expected, found }
    );
    let first = try_commit(&platform, version(0, 0), "first");
    assert_eq!(first, CommitOutcome::Committed(version(2, 15)));
}

// The platform is restored between the read and the write of the commit.
#[test]
fn commit_during_a_restore_conflicts_with_the_version_of_the_later_era() {
    let platform = Platform::start();
    commit_first(&platform);
    platform.keep_copy();
    let second = try_commit(&platform, version(1, 15), "second");
    assert_eq!(second, CommitOutcome::Committed(version(1, 16)));
    platform.lock().restore_before_write = true;
    let (expected, found) = (version(1, 16), version(2, 15));
    assert_eq!(
        try_commit(&platform, expected, "third"),
        CommitOutcome::Conflict { expected, found }
    );
}
