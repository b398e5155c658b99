//! What the flow thread of a side process is told by the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{PoisonError, RwLock};

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use rocket::tokio::sync::oneshot;

use chestnutlb_core::{BucketIndex, HostRecord, HostState, RequestId, ServiceSpec};
use chestnutlb_wire::peer::{CancelAnswer, CancelQuery, RelayAnswer, RelayQuery};

use crate::metrics::{CounterSet, offer};
use crate::side_relay::RelayResult;

/// Events that may wait.
const EVENT_RING: usize = 4096;

/// The part of manifest and roster that concerns one service.
#[derive(Debug, Clone)]
pub struct ServiceUpdate {
    /// The service; none if the manifest lacks it.
    pub spec: Option<Arc<ServiceSpec>>,
    /// Its hosts.
    pub hosts: Vec<HostRecord>,
}

/// An event.
#[derive(Debug)]
pub enum SideEvent {
    /// Manifest or roster changed.
    News(ServiceUpdate),
    /// A keeper said whether what it knows is fresh.
    Heard {
        /// Whether it is.
        fresh: bool,
    },
    /// The host's state changed.
    State(HostState),
    /// Another host hands over a request.
    Relay(RelayQuery, oneshot::Sender<RelayAnswer>),
    /// Another host cancels a request.
    Cancel(CancelQuery, oneshot::Sender<CancelAnswer>),
    /// What became of a request that was handed over.
    RelayDone(RequestId, RelayResult),
    /// What the other host said to a cancellation; none if nothing.
    CancelDone(RequestId, Option<CancelAnswer>),
}

/// The ring of events, which wakes the flow thread.
#[derive(Debug)]
pub struct SideRing {
    sender: Sender<SideEvent>,
    waker: Waker,
    counters: Arc<CounterSet>,
}

impl SideRing {
    /// A ring and its reading end.
    pub fn new(waker: Waker, counters: Arc<CounterSet>) -> (Arc<Self>, Receiver<SideEvent>) {
        let (sender, receiver) = bounded(EVENT_RING);
        let ring = Self {
            sender,
            waker,
            counters,
        };
        (Arc::new(ring), receiver)
    }

    /// Adds an event; it is dropped and counted if the ring is full.
    pub fn push(&self, event: SideEvent) -> bool {
        let taken = offer(&self.sender, event, &self.counters);
        // The flow thread also looks at the ring by itself now and then.
        let _ = self.waker.wake();
        taken
    }
}

/// What the threads of a side process share.
#[derive(Debug)]
pub struct SideShared {
    /// What is counted.
    pub counters: Arc<CounterSet>,
    /// Whether the process was asked to stop.
    pub stopping: AtomicBool,
    /// Whether flows or requests are left.
    pub busy: AtomicBool,
    /// Open flows.
    pub flows: AtomicU64,
    /// Requests that run.
    pub running: AtomicU64,
    /// Requests that wait.
    pub waiting: AtomicU64,
    /// Version of the manifest in force.
    pub manifest: AtomicU64,
    state: RwLock<HostState>,
    held: RwLock<Vec<BucketIndex>>,
}

impl SideShared {
    /// What is shared when the process starts.
    pub fn new(counters: Arc<CounterSet>) -> Self {
        Self {
            counters,
            stopping: AtomicBool::new(false),
            busy: AtomicBool::new(false),
            flows: AtomicU64::new(0),
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            manifest: AtomicU64::new(0),
            state: RwLock::new(HostState::Joining),
            held: RwLock::default(),
        }
    }

    /// The host's state.
    pub fn state(&self) -> HostState {
        *self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the host's state.
    pub fn set_state(&self, state: HostState) {
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Buckets that the host holds flows of without being a candidate.
    pub fn held(&self) -> Vec<BucketIndex> {
        self.held
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the held buckets.
    pub fn set_held(&self, held: Vec<BucketIndex>) {
        *self.held.write().unwrap_or_else(PoisonError::into_inner) = held;
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
