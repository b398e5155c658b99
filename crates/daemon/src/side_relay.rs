//! Threads that hand requests to other hosts and cancel them there.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Receiver;

use chestnutlb_core::RequestId;
use chestnutlb_wire::peer::{
    CancelAnswer, CancelQuery, RelayAnswer, RelayQuery, scan_message, write_message,
};

use crate::http::read_body;
use crate::side_events::{SideEvent, SideRing};

/// Time for an answer beyond the deadline of its request.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Time for a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(800);

/// A call of another host's side process.
#[derive(Debug)]
pub enum RelayJob {
    /// Hand over a request.
    Send(SocketAddrV4, RelayQuery),
    /// Cancel it.
    Cancel(SocketAddrV4, CancelQuery),
}

/// What became of a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayResult {
    /// The other host answered.
    Told(RelayAnswer),
    /// The request never left this host.
    NotSent,
    /// The request left, and no answer came.
    Lost,
}

/// One of the threads.
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
                let word = cancel(&agent, target, &query);
                events.push(SideEvent::CancelDone(id, word));
            }
        }
    }
}

fn send(agent: &ureq::Agent, target: SocketAddrV4, query: &RelayQuery) -> RelayResult {
    let time = Duration::from_millis(query.left_ms) + ANSWER_GRACE;
    let call = agent
        .post(&format!("http://{target}/peer/relay"))
        .timeout(time)
        .send_bytes(&write_message(query));
    match call {
        Ok(answer) => read_body(answer)
            .ok()
            .and_then(|bytes| scan_message(&bytes).ok())
            .map_or(RelayResult::Lost, RelayResult::Told),
        // The other host read the message and refused it before placing it.
        Err(ureq::Error::Status(400..=499, _)) => RelayResult::NotSent,
        Err(ureq::Error::Status(_, _)) => RelayResult::Lost,
        Err(ureq::Error::Transport(transport)) => match transport.kind() {
            ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => RelayResult::NotSent,
            _ => RelayResult::Lost,
        },
    }
}

fn cancel(agent: &ureq::Agent, target: SocketAddrV4, query: &CancelQuery) -> Option<CancelAnswer> {
    let answer = agent
        .post(&format!("http://{target}/peer/cancel"))
        .timeout(CANCEL_TIMEOUT)
        .send_bytes(&write_message(query))
        .ok()?;
    let bytes = read_body(answer).ok()?;
    scan_message(&bytes).ok()
}
