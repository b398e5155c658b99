//! The HTTP server of a side process with passthrough flows: reports of the backend
//! server, status and health.

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

#[get("/health")]
fn health(shared: &State<Arc<PassthroughShared>>) -> Status {
    match shared.state(clock::now()) {
        HostState::Warming | HostState::Serving => Status::Ok,
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
    let bytes = read_report_body(body).await?;
    let reject = |cause: &dyn std::fmt::Display| {
        shared.counters.add(Counter::BodiesBad);
        log::info!(target: "host", backend = name, cause:% = cause; "report refused");
        Status::BadRequest
    };
    let report = decode_report(name, &bytes).map_err(|error| reject(&error))?;
    if report.service != shared.settings.service.service.as_str() {
        return Err(reject(&"another service"));
    }
    let timing = ReportTiming {
        now: clock::now(),
        age: clock::time_since(report.born_ms),
        uptime: clock::uptime(),
    };
    let change = shared.backend().record_report(report, timing);
    shared.record_backend_change(change, "report", name);
    Ok(Json(serde_json::json!({})))
}

#[delete("/v1/backend/<name>", data = "<body>")]
async fn deregister(
    shared: &State<Arc<PassthroughShared>>,
    name: &str,
    body: Data<'_>,
) -> Result<Json<serde_json::Value>, Status> {
    let bytes = read_report_body(body).await?;
    let change = shared
        .backend()
        .record_deregistration(name, decode_deregistration(&bytes));
    if change != BackendChange::Outdated {
        shared.record_backend_change(change, "farewell", name);
    }
    Ok(Json(serde_json::json!({})))
}

// Reads a body of at most [`MAX_REPORT_BYTES`].
async fn read_report_body(body: Data<'_>) -> Result<Vec<u8>, Status> {
    let bytes = body
        .open(MAX_REPORT_BYTES.bytes())
        .into_bytes()
        .await
        .map_err(|_| Status::BadRequest)?;
    if bytes.is_complete() {
        Ok(bytes.into_inner())
    } else {
        Err(Status::PayloadTooLarge)
    }
}

/// Returns the HTTP server of the process.
pub fn server(shared: Arc<PassthroughShared>, address: SocketAddrV4) -> Rocket<Build> {
    crate::http::server(address)
        .manage(shared)
        .mount("/", routes![health, metrics, status, report, deregister])
}
