//! The control thread beside a backend server whose flows are carried through:
//! announces the host by what the backend server reports.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use chestnutlb_core::{HostRecord, HostState, Incarnation, ObjectVersion, TimePoint};

use crate::clock;
use crate::passthrough_side::PassthroughShared;
use crate::registration::{HostRegistration, REGISTRATION_PERIOD};

/// Announcements of the end, since each may be lost.
const GONE_REPEATS: u32 = 3;

/// The control thread.
#[derive(Debug)]
pub struct PassthroughControl {
    registration: HostRegistration,
    shared: Arc<PassthroughShared>,
    state: HostState,
    announce_due: TimePoint,
    farewells: u32,
}

impl PassthroughControl {
    /// A thread that announces by `announcer`.
    pub fn new(registration: HostRegistration, shared: Arc<PassthroughShared>) -> Self {
        Self {
            registration,
            shared,
            state: HostState::Joining,
            announce_due: TimePoint::default(),
            farewells: 0,
        }
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        loop {
            let now = clock::now();
            self.follow(now);
            if self.announce_due <= now && !self.is_silent() {
                self.announce_due = now + REGISTRATION_PERIOD;
                self.announce(now);
            }
            // What keepers answer beside their addresses concerns services that
            // the process reads.
            self.registration.receive(now);
        }
    }

    fn follow(&mut self, now: TimePoint) {
        let state = if self.shared.stopping.load(Ordering::Relaxed) {
            HostState::Gone
        } else {
            self.shared.state(now)
        };
        if state == self.state {
            return;
        }
        log::info!(
            target: "host",
            host:% = self.shared.settings.name, from:% = self.state, state:% = state;
            "changed"
        );
        self.state = state;
        self.farewells = 0;
        self.announce_due = now;
    }

    // A host says nothing before its backend server is known to live, and stops
    // talking when it has left.
    fn is_silent(&self) -> bool {
        match self.state {
            HostState::Joining => true,
            HostState::Gone => self.farewells >= GONE_REPEATS,
            _ => false,
        }
    }

    fn announce(&mut self, now: TimePoint) {
        if self.state == HostState::Gone {
            self.farewells += 1;
        }
        let settings = &self.shared.settings;
        let record = HostRecord {
            name: settings.name.clone(),
            service: settings.service.clone(),
            datacenter: settings.datacenter.clone(),
            packets: settings.packets,
            relays: settings.status,
            // Flows belong to the backend server and outlive this process.
            incarnation: Incarnation(0),
            weight: settings.weight,
            state: self.state,
            held: Vec::new(),
        };
        self.registration.announce(record, ObjectVersion(0), now);
    }
}
