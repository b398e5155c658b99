//! The backend server of a side process, and which of its reports are current.
//!
//! A report may arrive late, after its sender was replaced at the same address. The start
//! time of the backend server tells its epochs apart, and a sequence number orders the
//! reports of one epoch; an older report changes nothing and is not acknowledged. A sender that
//! goes on with older reports while the current one is silent is the one that runs: the clock
//! was set back before its start, or the current report was not of a backend server.

use std::time::Duration;

use compact_str::CompactString;

use crate::backend_report::{BackendReport, BackendState};
use crate::chart::HostState;
use crate::observed_start::{ConnectAnswer, ObservedStart, StartObserver};
use crate::units::TimePoint;

/// Time after the start of a side process without a report and without a flow after which no
/// backend server runs beside it, in tenths of the report period: two reports are missing.
const ABSENT_AFTER_TENTHS: u32 = 25;

/// The same for a side process that is being stopped, with or without flows: it is stopped once
/// its backend server has left, or while that one lives and reports.
const ABSENT_AT_STOP_TENTHS: u32 = 20;

/// Time without a current report, in tenths of the report period, in which a sender of older
/// reports proves that it is the backend server: two reports are missing.
const REPLACED_AFTER_TENTHS: u32 = 20;

/// Report period of a backend server of which it is not known.
const DEFAULT_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Times at the arrival of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTiming {
    /// Arrival of the report.
    pub now: TimePoint,
    /// Interval between two reports of the backend server; `None` if it is not known.
    pub report_period: Option<Duration>,
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
    /// It is older than the current report or about a backend server that is not the current
    /// one, and must not be acknowledged: it has no effect.
    Outdated,
}

// Older reports than the current one, all of one sender, since the last current report.
#[derive(Debug, Clone)]
struct OlderReports {
    name: CompactString,
    born_ms: u64,
    // Sequence number of the last one.
    sequence: u64,
    // Arrival of the first one.
    since: TimePoint,
}

impl OlderReports {
    fn first(report: &BackendReport, now: TimePoint) -> Self {
        Self {
            name: report.name.clone(),
            born_ms: report.born_ms,
            sequence: report.sequence,
            since: now,
        }
    }

    // Returns whether a report continues these.
    fn is_continued_by(&self, report: &BackendReport) -> bool {
        self.name == report.name
            && self.born_ms == report.born_ms
            && self.sequence < report.sequence
    }
}

/// Tracks the backend server of a side process by its newest report.
#[derive(Debug, Clone, Default)]
pub struct BackendTracker {
    current: Option<BackendReport>,
    // Arrival of `current`.
    last_seen: Option<TimePoint>,
    start: StartObserver,
    older_reports: Option<OlderReports>,
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

    /// Records the answer of the backend server's address to a connection of this process.
    pub fn record_connect_answer(&mut self, answer: ConnectAnswer) {
        self.start.record_answer(answer);
    }

    /// Returns what the answers to connections tell.
    pub fn start_observer(&self) -> StartObserver {
        self.start
    }

    /// Returns the proof that all of its flows began after the start of this process, if there
    /// is one.
    pub fn observed_start(&self) -> Option<ObservedStart> {
        self.start.proof()
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
        let is_older = self
            .current
            .as_ref()
            .is_some_and(|current| is_outdated(current, &report));
        if is_older && !self.replaces_current(&report, timing) {
            return self.older_report_change(&report);
        }
        let change = match &self.current {
            None => BackendChange::Changed,
            Some(current) if is_new_epoch(current, &report) => BackendChange::NewLife,
            Some(current) if current.state != report.state || self.gone => BackendChange::Changed,
            Some(_) => BackendChange::Same,
        };
        self.gone = false;
        self.older_reports = None;
        self.last_seen = Some(timing.now);
        self.current = Some(report);
        change
    }

    // Records an older report than the current one. Returns whether its sender is the backend
    // server: it goes on reporting, and no current report has arrived for two periods.
    fn replaces_current(&mut self, report: &BackendReport, timing: ReportTiming) -> bool {
        match &mut self.older_reports {
            Some(older) if older.is_continued_by(report) => {
                older.sequence = report.sequence;
                let period = timing.report_period.unwrap_or(DEFAULT_REPORT_PERIOD);
                timing.now.since(older.since) >= period * REPLACED_AFTER_TENTHS / 10
            }
            other => {
                *other = Some(OlderReports::first(report, timing.now));
                false
            }
        }
    }

    // Returns the effect of an older report: none, or the one that it had when a later report of
    // the same epoch and state arrived.
    fn older_report_change(&self, report: &BackendReport) -> BackendChange {
        let is_in_force = self.current.as_ref().is_some_and(|current| {
            !self.gone && !is_new_epoch(current, report) && current.state == report.state
        });
        if is_in_force {
            BackendChange::Same
        } else {
            BackendChange::Outdated
        }
    }

    /// Records the deregistration of the backend server with this name. A deregistration
    /// of an earlier epoch changes nothing.
    pub fn record_deregistration(&mut self, name: &str, born_ms: Option<u64>) -> BackendChange {
        // Without a report since the start of this process, there is no newer epoch to
        // confuse it with.
        let is_current = self.current.as_ref().is_none_or(|report| {
            report.name == name && born_ms.is_none_or(|born| born >= report.born_ms)
        });
        if !is_current {
            BackendChange::Outdated
        } else if std::mem::replace(&mut self.gone, true) {
            BackendChange::Same
        } else {
            BackendChange::Changed
        }
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
