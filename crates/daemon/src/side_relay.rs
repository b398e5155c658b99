//! Worker threads that relay requests to other hosts and cancel them there.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Receiver;

use chestnutlb_core::RequestId;
use chestnutlb_wire::peer::{
    CancelQuery, CancelReply, RelayQuery, RelayReply, scan_message, write_message,
};

use crate::http::read_body;
use crate::side_events::{SideEvent, SideRing};

/// Time allowed for the reply to a relay after the deadline of its request.
const REPLY_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Timeout of a cancellation, and of connecting to another host.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(800);

/// Call to the side process of another host.
#[derive(Debug)]
pub enum RelayJob {
    /// Relays a request.
    Send(SocketAddrV4, RelayQuery),
    /// Cancels a relayed request.
    Cancel(SocketAddrV4, CancelQuery),
}

/// Result of a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayResult {
    /// The other host replied.
    Replied(RelayReply),
    /// The request was not sent, or the other host rejected the message before
    /// it accepted the request.
    NotSent,
    /// The request was sent, and no valid reply arrived.
    NoReply,
}

/// Runs a worker thread until the ring of jobs is closed.
pub fn run_relays(jobs: &Receiver<RelayJob>, events: &Arc<SideRing>) {
    let agent = ureq::AgentBuilder::new()
        .timeout_connect(CANCEL_TIMEOUT)
        .max_idle_connections(0)
        .build();
    for job in jobs {
        match job {
            RelayJob::Send(target, query) => {
                let id = RequestId(query.id);
                let result = send(&agent, target, &query);
                events.push(SideEvent::RelayDone(id, result));
            }
            RelayJob::Cancel(target, query) => {
                let id = RequestId(query.id);
                let reply = cancel(&agent, target, &query);
                events.push(SideEvent::CancelDone(id, reply));
            }
        }
    }
}

fn send(agent: &ureq::Agent, target: SocketAddrV4, query: &RelayQuery) -> RelayResult {
    let timeout = Duration::from_millis(query.left_ms) + REPLY_GRACE_PERIOD;
    let result = agent
        .post(&format!("http://{target}/peer/relay"))
        .timeout(timeout)
        .send_bytes(&write_message(query));
    match result {
        Ok(response) => read_body(response)
            .ok()
            .and_then(|bytes| scan_message(&bytes).ok())
            .map_or(RelayResult::NoReply, RelayResult::Replied),
        // The other host rejected the message before accepting the request.
        Err(ureq::Error::Status(400..=499, _)) => RelayResult::NotSent,
        Err(ureq::Error::Status(_, _)) => RelayResult::NoReply,
        Err(ureq::Error::Transport(transport)) => match transport.kind() {
            ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => RelayResult::NotSent,
            _ => RelayResult::NoReply,
        },
    }
}

fn cancel(agent: &ureq::Agent, target: SocketAddrV4, query: &CancelQuery) -> Option<CancelReply> {
    let response = agent
        .post(&format!("http://{target}/peer/cancel"))
        .timeout(CANCEL_TIMEOUT)
        .send_bytes(&write_message(query))
        .ok()?;
    let bytes = read_body(response).ok()?;
    scan_message(&bytes).ok()
}
