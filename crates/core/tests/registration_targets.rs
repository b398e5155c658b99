//! Registration targets of a host, and when its full registrations are due.

mod common;

use std::time::Duration;

use chestnutlb_core::members::{FULL_MESH_FLEET, MemberRing};
use chestnutlb_core::opening_rules::OpeningRules;
use chestnutlb_core::registration_targets::{
    FULL_REGISTRATION_PERIOD, MIN_FULL_REGISTRATION_INTERVAL, TARGET_LIMIT, TARGET_MEMORY,
};
use chestnutlb_core::{
    EntryRecord, Incarnation, RegistrationReply, RegistrationTargets, TimePoint,
};

use common::entry;

const MS: Duration = Duration::from_millis(1);
const START: TimePoint = TimePoint(1_000_000);

fn entries(numbers: impl IntoIterator<Item = usize>) -> Vec<EntryRecord> {
    numbers
        .into_iter()
        .map(|number| entry(number, "honam-1"))
        .collect()
}

fn naming(targets: &[EntryRecord]) -> RegistrationReply {
    RegistrationReply {
        targets: targets.to_vec(),
        slice_hash: 1,
        fresh: true,
        resend: false,
        opening: OpeningRules::default(),
    }
}

fn request() -> RegistrationReply {
    RegistrationReply {
        resend: true,
        opening: OpeningRules::default(),
        ..naming(&[])
    }
}

// On the users' deployment of 59 entry VMs, hosts went from eight targets to two when machines
// were added in the middle of a day.
#[test]
fn number_of_targets_falls_by_one_at_a_time_as_the_fleet_grows() {
    let targets_in_fleet_of = |count: usize| {
        let ring = MemberRing::new(entries(0..count));
        let host = "host-1".parse().unwrap();
        ring.registration_targets(&host, &ring).len()
    };
    let counts: Vec<usize> = (FULL_MESH_FLEET + 1..=600)
        .map(targets_in_fleet_of)
        .collect();
    assert!(counts.is_sorted_by(|count, next| *next == *count || *next + 1 == *count));
    let at = |count: usize| counts[count - FULL_MESH_FLEET - 1];
    assert_eq!([at(13), at(64), at(69), at(128), at(600)], [8, 8, 7, 4, 2]);
}

// Returns targets after a full registration at START whose replies named these.
fn registered_with(named: &[EntryRecord]) -> RegistrationTargets {
    let mut targets = RegistrationTargets::default();
    targets.record_reply(&naming(named), START);
    targets.record_full_registration(START);
    targets
}

fn names(targets: &RegistrationTargets) -> Vec<String> {
    targets
        .entries()
        .map(|target| target.name.to_string())
        .collect()
}

// Returns the number of full registrations in a second, each of which gets these replies 1 ms
// apart.
fn full_registrations_in_a_second(replies: &[RegistrationReply]) -> usize {
    let mut targets = RegistrationTargets::default();
    let mut waiting = Vec::new();
    let mut count = 0;
    for step in 0..1_000 {
        let now = START + MS * step;
        if targets.is_full_registration_due(now) {
            targets.record_full_registration(now);
            waiting = replies.to_vec();
            count += 1;
        } else if let Some(reply) = waiting.pop() {
            targets.record_reply(&reply, now);
        }
    }
    count
}

#[test]
fn lists_that_differ_cause_one_full_registration_after_the_first() {
    let replies = [naming(&entries(0..3)), naming(&entries(0..2))];
    assert_eq!(full_registrations_in_a_second(&replies), 2);
}

#[test]
fn lists_beyond_the_target_limit_cause_one_full_registration_after_the_first() {
    let lists = (0..4).map(|list| list * FULL_MESH_FLEET..(list + 1) * FULL_MESH_FLEET);
    let replies: Vec<_> = lists.map(|list| naming(&entries(list))).collect();
    assert_eq!(full_registrations_in_a_second(&replies), 2);
}

