//! Stand-in for callers: TCP in user space, over the packet fabric.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use chestnutlb_core::{FlowKey, TimePoint};
use chestnutlb_stack::FlowStack;
use chestnutlb_wire::packet::write_reset;
use chestnutlb_wire::scan_segment;

/// Longest wait for a packet before timers and tasks are checked again.
const MAX_WAIT: Duration = Duration::from_millis(5);
/// Time from the record of a flow's result until the flow is dropped even if it is not closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
/// First source port of the flows.
const FIRST_PORT: u16 = 10_000;

/// Kind of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskKind {
    /// One HTTP request, given as bytes, and its response.
    Request(Vec<u8>),
    /// A feed that is held open until [`CallerLoop::end_feeds`] is called.
    Feed,
}

/// A task of a caller, run over one flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerTask {
    /// Number of the task.
    pub id: usize,
    /// Start time of the task, since the start of the loop.
    pub start: Duration,
    /// Address of the service.
    pub service: SocketAddrV4,
    /// Kind of the task.
    pub kind: TaskKind,
    /// Time since the start of the flow after which the caller gives up.
    pub timeout: Duration,
}

/// Result of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEnd {
    /// A complete response was received.
    Answered {
        /// HTTP status.
        status: u16,
        /// The `Chestnut-Outcome` header, if there is one.
        outcome: Option<String>,
        /// The response body.
        body: String,
    },
    /// The feed stayed open until the end, without a gap in its lines.
    FeedHeld {
        /// Number of lines received.
        lines: u64,
        /// Name of the server that sent the lines.
        server: String,
        /// Time since the last line, or since the start of the flow if there was none.
        silent: Duration,
    },
    /// The flow was closed before it was established.
    Refused,
    /// The established flow was closed or reset before its task was complete, or its feed had
    /// an unexpected line; the text gives the details.
    Broken(String),
    /// No result was received within the timeout of the task.
    Timeout,
}

/// Result of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResult {
    /// Number of the task.
    pub id: usize,
    /// The flow over which the task was run.
    pub flow: FlowKey,
    /// How the flow ended.
    pub end: CallerEnd,
    /// Time from the start of the flow to its end.
    pub took: Duration,
    /// End time of the flow, since the start of the loop.
    pub ended: Duration,
}

#[derive(Debug)]
struct CallerFlow {
    task: CallerTask,
    stack: FlowStack,
    started: Instant,
    established: bool,
    sent: usize,
    received: Vec<u8>,
    lines: u64,
    last_line: Instant,
    server: String,
    end_requested: bool,
    finished: Option<Instant>,
}

/// Runs the flows of one caller address in a single thread.
#[derive(Debug)]
pub struct CallerLoop {
    address: Ipv4Addr,
    socket: UdpSocket,
    random: StdRng,
    start: Instant,
    next_port: u16,
    scheduled: BinaryHeap<Reverse<(Duration, usize)>>,
    tasks: HashMap<usize, CallerTask>,
    flows: HashMap<u16, CallerFlow>,
    timers: BinaryHeap<Reverse<(TimePoint, u16)>>,
    results: Vec<CallerResult>,
}

impl CallerLoop {
    /// Creates a caller with the given address, connected to the fabric.
    pub fn new(address: Ipv4Addr, fabric: SocketAddrV4, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.connect(fabric)?;
        Ok(Self {
            address,
            socket,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            next_port: FIRST_PORT,
            scheduled: BinaryHeap::new(),
            tasks: HashMap::new(),
            flows: HashMap::new(),
            timers: BinaryHeap::new(),
            results: Vec::new(),
        })
    }

    /// Schedules a task.
    pub fn add(&mut self, task: CallerTask) {
        self.scheduled.push(Reverse((task.start, task.id)));
        self.tasks.insert(task.id, task);
    }

    /// Returns the time since the start of the loop.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the number of tasks that have not started or whose flow is not closed.
    pub fn open_tasks(&self) -> usize {
        self.scheduled.len() + self.flows.len()
    }

    /// Returns the number of open feeds that have received at least one line.
    pub fn live_feeds(&self) -> usize {
        self.flows.values().filter(|flow| flow.lines > 0).count()
    }

    /// Returns the results so far, in the order in which the flows ended.
    pub fn results(&self) -> &[CallerResult] {
        &self.results
    }

