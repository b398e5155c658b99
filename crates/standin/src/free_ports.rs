//! Free ports of this machine for processes that are about to be started.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

/// Ports for the fleet's processes; below those that the system gives to
/// outgoing connections, which could take one before its process starts.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

static START_PORT: LazyLock<u16> = LazyLock::new(|| rand::random::<u16>() % PORT_COUNT);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

// A process that is started while another thread tries a port inherits that
// socket for a moment, and keeps the port busy for whoever was given it.
static PORT_LOCK: Mutex<()> = Mutex::new(());

/// Held while a process is started, so that no port is tried meanwhile.
pub fn port_guard() -> MutexGuard<'static, ()> {
    PORT_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A free port of the loopback address, for both protocols.
pub fn free_address() -> std::io::Result<SocketAddrV4> {
    let _guard = port_guard();
    // Programs that run side by side start at different places.
    let start = *START_PORT;
    for _ in 0..PORT_COUNT {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + step % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
