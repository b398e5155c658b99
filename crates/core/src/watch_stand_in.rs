//! Watches of the platform by entry VMs that are not the watcher of their data centre.
//!
//! The watchers are chosen by name, not by whether they reach the platform. An entry VM whose
//! documents nobody has confirmed for some time therefore reads the operators' documents itself.
//! If the platform answers, it watches for a while too and confirms the documents of its peers,
//! so that in a large fleet only some entry VMs have to read. While the platform does not answer,
//! it is asked once per period, by each entry VM at another time.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::units::TimePoint;

/// Time for which an entry VM watches the platform after an answer.
pub const STAND_IN_TIME: Duration = Duration::from_secs(10);

/// Part of the change deadline that is left for the read and for building a view.
pub const READ_MARGIN: Duration = Duration::from_millis(500);

/// Shortest age of the documents at which an entry VM reads them itself. It exceeds the time in
/// which a confirmation passes through a small fleet.
pub const MIN_PROBE_AGE: Duration = Duration::from_secs(1);

/// Share of the probe age by which a probe may come earlier, in percent, so that the entry VMs
/// that were confirmed together do not all read at once.
const MAX_JITTER_PERCENT: u32 = 20;

/// When one entry VM reads the platform though it is not a watcher.
#[derive(Debug, Clone)]
pub struct WatchStandIn {
    // Age of the documents at which they are read; `None` if they never are.
    probe_age: Option<Duration>,
    jitter: Duration,
    started_at: TimePoint,
    probed_at: Option<TimePoint>,
    answered_at: Option<TimePoint>,
}

impl WatchStandIn {
    /// Returns the state of a process that has just started, which never reads.
    pub fn new(now: TimePoint) -> Self {
        Self {
            probe_age: None,
            jitter: Duration::ZERO,
            started_at: now,
            probed_at: None,
            answered_at: None,
        }
    }

    /// Sets the time within which a change has to be in force, from which the age follows at
    /// which documents are read.
    pub fn set_change_deadline(&mut self, deadline: Duration, random: &mut StdRng) {
        let probe_age = deadline.saturating_sub(READ_MARGIN).max(MIN_PROBE_AGE);
        self.probe_age = Some(probe_age);
        self.draw_jitter(random);
    }

    fn draw_jitter(&mut self, random: &mut StdRng) {
        let max_jitter = self.probe_age.unwrap_or_default() * MAX_JITTER_PERCENT / 100;
        self.jitter = random.random_range(Duration::ZERO..=max_jitter);
    }

    /// Returns whether a read is due. `confirmed_at` is when the platform last confirmed the
    /// operators' documents, directly or through peers.
    pub fn is_probe_due(&self, confirmed_at: Option<TimePoint>, now: TimePoint) -> bool {
        let Some(probe_age) = self.probe_age else {
            return false;
        };
        let last = confirmed_at.unwrap_or(self.started_at).max(
            // A read that failed is repeated after the same time.
            self.probed_at.unwrap_or_default(),
        );
        now.since(last) >= probe_age.saturating_sub(self.jitter)
    }

    /// Records that a read is sent.
    pub fn record_probe(&mut self, random: &mut StdRng, now: TimePoint) {
        self.probed_at = Some(now);
        self.draw_jitter(random);
    }

    /// Records that the platform has answered a read.
    pub fn record_answer(&mut self, now: TimePoint) {
        self.answered_at = Some(now);
    }

    /// Returns whether this entry VM watches the platform in place of a watcher.
    pub fn is_watching(&self, now: TimePoint) -> bool {
        self.answered_at
            .is_some_and(|answered_at| now.since(answered_at) < STAND_IN_TIME)
    }
}
