//! The control thread of an entry VM: passes events to [`EntryControl`] and executes
//! the actions that it returns.

use std::collections::BTreeSet;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use chestnutlb_core::{
    ControlAction, ControlEvent, DatacenterName, DocumentId, EntryControl, HostRecord,
    HostRevision, HostState, Incarnation, MemberEdit, ObjectVersion, RegistrationReply, RosterEdit,
    RoutingView, ServiceId, StoreEra, TimePoint,
};
use chestnutlb_wire::peer::{
    MAX_PEER_DATAGRAM_BYTES, PeerMessage, scan_message, write_message, write_registration_reply,
};

use crate::clock;
use crate::entry_http::EntryShared;
use crate::event_ring::{ArrivedEvent, EventRing};
use crate::logs::LoggedVersion;
use crate::metrics::{Counter, Timing, try_push};
use crate::outdated_span::{OutdatedReport, OutdatedSpan};

/// Longest wait for an event.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Interval at which the control thread publishes its state for the status page.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);

/// Time for which an event has waited from which on a line says so, at most one in this time.
const LAG_LIMIT: Duration = Duration::from_secs(1);

/// Maximum number of services without a route that are logged for one view.
const MAX_LOGGED_UNROUTED: usize = 32;

/// Maximum number of host changes that are logged for one view.
const MAX_LOGGED_HOST_CHANGES: usize = 32;

/// A call to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreJob {
    /// Reads a document.
    Load(DocumentId),
    /// Edits a roster.
    WriteRoster(DocumentId, ObjectVersion, Vec<RosterEdit>),
    /// Edits the members document of a data centre.
    WriteMembers(DocumentId, ObjectVersion, Vec<MemberEdit>),
    /// Removes the items of a document that can't be read.
    RemoveUnreadable(DocumentId, ObjectVersion),
    /// Records the era in which the first roster is written.
    RecordFirstEra(StoreEra),
}

/// A read of all objects of the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeJob;

/// A pull of documents from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullJob {
    /// HTTP address of the peer.
    pub peer: SocketAddrV4,
    /// Documents to pull, each with the version held here. If empty, every document
    /// that differs is pulled.
    pub wanted: Vec<(DocumentId, ObjectVersion)>,
}

/// The sending ends of the rings that the control thread fills.
#[derive(Debug, Clone)]
pub struct ControlRings {
    /// Calls to the platform's store.
    pub store: Sender<StoreJob>,
    /// Reads of the operators' objects.
    pub probes: Sender<ProbeJob>,
    /// Pulls from peers.
    pub pulls: Sender<PullJob>,
    /// Routing views for the packet thread.
    pub views: Sender<Arc<RoutingView>>,
}

/// State of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    control: EntryControl,
    socket: UdpSocket,
    events: Receiver<ArrivedEvent>,
    rings: ControlRings,
    watching: Arc<AtomicBool>,
    shared: Arc<EntryShared>,
    unsent_view: Option<Arc<RoutingView>>,
    // The view up to which changes of hosts are logged.
    logged_view: Arc<RoutingView>,
    // Services without a route as of the last log lines about them.
    logged_unrouted: BTreeSet<ServiceId>,
    published_at: TimePoint,
    outdated: OutdatedSpan,
    lag_logged_at: TimePoint,
}

impl ControlLoop {
    /// Creates the loop; it sends datagrams from `socket`.
    pub fn new(
        control: EntryControl,
        socket: UdpSocket,
        events: Receiver<ArrivedEvent>,
        rings: ControlRings,
        watching: Arc<AtomicBool>,
        shared: Arc<EntryShared>,
    ) -> Self {
        Self {
            control,
            socket,
            events,
            rings,
            watching,
            shared,
            unsent_view: None,
            logged_view: Arc::default(),
            logged_unrouted: BTreeSet::new(),
            published_at: TimePoint::default(),
            outdated: OutdatedSpan::default(),
            lag_logged_at: TimePoint::default(),
        }
    }

