//! Control plane of an entry VM: handles host registrations, writes rosters,
//! propagates documents and monitors neighbouring entry VMs.
//!
//! [`EntryControl`] takes events together with the current time and returns
//! actions. A received document replaces the local one only if its version is
//! higher, regardless of the sender, so no document reverts. A store that is restored from
//! an older copy begins a new era, whose versions are higher: what its rosters and members
//! lack is written again by the entry VMs that know it. A change is
//! gossiped immediately to a few random peers, which pull the documents they
//! lack and gossip in turn. Heartbeats carry a hash of all versions, by which a
//! peer detects missing updates and pulls them.

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
use crate::host_tracker::{
    GONE_AFTER, HostRevision, HostTracker, LAST_FLOW_DELAY, RosterEdit, SUSPECT_AFTER,
};
use crate::ids::{DatacenterName, EntryName, HostName, ObjectVersion, ServiceId, StoreEra};
use crate::manifest::ServiceKind;
use crate::member_rings::MemberRings;
use crate::members::{EntryMonitor, EntryRecord, RANK_DELAY, TRACKERS_PER_HOST};
use crate::roster::HostRecord;
use crate::timer::{TimerKind, TimerService};
use crate::units::TimePoint;
use crate::view::{RosterCoverage, RoutingView};
use crate::view_builder::ViewBuilder;

/// Number of random peers that each change is gossiped to immediately.
pub const GOSSIP_FANOUT: usize = 4;

/// Number of them in other data centres, if the own one has enough entry VMs. Each entry VM
/// gossips each change, so a few copies cross to every data centre, and most stay near.
pub const FAR_GOSSIP: usize = 1;

/// Number of recently changed documents listed in a heartbeat.
pub const RECENT_LIMIT: usize = 8;

/// Interval between heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Interval between batched roster writes and between liveness checks.
pub const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// Interval between checks of this entry VM's own member entry and for roster
/// hosts that it has to track.
pub const REPAIR_PERIOD: Duration = Duration::from_millis(1000);

/// Time without a peer of equal versions after which all differing documents are
/// pulled. The list in a heartbeat is not sufficient, because later changes can
/// displace a document from it.
pub const REPAIR_AFTER: Duration = Duration::from_millis(1500);

/// Time after which an unanswered read, pull or write may be retried.
pub const JOB_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which duties stay with the entry VMs that have them after the store was restored
/// from an older copy, which lists other members. In this time the running entry VMs add
/// themselves again.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum time since the last confirmation by the platform for which the
/// documents of an entry VM count as fresh.
pub const FRESH_AGE: Duration = Duration::from_secs(5);

/// Longest maximum age of passthrough flows for which silent hosts stay listed until no flow of
/// theirs can live. Longer ones would fill the rosters with hosts that have failed.
pub const MAX_LISTED_FLOW_AGE: Duration = Duration::from_secs(60);

/// Manifest version that a host has in force, from its last registration or
/// keep-alive at this entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostProgress {
    /// The service of the host.
    pub service: ServiceId,
    /// Version of the manifest that the host has in force.
    pub manifest: ObjectVersion,
    /// When the host last reported this version.
    pub last_seen: TimePoint,
    /// When its last full registration was received here, which was answered with its
    /// registration targets.
    pub registered_at: TimePoint,
}

/// A read, pull or write in flight to the platform or a peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ControlJob {
    /// Read, pull or write of one document.
    Document(DocumentId),
    /// Pull of every document that differs from a peer.
    Repair,
}

