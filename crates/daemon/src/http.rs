//! HTTP code shared by both roles: the server configuration and reading bodies up to
//! a size limit.

use std::io::Read;
use std::net::SocketAddrV4;
use std::thread::JoinHandle;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::{Build, Rocket};

use chestnutlb_wire::peer::{MAX_PEER_BODY_BYTES, scan_message};

use crate::metrics::{Counter, CounterSet};

/// Size limit of a peer's query, in kibibytes.
const MAX_QUERY_KIB: u64 = 256;

/// Worker threads of the HTTP server.
const HTTP_WORKERS: usize = 2;

/// Returns a server on `address` without routes.
pub fn server(address: SocketAddrV4) -> Rocket<Build> {
    let config = Config {
        address: (*address.ip()).into(),
        port: address.port(),
        workers: HTTP_WORKERS,
        log_level: LogLevel::Off,
        cli_colors: false,
        // The daemon handles signals itself.
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// Starts the thread that runs the server. If the server fails, the process ends,
/// since neither peers nor health checks could reach it.
pub fn start(server: Rocket<Build>) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || {
            if let Err(error) = rocket::execute(server.launch()) {
                log::error!(target: "http", cause:% = error; "HTTP server failed");
                std::process::exit(crate::EXIT_FAILURE);
            }
        })
}

/// Reads a peer's query of at most [`MAX_QUERY_KIB`].
pub async fn read_query<T: serde::de::DeserializeOwned>(
    body: Data<'_>,
    counters: &CounterSet,
) -> Result<T, Status> {
    read_query_with_limit(body, MAX_QUERY_KIB, counters).await
}

/// Reads a peer's query of at most `limit_kib` kibibytes. A malformed or oversized
/// body is counted and logged.
pub async fn read_query_with_limit<T: serde::de::DeserializeOwned>(
    body: Data<'_>,
    limit_kib: u64,
    counters: &CounterSet,
) -> Result<T, Status> {
    let reject = |status| {
        counters.add(Counter::BodiesBad);
        log::info!(target: "http", status:% = status; "bad body");
        status
    };
    let bytes = body
        .open(limit_kib.kibibytes())
        .into_bytes()
        .await
        .map_err(|_| reject(Status::BadRequest))?;
    if !bytes.is_complete() {
        return Err(reject(Status::PayloadTooLarge));
    }
    scan_message(&bytes).map_err(|_| reject(Status::BadRequest))
}

/// Reads the body of a peer's response, truncated to [`MAX_PEER_BODY_BYTES`].
pub fn read_body(response: ureq::Response) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    response
        .into_reader()
        .take(MAX_PEER_BODY_BYTES)
        .read_to_end(&mut bytes)
        .map_err(|error| error.to_string())?;
    Ok(bytes)
}
