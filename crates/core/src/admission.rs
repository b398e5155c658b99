//! Which flows a host takes: none while it leaves, a growing share while it
//! is cold, and none but what nobody else takes while its backend server is out
//! of reach.

use std::time::Duration;

use crate::chart::HostState;
use crate::flow::FlowHash;
use crate::ownership::AdmissionGate;
use crate::units::TimePoint;

/// Share of flows that a host takes when it has just become ready, in percent.
const FIRST_SHARE: u64 = 10;

/// Decides for one host.
#[derive(Debug, Clone, Copy)]
pub struct HostAdmission {
    state: HostState,
    since: TimePoint,
    warm_up: Duration,
    flow_limit: usize,
}

impl HostAdmission {
    /// A host that has just reached `state`.
    pub fn new(state: HostState, now: TimePoint, warm_up: Duration, flow_limit: usize) -> Self {
        Self {
            state,
            since: now,
            warm_up,
            flow_limit,
        }
    }

    /// The state.
    pub fn state(&self) -> HostState {
        self.state
    }

    /// Notes a change of state.
    pub fn enter(&mut self, state: HostState, now: TimePoint) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    /// Notes a change of the limits.
    pub fn set_limits(&mut self, warm_up: Duration, flow_limit: usize) {
        self.warm_up = warm_up;
        self.flow_limit = flow_limit;
    }

    /// The gate for a flow. `last` is true if no other host is left to take
    /// it; then a cold host takes it rather than refuse it.
    pub fn gate(&self, flow: FlowHash, last: bool, now: TimePoint) -> AdmissionGate {
        let open = match self.state {
            HostState::Serving => true,
            HostState::Suspect => last,
            HostState::Warming => last || (flow.0 >> 32) % 100 < self.share(now),
            HostState::Joining | HostState::Leaving | HostState::Gone => false,
        };
        AdmissionGate {
            open,
            flow_limit: self.flow_limit,
        }
    }

    fn share(&self, now: TimePoint) -> u64 {
        let total = self.warm_up.as_millis().max(1) as u64;
        let passed = now.since(self.since).as_millis() as u64;
        (FIRST_SHARE + (100 - FIRST_SHARE) * passed / total).min(100)
    }
}
