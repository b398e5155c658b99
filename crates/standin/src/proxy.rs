//! A loopback proxy for TCP connections, which fails them on demand: between
//! an entry VM and the platform, or a side process and its backend server.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two looks at the fault while nothing arrives.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What the proxy does to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Holds each chunk back for this time.
    Delay(Duration),
    /// Ends connections, new ones too.
    Reset,
    /// Passes what the client sends and drops what comes back. A connection that
    /// met this stays so.
    OneWay,
    /// Passes nothing. A connection that met this stays silent for good.
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

/// The proxy in front of one address. It ends with the program.
#[derive(Debug, Clone)]
pub struct LinkProxy {
    /// Where it listens.
    pub address: SocketAddrV4,
    fault: Arc<Mutex<LinkFault>>,
}

/// Which way a thread copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyWay {
    Forth,
    Back,
}

impl LinkProxy {
    /// Listens at `address` and passes connections on to `target`.
    pub fn start(address: SocketAddrV4, target: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self {
            address,
            fault: Arc::default(),
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A target that is down looks like a reset to the client.
                let _ = accepting.join(client, target);
            }
        });
        Ok(proxy)
    }

    /// Changes what is done to connections, those that are open too.
    pub fn set(&self, fault: LinkFault) {
        *self.lock() = fault;
    }

    fn lock(&self) -> MutexGuard<'_, LinkFault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join(&self, client: TcpStream, target: SocketAddrV4) -> std::io::Result<()> {
        if *self.lock() == LinkFault::Reset {
            return client.shutdown(Shutdown::Both);
        }
        let server = TcpStream::connect(target)?;
        let (forth, back) = (self.clone(), self.clone());
        let (client_end, server_end) = (client.try_clone()?, server.try_clone()?);
        std::thread::spawn(move || forth.copy(client_end, server_end, CopyWay::Forth));
        std::thread::spawn(move || back.copy(server, client, CopyWay::Back));
        Ok(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, way: CopyWay) {
        // However it ended, both ends are to see it.
        let _ = self.pass_on(&mut from, &mut to, way);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    fn pass_on(
        &self,
        from: &mut TcpStream,
        to: &mut TcpStream,
        way: CopyWay,
    ) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK_BYTES];
        let mut dropping = false;
        from.set_read_timeout(Some(POLL_PERIOD))?;
        loop {
            let fault = *self.lock();
            dropping |= match fault {
                LinkFault::Silent => true,
                LinkFault::OneWay => way == CopyWay::Back,
                _ => false,
            };
            if fault == LinkFault::Reset {
                return Ok(());
            }
            let len = match from.read(&mut chunk) {
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
