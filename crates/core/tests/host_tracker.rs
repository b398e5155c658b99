//! Host tracking: the roster edits that a tracker proposes, and those it must not propose.

mod common;

use chestnutlb_core::control::MAX_LISTED_FLOW_AGE;
use chestnutlb_core::host_tracker::{
    GONE_AFTER, LAST_FLOW_DELAY, REGISTRATION_GRACE, SUSPECT_AFTER,
};
use chestnutlb_core::members::RANK_DELAY;
use chestnutlb_core::{
    HostRecord, HostRevision, HostState, HostTracker, Incarnation, RosterEdit, TimePoint,
};
use common::host;

const REGISTRATION_GRACE_MS: u64 = REGISTRATION_GRACE.as_millis() as u64;

fn describe(edits: &[RosterEdit]) -> Vec<String> {
    edits
        .iter()
        .map(|edit| match edit {
            RosterEdit::Put(record) => format!("put {} {}", record.name, record.state),
            RosterEdit::Remove(record) => format!("remove {}", record.name),
        })
        .collect()
}

// Ticks every 200 ms without a registration or keep-alive. Returns the edits of the last
// tick.
fn tick_in_silence(
    tracker: &mut HostTracker,
    roster: &[HostRecord],
    from: u64,
    to: u64,
) -> Vec<RosterEdit> {
    let mut edits = Vec::new();
    for at in (from..=to).step_by(200) {
        let current = |record: &HostRecord| {
            roster
                .iter()
                .find(|listed| listed.name == record.name)
                .cloned()
        };
        edits = tracker.edits(current, |_| GONE_AFTER, TimePoint(at));
    }
    edits
}

#[test]
fn host_is_added_and_after_silence_suspected_and_removed() {
    let mut tracker = HostTracker::default();
    let serving = host(1, HostState::Serving);
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    tracker.record_registration(serving.clone(), HostRevision(1), 0, TimePoint(100));
    let put = tick_in_silence(&mut tracker, &[], 200, 400);
    assert_eq!(describe(&put), ["put host-1 serving"]);
    let roster = [serving];
    assert!(tick_in_silence(&mut tracker, &roster, 600, 1_800).is_empty());
    let after = 100 + SUSPECT_AFTER.as_millis() as u64;
    let suspected = tick_in_silence(&mut tracker, &roster, 2_000, after + 200);
    assert_eq!(describe(&suspected), ["put host-1 suspect"]);
    let after = 100 + GONE_AFTER.as_millis() as u64;
    let removed = tick_in_silence(&mut tracker, &roster, 2_400, after + 200);
    assert_eq!(describe(&removed), ["remove host-1"]);
}

// An entry VM that has just started knows the possible owners of flows from the rosters only.
#[test]
fn silent_host_stays_listed_until_no_flow_of_it_can_live() {
    let flow_owner_gone_after = MAX_LISTED_FLOW_AGE + LAST_FLOW_DELAY;
    let gone_after = flow_owner_gone_after.as_millis() as u64;
    for state in [HostState::Serving, HostState::Leaving] {
        let mut tracker = HostTracker::default();
        let mut roster = vec![host(1, state)];
        tracker.edits(|_| None, |_| flow_owner_gone_after, TimePoint(0));
        tracker.record_registration(roster[0].clone(), HostRevision(1), 0, TimePoint(0));
        for at in (200..gone_after).step_by(200) {
            let current = |_: &HostRecord| roster.first().cloned();
            for edit in tracker.edits(current, |_| flow_owner_gone_after, TimePoint(at)) {
                match edit {
                    RosterEdit::Put(record) => roster = vec![record],
                    RosterEdit::Remove(record) => panic!("{record} removed after {at} ms"),
                }
            }
        }
        assert_eq!(roster[0].state, HostState::Suspect);
        let current = |_: &HostRecord| roster.first().cloned();
        let at = TimePoint(gone_after + 200);
        let removed = tracker.edits(current, |_| flow_owner_gone_after, at);
        assert_eq!(describe(&removed), ["remove host-1"]);
    }
}

#[test]
fn second_rank_proposes_edit_after_delay() {
    let mut tracker = HostTracker::default();
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    tracker.record_registration(
        host(1, HostState::Serving),
        HostRevision(1),
        1,
        TimePoint(0),
    );
    assert!(tick_in_silence(&mut tracker, &[], 200, 1_000).is_empty());
    let delayed = tick_in_silence(&mut tracker, &[], 1_200, 1_400);
    assert_eq!(describe(&delayed), ["put host-1 serving"]);
}

#[test]
fn tracker_resumed_after_pause_proposes_no_edits() {
    let mut tracker = HostTracker::default();
    let roster = [host(1, HostState::Serving)];
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    tracker.record_registration(roster[0].clone(), HostRevision(1), 0, TimePoint(0));
    // The process is paused for an hour.
    let resumed_at = 3_600_000;
    let edits = tick_in_silence(&mut tracker, &roster, resumed_at, resumed_at + 1_000);
    assert!(edits.is_empty(), "{edits:?}");
}

