//! What an entry VM does for control: takes announcements, keeps rosters,
//! spreads documents and watches its neighbours.
//!
//! Events and the time go in, actions come out. Every document is taken only
//! if its version is higher than the one at hand, whoever sends it, so nothing
//! ever reverts. A change is pushed at once to a few random peers, which pull
//! what they lack and push in turn; heartbeats carry a hash of all versions,
//! by which gaps are found and repaired.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::chart::HostState;
use crate::document::{DocumentId, DocumentItem, DocumentKind, DocumentStore, ItemChange};
use crate::events::{ControlAction, ControlEvent, Heartbeat, MemberEdit, RegistrationReply};
use crate::host_tracker::{HostRevision, HostTracker, RosterEdit, SUSPECT_AFTER};
use crate::ids::{DatacenterName, EntryName, HostName, ObjectVersion, ServiceId};
use crate::members::{EntryMonitor, EntryRecord, MemberRing, RANK_DELAY, TRACKERS_PER_HOST};
use crate::roster::HostRecord;
use crate::timer::{TimerKind, TimerService};
use crate::units::TimePoint;
use crate::view::RoutingView;
use crate::view_builder::ViewBuilder;

/// Peers that are told of a change at once.
pub const GOSSIP_FANOUT: usize = 4;

/// Changed documents that a heartbeat names.
pub const RECENT_LIMIT: usize = 8;

/// Time between heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time between looks at what to write.
pub const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// Time between looks at what is missing.
pub const REPAIR_PERIOD: Duration = Duration::from_millis(1000);

/// A difference from every peer that lasts for this time is repaired by a pull of
/// all that differs: what heartbeats name may be crowded out by later changes.
pub const REPAIR_AFTER: Duration = Duration::from_millis(1500);

/// Time after which an unanswered pull or write may be tried again.
pub const JOB_TIMEOUT: Duration = Duration::from_secs(3);

/// What an entry VM knows counts as fresh if the platform confirmed it within
/// this time.
pub const FRESH_AGE: Duration = Duration::from_secs(5);

/// How far the hosts that announce themselves here are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostProgress {
    /// The service.
    pub service: ServiceId,
    /// Version of the manifest that the host has in force.
    pub manifest: ObjectVersion,
    /// When it said so.
    pub heard: TimePoint,
}

/// What was asked of the platform or a peer and is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ControlJob {
    /// One document.
    Document(DocumentId),
    /// Whatever differs from a peer.
    Repair,
}

/// The control part of an entry VM.
#[derive(Debug)]
pub struct EntryControl {
    me: EntryRecord,
    seeds: Vec<SocketAddrV4>,
    documents: DocumentStore,
    timers: TimerService,
    tracker: HostTracker,
    watch: EntryMonitor,
    progress: BTreeMap<HostName, HostProgress>,
    silent_entries: HashMap<EntryName, TimePoint>,
    recent: VecDeque<(DocumentId, ObjectVersion)>,
    jobs: HashMap<ControlJob, TimePoint>,
    views: ViewBuilder,
    all: MemberRing,
    rings: BTreeMap<DatacenterName, MemberRing>,
    adopt_due: bool,
    // Whether a view was built that was not published yet.
    publish_due: bool,
    confirmed: Option<TimePoint>,
    // When this entry VM last knew all that a peer knew, or asked for it.
    level: TimePoint,
    watching: bool,
    stopping: bool,
    random: StdRng,
}

