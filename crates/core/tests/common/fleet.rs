//! A fleet of entry VMs in virtual time: heartbeats and pulls among them, and a store that some
//! of them reach.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, DocumentPatch,
    EntryControl, EntryRecord, FeedConfirmation, FeedIndex, FeedScope, Heartbeat, HostState,
    Incarnation, ObjectVersion, TimePoint,
};

use super::{entry, host};

const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 3;
/// Time of a pull at its receiver, which carries out one at a time.
const PULL_MS: u64 = 4;
/// Time between the starts of two entry VMs that start one after the other.
const START_STEP_MS: u64 = 7;
/// Time of a call of the store.
const STORE_MS: u64 = 4;
/// Longest wait of a watch of the fleet's documents, after which the store confirms them.
const FLEET_WATCH_MS: u64 = 2_000;
/// Longest wait of a watch of operators' documents, and the number of watches in a change deadline.
const OPERATORS_WATCH_MS: u64 = 2_000;
const WATCHES_PER_DEADLINE: u64 = 3;
/// Time after which a watch that is not answered has failed, and delay before the next one.
const WATCH_MARGIN_MS: u64 = 1_000;
const WATCH_RETRY_MS: u64 = 500;
/// Interval at which a feed that is not watched is checked.
const UNWATCHED_MS: u64 = 100;

/// The feeds of the store.
pub const OPERATORS: FeedIndex = FeedIndex(0);
pub const FLEET: FeedIndex = FeedIndex(1);
const FEEDS: [FeedScope; 2] = [FeedScope::Operators, FeedScope::Fleet];

#[derive(Debug, PartialEq, Eq)]
enum Message {
    Heartbeat(Box<Heartbeat>),
    Pull(usize, Vec<(DocumentId, ObjectVersion)>),
    Patches(Vec<DocumentPatch>),
    // A watch ends, and a feed that is not watched is looked at again.
    Watched(Watch),
    // The store has read the operators' documents.
    Probed {
        asked_at: u64,
        version: ObjectVersion,
    },
}

// A watch of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Watch {
    feed: FeedIndex,
    // When the call was sent; `None` if the feed was not watched.
    asked_at: Option<u64>,
}

pub struct Fleet {
    datacenters: usize,
    pub controls: Vec<EntryControl>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    // By time and number: receiver and message.
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    // When each entry VM has carried out its last pull.
    pulled_at: Vec<u64>,
    sent: u64,
    // Gossip and pulls within a data centre, and between two.
    pub near: u64,
    pub far: u64,
    pub now: u64,
    version: u64,
    // The configuration in the store.
    configuration: ObjectVersion,
    // Longest wait of the watches of each feed.
    waits: [u64; 2],
    // Which entry VMs run, reach the store, get the answers of each feed, and watch.
    pub runs: Vec<bool>,
    pub reaches_store: Vec<bool>,
    pub answers: Vec<[bool; 2]>,
    pub watches: Vec<bool>,
    // When the open watches of each feed were sent.
    open_watches: Vec<[Option<u64>; 2]>,
    // Calls of the store that were answered, by watchers and by others, and those that were not.
    pub watch_calls: u64,
    pub probe_calls: u64,
    pub failed_calls: u64,
}

fn datacenter(number: usize, datacenters: usize) -> String {
    format!("honam-{}", number % datacenters)
}

fn record(number: usize, datacenters: usize) -> EntryRecord {
    EntryRecord {
        incarnation: Incarnation(1),
        ..entry(number, &datacenter(number, datacenters))
    }
}

impl Fleet {
    /// Starts entry VMs of some data centres, all at the same time.
    pub fn start(entries: usize, datacenters: usize) -> Self {
        Self::of(entries, datacenters, |control| control, 0, u64::MAX)
    }

    /// Starts entry VMs within `spread_ms`, which read the store themselves if nobody confirms
    /// their documents in time for the deadline.
    pub fn start_with_deadline(
        entries: usize,
        datacenters: usize,
        deadline: Duration,
        spread_ms: u64,
    ) -> Self {
        let with_deadline = |control: EntryControl| control.with_change_deadline(deadline);
        let deadline_ms = deadline.as_millis() as u64;
        Self::of(entries, datacenters, with_deadline, spread_ms, deadline_ms)
    }

