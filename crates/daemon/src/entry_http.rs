//! What an entry VM answers over HTTP: status and health for operators,
//! documents for peers, slices for side processes.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use compact_str::ToCompactString;
use rocket::data::Data;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};

use chestnutlb_core::control::FRESH_AGE;
use chestnutlb_core::entry::EntryRouter;
use chestnutlb_core::view::ViewHost;
use chestnutlb_core::{
    DocumentId, DocumentItem, DocumentKind, DocumentStore, EntryControl, EntryRecord, FlowKey,
    RouteDecision, RoutingView, ServiceId, TcpSegment, TimePoint,
};
use chestnutlb_wire::peer::{PullQuery, ServiceSlice, wire_versions, write_message};
use chestnutlb_wire::status::{EntryStatus, FlowExplanation, HopExplanation, HostStatus};

use crate::clock;
use crate::entry_store::answer_pull;
use crate::http::read_query;
use crate::metrics::CounterSet;

/// What the control thread tells of itself.
#[derive(Debug, Default)]
struct ControlFacts {
    watching: bool,
    confirmed: Option<TimePoint>,
    hosts: Vec<HostStatus>,
}

/// What the threads of an entry VM share. Each part is replaced as a whole.
#[derive(Debug)]
pub struct EntryShared {
    /// What is counted.
    pub counters: Arc<CounterSet>,
    /// Whether the process was asked to stop.
    pub stopping: AtomicBool,
    me: EntryRecord,
    documents: RwLock<Arc<DocumentStore>>,
    view: RwLock<Arc<RoutingView>>,
    facts: RwLock<Arc<ControlFacts>>,
}

fn read<T>(lock: &RwLock<Arc<T>>) -> Arc<T> {
    Arc::clone(&lock.read().unwrap_or_else(PoisonError::into_inner))
}

fn replace<T>(lock: &RwLock<Arc<T>>, value: Arc<T>) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl EntryShared {
    /// What is shared when the process starts.
    pub fn new(me: EntryRecord, counters: Arc<CounterSet>) -> Self {
        Self {
            counters,
            stopping: AtomicBool::new(false),
            me,
            documents: RwLock::default(),
            view: RwLock::default(),
            facts: RwLock::default(),
        }
    }

    /// The documents in force.
    pub fn documents(&self) -> Arc<DocumentStore> {
        read(&self.documents)
    }

    /// Replaces the documents.
    pub fn publish_documents(&self, documents: &DocumentStore) {
        replace(&self.documents, Arc::new(documents.clone()));
    }

    /// Replaces the view and the documents that it was built from.
    pub fn publish_view(&self, view: &Arc<RoutingView>, documents: &DocumentStore) {
        self.publish_documents(documents);
        replace(&self.view, Arc::clone(view));
    }

    /// Whether the platform confirmed lately what is known here.
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        let confirmed = read(&self.facts).confirmed;
        confirmed.is_some_and(|at| now.since(at) < FRESH_AGE)
    }

    /// Replaces what the control thread tells of itself.
    pub fn publish_facts(&self, control: &EntryControl) {
        let hosts = control.progress().map(|(name, progress)| HostStatus {
            name: name.to_compact_string(),
            service: progress.service.to_compact_string(),
            manifest: progress.manifest.0,
        });
        let facts = ControlFacts {
            watching: control.is_watching(),
            confirmed: control.confirmed(),
            hosts: hosts.collect(),
        };
        replace(&self.facts, Arc::new(facts));
    }

    // Put together when it is asked for: the members alone may be thousands.
    fn status(&self) -> EntryStatus {
        let documents = self.documents();
        let facts = read(&self.facts);
        let entries = documents.items(DocumentKind::Members);
        EntryStatus {
            name: self.me.name.to_compact_string(),
            datacenter: self.me.datacenter.to_compact_string(),
            stopping: self.stopping.load(Ordering::Relaxed),
            watching: facts.watching,
            age_ms: facts
                .confirmed
                .map(|at| clock::now().since(at).as_millis() as u64),
            documents: wire_versions(&documents.digest()),
            entries: entries
                .filter_map(|item| match item {
                    DocumentItem::Entry(record) => Some(record.into()),
                    _ => None,
                })
                .collect(),
            hosts: facts.hosts.clone(),
            counters: self.counters.snapshot(),
        }
    }
}

