//! Entry VMs, hosts and a store that is restored from an older copy, in virtual time.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use chestnutlb_core::control::{JOB_TIMEOUT, RESTORE_SETTLE_TIME};
use chestnutlb_core::events::ListScope;
use chestnutlb_core::members::{ENTRY_SILENCE, RANK_DELAY};
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl,
    FeedConfirmation, FeedIndex, HostRecord, HostRevision, HostState, MemberEdit, ObjectVersion,
    RosterEdit, ServiceKind, StoreEra, StoreRevision, TimePoint,
};
use common::{entry, host};

const DATACENTER: &str = "honam-1";
const ENTRIES: usize = 4;
const HOSTS: usize = 8;
const STEP_MS: u64 = 50;
// Interval of a host's messages and of the watches.
const PERIOD_MS: u64 = 500;
// Time within which the hosts that are running have to be listed again.
const LISTED_AGAIN_MS: u64 = 2_000;

type Objects = BTreeMap<DocumentId, (u64, Vec<DocumentItem>)>;

#[derive(Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: Objects,
    copy: (u64, Objects),
    is_away: bool,
}

impl Store {
    fn version(&self, revision: u64) -> ObjectVersion {
        ObjectVersion::new(StoreEra(self.era), StoreRevision(revision.into())).unwrap()
    }

    fn read(&self, id: &DocumentId) -> (ObjectVersion, Vec<DocumentItem>) {
        match self.objects.get(id) {
            Some((revision, items)) => (self.version(*revision), items.clone()),
            None => (self.version(0), Vec::new()),
        }
    }

    fn write(&mut self, id: &DocumentId, items: BTreeMap<String, DocumentItem>) -> ControlEvent {
        let items: Vec<_> = items.into_values().collect();
        if self.objects.get(id).map(|(_, stored)| stored) != Some(&items) {
            self.revision += 1;
            let object = (self.revision, items);
            self.objects.insert(id.clone(), object);
        }
        self.loaded(id)
    }

    fn loaded(&self, id: &DocumentId) -> ControlEvent {
        let (version, items) = self.read(id);
        let id = id.clone();
        ControlEvent::Loaded { id, version, items }
    }

    // Applies edits as the client of a store does: additions only to the version `base`.
    fn edit_roster(
        &mut self,
        id: &DocumentId,
        base: ObjectVersion,
        edits: &[RosterEdit],
    ) -> ControlEvent {
        let (version, items) = self.read(id);
        let is_base = version == base || (version.is_absent() && base.is_absent());
        let mut items = by_key(items);
        for edit in edits {
            let key = edit.record().name.to_string();
            match edit {
                RosterEdit::Put(record) if is_base => {
                    items.insert(key, DocumentItem::Host(Arc::new(record.clone())));
                }
                RosterEdit::Put(_) => {}
                RosterEdit::Remove(_) => {
                    items.remove(&key);
                }
            }
        }
        self.write(id, items)
    }

    fn edit_members(&mut self, id: &DocumentId, edits: &[MemberEdit]) -> ControlEvent {
        let mut items = by_key(self.read(id).1);
        for edit in edits {
            match edit {
                MemberEdit::Put(record) => {
                    let item = DocumentItem::Entry(record.clone());
                    items.insert(record.name.to_string(), item);
                }
                MemberEdit::Remove(record) => {
                    items.remove(record.name.as_str());
                }
            }
        }
        self.write(id, items)
    }

    fn keep_copy(&mut self) {
        self.copy = (self.revision, self.objects.clone());
    }

    fn restore(&mut self) {
        (self.revision, self.objects) = self.copy.clone();
        self.era += 1;
    }
}

fn by_key(items: Vec<DocumentItem>) -> BTreeMap<String, DocumentItem> {
    let items = items.into_iter();
    items.map(|item| (item.key().to_string(), item)).collect()
}

struct Host {
    record: HostRecord,
    revision: u64,
    is_running: bool,
    registration_due: bool,
}

struct World {
    now: u64,
    store: Store,
    entries: Vec<EntryControl>,
    // Version of the store up to which each entry VM has watched it; `None` if it does not.
    watched: Vec<Option<ObjectVersion>>,
    is_watching: Vec<bool>,
    is_stopped: Vec<bool>,
    hosts: Vec<Host>,
    in_flight: Vec<(usize, ControlEvent)>,
}

fn id(kind: DocumentKind) -> DocumentId {
    DocumentId::new(kind, DATACENTER)
}

