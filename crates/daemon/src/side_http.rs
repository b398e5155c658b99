//! HTTP interface of a side process: status, health and metrics for operators,
//! relays and cancellations for other hosts.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use compact_str::ToCompactString;
use rocket::data::Data;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::tokio::sync::oneshot;
use rocket::{Build, Rocket, State, get, post, routes};

use chestnutlb_core::HostState;
use chestnutlb_wire::peer::{CancelQuery, CancelReply, RelayQuery, RelayReply, write_message};
use chestnutlb_wire::status::SideStatus;

use crate::http::{read_query, read_query_with_limit};
use crate::registration::EntryContact;
use crate::settings::SideSettings;
use crate::side_events::{SideEvent, SideRing, SideShared};

/// Maximum size of a relayed request, in kibibytes: the largest head and body
/// that a manifest may allow, and the message around them.
const MAX_RELAY_KIB: u64 = 17 << 10;

/// State used by the routes.
#[derive(Debug)]
pub struct SideRoutes {
    /// Settings of the process.
    pub settings: Arc<SideSettings>,
    /// State shared by the threads of the process.
    pub shared: Arc<SideShared>,
    /// Event ring of the flow thread.
    pub events: Arc<SideRing>,
}

#[get("/health")]
fn health(routes: &State<SideRoutes>) -> Status {
    match routes.shared.state() {
        HostState::Warming | HostState::Serving => Status::Ok,
        _ => Status::ServiceUnavailable,
    }
}

// Returns 200 while the host can get flows: its backend server is there, and an entry VM knows
// of it.
#[get("/ready")]
fn ready(routes: &State<SideRoutes>) -> Status {
    match routes.shared.contact.get() {
        EntryContact::Replied => health(routes),
        _ => Status::ServiceUnavailable,
    }
}

#[get("/metrics")]
fn metrics(routes: &State<SideRoutes>) -> String {
    routes.shared.counters.text()
}

#[get("/v1/status")]
fn status(routes: &State<SideRoutes>) -> Json<SideStatus> {
    let shared = &routes.shared;
    Json(SideStatus {
        name: routes.settings.name.to_compact_string(),
        service: routes.settings.service.to_compact_string(),
        state: shared.state().to_compact_string(),
        registration: Some(shared.contact.get().as_str().into()),
        manifest: shared.manifest_version().into(),
        flows: shared.flows.load(Ordering::Relaxed),
        running: shared.running.load(Ordering::Relaxed),
        waiting: shared.waiting.load(Ordering::Relaxed),
        usable_slots: None,
        drained: false,
        counters: shared.counters.snapshot(),
    })
}

#[post("/peer/relay", data = "<body>")]
async fn relay(routes: &State<SideRoutes>, body: Data<'_>) -> Result<Vec<u8>, Status> {
    let query: RelayQuery =
        read_query_with_limit(body, MAX_RELAY_KIB, &routes.shared.counters).await?;
    let (sender, receiver) = oneshot::channel();
    if !routes.events.push(SideEvent::Relay(query, sender)) {
        return Ok(write_message(&RelayReply::NotRun));
    }
    let reply = receiver.await.unwrap_or(RelayReply::Unknown);
    Ok(write_message(&reply))
}

#[post("/peer/cancel", data = "<body>")]
async fn cancel(routes: &State<SideRoutes>, body: Data<'_>) -> Result<Vec<u8>, Status> {
    let query: CancelQuery = read_query(body, &routes.shared.counters).await?;
    let (sender, receiver) = oneshot::channel();
    if !routes.events.push(SideEvent::Cancel(query, sender)) {
        return Err(Status::ServiceUnavailable);
    }
    let reply = receiver.await.unwrap_or(CancelReply::Started);
    Ok(write_message(&reply))
}

/// Builds the HTTP server of a side process.
pub fn server(routes: SideRoutes, address: SocketAddrV4) -> Rocket<Build> {
    crate::http::server(address)
        .manage(routes)
        .mount("/", routes![health, ready, metrics, status, relay, cancel])
}
