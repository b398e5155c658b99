//! What a backend server says of itself, and which of it counts.
//!
//! A report may arrive late, after its sender was replaced at the same
//! address. The start of the backend server tells its lives apart, a count
//! orders the reports of one life; an older report changes nothing.

use std::time::Duration;

use compact_str::CompactString;

use crate::units::TimePoint;

/// A backend server whose first report here has at most this number has just
/// started: it counts from one, and an early report may have been lost.
const FIRST_SEQUENCE_LIMIT: u64 = 2;

/// A backend server that started by at most this much before its side process was
/// never served by an earlier one: processes start again half a second after their
/// end at the soonest.
pub const START_TIME_TOLERANCE: Duration = Duration::from_millis(200);

/// What a backend server wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// New flows are welcome.
    Ready,
    /// It is about to leave and wants no new flows.
    Leaving,
}

/// One report of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Its name.
    pub name: CompactString,
    /// Start of this life, in milliseconds since the Unix epoch; zero if it
    /// does not tell.
    pub born_ms: u64,
    /// Count of its reports in this life.
    pub sequence: u64,
    /// The service that it runs.
    pub service: CompactString,
    /// Requests that it runs at once.
    pub slots: u16,
    /// What it wants.
    pub state: BackendState,
    /// How much longer it is slow, in milliseconds.
    pub cold_ms: u64,
}

/// When a report arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTiming {
    /// When it arrived.
    pub now: TimePoint,
    /// How old the backend server was then by the time of day; none if it said no
    /// start, or one that is yet to come.
    pub age: Option<Duration>,
    /// How long this process had been up.
    pub uptime: Duration,
}

impl ReportTiming {
    fn started_along(&self) -> bool {
        self.age
            .is_some_and(|age| age <= self.uptime + START_TIME_TOLERANCE)
    }
}

/// What a report or a farewell changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendChange {
    /// Nothing that matters.
    Same,
    /// Another life began: flows of the earlier one are gone.
    NewLife,
    /// It wants something else than before.
    Changed,
    /// It is older than what is known.
    Outdated,
}

/// The newest that is known of the backend server beside a side process.
#[derive(Debug, Clone, Default)]
pub struct BackendTracker {
    current: Option<BackendReport>,
    heard: Option<TimePoint>,
    first_life_ms: Option<u64>,
    first_sequence: u64,
    // Whether it started with this process or later, by the first report's age.
    started_along: bool,
    gone: bool,
}

impl BackendTracker {
    /// The newest report.
    pub fn current(&self) -> Option<&BackendReport> {
        self.current.as_ref()
    }

    /// When it last reported.
    pub fn heard(&self) -> Option<TimePoint> {
        self.heard
    }

    /// Whether it may get new flows. One that has not reported since this
    /// process started may: it was known before.
    pub fn accepts_flows(&self) -> bool {
        !self.gone
            && self
                .current
                .as_ref()
                .is_none_or(|report| report.state == BackendState::Ready)
    }

    /// Whether it has left.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether all of its flows began after this process did: it had just
    /// started when it was first heard, or it is a later life.
    pub fn is_observed_from_start(&self) -> bool {
        match (&self.current, self.first_life_ms) {
            (Some(report), Some(first)) => {
                report.born_ms > first
                    || self.first_sequence <= FIRST_SEQUENCE_LIMIT
                    || self.started_along
            }
            _ => false,
        }
    }

    /// Whether the backend server is still slow from its start.
    pub fn is_cold(&self, now: TimePoint) -> bool {
        match (&self.current, self.heard) {
            (Some(report), Some(heard)) => (now.since(heard).as_millis() as u64) < report.cold_ms,
            _ => false,
        }
    }

    /// Notes a report.
    pub fn record_report(&mut self, report: BackendReport, timing: ReportTiming) -> BackendChange {
        let change = match &self.current {
            None => BackendChange::Changed,
            Some(known) if is_outdated(known, &report) => return BackendChange::Outdated,
            Some(known) if is_new_life(known, &report) => BackendChange::NewLife,
            Some(known) if known.state != report.state || self.gone => BackendChange::Changed,
            Some(_) => BackendChange::Same,
        };
        self.gone = false;
        if self.first_life_ms.is_none() {
            self.first_life_ms = Some(report.born_ms);
            self.first_sequence = report.sequence;
            self.started_along = timing.started_along();
        }
        self.heard = Some(timing.now);
        self.current = Some(report);
        change
    }

    /// Notes that the backend server of this name has left. A farewell of an
    /// earlier life changes nothing.
    pub fn leave(&mut self, name: &str, born_ms: Option<u64>) -> BackendChange {
        // Without a report since this process started it can be no other.
        let known = self.current.as_ref().is_none_or(|report| {
            report.name == name && born_ms.is_none_or(|born| born >= report.born_ms)
        });
        if !known || self.gone {
            return BackendChange::Outdated;
        }
        self.gone = true;
        BackendChange::Changed
    }
}

fn is_new_life(known: &BackendReport, report: &BackendReport) -> bool {
    known.name != report.name || known.born_ms != report.born_ms
}

fn is_outdated(known: &BackendReport, report: &BackendReport) -> bool {
    if report.born_ms != known.born_ms {
        return report.born_ms < known.born_ms;
    }
    known.name == report.name && report.sequence <= known.sequence
}