impl EntryControl {
    /// The control part of `me`; `seeds` are addresses of other entry VMs.
    pub fn new(me: EntryRecord, seeds: Vec<SocketAddrV4>, seed: u64, now: TimePoint) -> Self {
        let mut timers = TimerService::default();
        timers.subscribe(TimerKind::Heartbeat, HEARTBEAT_PERIOD, now);
        timers.subscribe(TimerKind::Batch, BATCH_PERIOD, now);
        timers.subscribe(TimerKind::Repair, REPAIR_PERIOD, now);
        timers.subscribe(TimerKind::Liveness, BATCH_PERIOD, now);
        Self {
            me,
            seeds,
            documents: DocumentStore::default(),
            timers,
            tracker: HostTracker::default(),
            watch: EntryMonitor::default(),
            progress: BTreeMap::new(),
            silent_entries: HashMap::new(),
            recent: VecDeque::new(),
            jobs: HashMap::new(),
            views: ViewBuilder::default(),
            all: MemberRing::default(),
            rings: BTreeMap::new(),
            adopt_due: false,
            publish_due: false,
            confirmed: None,
            level: now,
            watching: false,
            stopping: false,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The documents.
    pub fn documents(&self) -> &DocumentStore {
        &self.documents
    }

    /// How far the hosts are that announce themselves here.
    pub fn progress(&self) -> impl Iterator<Item = (&HostName, &HostProgress)> {
        self.progress.iter()
    }

    /// Whether this entry VM watches the platform.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// When the platform last confirmed what is known here.
    pub fn confirmed(&self) -> Option<TimePoint> {
        self.confirmed
    }

    /// Time since the platform confirmed what is known here.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// When [`ControlEvent::Tick`] or [`EntryControl::poll_view`] is due next.
    pub fn next_due(&self) -> Option<TimePoint> {
        let due = [self.timers.next_due(), self.views.next_due()];
        due.into_iter().flatten().min()
    }

    /// Builds the view anew if that is due.
    pub fn poll_view(&mut self, now: TimePoint) -> Option<ControlAction> {
        self.publish_due |= self.views.poll(&self.documents, now);
        std::mem::take(&mut self.publish_due).then_some(ControlAction::Publish)
    }

    /// The next timer that is due.
    pub fn poll_timer(&mut self, now: TimePoint) -> Option<TimerKind> {
        self.timers.poll(now)
    }

    /// The view that packets are routed by: rosters, with the suspicions of
    /// this entry VM on top.
    pub fn view(&self) -> &Arc<RoutingView> {
        self.views.view()
    }

    // Takes over what hosts said of themselves into the view.
    fn update_registered(&mut self, now: TimePoint) {
        let heard = self
            .tracker
            .live_hosts(now)
            .map(|record| (record.name.clone(), record.clone()))
            .collect();
        self.views.set_registered(heard);
    }

    fn members_id(&self) -> DocumentId {
        DocumentId::new(DocumentKind::Members, self.me.datacenter.as_str())
    }

    /// All entry VMs that are known.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.all.entries()
    }

    fn rebuild_rings(&mut self) {
        let entries = scan_entries(self.documents.items(DocumentKind::Members));
        let mut groups: BTreeMap<DatacenterName, Vec<EntryRecord>> = BTreeMap::new();
        for entry in &entries {
            groups
                .entry(entry.datacenter.clone())
                .or_default()
                .push(entry.clone());
        }
        self.rings = groups
            .into_iter()
            .map(|(datacenter, entries)| (datacenter, MemberRing::new(entries)))
            .collect();
        self.all = MemberRing::new(entries);
    }

    /// Handles an event.
    pub fn handle(&mut self, event: ControlEvent, now: TimePoint) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        match event {
            ControlEvent::HostRegistered {
                record,
                revision,
                manifest,
                from,
            } => {
                let reply = self.on_announced(record, revision, manifest, now);
                actions.push(ControlAction::ReplyToHost(from, reply));
            }
            ControlEvent::HostKeepAlive {
                name,
                incarnation,
                revision,
                manifest,
                from,
            } => {
                let known = self
                    .tracker
                    .record_keep_alive(&name, incarnation, revision, now)
                    .map(|record| record.service.clone());
                let reply = self.on_alive(name, known, manifest, now);
                actions.push(ControlAction::ReplyToHost(from, reply));
            }
            ControlEvent::HeartbeatReceived(heartbeat) => {
                self.on_heard(heartbeat, now, &mut actions)
            }
            ControlEvent::Pulled(patches) => {
                for patch in patches {
                    let id = patch.id.clone();
                    if let Some(changes) = self.documents.get_mut(&id).apply(patch) {
                        self.on_changed(id, &changes, now, &mut actions);
                    }
                }
            }
            ControlEvent::PullFailed(wanted) => {
                // The next heartbeat may ask another peer at once.
                if wanted.is_empty() {
                    self.jobs.remove(&ControlJob::Repair);
                }
                for id in &wanted {
                    self.end_job(id);
                }
            }
            ControlEvent::Loaded { id, version, items } => {
                self.end_job(&id);
                if let Some(changes) = self.documents.get_mut(&id).replace(version, items) {
                    self.on_changed(id, &changes, now, &mut actions);
                }
            }
            ControlEvent::Listed { list, stale } => {
                self.on_listed(list, stale, now, &mut actions);
            }
            ControlEvent::Wrote(id) => {
                self.end_job(&id);
            }
            ControlEvent::Tick(part) => self.on_tick(part, now, &mut actions),
            ControlEvent::Seeds(seeds) => self.seeds = seeds,
            ControlEvent::Stop => {
                self.stopping = true;
                let edit = MemberEdit::Remove(self.me.clone());
                actions.push(ControlAction::WriteMembers(self.members_id(), vec![edit]));
            }
        }
        actions.extend(self.poll_view(now));
        actions
    }