    fn of(
        entries: usize,
        datacenters: usize,
        configure: impl Fn(EntryControl) -> EntryControl,
        spread_ms: u64,
        deadline_ms: u64,
    ) -> Self {
        let control = |number| {
            let me = record(number, datacenters);
            let started_at = TimePoint(number as u64 * START_STEP_MS % (spread_ms + 1));
            let control = EntryControl::new(me, Vec::new(), number as u64, started_at);
            configure(control.with_feeds(&FEEDS))
        };
        let by_address = (0..entries).flat_map(|number| {
            let record = record(number, datacenters);
            [(record.peers, number), (record.status, number)]
        });
        let mut fleet = Self {
            datacenters,
            controls: (0..entries).map(control).collect(),
            by_address: by_address.collect(),
            messages: BTreeMap::new(),
            due: BinaryHeap::new(),
            pulled_at: vec![0; entries],
            sent: 0,
            near: 0,
            far: 0,
            now: 0,
            version: 0,
            configuration: ObjectVersion(0),
            waits: [
                OPERATORS_WATCH_MS.min(deadline_ms / WATCHES_PER_DEADLINE),
                FLEET_WATCH_MS,
            ],
            runs: vec![true; entries],
            reaches_store: vec![true; entries],
            answers: vec![[true; 2]; entries],
            watches: vec![false; entries],
            open_watches: vec![[None; 2]; entries],
            watch_calls: 0,
            probe_calls: 0,
            failed_calls: 0,
        };
        for number in 0..entries {
            for feed in [OPERATORS, FLEET] {
                let idle = Watch {
                    feed,
                    asked_at: None,
                };
                fleet.call(number, UNWATCHED_MS, Message::Watched(idle));
            }
        }
        for group in 0..datacenters {
            let members = (0..entries).filter(|number| number % datacenters == group);
            let items = members.map(|number| DocumentItem::Entry(record(number, datacenters)));
            let items: Vec<_> = items.collect();
            fleet.version += 1;
            let id = DocumentId::new(DocumentKind::Members, &datacenter(group, datacenters));
            for number in 0..entries {
                fleet.load(number, id.clone(), items.clone());
            }
        }
        fleet
    }

    /// Forgets the messages in flight, and what was counted.
    pub fn clear(&mut self) {
        self.messages.clear();
        self.due.clear();
        (self.near, self.far) = (0, 0);
    }

    /// Operators write a new configuration, of which the watchers that reach the store learn.
    pub fn commit(&mut self) -> ObjectVersion {
        self.version += 1;
        self.configuration = ObjectVersion(self.version.into());
        for number in 0..self.controls.len() {
            let watch = self.open_watches[number][OPERATORS.0];
            if let Some(asked_at) = watch.filter(|_| self.is_answered(number, OPERATORS)) {
                let asked_at = Some(asked_at);
                let feed = OPERATORS;
                self.call(number, STORE_MS, Message::Watched(Watch { feed, asked_at }));
            }
        }
        self.configuration
    }

    // The store answers an entry VM after some time.
    fn call(&mut self, number: usize, delay: u64, message: Message) {
        self.sent += 1;
        let key = (self.now + delay, self.sent);
        self.messages.insert(key, (number, message));
        self.due.push(Reverse(key));
    }

    fn is_answered(&self, number: usize, feed: FeedIndex) -> bool {
        self.reaches_store[number] && self.answers[number][feed.0]
    }

    // The store answers a call of a feed with the version of the configuration that it had then.
    fn answer(&mut self, number: usize, confirms: FeedConfirmation, version: ObjectVersion) {
        if confirms.feed == OPERATORS && version > ObjectVersion(0) {
            let event = ControlEvent::Loaded {
                id: configuration(),
                version,
                items: vec![DocumentItem::Service(Arc::new(super::spec()))],
            };
            self.handle(number, event);
        }
        let event = ControlEvent::VersionsListed {
            list: Vec::new(),
            confirms: Some(confirms),
        };
        self.handle(number, event);
    }

    fn handle(&mut self, number: usize, event: ControlEvent) {
        let actions = self.controls[number].handle(event, TimePoint(self.now));
        self.execute(number, actions);
    }

    // Loads the current version of a document from the store.
    fn load(&mut self, number: usize, id: DocumentId, items: Vec<DocumentItem>) {
        let version = ObjectVersion(self.version.into());
        let event = ControlEvent::Loaded { id, version, items };
        let actions = self.controls[number].handle(event, TimePoint(self.now));
        self.execute(number, actions);
    }

    /// An entry VM writes a new version of the roster of its data centre.
    pub fn change_roster(&mut self, number: usize) {
        self.version += 1;
        let id = DocumentId::new(DocumentKind::Roster, &datacenter(number, self.datacenters));
        let state = if self.version.is_multiple_of(2) {
            HostState::Leaving
        } else {
            HostState::Serving
        };
        let item = DocumentItem::Host(Arc::new(host(number, state)));
        self.load(number, id, vec![item]);
    }

    /// An entry VM receives a new configuration.
    pub fn change_configuration(&mut self, number: usize) -> ObjectVersion {
        self.version += 1;
        let service = DocumentItem::Service(Arc::new(super::spec()));
        self.load(number, configuration(), vec![service]);
        ObjectVersion(self.version.into())
    }

    fn send(&mut self, from: usize, to: usize, delay: u64, message: Message) {
        let is_near = from % self.datacenters == to % self.datacenters;
        let distance = if is_near { NEAR_MS } else { FAR_MS };
        if !matches!(message, Message::Patches(_)) {
            self.near += u64::from(is_near);
            self.far += u64::from(!is_near);
        }
        self.sent += 1;
        let key = (self.now + delay + distance, self.sent);
        self.messages.insert(key, (to, message));
        self.due.push(Reverse(key));
    }

