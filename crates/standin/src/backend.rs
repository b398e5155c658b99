//! Stand-in of a backend server: slots, cold start, shedding, cancellation,
//! deadlines, and a health and load endpoint that may lag or lie.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::small_http::{SmallRequest, read_request, write_reply};

/// Time between two lines of a feed.
pub const FEED_PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks at whether the asker has gone.
const CANCEL_POLL: Duration = Duration::from_millis(10);

/// How a backend server behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendPlan {
    /// Name, told in each answer.
    pub name: String,
    /// Whether it serves feeds instead of requests.
    pub feeds: bool,
    /// Requests at once.
    pub slots: usize,
    /// Requests that may wait; more are shed.
    pub queue: usize,
    /// Speed; 1 is ordinary.
    pub speed: f64,
    /// Time after the start in which it is at a third of its speed.
    pub cold: Duration,
    /// Age of what the load endpoint tells.
    pub lag: Duration,
    /// Whether the load endpoint claims to be idle.
    pub lies: bool,
}

/// What a backend server reports.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BackendReport {
    /// Requests that run, as of some time ago.
    pub load: usize,
    /// How often each order was started.
    pub starts: BTreeMap<String, u32>,
    /// How often each order was finished.
    pub finishes: BTreeMap<String, u32>,
    /// Busy time of all slots, in milliseconds.
    pub busy_ms: u64,
}

#[derive(Debug, Default)]
struct BackendState {
    running: usize,
    waiting: usize,
    starts: BTreeMap<String, u32>,
    finishes: BTreeMap<String, u32>,
    busy: Duration,
    loads: VecDeque<(Instant, usize)>,
}

#[derive(Debug)]
struct Backend {
    plan: BackendPlan,
    started: Instant,
    state: Mutex<BackendState>,
    freed: Condvar,
    draining: AtomicBool,
    feeds: AtomicUsize,
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

    // Waits for a slot; false if the work is shed.
    fn take_slot(&self) -> bool {
        let mut state = self.lock();
        if state.running >= self.plan.slots && state.waiting >= self.plan.queue {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.plan.slots {
            state = self
                .freed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        state.running += 1;
        note_load(&mut state);
        true
    }

    fn free_slot(&self, busy: Duration) {
        let mut state = self.lock();
        state.running -= 1;
        state.busy += busy;
        note_load(&mut state);
        self.freed.notify_one();
    }

    fn report(&self) -> BackendReport {
        let state = self.lock();
        let load = if self.plan.lies {
            0
        } else {
            let then = Instant::now().checked_sub(self.plan.lag);
            state
                .loads
                .iter()
                .rev()
                .find(|(at, _)| then.is_none_or(|then| *at <= then))
                .map_or(0, |(_, load)| *load)
        };
        BackendReport {
            load,
            starts: state.starts.clone(),
            finishes: state.finishes.clone(),
            busy_ms: state.busy.as_millis() as u64,
        }
    }
}

fn note_load(state: &mut BackendState) {
    const KEPT_LOADS: usize = 4096;
    let load = state.running;
    state.loads.push_back((Instant::now(), load));
    if state.loads.len() > KEPT_LOADS {
        state.loads.pop_front();
    }
}

/// Runs a backend server; work arrives at `work`, `health` answers
/// `GET /health`, `GET /report` and `POST /drain`.
pub fn run(plan: BackendPlan, work: SocketAddrV4, health: SocketAddrV4) -> std::io::Result<()> {
    let backend = Arc::new(Backend {
        plan,
        started: Instant::now(),
        state: Mutex::default(),
        freed: Condvar::new(),
        draining: AtomicBool::new(false),
        feeds: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind(work)?;
    let admin = TcpListener::bind(health)?;
    let sharing = Arc::clone(&backend);
    std::thread::spawn(move || {
        for stream in admin.incoming().flatten() {
            let mut stream = stream;
            if let Some(request) = read_request(&mut stream) {
                // The asker may have gone.
                let _ = answer_admin(&sharing, &request, &mut stream);
            }
        }
    });
    for stream in listener.incoming().flatten() {
        let sharing = Arc::clone(&backend);
        std::thread::Builder::new()
            .stack_size(64 << 10)
            .spawn(move || {
                // Callers may go at any time.
                let _ = if sharing.plan.feeds {
                    feed(&sharing, stream)
                } else {
                    work_on(&sharing, stream)
                };
            })?;
    }
    Ok(())
}

fn answer_admin(
    backend: &Backend,
    request: &SmallRequest,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    match request.path.as_str() {
        "/health" if backend.draining.load(Ordering::Relaxed) => {
            write_reply(stream, 503, "draining")
        }
        "/health" => write_reply(stream, 200, "ready"),
        "/drain" => {
            backend.draining.store(true, Ordering::Relaxed);
            write_reply(stream, 200, "draining")
        }
        "/report" => {
            let text = serde_json::to_string(&backend.report()).unwrap_or_default();
            write_reply(stream, 200, &text)
        }
        _ => write_reply(stream, 404, ""),
    }
}

// Sends numbered lines for as long as the caller stays; each line names the
// server, so that a caller sees whether its feed moved.
fn feed(backend: &Backend, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    backend.feeds.fetch_add(1, Ordering::Relaxed);
    let mut number = 0u64;
    let mut heard = [0; 256];
    let outcome = loop {
        match stream.read(&mut heard) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => break Err(error),
        }
        let line = format!("{} {number}\n", backend.plan.name);
        match stream.write(line.as_bytes()) {
            // A full socket takes the same line later.
            Ok(len) if len == line.len() => number += 1,
            Ok(_) => break Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => break Err(error),
        }
        std::thread::sleep(FEED_PERIOD);
    };
    backend.feeds.fetch_sub(1, Ordering::Relaxed);
    outcome
}

fn work_on(backend: &Backend, mut stream: TcpStream) -> std::io::Result<()> {
    let Some(request) = read_request(&mut stream) else {
        return Ok(());
    };
    let work_ms = scan_number(&request, "work-ms").unwrap_or(1.0);
    let left_ms = scan_number(&request, "chestnut-deadline-ms").unwrap_or(f64::MAX);
    let wanted = Duration::from_secs_f64(work_ms / 1000.0 / backend.speed());
    if wanted.as_secs_f64() * 1000.0 > left_ms || !backend.take_slot() {
        write!(
            stream,
            "HTTP/1.1 503 -\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )?;
        return Ok(());
    }
    let order = request.header("order-id").unwrap_or("none").to_owned();
    *backend.lock().starts.entry(order.clone()).or_default() += 1;
    let begun = Instant::now();
    let stayed = run_for(&stream, wanted);
    if stayed {
        *backend.lock().finishes.entry(order.clone()).or_default() += 1;
    }
    backend.free_slot(begun.elapsed());
    if !stayed {
        return Ok(());
    }
    let body = format!(
        "{{\"host\":\"{}\",\"order\":\"{order}\",\"nonce\":\"{}\",\"bytes\":{}}}",
        backend.plan.name,
        request.header("nonce").unwrap_or(""),
        request.body.len(),
    );
    write_reply(&mut stream, 200, &body)
}

fn scan_number(request: &SmallRequest, name: &str) -> Option<f64> {
    request.header(name)?.parse().ok()
}

// Works until the time is over; false if the asker has gone.
fn run_for(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let mut byte = [0; 1];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        let wait = left.min(CANCEL_POLL);
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
