//! The fate of requests: what their caller may be told.
//!
//! `not run` is said only with proof that no backend server started the
//! request. The host that took it from the caller follows its chart; a host
//! that takes relayed requests keeps tombstones, so that a relay which arrives
//! after its cancellation is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::chart::{RequestEvent, RequestState};
use crate::ids::RequestId;
use crate::units::TimePoint;

/// Relays and tombstones are remembered for this time after they ended; it is
/// longer than any relay can stay on its way.
pub const RELAY_MEMORY: Duration = Duration::from_secs(120);

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestOutcome {
    /// The backend server's whole answer.
    Answered,
    /// No backend server started it.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

impl RequestOutcome {
    /// Name in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl RequestState {
    /// The outcome, none while the request is under way.
    pub fn outcome(self) -> Option<RequestOutcome> {
        match self {
            Self::Answered => Some(RequestOutcome::Answered),
            Self::NotRun => Some(RequestOutcome::NotRun),
            Self::Unknown => Some(RequestOutcome::Unknown),
            Self::Queued | Self::Running | Self::Relayed | Self::Cancelling => None,
        }
    }
}

/// Requests that this host took from callers and has not answered.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

impl RequestTable {
    /// Adds a request.
    pub fn open(&mut self, id: RequestId) {
        self.requests.insert(id, RequestState::Queued);
    }

    /// Where a request is.
    pub fn state(&self, id: RequestId) -> Option<RequestState> {
        self.requests.get(&id).copied()
    }

    /// Moves a request along its chart. Returns its outcome when it has one;
    /// the request is then forgotten, so whatever comes later is ignored.
    pub fn apply(&mut self, id: RequestId, event: RequestEvent) -> Option<RequestOutcome> {
        let state = self.requests.get_mut(&id)?;
        *state = state.after(event)?;
        let outcome = state.outcome()?;
        self.requests.remove(&id);
        Some(outcome)
    }

    /// Requests under way.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

/// What a host says of a relay that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayAdmission {
    /// It is new and may be offered to the slots.
    New,
    /// It was cancelled before it arrived.
    Cancelled,
    /// It is here already.
    Duplicate,
}

/// What a host says to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The request has not run and will not.
    NotRun,
    /// A backend server has started it.
    Started,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum RelayState {
    Waiting,
    Started,
    Ended { started: bool, at: TimePoint },
}

/// Relayed requests that this host was sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayTable {
    relays: BTreeMap<RequestId, RelayState>,
}

impl RelayTable {
    /// A relay arrived.
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

    /// A backend server is about to get the request. Returns false if it was
    /// cancelled; then it must not.
    pub fn start(&mut self, id: RequestId) -> bool {
        match self.relays.get_mut(&id) {
            Some(state @ RelayState::Waiting) => {
                *state = RelayState::Started;
                true
            }
            _ => false,
        }
    }

    /// The request ended, or was refused before it started.
    pub fn end(&mut self, id: RequestId, now: TimePoint) {
        if let Some(state) = self.relays.get_mut(&id) {
            let started = matches!(
                state,
                RelayState::Started | RelayState::Ended { started: true, .. }
            );
            *state = RelayState::Ended { started, at: now };
        }
    }

    /// A cancellation arrived, perhaps before the relay itself.
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

    /// Forgets what ended long ago.
    pub fn sweep(&mut self, now: TimePoint) {
        self.relays.retain(|_, state| match state {
            RelayState::Ended { at, .. } => now.since(*at) < RELAY_MEMORY,
            _ => true,
        });
    }

    /// Relays remembered.
    pub fn len(&self) -> usize {
        self.relays.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }
}
