//! The control thread of a side process: registers the host with entry VMs,
//! probes the backend server and fetches the service's manifest entry and
//! hosts.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutlb_core::{
    HostEvent, HostRecord, HostState, Incarnation, RegistrationReply, ServiceSpec, TimePoint,
    TimerKind, TimerService,
};
use chestnutlb_wire::peer::{ServiceSlice, scan_message};

use crate::clock;
use crate::http::read_body;
use crate::logs::LoggedVersion;
use crate::metrics::Counter;
use crate::registration::{HostRegistration, REGISTRATION_PERIOD, SeedList};
use crate::settings::SideSettings;
use crate::side_events::{ServiceUpdate, SideEvent, SideRing, SideShared};

/// Interval between probes of the backend server.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Number of consecutive failed connections to the backend server after which
/// the host becomes suspect.
const SUSPECT_AFTER_FAILURES: u32 = 2;
/// Timeout of a probe, for connecting and for each read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of an HTTP request to an entry VM.
const SLICE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a leaving host stays after the roster shows it as leaving, so
/// that every entry VM receives this state before the process ends.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(5);
/// Interval at which the log says what a stopping host still waits for.
const STOP_REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Number of times that a deregistration, which is a registration with state
/// `gone`, is sent, since each one may be lost.
const DEREGISTRATION_REPEATS: usize = 3;

/// Health of the backend server according to its health route or, if it has none, to
/// a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackendHealth {
    Ready,
    Draining,
    Down,
}

/// State of the control thread.
#[derive(Debug)]
pub struct SideControl {
    settings: Arc<SideSettings>,
    incarnation: Incarnation,
    registration: HostRegistration,
    events: Arc<SideRing>,
    shared: Arc<SideShared>,
    timers: TimerService,
    state: HostState,
    state_since: TimePoint,
    warm_up: Duration,
    drain_grace: Duration,
    leaving_shown_at: Option<TimePoint>,
    // When the log last said what the host still waits for, or when it began to leave.
    stop_reported_at: TimePoint,
    failed_connections: u32,
    slice_hash: Option<u64>,
    agent: ureq::Agent,
}

impl SideControl {
    /// Creates the control state with a bound socket for registrations.
    pub fn new(
        settings: Arc<SideSettings>,
        incarnation: Incarnation,
        socket: UdpSocket,
        seeds: SeedList,
        events: Arc<SideRing>,
        shared: Arc<SideShared>,
        now: TimePoint,
    ) -> std::io::Result<Self> {
        let counters = Arc::clone(&shared.counters);
        let registration = HostRegistration::new(socket, seeds, counters, shared.contact.clone())?;
        let mut timers = TimerService::default();
        timers.subscribe(TimerKind::Registration, REGISTRATION_PERIOD, now);
        timers.subscribe(TimerKind::Probe, PROBE_PERIOD, now);
        Ok(Self {
            settings,
            incarnation,
            registration,
            events,
            shared,
            timers,
            state: HostState::Joining,
            state_since: now,
            warm_up: Duration::ZERO,
            drain_grace: Duration::ZERO,
            leaving_shown_at: None,
            stop_reported_at: now,
            failed_connections: 0,
            slice_hash: None,
            agent: ureq::AgentBuilder::new().timeout(SLICE_TIMEOUT).build(),
        })
    }

    /// Runs until the host is gone.
    pub fn run(mut self) {
        self.probe_backend();
        while self.state != HostState::Gone {
            let now = clock::now();
            while let Some(timer) = self.timers.poll(now) {
                match timer {
                    TimerKind::Registration => self.send_registration(now),
                    TimerKind::Probe => self.probe_backend(),
                    _ => {}
                }
            }
            self.update_state(now);
            self.receive_reply(now);
        }
        for _ in 0..DEREGISTRATION_REPEATS {
            self.send_registration(clock::now());
        }
    }

    fn update_state(&mut self, now: TimePoint) {
        if self.shared.is_stopping() {
            self.apply(HostEvent::Leave, now);
            if !self.shared.busy.load(Ordering::Relaxed) && self.is_leave_propagated(now) {
                self.apply(HostEvent::End, now);
            }
            self.report_stop(now);
        }
        if self.state == HostState::Warming && now.since(self.state_since) >= self.warm_up {
            self.apply(HostEvent::Warmed, now);
        }
    }

