//! A host: takes flows at its `app` address, works on their requests, and sends pings to the
//! `control` address of its machine.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{ACK, Arrival, End, FIN, Packet, RST, SYN, bounce, read};
use crate::record::Record;

/// Interval between two pings (`heartbeat_ms`).
pub const PING_PERIOD: Duration = Duration::from_millis(1200);

/// Time after which a ping that was not acknowledged is sent again; it doubles each time.
const FIRST_PING_RETRY: Duration = Duration::from_millis(100);

/// Time in which a ping has to be acknowledged.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1600);
const MAX_RETRANSMISSIONS: u32 = 8;

/// Factor by which a cold host works slower.
const COLD_FACTOR: u32 = 2;

#[derive(Clone)]
pub struct HostSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// How long the host is slow after a start during traffic.
    pub cold_start: Duration,
}

/// A flow that the host has taken: the arrival of its opening packet.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    pub consumer: End,
    pub at: Instant,
    pub is_cold: bool,
}

type FlowKey = (End, End);

struct Sent {
    packet: Packet,
    end: u32,
    at: Instant,
    tries: u32,
}

struct Flow {
    is_open: bool,
    next_seq: u32,
    peer_next: u32,
    unacked: Vec<Sent>,
}

struct Job {
    key: FlowKey,
    id: String,
}

#[derive(Default)]
struct State {
    is_alive: bool,
    born_ms: u64,
    pings: u64,
    is_ping_due: bool,
    cold_until: Option<Instant>,
    flows: HashMap<FlowKey, Flow>,
    ended: HashSet<FlowKey>,
    queue: VecDeque<Job>,
    running: Vec<(Instant, Job)>,
    openings: Vec<Opening>,
    next_initial_seq: u32,
}

#[derive(Clone)]
pub struct Host {
    pub spec: HostSpec,
    state: Arc<Mutex<State>>,
    socket: Arc<UdpSocket>,
    record: Record,
}

impl Host {
    /// Creates a host that does not run yet.
    pub fn create(spec: HostSpec, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(spec.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let host = Self {
            spec,
            state: Arc::default(),
            socket: Arc::new(socket),
            record: record.clone(),
        };
        let (packets, pings) = (host.clone(), host.clone());
        std::thread::spawn(move || packets.run_packets());
        std::thread::spawn(move || pings.run_pings());
        Ok(host)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a lifetime under the same id. A start during traffic is cold.
    pub fn start(&self, is_cold: bool) {
        self.start_with_clock(is_cold, Duration::ZERO);
    }

    /// Starts a lifetime while the time of day of its machine is ahead.
    pub fn start_with_clock(&self, is_cold: bool, clock_ahead: Duration) {
        let mut state = self.state();
        let time_of_day = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + clock_ahead;
        state.born_ms = time_of_day.as_millis() as u64;
        state.pings = 0;
        state.is_alive = true;
        state.is_ping_due = true;
        state.cold_until = is_cold.then(|| Instant::now() + self.spec.cold_start);
        let (id, born_ms) = (&self.spec.id, state.born_ms);
        self.record.line(&format!("{id} starts, born {born_ms}"));
    }

    /// Ends the lifetime without a word: its flows are gone.
    pub fn crash(&self) {
        let mut state = self.state();
        state.is_alive = false;
        state.flows.clear();
        state.ended.clear();
        state.queue.clear();
        state.running.clear();
        self.record.line(&format!("{} crashes", self.spec.id));
    }

    pub fn openings(&self) -> Vec<Opening> {
        self.state().openings.clone()
    }

    /// Returns whether the host holds this flow, open.
    pub fn holds(&self, consumer: End, service: End) -> bool {
        let state = self.state();
        let flow = state.flows.get(&(consumer, service));
        state.is_alive && flow.is_some_and(|flow| flow.is_open)
    }

    fn run_pings(&self) {
        let mut next = Instant::now();
        let mut retry_delay = FIRST_PING_RETRY;
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let is_due = std::mem::take(&mut self.state().is_ping_due);
            if !is_due && Instant::now() < next {
                continue;
            }
            let sent_at = Instant::now();
            if self.ping() {
                retry_delay = FIRST_PING_RETRY;
                next = sent_at + PING_PERIOD;
            } else {
                next = Instant::now() + retry_delay;
                retry_delay = (retry_delay * 2).min(PING_PERIOD);
            }
        }
    }

    // Returns whether the ping was acknowledged, or none is sent.
    fn ping(&self) -> bool {
        let (body, seq) = {
            let mut state = self.state();
            if !state.is_alive {
                return true;
            }
            self.next_ping(&mut state)
        };
        let path = format!("/v1/backend/{}", self.spec.id);
        let status = http::call(self.spec.control, "PUT", &path, &body, PING_TIMEOUT);
        let answer = status.map_or("no answer".to_owned(), |status| status.to_string());
        let id = &self.spec.id;
        self.record.line(&format!("{id} ping seq {seq}: {answer}"));
        status == Some(200)
    }

    // Returns the body and the `seq` of the next ping.
    fn next_ping(&self, state: &mut State) -> (String, u64) {
        state.pings += 1;
        let cold_left = state.cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","cold_left_ms":{},"seq":{},"born":{}}}"#,
            self.spec.service,
            self.spec.app,
            self.spec.zone,
            self.spec.slots,
            cold_left.as_millis(),
            state.pings,
            state.born_ms,
        );
        (body, state.pings)
    }