    /// Closes all feeds from the caller's end and runs until every flow is closed.
    pub fn end_feeds(&mut self) {
        let ports: Vec<u16> = self.flows.keys().copied().collect();
        let now = self.now();
        for port in ports {
            if let Some(flow) = self.flows.get_mut(&port)
                && flow.task.kind == TaskKind::Feed
            {
                flow.end_requested = true;
                self.poll_flow(port, now);
            }
        }
        self.run(|_| false);
    }

    fn now(&self) -> TimePoint {
        TimePoint(self.start.elapsed().as_millis() as u64)
    }

    /// Runs until every task is complete or `stop` returns true.
    pub fn run(&mut self, mut stop: impl FnMut(&CallerLoop) -> bool) {
        let mut packet = [0; 2048];
        while self.open_tasks() > 0 && !stop(self) {
            self.start_due_tasks();
            let wait = self.receive_timeout();
            // This fails only for a timeout of zero, which `receive_timeout` never returns.
            let _ = self.socket.set_read_timeout(Some(wait));
            if let Ok(len) = self.socket.recv(&mut packet) {
                self.receive_packet(&packet[..len]);
            }
            self.poll_timers();
        }
    }

    // Returns the time until the next timer or task, at least `MIN_WAIT` and at most `MAX_WAIT`.
    fn receive_timeout(&self) -> Duration {
        const MIN_WAIT: Duration = Duration::from_micros(200);
        let timer = self
            .timers
            .peek()
            .map_or(MAX_WAIT, |Reverse((expiry, _))| expiry.since(self.now()));
        let task = self
            .scheduled
            .peek()
            .map_or(MAX_WAIT, |Reverse((start, _))| {
                start.saturating_sub(self.elapsed())
            });
        timer.min(task).clamp(MIN_WAIT, MAX_WAIT)
    }

    fn start_due_tasks(&mut self) {
        while let Some(Reverse((start, id))) = self.scheduled.peek().copied() {
            if start > self.elapsed() {
                return;
            }
            self.scheduled.pop();
            if let Some(task) = self.tasks.remove(&id) {
                self.open_flow(task);
            }
        }
    }

    fn open_flow(&mut self, task: CallerTask) {
        while self.flows.contains_key(&self.next_port) {
            self.next_port = self.next_port.wrapping_add(1).max(FIRST_PORT);
        }
        let port = self.next_port;
        self.next_port = self.next_port.wrapping_add(1).max(FIRST_PORT);
        let key = FlowKey {
            caller: SocketAddrV4::new(self.address, port),
            service: task.service,
        };
        let now = self.now();
        let Some(stack) = FlowStack::connect(key, self.random.random(), now) else {
            return;
        };
        let flow = CallerFlow {
            task,
            stack,
            started: Instant::now(),
            established: false,
            sent: 0,
            received: Vec::new(),
            lines: 0,
            last_line: Instant::now(),
            server: String::new(),
            end_requested: false,
            finished: None,
        };
        self.flows.insert(port, flow);
        self.poll_flow(port, now);
    }

    fn receive_packet(&mut self, packet: &[u8]) {
        let Ok(segment) = scan_segment(packet) else {
            return;
        };
        let port = segment.key.service.port();
        let now = self.now();
        if let Some(flow) = self.flows.get_mut(&port) {
            flow.stack.deliver(packet);
            self.poll_flow(port, now);
        } else if !segment.is_rst {
            // RFC 9293 section 3.10.7.1: a segment for a closed connection is answered with a
            // reset.
            let _ = self.socket.send(&write_reset(&segment));
        }
    }

    fn poll_timers(&mut self) {
        let now = self.now();
        while let Some(Reverse((expiry, port))) = self.timers.peek().copied() {
            if expiry > now {
                return;
            }
            self.timers.pop();
            self.poll_flow(port, now);
        }
    }