    fn reassign_hosts(&mut self, now: TimePoint) {
        let (all, rings, me) = (&self.all, &self.rings, &self.me.name);
        let none = MemberRing::default();
        self.tracker.reassign(
            |record| {
                let ring = rings.get(&record.datacenter).unwrap_or(&none);
                let trackers = ring.trackers(&record.name, all);
                let rank = trackers.iter().position(|tracker| tracker.name == *me);
                rank.map(|rank| rank as u32)
            },
            now,
        );
    }

    fn on_announced(
        &mut self,
        record: HostRecord,
        revision: HostRevision,
        manifest: ObjectVersion,
        now: TimePoint,
    ) -> RegistrationReply {
        let chosen = self.registration_targets_of(&record);
        let rank = chosen
            .iter()
            .take(TRACKERS_PER_HOST)
            .position(|entry| entry.name == self.me.name);
        // A host that doesn't know its keepers yet is looked after by all.
        let rank = rank.unwrap_or(TRACKERS_PER_HOST) as u32;
        if record.state == HostState::Gone {
            self.progress.remove(&record.name);
        } else {
            self.note_progress(record.name.clone(), record.service.clone(), manifest, now);
        }
        let service = record.service.clone();
        self.tracker
            .record_registration(record, revision, rank, now);
        self.update_registered(now);
        // Hosts that need to know each other learn at once what this one changed.
        let built = self.views.poll(&self.documents, now);
        self.publish_due |= built;
        RegistrationReply {
            trackers: chosen,
            resend: false,
            ..self.welcome(&service, now)
        }
    }

    fn on_alive(
        &mut self,
        name: HostName,
        known: Option<ServiceId>,
        manifest: ObjectVersion,
        now: TimePoint,
    ) -> RegistrationReply {
        match known {
            Some(service) => {
                let reply = self.welcome(&service, now);
                self.note_progress(name, service, manifest, now);
                reply
            }
            None => RegistrationReply {
                trackers: Vec::new(),
                slice: 0,
                fresh: false,
                resend: true,
            },
        }
    }

    fn welcome(&self, service: &ServiceId, now: TimePoint) -> RegistrationReply {
        RegistrationReply {
            trackers: Vec::new(),
            slice: self.view().service(service).map_or(0, |view| view.slice),
            fresh: self.age(now).is_some_and(|age| age < FRESH_AGE),
            resend: false,
        }
    }