    // Logs what a stopping host still waits for. Its flows are cut at the end of its drain grace.
    fn report_stop(&mut self, now: TimePoint) {
        let reported_at = self.stop_reported_at.max(self.state_since);
        if self.state != HostState::Leaving || now.since(reported_at) < STOP_REPORT_PERIOD {
            return;
        }
        self.stop_reported_at = now;
        let shared = &self.shared;
        log::warn!(
            target: "process",
            host:% = self.settings.name, busy = shared.busy.load(Ordering::Relaxed),
            flows = shared.flows.load(Ordering::Relaxed),
            running = shared.running.load(Ordering::Relaxed),
            waiting = shared.waiting.load(Ordering::Relaxed),
            leaving_shown = self.leaving_shown_at.is_some(),
            grace_ms = self.drain_grace.as_millis() as u64;
            "still stopping"
        );
    }

    // Returns whether the entry VMs have had time to receive the leaving state.
    // Without the platform the roster can't show the state; the host then
    // stays for its drain grace.
    fn is_leave_propagated(&self, now: TimePoint) -> bool {
        let propagated = self
            .leaving_shown_at
            .is_some_and(|shown_at| now.since(shown_at) >= LEAVE_PROPAGATION_TIME);
        propagated || now.since(self.state_since) >= self.drain_grace
    }

    // Records when the roster first shows this host as leaving or no longer contains it.
    fn record_leaving_shown(&mut self, hosts: &[HostRecord], now: TimePoint) {
        let own_record = hosts
            .iter()
            .find(|host| host.is_of_process(&self.settings.name, self.incarnation));
        let shown = own_record.is_none_or(|host| host.state == HostState::Leaving);
        if self.state == HostState::Leaving && shown && self.leaving_shown_at.is_none() {
            self.leaving_shown_at = Some(now);
        }
    }

    fn apply(&mut self, event: HostEvent, now: TimePoint) {
        if let Some(state) = self.state.after(event) {
            log::info!(
                target: "host",
                host:% = self.settings.name, from:% = self.state, state:% = state;
                "changed"
            );
            self.state = state;
            self.state_since = now;
            self.shared.set_state(state);
            self.events.push(SideEvent::StateChanged(state));
            self.send_registration(now);
        }
    }

    fn probe_backend(&mut self) {
        let health = match self.settings.health {
            Some(address) => fetch_health(address),
            None => {
                match TcpStream::connect_timeout(&self.settings.backend.into(), PROBE_TIMEOUT) {
                    Ok(_) => BackendHealth::Ready,
                    Err(_) => BackendHealth::Down,
                }
            }
        };
        let now = clock::now();
        match health {
            // Without the service's manifest entry the host can't serve.
            BackendHealth::Ready if self.slice_hash.is_some() => self.apply(HostEvent::Ready, now),
            BackendHealth::Draining if self.state != HostState::Joining => {
                self.apply(HostEvent::Leave, now);
            }
            // The reported health may be wrong, so only a failed connection
            // makes the host suspect.
            BackendHealth::Ready | BackendHealth::Draining | BackendHealth::Down => {}
        }
        self.check_backend_connection(now);
    }

    // Makes the host suspect after repeated failed connections to the backend
    // server, so that it gets no new flows or requests, and ends this state once a
    // connection succeeds.
    fn check_backend_connection(&mut self, now: TimePoint) {
        let backend = self.settings.backend.into();
        if TcpStream::connect_timeout(&backend, PROBE_TIMEOUT).is_ok() {
            self.failed_connections = 0;
            if self.state == HostState::Suspect {
                self.apply(HostEvent::Heard, now);
            }
            return;
        }
        self.failed_connections += 1;
        let is_active = matches!(self.state, HostState::Warming | HostState::Serving);
        if is_active && self.failed_connections >= SUSPECT_AFTER_FAILURES {
            self.apply(HostEvent::Silent, now);
        }
    }