    // Transfers data of a flow, records its result, sends its packets and schedules its
    // next poll; removes the flow once it is closed.
    fn poll_flow(&mut self, port: u16, now: TimePoint) {
        let Some(mut flow) = self.flows.remove(&port) else {
            return;
        };
        flow.stack.poll(now);
        flow.established |= flow.stack.is_established();
        let mut end = match flow.finished {
            None => flow.transfer(),
            Some(_) => None,
        };
        flow.stack.poll(now);
        while let Some(packet) = flow.stack.pop_packet() {
            // A packet that cannot be sent is retransmitted later.
            let _ = self.socket.send(&packet);
        }
        if end.is_none() && flow.finished.is_none() && flow.started.elapsed() > flow.task.timeout {
            end = Some(CallerEnd::Timeout);
        }
        if let Some(end) = end {
            self.results.push(CallerResult {
                id: flow.task.id,
                flow: FlowKey {
                    caller: SocketAddrV4::new(self.address, port),
                    service: flow.task.service,
                },
                end,
                took: flow.started.elapsed(),
                ended: self.elapsed(),
            });
            flow.finished = Some(Instant::now());
            flow.stack.socket_mut().close();
            flow.stack.poll(now);
            while let Some(packet) = flow.stack.pop_packet() {
                // A packet that cannot be sent is retransmitted later.
                let _ = self.socket.send(&packet);
            }
        }
        let close_timed_out = flow
            .finished
            .is_some_and(|finished| finished.elapsed() > CLOSE_LIMIT);
        if flow.finished.is_some() && (close_timed_out || flow.stack.is_closed()) {
            return;
        }
        let timer = flow.stack.next_due(now).unwrap_or(now + MAX_WAIT * 10);
        // A poll at least every 50 ms also checks the timeout of the task and the limit for
        // closing, which are not timers of the stack.
        let limit = now + Duration::from_millis(50);
        self.timers.push(Reverse((
            timer.min(limit).max(now + Duration::from_millis(1)),
            port,
        )));
        self.flows.insert(port, flow);
    }
}

impl CallerFlow {
    // Sends and receives what the socket allows; returns the result once there is one.
    fn transfer(&mut self) -> Option<CallerEnd> {
        let socket = self.stack.socket_mut();
        if let TaskKind::Request(bytes) = &self.task.kind {
            while self.sent < bytes.len() && socket.can_send() {
                match socket.send_slice(&bytes[self.sent..]) {
                    Ok(len) if len > 0 => self.sent += len,
                    _ => break,
                }
            }
        }
        while socket.can_recv() {
            let received = &mut self.received;
            let consumed = socket.recv(|bytes| {
                received.extend_from_slice(bytes);
                (bytes.len(), bytes.len())
            });
            if !matches!(consumed, Ok(len) if len > 0) {
                break;
            }
        }
        let peer_closed = !socket.may_recv();
        match self.task.kind {
            TaskKind::Request(_) => self.parse_response(peer_closed),
            TaskKind::Feed => self.check_feed(peer_closed),
        }
    }

    fn parse_response(&mut self, peer_closed: bool) -> Option<CallerEnd> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        if let Ok(httparse::Status::Complete(head)) = response.parse(&self.received) {
            let find = |name: &str| {
                response
                    .headers
                    .iter()
                    .find(|header| header.name.eq_ignore_ascii_case(name))
                    .map(|header| String::from_utf8_lossy(header.value).into_owned())
            };
            let length: usize = find("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if let Some(body) = self.received.get(head..head + length) {
                return Some(CallerEnd::Answered {
                    status: response.code.unwrap_or(0),
                    outcome: find("chestnut-outcome"),
                    body: String::from_utf8_lossy(body).into_owned(),
                });
            }
        }
        self.check_closed(peer_closed)
    }

    // Checks that lines come from one server and are numbered without a gap.
    fn check_feed(&mut self, peer_closed: bool) -> Option<CallerEnd> {
        while let Some(newline) = self.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.received.drain(..=newline).collect();
            let line = String::from_utf8_lossy(&line);
            let Some((server, number)) = line.trim_end().split_once(' ') else {
                return Some(CallerEnd::Broken(format!(
                    "line without a number: {line:?}"
                )));
            };
            if number.parse() != Ok(self.lines) || (self.lines > 0 && server != self.server) {
                return Some(CallerEnd::Broken(format!(
                    "unexpected line {line:?} after {} lines",
                    self.lines
                )));
            }
            self.server = server.to_owned();
            self.lines += 1;
            self.last_line = Instant::now();
        }
        if self.end_requested {
            return Some(CallerEnd::FeedHeld {
                lines: self.lines,
                server: self.server.clone(),
                silent: self.last_line.elapsed(),
            });
        }
        self.check_closed(peer_closed)
    }

    // Returns the result of a flow that was closed before its task was complete.
    fn check_closed(&self, peer_closed: bool) -> Option<CallerEnd> {
        if !peer_closed || (!self.established && !self.stack.is_closed()) {
            return None;
        }
        if self.established {
            let text = format!("closed after {} bytes", self.received.len());
            Some(CallerEnd::Broken(text))
        } else {
            Some(CallerEnd::Refused)
        }
    }
}
