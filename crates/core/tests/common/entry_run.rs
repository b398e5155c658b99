//! Control plane and router of an entry VM in virtual time, with documents and registrations, and
//! the verdicts on flows that hosts deny.

#![allow(dead_code)]

use std::net::SocketAddrV4;
use std::num::NonZeroUsize;
use std::sync::Arc;

use chestnutlb_core::control::MAX_LISTED_FLOW_AGE;
use chestnutlb_core::{
    ControlAction, ControlEvent, DocumentId, DocumentItem, DocumentKind, EntryControl, HostRecord,
    HostRevision, HostState, LookupVerdict, ObjectVersion, OwnershipReply, PassthroughRouter,
    RerouteDecision, RoutingView, ServiceKind, ServiceSpec, TimePoint,
};

use super::{data, entry, host, key, spec, syn};

pub const DATACENTER: &str = "honam-1";
pub const LISTED_HOSTS: usize = 4;
/// Time between two full steps of a run, longer than the batching of views.
pub const STEP_MS: u64 = 150;

/// Control plane and router of one entry VM, in virtual time.
pub struct EntryRun {
    pub control: EntryControl,
    pub router: PassthroughRouter,
    pub now: TimePoint,
    pub version: u64,
    pub flows: u16,
}

impl EntryRun {
    /// Starts with a passthrough service of [`LISTED_HOSTS`] hosts.
    pub fn start() -> Self {
        let mut run = Self::start_without_documents();
        run.load_grants();
        run.load_manifest(vec![spec()]);
        run.load_members(2);
        run.load_roster(&listed_hosts());
        run
    }

    pub fn start_without_documents() -> Self {
        let limit = NonZeroUsize::new(64).unwrap();
        let datacenter: chestnutlb_core::DatacenterName = DATACENTER.parse().unwrap();
        Self {
            control: EntryControl::new(entry(1, DATACENTER), Vec::new(), 1, TimePoint(0))
                .with_flow_age(MAX_LISTED_FLOW_AGE),
            router: PassthroughRouter::new(datacenter, limit),
            now: TimePoint(0),
            version: 0,
            flows: 0,
        }
    }

    pub fn load_grants(&mut self) {
        let grant = DocumentItem::Grant("10.20.0.0/16".parse().unwrap(), "dalbit".into());
        self.load(DocumentKind::Grants, "all", vec![grant]);
    }

    /// Loads a manifest of passthrough services.
    pub fn load_manifest(&mut self, specs: Vec<ServiceSpec>) {
        let services = specs.into_iter().map(|mut spec| {
            spec.kind = ServiceKind::Passthrough;
            DocumentItem::Service(Arc::new(spec))
        });
        self.load(DocumentKind::Manifest, "dalbit", services.collect());
    }

    pub fn load(&mut self, kind: DocumentKind, name: &str, items: Vec<DocumentItem>) {
        self.version += 1;
        self.handle(ControlEvent::Loaded {
            id: DocumentId::new(kind, name),
            version: ObjectVersion(self.version.into()),
            items,
        });
        self.advance(STEP_MS);
    }

    pub fn load_members(&mut self, entries: usize) {
        let entries = (1..=entries).map(|number| DocumentItem::Entry(entry(number, DATACENTER)));
        self.load(DocumentKind::Members, DATACENTER, entries.collect());
    }

    pub fn load_roster(&mut self, hosts: &[HostRecord]) {
        let hosts = hosts.iter().cloned().map(Arc::new);
        self.load(
            DocumentKind::Roster,
            DATACENTER,
            hosts.map(DocumentItem::Host).collect(),
        );
    }

    pub fn register(&mut self, record: HostRecord) {
        self.handle(registration(record));
        self.advance(STEP_MS);
    }

    /// Returns whether the reply to a keep-alive requests a full registration.
    pub fn requests_registration(&mut self, record: &HostRecord) -> bool {
        let keep_alive = ControlEvent::HostKeepAlive {
            name: record.name.clone(),
            incarnation: record.incarnation,
            revision: HostRevision(1),
            manifest: ObjectVersion(0),
            from: record.packets,
        };
        let actions = self.control.handle(keep_alive, self.now);
        let mut replies = actions.iter().filter_map(|action| match action {
            ControlAction::ReplyToHost(_, reply) => Some(reply.resend),
            _ => None,
        });
        replies.next().unwrap()
    }

