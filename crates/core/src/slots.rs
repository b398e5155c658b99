//! Scheduling of requests to the slots of a host.
//!
//! Short and long requests wait in separate queues. Long requests get only the slots
//! left by the recent demand of short requests, with a margin for its variation. Long
//! requests may always use at least one slot; of several slots, at least one is reserved
//! for short requests. Requests whose deadline can't be met are refused before they take
//! a slot. A request is refused on arrival if its expected wait exceeds half of the time
//! to its deadline, so that the caller gets the refusal immediately and accepted requests
//! are answered in time, in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::RequestId;
use crate::manifest::RequestClass;
use crate::units::TimePoint;

/// A request may wait for at most the time to its deadline divided by this.
const MAX_WAIT_DIVISOR: u32 = 2;

/// How slots are assigned to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotPolicy {
    /// One queue in order of arrival; the baseline of the measurements.
    Fifo,
    /// One queue per class, with slots reserved for short requests.
    Classes,
}

/// Reason for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SlotRefusal {
    /// The queue is full.
    QueueFull,
    /// The expected wait exceeds the allowed part of the time to the deadline.
    WaitTooLong,
    /// Too little time to the deadline was left to run the request.
    Expired,
    /// The host is leaving.
    Leaving,
    /// The backend server did not start the request.
    NotStarted,
}

impl SlotRefusal {
    /// Returns the name used in logs, metrics and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::WaitTooLong => "wait-too-long",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::NotStarted => "not-started",
        }
    }
}

/// Result of offering a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOffer {
    /// The request takes a slot immediately.
    Start,
    /// The request waits; the duration is an estimate.
    Queued(Duration),
    /// The request was refused.
    Refused(SlotRefusal),
}

/// Result of polling the queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotEvent {
    /// The request takes a slot.
    Start(RequestId),
    /// The request leaves the queue without running.
    Refuse(RequestId, SlotRefusal),
}

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    id: RequestId,
    class: RequestClass,
    deadline: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    id: RequestId,
    class: RequestClass,
    started: TimePoint,
}

/// Exponentially smoothed run time of a class, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct MeanTime(f64);

impl MeanTime {
    const SMOOTHING: f64 = 0.1;

    fn add(&mut self, elapsed: Duration) {
        let millis = elapsed.as_secs_f64() * 1000.0;
        self.0 += (millis - self.0) * Self::SMOOTHING;
    }
}

/// Time constant for averaging the demand of short requests.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// Arrival rate of short requests, as a count that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct ShortDemand {
    count: f64,
    updated_at: TimePoint,
}

impl ShortDemand {
    fn decay(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.count *= (-elapsed).exp();
        self.updated_at = self.updated_at.max(now);
    }

    // Returns the average number of slots that short requests occupy.
    fn slots(&self, run_time: MeanTime) -> f64 {
        self.count / DEMAND_WINDOW.as_secs_f64() * run_time.0 / 1000.0
    }
}

/// Slots and queues of one host.
#[derive(Debug)]
pub struct SlotScheduler {
    policy: SlotPolicy,
    slots: usize,
    queue_limit: usize,
    running: Vec<RunningRequest>,
    short: VecDeque<WaitingRequest>,
    long: VecDeque<WaitingRequest>,
    short_time: MeanTime,
    long_time: MeanTime,
    demand: ShortDemand,
}

impl SlotScheduler {
    /// Creates a scheduler with this many slots. `queue_limit` is the maximum number of
    /// waiting requests of each class.
    pub fn new(policy: SlotPolicy, slots: usize, queue_limit: usize) -> Self {
        Self {
            policy,
            slots,
            queue_limit,
            running: Vec::with_capacity(slots),
            short: VecDeque::new(),
            long: VecDeque::new(),
            short_time: MeanTime(1.0),
            long_time: MeanTime(1.0),
            demand: ShortDemand::default(),
        }
    }

    /// Changes the limits. Running and waiting requests are not affected.
    pub fn set_limits(&mut self, slots: usize, queue_limit: usize) {
        self.slots = slots;
        self.queue_limit = queue_limit;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.short.len() + self.long.len()
    }

    fn has_slot(&self, class: RequestClass) -> bool {
        if self.running.len() >= self.slots {
            return false;
        }
        match (self.policy, class) {
            (SlotPolicy::Fifo, _) | (_, RequestClass::Short) => true,
            (SlotPolicy::Classes, RequestClass::Long) => {
                let long = self.running.iter().filter(|run| run.class == class).count();
                long < self.long_slots()
            }
        }
    }

    // Returns the number of slots available to long requests. The square root of the
    // short demand is its standard deviation, if arrivals are independent.
    fn long_slots(&self) -> usize {
        let demand = self.demand.slots(self.short_time);
        let reserved = (demand + demand.sqrt()).ceil().max(1.0) as usize;
        self.slots.saturating_sub(reserved).max(1)
    }