impl World {
    // Starts entry VMs at a store without rosters and members.
    fn start() -> Self {
        let seeds: Vec<SocketAddrV4> = (0..ENTRIES).map(|n| entry(n, DATACENTER).peers).collect();
        let control = |n| EntryControl::new(entry(n, DATACENTER), seeds.clone(), n as u64, at(0));
        let mut world = Self {
            now: 0,
            store: Store {
                era: 1,
                ..Store::default()
            },
            entries: (0..ENTRIES).map(control).collect(),
            watched: vec![None; ENTRIES],
            is_watching: vec![false; ENTRIES],
            is_stopped: vec![false; ENTRIES],
            hosts: Vec::new(),
            in_flight: Vec::new(),
        };
        let mut spec = common::spec();
        spec.kind = ServiceKind::Passthrough;
        let service = DocumentItem::Service(Arc::new(spec));
        let grant = DocumentItem::Grant("10.20.0.0/16".parse().unwrap(), "dalbit".into());
        for index in 0..ENTRIES {
            for (kind, name, item) in [
                (DocumentKind::Manifest, "dalbit", &service),
                (DocumentKind::Grants, "all", &grant),
            ] {
                let event = ControlEvent::Loaded {
                    id: DocumentId::new(kind, name),
                    version: ObjectVersion(1),
                    items: vec![item.clone()],
                };
                world.handle(index, event);
            }
        }
        world
    }

    fn add_hosts(&mut self, numbers: std::ops::Range<usize>) {
        self.hosts.extend(numbers.map(|number| Host {
            record: host(number, HostState::Serving),
            revision: 1,
            is_running: true,
            registration_due: true,
        }));
    }

    // A host deregisters at all entry VMs and stops.
    fn depart(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.record.state = HostState::Gone;
        host.revision += 1;
        host.is_running = false;
        for entry in 0..ENTRIES {
            let event = self.hosts[index].registration();
            self.handle(entry, event);
        }
    }

    // An entry VM removes itself from the members and ends.
    fn stop_entry(&mut self, index: usize) {
        self.handle(index, ControlEvent::Stop);
        self.is_stopped[index] = true;
        self.is_watching[index] = false;
    }

    fn handle(&mut self, index: usize, event: ControlEvent) -> bool {
        if self.is_stopped[index] {
            return false;
        }
        let mut resend = false;
        for action in self.entries[index].handle(event, at(self.now)) {
            match action {
                ControlAction::ReplyToHost(_, reply) => resend |= reply.resend,
                action => self.execute(index, action),
            }
        }
        resend
    }

    fn execute(&mut self, index: usize, action: ControlAction) {
        match action {
            ControlAction::WriteRoster(id, base, edits) => {
                let event = match self.store.is_away {
                    true => ControlEvent::WriteFinished(id),
                    false => self.store.edit_roster(&id, base, &edits),
                };
                self.in_flight.push((index, event));
            }
            ControlAction::WriteMembers(id, _, edits) => {
                let event = match self.store.is_away {
                    true => ControlEvent::WriteFinished(id),
                    false => self.store.edit_members(&id, &edits),
                };
                self.in_flight.push((index, event));
            }
            ControlAction::Heartbeat(target, heartbeat) => {
                let to = (0..ENTRIES).find(|n| entry(*n, DATACENTER).peers == target);
                let event = ControlEvent::HeartbeatReceived(heartbeat);
                self.in_flight.extend(to.map(|to| (to, event)));
            }
            ControlAction::Pull(peer, wanted) => {
                let from = (0..ENTRIES).find(|n| entry(*n, DATACENTER).status == peer);
                let have = match wanted.is_empty() {
                    true => self.entries[index].documents().digest(),
                    false => wanted.clone(),
                };
                let documents = self.entries[from.unwrap()].documents();
                let known = |id: &DocumentId| have.iter().find(|(had, _)| had == id);
                let patches = documents
                    .iter()
                    .filter_map(|(id, document)| match known(id) {
                        Some((_, since)) => document.patch(id, *since),
                        None if wanted.is_empty() => document.patch(id, ObjectVersion(0)),
                        None => None,
                    });
                let event = ControlEvent::Pulled(patches.collect());
                self.in_flight.push((index, event));
            }
            ControlAction::Watch(is_watching) => self.is_watching[index] = is_watching,
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = at(self.now);
        for (index, event) in std::mem::take(&mut self.in_flight) {
            self.handle(index, event);
        }
        for index in 0..ENTRIES {
            while let Some(kind) = self.entries[index].poll_timer(now) {
                self.handle(index, ControlEvent::Tick(kind));
            }
            self.entries[index].poll_view(now);
            let is_turn = self.now % PERIOD_MS == 100 * index as u64 % PERIOD_MS;
            if is_turn && self.is_watching[index] && !self.store.is_away {
                self.watch(index);
            }
        }
        for index in 0..self.hosts.len() {
            if self.now % PERIOD_MS == STEP_MS * index as u64 % PERIOD_MS {
                self.send_host(index);
            }
        }
    }

    fn watch(&mut self, index: usize) {
        let version = self.store.version(self.store.revision);
        let after = self.watched[index].replace(version);
        let is_whole = after.is_none_or(|after| after.era() != version.era());
        let ids: Vec<DocumentId> = self.store.objects.keys().cloned().collect();
        for id in &ids {
            let (changed, _) = self.store.read(id);
            if is_whole || Some(changed) > after {
                let event = self.store.loaded(id);
                self.handle(index, event);
            }
        }
        if is_whole {
            let listed = ids;
            self.handle(
                index,
                ControlEvent::AllListed {
                    scope: ListScope::Fleet,
                    version,
                    listed,
                    first_era: None,
                },
            );
        }
        let list = Vec::new();
        let confirms = Some(FeedConfirmation {
            feed: FeedIndex(0),
            at: TimePoint(self.now),
        });
        self.handle(index, ControlEvent::VersionsListed { list, confirms });
    }

    fn send_host(&mut self, index: usize) {
        if !self.hosts[index].is_running {
            return;
        }
        let is_registration = std::mem::take(&mut self.hosts[index].registration_due);
        for entry in 0..ENTRIES {
            let host = &self.hosts[index];
            let event = match is_registration {
                true => host.registration(),
                false => host.keep_alive(),
            };
            let resend = self.handle(entry, event);
            self.hosts[index].registration_due |= resend;
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn stored_names(&self, kind: DocumentKind) -> BTreeSet<String> {
        by_key(self.store.read(&id(kind)).1).into_keys().collect()
    }

    fn running_hosts(&self) -> BTreeSet<String> {
        let running = self.hosts.iter().filter(|host| host.is_running);
        running.map(|host| host.record.name.to_string()).collect()
    }

    // Returns the hosts that an entry VM offers new flows.
    fn offered_hosts(&self, index: usize) -> BTreeSet<String> {
        let view = self.entries[index].view();
        let hosts = view.services().flat_map(|service| service.hosts());
        hosts
            .filter(|host| host.accepts_flows())
            .map(|host| host.record.name.to_string())
            .collect()
    }

    fn knows_restore(&self, index: usize) -> bool {
        let version = self.entries[index]
            .documents()
            .version(&id(DocumentKind::Roster));
        version.era() == StoreEra(self.store.era)
    }

    // Runs until the condition holds and returns the time that it took.
    fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now - start < limit_ms, "not within {limit_ms} ms");
            self.step();
        }
        self.now - start
    }
}