    fn note_progress(
        &mut self,
        name: HostName,
        service: ServiceId,
        manifest: ObjectVersion,
        now: TimePoint,
    ) {
        let progress = HostProgress {
            service,
            manifest,
            heard: now,
        };
        self.progress.insert(name, progress);
    }

    // The entry VMs that a host announces itself to, its keepers first; this one
    // if none is known.
    fn registration_targets_of(&self, record: &HostRecord) -> Vec<EntryRecord> {
        let registration_targets = match self.rings.get(&record.datacenter) {
            Some(ring) => ring.registration_targets(&record.name, &self.all),
            None => self.all.registration_targets(&record.name, &self.all),
        };
        if registration_targets.is_empty() {
            vec![self.me.clone()]
        } else {
            registration_targets.into_iter().cloned().collect()
        }
    }

    fn on_heard(&mut self, heartbeat: Heartbeat, now: TimePoint, actions: &mut Vec<ControlAction>) {
        if heartbeat.entry.name == self.me.name {
            return;
        }
        self.watch
            .record_heartbeat(heartbeat.entry.name.clone(), now);
        self.silent_entries.remove(&heartbeat.entry.name);
        if heartbeat.summary == self.documents.summary() {
            self.level = now;
            let confirmed = TimePoint(now.0.saturating_sub(heartbeat.age.as_millis() as u64));
            self.confirmed = self.confirmed.max(Some(confirmed));
            return;
        }
        self.pull_newer(&heartbeat, now, actions);
        if self.all.find(&heartbeat.entry.name).is_none() {
            // It may be new and know nobody else.
            actions.push(ControlAction::Heartbeat(
                heartbeat.entry.peers,
                self.heartbeat(now),
            ));
        }
    }

    // Pulls what the heartbeat names, or everything that differs if it names
    // nothing new or the difference has lasted.
    fn pull_newer(
        &mut self,
        heartbeat: &Heartbeat,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let newer: Vec<_> = heartbeat
            .recent
            .iter()
            .map(|(id, version)| (id.clone(), *version, self.documents.version(id)))
            .filter(|(_, version, own)| version > own)
            .map(|(id, _, own)| (id, own))
            .collect();
        let lasting = now.since(self.level) >= REPAIR_AFTER;
        if newer.is_empty() || lasting {
            if self.claim_job(ControlJob::Repair, now) {
                self.level = now;
                actions.push(ControlAction::Pull(heartbeat.entry.status, Vec::new()));
            }
            return;
        }
        let wanted: Vec<_> = newer
            .into_iter()
            .filter(|(id, _)| self.claim_document(id, now))
            .collect();
        if !wanted.is_empty() {
            actions.push(ControlAction::Pull(heartbeat.entry.status, wanted));
        }
    }

    // Whether nobody works on this document; if so it is claimed.
    fn claim_document(&mut self, id: &DocumentId, now: TimePoint) -> bool {
        self.claim_job(ControlJob::Document(id.clone()), now)
    }

    fn claim_job(&mut self, job: ControlJob, now: TimePoint) -> bool {
        let free = self
            .jobs
            .get(&job)
            .is_none_or(|since| now.since(*since) >= JOB_TIMEOUT);
        if free {
            self.jobs.insert(job, now);
        }
        free
    }

    fn end_job(&mut self, id: &DocumentId) {
        self.jobs.remove(&ControlJob::Document(id.clone()));
    }

    fn on_listed(
        &mut self,
        list: Vec<(DocumentId, ObjectVersion)>,
        stale: bool,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut complete = !stale;
        for (id, version) in list {
            complete &= version >= self.documents.version(&id);
            if version > self.documents.version(&id) {
                complete = false;
                if self.claim_document(&id, now) {
                    actions.push(ControlAction::Load(id));
                }
            }
        }
        if complete {
            self.confirmed = Some(now);
        }
    }

