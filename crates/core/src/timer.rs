//! The timer service. Parts of a process subscribe to it; whoever drives the
//! process asks when the next timer is due and hands over the time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::units::TimePoint;

/// The parts that subscribe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKind {
    /// Heartbeats among entry VMs.
    Heartbeat,
    /// Checks for silent hosts and entry VMs.
    Liveness,
    /// Batched writes to the platform.
    Batch,
    /// Pulls from peers and re-reads from the platform.
    Repair,
    /// Announcements of a host.
    Announce,
    /// Flows that are idle or half open.
    FlowSweep,
    /// Queued requests and relays past their deadline.
    RequestSweep,
    /// Health and load of the backend server.
    Probe,
    /// Publication of the status.
    Status,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    due: TimePoint,
    part: TimerKind,
    period: Duration,
}

/// Periodic timers in virtual time.
#[derive(Debug, Default)]
pub struct TimerService {
    heap: BinaryHeap<Reverse<TimerEntry>>,
}

impl TimerService {
    /// Subscribes `part` to a tick every `period`, first at `now + period`.
    pub fn subscribe(&mut self, part: TimerKind, period: Duration, now: TimePoint) {
        self.heap.push(Reverse(TimerEntry {
            due: now + period,
            part,
            period,
        }));
    }

    /// When the next tick is due.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.heap.peek().map(|entry| entry.0.due)
    }

    /// The next part whose tick is due, if any. Ticks that were missed, as by
    /// a paused process, are delivered once.
    pub fn poll(&mut self, now: TimePoint) -> Option<TimerKind> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.heap.push(Reverse(TimerEntry {
            due: now + entry.period,
            ..entry
        }));
        Some(entry.part)
    }
}
