//! Stand-in of the platform's object API, with switches for its failures.

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
    /// Every call fails.
    pub down: bool,
    /// Every call takes this long.
    pub delay_ms: u64,
    /// So many writes take effect, and their answers are lost.
    pub lose_answers: u64,
    /// Reads are answered as of the moment this was switched on.
    pub stale: bool,
}

/// What the stand-in counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Writes that met another version.
    pub conflicts: u64,
}

#[derive(Debug, Clone, Default)]
struct ObjectTable {
    revision: u64,
    objects: BTreeMap<ObjectKey, ObjectReply>,
}

impl ObjectTable {
    fn stamps(&self, after: u64) -> ObjectList {
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
    old: Option<ObjectTable>,
    switch: PlatformSwitch,
    counts: PlatformCounts,
}

/// The stand-in.
#[derive(Debug, Default)]
pub struct PlatformStandin {
    state: Mutex<PlatformState>,
    changed: Notify,
}

impl PlatformStandin {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Waits as long as the switch says; fails if the platform is down.
    async fn enter(&self) -> Result<(), Status> {
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

    fn read_table<T>(&self, read: impl FnOnce(&ObjectTable) -> T) -> T {
        let state = self.lock();
        read(state.old.as_ref().unwrap_or(&state.table))
    }
}

type Standin = State<Arc<PlatformStandin>>;

#[get("/v1/objects/<kind>/<name>")]
async fn read(standin: &Standin, kind: &str, name: &str) -> Result<Json<ObjectReply>, Status> {
    standin.enter().await?;
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
    let fail = |status, version| (status, Json(WriteReply { version }));
    standin.enter().await.map_err(|status| fail(status, 0))?;
    let outcome = {
        let mut state = standin.lock();
        state.counts.writes += 1;
        let key = (CompactString::from(kind), CompactString::from(name));
        let found = state
            .table
            .objects
            .get(&key)
            .map_or(0, |object| object.version);
        if found != if_version {
            state.counts.conflicts += 1;
            return Err(fail(Status::Conflict, found));
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
            Err(fail(Status::GatewayTimeout, 0))
        } else {
            Ok(Json(WriteReply { version }))
        }
    };
    standin.changed.notify_waiters();
    outcome
}

#[get("/v1/objects")]
async fn list(standin: &Standin) -> Result<Json<ObjectList>, Status> {
    standin.enter().await?;
    standin.lock().counts.reads += 1;
    Ok(Json(standin.read_table(|table| table.stamps(0))))
}

#[get("/v1/watch?<after>&<wait_ms>")]
async fn watch(standin: &Standin, after: u64, wait_ms: u64) -> Result<Json<ObjectList>, Status> {
    standin.enter().await?;
    standin.lock().counts.watches += 1;
    let changed = standin.changed.notified();
    let stamps = standin.read_table(|table| table.stamps(after));
    if stamps.objects.is_empty() {
        // Whether a change or the end of the time came first does not matter.
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
        standin.enter().await?;
        return Ok(Json(standin.read_table(|table| table.stamps(after))));
    }
    Ok(Json(stamps))
}

#[post("/switch", data = "<switch>")]
fn set_switch(standin: &Standin, switch: Json<PlatformSwitch>) -> Json<PlatformSwitch> {
    let mut state = standin.lock();
    state.switch = switch.into_inner();
    if !state.switch.stale {
        state.old = None;
    } else if state.old.is_none() {
        state.old = Some(state.table.clone());
    }
    Json(state.switch)
}

#[get("/counts")]
fn counts(standin: &Standin) -> Json<PlatformCounts> {
    Json(standin.lock().counts)
}

/// The server of the stand-in.
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