    fn run_packets(&self) {
        let mut buffer = [0; 2048];
        loop {
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer) {
                let mut state = self.state();
                if state.is_alive {
                    self.take_packet(&mut state, &buffer[..len]);
                }
            }
            let mut state = self.state();
            if state.is_alive {
                self.work(&mut state);
                self.retransmit(&mut state);
            }
        }
    }

    fn send(&self, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, self.spec.outbound);
    }

    fn reply(&self, key: FlowKey, seq: u32, ack: u32, flags: u8) {
        let packet = Packet {
            src: key.1,
            dst: key.0,
            seq,
            ack,
            flags,
            data: Vec::new(),
        };
        self.send(&packet.write());
    }

    fn take_packet(&self, state: &mut State, bytes: &[u8]) {
        let Arrival::Genuine(packet) = read(bytes) else {
            self.record.line(&format!(
                "{} got a packet that nobody wrote so",
                self.spec.id
            ));
            return;
        };
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            self.take_opening(state, key, &packet);
            return;
        }
        let Some(flow) = state.flows.get_mut(&key) else {
            match state.ended.contains(&key) {
                true if packet.has(FIN) => self.reply(key, packet.ack, packet.seq + 1, ACK),
                true => {}
                false => self.send(&bounce(bytes)),
            }
            return;
        };
        if !flow.is_open {
            if !packet.has(ACK) || packet.ack != flow.next_seq {
                self.send(&bounce(bytes));
                return;
            }
            flow.is_open = true;
            let (id, from) = (&self.spec.id, key.0);
            self.record
                .line(&format!("{id} flow of {}:{} is open", from.0, from.1));
        }
        if packet.has(RST) {
            state.flows.remove(&key);
            return;
        }
        flow.unacked
            .retain(|sent| (packet.ack.wrapping_sub(sent.end) as i32) < 0);
        if !packet.data.is_empty() {
            self.take_data(state, key, &packet);
        } else if packet.has(FIN) && packet.seq == flow.peer_next {
            let seq = flow.next_seq;
            self.reply(key, seq, packet.seq.wrapping_add(1), ACK | FIN);
            state.flows.remove(&key);
            state.ended.insert(key);
        }
    }

    fn take_opening(&self, state: &mut State, key: FlowKey, packet: &Packet) {
        state.next_initial_seq = state.next_initial_seq.wrapping_add(0x0100_0193);
        let initial_seq = state.next_initial_seq;
        let is_new = !state.flows.contains_key(&key);
        if is_new {
            let is_cold = state.cold_until.is_some_and(|until| Instant::now() < until);
            state.openings.push(Opening {
                consumer: key.0,
                at: Instant::now(),
                is_cold,
            });
            let from = key.0;
            self.record.line(&format!(
                "{} takes the opening of {}:{}{}",
                self.spec.id,
                from.0,
                from.1,
                if is_cold { ", cold" } else { "" }
            ));
        }
        let flow = state.flows.entry(key).or_insert_with(|| Flow {
            is_open: false,
            next_seq: initial_seq.wrapping_add(1),
            peer_next: packet.seq.wrapping_add(1),
            unacked: Vec::new(),
        });
        let (seq, ack) = (flow.next_seq.wrapping_sub(1), flow.peer_next);
        if !flow.is_open {
            self.reply(key, seq, ack, SYN | ACK);
        }
    }

    fn take_data(&self, state: &mut State, key: FlowKey, packet: &Packet) {
        let Some(flow) = state.flows.get_mut(&key) else {
            return;
        };
        let is_next = packet.seq == flow.peer_next;
        if is_next {
            flow.peer_next = flow.peer_next.wrapping_add(packet.data.len() as u32);
        }
        let (seq, ack) = (flow.next_seq, flow.peer_next);
        self.reply(key, seq, ack, ACK);
        if !is_next {
            return;
        }
        let text = String::from_utf8_lossy(&packet.data);
        let mut lines = text.lines();
        let id = lines.find_map(|line| line.strip_prefix("X-Chestnutlb-Request-Id: "));
        if let Some(id) = id
            && state.queue.len() < self.spec.queue
        {
            let id = id.to_owned();
            state.queue.push_back(Job { key, id });
        }
    }

    // Ends the requests that are done and begins those that have a free slot.
    fn work(&self, state: &mut State) {
        let now = Instant::now();
        let running = std::mem::take(&mut state.running);
        let (done, running): (Vec<_>, Vec<_>) = running.into_iter().partition(|job| job.0 <= now);
        state.running = running;
        for (_, job) in done {
            self.answer(state, &job);
        }
        while state.running.len() < self.spec.slots
            && let Some(job) = state.queue.pop_front()
        {
            let is_cold = state.cold_until.is_some_and(|until| now < until);
            let work = self.spec.work * if is_cold { COLD_FACTOR } else { 1 };
            self.record
                .line(&format!("{} runs request {}", self.spec.id, job.id));
            state.running.push((now + work, job));
        }
    }

    fn answer(&self, state: &mut State, job: &Job) {
        let Some(flow) = state.flows.get_mut(&job.key) else {
            return;
        };
        let body = format!("done {} by {}", job.id, self.spec.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Chestnutlb-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
            job.id,
            body.len()
        );
        let packet = Packet {
            src: job.key.1,
            dst: job.key.0,
            seq: flow.next_seq,
            ack: flow.peer_next,
            flags: ACK,
            data: text.into_bytes(),
        };
        flow.next_seq = flow.next_seq.wrapping_add(packet.data.len() as u32);
        self.send(&packet.write());
        flow.unacked.push(Sent {
            end: flow.next_seq,
            packet,
            at: Instant::now(),
            tries: 0,
        });
    }

    fn retransmit(&self, state: &mut State) {
        let now = Instant::now();
        for flow in state.flows.values_mut() {
            flow.unacked
                .retain(|sent| sent.tries <= MAX_RETRANSMISSIONS);
            for sent in &mut flow.unacked {
                let wait = (FIRST_RETRANSMISSION * 2_u32.pow(sent.tries)).min(LAST_RETRANSMISSION);
                if now.duration_since(sent.at) >= wait {
                    sent.at = now;
                    sent.tries += 1;
                    self.send(&sent.packet.write());
                }
            }
        }
    }
}
