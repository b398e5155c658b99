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
    EntryControl, EntryRecord, Heartbeat, HostState, Incarnation, ObjectVersion, TimePoint,
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
/// Longest wait of a watch, after which the store confirms the documents.
const WATCH_MS: u64 = 2_000;

#[derive(Debug, PartialEq, Eq)]
enum Message {
    Heartbeat(Box<Heartbeat>),
    Pull(usize, Vec<(DocumentId, ObjectVersion)>),
    Patches(Vec<DocumentPatch>),
    // The store answers a watch, or a read by an entry VM that does not watch.
    Watched,
    Probed,
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
    // Which entry VMs run, reach the store and watch it.
    pub runs: Vec<bool>,
    pub reaches_store: Vec<bool>,
    pub watches: Vec<bool>,
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
        Self::of(entries, datacenters, |control| control, 0)
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
        Self::of(entries, datacenters, with_deadline, spread_ms)
    }

    fn of(
        entries: usize,
        datacenters: usize,
        configure: impl Fn(EntryControl) -> EntryControl,
        spread_ms: u64,
    ) -> Self {
        let control = |number| {
            let me = record(number, datacenters);
            let started_at = TimePoint(number as u64 * START_STEP_MS % (spread_ms + 1));
            configure(EntryControl::new(me, Vec::new(), number as u64, started_at))
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
            runs: vec![true; entries],
            reaches_store: vec![true; entries],
            watches: vec![false; entries],
            watch_calls: 0,
            probe_calls: 0,
            failed_calls: 0,
        };
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
        self.configuration = ObjectVersion(self.version);
        for number in 0..self.controls.len() {
            if self.watches[number] && self.reaches_store[number] {
                self.call(number, STORE_MS, Message::Watched);
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

    // Answers a call of the store, which confirms the documents or not.
    fn answer(&mut self, number: usize, stale: bool) {
        if self.configuration > ObjectVersion(0) {
            let service = DocumentItem::Service(Arc::new(super::spec()));
            let event = ControlEvent::Loaded {
                id: configuration(),
                version: self.configuration,
                items: vec![service],
            };
            self.handle(number, event);
        }
        let list = Vec::new();
        self.handle(number, ControlEvent::VersionsListed { list, stale });
    }

    fn handle(&mut self, number: usize, event: ControlEvent) {
        let actions = self.controls[number].handle(event, TimePoint(self.now));
        self.execute(number, actions);
    }

    // Loads the current version of a document from the store.
    fn load(&mut self, number: usize, id: DocumentId, items: Vec<DocumentItem>) {
        let version = ObjectVersion(self.version);
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
        ObjectVersion(self.version)
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
                ControlAction::Watch(watches) => {
                    if watches && !self.watches[number] {
                        self.call(number, STORE_MS, Message::Watched);
                    }
                    self.watches[number] = watches;
                }
                ControlAction::ProbeStore => self.call(number, STORE_MS, Message::Probed),
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
            Message::Watched => return self.on_watched(to),
            Message::Probed if self.reaches_store[to] => {
                self.probe_calls += 1;
                self.answer(to, true);
                ControlEvent::StoreAnswered
            }
            Message::Probed => {
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

    // A watch ends, and the next one begins.
    fn on_watched(&mut self, number: usize) {
        if !self.watches[number] {
            return;
        }
        if self.reaches_store[number] {
            self.watch_calls += 1;
            self.answer(number, false);
        } else {
            self.failed_calls += 1;
        }
        self.call(number, WATCH_MS, Message::Watched);
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
