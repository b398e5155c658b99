//! Stand-in for a backend server: slots, cold start, load shedding, cancellation,
//! deadlines, and a health and load endpoint whose figures can be set to be outdated or false.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::http::{HttpRequest, read_request, write_response};

/// Interval between two lines of a feed.
pub const FEED_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a running request checks whether its connection has closed.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Configuration of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendPlan {
    /// Name, included in each response and each line of a feed.
    pub name: String,
    /// Whether the server serves feeds instead of requests.
    pub feeds: bool,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Number of requests that may wait for a slot; any above this are shed.
    pub queue: usize,
    /// Speed relative to an ordinary host, which has speed 1.
    pub speed: f64,
    /// Time after the start during which the server runs at a third of its speed.
    pub cold: Duration,
    /// Age of the load in the report.
    pub lag: Duration,
    /// Whether the report always shows a load of 0.
    pub reports_idle: bool,
}

/// Report of a backend server, served at `GET /report`.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BackendReport {
    /// Requests that were running [`BackendPlan::lag`] ago.
    pub load: usize,
    /// Number of times each order was started.
    pub starts: BTreeMap<String, u32>,
    /// Number of times each order was finished.
    pub finishes: BTreeMap<String, u32>,
    /// Total busy time of all slots, in milliseconds.
    pub busy_ms: u64,
}

#[derive(Debug, Default)]
struct BackendState {
    running: usize,
    waiting: usize,
    starts: BTreeMap<String, u32>,
    finishes: BTreeMap<String, u32>,
    busy_time: Duration,
    load_history: VecDeque<(Instant, usize)>,
}

#[derive(Debug)]
struct Backend {
    plan: BackendPlan,
    started: Instant,
    state: Mutex<BackendState>,
    slot_freed: Condvar,
    draining: AtomicBool,
    open_feeds: AtomicUsize,
}

impl Backend {
    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn speed(&self) -> f64 {
        if self.started.elapsed() < self.plan.cold {
            self.plan.speed / 3.0
        } else {
            self.plan.speed
        }
    }

