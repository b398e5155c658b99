//! What both roles share of HTTP: the server, and reading bodies within limits.

use std::io::Read;
use std::net::SocketAddrV4;
use std::thread::JoinHandle;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::{Build, Rocket};

use chestnutlb_wire::peer::{MAX_PEER_BODY_BYTES, scan_message};

use crate::metrics::{Counter, CounterSet};

/// Largest query of a peer, in kibibytes.
const MAX_QUERY_KIB: u64 = 256;

/// Threads that answer over HTTP.
const HTTP_WORKERS: usize = 2;

/// A server without routes.
pub fn server(address: SocketAddrV4) -> Rocket<Build> {
    let config = Config {
        address: (*address.ip()).into(),
        port: address.port(),
        workers: HTTP_WORKERS,
        log_level: LogLevel::Off,
        cli_colors: false,
        // Signals are handled by the process itself.
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// Starts the thread that serves. A server that can't start ends the process,
/// since nobody could see how it is.
pub fn start(server: Rocket<Build>) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || {
            if let Err(error) = rocket::execute(server.launch()) {
                log::error!(target: "http", cause:% = error; "can't serve");
                std::process::exit(crate::EXIT_FAILURE);
            }
        })
}

/// Reads a query of a peer.
pub async fn read_query<T: serde::de::DeserializeOwned>(
    body: Data<'_>,
    counters: &CounterSet,
) -> Result<T, Status> {
    read_query_of(body, MAX_QUERY_KIB, counters).await
}

/// Reads a query of a peer with a limit of its own, in kibibytes.
pub async fn read_query_of<T: serde::de::DeserializeOwned>(
    body: Data<'_>,
    limit_kib: u64,
    counters: &CounterSet,
) -> Result<T, Status> {
    let bad = |status| {
        counters.add(Counter::BodiesBad);
        log::info!(target: "http", status:% = status; "bad body");
        status
    };
    let bytes = body
        .open(limit_kib.kibibytes())
        .into_bytes()
        .await
        .map_err(|_| bad(Status::BadRequest))?;
    if !bytes.is_complete() {
        return Err(bad(Status::PayloadTooLarge));
    }
    scan_message(&bytes).map_err(|_| bad(Status::BadRequest))
}

/// Reads the body of a peer's answer, up to the limit.
pub fn read_body(answer: ureq::Response) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    answer
        .into_reader()
        .take(MAX_PEER_BODY_BYTES)
        .read_to_end(&mut bytes)
        .map_err(|error| error.to_string())?;
    Ok(bytes)
}
