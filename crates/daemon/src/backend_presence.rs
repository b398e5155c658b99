//! The thread of a side process that connects to its backend server to find out whether that one
//! started after it.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use chestnutlb_core::{ConnectAnswer, StartObserver, TimePoint};

use crate::clock;
use crate::metrics::Counter;
use crate::passthrough_side::PassthroughShared;

/// Interval between two checks whether an attempt is due.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of an attempt, and least time between two of them.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of attempts of a process, for a backend server that listens for no connections or
/// hangs.
const MAX_ATTEMPTS: u32 = 16;

/// Time without a report, in tenths of the report period, after which the backend server may have
/// ended.
const OVERDUE_TENTHS: u32 = 12;

/// Runs until it is known that the backend server started after this process, or this process
/// has run for `flow_age` and has seen all flows anyway, or after [`MAX_ATTEMPTS`].
pub fn run(shared: &Arc<PassthroughShared>, flow_age: Duration) {
    let mut last_attempt = None;
    let mut attempts = 0;
    while clock::uptime() < flow_age && attempts < MAX_ATTEMPTS {
        let now = clock::now();
        let observer = shared.backend().start_observer();
        if observer.proof().is_some() {
            return;
        }
        if is_attempt_due(shared, observer, last_attempt, now) {
            last_attempt = Some(now);
            attempts += 1;
            attempt(shared);
        }
        sleep(CHECK_PERIOD);
    }
}

// The first attempt may find the address without a listener, as may one while reports are
// overdue. After a refusal, a report shows that a backend server is there.
fn is_attempt_due(
    shared: &PassthroughShared,
    observer: StartObserver,
    last_attempt: Option<TimePoint>,
    now: TimePoint,
) -> bool {
    let Some(last_attempt) = last_attempt else {
        return true;
    };
    if now.since(last_attempt) < CONNECT_TIMEOUT {
        return false;
    }
    let Some(last_report) = shared.backend().last_seen() else {
        return false;
    };
    match observer {
        StartObserver::Refused => last_report > last_attempt,
        _ => shared
            .report_period
            .is_some_and(|period| now.since(last_report) > period * OVERDUE_TENTHS / 10),
    }
}

fn attempt(shared: &PassthroughShared) {
    shared.counters.add(Counter::BackendConnects);
    let address = shared.settings.backend.into();
    let answer = match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        Ok(_) => ConnectAnswer::Accepted,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ConnectAnswer::Refused,
        Err(_) => ConnectAnswer::Unknown,
    };
    let mut backend = shared.backend();
    backend.record_connect_answer(answer);
    log::info!(
        target: "host",
        backend:% = address, answer = answer.as_str(),
        uptime_ms = clock::uptime().as_millis() as u64,
        known_from_start = backend.observed_start().is_some();
        "connected"
    );
}