    // Waits for a slot. Returns false if the queue is full, so that the request is shed.
    fn acquire_slot(&self) -> bool {
        let mut state = self.lock();
        if state.running >= self.plan.slots && state.waiting >= self.plan.queue {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.plan.slots {
            state = self
                .slot_freed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        state.running += 1;
        record_load(&mut state);
        true
    }

    fn release_slot(&self, busy: Duration) {
        let mut state = self.lock();
        state.running -= 1;
        state.busy_time += busy;
        record_load(&mut state);
        self.slot_freed.notify_one();
    }

    fn report(&self) -> BackendReport {
        let state = self.lock();
        let load = if self.plan.reports_idle {
            0
        } else {
            let cutoff = Instant::now().checked_sub(self.plan.lag);
            state
                .load_history
                .iter()
                .rev()
                .find(|(recorded_at, _)| cutoff.is_none_or(|cutoff| *recorded_at <= cutoff))
                .map_or(0, |(_, load)| *load)
        };
        BackendReport {
            load,
            starts: state.starts.clone(),
            finishes: state.finishes.clone(),
            busy_ms: state.busy_time.as_millis() as u64,
        }
    }
}

fn record_load(state: &mut BackendState) {
    const LOAD_HISTORY_LIMIT: usize = 4096;
    let load = state.running;
    state.load_history.push_back((Instant::now(), load));
    if state.load_history.len() > LOAD_HISTORY_LIMIT {
        state.load_history.pop_front();
    }
}

/// Runs a backend server. Requests or feeds arrive at `work`; `health` serves
/// `GET /health`, `GET /report` and `POST /drain`.
pub fn run(plan: BackendPlan, work: SocketAddrV4, health: SocketAddrV4) -> std::io::Result<()> {
    let backend = Arc::new(Backend {
        plan,
        started: Instant::now(),
        state: Mutex::default(),
        slot_freed: Condvar::new(),
        draining: AtomicBool::new(false),
        open_feeds: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind(work)?;
    let admin = TcpListener::bind(health)?;
    let shared = Arc::clone(&backend);
    std::thread::spawn(move || {
        for stream in admin.incoming().flatten() {
            let mut stream = stream;
            if let Some(request) = read_request(&mut stream) {
                // The client may have closed the connection, which is no error here.
                let _ = serve_admin(&shared, &request, &mut stream);
            }
        }
    });
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&backend);
        std::thread::Builder::new()
            .stack_size(64 << 10)
            .spawn(move || {
                // The caller may have closed its connection, which is no error here.
                let _ = if shared.plan.feeds {
                    serve_feed(&shared, stream)
                } else {
                    serve_request(&shared, stream)
                };
            })?;
    }
    Ok(())
}

fn serve_admin(
    backend: &Backend,
    request: &HttpRequest,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    match request.path.as_str() {
        "/health" if backend.draining.load(Ordering::Relaxed) => {
            write_response(stream, 503, "draining")
        }
        "/health" => write_response(stream, 200, "ready"),
        "/drain" => {
            backend.draining.store(true, Ordering::Relaxed);
            write_response(stream, 200, "draining")
        }
        "/report" => {
            let text = serde_json::to_string(&backend.report()).unwrap_or_default();
            write_response(stream, 200, &text)
        }
        _ => write_response(stream, 404, ""),
    }
}

// Sends numbered lines until the caller closes the connection. Each line contains the
// server's name, so that a caller detects a feed that has moved to another host.
fn serve_feed(backend: &Backend, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    backend.open_feeds.fetch_add(1, Ordering::Relaxed);
    let mut number = 0u64;
    let mut input = [0; 256];
    let outcome = loop {
        match stream.read(&mut input) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => break Err(error),
        }
        let line = format!("{} {number}\n", backend.plan.name);
        match stream.write(line.as_bytes()) {
            Ok(len) if len == line.len() => number += 1,
            Ok(_) => break Ok(()),
            // The send buffer is full; the same line is sent after the next interval.
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => break Err(error),
        }
        std::thread::sleep(FEED_INTERVAL);
    };
    backend.open_feeds.fetch_sub(1, Ordering::Relaxed);
    outcome
}

fn serve_request(backend: &Backend, mut stream: TcpStream) -> std::io::Result<()> {
    let Some(request) = read_request(&mut stream) else {
        return Ok(());
    };
    let work_ms = numeric_header(&request, "work-ms").unwrap_or(1.0);
    let left_ms = numeric_header(&request, "chestnut-deadline-ms").unwrap_or(f64::MAX);
    let work_time = Duration::from_secs_f64(work_ms / 1000.0 / backend.speed());
    if work_time.as_secs_f64() * 1000.0 > left_ms || !backend.acquire_slot() {
        write!(
            stream,
            "HTTP/1.1 503 -\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )?;
        return Ok(());
    }
    let order = request.header("order-id").unwrap_or("none").to_owned();
    *backend.lock().starts.entry(order.clone()).or_default() += 1;
    let work_start = Instant::now();
    let completed = work_for(&stream, work_time);
    if completed {
        *backend.lock().finishes.entry(order.clone()).or_default() += 1;
    }
    backend.release_slot(work_start.elapsed());
    if !completed {
        return Ok(());
    }
    let body = format!(
        "{{\"host\":\"{}\",\"order\":\"{order}\",\"nonce\":\"{}\",\"bytes\":{}}}",
        backend.plan.name,
        request.header("nonce").unwrap_or(""),
        request.body.len(),
    );
    write_response(&mut stream, 200, &body)
}

fn numeric_header(request: &HttpRequest, name: &str) -> Option<f64> {
    request.header(name)?.parse().ok()
}

// Simulates work for the given time; returns false if the connection closes before it ends.
fn work_for(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let mut byte = [0; 1];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        let wait = left.min(CANCEL_POLL_INTERVAL);
        if stream.set_read_timeout(Some(wait)).is_err() {
            return false;
        }
        match stream.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => std::thread::sleep(wait),
            Err(error) => match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {}
                _ => return false,
            },
        }
    }
}
