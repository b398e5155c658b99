//! Registration of a host with its registration targets, which are entry VMs, and their
//! replies. The host's trackers are among the targets.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutlb_core::{
    HostName, HostRecord, HostRevision, ObjectVersion, RegistrationReply, RegistrationTargets,
    TimePoint,
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

/// Whether entry VMs know of a host, as far as its side process can tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EntryContact {
    /// No registration was due so far: the backend server has not reported.
    #[default]
    NotRegistered,
    /// No address of an entry VM is known: the settings name no seed so far.
    NoEntryKnown,
    /// No entry VM has replied within [`REPLY_TIMEOUT`].
    NoReply,
    /// An entry VM has replied.
    Replied,
}

impl EntryContact {
    /// Returns the name in the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRegistered => "not-registered",
            Self::NoEntryKnown => "no-entry-known",
            Self::NoReply => "no-reply",
            Self::Replied => "replied",
        }
    }
}

/// The contact with entry VMs, for the threads that show it.
#[derive(Debug, Clone, Default)]
pub struct SharedContact(Arc<Mutex<EntryContact>>);

impl SharedContact {
    /// Returns the contact.
    pub fn get(&self) -> EntryContact {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Replaces the contact and returns the previous one.
    fn replace(&self, contact: EntryContact) -> EntryContact {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut current, contact)
    }
}

/// Registers one host with its registration targets.
#[derive(Debug)]
pub struct HostRegistration {
    socket: UdpSocket,
    seeds: SeedList,
    counters: Arc<CounterSet>,
    contact: SharedContact,
    registered: Option<HostRecord>,
    revision: HostRevision,
    registration_targets: RegistrationTargets,
    last_reply: Option<TimePoint>,
}

impl HostRegistration {
    /// Creates a registration that sends from a bound socket; `seeds` are contacted while
    /// no registration target replies. `contact` shows whether any entry VM does.
    pub fn new(
        socket: UdpSocket,
        seeds: SeedList,
        counters: Arc<CounterSet>,
        contact: SharedContact,
    ) -> std::io::Result<Self> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self {
            socket,
            seeds,
            counters,
            contact,
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
        let addresses = self.target_addresses(now);
        self.record_contact(&record.name, addresses.len(), now);
        let message = if has_changed || self.registration_targets.is_full_registration_due(now) {
            self.registration_targets.record_full_registration(now);
            PeerMessage::Announce(WireRegistration {
                host: (&record).into(),
                revision: self.revision.0,
                manifest: manifest.into(),
            })
        } else {
            PeerMessage::Alive(WireKeepAlive {
                name: record.name.into(),
                incarnation: record.incarnation.0,
                revision: self.revision.0,
                manifest: manifest.into(),
            })
        };
        let bytes = write_message(&message);
        for target in addresses {
            // A lost registration is not retransmitted: the next one replaces it.
            if self.socket.send_to(&bytes, target).is_ok() {
                self.counters.add(Counter::PeerOut);
            }
        }
    }

    // Records whether entry VMs are known and reply, and logs a change.
    fn record_contact(&self, host: &HostName, addresses: usize, now: TimePoint) {
        let contact = if addresses == 0 {
            self.counters.add(Counter::RegistrationsUnsent);
            EntryContact::NoEntryKnown
        } else if self.are_targets_silent(now) {
            EntryContact::NoReply
        } else {
            EntryContact::Replied
        };
        if self.contact.replace(contact) == contact {
            return;
        }
        let level = match contact {
            EntryContact::Replied => log::Level::Info,
            _ => log::Level::Warn,
        };
        log::log!(
            target: "peer", level,
            host:% = host, contact = contact.as_str(), addresses = addresses,
            seeds = self.seeds.get().len(),
            reply_age_ms = self.last_reply.map(|reply| now.since(reply).as_millis() as u64);
            "contact with entry VMs"
        );
    }

    fn are_targets_silent(&self, now: TimePoint) -> bool {
        self.last_reply
            .is_none_or(|last_reply| now.since(last_reply) >= REPLY_TIMEOUT)
    }

    // Returns the addresses of the registration targets, with the seeds if no target is known
    // or no entry VM has replied within [`REPLY_TIMEOUT`].
    fn target_addresses(&self, now: TimePoint) -> Vec<SocketAddrV4> {
        let mut addresses: Vec<SocketAddrV4> = self
            .registration_targets
            .entries()
            .map(|target| target.peers)
            .collect();
        if self.are_targets_silent(now) || addresses.is_empty() {
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
