//! Connections to the backend server.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// Bytes that are read from the backend server at a time.
pub const READ_BYTES: usize = 16 << 10;

/// Bytes towards the backend server that may wait; the caller is slowed down
/// above it.
pub const PENDING_BYTES: usize = 64 << 10;

/// A connection to the backend server.
#[derive(Debug)]
pub struct BackendLink {
    stream: TcpStream,
    /// Its name in the event loop.
    pub token: Token,
    pending: Vec<u8>,
    written: usize,
    /// Whether any byte was taken by the system's socket.
    pub started: bool,
    readable: bool,
    /// Whether the backend server has closed its side.
    pub ended: bool,
    /// Whether the connection failed.
    pub failed: bool,
    finish: bool,
}

impl BackendLink {
    /// Starts to connect.
    pub fn connect(
        backend: SocketAddrV4,
        token: Token,
        registry: &Registry,
    ) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect(backend.into())?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self {
            stream,
            token,
            pending: Vec::new(),
            written: 0,
            started: false,
            readable: false,
            ended: false,
            failed: false,
            finish: false,
        })
    }

    /// Notes that the socket became ready.
    pub fn wake(&mut self, readable: bool) {
        self.readable |= readable;
        self.flush();
    }

    /// Whether more bytes may be queued.
    pub fn has_room(&self) -> bool {
        self.pending.len() - self.written < PENDING_BYTES
    }

    /// Queues bytes for the backend server.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
        self.flush();
    }

    /// Closes the direction to the backend server once all was written.
    pub fn finish(&mut self) {
        self.finish = true;
        self.flush();
    }

    fn flush(&mut self) {
        while self.written < self.pending.len() && !self.failed {
            match self.stream.write(&self.pending[self.written..]) {
                Ok(0) => return,
                Ok(len) => {
                    self.started = true;
                    self.written += len;
                }
                Err(error) if is_pending(error.kind()) => return,
                Err(_) => self.failed = true,
            }
        }
        self.pending.clear();
        self.written = 0;
        if self.finish && !self.failed {
            self.finish = false;
            // The peer may have reset the connection; reading shows it.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads into `buffer`; zero if there is nothing now.
    pub fn read(&mut self, buffer: &mut [u8]) -> usize {
        if !self.readable || self.ended || self.failed || buffer.is_empty() {
            return 0;
        }
        match self.stream.read(buffer) {
            Ok(0) => {
                self.ended = true;
                0
            }
            Ok(len) => len,
            Err(error) if is_pending(error.kind()) => {
                self.readable = false;
                0
            }
            Err(_) => {
                self.failed = true;
                0
            }
        }
    }

    /// Takes the connection out of the event loop and closes it.
    pub fn close(mut self, registry: &Registry) {
        // It is closed in any case.
        let _ = registry.deregister(&mut self.stream);
    }
}

fn is_pending(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected
    )
}
