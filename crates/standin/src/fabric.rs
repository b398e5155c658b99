//! Stand-in for the packet fabric: sprays the packets of callers over the live entry
//! VMs and returns packets of the services to their callers.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use chestnutlb_wire::scan_segment;

use crate::http::{read_request, write_response};

/// Interval between two health checks of the entry VMs.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a health check, for the connection and for each read.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);

/// Addresses of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FabricEntry {
    /// Address that receives packets.
    pub packets: SocketAddrV4,
    /// Address that serves `/health`.
    pub status: SocketAddrV4,
}

/// Faults applied to packets, each as a percentage of all packets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct FabricFaults {
    /// Share of packets that are dropped.
    pub loss: u32,
    /// Share of packets that are sent twice.
    pub repeat: u32,
}

/// Settings that can be replaced while the fabric runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FabricPlan {
    /// The entry VMs that packets are sprayed over.
    pub entries: Vec<FabricEntry>,
    /// Faults applied to packets.
    #[serde(default)]
    pub faults: FabricFaults,
}

#[derive(Debug, Default)]
struct FabricState {
    plan: RwLock<FabricPlan>,
    live_entries: RwLock<Vec<SocketAddrV4>>,
}

fn read_copy<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn replace<T>(lock: &RwLock<T>, value: T) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}

/// Runs the fabric on `packets`; a `POST` to `admin` with a [`FabricPlan`] replaces the
/// plan.
pub fn run(packets: SocketAddrV4, admin: SocketAddrV4, seed: u64) -> std::io::Result<()> {
    let state = Arc::new(FabricState::default());
    let socket = UdpSocket::bind(packets)?;
    let listener = TcpListener::bind(admin)?;
    let shared = Arc::clone(&state);
    std::thread::spawn(move || serve_plans(&listener, &shared));
    let shared = Arc::clone(&state);
    std::thread::spawn(move || poll_health(&shared));
    spray_packets(&socket, &state, StdRng::seed_from_u64(seed));
    Ok(())
}

fn serve_plans(listener: &TcpListener, state: &FabricState) {
    for stream in listener.incoming().flatten() {
        let mut stream = stream;
        let Some(request) = read_request(&mut stream) else {
            continue;
        };
        let status = match serde_json::from_slice::<FabricPlan>(&request.body) {
            Ok(plan) => {
                replace(&state.plan, plan);
                refresh_live(state);
                200
            }
            Err(_) => 400,
        };
        // The client may have closed the connection; the plan is in force in any case.
        let _ = write_response(&mut stream, status, "{}");
    }
}

fn poll_health(state: &FabricState) {
    loop {
        refresh_live(state);
        std::thread::sleep(HEALTH_INTERVAL);
    }
}

fn refresh_live(state: &FabricState) {
    let plan = read_copy(&state.plan);
    let live_entries = plan
        .entries
        .iter()
        .filter(|entry| is_live(entry.status))
        .map(|entry| entry.packets)
        .collect();
    replace(&state.live_entries, live_entries);
}

fn is_live(status: SocketAddrV4) -> bool {
    use std::io::Read;
    let probe = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&status.into(), HEALTH_TIMEOUT)?;
        stream.set_read_timeout(Some(HEALTH_TIMEOUT))?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")?;
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line)?;
        Ok(status_line.ends_with(b"200"))
    };
    probe().unwrap_or(false)
}

fn spray_packets(socket: &UdpSocket, state: &FabricState, mut random: StdRng) {
    // Socket address behind each caller address, learned from the packets of callers.
    let mut callers: HashMap<Ipv4Addr, SocketAddr> = HashMap::new();
    let mut packet = [0; 2048];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut packet) else {
            continue;
        };
        let packet = &packet[..len];
        let Ok(segment) = scan_segment(packet) else {
            continue;
        };
        // `scan_segment` treats the source of every packet as the caller, so the key of a packet
        // from a service has both ends swapped.
        let (source, destination) = (*segment.key.caller.ip(), *segment.key.service.ip());
        let faults = state
            .plan
            .read()
            .map(|plan| plan.faults)
            .unwrap_or_default();
        if random.random_range(0..100) < faults.loss {
            continue;
        }
        let copies = 1 + u32::from(random.random_range(0..100) < faults.repeat);
        for _ in 0..copies {
            let next_hop = match callers.get(&destination) {
                Some(caller) => Some(*caller),
                None => {
                    callers.insert(source, from);
                    read_copy(&state.live_entries)
                        .choose(&mut random)
                        .map(|entry| SocketAddr::V4(*entry))
                }
            };
            if let Some(next_hop) = next_hop {
                // A packet that cannot be sent is lost; senders retransmit.
                let _ = socket.send_to(packet, next_hop);
            }
        }
    }
}
