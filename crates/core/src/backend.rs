//! The backend server of a side process, and which of its reports are current.
//!
//! A report may arrive late, after its sender was replaced at the same address. The start
//! time of the backend server tells its epochs apart, and a sequence number orders the
//! reports of one epoch; an older report changes nothing.

use std::time::Duration;

use crate::backend_report::{BackendReport, BackendState};
use crate::chart::HostState;
use crate::units::TimePoint;

/// A backend server whose first report here has at most this sequence number has just
/// started: sequence numbers begin at one, and an early report may have been lost.
const FIRST_SEQUENCE_LIMIT: u64 = 2;

/// A backend server that started at most this much before its side process was never
/// served by an earlier side process: processes restart half a second after their end at
/// the earliest.
pub const START_TIME_TOLERANCE: Duration = Duration::from_millis(200);

/// Time after the start of a side process without a report and without a flow after which no
/// backend server runs beside it, in tenths of the report period: two reports are missing.
const ABSENT_AFTER_TENTHS: u32 = 25;

/// The same for a side process that is being stopped, with or without flows: it is stopped once
/// its backend server has left, or while that one lives and reports.
const ABSENT_AT_STOP_TENTHS: u32 = 20;

/// Times at the arrival of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTiming {
    /// Arrival of the report.
    pub now: TimePoint,
    /// Age of the backend server at that time by the wall clock; `None` if it reports a start in
    /// the future.
    pub age: Option<Duration>,
    /// Time since the start of this process.
    pub uptime: Duration,
}

impl ReportTiming {
    fn started_with_process(&self) -> bool {
        self.age
            .is_some_and(|age| age <= self.uptime + START_TIME_TOLERANCE)
    }
}

/// What a side process has seen since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SideHistory {
    /// Time since the start.
    pub uptime: Duration,
    /// Whether it tracks a flow of the backend server.
    pub has_flows: bool,
    /// Whether it is being stopped.
    pub stopping: bool,
}

/// Effect of a report or a deregistration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendChange {
    /// Nothing changed.
    Same,
    /// A new epoch began: flows of the earlier one are gone.
    NewLife,
    /// The state changed, including the first report, a deregistration and a return after it.
    Changed,
    /// It is older than the current report, or about a backend server that is not the current
    /// one or has already deregistered.
    Outdated,
}

/// Tracks the backend server of a side process by its newest report.
#[derive(Debug, Clone, Default)]
pub struct BackendTracker {
    current: Option<BackendReport>,
    // Arrival of `current`.
    last_seen: Option<TimePoint>,
    first_born_ms: Option<u64>,
    first_sequence: u64,
    // Whether it started with this process or later, by its age at the first report.
    started_with_process: bool,
    gone: bool,
}

impl BackendTracker {
    /// Returns the newest report.
    pub fn current(&self) -> Option<&BackendReport> {
        self.current.as_ref()
    }

    /// Returns the arrival of the newest report.
    pub fn last_seen(&self) -> Option<TimePoint> {
        self.last_seen
    }

    /// Returns whether the backend server accepts new flows. Before the first report to this
    /// process it is assumed to, since it may have reported to an earlier process.
    pub fn accepts_flows(&self) -> bool {
        !self.gone
            && self
                .current
                .as_ref()
                .is_none_or(|report| report.state == BackendState::Ready)
    }

    /// Returns whether the backend server has deregistered.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Returns whether no backend server runs beside this process. After a loss of power, the
    /// side process of a backend server that was leaving starts again, and its backend server
    /// does not. `report_period` is the interval between two reports.
    pub fn is_absent(&self, history: SideHistory, report_period: Duration) -> bool {
        let has_been_silent = |tenths| history.uptime >= report_period * tenths / 10;
        self.current.is_none()
            && if history.stopping {
                has_been_silent(ABSENT_AT_STOP_TENTHS)
            } else {
                !history.has_flows && has_been_silent(ABSENT_AFTER_TENTHS)
            }
    }

    /// Returns whether this process can tell by now, `uptime` after its start, whether a backend
    /// server runs beside it.
    pub fn is_presence_known(&self, uptime: Duration, report_period: Duration) -> bool {
        let has_reported = self.current.is_some() || self.gone;
        has_reported || uptime >= report_period * ABSENT_AT_STOP_TENTHS / 10
    }

    /// Returns whether all of its flows began after the start of this process: the
    /// backend server had just started at its first report, or is in a later epoch.
    pub fn is_observed_from_start(&self) -> bool {
        match (&self.current, self.first_born_ms) {
            (Some(report), Some(first)) => {
                report.born_ms > first
                    || self.first_sequence <= FIRST_SEQUENCE_LIMIT
                    || self.started_with_process
            }
            _ => false,
        }
    }

    /// Returns whether the backend server is still slow after its start.
    pub fn is_cold(&self, now: TimePoint) -> bool {
        match (&self.current, self.last_seen) {
            (Some(report), Some(last_seen)) => {
                (now.since(last_seen).as_millis() as u64) < report.cold_ms
            }
            _ => false,
        }
    }

    /// Returns the state of the host. `stopping` states whether its side process is about to
    /// end: the backend server lives on with its flows, so the host is not gone, and no entry
    /// VM may take its flows for flows without an owner until the next side process replies.
    pub fn host_state(&self, stopping: bool, now: TimePoint) -> HostState {
        if self.gone {
            HostState::Gone
        } else if self.current.is_none() {
            HostState::Joining
        } else if stopping || !self.accepts_flows() {
            HostState::Leaving
        } else if self.is_cold(now) {
            HostState::Warming
        } else {
            HostState::Serving
        }
    }

    /// Records a report.
    pub fn record_report(&mut self, report: BackendReport, timing: ReportTiming) -> BackendChange {
        let change = match &self.current {
            None => BackendChange::Changed,
            Some(current) if is_outdated(current, &report) => return BackendChange::Outdated,
            Some(current) if is_new_epoch(current, &report) => BackendChange::NewLife,
            Some(current) if current.state != report.state || self.gone => BackendChange::Changed,
            Some(_) => BackendChange::Same,
        };
        self.gone = false;
        if self.first_born_ms.is_none() {
            self.first_born_ms = Some(report.born_ms);
            self.first_sequence = report.sequence;
            self.started_with_process = timing.started_with_process();
        }
        self.last_seen = Some(timing.now);
        self.current = Some(report);
        change
    }

    /// Records the deregistration of the backend server with this name. A deregistration
    /// of an earlier epoch changes nothing.
    pub fn record_deregistration(&mut self, name: &str, born_ms: Option<u64>) -> BackendChange {
        // Without a report since the start of this process, there is no newer epoch to
        // confuse it with.
        let is_current = self.current.as_ref().is_none_or(|report| {
            report.name == name && born_ms.is_none_or(|born| born >= report.born_ms)
        });
        if !is_current || self.gone {
            return BackendChange::Outdated;
        }
        self.gone = true;
        BackendChange::Changed
    }
}

fn is_new_epoch(current: &BackendReport, report: &BackendReport) -> bool {
    current.name != report.name || current.born_ms != report.born_ms
}

fn is_outdated(current: &BackendReport, report: &BackendReport) -> bool {
    if report.born_ms != current.born_ms {
        return report.born_ms < current.born_ms;
    }
    current.name == report.name && report.sequence <= current.sequence
}