/// Control plane state of one entry VM.
#[derive(Debug)]
pub struct EntryControl {
    me: EntryRecord,
    seeds: Vec<SocketAddrV4>,
    // Maximum age of passthrough flows, if silent hosts stay listed for it.
    flow_age: Option<Duration>,
    documents: DocumentStore,
    timers: TimerService,
    tracker: HostTracker,
    entry_monitor: EntryMonitor,
    progress: BTreeMap<HostName, HostProgress>,
    silent_entries: HashMap<EntryName, TimePoint>,
    // When the members last changed, and with them the registration targets of hosts.
    members_changed_at: TimePoint,
    recent: VecDeque<(DocumentId, ObjectVersion)>,
    jobs: HashMap<ControlJob, TimePoint>,
    view_builder: ViewBuilder,
    rings: MemberRings,
    roster_scan_due: bool,
    // When the rings follow the members documents again after a restore of the store.
    settled_at: Option<TimePoint>,
    // Whether a view was built for which `Publish` has not been returned yet.
    publish_due: bool,
    // When the platform last confirmed that the documents are current.
    confirmed_at: Option<TimePoint>,
    // Versions of rosters that peers or the platform have named and that are not in force here.
    newer_rosters: BTreeMap<DocumentId, ObjectVersion>,
    // The same for the view: the last confirmation of documents that it was built from.
    view_confirmed_at: Option<TimePoint>,
    // When this entry VM last had the same versions as a peer or last requested all
    // documents that differ.
    last_in_sync: TimePoint,
    // `None` until the first `Watch` action: the daemon watches from its start.
    watching: Option<bool>,
    stopping: bool,
    random: StdRng,
}

