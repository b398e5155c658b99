//! Stand-in for the platform's object API, with failures that can be switched on.
//!
//! `POST /restore` puts back an older copy of all objects, as after the loss of a store. The
//! counter of versions goes back with it, so versions are assigned again. Every response
//! names the era, which is the number of restores so far.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rocket::config::{Config, LogLevel};
use rocket::fairing::AdHoc;
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::serde::json::Json;
use rocket::tokio::sync::Notify;
use rocket::tokio::time::{sleep, timeout};
use rocket::{Build, Request, Response, Rocket, State, get, post, put, routes};
use serde::{Deserialize, Serialize};

use chestnutlb_wire::{ObjectList, ObjectListEntry, ObjectReply, WriteReply};

type ObjectKey = (CompactString, CompactString);

/// Response header that names the era.
pub const ERA_HEADER: &str = "Object-Era";

/// Maximum number of copies of the table; the oldest one is dropped first.
const COPY_LIMIT: usize = 1024;

/// Failures that can be switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSwitch {
    /// Every call fails with status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but are answered with status 504.
    pub lose_answers: u64,
    /// Reads, lists and watches return the objects as they were when this was switched on, or
    /// as the last restore since then put them back.
    pub stale: bool,
}

/// Selects the copy that a restore puts back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestorePoint {
    /// The objects as they were this many milliseconds ago.
    AgeMs(u64),
    /// The objects as they were when this was last the highest assigned version.
    Revision(u64),
}

/// Response to a restore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RestoreReply {
    /// The new era.
    pub era: u64,
    /// Highest version that the restored copy had assigned.
    pub revision: u64,
}

/// Counts of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of single objects and of the object list.
    pub reads: u64,
    /// Writes, including refused ones.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Writes refused because the object had another version.
    pub conflicts: u64,
}

#[derive(Debug, Clone, Default)]
struct ObjectTable {
    revision: u64,
    objects: BTreeMap<ObjectKey, Arc<ObjectReply>>,
}

impl ObjectTable {
    // Lists the objects whose version is above `after`.
    fn objects_after(&self, after: u64) -> ObjectList {
        let objects = self
            .objects
            .iter()
            .filter(|(_, object)| object.version > after)
            .map(|((kind, name), object)| ObjectListEntry {
                kind: kind.clone(),
                name: name.clone(),
                version: object.version,
            })
            .collect();
        ObjectList {
            revision: self.revision,
            objects,
        }
    }
}

/// The table as it was from a time on.
#[derive(Debug)]
struct TableCopy {
    taken: Instant,
    table: ObjectTable,
}

#[derive(Debug)]
struct PlatformState {
    table: ObjectTable,
    copies: VecDeque<TableCopy>,
    era: u64,
    stale_table: Option<ObjectTable>,
    switch: PlatformSwitch,
    counts: PlatformCounts,
}

impl Default for PlatformState {
    fn default() -> Self {
        let mut state = Self {
            table: ObjectTable::default(),
            copies: VecDeque::new(),
            era: 0,
            stale_table: None,
            switch: PlatformSwitch::default(),
            counts: PlatformCounts::default(),
        };
        state.keep_copy();
        state
    }
}

impl PlatformState {
    // Keeps a copy of the table; called after each change of it.
    fn keep_copy(&mut self) {
        if self.copies.len() == COPY_LIMIT {
            self.copies.pop_front();
        }
        self.copies.push_back(TableCopy {
            taken: Instant::now(),
            table: self.table.clone(),
        });
    }

    // Puts back a copy and starts the next era; returns `None` if there is no such copy.
    fn restore(&mut self, point: RestorePoint) -> Option<RestoreReply> {
        let now = Instant::now();
        let is_selected = |copy: &&TableCopy| match point {
            RestorePoint::AgeMs(age) => now - copy.taken >= Duration::from_millis(age),
            RestorePoint::Revision(revision) => copy.table.revision == revision,
        };
        self.table = self.copies.iter().rev().find(is_selected)?.table.clone();
        if self.stale_table.is_some() {
            self.stale_table = Some(self.table.clone());
        }
        self.era += 1;
        self.keep_copy();
        Some(RestoreReply {
            era: self.era,
            revision: self.table.revision,
        })
    }

    fn write(&mut self, key: ObjectKey, if_version: u64, value: serde_json::Value) -> WriteResult {
        self.counts.writes += 1;
        let current = self
            .table
            .objects
            .get(&key)
            .map_or(0, |object| object.version);
        if current != if_version {
            self.counts.conflicts += 1;
            return Err(write_failure(Status::Conflict, current));
        }
        self.table.revision += 1;
        let version = self.table.revision;
        let object = Arc::new(ObjectReply { version, value });
        self.table.objects.insert(key, object);
        self.keep_copy();
        if self.switch.lose_answers > 0 {
            self.switch.lose_answers -= 1;
            Err(write_failure(Status::GatewayTimeout, 0))
        } else {
            Ok(Json(WriteReply { version }))
        }
    }
}

type WriteResult = Result<Json<WriteReply>, (Status, Json<WriteReply>)>;

fn write_failure(status: Status, version: u64) -> (Status, Json<WriteReply>) {
    (status, Json(WriteReply { version }))
}

/// The era of the table that a response was made from. A restore between that and the
/// sending of the response must not change the era that it names.
#[derive(Debug, Default)]
struct ResponseEra(Mutex<Option<u64>>);

impl ResponseEra {
    fn lock(&self) -> MutexGuard<'_, Option<u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for &'r ResponseEra {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(request.local_cache(ResponseEra::default))
    }
}

