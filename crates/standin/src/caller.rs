//! Stand-in of callers: real TCP from user space, over the packet fabric.

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

/// Longest wait for a packet.
const MAX_WAIT: Duration = Duration::from_millis(5);
/// Time for a flow to close after its caller is done.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
/// First port of a caller's flows.
const FIRST_PORT: u16 = 10_000;

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerWish {
    /// One request and its answer.
    Request(Vec<u8>),
    /// A feed, held open until [`CallerLoop::end_feeds`].
    Feed,
}

/// One flow to be opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerTask {
    /// Number of the task.
    pub id: usize,
    /// When it starts, since the loop's start.
    pub start: Duration,
    /// The service.
    pub service: SocketAddrV4,
    /// What is wanted.
    pub wish: CallerWish,
    /// Time after which the caller gives up.
    pub patience: Duration,
}

/// How a flow ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEnd {
    /// A whole answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// The `Chestnut-Outcome` header, if there is one.
        outcome: Option<String>,
        /// The body.
        body: String,
    },
    /// The feed was held to the end without a gap.
    FeedHeld {
        /// Lines that came.
        lines: u64,
        /// The server that it came from.
        server: String,
        /// Time since the last line.
        silent: Duration,
    },
    /// The flow was refused before anything was sent.
    Refused,
    /// The flow was cut.
    Broken(String),
    /// The caller gave up.
    Timeout,
}

/// What became of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResult {
    /// Number of the task.
    pub id: usize,
    /// The flow.
    pub flow: FlowKey,
    /// How it ended.
    pub end: CallerEnd,
    /// Time from its start to its end.
    pub took: Duration,
    /// When it ended, since the loop's start.
    pub at: Duration,
}

#[derive(Debug)]
struct CallerFlow {
    task: CallerTask,
    stack: FlowStack,
    begun: Instant,
    established: bool,
    sent: usize,
    received: Vec<u8>,
    lines: u64,
    last_line: Instant,
    server: String,
    ending: bool,
    done: Option<Instant>,
}

/// A caller's machine: one address, many flows.
#[derive(Debug)]
pub struct CallerLoop {
    address: Ipv4Addr,
    socket: UdpSocket,
    random: StdRng,
    start: Instant,
    next_port: u16,
    waiting: BinaryHeap<Reverse<(Duration, usize)>>,
    tasks: HashMap<usize, CallerTask>,
    flows: HashMap<u16, CallerFlow>,
    due: BinaryHeap<Reverse<(TimePoint, u16)>>,
    results: Vec<CallerResult>,
}

impl CallerLoop {
    /// A caller with this address behind the fabric.
    pub fn new(address: Ipv4Addr, fabric: SocketAddrV4, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.connect(fabric)?;
        Ok(Self {
            address,
            socket,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            next_port: FIRST_PORT,
            waiting: BinaryHeap::new(),
            tasks: HashMap::new(),
            flows: HashMap::new(),
            due: BinaryHeap::new(),
            results: Vec::new(),
        })
    }

    /// Adds a task.
    pub fn add(&mut self, task: CallerTask) {
        self.waiting.push(Reverse((task.start, task.id)));
        self.tasks.insert(task.id, task);
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Tasks that are not done.
    pub fn open(&self) -> usize {
        self.waiting.len() + self.flows.len()
    }

    /// Open feeds that have shown at least a line.
    pub fn live_feeds(&self) -> usize {
        self.flows.values().filter(|flow| flow.lines > 0).count()
    }

    /// The results so far.
    pub fn results(&self) -> &[CallerResult] {
        &self.results
    }

    /// Closes all feeds from the caller's side.
    pub fn end_feeds(&mut self) {
        let ports: Vec<u16> = self.flows.keys().copied().collect();
        let now = self.now();
        for port in ports {
            if let Some(flow) = self.flows.get_mut(&port)
                && flow.task.wish == CallerWish::Feed
            {
                flow.ending = true;
                self.advance(port, now);
            }
        }
        self.run(|_| false);
    }

    fn now(&self) -> TimePoint {
        TimePoint(self.start.elapsed().as_millis() as u64)
    }

    /// Works until every task is done or `until` says stop.
    pub fn run(&mut self, mut until: impl FnMut(&CallerLoop) -> bool) {
        let mut packet = [0; 2048];
        while self.open() > 0 && !until(self) {
            self.begin_tasks();
            let wait = self.wait();
            // The wait is never zero, so this can't fail.
            let _ = self.socket.set_read_timeout(Some(wait));
            if let Ok(len) = self.socket.recv(&mut packet) {
                self.take(&packet[..len]);
            }
            self.poll_due();
        }
    }

    fn wait(&self) -> Duration {
        const MIN_WAIT: Duration = Duration::from_micros(200);
        let timer = self
            .due
            .peek()
            .map_or(MAX_WAIT, |Reverse((due, _))| due.since(self.now()));
        let task = self.waiting.peek().map_or(MAX_WAIT, |Reverse((start, _))| {
            start.saturating_sub(self.elapsed())
        });
        timer.min(task).clamp(MIN_WAIT, MAX_WAIT)
    }

    fn begin_tasks(&mut self) {
        while let Some(Reverse((start, id))) = self.waiting.peek().copied() {
            if start > self.elapsed() {
                return;
            }
            self.waiting.pop();
            if let Some(task) = self.tasks.remove(&id) {
                self.begin(task);
            }
        }
    }

    fn begin(&mut self, task: CallerTask) {
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
            begun: Instant::now(),
            established: false,
            sent: 0,
            received: Vec::new(),
            lines: 0,
            last_line: Instant::now(),
            server: String::new(),
            ending: false,
            done: None,
        };
        self.flows.insert(port, flow);
        self.advance(port, now);
    }