fn status_of(good: bool) -> Status {
    if good {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

#[get("/health")]
fn health(shared: &State<Arc<EntryShared>>) -> Status {
    status_of(!shared.stopping.load(Ordering::Relaxed))
}

// Whether packets are welcome: some service is known, and the process stays.
#[get("/ready")]
fn ready(shared: &State<Arc<EntryShared>>) -> Status {
    let knows_services = read(&shared.view).ids().next().is_some();
    status_of(knows_services && !shared.stopping.load(Ordering::Relaxed))
}

#[get("/metrics")]
fn metrics(shared: &State<Arc<EntryShared>>) -> String {
    shared.counters.text()
}

#[get("/v1/status")]
fn status(shared: &State<Arc<EntryShared>>) -> Json<EntryStatus> {
    Json(shared.status())
}

#[get("/v1/explain?<caller>&<service>")]
fn explain(
    shared: &State<Arc<EntryShared>>,
    caller: &str,
    service: &str,
) -> Result<Json<FlowExplanation>, (Status, String)> {
    let address = |name: &str, text: &str| {
        text.parse::<SocketAddrV4>().map_err(|_| {
            let text = format!("{name}: found {text:?}, allowed is an IPv4 address and port");
            (Status::BadRequest, text)
        })
    };
    let key = FlowKey {
        caller: address("caller", caller)?,
        service: address("service", service)?,
    };
    explain_flow(&read(&shared.view), key)
        .map(Json)
        .ok_or_else(|| (Status::NotFound, format!("no service at {}", key.service)))
}

fn explain_flow(view: &Arc<RoutingView>, key: FlowKey) -> Option<FlowExplanation> {
    let service = view.service_at(key.service)?;
    let mut router = EntryRouter::new(0);
    router.replace_view(Arc::clone(view), TimePoint(0));
    let mut hops = |is_syn: bool| {
        let segment = TcpSegment {
            key,
            is_syn,
            is_syn_ack: false,
            is_fin: false,
            is_rst: false,
            sequence: 0,
            acknowledgement: None,
            payload: 0,
        };
        match router.route(&segment, TimePoint(0)) {
            RouteDecision::Forward(plan) => (
                plan.hops()
                    .iter()
                    .map(|host| explain_hop(service.host(*host)))
                    .collect(),
                plan.complete,
            ),
            RouteDecision::Drop(_) => (Vec::new(), false),
        }
    };
    let (opening, _) = hops(true);
    let (walk, complete) = hops(false);
    Some(FlowExplanation {
        service: service.id().to_compact_string(),
        bucket: key.hash().bucket().0,
        generation: view.generation.0,
        opening,
        walk,
        complete,
    })
}

fn explain_hop(host: &ViewHost) -> HopExplanation {
    HopExplanation {
        host: host.record.name.to_compact_string(),
        state: host.state.to_compact_string(),
        weight: host.record.weight.get(),
        packets: host.record.packets.to_compact_string(),
    }
}

#[post("/peer/pull", data = "<body>")]
async fn pull(shared: &State<Arc<EntryShared>>, body: Data<'_>) -> Result<Vec<u8>, Status> {
    let query: PullQuery = read_query(body, &shared.counters).await?;
    let answer = answer_pull(shared, &query).ok_or(Status::BadRequest)?;
    Ok(write_message(&answer))
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
    let answer = ServiceSlice {
        manifest: manifest.0,
        slice: service.map_or(0, |service| service.slice),
        service: service.map(|service| service.spec.as_ref().into()),
        hosts: service.map_or_else(Vec::new, |service| {
            let records = service.hosts().iter().map(|host| host.record.as_ref());
            records.map(Into::into).collect()
        }),
    };
    Ok(write_message(&answer))
}

/// The server of an entry VM.
pub fn server(shared: Arc<EntryShared>, address: SocketAddrV4) -> Rocket<Build> {
    crate::http::server(address).manage(shared).mount(
        "/",
        routes![health, ready, metrics, status, explain, pull, slice],
    )
}