// Names the era in a response: that of the table that it was made from, or the current one.
fn name_era(request: &Request<'_>, response: &mut Response<'_>) {
    let noted = *request.local_cache(ResponseEra::default).lock();
    let standin = request.rocket().state::<Arc<PlatformStandin>>();
    if let Some(era) = noted.or_else(|| standin.map(|standin| standin.lock().era)) {
        response.set_header(Header::new(ERA_HEADER, era.to_string()));
    }
}

/// State of the stand-in, shared by its request handlers.
#[derive(Debug, Default)]
pub struct PlatformStandin {
    state: Mutex<PlatformState>,
    changed: Notify,
}

impl PlatformStandin {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Locks the state for a response that is made from its table.
    fn lock_for(&self, era: &ResponseEra) -> MutexGuard<'_, PlatformState> {
        let state = self.lock();
        *era.lock() = Some(state.era);
        state
    }

    // Applies the delay; fails if the platform is down once the delay has passed.
    async fn apply_switch(&self) -> Result<(), Status> {
        let switch = self.lock().switch;
        if switch.delay_ms > 0 {
            sleep(Duration::from_millis(switch.delay_ms)).await;
        }
        if self.lock().switch.down {
            Err(Status::ServiceUnavailable)
        } else {
            Ok(())
        }
    }

    // Reads the current table, or the stale one while stale reads are switched on.
    fn read_table<T>(&self, era: &ResponseEra, read: impl FnOnce(&ObjectTable) -> T) -> T {
        let state = self.lock_for(era);
        read(state.stale_table.as_ref().unwrap_or(&state.table))
    }

    // Lists the objects whose version is above `after`; fails if that version was never
    // assigned, or by a table that a restore has replaced.
    fn list_after(&self, era: &ResponseEra, after: u64) -> Result<ObjectList, Status> {
        let state = self.lock_for(era);
        if after > state.table.revision {
            return Err(Status::Gone);
        }
        let table = state.stale_table.as_ref().unwrap_or(&state.table);
        Ok(table.objects_after(after))
    }
}

type Standin = State<Arc<PlatformStandin>>;

#[get("/v1/objects/<kind>/<name>")]
async fn read(
    standin: &Standin,
    era: &ResponseEra,
    kind: &str,
    name: &str,
) -> Result<Json<ObjectReply>, Status> {
    standin.apply_switch().await?;
    standin.lock().counts.reads += 1;
    let key = (CompactString::from(kind), CompactString::from(name));
    standin
        .read_table(era, |table| table.objects.get(&key).cloned())
        .map(|object| Json(ObjectReply::clone(&object)))
        .ok_or(Status::NotFound)
}

#[put("/v1/objects/<kind>/<name>?<if_version>", data = "<value>")]
async fn write(
    standin: &Standin,
    era: &ResponseEra,
    kind: &str,
    name: &str,
    if_version: u64,
    value: Json<serde_json::Value>,
) -> WriteResult {
    standin
        .apply_switch()
        .await
        .map_err(|status| write_failure(status, 0))?;
    let key = (CompactString::from(kind), CompactString::from(name));
    let outcome = standin
        .lock_for(era)
        .write(key, if_version, value.into_inner());
    standin.changed.notify_waiters();
    outcome
}

#[get("/v1/objects")]
async fn list(standin: &Standin, era: &ResponseEra) -> Result<Json<ObjectList>, Status> {
    standin.apply_switch().await?;
    standin.lock().counts.reads += 1;
    Ok(Json(
        standin.read_table(era, |table| table.objects_after(0)),
    ))
}

#[get("/v1/watch?<after>&<wait_ms>")]
async fn watch(
    standin: &Standin,
    era: &ResponseEra,
    after: u64,
    wait_ms: u64,
) -> Result<Json<ObjectList>, Status> {
    standin.apply_switch().await?;
    standin.lock().counts.watches += 1;
    // Created before the table is read, so that a change in between ends the wait.
    let changed = standin.changed.notified();
    let newer = standin.list_after(era, after)?;
    if newer.objects.is_empty() {
        // The list is read again after a change as well as after the timeout.
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
        standin.apply_switch().await?;
        return standin.list_after(era, after).map(Json);
    }
    Ok(Json(newer))
}

#[post("/restore", data = "<point>")]
fn restore(
    standin: &Standin,
    era: &ResponseEra,
    point: Json<RestorePoint>,
) -> Result<Json<RestoreReply>, Status> {
    let mut state = standin.lock();
    let reply = state.restore(point.into_inner());
    *era.lock() = Some(state.era);
    drop(state);
    standin.changed.notify_waiters();
    reply.map(Json).ok_or(Status::UnprocessableEntity)
}

#[post("/switch", data = "<switch>")]
fn set_switch(standin: &Standin, switch: Json<PlatformSwitch>) -> Json<PlatformSwitch> {
    let mut state = standin.lock();
    state.switch = switch.into_inner();
    if !state.switch.stale {
        state.stale_table = None;
    } else if state.stale_table.is_none() {
        state.stale_table = Some(state.table.clone());
    }
    Json(state.switch)
}

#[get("/counts")]
fn counts(standin: &Standin) -> Json<PlatformCounts> {
    Json(standin.lock().counts)
}

/// Returns the HTTP server of the stand-in, ready to be launched.
pub fn server(address: SocketAddrV4) -> Rocket<Build> {
    let config = Config {
        address: (*address.ip()).into(),
        port: address.port(),
        workers: 4,
        log_level: LogLevel::Off,
        ..Config::release_default()
    };
    rocket::custom(config)
        .manage(Arc::new(PlatformStandin::default()))
        .attach(AdHoc::on_response("era", |request, response| {
            Box::pin(async move { name_era(request, response) })
        }))
        .mount(
            "/",
            routes![read, write, list, watch, set_switch, counts, restore],
        )
}
