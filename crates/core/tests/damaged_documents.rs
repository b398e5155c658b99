//! Rosters and members with items that can't be read: what stays in force, what is written again
//! and when the items are removed.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::control::REPAIR_PERIOD;
use chestnutlb_core::host_tracker::LAST_FLOW_DELAY;
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, HostState,
    MemberEdit, ObjectVersion, RosterEdit, TimePoint, UnreadableItems,
};
use common::{entry, host};

const DATACENTER: &str = "honam-1";
const FLOW_AGE: Duration = Duration::from_secs(60);

struct EntryRun {
    control: EntryControl,
    now: TimePoint,
    version: u64,
}

impl EntryRun {
    // Returns an entry VM whose roster lists a serving, a leaving and another serving host.
    fn start() -> Self {
        let mut run = Self {
            control: EntryControl::new(entry(1, DATACENTER), Vec::new(), 1, TimePoint(0))
                .with_flow_age(FLOW_AGE),
            now: TimePoint(0),
            version: 0,
        };
        let members = [1, 2].map(|number| DocumentItem::Entry(entry(number, DATACENTER)));
        run.load(DocumentKind::Members, members.to_vec());
        run.load(DocumentKind::Roster, hosts(&[1, 2, 3]));
        run
    }

    fn load(&mut self, kind: DocumentKind, items: Vec<DocumentItem>) {
        self.version += 1;
        let event = ControlEvent::Loaded {
            id: DocumentId::new(kind, DATACENTER),
            version: ObjectVersion(self.version.into()),
            items,
        };
        self.control.handle(event, self.now);
    }

    fn load_partly(
        &mut self,
        kind: DocumentKind,
        items: Vec<DocumentItem>,
        unreadable: UnreadableItems,
    ) {
        self.version += 1;
        let event = ControlEvent::LoadedPartly {
            id: DocumentId::new(kind, DATACENTER),
            version: ObjectVersion(self.version.into()),
            items,
            unreadable,
        };
        self.control.handle(event, self.now);
    }

    // Returns the names of the hosts in the roster in force here.
    fn listed(&self) -> Vec<String> {
        let roster = self.control.documents().items(DocumentKind::Roster);
        roster.map(|item| item.key().to_string()).collect()
    }

    // Lets time pass and returns the writes of this time, none of which takes effect.
    fn writes_within(&mut self, time: Duration) -> Vec<String> {
        let end = self.now + time;
        let mut writes = Vec::new();
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            while let Some(kind) = self.control.poll_timer(self.now) {
                for action in self.control.handle(ControlEvent::Tick(kind), self.now) {
                    writes.extend(self.describe_write(action));
                }
            }
        }
        writes
    }

    // Describes a write of a version of a document and ends it, or returns `None` for other
    // actions.
    fn describe_write(&mut self, action: ControlAction) -> Option<String> {
        let (id, base, edits) = match action {
            ControlAction::WriteRoster(id, base, edits) => {
                let edits = edits.iter().map(|edit| match edit {
                    RosterEdit::Put(record) => format!("put {} {}", record.name, record.state),
                    RosterEdit::Remove(record) => format!("remove {}", record.name),
                });
                (id, base, edits.collect())
            }
            ControlAction::WriteMembers(id, base, edits) => {
                let edits = edits.iter().map(|edit| match edit {
                    MemberEdit::Put(record) => format!("put {}", record.name),
                    MemberEdit::Remove(record) => format!("remove {}", record.name),
                });
                (id, base, edits.collect())
            }
            ControlAction::RemoveUnreadable(id, base) => {
                (id, base, vec!["remove unreadable".to_owned()])
            }
            _ => return None,
        };
        let finished = ControlEvent::WriteFinished(id.clone());
        self.control.handle(finished, self.now);
        Some(format!("{id} {}: {}", base.0, edits.join(", ")))
    }
}

fn hosts(numbers: &[usize]) -> Vec<DocumentItem> {
    let record = |number: &usize| {
        let state = match number {
            2 => HostState::Leaving,
            _ => HostState::Serving,
        };
        DocumentItem::Host(Arc::new(host(*number, state)))
    };
    numbers.iter().map(record).collect()
}

fn unreadable(keys: &[&str], unnamed: usize) -> UnreadableItems {
    UnreadableItems {
        keys: keys.iter().map(|key| (*key).into()).collect(),
        unnamed,
        is_whole: false,
    }
}

// Guards against resets of living flows: a leaving host that the roster lacks counts as one that
// has left, and nobody asks it for its flows.
#[test]
fn host_with_a_damaged_record_stays_in_force_and_is_written_again() {
    let mut run = EntryRun::start();
    run.load_partly(
        DocumentKind::Roster,
        hosts(&[1, 3, 4]),
        unreadable(&["host-2", "nobody"], 0),
    );
    assert_eq!(run.listed(), ["host-1", "host-2", "host-3", "host-4"]);
    let writes = run.writes_within(REPAIR_PERIOD);
    assert_eq!(writes, ["roster/honam-1 3: put host-2 leaving"]);
}

