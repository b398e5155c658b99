//! A loopback TCP proxy with faults that are set at run time. It sits between an entry
//! VM and the platform, or between a side process and its backend server.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a thread checks the fault while nothing arrives.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Fault that a proxy applies to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Delays each chunk by this time.
    Delay(Duration),
    /// Closes open connections, and new ones as they arrive.
    Reset,
    /// Forwards data from the client and drops data from the server. A connection with
    /// this fault keeps it when the fault ends.
    OneWay,
    /// Drops all data. A connection with this fault keeps it when the fault ends.
    Silent,
}

impl fmt::Display for LinkFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("none"),
            Self::Delay(time) => write!(f, "delay {} ms", time.as_millis()),
            Self::Reset => f.write_str("reset"),
            Self::OneWay => f.write_str("one way"),
            Self::Silent => f.write_str("silent"),
        }
    }
}

/// A proxy in front of one address. Its threads run until the program ends.
#[derive(Debug, Clone)]
pub struct LinkProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddrV4,
    fault: Arc<Mutex<LinkFault>>,
}

/// Direction in which a thread forwards data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl LinkProxy {
    /// Starts a proxy that listens on a loopback port chosen by the system and forwards
    /// connections to `target`.
    pub fn start(target: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let port = listener.local_addr()?.port();
        let proxy = Self {
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            fault: Arc::default(),
        };
        let acceptor = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // If the target is down, the client connection is dropped and so closed.
                let _ = acceptor.connect(client, target);
            }
        });
        Ok(proxy)
    }

    /// Sets the fault of all connections, open ones included. It applies to everything that is
    /// written to a connection after this call.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.lock() = fault;
    }

    fn lock(&self) -> MutexGuard<'_, LinkFault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(&self, client: TcpStream, target: SocketAddrV4) -> std::io::Result<()> {
        if *self.lock() == LinkFault::Reset {
            return client.shutdown(Shutdown::Both);
        }
        let server = TcpStream::connect(target)?;
        let (to_server, to_client) = (self.clone(), self.clone());
        let (client_end, server_end) = (client.try_clone()?, server.try_clone()?);
        std::thread::spawn(move || to_server.forward(client_end, server_end, Direction::ToServer));
        std::thread::spawn(move || to_client.forward(server, client, Direction::ToClient));
        Ok(())
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        // Both connections are closed, whatever ended the forwarding.
        let _ = self.forward_chunks(&mut from, &mut to, direction);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    fn forward_chunks(
        &self,
        from: &mut TcpStream,
        to: &mut TcpStream,
        direction: Direction,
    ) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK_BYTES];
        let mut dropping = false;
        from.set_read_timeout(Some(FAULT_POLL_INTERVAL))?;
        loop {
            let received = from.read(&mut chunk);
            // The fault is read after the data: it may have been set during the wait.
            let fault = *self.lock();
            dropping |= match fault {
                LinkFault::Silent => true,
                LinkFault::OneWay => direction == Direction::ToClient,
                _ => false,
            };
            if fault == LinkFault::Reset {
                return Ok(());
            }
            let len = match received {
                Ok(0) => return Ok(()),
                Ok(len) => len,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            if let LinkFault::Delay(time) = fault {
                std::thread::sleep(time);
            }
            if !dropping {
                to.write_all(&chunk[..len])?;
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