#[test]
fn isolated_tracker_proposes_no_edits() {
    let mut tracker = HostTracker::default();
    let roster: Vec<_> = (0..6).map(|n| host(n, HostState::Serving)).collect();
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    for record in &roster {
        tracker.record_registration(record.clone(), HostRevision(1), 0, TimePoint(0));
    }
    let edits = tick_in_silence(&mut tracker, &roster, 200, 60_000);
    assert!(edits.is_empty(), "{edits:?}");
}

#[test]
fn newer_incarnation_in_roster_is_not_overwritten() {
    let mut tracker = HostTracker::default();
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    let old = host(1, HostState::Serving);
    tracker.record_registration(old.clone(), HostRevision(1), 0, TimePoint(0));
    let mut newer = old.clone();
    newer.incarnation.0 += 1;
    let edits = tick_in_silence(&mut tracker, &[newer.clone()], 200, 1_000);
    assert!(edits.is_empty(), "{edits:?}");
    // A late registration of the old incarnation has no effect either.
    tracker.record_registration(old, HostRevision(1), 0, TimePoint(1_000));
    assert!(tick_in_silence(&mut tracker, &[newer], 1_200, 1_400).is_empty());
}

#[test]
fn gone_host_is_removed_immediately() {
    let mut tracker = HostTracker::default();
    let roster = [host(1, HostState::Leaving)];
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    tracker.record_registration(host(1, HostState::Gone), HostRevision(1), 0, TimePoint(0));
    assert_eq!(
        describe(&tick_in_silence(&mut tracker, &roster, 200, 200)),
        ["remove host-1"]
    );
}

#[test]
fn keep_alive_counts_only_for_registered_incarnation_and_revision() {
    let mut tracker = HostTracker::default();
    let record = host(1, HostState::Serving);
    let (name, incarnation) = (record.name.clone(), record.incarnation);
    let revision = HostRevision(1);
    assert!(
        tracker
            .record_keep_alive(&name, incarnation, revision, TimePoint(0))
            .is_none()
    );
    tracker.record_registration(record, revision, 0, TimePoint(0));
    assert!(
        tracker
            .record_keep_alive(&name, incarnation, revision, TimePoint(1))
            .is_some()
    );
    let changed = tracker.record_keep_alive(&name, incarnation, HostRevision(2), TimePoint(1));
    assert!(changed.is_none());
    let restarted = Incarnation(incarnation.0 + 1);
    assert!(
        tracker
            .record_keep_alive(&name, restarted, revision, TimePoint(1))
            .is_none()
    );
}

#[test]
fn new_tracker_suspects_host_only_after_registration_grace() {
    let mut tracker = HostTracker::default();
    let serving = host(1, HostState::Serving);
    let not_tracker_rank = 2;
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    tracker.record_registration(
        serving.clone(),
        HostRevision(1),
        not_tracker_rank,
        TimePoint(100),
    );
    let roster = [serving];
    // A host stops registering at an entry VM that is not its tracker, so its silence does
    // not count there.
    let edits = tick_in_silence(&mut tracker, &roster, 200, 5_000);
    assert_eq!(describe(&edits), [""; 0]);
    tracker.reassign(|_| Some(0), TimePoint(5_000));
    let edits = tick_in_silence(
        &mut tracker,
        &roster,
        5_200,
        5_000 + REGISTRATION_GRACE_MS - 400,
    );
    assert_eq!(describe(&edits), [""; 0]);
    let suspect_at = 5_000 + REGISTRATION_GRACE_MS + 200;
    let edits = tick_in_silence(&mut tracker, &roster, suspect_at - 400, suspect_at);
    assert_eq!(describe(&edits), ["put host-1 suspect"]);
}

#[test]
fn lower_rank_adds_host_in_time_though_the_roster_changes_often() {
    const RANK: u32 = 2;
    const KEEP_ALIVE_MS: u64 = 500;
    let mut tracker = HostTracker::default();
    tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(0));
    let record = host(1, HostState::Warming);
    tracker.record_registration(record.clone(), HostRevision(1), RANK, TimePoint(0));
    let due = RANK_DELAY.as_millis() as u64 * u64::from(RANK);
    let mut proposed_at = None;
    for at in (200..=due + 1_000).step_by(100) {
        // A version of the roster that does not list the host.
        if at % 700 == 0 {
            tracker.record_roster(record.datacenter.as_str(), |_| None);
        }
        if at % KEEP_ALIVE_MS == 0 {
            let revision = HostRevision(1);
            tracker.record_keep_alive(&record.name, record.incarnation, revision, TimePoint(at));
        }
        if at == due - 100 {
            let serving = host(1, HostState::Serving);
            tracker.record_registration(serving, HostRevision(1), RANK, TimePoint(at));
        }
        let edits = tracker.edits(|_| None, |_| GONE_AFTER, TimePoint(at));
        if proposed_at.is_none() && !edits.is_empty() {
            assert_eq!(describe(&edits), ["put host-1 serving"]);
            proposed_at = Some(at);
        }
    }
    assert!(
        proposed_at.is_some_and(|at| at <= due + KEEP_ALIVE_MS),
        "{proposed_at:?}"
    );
}
