//! The ring of events for the control thread of an entry VM. Each event carries its arrival, so
//! that the control thread knows how far it lags.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, bounded};

use chestnutlb_core::{ControlEvent, TimePoint};

use crate::clock;
use crate::metrics::{CounterSet, try_push};

/// Capacity of the ring.
const EVENT_RING: usize = 4096;

/// An event with its arrival at this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArrivedEvent {
    /// The event.
    pub event: ControlEvent,
    /// When it was received.
    pub arrived_at: TimePoint,
}

/// The sending end of the ring.
#[derive(Debug, Clone)]
pub struct EventRing {
    sender: Sender<ArrivedEvent>,
    counters: Arc<CounterSet>,
}

impl EventRing {
    /// Creates a ring. Returns its two ends.
    pub fn new(counters: Arc<CounterSet>) -> (Self, Receiver<ArrivedEvent>) {
        let (sender, receiver) = bounded(EVENT_RING);
        (Self { sender, counters }, receiver)
    }

    /// Sends an event without blocking. If the ring is full, the event is dropped and counted.
    /// Returns whether it was sent.
    pub fn push(&self, event: ControlEvent) -> bool {
        let arrived_at = clock::now();
        let arrived = ArrivedEvent { event, arrived_at };
        try_push(&self.sender, arrived, &self.counters)
    }
}
