//! Which reports of a backend server count.

use chestnutlb_core::{BackendLife, BackendNews, BackendReport, BackendState, TimePoint};

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
    let now = TimePoint(1_000);
    let mut life = BackendLife::default();
    life.hear(report(100, 7, BackendState::Leaving), now);
    assert!(!life.takes_flows());
    let news = life.hear(report(200, 1, BackendState::Ready), now);
    assert_eq!(news, BackendNews::NewLife);
    let late = life.hear(report(100, 8, BackendState::Leaving), now);
    assert_eq!(late, BackendNews::Outdated);
    assert!(life.takes_flows());
    assert_eq!(life.leave("catalogue-1", Some(100)), BackendNews::Outdated);
    assert!(life.takes_flows());
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let now = TimePoint(1_000);
    let mut life = BackendLife::default();
    life.hear(report(100, 2, BackendState::Leaving), now);
    let overtaken = life.hear(report(100, 1, BackendState::Ready), now);
    assert_eq!(overtaken, BackendNews::Outdated);
    assert!(!life.takes_flows());
}

#[test]
fn a_farewell_without_a_report_counts() {
    let mut life = BackendLife::default();
    assert!(life.takes_flows(), "known before this process started");
    assert_eq!(life.leave("catalogue-1", None), BackendNews::Changed);
    assert!(!life.takes_flows());
}

#[test]
fn a_backend_that_was_there_before_is_known_only_from_its_next_life_on() {
    let now = TimePoint(1_000);
    let mut life = BackendLife::default();
    assert!(!life.is_known_from_start());
    life.hear(report(100, 9, BackendState::Ready), now);
    assert!(!life.is_known_from_start());
    life.hear(report(200, 5, BackendState::Ready), now);
    assert!(life.is_known_from_start());
    let mut fresh = BackendLife::default();
    fresh.hear(report(100, 1, BackendState::Ready), now);
    assert!(fresh.is_known_from_start());
}