    fn send_registration(&mut self, now: TimePoint) {
        let record = HostRecord {
            name: self.settings.name.clone(),
            service: self.settings.service.clone(),
            datacenter: self.settings.datacenter.clone(),
            packets: self.settings.packets,
            relays: self.settings.status,
            incarnation: self.incarnation,
            weight: self.settings.weight,
            state: self.state,
            held_buckets: self.shared.held_buckets(),
        };
        let manifest = self.shared.manifest_version();
        self.registration.send(record, manifest, now);
    }

    fn receive_reply(&mut self, now: TimePoint) {
        if let Some(reply) = self.registration.receive(now) {
            self.handle_reply(&reply);
        }
    }

    fn handle_reply(&mut self, reply: &RegistrationReply) {
        self.events
            .push(SideEvent::RegistrationReplied { fresh: reply.fresh });
        if self.slice_hash != Some(reply.slice_hash) && reply.slice_hash != 0 {
            for entry in self.registration.target_http_addresses() {
                if self.fetch_slice(entry, reply.slice_hash) {
                    return;
                }
            }
        }
    }

    // Fetches the service slice with the hash `wanted_hash` from an entry VM and puts it in
    // force. Returns whether it did; an older slice, from an entry VM that is not up to
    // date, is ignored.
    fn fetch_slice(&mut self, entry: SocketAddrV4, wanted_hash: u64) -> bool {
        let service = &self.settings.service;
        let url = format!(
            "http://{entry}/peer/slice/{}/{}",
            service.firm, service.service
        );
        let fetched = self
            .agent
            .get(&url)
            .call()
            .map_err(|error| error.to_string())
            .and_then(read_body)
            .and_then(|bytes| {
                scan_message::<ServiceSlice>(&bytes).map_err(|error| error.to_string())
            });
        let slice = match fetched {
            Ok(slice) => slice,
            Err(cause) => {
                log::warn!(target: "peer", peer:% = entry, cause = cause.as_str(); "service slice not fetched");
                return false;
            }
        };
        // An older manifest is never accepted, from any entry VM.
        if slice.slice != wanted_hash || slice.manifest.0 < self.shared.manifest_version() {
            return false;
        }
        match self.read_slice(&slice) {
            Some(update) => {
                if let Some(spec) = &update.spec {
                    self.warm_up = spec.timing.warm_up;
                    self.drain_grace = spec.timing.drain_grace;
                }
                self.slice_hash = Some(slice.slice);
                self.record_leaving_shown(&update.hosts, clock::now());
                self.events.push(SideEvent::ServiceChanged(update));
                self.shared.set_manifest_version(slice.manifest.0);
                log::info!(
                    target: "document",
                    service:% = self.settings.service, version = LoggedVersion::from(slice.manifest.0);
                    "in force"
                );
                true
            }
            None => {
                self.shared.counters.add(Counter::BodiesBad);
                false
            }
        }
    }

    fn read_slice(&self, slice: &ServiceSlice) -> Option<ServiceUpdate> {
        let firm = &self.settings.service.firm;
        let spec = match &slice.service {
            Some(service) => {
                let spec: ServiceSpec = service.check(firm, "service").ok()?;
                if spec.id != self.settings.service {
                    return None;
                }
                Some(Arc::new(spec))
            }
            None => None,
        };
        let hosts = slice
            .hosts
            .iter()
            .map(|host| host.try_into().ok())
            .collect::<Option<_>>()?;
        Some(ServiceUpdate { spec, hosts })
    }
}

// Requests the backend server's health over a plain socket with short
// timeouts, so that an unresponsive backend server delays registrations only
// briefly.
fn fetch_health(address: SocketAddrV4) -> BackendHealth {
    let request = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address.into(), PROBE_TIMEOUT)?;
        stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: backend\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.take(4096).read_to_string(&mut text)?;
        Ok(text)
    };
    match request() {
        Ok(text) if text.starts_with("HTTP/1.1 200") => BackendHealth::Ready,
        Ok(text) if text.contains("draining") => BackendHealth::Draining,
        Ok(_) | Err(_) => BackendHealth::Down,
    }
}
