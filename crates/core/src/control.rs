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

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::confirmations::{Confirmations, FeedConfirmations, FeedScope};
use crate::document::{DocumentId, DocumentItem, DocumentKind, DocumentStore};
use crate::events::{ControlAction, ControlEvent, MemberEdit};
use crate::host_tracker::HostTracker;
use crate::ids::{EntryName, HostName, ObjectVersion, ServiceId};
use crate::member_rings::MemberRings;
use crate::members::{EntryMonitor, EntryRecord};
use crate::operator_reads::OperatorRead;
use crate::roster::HostRecord;
use crate::timer::{TimerKind, TimerService};
use crate::units::TimePoint;
use crate::unreadable_items::DamagedDocument;
use crate::view::RoutingView;
use crate::view_builder::ViewBuilder;
use crate::watch_stand_in::WatchStandIn;

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
pub(crate) enum ControlJob {
    /// Read, pull or write of one document.
    Document(DocumentId),
    /// Pull of every document that differs from a peer.
    Repair,
}

/// Control plane state of one entry VM.
#[derive(Debug)]
pub struct EntryControl {
    pub(crate) me: EntryRecord,
    pub(crate) seeds: Vec<SocketAddrV4>,
    // Maximum age of passthrough flows, if silent hosts stay listed for it.
    pub(crate) flow_age: Option<Duration>,
    pub(crate) documents: DocumentStore,
    // Documents that the platform has with items that can't be read.
    pub(crate) damaged: BTreeMap<DocumentId, DamagedDocument>,
    pub(crate) timers: TimerService,
    pub(crate) tracker: HostTracker,
    pub(crate) entry_monitor: EntryMonitor,
    pub(crate) progress: BTreeMap<HostName, HostProgress>,
    pub(crate) silent_entries: HashMap<EntryName, TimePoint>,
    // When the members last changed, and with them the registration targets of hosts.
    pub(crate) members_changed_at: TimePoint,
    pub(crate) recent: VecDeque<(DocumentId, ObjectVersion)>,
    pub(crate) jobs: HashMap<ControlJob, TimePoint>,
    pub(crate) view_builder: ViewBuilder,
    pub(crate) rings: MemberRings,
    pub(crate) roster_scan_due: bool,
    // When the rings follow the members documents again after a restore of the store.
    pub(crate) settled_at: Option<TimePoint>,
    // Whether a view was built for which `Publish` has not been returned yet.
    pub(crate) publish_due: bool,
    // What the feeds of this entry VM have confirmed, and the same with what peers told.
    pub(crate) feeds: FeedConfirmations,
    pub(crate) confirmations: Confirmations,
    // Versions of rosters that peers or the platform have named and that are not in force here.
    pub(crate) newer_rosters: BTreeMap<DocumentId, ObjectVersion>,
    // Versions that the platform has listed and that are not in force here.
    pub(crate) listed_versions: BTreeMap<DocumentId, ObjectVersion>,
    // The last read of each document of operators.
    pub(crate) operator_reads: BTreeMap<DocumentId, OperatorRead>,
    // Number of items that were left out of documents of operators, as they can't be read.
    pub(crate) partly_read: BTreeMap<DocumentId, usize>,
    // The same for the view: the last confirmation of documents that it was built from.
    pub(crate) view_confirmed_at: Option<TimePoint>,
    // When this entry VM last had the same versions as a peer or last requested all
    // documents that differ.
    pub(crate) last_in_sync: TimePoint,
    // Time for which the event that is handled has waited.
    pub(crate) event_lag: Duration,
    pub(crate) stand_in: WatchStandIn,
    // `None` until the first `Watch` action: the daemon watches from its start.
    pub(crate) watching: Option<bool>,
    pub(crate) stopping: bool,
    pub(crate) random: StdRng,
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
            damaged: BTreeMap::new(),
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
            feeds: FeedConfirmations::new(&[FeedScope::All]),
            confirmations: Confirmations::default(),
            newer_rosters: BTreeMap::new(),
            listed_versions: BTreeMap::new(),
            operator_reads: BTreeMap::new(),
            partly_read: BTreeMap::new(),
            view_confirmed_at: None,
            last_in_sync: now,
            event_lag: Duration::ZERO,
            stand_in: WatchStandIn::new(now),
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

    /// Sets the feeds by which the platform brings documents. Without it, one feed brings all.
    pub fn with_feeds(mut self, feeds: &[FeedScope]) -> Self {
        self.feeds = FeedConfirmations::new(feeds);
        self
    }

    /// Sets the time within which a change of the operators' documents has to be in force.
    /// Without it, only the watchers of the data centres read the platform.
    pub fn with_change_deadline(mut self, deadline: Duration) -> Self {
        self.stand_in
            .set_change_deadline(deadline, &mut self.random);
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
        self.confirmations.of_all()
    }

    /// Returns the time since the platform last confirmed that the documents of operators are
    /// current.
    pub fn operators_age(&self, now: TimePoint) -> Option<Duration> {
        self.confirmations.operators.map(|at| now.since(at))
    }

