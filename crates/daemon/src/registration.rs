//! Registration of a host with its registration targets, which are entry VMs, and their
//! replies. The host's trackers are among the targets.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutlb_core::{
    HostRecord, HostRevision, ObjectVersion, RegistrationReply, RegistrationTargets, TimePoint,
};
use chestnutlb_wire::peer::{
    MAX_PEER_DATAGRAM_BYTES, PeerMessage, WireKeepAlive, WireRegistration, scan_message,
    write_message,
};

use crate::metrics::{Counter, CounterSet};

/// Interval between two registrations or keep-alives.
pub const REGISTRATION_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for a datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time without a reply from any entry VM after which the seeds are contacted too.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Addresses of the entry VMs that are contacted while no registration target replies. A
/// reload of the settings may replace them.
#[derive(Debug, Clone)]
pub struct SeedList(Arc<Mutex<Vec<SocketAddrV4>>>);

impl SeedList {
    /// Creates a list of these addresses.
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

/// Registers one host with its registration targets.
#[derive(Debug)]
pub struct HostRegistration {
    socket: UdpSocket,
    seeds: SeedList,
    counters: Arc<CounterSet>,
    registered: Option<HostRecord>,
    revision: HostRevision,
    registration_targets: RegistrationTargets,
    last_reply: Option<TimePoint>,
}

impl HostRegistration {
    /// Creates a registration that sends from a bound socket; `seeds` are contacted while
    /// no registration target replies.
    pub fn new(
        socket: UdpSocket,
        seeds: SeedList,
        counters: Arc<CounterSet>,
    ) -> std::io::Result<Self> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self {
            socket,
            seeds,
            counters,
            registered: None,
            revision: HostRevision::default(),
            registration_targets: RegistrationTargets::default(),
            last_reply: None,
        })
    }

    /// Returns the HTTP addresses of the registration targets, in order of preference.
    pub fn target_http_addresses(&self) -> Vec<SocketAddrV4> {
        self.registration_targets
            .entries()
            .map(|target| target.status)
            .collect()
    }

    /// Returns whether a registration is due at once: an entry VM has requested one or named
    /// new registration targets.
    pub fn is_due_at_once(&self, now: TimePoint) -> bool {
        self.registration_targets.is_due_at_once(now)
    }

    /// Sends a full registration if the host changed or one is due, and a keep-alive
    /// otherwise.
    pub fn send(&mut self, record: HostRecord, manifest: ObjectVersion, now: TimePoint) {
        let has_changed = self.registered.as_ref() != Some(&record);
        if has_changed {
            self.revision.0 += 1;
            self.registered = Some(record.clone());
        }
        self.registration_targets.drop_unnamed(now);
        let message = if has_changed || self.registration_targets.is_full_registration_due(now) {
            self.registration_targets.record_full_registration(now);
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
        for target in self.target_addresses(now) {
            // A lost registration is not retransmitted: the next one replaces it.
            if self.socket.send_to(&bytes, target).is_ok() {
                self.counters.add(Counter::PeerOut);
            }
        }
    }

    // Returns the addresses of the registration targets, with the seeds if no target is known
    // or no entry VM has replied within [`REPLY_TIMEOUT`].
    fn target_addresses(&self, now: TimePoint) -> Vec<SocketAddrV4> {
        let targets_silent = self
            .last_reply
            .is_none_or(|last_reply| now.since(last_reply) >= REPLY_TIMEOUT);
        let mut addresses: Vec<SocketAddrV4> = self
            .registration_targets
            .entries()
            .map(|target| target.peers)
            .collect();
        if targets_silent || addresses.is_empty() {
            addresses.extend(self.seeds.get());
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Waits up to [`RECEIVE_TIMEOUT`] for a reply of an entry VM and records the
    /// registration targets that it names. Returns `None` if there was no valid reply or it
    /// only requested a full registration.
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
        self.last_reply = Some(now);
        self.registration_targets.record_reply(&reply, now);
        (!reply.resend).then_some(reply)
    }
}
