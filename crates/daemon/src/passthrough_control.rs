//! The control thread of a side process with passthrough flows: registers the host in
//! the state that follows from the backend server's reports.

use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::opening_rules::RulesChange;
use chestnutlb_core::{
    HostRecord, HostState, Incarnation, ObjectVersion, RegistrationReply, TimePoint,
};

use crate::clock;
use crate::logs::LoggedVersion;
use crate::passthrough_side::PassthroughShared;
use crate::registration::{HostRegistration, REGISTRATION_PERIOD};

/// Number of times that a deregistration is sent, since each one may be lost.
const DEREGISTRATION_REPEATS: u32 = 3;

/// Interval between two registrations while the limit of cold hosts is not known.
const FIRST_REGISTRATION_PERIOD: Duration = Duration::from_millis(100);

/// State of the control thread.
#[derive(Debug)]
pub struct PassthroughControl {
    registration: HostRegistration,
    shared: Arc<PassthroughShared>,
    state: HostState,
    registration_due: TimePoint,
    deregistrations_sent: u32,
}

impl PassthroughControl {
    /// Creates the state of the thread, which registers the host by `registration`.
    pub fn new(registration: HostRegistration, shared: Arc<PassthroughShared>) -> Self {
        Self {
            registration,
            shared,
            state: HostState::Joining,
            registration_due: TimePoint::default(),
            deregistrations_sent: 0,
        }
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        loop {
            let now = clock::now();
            self.update_state(now);
            let is_due = self.registration_due <= now || self.registration.is_due_at_once(now);
            if is_due && !self.is_registration_paused() {
                self.registration_due = now + self.registration_period();
                self.register(now);
            }
            // `receive` records the registration targets. The hash in a reply concerns hosts of
            // other service kinds.
            if let Some(reply) = self.registration.receive(now) {
                self.record_rules(&reply, now);
            }
        }
    }

    // Puts the rules of a reply in force. An entry VM that does not know the service, or knows no
    // route of it, does not know its rules either.
    fn record_rules(&self, reply: &RegistrationReply, now: TimePoint) {
        let mut gate = self.shared.opening();
        let change = if reply.slice_hash == 0 && reply.opening.has_none_of_manifest() {
            gate.record_drain(reply.opening.drain, now)
        } else {
            gate.record_rules(&reply.opening, now)
        };
        if change != RulesChange::Same {
            log::info!(
                target: "host",
                change:? = change, drained = gate.is_drained(),
                version = LoggedVersion::from(gate.drain_version()),
                cold_limit:? = gate.cold_limit(), learns_capacity = gate.learns_capacity();
                "opening rules"
            );
        }
    }

    // Before an entry VM has answered, a cold host opens few flows.
    fn registration_period(&self) -> Duration {
        if self.shared.opening().awaits_cold_limit() {
            FIRST_REGISTRATION_PERIOD
        } else {
            REGISTRATION_PERIOD
        }
    }

    // Updates the host state; a change is registered at once.
    fn update_state(&mut self, now: TimePoint) {
        let state = self.shared.state(now);
        if state == self.state {
            return;
        }
        log::info!(
            target: "host",
            host:% = self.shared.settings.name, from:% = self.state, state:% = state,
            backend_absent = self.shared.is_backend_absent();
            "changed"
        );
        self.state = state;
        self.deregistrations_sent = 0;
        self.registration_due = now;
    }

    // Returns whether no registrations are due: before the first report of the backend
    // server, and after the last repeat of the deregistration.
    fn is_registration_paused(&self) -> bool {
        match self.state {
            HostState::Joining => true,
            HostState::Gone => self.deregistrations_sent >= DEREGISTRATION_REPEATS,
            _ => false,
        }
    }

    fn register(&mut self, now: TimePoint) {
        if self.state == HostState::Gone {
            self.deregistrations_sent += 1;
        }
        let settings = &self.shared.settings;
        let record = HostRecord {
            name: settings.name.clone(),
            service: settings.service.clone(),
            datacenter: settings.datacenter.clone(),
            packets: settings.packets,
            relays: settings.status,
            // Constant, since flows are held by the backend server and survive a restart
            // of this process.
            incarnation: Incarnation(0),
            weight: settings.weight,
            state: self.state,
            held_buckets: Vec::new(),
        };
        self.registration.send(record, ObjectVersion(0), now);
    }
}