#[test]
fn roster_that_can_not_be_read_as_a_whole_stays_in_force_and_is_written_again() {
    let mut run = EntryRun::start();
    run.load_partly(DocumentKind::Roster, Vec::new(), UnreadableItems::whole());
    assert_eq!(run.listed(), ["host-1", "host-2", "host-3"]);
    let writes = run.writes_within(REPAIR_PERIOD);
    assert_eq!(
        writes,
        ["roster/honam-1 3: put host-1 serving, put host-2 leaving, put host-3 serving"]
    );
}

#[test]
fn items_without_a_name_stand_for_missing_hosts_unless_more_are_missing() {
    let mut run = EntryRun::start();
    run.load_partly(DocumentKind::Roster, hosts(&[1, 2]), unreadable(&[], 1));
    assert_eq!(run.listed(), ["host-1", "host-2", "host-3"]);
    let mut run = EntryRun::start();
    run.load_partly(DocumentKind::Roster, hosts(&[1]), unreadable(&[], 1));
    assert_eq!(run.listed(), ["host-1"]);
}

// Guards against a host that has left and is used again: a record without a name that stays in
// the roster stood for each host that was removed.
#[test]
fn item_without_a_name_that_was_there_before_stands_for_no_host_that_is_removed_later() {
    let mut run = EntryRun::start();
    run.load_partly(DocumentKind::Roster, hosts(&[1, 2, 3]), unreadable(&[], 1));
    run.load_partly(DocumentKind::Roster, hosts(&[1, 2]), unreadable(&[], 1));
    assert_eq!(run.listed(), ["host-1", "host-2"]);
    assert!(run.writes_within(REPAIR_PERIOD).is_empty());
}

// The list is read again while the record is still damaged.
#[test]
fn version_that_is_read_again_changes_nothing() {
    let mut run = EntryRun::start();
    for _ in 0..2 {
        run.version = 2;
        run.load_partly(DocumentKind::Roster, hosts(&[1, 2]), unreadable(&[], 1));
    }
    assert_eq!(run.listed(), ["host-1", "host-2", "host-3"]);
    let writes = run.writes_within(REPAIR_PERIOD);
    assert_eq!(writes, ["roster/honam-1 3: put host-3 serving"]);
}

#[test]
fn outdated_answer_does_not_end_the_repair() {
    let mut run = EntryRun::start();
    run.load_partly(
        DocumentKind::Roster,
        hosts(&[1, 3]),
        unreadable(&["host-2"], 0),
    );
    run.version = 1;
    run.load(DocumentKind::Roster, hosts(&[1, 2, 3]));
    let writes = run.writes_within(REPAIR_PERIOD);
    assert_eq!(writes, ["roster/honam-1 3: put host-2 leaving"]);
}

#[test]
fn member_with_a_damaged_record_stays_in_force_and_is_written_again() {
    let mut run = EntryRun::start();
    let first = DocumentItem::Entry(entry(1, DATACENTER));
    run.load_partly(
        DocumentKind::Members,
        vec![first],
        unreadable(&["entry-2"], 0),
    );
    assert_eq!(run.control.entries().len(), 2);
    let writes = run.writes_within(REPAIR_PERIOD);
    assert_eq!(writes, ["members/honam-1 3: put entry-2"]);
}

#[test]
fn item_that_stands_for_no_host_is_removed_when_no_flow_of_one_can_live() {
    let mut run = EntryRun::start();
    run.load_partly(
        DocumentKind::Roster,
        hosts(&[1, 2, 3]),
        unreadable(&["x"], 1),
    );
    let removal = |write: &String| write.contains("unreadable");
    let kept_for = FLOW_AGE + LAST_FLOW_DELAY;
    let writes = run.writes_within(kept_for - Duration::from_millis(50));
    assert!(!writes.iter().any(removal), "{writes:?}");
    // Another write in between does not make it younger.
    run.load_partly(
        DocumentKind::Roster,
        hosts(&[1, 2, 3]),
        unreadable(&["x"], 1),
    );
    let writes = run.writes_within(2 * REPAIR_PERIOD);
    assert!(writes.iter().any(removal), "{writes:?}");
    run.load(DocumentKind::Roster, hosts(&[1, 2, 3]));
    let writes = run.writes_within(10 * REPAIR_PERIOD);
    assert!(!writes.iter().any(removal), "{writes:?}");
}

#[test]
fn older_version_that_can_be_read_in_part_changes_nothing() {
    let mut run = EntryRun::start();
    run.version = 0;
    run.load_partly(DocumentKind::Roster, Vec::new(), UnreadableItems::whole());
    assert_eq!(run.listed().len(), 3);
    let writes = run.writes_within(REPAIR_PERIOD);
    assert!(writes.is_empty(), "{writes:?}");
}
