//! Finds free loopback ports for processes that are about to be started.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

/// First port of the range for processes of the fleet.
///
/// The range lies below the ephemeral ports: an outgoing connection could otherwise
/// occupy a port before the process that was assigned it has started.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 20_000;

// Random, so that programs that run at the same time try different ports first.
static START_OFFSET: LazyLock<u16> = LazyLock::new(|| rand::random::<u16>() % PORT_COUNT);

// Number of ports tried by this program.
static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

// Prevents processes from being started while a port is tried. Such a process inherits
// the trial socket for a moment and blocks the port for the process that is assigned it.
static PORT_LOCK: Mutex<()> = Mutex::new(());

/// Returns a guard that prevents ports from being tried while a process is started.
pub fn lock_ports() -> MutexGuard<'static, ()> {
    PORT_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address with a port that is free for both TCP and UDP.
///
/// Fails with `AddrInUse` if no port of the range is free.
pub fn free_address() -> std::io::Result<SocketAddrV4> {
    let _guard = lock_ports();
    let start = *START_OFFSET;
    for _ in 0..PORT_COUNT {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + tried % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