    /// Runs until every sender of events is gone.
    pub fn run(mut self) {
        loop {
            let now = clock::now();
            while let Some(timer) = self.control.poll_timer(now) {
                self.handle(ControlEvent::Tick(timer));
            }
            if let Some(action) = self.control.poll_view(clock::now()) {
                self.execute(action);
            }
            self.send_view();
            let wait = self
                .control
                .next_due()
                .map_or(MAX_WAIT, |due| due.since(clock::now()).min(MAX_WAIT));
            match self.events.recv_timeout(wait) {
                Ok(arrived) => self.handle_arrived(arrived),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            self.report_outdated(now);
            self.shared
                .publish_confirmation(self.control.view(), self.control.view_confirmed_at());
            if now.since(self.published_at) >= PUBLISH_PERIOD {
                self.published_at = now;
                self.shared.publish_snapshot(&self.control);
            }
        }
    }

    // Counts each second in which operators' documents are outdated, and logs the first, some of the
    // others and the end.
    fn report_outdated(&mut self, now: TimePoint) {
        match self.outdated.update(self.control.is_outdated(), now) {
            OutdatedReport::None => {}
            OutdatedReport::Second { logged, lasts } => {
                self.shared.counters.add(Counter::OutdatedSeconds);
                if logged {
                    self.log_outdated(lasts);
                }
            }
            OutdatedReport::Ended { lasted } => {
                log::info!(target: "document", lasted_ms = lasted.as_millis() as u64; "current again");
            }
        }
    }

    fn log_outdated(&self, lasts: Duration) {
        let documents: Vec<_> = self
            .control
            .unreadable_documents()
            .map(ToString::to_string)
            .collect();
        log::warn!(
            target: "document",
            documents = documents.join(" ").as_str(), lasts_ms = lasts.as_millis() as u64;
            "outdated, the platform has one that can't be read"
        );
    }

    // Logs which services have hosts and no route, and which of those have one again or no hosts.
    // Their hosts may own flows all the while. Before a manifest is known, no service has a route.
    fn log_unrouted_services(&mut self, view: &RoutingView) {
        let is_unrouted = view.unrouted_services() > 0;
        let has_manifest = view.ids().next().is_some();
        if !has_manifest || (!is_unrouted && self.logged_unrouted.is_empty()) {
            return;
        }
        let ids = view.service_hosts().map(|service| service.id());
        let unrouted: BTreeSet<ServiceId> = ids
            .filter(|id| view.service(id).is_none())
            .cloned()
            .collect();
        let changes = unrouted.symmetric_difference(&self.logged_unrouted);
        for id in changes.take(MAX_LOGGED_UNROUTED) {
            let hosts = view.hosts_of(id).map_or(0, |service| service.hosts().len());
            log::info!(
                target: "placement",
                service:% = id, routed = view.service(id).is_some(), hosts = hosts;
                "hosts kept as owners"
            );
        }
        self.logged_unrouted = unrouted;
    }

    // Handles an event of the ring, which may have waited there.
    fn handle_arrived(&mut self, arrived: ArrivedEvent) {
        let now = clock::now();
        let lag = now.since(arrived.arrived_at);
        self.shared.counters.record_timing(Timing::EventLag, lag);
        if lag >= LAG_LIMIT && now.since(self.lag_logged_at) >= LAG_LIMIT {
            self.lag_logged_at = now;
            log::warn!(
                target: "process",
                lag_ms = lag.as_millis() as u64, waiting = self.events.len();
                "lagging"
            );
        }
        let actions = self
            .control
            .handle_arrived(arrived.event, arrived.arrived_at, now);
        for action in actions {
            self.execute(action);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        for action in self.control.handle(event, clock::now()) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: ControlAction) {
        let counters = &self.shared.counters;
        match action {
            ControlAction::Heartbeat(target, heartbeat) => {
                self.send(target, &PeerMessage::Heartbeat((&heartbeat).into()));
            }
            ControlAction::ReplyToHost(target, reply) => {
                self.reply_to_host(target, &reply);
            }
            ControlAction::Pull(peer, wanted) => {
                try_push(&self.rings.pulls, PullJob { peer, wanted }, counters);
            }
            ControlAction::Load(id) => {
                try_push(&self.rings.store, StoreJob::Load(id), counters);
            }
            ControlAction::WriteRoster(id, base, edits) => {
                for edit in &edits {
                    log_roster_edit(edit);
                }
                try_push(
                    &self.rings.store,
                    StoreJob::WriteRoster(id, base, edits),
                    counters,
                );
            }
            ControlAction::WriteMembers(id, base, edits) => {
                for edit in &edits {
                    match edit {
                        MemberEdit::Put(entry) => {
                            log::info!(target: "members", entry:% = entry.name; "put");
                        }
                        MemberEdit::Remove(entry) => {
                            log::info!(target: "members", entry:% = entry.name; "remove");
                        }
                    }
                }
                try_push(
                    &self.rings.store,
                    StoreJob::WriteMembers(id, base, edits),
                    counters,
                );
            }
            ControlAction::RemoveUnreadable(id, base) => {
                log::warn!(target: "platform", document:% = id; "unreadable items removed");
                try_push(
                    &self.rings.store,
                    StoreJob::RemoveUnreadable(id, base),
                    counters,
                );
            }
            ControlAction::RecordFirstEra(era) => {
                try_push(&self.rings.store, StoreJob::RecordFirstEra(era), counters);
            }
            ControlAction::ProbeStore => {
                log::info!(
                    target: "platform",
                    age_ms = self.operators_age_ms(), watching = self.control.is_watching();
                    "unconfirmed, reading"
                );
                counters.add(Counter::StoreProbes);
                try_push(&self.rings.probes, ProbeJob, counters);
            }
            ControlAction::Watch(enabled) => self.watching.store(enabled, Ordering::Relaxed),
            ControlAction::Publish => {
                let view = Arc::clone(self.control.view());
                log_host_changes(&view, &self.logged_view);
                log_drains(&view, &self.logged_view);
                self.logged_view = Arc::clone(&view);
                self.log_unrouted_services(&view);
                self.shared.publish_view(&view, self.control.documents());
                self.unsent_view = Some(view);
                self.send_view();
            }
            ControlAction::OutdatedHostDropped(host) => {
                log::info!(target: "members", host:% = host; "outdated record dropped");
            }
            ControlAction::InForce(id, version) => {
                let version = LoggedVersion::from(version);
                log::info!(target: "document", document:% = id, version = version; "in force");
                self.shared.publish_documents(self.control.documents());
            }
        }
    }

    // Returns the time since the platform confirmed operators' documents, in milliseconds.
    fn operators_age_ms(&self) -> Option<u64> {
        let age = self.control.operators_age(clock::now())?;
        Some(age.as_millis() as u64)
    }

    // Sends the newest view. If the ring is full, keeps it for the next attempt: the
    // packet thread must not miss the newest view.
    fn send_view(&mut self) {
        if let Some(view) = self.unsent_view.take()
            && let Err(error) = self.rings.views.try_send(view)
        {
            self.unsent_view = Some(error.into_inner());
        }
    }

    fn reply_to_host(&self, target: SocketAddrV4, reply: &RegistrationReply) {
        let datagram = write_registration_reply(reply);
        self.shared
            .counters
            .add_many(Counter::PeerTargetsDropped, datagram.dropped_targets as u64);
        self.send_bytes(target, &datagram.bytes);
    }

    fn send(&self, target: SocketAddrV4, message: &PeerMessage) {
        self.send_bytes(target, &write_message(message));
    }

    fn send_bytes(&self, target: SocketAddrV4, bytes: &[u8]) {
        let counters = &self.shared.counters;
        // A lost datagram is not retransmitted: the next heartbeat replaces it.
        if self.socket.send_to(bytes, target).is_ok() {
            counters.add(Counter::PeerOut);
            counters.add_many(Counter::PeerBytesOut, bytes.len() as u64);
        }
    }
}

// Logs which hosts the view gained, lost or has in another state, and how many such changes
// have no line of their own.
fn log_host_changes(view: &RoutingView, old: &RoutingView) {
    let changes = view.host_changes(old);
    for change in changes.iter().take(MAX_LOGGED_HOST_CHANGES) {
        log::info!(
            target: "host",
            host:% = change.name, packets:% = change.packets, listed = change.is_listed,
            from = state_name(change.before).as_str(), state = state_name(change.after).as_str(),
            generation = LoggedVersion::from(view.generation);
            "in view"
        );
    }
    if let Some(unlogged) = changes.len().checked_sub(MAX_LOGGED_HOST_CHANGES)
        && unlogged > 0
    {
        log::info!(target: "host", changes = unlogged, generation = LoggedVersion::from(view.generation); "more in view");
    }
}

// Logs which data centres are drained if that has changed.
fn log_drains(view: &RoutingView, old: &RoutingView) {
    if view.drained != old.drained {
        let names: Vec<&str> = view.drained.iter().map(DatacenterName::as_str).collect();
        log::info!(target: "placement", drained = names.join(" ").as_str(); "drains in view");
    }
}

fn state_name(state: Option<HostState>) -> String {
    state.map_or_else(|| "none".to_owned(), |state| state.to_string())
}

fn log_roster_edit(edit: &RosterEdit) {
    match edit {
        RosterEdit::Put(record) => {
            log::info!(
                target: "placement",
                host:% = record.name, service:% = record.service, state:% = record.state;
                "put"
            );
        }
        RosterEdit::Remove(record) => {
            log::info!(target: "placement", host:% = record.name; "remove");
        }
    }
}

/// Runs the thread that receives datagrams from peers and hosts.
pub fn receive_peers(socket: &UdpSocket, events: &EventRing, shared: &EntryShared) {
    let counters = &shared.counters;
    let mut datagram = [0; MAX_PEER_DATAGRAM_BYTES + 1];
    loop {
        let Ok((len, std::net::SocketAddr::V4(from))) = socket.recv_from(&mut datagram) else {
            continue;
        };
        counters.add(Counter::PeerIn);
        counters.add_many(Counter::PeerBytesIn, len as u64);
        match read_event(&datagram[..len], from) {
            Some(event) => {
                events.push(event);
            }
            None => {
                counters.add(Counter::PeerBad);
                log::info!(target: "peer", from:% = from, bytes = len; "malformed");
            }
        }
    }
}

// Returns the event that a datagram stands for, or `None` if it is malformed.
fn read_event(datagram: &[u8], from: SocketAddrV4) -> Option<ControlEvent> {
    if datagram.len() > MAX_PEER_DATAGRAM_BYTES {
        return None;
    }
    match scan_message(datagram).ok()? {
        PeerMessage::Announce(registration) => {
            let record = HostRecord::try_from(&registration.host).ok()?;
            Some(ControlEvent::HostRegistered {
                record,
                revision: HostRevision(registration.revision),
                manifest: registration.manifest.into(),
                from,
            })
        }
        PeerMessage::Alive(keep_alive) => Some(ControlEvent::HostKeepAlive {
            name: keep_alive.name.parse().ok()?,
            incarnation: Incarnation(keep_alive.incarnation),
            revision: HostRevision(keep_alive.revision),
            manifest: keep_alive.manifest.into(),
            from,
        }),
        PeerMessage::Heartbeat(heartbeat) => Some(ControlEvent::HeartbeatReceived(
            (&heartbeat).try_into().ok()?,
        )),
        PeerMessage::Welcome(_) => None,
    }
}
