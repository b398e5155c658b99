//! One flow that ends at a side process: bytes handed through to a backend server's
//! connection, or requests taken off one at a time.

use std::time::Duration;

use chestnutlb_core::manifest::HostLimits;
use chestnutlb_core::{ServiceSpec, TimePoint};
use chestnutlb_stack::FlowStack;

use crate::http1::{
    BadRequest, RequestHead, RequestScan, TOO_SLOW, add_close, scan_request, write_bad,
};
use crate::side_link::{BackendLink, READ_BYTES};

/// Requests of a flow.
#[derive(Debug, Default)]
pub struct RequestFlow {
    received: Vec<u8>,
    first_byte: Option<TimePoint>,
    in_flight: bool,
    reply: Vec<u8>,
    sent: usize,
    close: bool,
}

/// What a flow does.
#[derive(Debug)]
pub enum FlowWork {
    /// Bytes are handed through; there is no connection before it is open.
    Stream(Option<BackendLink>),
    /// Requests are taken off.
    Request(RequestFlow),
}

/// A flow.
#[derive(Debug)]
pub struct SideFlow {
    /// Its TCP.
    pub stack: FlowStack,
    /// What it does.
    pub work: FlowWork,
    /// Whether the handshake is over.
    pub open: bool,
    /// When it is looked at next.
    pub due: Option<TimePoint>,
    /// When its entry VM was last told about it.
    pub noted: Option<TimePoint>,
    /// Whether the caller has closed its end.
    pub closing: bool,
}

/// What came of a look at a flow's requests.
#[derive(Debug)]
pub enum ServeStep {
    /// Nothing to do.
    Wait,
    /// A request has arrived whole.
    Taken(RequestHead, Vec<u8>),
    /// What arrived is no request, or took too long; the answer is ready.
    Refused(BadRequest),
    /// The caller closed in the middle of a request.
    CutShort,
}

impl SideFlow {
    /// A flow whose opening has arrived.
    pub fn new(stack: FlowStack, work: FlowWork) -> Self {
        Self {
            stack,
            work,
            open: false,
            due: None,
            noted: None,
            closing: false,
        }
    }

    /// Hands bytes through in both directions, as far as both ends take them.
    pub fn splice(&mut self) {
        let FlowWork::Stream(Some(link)) = &mut self.work else {
            return;
        };
        let socket = self.stack.socket_mut();
        while socket.can_recv() && link.has_room() {
            let taken = socket.recv(|bytes| {
                link.push(bytes);
                (bytes.len(), bytes.len())
            });
            if !matches!(taken, Ok(len) if len > 0) {
                break;
            }
        }
        let mut buffer = [0; READ_BYTES];
        while socket.can_send() {
            let room = (socket.send_capacity() - socket.send_queue()).min(READ_BYTES);
            let len = link.read(&mut buffer[..room]);
            if len == 0 {
                break;
            }
            // There is room for all of it.
            let _ = socket.send_slice(&buffer[..len]);
        }
        if link.failed {
            socket.abort();
        } else if link.ended {
            socket.close();
        }
        if !socket.may_recv() && !socket.can_recv() && !self.closing {
            link.finish();
        }
    }

    /// Sends what is left of an answer, then takes the next request off.
    pub fn serve(&mut self, spec: &ServiceSpec, now: TimePoint) -> ServeStep {
        let FlowWork::Request(work) = &mut self.work else {
            return ServeStep::Wait;
        };
        if !work.send_reply(&mut self.stack) {
            return ServeStep::Wait;
        }
        work.receive(&mut self.stack, &spec.limits);
        let ended = !self.stack.socket().may_recv();
        if work.received.is_empty() {
            work.first_byte = None;
            if ended {
                self.stack.socket_mut().close();
            }
            return ServeStep::Wait;
        }
        let step = work.scan(spec, ended, now);
        if matches!(step, ServeStep::CutShort) {
            self.stack.socket_mut().abort();
        }
        step
    }
}

impl RequestFlow {
    /// Whether a request is with the desk.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Whether a request has been arriving for `limit` or longer.
    pub fn is_slow(&self, limit: Duration, now: TimePoint) -> bool {
        self.first_byte
            .is_some_and(|first| now.since(first) >= limit)
    }

    /// Takes the answer of the request that is in flight. The last one asks the
    /// caller to close.
    pub fn answer(&mut self, bytes: Vec<u8>, last: bool) {
        self.in_flight = false;
        self.reply = bytes;
        if last {
            add_close(&mut self.reply);
            self.close = true;
        }
    }

    // Returns whether the next request may be taken.
    fn send_reply(&mut self, stack: &mut FlowStack) -> bool {
        let socket = stack.socket_mut();
        while self.sent < self.reply.len() && socket.can_send() {
            match socket.send_slice(&self.reply[self.sent..]) {
                Ok(len) if len > 0 => self.sent += len,
                _ => break,
            }
        }
        if self.sent < self.reply.len() || self.in_flight {
            return false;
        }
        self.reply.clear();
        self.sent = 0;
        if self.close {
            socket.close();
        }
        !self.close
    }

    fn receive(&mut self, stack: &mut FlowStack, limits: &HostLimits) {
        let limit = (limits.head.0 + limits.body.0) as usize;
        let socket = stack.socket_mut();
        while socket.can_recv() && self.received.len() <= limit {
            let taken = socket.recv(|bytes| {
                self.received.extend_from_slice(bytes);
                (bytes.len(), bytes.len())
            });
            if !matches!(taken, Ok(len) if len > 0) {
                break;
            }
        }
    }

    fn scan(&mut self, spec: &ServiceSpec, ended: bool, now: TimePoint) -> ServeStep {
        let first_byte = *self.first_byte.get_or_insert(now);
        let late = now.since(first_byte) >= spec.timing.receive;
        match scan_request(&self.received, &spec.limits) {
            RequestScan::Incomplete if ended => ServeStep::CutShort,
            RequestScan::Incomplete if late => self.refuse(TOO_SLOW),
            RequestScan::Incomplete => ServeStep::Wait,
            RequestScan::Complete(head) => {
                let rest = self.received.split_off(head.len);
                let bytes = std::mem::replace(&mut self.received, rest);
                self.first_byte = None;
                self.in_flight = true;
                self.close = head.close;
                ServeStep::Taken(head, bytes)
            }
            RequestScan::Bad(bad) => self.refuse(bad),
        }
    }

    fn refuse(&mut self, bad: BadRequest) -> ServeStep {
        self.received.clear();
        self.close = true;
        self.reply = write_bad(bad);
        ServeStep::Refused(bad)
    }
}
