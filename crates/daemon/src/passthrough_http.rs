//! The HTTP server of a side process with passthrough flows: reports of the backend
//! server, status and health.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::sync::Arc;

use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, delete, get, put, routes};

use chestnutlb_core::{BackendChange, HostState, ReportTiming};
use chestnutlb_platform::report::{MAX_REPORT_BYTES, decode_deregistration, decode_report};
use chestnutlb_wire::status::SideStatus;

use crate::clock;
use crate::metrics::Counter;
use crate::passthrough_side::PassthroughShared;
use crate::registration::EntryContact;

#[get("/health")]
fn health(shared: &State<Arc<PassthroughShared>>) -> Status {
    match shared.state(clock::now()) {
        HostState::Warming | HostState::Serving => Status::Ok,
        _ => Status::ServiceUnavailable,
    }
}

// Returns 200 while the host can get flows: its backend server is there, and an entry VM knows
// of it.
#[get("/ready")]
fn ready(shared: &State<Arc<PassthroughShared>>) -> Status {
    match shared.contact.get() {
        EntryContact::Replied => health(shared),
        _ => Status::ServiceUnavailable,
    }
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<PassthroughShared>>) -> String {
    shared.counters.text()
}

#[get("/v1/status")]
fn status(shared: &State<Arc<PassthroughShared>>) -> Json<SideStatus> {
    Json(shared.status())
}

#[put("/v1/backend/<name>", data = "<body>")]
async fn report(
    shared: &State<Arc<PassthroughShared>>,
    name: &str,
    body: Data<'_>,
) -> Result<Json<serde_json::Value>, Status> {
    let bytes = read_report_body(shared, name, body).await?;
    let report = decode_report(name, &bytes).map_err(|error| reject(shared, name, &error))?;
    shared
        .identity
        .check(&report)
        .map_err(|error| reject(shared, name, &error))?;
    let timing = ReportTiming {
        now: clock::now(),
        report_period: shared.report_period,
    };
    let change = shared.backend().record_report(report, timing);
    shared.record_backend_change(change, "report", name);
    acknowledge(change)
}

#[delete("/v1/backend/<name>", data = "<body>")]
async fn deregister(
    shared: &State<Arc<PassthroughShared>>,
    name: &str,
    body: Data<'_>,
) -> Result<Json<serde_json::Value>, Status> {
    let bytes = read_report_body(shared, name, body).await?;
    let born_ms = decode_deregistration(&bytes).map_err(|error| reject(shared, name, &error))?;
    let change = shared.backend().record_deregistration(name, born_ms);
    shared.record_backend_change(change, "farewell", name);
    acknowledge(change)
}

// Acknowledges what has an effect, or had it before. A backend server whose report has none must
// not rely on it: it would leave while flows still come.
fn acknowledge(change: BackendChange) -> Result<Json<serde_json::Value>, Status> {
    match change {
        BackendChange::Outdated => Err(Status::Conflict),
        BackendChange::Same | BackendChange::NewLife | BackendChange::Changed => {
            Ok(Json(serde_json::json!({})))
        }
    }
}

// Counts and logs a report or deregistration that names no backend server which can run here.
fn reject(shared: &PassthroughShared, name: &str, cause: &dyn Display) -> Status {
    shared.counters.add(Counter::BodiesBad);
    log::info!(target: "host", backend = name, cause:% = cause; "report refused");
    Status::BadRequest
}

// Reads a body of at most [`MAX_REPORT_BYTES`].
async fn read_report_body(
    shared: &PassthroughShared,
    name: &str,
    body: Data<'_>,
) -> Result<Vec<u8>, Status> {
    let bytes = body
        .open(MAX_REPORT_BYTES.bytes())
        .into_bytes()
        .await
        .map_err(|error| reject(shared, name, &error))?;
    if bytes.is_complete() {
        Ok(bytes.into_inner())
    } else {
        reject(shared, name, &"too large");
        Err(Status::PayloadTooLarge)
    }
}

/// Returns the HTTP server of the process.
pub fn server(shared: Arc<PassthroughShared>, address: SocketAddrV4) -> Rocket<Build> {
    crate::http::server(address).manage(shared).mount(
        "/",
        routes![health, ready, metrics, status, report, deregister],
    )
}
