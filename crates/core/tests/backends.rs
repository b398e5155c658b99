//! Reports of a backend server, and which of them are current.

use std::time::Duration;

use chestnutlb_core::{
    BackendChange, BackendReport, BackendState, BackendTracker, ConnectAnswer, HostState,
    ReportTiming, SideHistory, TimePoint,
};

// Timing of a report.
const OLD_BACKEND: ReportTiming = ReportTiming {
    now: TimePoint(1_000),
    report_period: Some(Duration::from_millis(1_200)),
};

fn report(born_ms: u64, sequence: u64, state: BackendState) -> BackendReport {
    BackendReport {
        name: "catalogue-1".into(),
        born_ms,
        sequence,
        service: "catalogue".parse().unwrap(),
        datacenter: "honam-a".parse().unwrap(),
        address: "10.1.0.9:8080".parse().unwrap(),
        software: "v1".into(),
        slots: 3,
        state,
        cold_ms: 0,
    }
}

#[test]
fn late_report_of_earlier_epoch_is_ignored() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(100, 7, BackendState::Leaving), OLD_BACKEND);
    assert!(!backend.accepts_flows());
    let change = backend.record_report(report(200, 1, BackendState::Ready), OLD_BACKEND);
    assert_eq!(change, BackendChange::NewLife);
    let late = backend.record_report(report(100, 8, BackendState::Leaving), OLD_BACKEND);
    assert_eq!(late, BackendChange::Outdated);
    assert!(backend.accepts_flows());
    assert_eq!(
        backend.record_deregistration("catalogue-1", Some(100)),
        BackendChange::Outdated
    );
    assert!(backend.accepts_flows());
}

#[test]
fn overtaken_report_is_ignored() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(100, 2, BackendState::Leaving), OLD_BACKEND);
    let overtaken = backend.record_report(report(100, 1, BackendState::Ready), OLD_BACKEND);
    assert_eq!(overtaken, BackendChange::Outdated);
    assert!(!backend.accepts_flows());
}

#[test]
fn overtaken_report_of_the_state_in_force_is_acknowledged() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(100, 2, BackendState::Leaving), OLD_BACKEND);
    let overtaken = backend.record_report(report(100, 1, BackendState::Leaving), OLD_BACKEND);
    assert_eq!(overtaken, BackendChange::Same);
}

#[test]
fn repeated_deregistration_is_acknowledged_and_one_of_another_backend_is_not() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(100, 2, BackendState::Leaving), OLD_BACKEND);
    let deregister = |backend: &mut BackendTracker, name| backend.record_deregistration(name, None);
    assert_eq!(
        deregister(&mut backend, "catalogue-2"),
        BackendChange::Outdated
    );
    for expected in [BackendChange::Changed, BackendChange::Same] {
        assert_eq!(deregister(&mut backend, "catalogue-1"), expected);
    }
}

fn arrives_at(now_ms: u64) -> ReportTiming {
    ReportTiming {
        now: TimePoint(now_ms),
        ..OLD_BACKEND
    }
}

// Guards against a backend server that drains and gets flows until it ends: its reports were
// outdated for as long as it lived, by one report of a later epoch or with a high number.
#[test]
fn backend_that_goes_on_reporting_replaces_one_that_is_silent() {
    let later_epoch = report(200, 1, BackendState::Ready);
    let high_number = report(100, u64::MAX, BackendState::Ready);
    for other in [later_epoch, high_number] {
        let mut backend = BackendTracker::default();
        backend.record_report(report(100, 7, BackendState::Ready), arrives_at(0));
        backend.record_report(other, arrives_at(1_000));
        let mut changes = Vec::new();
        for (sequence, now_ms) in [(8, 1_200), (9, 2_400), (10, 3_600)] {
            let draining = report(100, sequence, BackendState::Leaving);
            changes.push(backend.record_report(draining, arrives_at(now_ms)));
        }
        assert_eq!(changes[..2], [BackendChange::Outdated; 2]);
        assert_ne!(changes[2], BackendChange::Outdated);
        assert!(!backend.accepts_flows());
        assert!(
            backend.observed_start().is_none(),
            "what happened to its flows meanwhile is not known"
        );
    }
}

#[test]
fn late_reports_replace_no_backend_that_goes_on_reporting() {
    let mut backend = BackendTracker::default();
    backend.record_report(report(200, 1, BackendState::Ready), arrives_at(0));
    for round in 1..20 {
        let late = report(100, round, BackendState::Leaving);
        let late = backend.record_report(late, arrives_at(1_200 * round - 100));
        assert_eq!(late, BackendChange::Outdated);
        let current = report(200, 1 + round, BackendState::Ready);
        backend.record_report(current, arrives_at(1_200 * round));
    }
    // Late reports that arrive together prove nothing either, nor does one that is repeated.
    for sequence in [20, 21, 22, 22, 22] {
        let late = report(100, sequence, BackendState::Leaving);
        let late = backend.record_report(late, arrives_at(100_000 + sequence));
        assert_eq!(late, BackendChange::Outdated);
    }
    assert!(backend.accepts_flows());
}

