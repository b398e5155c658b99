//! The control thread of a side process: announces the host to its keepers
//! and fetches what concerns its service.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutlb_core::{
    HostEvent, HostRecord, HostState, Incarnation, ObjectVersion, RegistrationReply, ServiceSpec,
    TimePoint, TimerKind, TimerService,
};
use chestnutlb_wire::peer::{ServiceSlice, scan_message};

use crate::clock;
use crate::http::read_body;
use crate::metrics::Counter;
use crate::registration::{HostRegistration, REGISTRATION_PERIOD, SeedList};
use crate::settings::SideSettings;
use crate::side_events::{ServiceUpdate, SideEvent, SideRing, SideShared};

/// Time between two looks at the backend server.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Connections in a row that the backend server may refuse.
const MAX_MISSED: u32 = 2;
/// Time for the backend server to say how it is.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a keeper to answer over HTTP.
const SLICE_TIMEOUT: Duration = Duration::from_secs(2);
/// A leaving host stays for this time after the roster shows that it leaves,
/// so that every entry VM hears of it before the process ends.
const LEAVE_LINGER: Duration = Duration::from_secs(5);
/// Announcements of the end, since each may be lost.
const GONE_REPEATS: usize = 3;

/// What the backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackendHealth {
    Ready,
    Draining,
    Down,
}

/// The control thread.
#[derive(Debug)]
pub struct AnnounceLoop {
    settings: Arc<SideSettings>,
    incarnation: Incarnation,
    registration: HostRegistration,
    events: Arc<SideRing>,
    shared: Arc<SideShared>,
    timers: TimerService,
    state: HostState,
    since: TimePoint,
    warm_up: Duration,
    drain_grace: Duration,
    leave_shown: Option<TimePoint>,
    missed: u32,
    slice: Option<u64>,
    agent: ureq::Agent,
}

