//! Entries of an object list that can't be read: they are left out, and the others are used.

#[allow(dead_code)]
mod http;

use std::net::TcpListener;
use std::time::Duration;

use serde_json::{Value, json};

use chestnutlb_core::{DocumentId, DocumentKind, ObjectVersion};
use chestnutlb_store::{FeedIndex, FeedUpdate, StoreCalls, StoreClient};

// Starts a store that answers every call with this body.
fn start_store(body: &'static [u8]) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            http::read_call(&stream);
            http::write_body(&stream, 200, "", body);
        }
    });
    StoreClient::new(&url)
}

// Guards against watches that fail from then on, for one entry that can't be read.
#[test]
fn odd_entries_hide_no_other_entry() {
    let client = start_store(
        b"{\"revision\": 9, \"objects\": [7, {\"kind\": \"roster\", \"name\": \"a\", \"version\": \"x\"},\
          {\"kind\": \"roster\", \"name\": \"\xff\", \"version\": 4}, {\"kind\": \"roster\"},\
          {\"kind\": \"roster\", \"name\": \"b\", \"version\": 1e999},\
          {\"kind\": \"roster\", \"name\": \"honam-1\", \"version\": 5}]}",
    );
    let update = client.fetch_updates(FeedIndex(0), None, Duration::ZERO);
    let Ok(FeedUpdate::Versions { list, .. }) = update else {
        panic!("{update:?}");
    };
    assert_eq!(list.revision, ObjectVersion(9));
    assert_eq!(list.unreadable, 5);
    let names: Vec<_> = list.objects.iter().map(|object| &object.name).collect();
    assert_eq!(names, ["honam-1"]);
}

#[test]
fn part_of_an_object_that_can_not_be_read_is_read_as_null() {
    let value = |body: &'static [u8]| {
        let roster = DocumentId::new(DocumentKind::Roster, "honam-1");
        let reply = start_store(body).read(&roster).unwrap().unwrap();
        assert_eq!(reply.version, ObjectVersion(5));
        reply.value
    };
    let read = value(b"{\"version\": 5, \"value\": 1e999}");
    assert_eq!(read, Value::Null);
    let read = value(b"{\"version\": 5, \"value\": {\"hosts\": [1e999, 7, {\"a\": 1e999}]}}");
    assert_eq!(read, json!({"hosts": [null, 7, {"a": null}]}));
}

// Guards against a manifest in which a limit that can't be read counts as one that is not given.
#[test]
fn manifest_is_read_as_a_whole_or_not_at_all() {
    let client = start_store(b"{\"version\": 5, \"value\": {\"manifest\": {\"queue\": 1e999}}}");
    let manifest = DocumentId::new(DocumentKind::Manifest, "dalbit");
    assert!(client.read(&manifest).is_err());
}
