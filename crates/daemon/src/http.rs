//! The HTTP server that both roles share.

use std::net::SocketAddrV4;
use std::thread::JoinHandle;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::{Build, Rocket};

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