impl EntryControl {
    /// Creates the control plane of the entry VM `me`. `seeds` are addresses of other
    /// entry VMs; `seed` initializes the random choice of peers.
    pub fn new(me: EntryRecord, seeds: Vec<SocketAddrV4>, seed: u64, now: TimePoint) -> Self {
        let mut timers = TimerService::default();
        timers.subscribe(TimerKind::Heartbeat, HEARTBEAT_PERIOD, now);
        timers.subscribe(TimerKind::Batch, BATCH_PERIOD, now);
        timers.subscribe(TimerKind::Repair, REPAIR_PERIOD, now);
        timers.subscribe(TimerKind::Liveness, BATCH_PERIOD, now);
        Self {
            rings: MemberRings::new(me.clone()),
            me,
            seeds,
            flow_age: None,
            documents: DocumentStore::default(),
            timers,
            tracker: HostTracker::default(),
            entry_monitor: EntryMonitor::default(),
            progress: BTreeMap::new(),
            silent_entries: HashMap::new(),
            members_changed_at: now,
            recent: VecDeque::new(),
            jobs: HashMap::new(),
            view_builder: ViewBuilder::default(),
            roster_scan_due: false,
            settled_at: None,
            publish_due: false,
            confirmed_at: None,
            newer_rosters: BTreeMap::new(),
            view_confirmed_at: None,
            last_in_sync: now,
            watching: None,
            stopping: false,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the maximum age of passthrough flows. Unless it exceeds [`MAX_LISTED_FLOW_AGE`],
    /// rosters name every live host that may own such flows: a silent host stays listed until no
    /// flow of it can live.
    pub fn with_flow_age(mut self, flow_age: Duration) -> Self {
        self.flow_age = Some(flow_age).filter(|age| *age <= MAX_LISTED_FLOW_AGE);
        self
    }

    /// Returns the documents held by this entry VM.
    pub fn documents(&self) -> &DocumentStore {
        &self.documents
    }

    /// Returns the hosts that register at this entry VM, with the manifest version
    /// that each has in force.
    pub fn host_progress(&self) -> impl Iterator<Item = (&HostName, &HostProgress)> {
        self.progress.iter()
    }

    /// Returns whether this entry VM watches the platform for changes.
    pub fn is_watching(&self) -> bool {
        self.watching.unwrap_or(true)
    }

    /// Returns when the platform last confirmed that the local documents are current.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.confirmed_at
    }

    /// Returns when the platform last confirmed that [`Self::view`] is current. While changed
    /// documents wait for the next view, this does not advance. `None` while a newer roster is
    /// known that could not be read yet: it may list hosts that this view lacks.
    pub fn view_confirmed_at(&self) -> Option<TimePoint> {
        self.view_confirmed_at
            .filter(|_| self.newer_rosters.is_empty())
    }

    fn record_named_version(&mut self, id: &DocumentId, version: ObjectVersion) {
        if id.kind == DocumentKind::Roster && version > self.documents.version(id) {
            let newest = self.newer_rosters.entry(id.clone()).or_default();
            *newest = version.max(*newest);
        }
    }

    /// Returns the time since the platform last confirmed that the local documents
    /// are current.
    pub fn confirmation_age(&self, now: TimePoint) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns when the next [`ControlEvent::Tick`] or call of
    /// [`EntryControl::poll_view`] is due.
    pub fn next_due(&self) -> Option<TimePoint> {
        let due = [self.timers.next_due(), self.view_builder.next_due()];
        due.into_iter().flatten().min()
    }

    /// Rebuilds the view if a rebuild is due. Returns [`ControlAction::Publish`] if
    /// a view was built since it was last returned.
    pub fn poll_view(&mut self, now: TimePoint) -> Option<ControlAction> {
        self.publish_due |= self.view_builder.poll(&self.documents, now);
        if self.view_builder.next_due().is_none() {
            self.view_confirmed_at = self.confirmed_at;
        }
        std::mem::take(&mut self.publish_due).then_some(ControlAction::Publish)
    }

    /// Returns the next timer that is due at `now`.
    pub fn poll_timer(&mut self, now: TimePoint) -> Option<TimerKind> {
        self.timers.poll(now)
    }

    /// Returns the view that packets are routed by. It is built from the documents,
    /// the host records registered here and the hosts suspected by this entry VM.
    pub fn view(&self) -> &Arc<RoutingView> {
        self.view_builder.view()
    }

    // Passes the records registered here to the view builder.
    fn update_registered(&mut self, now: TimePoint) {
        let registered = self
            .tracker
            .registered_hosts(now)
            .map(|record| (record.name.clone(), record.clone()))
            .collect();
        self.view_builder.set_registered(registered);
    }

    fn members_id(&self) -> DocumentId {
        DocumentId::new(DocumentKind::Members, self.me.datacenter.as_str())
    }

    fn members_write(&self, id: DocumentId, edit: MemberEdit) -> ControlAction {
        let base = self.documents.version(&id);
        ControlAction::WriteMembers(id, base, vec![edit])
    }

    /// Returns the entry VMs of all data centres.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.rings.entries()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: ControlEvent, now: TimePoint) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        match event {
            ControlEvent::HostRegistered {
                record,
                revision,
                manifest,
                from,
            } => {
                let reply = self.on_registration(record, revision, manifest, now);
                actions.push(ControlAction::ReplyToHost(from, reply));
            }
            ControlEvent::HostKeepAlive {
                name,
                incarnation,
                revision,
                manifest,
                from,
            } => {
                let known_service = self
                    .tracker
                    .record_keep_alive(&name, incarnation, revision, now)
                    .map(|record| record.service.clone());
                let reply = self.on_keep_alive(name, known_service, manifest, now);
                actions.push(ControlAction::ReplyToHost(from, reply));
            }
            ControlEvent::HeartbeatReceived(heartbeat) => {
                self.on_heartbeat(heartbeat, now, &mut actions)
            }
            ControlEvent::Pulled(patches) => {
                for patch in patches {
                    let id = patch.id.clone();
                    let before = self.documents.version(&id);
                    if let Some(changes) = self.documents.apply(patch) {
                        self.on_changed(id, before, &changes, now, &mut actions);
                    }
                }
            }
            ControlEvent::PullFailed(wanted) => {
                // The next heartbeat may start a pull from another peer immediately.
                if wanted.is_empty() {
                    self.jobs.remove(&ControlJob::Repair);
                }
                for id in &wanted {
                    self.end_job(id);
                }
            }
            ControlEvent::Loaded { id, version, items } => {
                self.end_job(&id);
                self.replace_document(id, version, items, now, &mut actions);
            }
            ControlEvent::AllListed {
                version,
                listed,
                first_era,
            } => {
                self.on_first_era(first_era, version.era(), &listed, &mut actions);
                self.on_all_listed(version, &listed, now, &mut actions);
            }
            ControlEvent::VersionsListed { list, stale } => {
                self.on_listed(list, stale, now, &mut actions);
            }
            ControlEvent::WriteFinished(id) => {
                self.end_job(&id);
            }
            ControlEvent::Tick(kind) => self.on_tick(kind, now, &mut actions),
            ControlEvent::SeedsChanged(seeds) => self.seeds = seeds,
            ControlEvent::Stop => {
                self.stopping = true;
                let edit = MemberEdit::Remove(self.me.clone());
                actions.push(self.members_write(self.members_id(), edit));
            }
        }
        actions.extend(self.poll_view(now));
        actions
    }

    fn on_registration(
        &mut self,
        record: HostRecord,
        revision: HostRevision,
        manifest: ObjectVersion,
        now: TimePoint,
    ) -> RegistrationReply {
        let registration_targets = self.rings.registration_targets(&record);
        let rank = registration_targets
            .iter()
            .take(TRACKERS_PER_HOST)
            .position(|entry| entry.name == self.me.name);
        // A host that has not received its trackers yet is tracked with the lowest
        // rank by every entry VM that it registers at.
        let rank = rank.unwrap_or(TRACKERS_PER_HOST) as u32;
        if record.state == HostState::Gone {
            self.progress.remove(&record.name);
        } else {
            let progress = HostProgress {
                service: record.service.clone(),
                manifest,
                last_seen: now,
                registered_at: now,
            };
            self.progress.insert(record.name.clone(), progress);
        }
        let service = record.service.clone();
        self.tracker
            .record_registration(record, revision, rank, now);
        self.update_registered(now);
        // An urgent rebuild precedes the reply, so that its slice hash covers this
        // change: hosts that need each other's records fetch them without delay.
        let built = self.view_builder.poll(&self.documents, now);
        self.publish_due |= built;
        RegistrationReply {
            targets: registration_targets,
            resend: false,
            ..self.reply_for_service(&service, now)
        }
    }

    fn on_keep_alive(
        &mut self,
        name: HostName,
        known_service: Option<ServiceId>,
        manifest: ObjectVersion,
        now: TimePoint,
    ) -> RegistrationReply {
        let registered_at = self
            .progress
            .get(&name)
            .map(|progress| progress.registered_at);
        if let Some(service) = known_service {
            let has_current_targets = registered_at.is_some_and(|at| at >= self.members_changed_at);
            let progress = HostProgress {
                service: service.clone(),
                manifest,
                last_seen: now,
                registered_at: registered_at.unwrap_or_default(),
            };
            self.progress.insert(name, progress);
            if has_current_targets {
                return self.reply_for_service(&service, now);
            }
        }
        RegistrationReply {
            targets: Vec::new(),
            slice_hash: 0,
            fresh: false,
            resend: true,
        }
    }

    fn reply_for_service(&self, service: &ServiceId, now: TimePoint) -> RegistrationReply {
        RegistrationReply {
            targets: Vec::new(),
            slice_hash: self
                .view()
                .service(service)
                .map_or(0, |view| view.slice_hash),
            fresh: self
                .confirmation_age(now)
                .is_some_and(|age| age < FRESH_AGE),
            resend: false,
        }
    }

    fn on_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        if heartbeat.entry.name == self.me.name {
            return;
        }
        self.entry_monitor
            .record_heartbeat(heartbeat.entry.name.clone(), now);
        self.silent_entries.remove(&heartbeat.entry.name);
        if heartbeat.summary == self.documents.summary() {
            self.last_in_sync = now;
            let confirmed = TimePoint(now.0.saturating_sub(heartbeat.age.as_millis() as u64));
            self.confirmed_at = self.confirmed_at.max(Some(confirmed));
            return;
        }
        for (id, version) in &heartbeat.recent {
            self.record_named_version(id, *version);
        }
        self.pull_newer(&heartbeat, now, actions);
        if !self.rings.contains(&heartbeat.entry.name) {
            // The sender may have just started and have no members document yet.
            actions.push(ControlAction::Heartbeat(
                heartbeat.entry.peers,
                self.heartbeat(now),
            ));
        }
    }

    // Pulls the newer documents listed in the heartbeat, or all differing ones if
    // none of the listed is newer or the versions have differed for REPAIR_AFTER.
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
            .filter(|(_, version, own_version)| version > own_version)
            .map(|(id, _, own_version)| (id, own_version))
            .collect();
        let repair_due = now.since(self.last_in_sync) >= REPAIR_AFTER;
        if newer.is_empty() || repair_due {
            if self.claim_job(ControlJob::Repair, now) {
                self.last_in_sync = now;
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

    // Returns whether no read, pull or write of this document is in flight, and if
    // so records one as in flight.
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
        let mut up_to_date = !stale;
        for (id, version) in list {
            up_to_date &= version >= self.documents.version(&id);
            self.record_named_version(&id, version);
            if version > self.documents.version(&id) {
                up_to_date = false;
                if self.claim_document(&id, now) {
                    actions.push(ControlAction::Load(id));
                }
            }
        }
        if up_to_date {
            // The first view of all documents replaces that of the first roster.
            if self.confirmed_at.is_none() {
                self.view_builder.expedite();
            }
            self.confirmed_at = Some(now);
        }
    }

    // The rosters name every possible owner of a passthrough flow as long as the store was never
    // restored: a silent host stays listed until no flow of it can live, and a host in no roster
    // gets no flows in a large fleet.
    fn on_first_era(
        &mut self,
        first_era: Option<StoreEra>,
        era: StoreEra,
        listed: &[DocumentId],
        actions: &mut Vec<ControlAction>,
    ) {
        let is_roster = |id: &DocumentId| id.kind == DocumentKind::Roster;
        let has_rosters =
            listed.iter().any(is_roster) || self.documents.iter().any(|(id, _)| is_roster(id));
        // Rosters without a first era were written by an earlier release, or after a restore.
        if first_era.is_none() && !has_rosters {
            actions.push(ControlAction::RecordFirstEra(era));
        }
        self.view_builder.set_roster_coverage(
            if first_era == Some(era) && self.flow_age.is_some() {
                RosterCoverage::AllOwners
            } else {
                RosterCoverage::Unknown
            },
        );
    }

    // Replaces the documents of an earlier era that a list of all rosters and members lacks by
    // empty ones: the copy that the store was restored from is older than them.
    fn on_all_listed(
        &mut self,
        version: ObjectVersion,
        listed: &[DocumentId],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let is_lost = |id: &DocumentId| {
            matches!(id.kind, DocumentKind::Roster | DocumentKind::Members) && !listed.contains(id)
        };
        let held = self.documents.iter();
        let lost: Vec<DocumentId> = held
            .filter(|(id, document)| is_lost(id) && document.version().era() < version.era())
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.replace_document(id, version.absent(), Vec::new(), now, actions);
        }
    }

    fn replace_document(
        &mut self,
        id: DocumentId,
        version: ObjectVersion,
        items: Vec<DocumentItem>,
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        let before = self.documents.version(&id);
        if let Some(changes) = self.documents.replace(&id, version, items) {
            self.on_changed(id, before, &changes, now, actions);
        }
    }

    fn on_changed(
        &mut self,
        id: DocumentId,
        before: ObjectVersion,
        changes: &[ItemChange],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        self.end_job(&id);
        self.jobs.remove(&ControlJob::Repair);
        let version = self.documents.version(&id);
        self.newer_rosters
            .retain(|newer_id, newer| *newer_id != id || *newer > version);
        let is_restored = before != ObjectVersion(0) && before.era() != version.era();
        match id.kind {
            DocumentKind::Members => {
                if is_restored {
                    self.settled_at = Some(now + RESTORE_SETTLE_TIME);
                }
                self.update_member_rings(now);
            }
            DocumentKind::Roster if is_restored => {
                self.view_builder
                    .set_roster_coverage(RosterCoverage::Unknown);
                self.track_restored_roster(&id, now);
                self.roster_scan_due = true;
            }
            DocumentKind::Roster => {
                self.track_roster(&id, changes, now, actions);
                self.roster_scan_due = true;
            }
            DocumentKind::Grants | DocumentKind::Manifest => {}
        }
        if id.kind != DocumentKind::Members {
            self.view_builder
                .apply_changes(&id, changes, &self.documents);
        }
        self.recent.retain(|(recent_id, _)| *recent_id != id);
        self.recent.push_front((id.clone(), version));
        self.recent.truncate(RECENT_LIMIT);
        actions.push(ControlAction::InForce(id.clone(), version));
        let heartbeat = self.heartbeat_at_change(id, version);
        for peer in self.random_peers() {
            actions.push(ControlAction::Heartbeat(peer.peers, heartbeat.clone()));
        }
    }

    fn track_roster(
        &mut self,
        id: &DocumentId,
        changes: &[ItemChange],
        now: TimePoint,
        actions: &mut Vec<ControlAction>,
    ) {
        for change in changes {
            if let (Some(DocumentItem::Host(record)), None) = (&change.old, &change.new)
                && self.tracker.record_removal(&record.name, now)
            {
                actions.push(ControlAction::OutdatedHostDropped(record.name.clone()));
            }
        }
        let documents = &self.documents;
        self.tracker
            .record_roster(&id.name, |record| find_host(documents, record));
        self.update_registered(now);
    }

    fn track_restored_roster(&mut self, id: &DocumentId, now: TimePoint) {
        let documents = &self.documents;
        let listed = |record: &HostRecord| find_host(documents, record);
        self.tracker.record_restored_roster(&id.name, listed, now);
        self.update_registered(now);
    }

    // Rebuilds the rings from the members documents, unless these are to be completed after a
    // restore of the store.
    fn update_member_rings(&mut self, now: TimePoint) {
        if self.settled_at.is_some_and(|settled_at| now < settled_at) {
            return;
        }
        self.settled_at = None;
        self.members_changed_at = now;
        self.rings
            .rebuild(self.documents.items(DocumentKind::Members));
        self.view_builder
            .set_registration_reach(self.rings.registration_reach());
        let rings = &self.rings;
        self.tracker
            .reassign(|record| rings.tracker_rank(record), now);
        self.roster_scan_due = true;
    }

    fn random_peers(&mut self) -> Vec<EntryRecord> {
        let random = &mut self.random;
        let near_count = GOSSIP_FANOUT - FAR_GOSSIP;
        let mut peers = self.rings.near_peers().choose_multiple(random, near_count);
        let far_count = GOSSIP_FANOUT - peers.len();
        peers.extend(self.rings.far_peers().choose_multiple(random, far_count));
        peers.into_iter().cloned().collect()
    }

    fn heartbeat(&self, now: TimePoint) -> Heartbeat {
        Heartbeat {
            entry: self.me.clone(),
            summary: self.documents.summary(),
            age: self.confirmation_age(now).unwrap_or(Duration::MAX),
            recent: self.recent.iter().cloned().collect(),
        }
    }

    // Returns the heartbeat that gossips one change. Its maximal age keeps receivers
    // from taking it as a confirmation by the platform.
    fn heartbeat_at_change(&self, id: DocumentId, version: ObjectVersion) -> Heartbeat {
        Heartbeat {
            entry: self.me.clone(),
            summary: self.documents.summary(),
            age: Duration::MAX,
            recent: vec![(id, version)],
        }
    }

    fn on_tick(&mut self, kind: TimerKind, now: TimePoint, actions: &mut Vec<ControlAction>) {
        match kind {
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
            .rings
            .successors()
            .into_iter()
            .map(|entry| entry.peers)
            .collect();
        if targets.is_empty() || self.confirmed_at.is_none() {
            targets.extend(self.seeds.iter().copied());
        } else if !self.seeds.is_empty() {
            // A random seed in each round lets partitioned groups of entry VMs find
            // each other again.
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
        let flow_age = self.flow_age;
        let gone_after = |record: &HostRecord| match flow_age {
            Some(flow_age) if may_own_passthrough_flows(documents, record) => {
                flow_age + LAST_FLOW_DELAY
            }
            _ => GONE_AFTER,
        };
        let edits = self.tracker.edits(current, gone_after, now);
        self.update_registered(now);
        let mut suspects = BTreeMap::new();
        let mut rosters: BTreeMap<DatacenterName, Vec<RosterEdit>> = BTreeMap::new();
        for edit in edits {
            let record = edit.record();
            let is_removal = matches!(edit, RosterEdit::Remove(_));
            if is_removal || record.state == HostState::Suspect {
                suspects.insert(record.name.clone(), record.service.clone());
            }
            let datacenter = record.datacenter.clone();
            rosters.entry(datacenter).or_default().push(edit);
        }
        self.view_builder.set_suspects(suspects);
        for (datacenter, edits) in rosters {
            let id = DocumentId::new(DocumentKind::Roster, datacenter.as_str());
            if !self.stopping && self.claim_document(&id, now) {
                let base = self.documents.version(&id);
                actions.push(ControlAction::WriteRoster(id, base, edits));
            }
        }
    }

    fn check_liveness(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        if self.settled_at.is_some() {
            self.update_member_rings(now);
        }
        self.progress
            .retain(|_, progress| now.since(progress.last_seen) < SUSPECT_AFTER * 5);
        let watching = !self.stopping && self.rings.is_watcher();
        if self.watching != Some(watching) {
            self.watching = Some(watching);
            actions.push(ControlAction::Watch(watching));
        }
        let watched: Vec<EntryRecord> = self.rings.predecessors().into_iter().cloned().collect();
        let names: Vec<_> = watched.iter().map(|entry| entry.name.clone()).collect();
        let silent = self.entry_monitor.silent(&names, now);
        self.silent_entries.retain(|name, _| silent.contains(name));
        for (rank, entry) in watched.into_iter().enumerate() {
            if !silent.contains(&entry.name) {
                continue;
            }
            let since = *self.silent_entries.entry(entry.name.clone()).or_insert(now);
            let id = DocumentId::new(DocumentKind::Members, entry.datacenter.as_str());
            if now.since(since) >= RANK_DELAY * rank as u32 && self.claim_document(&id, now) {
                actions.push(self.members_write(id, MemberEdit::Remove(entry)));
            }
        }
    }

    fn repair(&mut self, now: TimePoint, actions: &mut Vec<ControlAction>) {
        if self.stopping {
            return;
        }
        let members = self.members_id();
        // A restart with unchanged addresses needs no write of the members document.
        let document = self.documents.get(&members);
        let own_item = document.and_then(|document| document.item(self.me.name.as_str()));
        let is_listed = own_item.is_some_and(|item| match item {
            DocumentItem::Entry(entry) => {
                (entry.peers, entry.status) == (self.me.peers, self.me.status)
            }
            _ => false,
        });
        if !is_listed && self.claim_document(&members, now) {
            let edit = MemberEdit::Put(self.me.clone());
            actions.push(self.members_write(members, edit));
        }
        if std::mem::take(&mut self.roster_scan_due) {
            self.track_roster_hosts(now);
        }
    }

    // Starts to track the roster hosts for which this entry VM is a tracker, including
    // those that have not registered here since this process started.
    fn track_roster_hosts(&mut self, now: TimePoint) {
        let rosters = self
            .documents
            .iter()
            .filter(|(id, _)| id.kind == DocumentKind::Roster);
        for (id, document) in rosters {
            let may_track = id
                .name
                .parse()
                .is_ok_and(|datacenter| self.rings.may_track(&datacenter));
            if !may_track {
                continue;
            }
            for item in document.items() {
                if let DocumentItem::Host(record) = item
                    && let Some(rank) = self.rings.tracker_rank(record)
                {
                    self.tracker.track_from_roster(record, rank, now);
                }
            }
        }
    }
}

// The host of a service that no manifest has may own flows too.
fn may_own_passthrough_flows(documents: &DocumentStore, record: &HostRecord) -> bool {
    let service = documents.service(&record.service);
    service.is_none_or(|(spec, _)| spec.kind == ServiceKind::Passthrough)
}

fn find_host(documents: &DocumentStore, record: &HostRecord) -> Option<HostRecord> {
    let id = DocumentId::new(DocumentKind::Roster, record.datacenter.as_str());
    match documents.get(&id)?.item(record.name.as_str())? {
        DocumentItem::Host(found) => Some(HostRecord::clone(found)),
        _ => None,
    }
}