    fn on_changed(
        &mut self,
        id: DocumentId,
        changes: &[ItemChange],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        self.end_job(&id);
        self.jobs.remove(&ControlJob::Repair);
        let version = self.documents.version(&id);
        match id.kind {
            DocumentKind::Members => {
                self.rebuild_rings();
                self.reassign_hosts(now);
                self.adopt_due = true;
            }
            DocumentKind::Roster => self.adopt_due = true,
            DocumentKind::Grants | DocumentKind::Manifest => {}
        }
        if id.kind != DocumentKind::Members {
            self.views.take_changes(&id, changes, &self.documents);
        }
        self.recent.retain(|(known, _)| *known != id);
        self.recent.push_front((id.clone(), version));
        self.recent.truncate(RECENT_LIMIT);
        actions.push(ControlAction::InForce(id.clone(), version));
        let heartbeat = self.heartbeat_at_change(id, version);
        for peer in self.random_peers() {
            actions.push(ControlAction::Heartbeat(peer.peers, heartbeat.clone()));
        }
    }

    fn random_peers(&mut self) -> Vec<EntryRecord> {
        let me = &self.me.name;
        let peers = self.all.entries().filter(|entry| entry.name != *me);
        peers
            .choose_multiple(&mut self.random, GOSSIP_FANOUT)
            .into_iter()
            .cloned()
            .collect()
    }

    fn heartbeat(&self, now: TimePoint) -> Heartbeat {
        Heartbeat {
            entry: self.me.clone(),
            summary: self.documents.summary(),
            age: self.age(now).unwrap_or(Duration::MAX),
            recent: self.recent.iter().cloned().collect(),
        }
    }

    // A push names just the change and confirms nothing.
    fn heartbeat_at_change(&self, id: DocumentId, version: ObjectVersion) -> Heartbeat {
        Heartbeat {
            entry: self.me.clone(),
            summary: self.documents.summary(),
            age: Duration::MAX,
            recent: vec![(id, version)],
        }
    }

    fn on_tick(&mut self, part: TimerKind, now: TimePoint, actions: &mut Vec<ControlAction>) {
        match part {
            TimerKind::Heartbeat => self.send_heartbeats(now, actions),
            TimerKind::Batch => self.write_roster(now, actions),
            TimerKind::Liveness => self.check_liveness(now, actions),
            TimerKind::Repair => self.repair(now, actions),
            _ => {}
        }
    }