    fn queue(&mut self, class: RequestClass) -> &mut VecDeque<WaitingRequest> {
        match (self.policy, class) {
            (SlotPolicy::Fifo, _) | (_, RequestClass::Short) => &mut self.short,
            (SlotPolicy::Classes, RequestClass::Long) => &mut self.long,
        }
    }

    /// Returns the expected wait of a new request of this class.
    pub fn expected_wait(&self, class: RequestClass) -> Duration {
        if self.has_slot(class) {
            return Duration::ZERO;
        }
        let (queue, mean, slots) = match (self.policy, class) {
            (SlotPolicy::Classes, RequestClass::Long) => {
                (&self.long, self.long_time, self.long_slots())
            }
            _ => (&self.short, self.short_time, self.slots),
        };
        let rounds = (queue.len() + 1) as f64 / slots.max(1) as f64;
        Duration::from_secs_f64(rounds * mean.0 / 1000.0)
    }

    /// Offers a request, which starts, waits or is refused.
    pub fn offer(
        &mut self,
        id: RequestId,
        class: RequestClass,
        deadline: TimePoint,
        now: TimePoint,
    ) -> SlotOffer {
        self.demand.decay(now);
        if class == RequestClass::Short {
            self.demand.count += 1.0;
        }
        if self.has_slot(class) && self.queue(class).is_empty() {
            self.run(id, class, now);
            return SlotOffer::Start;
        }
        let limit = self.queue_limit;
        if self.queue(class).len() >= limit {
            return SlotOffer::Refused(SlotRefusal::QueueFull);
        }
        let wait = self.expected_wait(class);
        let is_late = wait > deadline.since(now) / MAX_WAIT_DIVISOR || deadline <= now;
        if is_late && self.policy == SlotPolicy::Classes {
            return SlotOffer::Refused(SlotRefusal::WaitTooLong);
        }
        self.queue(class).push_back(WaitingRequest {
            id,
            class,
            deadline,
        });
        SlotOffer::Queued(wait)
    }

    fn run(&mut self, id: RequestId, class: RequestClass, now: TimePoint) {
        self.running.push(RunningRequest {
            id,
            class,
            started: now,
        });
    }

    /// Records that a running request has ended.
    pub fn finish(&mut self, id: RequestId, now: TimePoint) {
        let Some(index) = self.running.iter().position(|run| run.id == id) else {
            return;
        };
        let run = self.running.swap_remove(index);
        let elapsed = now.since(run.started);
        match run.class {
            RequestClass::Short => self.short_time.add(elapsed),
            RequestClass::Long => self.long_time.add(elapsed),
        }
    }

    /// Removes a request from the queues. Returns whether it was waiting.
    pub fn withdraw(&mut self, id: RequestId) -> bool {
        let before = self.waiting();
        self.short.retain(|waiting| waiting.id != id);
        self.long.retain(|waiting| waiting.id != id);
        self.waiting() < before
    }

    /// Returns the next request to start or refuse, or `None` if no slot is free or the
    /// queues are empty.
    pub fn next(&mut self, now: TimePoint) -> Option<SlotEvent> {
        self.demand.decay(now);
        // If no long request is running, the long queue goes first; otherwise short
        // requests at peak load would starve long ones.
        let no_long_running = self
            .running
            .iter()
            .all(|run| run.class != RequestClass::Long);
        let (first, second) = if no_long_running && self.slots > 1 {
            (RequestClass::Long, RequestClass::Short)
        } else {
            (RequestClass::Short, RequestClass::Long)
        };
        self.next_of_class(first, now)
            .or_else(|| self.next_of_class(second, now))
    }

    fn next_of_class(&mut self, class: RequestClass, now: TimePoint) -> Option<SlotEvent> {
        let has_slot = self.has_slot(class);
        let run_time = match self.policy {
            SlotPolicy::Fifo => Duration::ZERO,
            SlotPolicy::Classes => self.run_time(class),
        };
        let queue = self.queue(class);
        let head = *queue.front()?;
        // A request that would end after its deadline is not started.
        if head.deadline <= now + run_time {
            queue.pop_front();
            return Some(SlotEvent::Refuse(head.id, SlotRefusal::Expired));
        }
        if !has_slot {
            return None;
        }
        queue.pop_front();
        self.run(head.id, head.class, now);
        Some(SlotEvent::Start(head.id))
    }

    fn run_time(&self, class: RequestClass) -> Duration {
        let mean = match class {
            RequestClass::Short => self.short_time,
            RequestClass::Long => self.long_time,
        };
        Duration::from_secs_f64(mean.0 / 1000.0)
    }
}
