//! Stand-in for the platform's object API, with failures that can be switched on.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use rocket::config::{Config, LogLevel};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::tokio::sync::Notify;
use rocket::tokio::time::{sleep, timeout};
use rocket::{Build, Rocket, State, get, post, put, routes};
use serde::{Deserialize, Serialize};

use chestnutlb_wire::{ObjectList, ObjectListEntry, ObjectReply, WriteReply};

type ObjectKey = (CompactString, CompactString);

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
    /// Reads, lists and watches return the objects as they were when this was switched on.
    pub stale: bool,
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
    objects: BTreeMap<ObjectKey, ObjectReply>,
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

#[derive(Debug, Default)]
struct PlatformState {
    table: ObjectTable,
    stale_table: Option<ObjectTable>,
    switch: PlatformSwitch,
    counts: PlatformCounts,
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
    fn read_table<T>(&self, read: impl FnOnce(&ObjectTable) -> T) -> T {
        let state = self.lock();
        read(state.stale_table.as_ref().unwrap_or(&state.table))
    }
}

type Standin = State<Arc<PlatformStandin>>;

#[get("/v1/objects/<kind>/<name>")]
async fn read(standin: &Standin, kind: &str, name: &str) -> Result<Json<ObjectReply>, Status> {
    standin.apply_switch().await?;
    standin.lock().counts.reads += 1;
    let key = (CompactString::from(kind), CompactString::from(name));
    standin
        .read_table(|table| table.objects.get(&key).cloned())
        .map(Json)
        .ok_or(Status::NotFound)
}

#[put("/v1/objects/<kind>/<name>?<if_version>", data = "<value>")]
async fn write(
    standin: &Standin,
    kind: &str,
    name: &str,
    if_version: u64,
    value: Json<serde_json::Value>,
) -> Result<Json<WriteReply>, (Status, Json<WriteReply>)> {
    let failure = |status, version| (status, Json(WriteReply { version }));
    standin
        .apply_switch()
        .await
        .map_err(|status| failure(status, 0))?;
    let outcome = {
        let mut state = standin.lock();
        state.counts.writes += 1;
        let key = (CompactString::from(kind), CompactString::from(name));
        let current = state
            .table
            .objects
            .get(&key)
            .map_or(0, |object| object.version);
        if current != if_version {
            state.counts.conflicts += 1;
            return Err(failure(Status::Conflict, current));
        }
        state.table.revision += 1;
        let version = state.table.revision;
        let value = value.into_inner();
        state
            .table
            .objects
            .insert(key, ObjectReply { version, value });
        if state.switch.lose_answers > 0 {
            state.switch.lose_answers -= 1;
            Err(failure(Status::GatewayTimeout, 0))
        } else {
            Ok(Json(WriteReply { version }))
        }
    };
    standin.changed.notify_waiters();
    outcome
}

#[get("/v1/objects")]
async fn list(standin: &Standin) -> Result<Json<ObjectList>, Status> {
    standin.apply_switch().await?;
    standin.lock().counts.reads += 1;
    Ok(Json(standin.read_table(|table| table.objects_after(0))))
}

#[get("/v1/watch?<after>&<wait_ms>")]
async fn watch(standin: &Standin, after: u64, wait_ms: u64) -> Result<Json<ObjectList>, Status> {
    standin.apply_switch().await?;
    standin.lock().counts.watches += 1;
    // Created before the table is read, so that a change in between ends the wait.
    let changed = standin.changed.notified();
    let newer = standin.read_table(|table| table.objects_after(after));
    if newer.objects.is_empty() {
        // The list is read again after a change as well as after the timeout.
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
        standin.apply_switch().await?;
        return Ok(Json(standin.read_table(|table| table.objects_after(after))));
    }
    Ok(Json(newer))
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
        .mount("/", routes![read, write, list, watch, set_switch, counts])
}