impl Host {
    fn registration(&self) -> ControlEvent {
        ControlEvent::HostRegistered {
            record: self.record.clone(),
            revision: HostRevision(self.revision),
            manifest: ObjectVersion(0),
            from: self.record.packets,
        }
    }

    fn keep_alive(&self) -> ControlEvent {
        ControlEvent::HostKeepAlive {
            name: self.record.name.clone(),
            incarnation: self.record.incarnation,
            revision: HostRevision(self.revision),
            manifest: ObjectVersion(0),
            from: self.record.packets,
        }
    }
}

fn at(ms: u64) -> TimePoint {
    TimePoint(ms + 100_000)
}

// A world that runs for some seconds, with a copy from before the given hosts started. With
// no host before the copy, it was made before any roster or members.
fn world_with_copy(before_copy: usize) -> World {
    let mut world = World::start();
    if before_copy > 0 {
        world.add_hosts(0..before_copy);
        world.run(6_000);
    }
    world.store.keep_copy();
    world.add_hosts(before_copy..HOSTS);
    world.run(6_000);
    assert_eq!(
        world.stored_names(DocumentKind::Roster),
        world.running_hosts()
    );
    assert_eq!(world.stored_names(DocumentKind::Members).len(), ENTRIES);
    world
}

#[test]
fn registered_hosts_are_offered_throughout_a_restore_and_listed_again_soon() {
    for before_copy in [0, 1, HOSTS / 2, HOSTS - 1] {
        for away_ms in [0, 50, 200, 450, 1_000, 2_500] {
            let mut world = world_with_copy(before_copy);
            world.store.is_away = true;
            world.run(away_ms);
            world.store.restore();
            world.store.is_away = false;
            let mut listed_after = None;
            for _ in 0..10_000 / STEP_MS {
                world.step();
                for index in 0..ENTRIES {
                    assert_eq!(
                        world.offered_hosts(index),
                        world.running_hosts(),
                        "{before_copy} hosts in the copy, entry VM {index}, at {}",
                        world.now
                    );
                }
                if world.stored_names(DocumentKind::Roster) == world.running_hosts() {
                    listed_after.get_or_insert(world.now);
                }
            }
            let restored_at = world.now - 10_000;
            let took = listed_after.expect("all hosts are listed") - restored_at;
            println!("{before_copy} in the copy, away {away_ms} ms: listed after {took} ms");
            assert!(
                took < LISTED_AGAIN_MS,
                "{before_copy} in the copy: {took} ms"
            );
            let members = world.stored_names(DocumentKind::Members);
            assert_eq!(members.len(), ENTRIES, "{members:?}");
        }
    }
}

