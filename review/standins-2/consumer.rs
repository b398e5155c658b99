//! A consumer, and the platform's routers before the nodes.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::packet::{ACK, Arrival, End, FIN, Packet, RST, SYN, read};
use crate::record::Record;

/// Times after the first SYN at which copies of it are sent, and at which the attempt ends.
const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const SYN_END: Duration = Duration::from_millis(1400);

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1600);

/// Interval between two calls of the routers to the `ready` address of a node.
const READY_PERIOD: Duration = Duration::from_millis(500);

/// Largest distance of a reset's `seq` from the consumer's last `ack` on an open flow.
const RESET_WINDOW: u32 = 76_800;

pub struct Node {
    pub zone: String,
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
    in_rotation: AtomicBool,
}

/// The routers: choose a node in the consumer's zone by a hash over the nodes in rotation.
pub struct Routers {
    pub nodes: Vec<Node>,
}

impl Routers {
    pub fn start(nodes: Vec<(String, SocketAddrV4, SocketAddrV4)>) -> Arc<Self> {
        let nodes = nodes.into_iter().map(|(zone, packets, ready)| Node {
            zone,
            packets,
            ready,
            in_rotation: AtomicBool::new(false),
        });
        let routers = Arc::new(Self {
            nodes: nodes.collect(),
        });
        for index in 0..routers.nodes.len() {
            let routers = Arc::clone(&routers);
            std::thread::spawn(move || routers.probe(index));
        }
        routers
    }

    fn probe(&self, index: usize) {
        let node = &self.nodes[index];
        let mut misses = 0;
        loop {
            let status = http::call(node.ready, "GET", "/ready", "", READY_PERIOD);
            misses = if status == Some(200) { 0 } else { misses + 1 };
            if misses == 0 {
                node.in_rotation.store(true, Ordering::Relaxed);
            } else if misses >= 2 {
                node.in_rotation.store(false, Ordering::Relaxed);
            }
            std::thread::sleep(READY_PERIOD);
        }
    }

    pub fn all_ready(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.in_rotation.load(Ordering::Relaxed))
    }

    // Only the flows of a node that joins or leaves the rotation move.
    fn node(&self, zone: &str, src: End, dst: End) -> Option<&Node> {
        let ready: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|node| node.in_rotation.load(Ordering::Relaxed))
            .collect();
        let near = ready.iter().filter(|node| node.zone == zone);
        let near: Vec<&Node> = near.copied().collect();
        let choice = if near.is_empty() { ready } else { near };
        choice
            .into_iter()
            .max_by_key(|node| hash(node.packets, src, dst))
    }
}

fn hash(node: SocketAddrV4, src: End, dst: End) -> u64 {
    let text = format!("{node} {src:?} {dst:?}");
    let bytes = text.bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No answer within the time budget, or no SYN+ACK.
    Silence,
    /// A reset of the system's own.
    SystemReset,
    /// A reset that the host wrote.
    HostReset,
}

pub struct ConsumerFlow {
    pub src: End,
    pub dst: End,
    next_seq: u32,
    peer_next: u32,
    last_ack: u32,
}

pub struct Consumer {
    ip: Ipv4Addr,
    zone: String,
    socket: UdpSocket,
    routers: Arc<Routers>,
    record: Record,
}

impl Consumer {
    pub fn create(
        address: SocketAddrV4,
        zone: &str,
        routers: &Arc<Routers>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        Ok(Self {
            ip: *address.ip(),
            zone: zone.to_owned(),
            socket,
            routers: Arc::clone(routers),
            record: record.clone(),
        })
    }

    fn send(&self, packet: &Packet) {
        if let Some(node) = self.routers.node(&self.zone, packet.src, packet.dst) {
            let _ = self.socket.send_to(&packet.write(), node.packets);
        }
    }

