//! Connections to the backend server.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddrV4};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// Size of the buffer for reads from the backend server, in bytes.
pub const READ_BUFFER_BYTES: usize = 16 << 10;

/// Maximum number of bytes queued for the backend server. Above it no more data
/// is read from the caller, whose TCP window then closes.
pub const MAX_PENDING_BYTES: usize = 64 << 10;

/// A connection to the backend server.
#[derive(Debug)]
pub struct BackendConnection {
    stream: TcpStream,
    /// Token of the connection in the event loop.
    pub token: Token,
    pending: Vec<u8>,
    written: usize,
    /// Whether the operating system accepted any byte for sending. If not, the
    /// backend server can't have started the request.
    pub sent_any: bool,
    readable: bool,
    /// Whether the backend server has closed its sending direction.
    pub read_closed: bool,
    /// Whether the connection failed.
    pub failed: bool,
    shutdown_requested: bool,
}

impl BackendConnection {
    /// Starts a non-blocking connection attempt and registers it with the event
    /// loop.
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
            sent_any: false,
            readable: false,
            read_closed: false,
            failed: false,
            shutdown_requested: false,
        })
    }

    /// Records that the socket became ready, and writes queued bytes.
    pub fn handle_readiness(&mut self, readable: bool) {
        self.readable |= readable;
        self.flush();
    }

    /// Returns whether the queue has room for more bytes.
    pub fn has_room(&self) -> bool {
        self.pending.len() - self.written < MAX_PENDING_BYTES
    }

    /// Queues bytes for the backend server.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
        self.flush();
    }

    /// Closes the sending direction once all queued bytes are written.
    pub fn shutdown(&mut self) {
        self.shutdown_requested = true;
        self.flush();
    }

    fn flush(&mut self) {
        while self.written < self.pending.len() && !self.failed {
            match self.stream.write(&self.pending[self.written..]) {
                Ok(0) => return,
                Ok(len) => {
                    self.sent_any = true;
                    self.written += len;
                }
                Err(error) if is_retryable(error.kind()) => return,
                Err(_) => self.failed = true,
            }
        }
        self.pending.clear();
        self.written = 0;
        if self.shutdown_requested && !self.failed {
            self.shutdown_requested = false;
            // If the backend server has reset the connection, reading reports
            // the error.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads into `buffer`. Returns 0 if no data is available or the connection
    /// has ended.
    pub fn read(&mut self, buffer: &mut [u8]) -> usize {
        if !self.readable || self.read_closed || self.failed || buffer.is_empty() {
            return 0;
        }
        match self.stream.read(buffer) {
            Ok(0) => {
                self.read_closed = true;
                0
            }
            Ok(len) => len,
            Err(error) if is_retryable(error.kind()) => {
                self.readable = false;
                0
            }
            Err(_) => {
                self.failed = true;
                0
            }
        }
    }

    /// Deregisters the connection from the event loop and closes it.
    pub fn close(mut self, registry: &Registry) {
        // The connection is closed by the drop even if this fails.
        let _ = registry.deregister(&mut self.stream);
    }
}

fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected
    )
}
