//! Tests that a side process whose settings name no entry VM waits for one.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use chestnutlb_wire::peer::{MAX_PEER_DATAGRAM_BYTES, PeerMessage, scan_message};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_PERIOD: Duration = Duration::from_millis(20);

// A process that starts while another test tries a port inherits its socket for a moment, and blocks
// the port.
static START_LOCK: Mutex<()> = Mutex::new(());

// A side process and the addresses in its settings.
struct SideProcess {
    child: Child,
    path: PathBuf,
    status: SocketAddrV4,
    settings: String,
}

impl SideProcess {
    fn start(name: &str, delivery: &str) -> Self {
        let _guard = START_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let [packets, announce, outbound] = [(); 3].map(|()| free_udp_address());
        let status = free_tcp_address();
        let delivery = delivery.replace("OUTBOUND", &outbound.to_string());
        let settings = format!(
            r#"{{"role": "side", "name": "{name}", "datacenter": "honam-1",
            "service": "dalbit/catalogue", "packets": "{packets}", "announce": "{announce}",
            "status": "{status}", "fabric": "127.0.0.1:9", "backend": "127.0.0.1:9",
            "seeds": [SEEDS], "log": {{"target": "stderr"}}{delivery}}}"#
        );
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        // Processes watch their settings, also those that an earlier run has left.
        let name = format!("{name}-{}", status.port());
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.replace("SEEDS", "")).unwrap();
        let log = std::fs::File::create(dir.join(format!("{name}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_chestnutlbd"))
            .arg("--end-with-input")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::piped())
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            path,
            status,
            settings,
        }
    }

    // Replaces the seeds in the settings file, which is never seen half written.
    fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = self.settings.replace("SEEDS", &seeds.join(","));
        let new_file = self.path.with_extension("new");
        std::fs::write(&new_file, settings).unwrap();
        std::fs::rename(new_file, &self.path).unwrap();
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.path.with_extension("log")).unwrap()
    }

    // Returns the status code and the body of a GET request.
    fn get(&self, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.status).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nHost: side\r\nConnection: close\r\n\r\n"
        )
        .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let code = text.split(' ').nth(1)?.parse().ok()?;
        let (_, body) = text.split_once("\r\n\r\n")?;
        Some((code, body.to_owned()))
    }

    // Waits until a condition holds, and fails if the process ends before.
    fn wait_for(&mut self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let latest = Instant::now() + TIMEOUT;
        while !holds(self) {
            let end = self.child.try_wait().unwrap();
            assert_eq!(end, None, "ended before {what}; its log:\n{}", self.log());
            assert!(Instant::now() < latest, "{what}; its log:\n{}", self.log());
            sleep(POLL_PERIOD);
        }
    }
}

impl Drop for SideProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_udp_address() -> SocketAddrV4 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, socket.local_addr().unwrap().port())
}

fn free_tcp_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

// Returns whether a registration of this host arrives at once.
fn receives_registration(entry: &UdpSocket, host: &str) -> bool {
    let mut datagram = [0; MAX_PEER_DATAGRAM_BYTES + 1];
    entry.recv(&mut datagram).is_ok_and(|len| {
        matches!(
            scan_message(&datagram[..len]),
            Ok(PeerMessage::Announce(registration)) if registration.host.name == host
        )
    })
}

fn bind_entry() -> (UdpSocket, SocketAddrV4) {
    let entry = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    entry.set_read_timeout(Some(POLL_PERIOD)).unwrap();
    let port = entry.local_addr().unwrap().port();
    (entry, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

// Guards against side processes that end at each start while no entry VM exists (review/8).
#[test]
fn side_process_without_seeds_waits_and_registers_once_settings_name_one() {
    let mut side = SideProcess::start("no-seeds", "");
    side.wait_for("a log line that it waits", |side| {
        side.log().contains(r#""contact":"no-entry-known""#)
    });
    side.wait_for("its status to show the wait", |side| {
        let is_ready = side.get("/ready").is_some_and(|(code, _)| code == 200);
        assert!(!is_ready, "ready without an entry VM");
        side.get("/v1/status")
            .is_some_and(|(_, body)| body.contains(r#""registration":"no-entry-known""#))
    });

    let (entry, address) = bind_entry();
    side.set_seeds(&[address]);
    side.wait_for("a registration", |_| {
        receives_registration(&entry, "no-seeds")
    });
    // The entry VM has not replied.
    let (code, body) = side.get("/v1/status").unwrap();
    assert_eq!(code, 200);
    assert!(body.contains(r#""registration":"no-reply""#), "{body}");
}

#[test]
fn reload_without_seeds_keeps_the_previous_ones() {
    let mut side = SideProcess::start("seeds-removed", "");
    let (entry, address) = bind_entry();
    side.set_seeds(&[address]);
    side.wait_for("a registration", |_| {
        receives_registration(&entry, "seeds-removed")
    });
    side.set_seeds(&[]);
    side.wait_for("the reload", |side| {
        let log = side.log();
        let mut newest_first = log.lines().rev();
        let reload = newest_first.find(|line| line.contains(r#""event":"reloaded""#));
        reload.is_some_and(|line| line.contains(r#""seeds":0"#))
    });
    // The next full registration.
    entry.set_nonblocking(true).unwrap();
    while entry.recv(&mut [0; MAX_PEER_DATAGRAM_BYTES]).is_ok() {}
    entry.set_nonblocking(false).unwrap();
    side.wait_for("another registration", |_| {
        receives_registration(&entry, "seeds-removed")
    });
}

#[test]
fn passthrough_side_process_without_seeds_waits() {
    let passthrough = r#", "passthrough": {"outbound": "OUTBOUND"}"#;
    let mut side = SideProcess::start("no-seeds-passthrough", passthrough);
    side.wait_for("its status", |side| {
        side.get("/v1/status")
            .is_some_and(|(_, body)| body.contains(r#""registration":"not-registered""#))
    });
    assert_eq!(side.get("/ready").map(|(code, _)| code), Some(503));
}
