//! Stand-in of the packet fabric: hands each packet of a caller to any live
//! entry VM, and packets of the services back to their callers.

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

use crate::small_http::{read_request, write_reply};

/// Time between two looks at which entry VMs are live.
const HEALTH_PERIOD: Duration = Duration::from_millis(100);
/// Time for an entry VM to say that it is live.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);

/// An entry VM as the fabric knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FabricEntry {
    /// Where it takes packets.
    pub packets: SocketAddrV4,
    /// Where it says how it is.
    pub status: SocketAddrV4,
}

/// What the fabric does to packets, in percent of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct FabricFaults {
    /// Lost.
    pub loss: u32,
    /// Sent twice.
    pub repeat: u32,
}

/// What can be changed while the fabric runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FabricPlan {
    /// The entry VMs.
    pub entries: Vec<FabricEntry>,
    /// Faults.
    #[serde(default)]
    pub faults: FabricFaults,
}

#[derive(Debug, Default)]
struct FabricState {
    plan: RwLock<FabricPlan>,
    live: RwLock<Vec<SocketAddrV4>>,
}

fn get<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn set<T>(lock: &RwLock<T>, value: T) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}

/// Runs the fabric on `packets`; `admin` takes plans by `POST /plan`.
pub fn run(packets: SocketAddrV4, admin: SocketAddrV4, seed: u64) -> std::io::Result<()> {
    let state = Arc::new(FabricState::default());
    let socket = UdpSocket::bind(packets)?;
    let listener = TcpListener::bind(admin)?;
    let sharing = Arc::clone(&state);
    std::thread::spawn(move || serve_plans(&listener, &sharing));
    let sharing = Arc::clone(&state);
    std::thread::spawn(move || watch_health(&sharing));
    spray(&socket, &state, StdRng::seed_from_u64(seed));
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
                set(&state.plan, plan);
                refresh_live(state);
                200
            }
            Err(_) => 400,
        };
        // The asker may have gone.
        let _ = write_reply(&mut stream, status, "{}");
    }
}

fn watch_health(state: &FabricState) {
    loop {
        refresh_live(state);
        std::thread::sleep(HEALTH_PERIOD);
    }
}

fn refresh_live(state: &FabricState) {
    let plan = get(&state.plan);
    let live = plan
        .entries
        .iter()
        .filter(|entry| is_live(entry.status))
        .map(|entry| entry.packets)
        .collect();
    set(&state.live, live);
}

fn is_live(status: SocketAddrV4) -> bool {
    use std::io::Read;
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&status.into(), HEALTH_TIMEOUT)?;
        stream.set_read_timeout(Some(HEALTH_TIMEOUT))?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")?;
        let mut start = [0; 12];
        stream.read_exact(&mut start)?;
        Ok(start.ends_with(b"200"))
    };
    ask().unwrap_or(false)
}

fn spray(socket: &UdpSocket, state: &FabricState, mut random: StdRng) {
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
        // The key reads from the sender's end.
        let (source, target) = (*segment.key.caller.ip(), *segment.key.service.ip());
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
            let target = match callers.get(&target) {
                Some(caller) => Some(*caller),
                None => {
                    callers.insert(source, from);
                    get(&state.live)
                        .choose(&mut random)
                        .map(|entry| SocketAddr::V4(*entry))
                }
            };
            if let Some(target) = target {
                // A packet that can't be sent is lost, as packets may be.
                let _ = socket.send_to(packet, target);
            }
        }
    }
}
