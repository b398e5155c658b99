//! Which reports of a backend server count.

use std::time::Duration;

use chestnutlb_core::{
    BackendChange, BackendReport, BackendState, BackendTracker, ReportTiming, TimePoint,
};

// Of a backend server that is much older than its side process.
const LATE: ReportTiming = ReportTiming {
    now: TimePoint(1_000),
    age: Some(Duration::from_secs(100)),
    uptime: Duration::from_secs(1),
};

fn report(born_ms: u64, sequence: u64, state: BackendState) -> BackendReport {
    BackendReport {
        name: "catalogue-1".into(),
        born_ms,
        sequence,
        service: "catalogue".into(),
        slots: 3,
        state,
        cold_ms: 0,
    }
}

#[test]
fn a_late_report_of_an_earlier_life_changes_nothing() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(100, 7, BackendState::Leaving), LATE);
    assert!(!backend.accepts_flows());
    let change = backend.record_report(report(200, 1, BackendState::Ready), LATE);
    assert_eq!(change, BackendChange::NewLife);
    let late = backend.record_report(report(100, 8, BackendState::Leaving), LATE);
    assert_eq!(late, BackendChange::Outdated);
    assert!(backend.accepts_flows());
    assert_eq!(
        backend.record_deregistration("catalogue-1", Some(100)),
        BackendChange::Outdated
    );
    assert!(backend.accepts_flows());
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(100, 2, BackendState::Leaving), LATE);
    let overtaken = backend.record_report(report(100, 1, BackendState::Ready), LATE);
    assert_eq!(overtaken, BackendChange::Outdated);
    assert!(!backend.accepts_flows());
}

#[test]
fn a_farewell_without_a_report_counts() {
    let mut backend = BackendTracker::default();
    assert!(backend.accepts_flows(), "known before this process started");
    assert_eq!(
        backend.record_deregistration("catalogue-1", None),
        BackendChange::Changed
    );
    assert!(!backend.accepts_flows());
}

#[test]
fn a_backend_that_was_there_before_is_known_only_from_its_next_life_on() {
    let mut backend = BackendTracker::default();
    assert!(!backend.is_observed_from_start());
    backend.record_report(report(100, 9, BackendState::Ready), LATE);
    assert!(!backend.is_observed_from_start());
    backend.record_report(report(200, 5, BackendState::Ready), LATE);
    assert!(backend.is_observed_from_start());
    let mut fresh = BackendTracker::default();
    fresh.record_report(report(100, 1, BackendState::Ready), LATE);
    assert!(fresh.is_observed_from_start());
}

#[test]
fn a_backend_that_started_along_with_its_side_process_is_known_from_the_start() {
    let uptime = Duration::from_millis(30);
    let known_at = |age: Option<u64>| {
        let mut backend = BackendTracker::default();
        let timing = ReportTiming {
            age: age.map(Duration::from_millis),
            uptime,
            ..LATE
        };
        // It counts the calls that nobody answered too.
        backend.record_report(report(100, 5, BackendState::Ready), timing);
        backend.is_observed_from_start()
    };
    assert!(known_at(Some(0)));
    assert!(known_at(Some(100)));
    // An earlier process may have served it: the next one starts half a second
    // after its end.
    assert!(!known_at(Some(500)));
    assert!(!known_at(None), "the clock went back since its start");
}