    /// Returns when the platform last confirmed that [`Self::view`] is current. While changed
    /// documents wait for the next view, this does not advance. `None` while a newer roster is
    /// known that could not be read yet: it may list hosts that this view lacks.
    pub fn view_confirmed_at(&self) -> Option<TimePoint> {
        self.view_confirmed_at
            .filter(|_| self.newer_rosters.is_empty())
    }

    pub(crate) fn record_named_version(&mut self, id: &DocumentId, version: ObjectVersion) {
        if id.kind == DocumentKind::Roster && version > self.documents.version(id) {
            let newest = self.newer_rosters.entry(id.clone()).or_default();
            *newest = version.max(*newest);
        }
    }

    /// Returns the time since the platform last confirmed that the local documents
    /// are current.
    pub fn confirmation_age(&self, now: TimePoint) -> Option<Duration> {
        self.confirmed_at().map(|at| now.since(at))
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
            self.view_confirmed_at = self.confirmed_at();
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
    pub(crate) fn update_registered(&mut self, now: TimePoint) {
        let registered = self
            .tracker
            .registered_hosts(now)
            .map(|record| (record.name.clone(), record.clone()))
            .collect();
        self.view_builder.set_registered(registered);
    }

    pub(crate) fn members_id(&self) -> DocumentId {
        DocumentId::new(DocumentKind::Members, self.me.datacenter.as_str())
    }

    pub(crate) fn members_write(&self, id: DocumentId, edit: MemberEdit) -> ControlAction {
        let base = self.documents.version(&id);
        ControlAction::WriteMembers(id, base, vec![edit])
    }

    /// Returns the entry VMs of all data centres.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &EntryRecord> {
        self.rings.entries()
    }

    /// Handles an event that arrived earlier, as [`Self::handle`] does. What it says of the time
    /// was true at its arrival, so an entry VM that lags does not take its documents for current.
    pub fn handle_arrived(
        &mut self,
        event: ControlEvent,
        arrived_at: TimePoint,
        now: TimePoint,
    ) -> Vec<ControlAction> {
        self.event_lag = now.since(arrived_at);
        let actions = self.handle(event, now);
        self.event_lag = Duration::ZERO;
        actions
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
                let known_host = self
                    .tracker
                    .record_keep_alive(&name, incarnation, revision, now)
                    .map(|record| (record.service.clone(), record.datacenter.clone()));
                let reply = self.on_keep_alive(name, known_host, manifest, now);
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
                if version >= self.documents.version(&id) {
                    self.damaged.remove(&id);
                    self.partly_read.remove(&id);
                }
                self.replace_document(id, version, items, now, &mut actions);
            }
            ControlEvent::LoadedPartly {
                id,
                version,
                items,
                unreadable,
            } => {
                self.end_job(&id);
                self.on_loaded_partly(id, version, items, &unreadable, now, &mut actions);
            }
            ControlEvent::DocumentRead {
                id,
                stored,
                is_readable,
            } => self.on_document_read(id, stored, is_readable),
            ControlEvent::AllListed {
                scope,
                version,
                listed,
                first_era,
            } => {
                if scope.has_fleet() {
                    self.on_first_era(first_era, version.era(), &listed, &mut actions);
                    self.on_all_listed(version, &listed, now, &mut actions);
                }
                if scope.has_drains() {
                    self.on_drains_listed(version, &listed, now, &mut actions);
                }
                self.forget_unlisted(scope, &listed);
            }
            ControlEvent::VersionsListed { list, confirms } => {
                self.on_listed(list, confirms, now, &mut actions);
            }
            ControlEvent::WriteFinished(id) => {
                self.end_job(&id);
            }
            ControlEvent::StoreAnswered => self.stand_in.record_answer(now),
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

    // Returns whether no read, pull or write of this document is in flight, and if
    // so records one as in flight.
    pub(crate) fn claim_document(&mut self, id: &DocumentId, now: TimePoint) -> bool {
        self.claim_job(ControlJob::Document(id.clone()), now)
    }

    pub(crate) fn claim_job(&mut self, job: ControlJob, now: TimePoint) -> bool {
        let free = self
            .jobs
            .get(&job)
            .is_none_or(|since| now.since(*since) >= JOB_TIMEOUT);
        if free {
            self.jobs.insert(job, now);
        }
        free
    }

    pub(crate) fn end_job(&mut self, id: &DocumentId) {
        self.jobs.remove(&ControlJob::Document(id.clone()));
    }
}

// Returns the record of a host in the roster of its data centre.
pub(crate) fn find_host(documents: &DocumentStore, record: &HostRecord) -> Option<HostRecord> {
    let id = DocumentId::new(DocumentKind::Roster, record.datacenter.as_str());
    match documents.get(&id)?.item(record.name.as_str())? {
        DocumentItem::Host(found) => Some(HostRecord::clone(found)),
        _ => None,
    }
}
