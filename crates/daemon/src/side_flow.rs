//! A flow that ends at a side process: either a byte stream spliced to a
//! backend connection, or a sequence of HTTP/1.1 requests.

use std::time::Duration;

use chestnutlb_core::manifest::HostLimits;
use chestnutlb_core::{ServiceSpec, TimePoint};
use chestnutlb_stack::FlowStack;

use crate::http1::{
    REQUEST_TIMED_OUT, RequestError, RequestHead, RequestScan, add_close_header, scan_request,
    write_error_response,
};
use crate::side_link::{BackendConnection, READ_BUFFER_BYTES};

/// State of a flow that carries HTTP/1.1 requests.
#[derive(Debug, Default)]
pub struct RequestFlow {
    received: Vec<u8>,
    first_byte_at: Option<TimePoint>,
    in_flight: bool,
    response: Vec<u8>,
    response_sent: usize,
    close_after_response: bool,
}

/// Kind of a flow, with the state of that kind.
#[derive(Debug)]
pub enum FlowKind {
    /// Byte stream spliced to a backend connection, which is opened once the
    /// flow is established.
    Stream(Option<BackendConnection>),
    /// Sequence of HTTP/1.1 requests.
    Request(RequestFlow),
}

/// Flow owned by this host.
#[derive(Debug)]
pub struct SideFlow {
    /// TCP stack of the flow.
    pub stack: FlowStack,
    /// Kind of the flow.
    pub kind: FlowKind,
    /// Whether the handshake is complete.
    pub established: bool,
    /// Time of the next scheduled poll of the stack.
    pub next_poll: Option<TimePoint>,
    /// Time of the last owner notice sent to an entry VM.
    pub last_owner_notice: Option<TimePoint>,
    /// Whether the caller has closed its direction of the flow.
    pub caller_closed: bool,
}

/// Result of [`SideFlow::serve`].
#[derive(Debug)]
pub enum ServeResult {
    /// No request is ready.
    Wait,
    /// A complete request: its head, and the bytes of head and body.
    Complete(RequestHead, Vec<u8>),
    /// The received bytes are not a valid request, or the request took too long
    /// to arrive. The error response is queued.
    Refused(RequestError),
    /// The caller closed the flow in the middle of a request.
    Truncated,
}

impl SideFlow {
    /// Creates the state of a flow whose SYN has arrived.
    pub fn new(stack: FlowStack, kind: FlowKind) -> Self {
        Self {
            stack,
            kind,
            established: false,
            next_poll: None,
            last_owner_notice: None,
            caller_closed: false,
        }
    }

    /// Copies data between caller and backend server in both directions until
    /// neither direction has both data and buffer space.
    pub fn splice(&mut self) {
        let FlowKind::Stream(Some(connection)) = &mut self.kind else {
            return;
        };
        let socket = self.stack.socket_mut();
        while socket.can_recv() && connection.has_room() {
            let read = socket.recv(|bytes| {
                connection.push(bytes);
                (bytes.len(), bytes.len())
            });
            if !matches!(read, Ok(len) if len > 0) {
                break;
            }
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        while socket.can_send() {
            let room = (socket.send_capacity() - socket.send_queue()).min(READ_BUFFER_BYTES);
            let len = connection.read(&mut buffer[..room]);
            if len == 0 {
                break;
            }
            // The slice fits, since its length is limited to the free space.
            let _ = socket.send_slice(&buffer[..len]);
        }
        if connection.failed {
            socket.abort();
        } else if connection.read_closed {
            socket.close();
        }
        if !socket.may_recv() && !socket.can_recv() && !self.caller_closed {
            connection.shutdown();
        }
    }

    /// Sends the rest of the current response, then reads the next request.
    pub fn serve(&mut self, spec: &ServiceSpec, now: TimePoint) -> ServeResult {
        let FlowKind::Request(requests) = &mut self.kind else {
            return ServeResult::Wait;
        };
        if !requests.send_response(&mut self.stack) {
            return ServeResult::Wait;
        }
        requests.receive(&mut self.stack, &spec.limits);
        let input_ended = !self.stack.socket().may_recv();
        if requests.received.is_empty() {
            requests.first_byte_at = None;
            if input_ended {
                self.stack.socket_mut().close();
            }
            return ServeResult::Wait;
        }
        let result = requests.scan(spec, input_ended, now);
        if matches!(result, ServeResult::Truncated) {
            self.stack.socket_mut().abort();
        }
        result
    }
}

impl RequestFlow {
    /// Returns whether a request of the flow is in progress.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Returns whether the current request started to arrive at least `limit`
    /// ago.
    pub fn is_slow(&self, limit: Duration, now: TimePoint) -> bool {
        self.first_byte_at
            .is_some_and(|first| now.since(first) >= limit)
    }

    /// Sets the response to the request in progress. A `last` response gets the header
    /// `Connection: close`, and the flow closes after it.
    pub fn set_response(&mut self, bytes: Vec<u8>, last: bool) {
        self.in_flight = false;
        self.response = bytes;
        if last {
            add_close_header(&mut self.response);
            self.close_after_response = true;
        }
    }

    // Sends response data. Returns whether the next request may be read.
    fn send_response(&mut self, stack: &mut FlowStack) -> bool {
        let socket = stack.socket_mut();
        while self.response_sent < self.response.len() && socket.can_send() {
            match socket.send_slice(&self.response[self.response_sent..]) {
                Ok(len) if len > 0 => self.response_sent += len,
                _ => break,
            }
        }
        if self.response_sent < self.response.len() || self.in_flight {
            return false;
        }
        self.response.clear();
        self.response_sent = 0;
        if self.close_after_response {
            socket.close();
        }
        !self.close_after_response
    }

    fn receive(&mut self, stack: &mut FlowStack, limits: &HostLimits) {
        let limit = (limits.head.0 + limits.body.0) as usize;
        let socket = stack.socket_mut();
        while socket.can_recv() && self.received.len() <= limit {
            let read = socket.recv(|bytes| {
                self.received.extend_from_slice(bytes);
                (bytes.len(), bytes.len())
            });
            if !matches!(read, Ok(len) if len > 0) {
                break;
            }
        }
    }

    fn scan(&mut self, spec: &ServiceSpec, input_ended: bool, now: TimePoint) -> ServeResult {
        let first_byte_at = *self.first_byte_at.get_or_insert(now);
        let timed_out = now.since(first_byte_at) >= spec.timing.receive;
        match scan_request(&self.received, &spec.limits) {
            RequestScan::Incomplete if input_ended => ServeResult::Truncated,
            RequestScan::Incomplete if timed_out => self.refuse(REQUEST_TIMED_OUT),
            RequestScan::Incomplete => ServeResult::Wait,
            RequestScan::Complete(head) => {
                let rest = self.received.split_off(head.len);
                let bytes = std::mem::replace(&mut self.received, rest);
                self.first_byte_at = None;
                self.in_flight = true;
                self.close_after_response = head.close;
                ServeResult::Complete(head, bytes)
            }
            RequestScan::Invalid(error) => self.refuse(error),
        }
    }

    fn refuse(&mut self, error: RequestError) -> ServeResult {
        self.received.clear();
        self.close_after_response = true;
        self.response = write_error_response(error);
        ServeResult::Refused(error)
    }
}