    // Returns the next packet of the flow from `src` until `end`.
    fn receive(&self, src: End, end: Instant) -> Option<Arrival> {
        let mut buffer = [0; 2048];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let wait = left.max(Duration::from_millis(1));
            self.socket.set_read_timeout(Some(wait)).ok()?;
            let Ok((len, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            match read(&buffer[..len]) {
                Arrival::Genuine(packet) if packet.dst == src => {
                    return Some(Arrival::Genuine(packet));
                }
                Arrival::SystemReset(packet) if packet.dst == src => {
                    return Some(Arrival::SystemReset(packet));
                }
                Arrival::Forged => {
                    self.record
                        .line("a consumer got a packet that nobody wrote so");
                }
                _ => {}
            }
        }
    }

    /// Opens a flow. Returns when the first SYN was sent, with the flow or why there is none.
    pub fn open(&self, port: u16, dst: End) -> (Instant, Result<ConsumerFlow, Failure>) {
        let src = (self.ip, port);
        let initial_seq = u32::from(port).wrapping_mul(0x9e37_79b1);
        let begin = Instant::now();
        let syn = |copy: u32| Packet {
            src,
            dst,
            seq: initial_seq,
            ack: copy,
            flags: SYN,
            data: Vec::new(),
        };
        self.send(&syn(0));
        for (copy, end) in SYN_COPIES.into_iter().chain([SYN_END]).enumerate() {
            while let Some(arrival) = self.receive(src, begin + end) {
                match arrival {
                    Arrival::Genuine(packet) if packet.has(SYN | ACK) => {
                        let flow = ConsumerFlow {
                            src,
                            dst,
                            next_seq: initial_seq.wrapping_add(1),
                            peer_next: packet.seq.wrapping_add(1),
                            last_ack: packet.seq.wrapping_add(1),
                        };
                        return (begin, Ok(flow));
                    }
                    Arrival::SystemReset(_) => return (begin, Err(Failure::SystemReset)),
                    Arrival::Genuine(packet) if packet.has(RST) => {
                        return (begin, Err(Failure::HostReset));
                    }
                    _ => {}
                }
            }
            if copy < SYN_COPIES.len() {
                self.send(&syn(copy as u32 + 1));
            }
        }
        (begin, Err(Failure::Silence))
    }

    /// Sends a request on an open flow and waits for its answer within the time budget.
    pub fn request(
        &self,
        flow: &mut ConsumerFlow,
        id: &str,
        budget: Duration,
    ) -> Result<String, Failure> {
        let text = format!("GET /{id} HTTP/1.1\r\nX-Chestnutlb-Request-Id: {id}\r\n\r\n");
        let packet = Packet {
            src: flow.src,
            dst: flow.dst,
            seq: flow.next_seq,
            ack: flow.peer_next,
            flags: ACK,
            data: text.into_bytes(),
        };
        let end_seq = flow.next_seq.wrapping_add(packet.data.len() as u32);
        flow.last_ack = flow.peer_next;
        let end = Instant::now() + budget;
        let mut wait = FIRST_RETRANSMISSION;
        let mut is_acked = false;
        self.send(&packet);
        loop {
            let next = (Instant::now() + wait).min(end);
            while let Some(arrival) = self.receive(flow.src, next) {
                match arrival {
                    Arrival::SystemReset(reset) => {
                        let distance = reset.seq.wrapping_sub(flow.last_ack) as i32;
                        if distance.unsigned_abs() <= RESET_WINDOW {
                            return Err(Failure::SystemReset);
                        }
                    }
                    Arrival::Genuine(reply) if reply.has(RST) => return Err(Failure::HostReset),
                    Arrival::Genuine(reply) if reply.has(SYN) => {}
                    Arrival::Genuine(reply) => {
                        is_acked |= reply.ack == end_seq;
                        if let Some(answer) = self.take_answer(flow, end_seq, &reply) {
                            flow.next_seq = end_seq;
                            return Ok(answer);
                        }
                    }
                    Arrival::Forged => {}
                }
            }
            if Instant::now() >= end {
                return Err(Failure::Silence);
            }
            if !is_acked {
                self.send(&packet);
            }
            wait = (wait * 2).min(LAST_RETRANSMISSION);
        }
    }

    // Acknowledges data. Returns it if it is the next.
    fn take_answer(&self, flow: &mut ConsumerFlow, seq: u32, reply: &Packet) -> Option<String> {
        if reply.data.is_empty() {
            return None;
        }
        let is_next = reply.seq == flow.peer_next;
        if is_next {
            flow.peer_next = flow.peer_next.wrapping_add(reply.data.len() as u32);
        }
        flow.last_ack = flow.peer_next;
        self.send(&Packet {
            src: flow.src,
            dst: flow.dst,
            seq,
            ack: flow.peer_next,
            flags: ACK,
            data: Vec::new(),
        });
        is_next.then(|| String::from_utf8_lossy(&reply.data).into_owned())
    }

    /// Ends a flow with a FIN.
    pub fn close(&self, flow: &ConsumerFlow) {
        self.send(&Packet {
            src: flow.src,
            dst: flow.dst,
            seq: flow.next_seq,
            ack: flow.peer_next,
            flags: ACK | FIN,
            data: Vec::new(),
        });
    }
}