    fn send_heartbeats(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        let heartbeat = self.heartbeat(now);
        let mut targets: Vec<_> = self
            .all
            .successors(&self.me.name)
            .into_iter()
            .map(|entry| entry.peers)
            .collect();
        if targets.is_empty() || self.confirmed.is_none() {
            targets.extend(self.seeds.iter().copied());
        } else if !self.seeds.is_empty() {
            // Now and then a seed, so that parts which lost each other meet.
            let seed = self.random.random_range(0..self.seeds.len());
            targets.push(self.seeds[seed]);
        }
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.me.peers);
        for target in targets {
            actions.push(ControlAction::Heartbeat(target, heartbeat.clone()));
        }
    }

    fn write_roster(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        let documents = &self.documents;
        let current = |record: &HostRecord| find_host(documents, record);
        let edits = self.tracker.edits(current, now);
        self.update_registered(now);
        let mut suspects = BTreeMap::new();
        let mut rosters: BTreeMap<DatacenterName, Vec<RosterEdit>> = BTreeMap::new();
        for edit in edits {
            let record = edit.record();
            let goes = matches!(edit, RosterEdit::Remove(_));
            if goes || record.state == HostState::Suspect {
                suspects.insert(record.name.clone(), record.service.clone());
            }
            let datacenter = record.datacenter.clone();
            rosters.entry(datacenter).or_default().push(edit);
        }
        self.views.set_suspects(suspects);
        for (datacenter, edits) in rosters {
            let id = DocumentId::new(DocumentKind::Roster, datacenter.as_str());
            if !self.stopping && self.claim_document(&id, now) {
                actions.push(ControlAction::WriteRoster(id, edits));
            }
        }
    }

    fn check_liveness(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        self.progress
            .retain(|_, progress| now.since(progress.heard) < SUSPECT_AFTER * 5);
        let watching = !self.stopping && self.is_watcher();
        if watching != self.watching {
            self.watching = watching;
            actions.push(ControlAction::Watch(watching));
        }
        let watched: Vec<EntryRecord> = self
            .all
            .predecessors(&self.me.name)
            .into_iter()
            .cloned()
            .collect();
        let names: Vec<_> = watched.iter().map(|entry| entry.name.clone()).collect();
        let silent = self.watch.silent(&names, now);
        self.silent_entries.retain(|name, _| silent.contains(name));
        for (rank, entry) in watched.into_iter().enumerate() {
            if !silent.contains(&entry.name) {
                continue;
            }
            let since = *self.silent_entries.entry(entry.name.clone()).or_insert(now);
            let id = DocumentId::new(DocumentKind::Members, entry.datacenter.as_str());
            if now.since(since) >= RANK_DELAY * rank as u32 && self.claim_document(&id, now) {
                let edit = MemberEdit::Remove(entry);
                actions.push(ControlAction::WriteMembers(id, vec![edit]));
            }
        }
    }

    fn is_watcher(&self) -> bool {
        let here = &self.me.datacenter;
        self.rings
            .get(here)
            .is_none_or(|ring| ring.is_watcher(&self.me.name, here))
    }

    fn repair(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        if self.stopping {
            return;
        }
        let members = self.members_id();
        // A restart in place changes nothing for the others.
        let listed = self
            .all
            .find(&self.me.name)
            .is_some_and(|known| (known.peers, known.status) == (self.me.peers, self.me.status));
        if !listed && self.claim_document(&members, now) {
            let edit = MemberEdit::Put(self.me.clone());
            actions.push(ControlAction::WriteMembers(members, vec![edit]));
        }
        if std::mem::take(&mut self.adopt_due) {
            self.adopt_hosts(now);
        }
    }

    // Takes on the hosts that fall to this entry VM, also those that were never
    // heard since this process started.
    fn adopt_hosts(&mut self, now: TimePoint) {
        let rosters = self
            .documents
            .iter()
            .filter(|(id, _)| id.kind == DocumentKind::Roster);
        for (id, document) in rosters {
            let ring = self
                .rings
                .iter()
                .find(|(datacenter, _)| datacenter.as_str() == id.name)
                .map(|(_, ring)| ring.clone())
                .unwrap_or_default();
            if ring.is_self_sufficient() && self.me.datacenter.as_str() != id.name {
                continue;
            }
            for item in document.items() {
                let DocumentItem::Host(record) = item else {
                    continue;
                };
                let trackers = ring.trackers(&record.name, &self.all);
                if let Some(rank) = trackers
                    .iter()
                    .position(|tracker| tracker.name == self.me.name)
                {
                    self.tracker.adopt(record, rank as u32, now);
                }
            }
        }
    }
}

fn scan_entries<'a>(items: impl Iterator<Item = &'a DocumentItem>) -> Vec<EntryRecord> {
    items
        .filter_map(|item| match item {
            DocumentItem::Entry(record) => Some(record.clone()),
            _ => None,
        })
        .collect()
}

fn find_host(documents: &DocumentStore, record: &HostRecord) -> Option<HostRecord> {
    let id = DocumentId::new(DocumentKind::Roster, record.datacenter.as_str());
    match documents.get(&id)?.item(record.name.as_str())? {
        DocumentItem::Host(found) => Some(HostRecord::clone(found)),
        _ => None,
    }
}
