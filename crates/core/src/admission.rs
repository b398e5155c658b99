//! Admission of new flows at a host: none while it is leaving, a growing share while it
//! is cold, and, while its backend server is unreachable, only flows that no other host
//! accepts.

use std::time::Duration;

use crate::chart::HostState;
use crate::flow::FlowHash;
use crate::ownership::AdmissionGate;
use crate::units::TimePoint;

/// Share of flows that a host accepts when it has just become ready, in percent.
const INITIAL_SHARE: u64 = 10;

/// Admission state of one host.
#[derive(Debug, Clone, Copy)]
pub struct HostAdmission {
    state: HostState,
    since: TimePoint,
    warm_up: Duration,
    flow_limit: usize,
}

impl HostAdmission {
    /// Returns the admission of a host that has just reached `state`.
    pub fn new(state: HostState, now: TimePoint, warm_up: Duration, flow_limit: usize) -> Self {
        Self {
            state,
            since: now,
            warm_up,
            flow_limit,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> HostState {
        self.state
    }

    /// Records a change of state.
    pub fn set_state(&mut self, state: HostState, now: TimePoint) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// Records a change of the limits.
    pub fn set_limits(&mut self, warm_up: Duration, flow_limit: usize) {
        self.warm_up = warm_up;
        self.flow_limit = flow_limit;
    }

    /// Returns the gate for a flow. `is_last_hop` states that no other host is left to
    /// accept the flow; a cold host then accepts it rather than refuse it.
    pub fn gate(&self, flow: FlowHash, is_last_hop: bool, now: TimePoint) -> AdmissionGate {
        let open = match self.state {
            HostState::Serving => true,
            HostState::Suspect => is_last_hop,
            HostState::Warming => is_last_hop || (flow.0 >> 32) % 100 < self.warm_up_share(now),
            HostState::Joining | HostState::Leaving | HostState::Gone => false,
        };
        AdmissionGate {
            open,
            flow_limit: self.flow_limit,
        }
    }

    fn warm_up_share(&self, now: TimePoint) -> u64 {
        let total = self.warm_up.as_millis().max(1) as u64;
        let elapsed = now.since(self.since).as_millis() as u64;
        (INITIAL_SHARE + (100 - INITIAL_SHARE) * elapsed / total).min(100)
    }
}