impl AnnounceLoop {
    /// A loop on a bound socket.
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
        let registration = HostRegistration::new(socket, seeds, counters, now)?;
        let mut timers = TimerService::default();
        timers.subscribe(TimerKind::Announce, REGISTRATION_PERIOD, now);
        timers.subscribe(TimerKind::Probe, PROBE_PERIOD, now);
        Ok(Self {
            settings,
            incarnation,
            registration,
            events,
            shared,
            timers,
            state: HostState::Joining,
            since: now,
            warm_up: Duration::ZERO,
            drain_grace: Duration::ZERO,
            leave_shown: None,
            missed: 0,
            slice: None,
            agent: ureq::AgentBuilder::new().timeout(SLICE_TIMEOUT).build(),
        })
    }

    /// Runs until the host has left.
    pub fn run(mut self) {
        self.probe();
        while self.state != HostState::Gone {
            let now = clock::now();
            while let Some(part) = self.timers.poll(now) {
                match part {
                    TimerKind::Announce => self.announce(now),
                    TimerKind::Probe => self.probe(),
                    _ => {}
                }
            }
            self.follow_life(now);
            self.receive(now);
        }
        for _ in 0..GONE_REPEATS {
            self.announce(clock::now());
        }
    }

    fn follow_life(&mut self, now: TimePoint) {
        if self.shared.is_stopping() {
            self.apply(HostEvent::Leave, now);
            if !self.shared.busy.load(Ordering::Relaxed) && self.leave_is_known(now) {
                self.apply(HostEvent::End, now);
            }
        }
        if self.state == HostState::Warming && now.since(self.since) >= self.warm_up {
            self.apply(HostEvent::Warmed, now);
        }
    }

    // Without the platform the roster can't show it; then the host stays for
    // as long as it grants its flows.
    fn leave_is_known(&self, now: TimePoint) -> bool {
        let shown = self
            .leave_shown
            .is_some_and(|shown| now.since(shown) >= LEAVE_LINGER);
        shown || now.since(self.since) >= self.drain_grace
    }

    fn note_leave(&mut self, hosts: &[HostRecord], now: TimePoint) {
        let me = hosts
            .iter()
            .find(|host| host.incarnation == self.incarnation);
        let shown = me.is_none_or(|host| host.state == HostState::Leaving);
        if self.state == HostState::Leaving && shown && self.leave_shown.is_none() {
            self.leave_shown = Some(now);
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
            self.since = now;
            self.shared.set_state(state);
            self.events.push(SideEvent::State(state));
            self.announce(now);
        }
    }

    fn probe(&mut self) {
        let health = match self.settings.health {
            Some(address) => ask_health(address),
            None => {
                match TcpStream::connect_timeout(&self.settings.backend.into(), PROBE_TIMEOUT) {
                    Ok(_) => BackendHealth::Ready,
                    Err(_) => BackendHealth::Down,
                }
            }
        };
        let now = clock::now();
        match health {
            // Until the service is known there is nothing to serve.
            BackendHealth::Ready if self.slice.is_some() => self.apply(HostEvent::Ready, now),
            BackendHealth::Draining if self.state != HostState::Joining => {
                self.apply(HostEvent::Leave, now);
            }
            // Its word may mislead; whether it takes connections decides.
            BackendHealth::Ready | BackendHealth::Draining | BackendHealth::Down => {}
        }
        self.check_reach(now);
    }

    // A backend server that takes no connections gets no new work.
    fn check_reach(&mut self, now: TimePoint) {
        let backend = self.settings.backend.into();
        if TcpStream::connect_timeout(&backend, PROBE_TIMEOUT).is_ok() {
            self.missed = 0;
            if self.state == HostState::Suspect {
                self.apply(HostEvent::Heard, now);
            }
            return;
        }
        self.missed += 1;
        let works = matches!(self.state, HostState::Warming | HostState::Serving);
        if works && self.missed >= MAX_MISSED {
            self.apply(HostEvent::Silent, now);
        }
    }

    fn announce(&mut self, now: TimePoint) {
        let record = HostRecord {
            name: self.settings.name.clone(),
            service: self.settings.service.clone(),
            datacenter: self.settings.datacenter.clone(),
            packets: self.settings.packets,
            relays: self.settings.status,
            incarnation: self.incarnation,
            weight: self.settings.weight,
            state: self.state,
            held: self.shared.held(),
        };
        let manifest = ObjectVersion(self.shared.manifest.load(Ordering::Relaxed));
        self.registration.announce(record, manifest, now);
    }

    fn receive(&mut self, now: TimePoint) {
        if let Some(reply) = self.registration.receive(now) {
            self.welcome(&reply);
        }
    }

    fn welcome(&mut self, reply: &RegistrationReply) {
        self.events.push(SideEvent::Heard { fresh: reply.fresh });
        if self.slice != Some(reply.slice) && reply.slice != 0 {
            for keeper in self.registration.tracker_status() {
                if self.fetch_slice(keeper, reply.slice) {
                    return;
                }
            }
        }
    }

    // A keeper that is behind may still answer with what is known already.
    fn fetch_slice(&mut self, keeper: SocketAddrV4, wanted: u64) -> bool {
        let service = &self.settings.service;
        let url = format!(
            "http://{keeper}/peer/slice/{}/{}",
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
                log::warn!(target: "peer", peer:% = keeper, cause = cause.as_str(); "no slice");
                return false;
            }
        };
        // A manifest never reverts, whoever sends an older one.
        if slice.slice != wanted || slice.manifest < self.shared.manifest.load(Ordering::Relaxed) {
            return false;
        }
        match self.read_slice(&slice) {
            Some(news) => {
                if let Some(spec) = &news.spec {
                    self.warm_up = spec.timing.warm_up;
                    self.drain_grace = spec.timing.drain_grace;
                }
                self.slice = Some(slice.slice);
                self.note_leave(&news.hosts, clock::now());
                self.events.push(SideEvent::News(news));
                self.shared
                    .manifest
                    .store(slice.manifest, Ordering::Relaxed);
                log::info!(
                    target: "document",
                    service:% = self.settings.service, version = slice.manifest;
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

// A small request of its own, so that a stuck backend server can't hold up
// announcements for long.
fn ask_health(address: SocketAddrV4) -> BackendHealth {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address.into(), PROBE_TIMEOUT)?;
        stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: backend\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.take(4096).read_to_string(&mut text)?;
        Ok(text)
    };
    match ask() {
        Ok(text) if text.starts_with("HTTP/1.1 200") => BackendHealth::Ready,
        Ok(text) if text.contains("draining") => BackendHealth::Draining,
        Ok(_) | Err(_) => BackendHealth::Down,
    }
}
