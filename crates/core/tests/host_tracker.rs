//! Keepers: what they write into the roster, and what they must not.

mod common;

use chestnutlb_core::host_tracker::{GONE_AFTER, REGISTRATION_GRACE, SUSPECT_AFTER};
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

// Ticks every 200 ms without hearing anything.
fn silence(
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
                .find(|known| known.name == record.name)
                .cloned()
        };
        edits = tracker.edits(current, TimePoint(at));
    }
    edits
}

#[test]
fn a_host_is_put_suspected_and_removed() {
    let mut tracker = HostTracker::default();
    let serving = host(1, HostState::Serving);
    tracker.edits(|_| None, TimePoint(0));
    tracker.record_registration(serving.clone(), HostRevision(1), 0, TimePoint(100));
    let put = silence(&mut tracker, &[], 200, 400);
    assert_eq!(describe(&put), ["put host-1 serving"]);
    let roster = [serving];
    assert!(silence(&mut tracker, &roster, 600, 1_800).is_empty());
    let after = 100 + SUSPECT_AFTER.as_millis() as u64;
    let suspected = silence(&mut tracker, &roster, 2_000, after + 200);
    assert_eq!(describe(&suspected), ["put host-1 suspect"]);
    let after = 100 + GONE_AFTER.as_millis() as u64;
    let removed = silence(&mut tracker, &roster, 2_400, after + 200);
    assert_eq!(describe(&removed), ["remove host-1"]);
}

#[test]
fn the_second_rank_waits_for_the_first() {
    let mut tracker = HostTracker::default();
    tracker.edits(|_| None, TimePoint(0));
    tracker.record_registration(
        host(1, HostState::Serving),
        HostRevision(1),
        1,
        TimePoint(0),
    );
    assert!(silence(&mut tracker, &[], 200, 1_000).is_empty());
    let late = silence(&mut tracker, &[], 1_200, 1_400);
    assert_eq!(describe(&late), ["put host-1 serving"]);
}

#[test]
fn a_paused_keeper_blames_itself() {
    let mut tracker = HostTracker::default();
    let roster = [host(1, HostState::Serving)];
    tracker.edits(|_| None, TimePoint(0));
    tracker.record_registration(roster[0].clone(), HostRevision(1), 0, TimePoint(0));
    // It sleeps for an hour and wakes up.
    let woken = 3_600_000;
    let edits = silence(&mut tracker, &roster, woken, woken + 1_000);
    assert!(edits.is_empty(), "{edits:?}");
}

#[test]
fn a_keeper_that_hears_nobody_takes_itself_for_cut_off() {
    let mut tracker = HostTracker::default();
    let roster: Vec<_> = (0..6).map(|n| host(n, HostState::Serving)).collect();
    tracker.edits(|_| None, TimePoint(0));
    for record in &roster {
        tracker.record_registration(record.clone(), HostRevision(1), 0, TimePoint(0));
    }
    let edits = silence(&mut tracker, &roster, 200, 60_000);
    assert!(edits.is_empty(), "{edits:?}");
}

#[test]
fn a_later_start_in_the_roster_is_not_undone() {
    let mut tracker = HostTracker::default();
    tracker.edits(|_| None, TimePoint(0));
    let old = host(1, HostState::Serving);
    tracker.record_registration(old.clone(), HostRevision(1), 0, TimePoint(0));
    let mut newer = old.clone();
    newer.incarnation.0 += 1;
    let edits = silence(&mut tracker, &[newer.clone()], 200, 1_000);
    assert!(edits.is_empty(), "{edits:?}");
    // The old one's late announcement does not bring it back either.
    tracker.record_registration(old, HostRevision(1), 0, TimePoint(1_000));
    assert!(silence(&mut tracker, &[newer], 1_200, 1_400).is_empty());
}

#[test]
fn a_host_that_ended_is_removed_at_once() {
    let mut tracker = HostTracker::default();
    let roster = [host(1, HostState::Leaving)];
    tracker.edits(|_| None, TimePoint(0));
    tracker.record_registration(host(1, HostState::Gone), HostRevision(1), 0, TimePoint(0));
    assert_eq!(
        describe(&silence(&mut tracker, &roster, 200, 200)),
        ["remove host-1"]
    );
}

#[test]
fn a_short_announcement_counts_only_for_the_record_that_is_known() {
    let mut tracker = HostTracker::default();
    let record = host(1, HostState::Serving);
    let (name, start) = (record.name.clone(), record.incarnation);
    let one = HostRevision(1);
    assert!(
        tracker
            .record_keep_alive(&name, start, one, TimePoint(0))
            .is_none()
    );
    tracker.record_registration(record, one, 0, TimePoint(0));
    assert!(
        tracker
            .record_keep_alive(&name, start, one, TimePoint(1))
            .is_some()
    );
    let changed = tracker.record_keep_alive(&name, start, HostRevision(2), TimePoint(1));
    assert!(changed.is_none());
    let restarted = Incarnation(start.0 + 1);
    assert!(
        tracker
            .record_keep_alive(&name, restarted, one, TimePoint(1))
            .is_none()
    );
}

#[test]
fn a_listener_that_becomes_a_keeper_gives_the_host_time_to_learn_of_it() {
    let mut tracker = HostTracker::default();
    let serving = host(1, HostState::Serving);
    let listener = 2;
    tracker.edits(|_| None, TimePoint(0));
    tracker.record_registration(serving.clone(), HostRevision(1), listener, TimePoint(100));
    let roster = [serving];
    // It no longer announces itself here, which is no news of its own.
    let edits = silence(&mut tracker, &roster, 200, 5_000);
    assert_eq!(describe(&edits), [""; 0]);
    tracker.reassign(|_| Some(0), TimePoint(5_000));
    let edits = silence(
        &mut tracker,
        &roster,
        5_200,
        5_000 + REGISTRATION_GRACE_MS - 400,
    );
    assert_eq!(describe(&edits), [""; 0]);
    let silent = 5_000 + REGISTRATION_GRACE_MS + 200;
    let edits = silence(&mut tracker, &roster, silent - 400, silent);
    assert_eq!(describe(&edits), ["put host-1 suspect"]);
}
