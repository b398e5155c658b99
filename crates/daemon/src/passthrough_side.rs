//! A side process with passthrough flows: its threads and the state they share.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::Builder;
use std::time::Duration;

use compact_str::ToCompactString;
use crossbeam_channel::{Receiver, RecvTimeoutError};

use chestnutlb_core::{
    BackendChange, BackendIdentity, BackendTracker, HostState, OpeningGate, SideHistory, TimePoint,
};
use chestnutlb_wire::status::SideStatus;

use crate::metrics::{Counter, CounterSet};
use crate::packet_format::PacketFormat;
use crate::passthrough_control::PassthroughControl;
use crate::passthrough_http::server;
use crate::passthrough_packets::PassthroughPackets;
use crate::registration::{HostRegistration, SeedList, SharedContact};
use crate::reload::SettingsFile;
use crate::settings::{PassthroughSettings, SideSettings};
use crate::{StopSignal, backend_presence, clock, http};

/// Time that the process runs on after a stop signal, so that late packets of ended
/// flows still reach the backend server.
const STOP_LINGER: Duration = Duration::from_millis(300);

/// Longest time for which a process goes on after a stop signal to find out whether its backend
/// server is there. Platforms kill a process some seconds after the signal.
const MAX_STOP_DELAY: Duration = Duration::from_secs(3);

/// Interval between two checks of a stopping process for whether its backend server is there.
const PRESENCE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// State shared by the threads of the process.
#[derive(Debug)]
pub struct PassthroughShared {
    /// Counters and timings of the process.
    pub counters: Arc<CounterSet>,
    /// Settings of the process.
    pub settings: Arc<SideSettings>,
    /// What its settings say of the backend server.
    pub identity: BackendIdentity,
    /// Interval between two reports of the backend server; `None` if it is not known.
    pub report_period: Option<Duration>,
    /// Whether the process has received a stop signal.
    pub stopping: AtomicBool,
    /// Number of flows in the flow table.
    pub flows: AtomicU64,
    /// Number of requests in progress at the backend server.
    pub at_work: AtomicU64,
    /// Requests at once that the backend server takes well; zero before it is learned.
    pub usable_slots: AtomicU64,
    /// Whether entry VMs know of the host.
    pub contact: SharedContact,
    backend: Mutex<BackendTracker>,
    opening: Mutex<OpeningGate>,
    /// Number of new backend epochs recorded by this process.
    pub backend_epochs: AtomicU64,
}

impl PassthroughShared {
    fn new(
        settings: Arc<SideSettings>,
        passthrough: &PassthroughSettings,
        counters: Arc<CounterSet>,
    ) -> Self {
        let identity = BackendIdentity {
            service: settings.service.service.clone(),
            datacenter: settings.datacenter.clone(),
            address: settings.backend,
        };
        Self {
            counters,
            settings,
            identity,
            report_period: passthrough.report_period,
            stopping: AtomicBool::new(false),
            flows: AtomicU64::new(0),
            at_work: AtomicU64::new(0),
            usable_slots: AtomicU64::new(0),
            contact: SharedContact::default(),
            backend: Mutex::default(),
            opening: Mutex::new(OpeningGate::new(passthrough.first_cold_limit)),
            backend_epochs: AtomicU64::new(0),
        }
    }

    /// Locks and returns the tracker of the backend server.
    pub fn backend(&self) -> MutexGuard<'_, BackendTracker> {
        self.backend.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the rules of operators for new flows.
    pub fn opening(&self) -> MutexGuard<'_, OpeningGate> {
        self.opening.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs a change by a report or deregistration of the backend server, or that it was
    /// outdated, and counts both that and a new backend epoch.
    pub fn record_backend_change(&self, change: BackendChange, cause: &str, name: &str) {
        match change {
            BackendChange::NewLife => {
                self.backend_epochs.fetch_add(1, Ordering::Relaxed);
            }
            BackendChange::Outdated => self.counters.add(Counter::ReportsOutdated),
            BackendChange::Changed => {}
            BackendChange::Same => return,
        }
        let backend = self.backend();
        let current = backend.current();
        log::info!(
            target: "host",
            backend = name, cause = cause, news:? = change, takes = backend.accepts_flows(),
            current = current.map(|report| report.name.as_str()),
            sequence = current.map(|report| report.sequence),
            born_ms = current.map(|report| report.born_ms),
            known_from_start = backend.observed_start().is_some();
            "reported"
        );
    }

