//! The HTTP server of an entry VM: status and health for operators, documents for
//! peers, service slices for side processes.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use rocket::data::Data;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};

use chestnutlb_core::control::FRESH_AGE;
use chestnutlb_core::view::ViewHost;
use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, DocumentStore, EntryControl, EntryRecord, RoutingView,
    ServiceId, TimePoint,
};
use chestnutlb_wire::peer::{PullQuery, ServiceSlice, wire_versions, write_message};
use chestnutlb_wire::status::{EntryStatus, HostStatus};

use crate::clock;
use crate::entry_explain::explain;
use crate::entry_store::pull_reply;
use crate::flow_questions::FlowQuestions;
use crate::http::read_query;
use crate::metrics::CounterSet;

/// State of the control thread for the status page.
#[derive(Debug, Default)]
struct ControlSnapshot {
    watching: bool,
    confirmed_at: Option<TimePoint>,
    is_outdated: bool,
    // Documents of operators that can't be read, and those with items that can't be.
    unreadable: Vec<CompactString>,
    partly_read: Vec<CompactString>,
    hosts: Vec<HostStatus>,
}

/// A view with the time of its last confirmation by the platform.
#[derive(Debug)]
struct ConfirmedView {
    view: Arc<RoutingView>,
    confirmed_at: TimePoint,
}

/// State shared by the threads of an entry VM. Documents, view and control snapshot
/// are each replaced as a whole.
#[derive(Debug)]
pub struct EntryShared {
    /// Counters and timings of the process.
    pub counters: Arc<CounterSet>,
    /// Whether the process has received a stop signal.
    pub stopping: AtomicBool,
    own_record: EntryRecord,
    documents: RwLock<Arc<DocumentStore>>,
    view: RwLock<Arc<RoutingView>>,
    control_snapshot: RwLock<Arc<ControlSnapshot>>,
    // The newest view, if it was confirmed.
    confirmed_view: RwLock<Arc<Option<ConfirmedView>>>,
}

fn read<T>(lock: &RwLock<Arc<T>>) -> Arc<T> {
    Arc::clone(&lock.read().unwrap_or_else(PoisonError::into_inner))
}

fn replace<T>(lock: &RwLock<Arc<T>>, value: Arc<T>) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl EntryShared {
    /// Creates the state of a process that has just started: no documents, no view.
    pub fn new(own_record: EntryRecord, counters: Arc<CounterSet>) -> Self {
        Self {
            counters,
            stopping: AtomicBool::new(false),
            own_record,
            documents: RwLock::default(),
            view: RwLock::default(),
            control_snapshot: RwLock::default(),
            confirmed_view: RwLock::default(),
        }
    }

    /// Returns the documents in force.
    pub fn documents(&self) -> Arc<DocumentStore> {
        read(&self.documents)
    }

    /// Replaces the documents.
    pub fn publish_documents(&self, documents: &DocumentStore) {
        replace(&self.documents, Arc::new(documents.clone()));
    }

    /// Replaces the view, and the documents from which it was built.
    pub fn publish_view(&self, view: &Arc<RoutingView>, documents: &DocumentStore) {
        self.publish_documents(documents);
        replace(&self.view, Arc::clone(view));
    }

    /// Records when the platform last confirmed that a view is current.
    pub fn publish_confirmation(&self, view: &Arc<RoutingView>, confirmed_at: Option<TimePoint>) {
        let confirmed = confirmed_at.map(|confirmed_at| ConfirmedView {
            view: Arc::clone(view),
            confirmed_at,
        });
        replace(&self.confirmed_view, Arc::new(confirmed));
    }

    /// Returns the time since the platform confirmed this view, or `None` if it is not the
    /// newest one or was never confirmed.
    pub fn view_age(&self, view: &Arc<RoutingView>, now: TimePoint) -> Option<Duration> {
        let confirmed = read(&self.confirmed_view);
        let confirmed = confirmed.as_ref().as_ref()?;
        Arc::ptr_eq(&confirmed.view, view).then(|| now.since(confirmed.confirmed_at))
    }

    /// Returns whether this is the newest view, and the platform confirmed it within
    /// [`FRESH_AGE`].
    pub fn is_fresh(&self, view: &Arc<RoutingView>, now: TimePoint) -> bool {
        self.view_age(view, now).is_some_and(|age| age < FRESH_AGE)
    }

    /// Replaces the snapshot of the control thread's state.
    pub fn publish_snapshot(&self, control: &EntryControl) {
        let hosts = control.host_progress().map(|(name, progress)| HostStatus {
            name: name.to_compact_string(),
            service: progress.service.to_compact_string(),
            manifest: progress.manifest.into(),
        });
        let control_snapshot = ControlSnapshot {
            watching: control.is_watching(),
            confirmed_at: control.confirmed_at(),
            is_outdated: control.is_outdated(),
            unreadable: control
                .unreadable_documents()
                .map(ToCompactString::to_compact_string)
                .collect(),
            partly_read: control
                .partly_read_documents()
                .map(|(id, items)| format_compact!("{id}: {items}"))
                .collect(),
            hosts: hosts.collect(),
        };
        replace(&self.control_snapshot, Arc::new(control_snapshot));
    }

    /// Returns the view in force.
    pub fn view(&self) -> Arc<RoutingView> {
        read(&self.view)
    }

    // Returns why no packets should be sent here, if so. Where there are several manifests, one that
    // can't be read keeps the others in use.
    fn unready_cause(&self) -> Option<&'static str> {
        let documents = self.documents();
        let is_manifest = |id: &DocumentId| id.kind == DocumentKind::Manifest;
        let manifests = documents.iter().filter(|(id, _)| is_manifest(id)).count();
        if self.stopping.load(Ordering::Relaxed) {
            Some("stopping")
        } else if read(&self.control_snapshot).is_outdated && manifests <= 1 {
            Some("the platform has a document of operators that can't be read")
        } else if read(&self.view).ids().next().is_none() {
            Some("no service is known")
        } else {
            None
        }
    }

    // Built per request instead of kept current: the members alone may be thousands.
    fn status(&self) -> EntryStatus {
        let documents = self.documents();
        let control_snapshot = read(&self.control_snapshot);
        let entries = documents.items(DocumentKind::Members);
        EntryStatus {
            name: self.own_record.name.to_compact_string(),
            datacenter: self.own_record.datacenter.to_compact_string(),
            stopping: self.stopping.load(Ordering::Relaxed),
            watching: control_snapshot.watching,
            age_ms: control_snapshot
                .confirmed_at
                .map(|confirmed_at| clock::now().since(confirmed_at).as_millis() as u64),
            documents: wire_versions(&documents.digest()),
            outdated: control_snapshot.is_outdated,
            unreadable: control_snapshot.unreadable.clone(),
            partly_read: control_snapshot.partly_read.clone(),
            drained: documents
                .drained_datacenters()
                .map(ToCompactString::to_compact_string)
                .collect(),
            entries: entries
                .filter_map(|item| match item {
                    DocumentItem::Entry(record) => Some(record.into()),
                    _ => None,
                })
                .collect(),
            hosts: control_snapshot.hosts.clone(),
            counters: self.counters.snapshot(),
        }
    }
}

