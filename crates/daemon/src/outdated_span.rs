//! The time in which operators' documents are outdated, since the platform has one that can't be
//! read: which of it is counted and logged.

use std::time::Duration;

use chestnutlb_core::TimePoint;

/// Interval at which the state is counted.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which the state is logged.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// What to report now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutdatedReport {
    /// Nothing.
    None,
    /// A second of it has begun.
    Second {
        /// Whether to log it.
        logged: bool,
        /// Time since it began.
        lasts: Duration,
    },
    /// It has ended.
    Ended {
        /// Its length.
        lasted: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct OpenSpan {
    since: TimePoint,
    counted_at: TimePoint,
    logged_at: TimePoint,
}

/// Tracks whether documents are outdated.
#[derive(Debug, Default)]
pub struct OutdatedSpan(Option<OpenSpan>);

impl OutdatedSpan {
    /// Records the state at a time. Returns what to report.
    pub fn update(&mut self, is_outdated: bool, now: TimePoint) -> OutdatedReport {
        match (&mut self.0, is_outdated) {
            (None, false) => OutdatedReport::None,
            (None, true) => {
                self.0 = Some(OpenSpan {
                    since: now,
                    counted_at: now,
                    logged_at: now,
                });
                OutdatedReport::Second {
                    logged: true,
                    lasts: Duration::ZERO,
                }
            }
            (Some(span), false) => {
                let lasted = now.since(span.since);
                self.0 = None;
                OutdatedReport::Ended { lasted }
            }
            (Some(span), true) if now.since(span.counted_at) < COUNT_PERIOD => OutdatedReport::None,
            (Some(span), true) => {
                span.counted_at = now;
                let logged = now.since(span.logged_at) >= LOG_PERIOD;
                if logged {
                    span.logged_at = now;
                }
                OutdatedReport::Second {
                    logged,
                    lasts: now.since(span.since),
                }
            }
        }
    }
}