    /// Returns whether no backend server runs beside this process.
    pub fn is_backend_absent(&self) -> bool {
        let history = SideHistory {
            uptime: clock::uptime(),
            has_flows: self.flows.load(Ordering::Relaxed) > 0,
            stopping: self.stopping.load(Ordering::Relaxed),
        };
        self.report_period
            .is_some_and(|period| self.backend().is_absent(history, period))
    }

    // Returns whether it is known by now whether a backend server runs beside this process.
    fn is_backend_presence_known(&self) -> bool {
        self.report_period
            .is_none_or(|period| self.backend().is_presence_known(clock::uptime(), period))
    }

    /// Returns the state of the host for the roster.
    pub fn state(&self, now: TimePoint) -> HostState {
        if self.is_backend_absent() {
            return HostState::Gone;
        }
        let stopping = self.stopping.load(Ordering::Relaxed);
        self.backend().host_state(stopping, now)
    }

    /// Returns the status for operators.
    pub fn status(&self) -> SideStatus {
        SideStatus {
            name: self.settings.name.to_compact_string(),
            service: self.settings.service.to_compact_string(),
            state: self.state(clock::now()).to_compact_string(),
            registration: Some(self.contact.get().as_str().into()),
            manifest: Default::default(),
            flows: self.flows.load(Ordering::Relaxed),
            running: self.at_work.load(Ordering::Relaxed),
            waiting: 0,
            usable_slots: match self.usable_slots.load(Ordering::Relaxed) {
                0 => None,
                slots => Some(slots),
            },
            drained: self.opening().is_drained(),
            counters: self.counters.snapshot(),
        }
    }
}

/// Runs the process until it has stopped after a stop signal.
pub fn run(
    settings: &SideSettings,
    passthrough: &PassthroughSettings,
    file: SettingsFile,
    counters: Arc<CounterSet>,
    stops: &Receiver<StopSignal>,
) -> std::io::Result<()> {
    let packets = UdpSocket::bind(settings.packets)?;
    let outbound = UdpSocket::bind(passthrough.outbound)?;
    let registration_socket = UdpSocket::bind(settings.registration_address)?;
    // Logged before the threads start, so that it precedes their lines in the log.
    log::info!(
        target: "process",
        role = "side", delivery = "passthrough", name:% = settings.name,
        service:% = settings.service, datacenter:% = settings.datacenter,
        seeds = settings.seeds.len();
        "started"
    );
    let settings = Arc::new(settings.clone());
    let shared = Arc::new(PassthroughShared::new(
        Arc::clone(&settings),
        passthrough,
        counters,
    ));
    http::start(server(Arc::clone(&shared), settings.status))?;

    let format = PacketFormat::new(settings.dialect, settings.callers);
    let packet_loop = PassthroughPackets::new(
        packets,
        outbound,
        format,
        passthrough.clone(),
        Arc::clone(&shared),
        clock::now(),
    )?;
    Builder::new()
        .name("flows".to_owned())
        .spawn(move || packet_loop.run())?;

    let (thread_shared, flow_age) = (Arc::clone(&shared), passthrough.flow_age);
    Builder::new()
        .name("presence".to_owned())
        .spawn(move || backend_presence::run(&thread_shared, flow_age))?;

    let seeds = SeedList::new(settings.seeds.clone());
    let reloaded_seeds = seeds.clone();
    file.watch(move |seeds| reloaded_seeds.set(seeds))?;
    let counters = Arc::clone(&shared.counters);
    let contact = shared.contact.clone();
    let registration = HostRegistration::new(registration_socket, seeds, counters, contact)?;
    let control = PassthroughControl::new(registration, Arc::clone(&shared));
    Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run())?;

    if stops.recv().is_err() {
        return Ok(());
    }
    log::info!(target: "process", name:% = settings.name; "stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    // A process that was just started may be stopped since its backend server has left. It goes
    // on until it can tell, so that the departure is registered.
    let latest_end = clock::now() + MAX_STOP_DELAY;
    while !shared.is_backend_presence_known() && clock::now() < latest_end {
        if stops.recv_timeout(PRESENCE_POLL_PERIOD) != Err(RecvTimeoutError::Timeout) {
            break;
        }
    }
    match stops.recv_timeout(STOP_LINGER) {
        Ok(_) | Err(RecvTimeoutError::Disconnected) => {
            log::warn!(target: "process", name:% = settings.name; "stopped at once");
        }
        Err(RecvTimeoutError::Timeout) => {
            log::info!(target: "process", name:% = settings.name; "stopped");
        }
    }
    Ok(())
}