#[test]
fn host_that_left_since_the_copy_is_not_offered_and_removed_again_soon() {
    for since_departure in [1_000, 5_000, 50_000] {
        let mut world = world_with_copy(HOSTS);
        world.store.keep_copy();
        for index in 0..HOSTS / 2 {
            world.depart(index);
        }
        world.run(since_departure);
        assert_eq!(
            world.stored_names(DocumentKind::Roster),
            world.running_hosts()
        );
        world.store.restore();
        let mut removed_after = None;
        let start = world.now;
        while world.now < start + 5_000 {
            world.step();
            for index in 0..ENTRIES {
                let offered = world.offered_hosts(index);
                assert_eq!(offered, world.running_hosts(), "entry VM {index}");
            }
            if world.stored_names(DocumentKind::Roster) == world.running_hosts() {
                removed_after.get_or_insert(world.now - start);
            }
        }
        let took = removed_after.expect("the hosts are removed again");
        println!("{since_departure} ms since the departure: removed after {took} ms");
        assert!(took < LISTED_AGAIN_MS, "{took} ms");
    }
}

// A host that crashed and was removed for its silence.
#[test]
fn crashed_host_that_the_restored_store_lists_again_is_removed_again_soon() {
    let mut world = world_with_copy(HOSTS);
    world.store.keep_copy();
    world.hosts[0].is_running = false;
    world.run(40_000);
    assert_eq!(
        world.stored_names(DocumentKind::Roster),
        world.running_hosts()
    );
    world.store.restore();
    let took = world.run_until(LISTED_AGAIN_MS, |world| {
        world.store.revision > world.store.copy.0
            && world.stored_names(DocumentKind::Roster) == world.running_hosts()
    });
    println!("removed after {took} ms");
}

// The trackers have seen its departure before the restore, and its next registration.
#[test]
fn host_that_restarts_after_its_departure_stays_listed_across_a_restore() {
    let mut world = world_with_copy(HOSTS);
    world.store.keep_copy();
    world.depart(0);
    world.run(3_000);
    let host = &mut world.hosts[0];
    host.record.state = HostState::Serving;
    host.revision = 1;
    host.is_running = true;
    host.registration_due = true;
    world.run(3_000);
    assert_eq!(world.stored_names(DocumentKind::Roster).len(), HOSTS);
    world.store.restore();
    let start = world.now;
    while world.now < start + 10_000 {
        world.step();
        assert_eq!(world.stored_names(DocumentKind::Roster).len(), HOSTS);
    }
}

#[test]
fn entry_vm_adds_itself_to_members_of_a_restored_store_within_repair_period() {
    let mut world = world_with_copy(0);
    world.store.restore();
    let knows = world.run_until(2_000, |world| {
        (0..ENTRIES).all(|index| world.knows_restore(index))
    });
    let took = world.run_until(JOB_TIMEOUT.as_millis() as u64, |world| {
        world.stored_names(DocumentKind::Members).len() == ENTRIES
    });
    println!("known after {knows} ms, all members after {took} ms more");
    assert!(took <= LISTED_AGAIN_MS, "{took} ms");
    assert!(took < RESTORE_SETTLE_TIME.as_millis() as u64);
}

#[test]
fn hosts_are_listed_again_after_each_of_several_restores() {
    let mut world = world_with_copy(HOSTS / 2);
    for round in 0..4 {
        world.store.restore();
        world.run(700 * (round + 1));
        world.store.restore();
        world.run(LISTED_AGAIN_MS);
        let listed = world.stored_names(DocumentKind::Roster);
        assert_eq!(listed, world.running_hosts(), "round {round}");
    }
}

// It is not heard, as if it had crashed; only the time until the rings follow is added.
#[test]
fn stopped_entry_vm_that_the_restored_store_lists_again_is_removed_again() {
    let mut world = world_with_copy(HOSTS);
    world.store.keep_copy();
    world.stop_entry(ENTRIES - 1);
    world.run(3_000);
    assert_eq!(world.stored_names(DocumentKind::Members).len(), ENTRIES - 1);
    world.store.restore();
    let limit = RESTORE_SETTLE_TIME + ENTRY_SILENCE + RANK_DELAY;
    let took = world.run_until(limit.as_millis() as u64, |world| {
        world.stored_names(DocumentKind::Members).len() == ENTRIES - 1
    });
    println!("removed after {took} ms");
    let listed = world.stored_names(DocumentKind::Roster);
    assert_eq!(listed, world.running_hosts());
}