fn health_status(is_healthy: bool) -> Status {
    if is_healthy {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

#[get("/health")]
fn health(shared: &State<Arc<EntryShared>>) -> Status {
    health_status(!shared.stopping.load(Ordering::Relaxed))
}

// Returns 200 while the entry VM can forward packets as operators want it: it has the view of at
// least one service, its manifest is not outdated and it is not stopping. The text says why not.
#[get("/ready")]
fn ready(shared: &State<Arc<EntryShared>>) -> (Status, &'static str) {
    match shared.unready_cause() {
        Some(cause) => (Status::ServiceUnavailable, cause),
        None => (Status::Ok, ""),
    }
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<EntryShared>>) -> String {
    shared.counters.text()
}

#[get("/v1/status")]
fn status(shared: &State<Arc<EntryShared>>) -> Json<EntryStatus> {
    Json(shared.status())
}

#[post("/peer/pull", data = "<body>")]
async fn pull(shared: &State<Arc<EntryShared>>, body: Data<'_>) -> Result<Vec<u8>, Status> {
    let query: PullQuery = read_query(body, &shared.counters).await?;
    let reply = pull_reply(shared, &query).ok_or(Status::BadRequest)?;
    Ok(write_message(&reply))
}

#[get("/peer/slice/<firm>/<service>")]
fn slice(shared: &State<Arc<EntryShared>>, firm: &str, service: &str) -> Result<Vec<u8>, Status> {
    let id: ServiceId = format!("{firm}/{service}")
        .parse()
        .map_err(|_| Status::BadRequest)?;
    let view = read(&shared.view);
    let documents = shared.documents();
    let manifest = documents.version(&DocumentId::new(DocumentKind::Manifest, firm));
    let service = view.service(&id);
    let slice = ServiceSlice {
        manifest: manifest.into(),
        slice: service.map_or(0, |service| service.slice_hash),
        service: service.map(|service| service.spec.as_ref().into()),
        hosts: service.map_or_else(Vec::new, |service| {
            let records = service.hosts().iter().map(ViewHost::shared_record);
            records.map(|record| (&record).into()).collect()
        }),
    };
    Ok(write_message(&slice))
}

/// Returns the HTTP server of an entry VM.
pub fn server(
    shared: Arc<EntryShared>,
    questions: FlowQuestions,
    address: SocketAddrV4,
) -> Rocket<Build> {
    let server = crate::http::server(address).manage(shared);
    server.manage(questions).mount(
        "/",
        routes![health, ready, metrics, status, explain, pull, slice],
    )
}
