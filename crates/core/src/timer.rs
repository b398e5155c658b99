//! Periodic timers that do not read a clock: the caller queries when the next tick is
//! due and passes the current time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::units::TimePoint;

/// The purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKind {
    /// Heartbeats among entry VMs.
    Heartbeat,
    /// Checks for silent hosts and entry VMs.
    Liveness,
    /// Batched writes to the platform.
    Batch,
    /// Checks of the member entry of this entry VM and for roster hosts to track.
    Repair,
    /// Registrations and keep-alives of a host.
    Registration,
    /// Removal of flows that are idle or half-open for too long.
    FlowSweep,
    /// Removal of queued requests and relays past their deadline.
    RequestSweep,
    /// Probes of the backend server's health and load.
    Probe,
    /// Publication of the status.
    Status,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    due: TimePoint,
    kind: TimerKind,
    period: Duration,
}

/// The periodic timers of a process, ordered by due time.
#[derive(Debug, Default)]
pub struct TimerService {
    heap: BinaryHeap<Reverse<TimerEntry>>,
}

impl TimerService {
    /// Adds a timer that ticks every `period`, first at `now + period`.
    pub fn subscribe(&mut self, kind: TimerKind, period: Duration, now: TimePoint) {
        self.heap.push(Reverse(TimerEntry {
            due: now + period,
            kind,
            period,
        }));
    }

    /// Returns when the next tick is due.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.heap.peek().map(|entry| entry.0.due)
    }

    /// Returns the next timer whose tick is due at `now`. Several missed ticks of a
    /// timer, for example after a pause of the process, are delivered as one.
    pub fn poll(&mut self, now: TimePoint) -> Option<TimerKind> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.heap.push(Reverse(TimerEntry {
            due: now + entry.period,
            ..entry
        }));
        Some(entry.kind)
    }
}