    fn execute(&mut self, number: usize, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Heartbeat(target, heartbeat) => {
                    let to = self.by_address[&target];
                    self.send(number, to, 0, Message::Heartbeat(Box::new(heartbeat)));
                }
                ControlAction::Pull(target, wanted) => {
                    let to = self.by_address[&target];
                    let begins = self.pulled_at[number].max(self.now);
                    self.pulled_at[number] = begins + PULL_MS;
                    self.send(number, to, begins - self.now, Message::Pull(number, wanted));
                }
                ControlAction::Watch(watches) => self.watches[number] = watches,
                ControlAction::ProbeStore => {
                    let probe = Message::Probed {
                        asked_at: self.now,
                        version: self.configuration,
                    };
                    self.call(number, STORE_MS, probe);
                }
                _ => {}
            }
        }
    }

    fn patches(&self, number: usize, wanted: &[(DocumentId, ObjectVersion)]) -> Vec<DocumentPatch> {
        let documents = self.controls[number].documents();
        let wanted: Vec<_> = if wanted.is_empty() {
            documents
                .digest()
                .into_iter()
                .map(|(id, _)| (id, ObjectVersion(0)))
                .collect()
        } else {
            wanted.to_vec()
        };
        let patches = wanted
            .iter()
            .filter_map(|(id, version)| documents.get(id)?.patch(id, *version));
        patches.collect()
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            while let Some(Reverse(key)) = self.due.peek().copied()
                && key.0 <= self.now
            {
                self.due.pop();
                let Some((to, message)) = self.messages.remove(&key) else {
                    continue;
                };
                self.receive(to, message);
            }
            for number in 0..self.controls.len() {
                let now = TimePoint(self.now);
                if !self.runs[number] {
                    continue;
                }
                while let Some(kind) = self.controls[number].poll_timer(now) {
                    let actions = self.controls[number].handle(ControlEvent::Tick(kind), now);
                    self.execute(number, actions);
                }
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        if !self.runs[to] {
            return;
        }
        let event = match message {
            Message::Watched(watch) => return self.on_watched(to, watch),
            Message::Probed { asked_at, version } if self.is_answered(to, OPERATORS) => {
                self.probe_calls += 1;
                let (feed, at) = (OPERATORS, TimePoint(asked_at));
                self.answer(to, FeedConfirmation { feed, at }, version);
                ControlEvent::StoreAnswered
            }
            Message::Probed { .. } => {
                self.failed_calls += 1;
                return;
            }
            Message::Heartbeat(heartbeat) => ControlEvent::HeartbeatReceived(*heartbeat),
            Message::Pull(from, wanted) => {
                let patches = self.patches(to, &wanted);
                return self.send(to, from, PULL_MS, Message::Patches(patches));
            }
            Message::Patches(patches) => ControlEvent::Pulled(patches),
        };
        let actions = self.controls[to].handle(event, TimePoint(self.now));
        self.execute(to, actions);
    }

    // A watch ends, and the next one begins. One that was open when its entry VM stopped to watch
    // is still answered.
    fn on_watched(&mut self, number: usize, watch: Watch) {
        let Watch { feed, asked_at } = watch;
        let mut delay = 0;
        if let Some(asked_at) = asked_at {
            if self.open_watches[number][feed.0] != Some(asked_at) {
                return;
            }
            self.open_watches[number][feed.0] = None;
            if self.is_answered(number, feed) {
                self.watch_calls += 1;
                let wait = Duration::from_millis(self.waits[feed.0]);
                let [asked_at, answered_at] = [asked_at, self.now].map(TimePoint);
                let has_changes = answered_at.since(asked_at) < wait;
                let confirms =
                    FeedConfirmation::of_answer(feed, asked_at, answered_at, wait, has_changes);
                self.answer(number, confirms, self.configuration);
            } else {
                self.failed_calls += 1;
                delay = WATCH_MARGIN_MS + WATCH_RETRY_MS;
            }
        }
        if !self.watches[number] {
            let idle = Watch {
                feed,
                asked_at: None,
            };
            return self.call(number, UNWATCHED_MS, Message::Watched(idle));
        }
        // The first answer after a failure or a start is a list.
        let is_list = asked_at.is_none() || delay > 0;
        let wait = if is_list {
            STORE_MS
        } else {
            self.waits[feed.0]
        };
        let asked_at = self.now + delay;
        self.open_watches[number][feed.0] = Some(asked_at);
        let watch = Watch {
            feed,
            asked_at: Some(asked_at),
        };
        self.call(number, delay + wait, Message::Watched(watch));
    }

    /// Returns whether all entry VMs that run have this version of the configuration.
    pub fn has_configuration(&self, version: ObjectVersion) -> bool {
        let has = |control: &EntryControl| control.documents().version(&configuration()) >= version;
        let running = self.controls.iter().zip(&self.runs);
        running
            .filter(|(_, runs)| **runs)
            .all(|(control, _)| has(control))
    }
}

/// Returns the id of the configuration.
pub fn configuration() -> DocumentId {
    DocumentId::new(DocumentKind::Manifest, "dalbit")
}