    fn take(&mut self, packet: &[u8]) {
        let Ok(segment) = scan_segment(packet) else {
            return;
        };
        let port = segment.key.service.port();
        let now = self.now();
        if let Some(flow) = self.flows.get_mut(&port) {
            flow.stack.deliver(packet);
            self.advance(port, now);
        } else if !segment.is_rst {
            // RFC 9293 section 3.10.7.1: a segment of no flow is reset.
            let _ = self.socket.send(&write_reset(&segment));
        }
    }

    fn poll_due(&mut self) {
        let now = self.now();
        while let Some(Reverse((due, port))) = self.due.peek().copied() {
            if due > now {
                return;
            }
            self.due.pop();
            self.advance(port, now);
        }
    }

    fn advance(&mut self, port: u16, now: TimePoint) {
        let Some(mut flow) = self.flows.remove(&port) else {
            return;
        };
        flow.stack.poll(now);
        flow.established |= flow.stack.is_established();
        let mut end = match flow.done {
            None => flow.work(),
            Some(_) => None,
        };
        flow.stack.poll(now);
        while let Some(packet) = flow.stack.pop_packet() {
            // A lost packet is sent again.
            let _ = self.socket.send(&packet);
        }
        if end.is_none() && flow.done.is_none() && flow.begun.elapsed() > flow.task.patience {
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
                took: flow.begun.elapsed(),
                at: self.elapsed(),
            });
            flow.done = Some(Instant::now());
            flow.stack.socket_mut().close();
            flow.stack.poll(now);
            while let Some(packet) = flow.stack.pop_packet() {
                // A lost packet is sent again.
                let _ = self.socket.send(&packet);
            }
        }
        let late = flow.done.is_some_and(|done| done.elapsed() > CLOSE_LIMIT);
        if flow.done.is_some() && (late || flow.stack.is_closed()) {
            return;
        }
        let timer = flow.stack.next_due(now).unwrap_or(now + MAX_WAIT * 10);
        let limit = now + Duration::from_millis(50);
        self.due.push(Reverse((
            timer.min(limit).max(now + Duration::from_millis(1)),
            port,
        )));
        self.flows.insert(port, flow);
    }
}

impl CallerFlow {
    fn work(&mut self) -> Option<CallerEnd> {
        let socket = self.stack.socket_mut();
        if let CallerWish::Request(bytes) = &self.task.wish {
            while self.sent < bytes.len() && socket.can_send() {
                match socket.send_slice(&bytes[self.sent..]) {
                    Ok(len) if len > 0 => self.sent += len,
                    _ => break,
                }
            }
        }
        while socket.can_recv() {
            let received = &mut self.received;
            let taken = socket.recv(|bytes| {
                received.extend_from_slice(bytes);
                (bytes.len(), bytes.len())
            });
            if !matches!(taken, Ok(len) if len > 0) {
                break;
            }
        }
        let ended = !socket.may_recv();
        match self.task.wish {
            CallerWish::Request(_) => self.scan_answer(ended),
            CallerWish::Feed => self.scan_feed(ended),
        }
    }

    fn scan_answer(&mut self, ended: bool) -> Option<CallerEnd> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        if let Ok(httparse::Status::Complete(head)) = answer.parse(&self.received) {
            let find = |name: &str| {
                answer
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
                    status: answer.code.unwrap_or(0),
                    outcome: find("chestnut-outcome"),
                    body: String::from_utf8_lossy(body).into_owned(),
                });
            }
        }
        self.scan_end(ended)
    }

    fn scan_feed(&mut self, ended: bool) -> Option<CallerEnd> {
        while let Some(place) = self.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.received.drain(..=place).collect();
            let line = String::from_utf8_lossy(&line);
            let Some((server, number)) = line.trim_end().split_once(' ') else {
                return Some(CallerEnd::Broken(format!("line {line:?}")));
            };
            if number.parse() != Ok(self.lines) || (self.lines > 0 && server != self.server) {
                return Some(CallerEnd::Broken(format!(
                    "line {line:?} after {}",
                    self.lines
                )));
            }
            self.server = server.to_owned();
            self.lines += 1;
            self.last_line = Instant::now();
        }
        if self.ending {
            return Some(CallerEnd::FeedHeld {
                lines: self.lines,
                server: self.server.clone(),
                silent: self.last_line.elapsed(),
            });
        }
        self.scan_end(ended)
    }

    fn scan_end(&self, ended: bool) -> Option<CallerEnd> {
        if !ended || (!self.established && !self.stack.is_closed()) {
            return None;
        }
        if self.established {
            let text = format!("after {} bytes", self.received.len());
            Some(CallerEnd::Broken(text))
        } else {
            Some(CallerEnd::Refused)
        }
    }
}