#[test]
fn deregistration_without_report_is_recorded() {
    let mut backend = BackendTracker::default();
    assert!(
        backend.accepts_flows(),
        "a backend server without a report is assumed to accept flows"
    );
    assert_eq!(
        backend.record_deregistration("catalogue-1", None),
        BackendChange::Changed
    );
    assert!(!backend.accepts_flows());
}

// Guards against resets of a living host's open flows (review/6, 2 and 9): its first report may
// have reached an earlier side process, an earlier epoch's report may be late, and clocks jump.
#[test]
fn reports_do_not_prove_that_the_backend_was_observed_from_its_start() {
    for (first, second) in [
        ((200, 1), (200, 2)),
        ((100, 7), (200, 1)),
        ((300, 3), (200, 4)),
    ] {
        let mut backend = BackendTracker::default();
        for (born_ms, sequence) in [first, second] {
            let report = report(born_ms, sequence, BackendState::Ready);
            backend.record_report(report, OLD_BACKEND);
            assert!(backend.observed_start().is_none(), "{first:?}, {second:?}");
        }
    }
}

#[test]
fn refused_connection_before_an_accepted_one_proves_that_the_backend_was_observed() {
    use ConnectAnswer::{Accepted, Refused, Unknown};
    let cases: [(&[ConnectAnswer], bool); 6] = [
        (&[Refused], false),
        (&[Accepted], false),
        (&[Accepted, Refused], false),
        (&[Unknown, Accepted], false),
        (&[Refused, Unknown, Refused, Accepted], true),
        (&[Accepted, Refused, Accepted, Unknown], true),
    ];
    for (answers, is_proved) in cases {
        let mut backend = BackendTracker::default();
        for answer in answers {
            backend.record_connect_answer(*answer);
        }
        assert_eq!(backend.observed_start().is_some(), is_proved, "{answers:?}");
    }
}

// Guards against FLOW breaches of a trial: a side process that was stopped and started again
// registered its host as gone, and the flows of the backend server, which lived on, were
// reset.
#[test]
fn host_of_stopping_side_process_is_gone_only_if_its_backend_has_deregistered() {
    let now = TimePoint(5_000);
    let mut backend = BackendTracker::default();
    assert_eq!(backend.host_state(false, now), HostState::Joining);
    assert_eq!(backend.host_state(true, now), HostState::Joining);
    backend.record_report(report(100, 7, BackendState::Ready), OLD_BACKEND);
    assert_eq!(backend.host_state(false, now), HostState::Serving);
    assert_eq!(backend.host_state(true, now), HostState::Leaving);
    backend.record_report(report(100, 8, BackendState::Leaving), OLD_BACKEND);
    assert_eq!(backend.host_state(false, now), HostState::Leaving);
    backend.record_deregistration("catalogue-1", Some(100));
    assert_eq!(backend.host_state(false, now), HostState::Gone);
    assert_eq!(backend.host_state(true, now), HostState::Gone);
}

// On the users' bench (dalbit-edge-large trouble-2), side processes of hosts that were leaving
// when power was lost started again without a backend server. Nothing told the trackers, and
// while they were down again no flow of the firm was found to be without an owner.
#[test]
fn backend_that_never_reports_is_absent_unless_it_has_flows() {
    let period = Duration::from_millis(1_200);
    let history = |uptime_ms: u64| SideHistory {
        uptime: Duration::from_millis(uptime_ms),
        has_flows: false,
        stopping: false,
    };
    let backend = BackendTracker::default();
    assert!(!backend.is_absent(history(2_999), period));
    assert!(backend.is_absent(history(3_000), period));
    let with_flows = SideHistory {
        has_flows: true,
        ..history(60_000)
    };
    assert!(!backend.is_absent(with_flows, period));
    // The platform stops a side process once its backend server has left. Late packets of flows
    // that had ended there look like flows.
    let stopping = |uptime_ms: u64| SideHistory {
        has_flows: true,
        stopping: true,
        ..history(uptime_ms)
    };
    assert!(!backend.is_absent(stopping(2_399), period));
    assert!(backend.is_absent(stopping(2_400), period));
    let mut reported = BackendTracker::default();
    reported.record_report(report(100, 7, BackendState::Leaving), OLD_BACKEND);
    assert!(!reported.is_absent(history(60_000), period));
}

// A side process that is stopped right after its start stays until then.
#[test]
fn presence_of_backend_is_known_from_its_report_or_after_two_periods() {
    let period = Duration::from_millis(1_200);
    let uptime = Duration::from_millis;
    let silent = BackendTracker::default();
    assert!(!silent.is_presence_known(uptime(2_399), period));
    assert!(silent.is_presence_known(uptime(2_400), period));
    let mut reported = BackendTracker::default();
    reported.record_report(report(100, 7, BackendState::Ready), OLD_BACKEND);
    assert!(reported.is_presence_known(uptime(1), period));
}
