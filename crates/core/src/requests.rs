//! Outcomes of requests as reported to their callers.
//!
//! [`RequestOutcome::NotRun`] is reported only with proof that no backend server
//! started the request. The host that received a request from the caller tracks its
//! state in a [`RequestTable`]. A host that receives relayed requests keeps
//! tombstones in a [`RelayTable`], so that it refuses a relay that arrives after its
//! cancellation.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::chart::{RequestEvent, RequestState};
use crate::ids::RequestId;
use crate::units::TimePoint;

/// Time for which ended relays and tombstones are kept. It exceeds the longest time
/// that a relay can be in flight.
pub const RELAY_RETENTION: Duration = Duration::from_secs(120);

/// The outcome of a request that is reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestOutcome {
    /// The backend server sent a complete response.
    Answered,
    /// No backend server started the request.
    NotRun,
    /// A backend server may have started the request.
    Unknown,
}

impl RequestOutcome {
    /// Returns the name used in logs, metrics and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl RequestState {
    /// Returns the outcome, or `None` while the request is in progress.
    pub fn outcome(self) -> Option<RequestOutcome> {
        match self {
            Self::Answered => Some(RequestOutcome::Answered),
            Self::NotRun => Some(RequestOutcome::NotRun),
            Self::Unknown => Some(RequestOutcome::Unknown),
            Self::Queued | Self::Running | Self::Relayed | Self::Cancelling => None,
        }
    }
}

/// Requests that this host has received from callers and not answered yet.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

impl RequestTable {
    /// Adds a request in state `Queued`.
    pub fn insert(&mut self, id: RequestId) {
        self.requests.insert(id, RequestState::Queued);
    }

    /// Returns the state of a request.
    pub fn state(&self, id: RequestId) -> Option<RequestState> {
        self.requests.get(&id).copied()
    }

    /// Applies an event to the state of a request. Returns the outcome if the event ends
    /// the request; the request is then removed and later events are ignored.
    pub fn apply(&mut self, id: RequestId, event: RequestEvent) -> Option<RequestOutcome> {
        let state = self.requests.get_mut(&id)?;
        *state = state.after(event)?;
        let outcome = state.outcome()?;
        self.requests.remove(&id);
        Some(outcome)
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// Result of a relay's arrival at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayAdmission {
    /// The relay is new and may be offered to the slots.
    New,
    /// The relay was cancelled before it arrived.
    Cancelled,
    /// The relay has arrived before.
    Duplicate,
}

/// Result of a cancellation at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The request has not been started and will not be.
    NotRun,
    /// A backend server has started the request.
    Started,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RelayState {
    Waiting,
    Started,
    Ended { started: bool, at: TimePoint },
}

/// Relayed requests that this host has received, and cancellations of relays.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayTable {
    relays: BTreeMap<RequestId, RelayState>,
}

impl RelayTable {
    /// Records the arrival of a relay.
    pub fn accept(&mut self, id: RequestId) -> RelayAdmission {
        match self.relays.get(&id) {
            None => {
                self.relays.insert(id, RelayState::Waiting);
                RelayAdmission::New
            }
            Some(RelayState::Ended { started: false, .. }) => RelayAdmission::Cancelled,
            Some(_) => RelayAdmission::Duplicate,
        }
    }

    /// Records that the request is about to be sent to a backend server. Returns false
    /// if it must not be sent, for example because it was cancelled.
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.relays.get_mut(&id) {
            Some(state @ RelayState::Waiting) => {
                *state = RelayState::Started;
                true
            }
            _ => false,
        }
    }

    /// Records that the request has ended or was refused before it started.
    pub fn end(&mut self, id: RequestId, now: TimePoint) {
        if let Some(state) = self.relays.get_mut(&id) {
            let started = matches!(
                state,
                RelayState::Started | RelayState::Ended { started: true, .. }
            );
            *state = RelayState::Ended { started, at: now };
        }
    }

    /// Records a cancellation, which may arrive before the relay itself.
    pub fn cancel(&mut self, id: RequestId, now: TimePoint) -> CancelResult {
        let state = self.relays.entry(id).or_insert(RelayState::Waiting);
        match state {
            RelayState::Waiting => {
                *state = RelayState::Ended {
                    started: false,
                    at: now,
                };
                CancelResult::NotRun
            }
            RelayState::Ended { started: false, .. } => CancelResult::NotRun,
            RelayState::Started | RelayState::Ended { started: true, .. } => CancelResult::Started,
        }
    }

    /// Removes the relays that ended at least [`RELAY_RETENTION`] ago.
    pub fn sweep(&mut self, now: TimePoint) {
        self.relays.retain(|_, state| match state {
            RelayState::Ended { at, .. } => now.since(*at) < RELAY_RETENTION,
            _ => true,
        });
    }

    /// Returns the number of recorded relays.
    pub fn len(&self) -> usize {
        self.relays.len()
    }

    /// Returns whether no relay is recorded.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }
}