    pub fn handle(&mut self, event: ControlEvent) {
        self.control.handle(event, self.now);
    }

    /// Lets time pass, with all timers, and passes views on to the router as the daemon does.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = TimePoint(self.now.0 + 50);
            while let Some(kind) = self.control.poll_timer(self.now) {
                self.control.handle(ControlEvent::Tick(kind), self.now);
            }
            self.control.poll_view(self.now);
            self.router.update_view(self.control.view(), self.now);
        }
    }

    /// Returns whether a SYN may be sent to this host, without a fresh view.
    pub fn is_offered(&mut self, host: SocketAddrV4) -> bool {
        self.flows += 1;
        self.router.record_freshness(false, self.now);
        let view = Arc::clone(self.control.view());
        let plan = self.router.route(&view, &syn(self.flows), self.now);
        plan.unwrap().hops.contains(&host)
    }

    /// Lets time pass with a view that is confirmed or not.
    pub fn advance_view(&mut self, millis: u64, fresh: bool) {
        for _ in 0..millis / 50 {
            self.advance(50);
            self.router.record_freshness(fresh, self.now);
        }
    }

    /// Returns the verdict on a new flow that all hosts deny, with a fresh view.
    pub fn verdict(&mut self) -> Option<LookupVerdict> {
        let hosts = self.queried_hosts();
        self.verdict_of_denials(hosts)
    }

    /// Returns the verdict on the flow that was looked up last, which all these hosts deny.
    pub fn verdict_of_denials(&mut self, hosts: Vec<SocketAddrV4>) -> Option<LookupVerdict> {
        let view = Arc::clone(self.control.view());
        let (key, now) = (key(self.flows), self.now);
        let reply = OwnershipReply::NotOwned;
        let mut verdicts = hosts.into_iter().filter_map(|host| {
            self.router
                .record_lookup_reply(&view, key, host, reply, true, now)
        });
        verdicts.next()
    }

    /// Returns the verdict on a flow after lookups for four seconds, to which only these hosts
    /// reply.
    pub fn verdict_of(&mut self, replying: &[SocketAddrV4]) -> LookupVerdict {
        let mut verdict = None;
        for _ in 0..8 {
            let queried = self.queried_hosts();
            let view = Arc::clone(self.control.view());
            for host in queried.iter().filter(|host| replying.contains(host)) {
                let (key, reply) = (key(self.flows), OwnershipReply::NotOwned);
                let (router, now) = (&mut self.router, self.now);
                router.record_lookup_reply(&view, key, *host, reply, true, now);
            }
            self.advance_view(500, true);
            let finished = self.router.take_finished_lookups(&view, true, self.now);
            verdict = finished.into_iter().map(|(_, verdict)| verdict).next();
        }
        verdict.unwrap()
    }

    /// Returns the hosts that are asked for the owner of a new flow.
    pub fn queried_hosts(&mut self) -> Vec<SocketAddrV4> {
        self.flows += 1;
        let view = Arc::clone(self.control.view());
        queried_hosts(&mut self.router, &view, self.flows, self.now)
    }
}

/// Returns the hosts that a router asks for the owner of a flow that no host of a walk owned.
pub fn queried_hosts(
    router: &mut PassthroughRouter,
    view: &RoutingView,
    flow: u16,
    now: TimePoint,
) -> Vec<SocketAddrV4> {
    let packet = data(flow, 700);
    let mut plan = router.route(view, &packet, now).unwrap();
    loop {
        let last = *plan.hops.last().unwrap();
        match router.reroute(view, &packet, last, now).unwrap() {
            RerouteDecision::Walk(walk) => plan = walk,
            RerouteDecision::AwaitLookup => break,
        }
    }
    let queries = router.take_queries(now);
    queries.into_iter().map(|query| query.host).collect()
}

pub fn registration(record: HostRecord) -> ControlEvent {
    ControlEvent::HostRegistered {
        from: record.packets,
        record,
        revision: HostRevision(1),
        manifest: ObjectVersion(0),
    }
}

pub fn listed_hosts() -> Vec<HostRecord> {
    (0..LISTED_HOSTS)
        .map(|number| host(number, HostState::Serving))
        .collect()
}

pub fn unlisted_host() -> HostRecord {
    host(9, HostState::Serving)
}