#[test]
fn targets_that_are_new_in_every_reply_cause_registrations_at_the_minimum_interval() {
    let mut targets = RegistrationTargets::default();
    let mut sent_at = Vec::new();
    for step in 0..1_000 {
        let now = START + MS * step;
        let mut restarted = entries(0..1);
        restarted[0].incarnation = Incarnation(u64::from(step));
        targets.record_reply(&naming(&restarted), now);
        if targets.is_full_registration_due(now) {
            targets.record_full_registration(now);
            sent_at.push(now);
        }
    }
    assert!(sent_at.len() > 1);
    for pair in sent_at.windows(2) {
        assert!(pair[1].since(pair[0]) >= MIN_FULL_REGISTRATION_INTERVAL);
    }
}

#[test]
fn target_named_right_after_a_full_registration_gets_one_after_the_minimum_interval() {
    let mut targets = registered_with(&entries(0..2));
    targets.record_reply(&naming(&entries(0..3)), START + MS);
    assert!(!targets.is_due_at_once(START + MS));
    let due = START + MIN_FULL_REGISTRATION_INTERVAL;
    assert!(targets.is_due_at_once(due) && targets.is_full_registration_due(due));
    targets.record_full_registration(due);
    assert!(!targets.is_due_at_once(due + MIN_FULL_REGISTRATION_INTERVAL));
}

#[test]
fn request_is_ignored_right_after_a_full_registration_only() {
    let mut targets = registered_with(&entries(0..2));
    targets.record_reply(&request(), START + MS);
    assert!(!targets.is_due_at_once(START + MIN_FULL_REGISTRATION_INTERVAL));
    let later = START + MIN_FULL_REGISTRATION_INTERVAL;
    targets.record_reply(&request(), later);
    assert!(targets.is_due_at_once(later));
}

#[test]
fn older_list_that_arrives_last_hides_no_target() {
    let mut targets = registered_with(&entries(0..3));
    targets.record_reply(&naming(&entries([1, 0])), START + MS);
    assert_eq!(names(&targets), ["entry-1", "entry-0", "entry-2"]);
    assert!(!targets.is_due_at_once(START + FULL_REGISTRATION_PERIOD));
}

#[test]
fn older_record_of_a_restarted_entry_replaces_nothing() {
    let older = entries(0..1);
    let mut newer = older.clone();
    newer[0].incarnation.0 += 1;
    let mut targets = registered_with(&older);
    let now = START + MIN_FULL_REGISTRATION_INTERVAL;
    targets.record_reply(&naming(&newer), now);
    assert!(targets.is_due_at_once(now), "a restarted entry VM is new");
    targets.record_full_registration(now);
    targets.record_reply(&naming(&older), now + MIN_FULL_REGISTRATION_INTERVAL);
    assert!(!targets.is_due_at_once(now + MIN_FULL_REGISTRATION_INTERVAL));
    assert!(targets.entries().eq(&newer));
}

#[test]
fn target_is_dropped_once_no_reply_has_named_it_for_its_memory() {
    let mut targets = registered_with(&entries(0..3));
    let next_period = START + FULL_REGISTRATION_PERIOD + MS;
    targets.record_reply(&naming(&entries(0..2)), next_period);
    targets.drop_unnamed(TimePoint(START.0 + TARGET_MEMORY.as_millis() as u64 - 1));
    assert_eq!(names(&targets).len(), 3);
    targets.drop_unnamed(START + TARGET_MEMORY);
    assert_eq!(names(&targets), ["entry-0", "entry-1"]);
    targets.drop_unnamed(next_period + TARGET_MEMORY * 100);
    assert_eq!(names(&targets).len(), 2, "kept while no entry VM replies");
}

#[test]
fn targets_are_limited_in_number_and_those_known_remain() {
    let mut targets = registered_with(&entries(0..FULL_MESH_FLEET));
    targets.record_reply(&naming(&entries(FULL_MESH_FLEET..TARGET_LIMIT)), START);
    let mut known = names(&targets);
    known.sort();
    targets.record_reply(&naming(&entries(TARGET_LIMIT..2 * TARGET_LIMIT)), START);
    let mut remaining = names(&targets);
    remaining.sort();
    assert_eq!(remaining, known);
    assert_eq!(remaining.len(), TARGET_LIMIT);
}
