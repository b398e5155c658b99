//! Announcements of a host to its keepers, and what they answer.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutlb_core::{
    EntryRecord, HostRecord, HostRevision, ObjectVersion, RegistrationReply, TimePoint,
};
use chestnutlb_wire::peer::{
    MAX_PEER_DATAGRAM_BYTES, PeerMessage, WireKeepAlive, WireRegistration, scan_message,
    write_message,
};

use crate::metrics::{Counter, CounterSet};

/// Time between two announcements.
pub const REGISTRATION_PERIOD: Duration = Duration::from_millis(500);
/// Time between two announcements in full.
const FULL_PERIOD: Duration = Duration::from_secs(5);
/// Time to wait for a datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// A keeper that is silent for this time is asked for another.
const TRACKER_SILENCE: Duration = Duration::from_secs(3);

/// The entry VMs to begin with, which a reload may replace.
#[derive(Debug, Clone)]
pub struct SeedList(Arc<Mutex<Vec<SocketAddrV4>>>);

impl SeedList {
    /// A list with these entry VMs.
    pub fn new(seeds: Vec<SocketAddrV4>) -> Self {
        Self(Arc::new(Mutex::new(seeds)))
    }

    /// Replaces the list.
    pub fn set(&self, seeds: &[SocketAddrV4]) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = seeds.to_vec();
    }

    fn get(&self) -> Vec<SocketAddrV4> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Announces one host.
#[derive(Debug)]
pub struct HostRegistration {
    socket: UdpSocket,
    seeds: SeedList,
    counters: Arc<CounterSet>,
    announced: Option<HostRecord>,
    revision: HostRevision,
    full_due: TimePoint,
    trackers: Vec<EntryRecord>,
    heard: Option<TimePoint>,
}

impl HostRegistration {
    /// Announces from a bound socket; `seeds` are asked while no keeper is
    /// known.
    pub fn new(
        socket: UdpSocket,
        seeds: SeedList,
        counters: Arc<CounterSet>,
        now: TimePoint,
    ) -> std::io::Result<Self> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self {
            socket,
            seeds,
            counters,
            announced: None,
            revision: HostRevision::default(),
            full_due: now,
            trackers: Vec::new(),
            heard: None,
        })
    }

    /// Where the keepers answer over HTTP, best first.
    pub fn tracker_status(&self) -> Vec<SocketAddrV4> {
        self.trackers.iter().map(|tracker| tracker.status).collect()
    }

    /// Announces the host, in full if it changed or the time has come.
    pub fn announce(&mut self, record: HostRecord, manifest: ObjectVersion, now: TimePoint) {
        if self.announced.as_ref() != Some(&record) {
            self.revision.0 += 1;
            self.full_due = now;
            self.announced = Some(record.clone());
        }
        let message = if self.full_due <= now {
            self.full_due = now + FULL_PERIOD;
            PeerMessage::Announce(WireRegistration {
                host: (&record).into(),
                revision: self.revision.0,
                manifest: manifest.0,
            })
        } else {
            PeerMessage::Alive(WireKeepAlive {
                name: record.name.into(),
                incarnation: record.incarnation.0,
                revision: self.revision.0,
                manifest: manifest.0,
            })
        };
        let bytes = write_message(&message);
        for target in self.targets(now) {
            // A lost announcement is made up for by the next one.
            if self.socket.send_to(&bytes, target).is_ok() {
                self.counters.add(Counter::PeerOut);
            }
        }
    }

    fn targets(&self, now: TimePoint) -> Vec<SocketAddrV4> {
        let silent = self
            .heard
            .is_none_or(|heard| now.since(heard) >= TRACKER_SILENCE);
        let mut targets: Vec<SocketAddrV4> =
            self.trackers.iter().map(|tracker| tracker.peers).collect();
        if silent || targets.is_empty() {
            targets.extend(self.seeds.get());
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Waits a moment for a keeper's answer.
    pub fn receive(&mut self, now: TimePoint) -> Option<RegistrationReply> {
        let mut datagram = [0; MAX_PEER_DATAGRAM_BYTES + 1];
        let (len, from) = self.socket.recv_from(&mut datagram).ok()?;
        self.counters.add(Counter::PeerIn);
        let reply = match scan_message(&datagram[..len]) {
            Ok(PeerMessage::Welcome(wire)) => RegistrationReply::try_from(&wire).ok(),
            _ => None,
        };
        let Some(reply) = reply else {
            self.counters.add(Counter::PeerBad);
            log::info!(target: "peer", from:% = from, bytes = len; "malformed");
            return None;
        };
        self.heard = Some(now);
        if reply.resend {
            self.full_due = now;
            return None;
        }
        if !reply.trackers.is_empty() {
            self.trackers = reply.trackers.clone();
        }
        Some(reply)
    }
}
