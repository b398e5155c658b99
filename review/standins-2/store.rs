//! The platform's metadata store: objects by kind and name, lists, watches and conditional
//! writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_response};
use crate::json;

struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
        object.revision, object.created, object.spec
    )
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.get(&key)
            && object.spec == spec
        {
            return object_text(name, object);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self
            .objects
            .get(&key)
            .map_or(revision, |object| object.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_owned(),
        };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        self.add_event(kind, &text, false);
        text
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.remove(&key)?;
        self.revision += 1;
        let text = object_text(name, &object);
        self.add_event(kind, &text, true);
        Some(text)
    }

    fn add_event(&mut self, kind: &str, object: &str, deleted: bool) {
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            text: format!(r#"{{"object":{object},"deleted":{deleted}}}"#),
        });
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let items: Vec<String> = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        let (items, revision) = (items.join(","), self.revision);
        format!(r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#)
    }

    fn events(&self, kind: &str, after: u64) -> Vec<&str> {
        let events = self.history.iter();
        let later = events.filter(|event| event.kind == kind && event.revision > after);
        later.map(|event| event.text.as_str()).collect()
    }
}

impl Store {
    /// Serves calls until the process ends.
    pub fn serve(&self, address: SocketAddrV4) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (lock, changed) = &*self.content;
        if let Ok(mut content) = lock.lock() {
            content.put(kind, name, spec);
            changed.notify_all();
        }
    }

    /// Returns the raw specs of the objects of a kind.
    pub fn specs(&self, kind: &str) -> Vec<String> {
        let (lock, _) = &*self.content;
        lock.lock().map_or(Vec::new(), |content| {
            let objects = content.objects.iter();
            let of_kind = objects.filter(|((of, _), _)| of == kind);
            of_kind.map(|(_, object)| object.spec.clone()).collect()
        })
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            if write_response(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let Some(path) = request.path.strip_prefix("/chestnutlb/objects/") else {
            return (404, "{}".to_owned());
        };
        match path.split_once('/') {
            None if request.method == "GET" => self.answer_list(path, &request.query),
            None if request.method == "POST" => self.answer_create(path, &request.body),
            Some((kind, name)) => self.answer_object(request, kind, name),
            _ => (404, "{}".to_owned()),
        }
    }

    fn answer_list(&self, kind: &str, query: &str) -> (u16, String) {
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value)
                .next()
        };
        let (lock, changed) = &*self.content;
        let Ok(mut content) = lock.lock() else {
            return (503, "{}".to_owned());
        };
        let Some(after) = parameter("watch").and_then(|text| text.parse::<u64>().ok()) else {
            return (200, content.list(kind, parameter("after").unwrap_or("")));
        };
        let wait_ms = parameter("wait_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        while content.events(kind, after).is_empty() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            match changed.wait_timeout(content, left) {
                Ok((woken, _)) => content = woken,
                Err(_) => return (503, "{}".to_owned()),
            }
        }
        let events = content.events(kind, after).join(",");
        let revision = content.revision;
        (
            200,
            format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
        )
    }

    fn answer_create(&self, kind: &str, body: &str) -> (u16, String) {
        let meta = json::field(body, "meta").unwrap_or("{}");
        let (Some(name), Some(spec)) = (json::text_field(meta, "name"), json::field(body, "spec"))
        else {
            return (400, "{}".to_owned());
        };
        let (lock, changed) = &*self.content;
        let Ok(mut content) = lock.lock() else {
            return (503, "{}".to_owned());
        };
        if let Some(object) = content.objects.get(&(kind.to_owned(), name.to_owned())) {
            return (409, object_text(name, object));
        }
        let text = content.put(kind, name, spec);
        changed.notify_all();
        (200, text)
    }

    fn answer_object(&self, request: &Request, kind: &str, name: &str) -> (u16, String) {
        let (lock, changed) = &*self.content;
        let Ok(mut content) = lock.lock() else {
            return (503, "{}".to_owned());
        };
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = content.objects.get(&key) else {
            return (404, "{}".to_owned());
        };
        let meta = json::field(&request.body, "meta").unwrap_or("{}");
        let expected = json::number_field(meta, "revision");
        let is_write = request.method != "GET";
        if is_write && expected.is_some_and(|expected| expected != object.revision) {
            return (409, object_text(name, object));
        }
        let answer = match request.method.as_str() {
            "GET" => (200, object_text(name, object)),
            "PUT" => match json::field(&request.body, "spec") {
                Some(spec) => (200, content.put(kind, name, spec)),
                None => (400, "{}".to_owned()),
            },
            "DELETE" => (200, content.delete(kind, name).unwrap_or_default()),
            _ => (400, "{}".to_owned()),
        };
        changed.notify_all();
        answer
    }
}
