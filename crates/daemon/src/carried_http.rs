//! What the process beside a backend server answers over HTTP when it carries
//! flows through: reports of the backend server, status and health.

use std::net::SocketAddrV4;
use std::sync::Arc;

use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, delete, get, put, routes};

use chestnutlb_core::{BackendNews, HostState, ReportTiming};
use chestnutlb_platform::report::{MAX_REPORT_BYTES, decode_farewell, decode_report};
use chestnutlb_wire::status::SideStatus;

use crate::carried_side::CarriedShared;
use crate::clock;
use crate::metrics::Counter;

#[get("/health")]
fn health(shared: &State<Arc<CarriedShared>>) -> Status {
    match shared.state(clock::now()) {
        HostState::Warming | HostState::Serving => Status::Ok,
        _ => Status::ServiceUnavailable,
    }
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<CarriedShared>>) -> String {
    shared.counters.text()
}

#[get("/v1/status")]
fn status(shared: &State<Arc<CarriedShared>>) -> Json<SideStatus> {
    Json(shared.status())
}

#[put("/v1/backend/<name>", data = "<body>")]
async fn report(
    shared: &State<Arc<CarriedShared>>,
    name: &str,
    body: Data<'_>,
) -> Result<Json<serde_json::Value>, Status> {
    let bytes = read(body).await?;
    let refuse = |cause: &dyn std::fmt::Display| {
        shared.counters.add(Counter::BodiesBad);
        log::info!(target: "host", backend = name, cause:% = cause; "report refused");
        Status::BadRequest
    };
    let report = decode_report(name, &bytes).map_err(|error| refuse(&error))?;
    if report.service != shared.settings.service.service.as_str() {
        return Err(refuse(&"another service"));
    }
    let timing = ReportTiming {
        now: clock::now(),
        age: clock::time_since(report.born_ms),
        uptime: clock::uptime(),
    };
    let news = shared.life().hear(report, timing);
    shared.note_news(news, "report", name);
    Ok(Json(serde_json::json!({})))
}

#[delete("/v1/backend/<name>", data = "<body>")]
async fn farewell(
    shared: &State<Arc<CarriedShared>>,
    name: &str,
    body: Data<'_>,
) -> Result<Json<serde_json::Value>, Status> {
    let bytes = read(body).await?;
    let news = shared.life().leave(name, decode_farewell(&bytes));
    if news != BackendNews::Outdated {
        shared.note_news(news, "farewell", name);
    }
    Ok(Json(serde_json::json!({})))
}

async fn read(body: Data<'_>) -> Result<Vec<u8>, Status> {
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

/// The server of the process.
pub fn server(shared: Arc<CarriedShared>, address: SocketAddrV4) -> Rocket<Build> {
    crate::http::server(address)
        .manage(shared)
        .mount("/", routes![health, metrics, status, report, farewell])
}
