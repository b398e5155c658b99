//! Events that the other threads of a side process send to its flow thread, and
//! the state that the threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{PoisonError, RwLock};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use rocket::tokio::sync::oneshot;

use chestnutlb_core::{BucketIndex, HostRecord, HostState, ObjectVersion, RequestId, ServiceSpec};
use chestnutlb_wire::peer::{CancelQuery, CancelReply, RelayQuery, RelayReply};

use crate::metrics::{CounterSet, try_push};
use crate::registration::SharedContact;
use crate::side_relay::RelayResult;

/// Maximum number of events that wait for the flow thread.
const EVENT_RING_CAPACITY: usize = 4096;

/// The part of manifest and roster that concerns one service.
#[derive(Debug, Clone)]
pub struct ServiceUpdate {
    /// The service's manifest entry; `None` if the manifest does not contain
    /// the service.
    pub spec: Option<Arc<ServiceSpec>>,
    /// All hosts of the service.
    pub hosts: Vec<HostRecord>,
}

/// Event for the flow thread.
#[derive(Debug)]
pub enum SideEvent {
    /// The service's manifest entry or its hosts changed.
    ServiceChanged(ServiceUpdate),
    /// An entry VM replied to a registration or keep-alive.
    RegistrationReplied {
        /// Whether the platform confirmed the entry VM's documents recently.
        fresh: bool,
    },
    /// The host's state changed.
    StateChanged(HostState),
    /// Another host relays a request to this one.
    Relay(RelayQuery, oneshot::Sender<RelayReply>),
    /// Another host cancels a request that it relayed.
    Cancel(CancelQuery, oneshot::Sender<CancelReply>),
    /// A relay to another host ended with this result.
    RelayDone(RequestId, RelayResult),
    /// A cancellation ended with the other host's reply; `None` if there was no
    /// reply.
    CancelDone(RequestId, Option<CancelReply>),
}

/// Sending end of the event ring. Each event wakes the flow thread.
#[derive(Debug)]
pub struct SideRing {
    sender: Sender<SideEvent>,
    waker: Waker,
    counters: Arc<CounterSet>,
}

impl SideRing {
    /// Creates a ring and returns both of its ends.
    pub fn new(waker: Waker, counters: Arc<CounterSet>) -> (Arc<Self>, Receiver<SideEvent>) {
        let (sender, receiver) = bounded(EVENT_RING_CAPACITY);
        let ring = Self {
            sender,
            waker,
            counters,
        };
        (Arc::new(ring), receiver)
    }

    /// Adds an event and wakes the flow thread. Returns whether the event was
    /// added; an event that finds the ring full is dropped and counted.
    pub fn push(&self, event: SideEvent) -> bool {
        let added = try_push(&self.sender, event, &self.counters);
        // A failed wake-up only delays the event, since the flow thread also
        // polls the ring periodically.
        let _ = self.waker.wake();
        added
    }
}

/// State shared by the threads of a side process.
#[derive(Debug)]
pub struct SideShared {
    /// Counters and timings.
    pub counters: Arc<CounterSet>,
    /// Whether the process received a stop signal.
    pub stopping: AtomicBool,
    /// Whether any flow or request is left.
    pub busy: AtomicBool,
    /// Number of flows.
    pub flows: AtomicU64,
    /// Number of running requests.
    pub running: AtomicU64,
    /// Number of waiting requests.
    pub waiting: AtomicU64,
    /// Whether entry VMs know of the host.
    pub contact: SharedContact,
    manifest: RwLock<ObjectVersion>,
    state: RwLock<HostState>,
    held_buckets: RwLock<Vec<BucketIndex>>,
}

impl SideShared {
    /// Creates the state of a process that starts.
    pub fn new(counters: Arc<CounterSet>) -> Self {
        Self {
            counters,
            stopping: AtomicBool::new(false),
            busy: AtomicBool::new(false),
            flows: AtomicU64::new(0),
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            contact: SharedContact::default(),
            manifest: RwLock::default(),
            state: RwLock::new(HostState::Joining),
            held_buckets: RwLock::default(),
        }
    }

    /// Returns the version of the manifest in force.
    pub fn manifest_version(&self) -> ObjectVersion {
        *self.manifest.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the version of the manifest in force.
    pub fn set_manifest_version(&self, version: ObjectVersion) {
        *self
            .manifest
            .write()
            .unwrap_or_else(PoisonError::into_inner) = version;
    }

    /// Returns the host's state.
    pub fn state(&self) -> HostState {
        *self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the host's state.
    pub fn set_state(&self, state: HostState) {
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Returns the buckets that the host holds flows of without being a
    /// candidate for them.
    pub fn held_buckets(&self) -> Vec<BucketIndex> {
        self.held_buckets
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the held buckets.
    pub fn set_held_buckets(&self, held_buckets: Vec<BucketIndex>) {
        *self
            .held_buckets
            .write()
            .unwrap_or_else(PoisonError::into_inner) = held_buckets;
    }

    /// Returns whether the process received a stop signal.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
