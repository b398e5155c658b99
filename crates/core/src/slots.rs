//! The slots of a host: which request runs next.
//!
//! Short and long requests wait in queues of their own. Long ones take only
//! slots that the short work of the last seconds leaves over, with a margin for
//! its swings; one slot of several is never theirs, one always may be. Work whose deadline
//! can't be met is refused before it takes a slot: on arrival, if by estimate
//! half of its time would go by waiting, so that callers hear of it at once and
//! what is taken is answered in time, in the order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::RequestId;
use crate::manifest::RequestClass;
use crate::units::TimePoint;

/// Part of the time to its deadline that a request may wait.
const WAIT_DIVISOR: u32 = 2;

/// How slots are given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotPolicy {
    /// One queue in the order of arrival; the baseline of the measurements.
    Fifo,
    /// A queue for each class and a slot kept for short work.
    Classes,
}

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SlotRefusal {
    /// The queue is full.
    QueueFull,
    /// The wait would take too much of the time to the deadline.
    WaitTooLong,
    /// Too little time was left when it could have run.
    Expired,
    /// The host is leaving.
    Leaving,
    /// The backend server did not take it.
    NotStarted,
}

impl SlotRefusal {
    /// Name in logs, metrics and answers.
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

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOffer {
    /// It runs now.
    Start,
    /// It waits, by estimate for this long.
    Queued(Duration),
    /// It was refused.
    Refused(SlotRefusal),
}

/// What the queue gives out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotEvent {
    /// This request runs now.
    Start(RequestId),
    /// This request will not run.
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

/// Smoothed run time of a class.
#[derive(Debug, Clone, Copy)]
struct MeanTime(f64);

impl MeanTime {
    const SMOOTHING: f64 = 0.1;

    fn add(&mut self, span: Duration) {
        let millis = span.as_secs_f64() * 1000.0;
        self.0 += (millis - self.0) * Self::SMOOTHING;
    }
}

/// Time over which the demand of short work is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(10);

/// How much short work arrives, by a count that decays.
#[derive(Debug, Clone, Copy, Default)]
struct ShortDemand {
    count: f64,
    at: TimePoint,
}

impl ShortDemand {
    fn decay(&mut self, now: TimePoint) {
        let passed = now.since(self.at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.count *= (-passed).exp();
        self.at = self.at.max(now);
    }

    // Slots that are busy with it on average.
    fn slots(&self, run_time: MeanTime) -> f64 {
        self.count / DEMAND_TIME.as_secs_f64() * run_time.0 / 1000.0
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
    /// A scheduler for this many slots and waiting requests of each class.
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

    /// Changes the limits; running requests are not touched.
    pub fn set_limits(&mut self, slots: usize, queue_limit: usize) {
        self.slots = slots;
        self.queue_limit = queue_limit;
    }

    /// Running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Waiting requests.
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

    // What short work leaves over; the square root is the spread of its demand.
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

    /// How long a request of this class would wait, by estimate.
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

    /// Offers a request.
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
        let is_late = wait > deadline.since(now) / WAIT_DIVISOR || deadline <= now;
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

    /// Notes that a running request ended.
    pub fn finish(&mut self, id: RequestId, now: TimePoint) {
        let Some(place) = self.running.iter().position(|run| run.id == id) else {
            return;
        };
        let run = self.running.swap_remove(place);
        let span = now.since(run.started);
        match run.class {
            RequestClass::Short => self.short_time.add(span),
            RequestClass::Long => self.long_time.add(span),
        }
    }

    /// Takes a waiting request out. Returns whether it was waiting.
    pub fn withdraw(&mut self, id: RequestId) -> bool {
        let before = self.waiting();
        self.short.retain(|waiting| waiting.id != id);
        self.long.retain(|waiting| waiting.id != id);
        self.waiting() < before
    }

    /// The next thing to do, none when slots or queues are exhausted.
    pub fn next(&mut self, now: TimePoint) -> Option<SlotEvent> {
        self.demand.decay(now);
        // Without this, short work at the crest would starve long work.
        let long_waits = self
            .running
            .iter()
            .all(|run| run.class != RequestClass::Long);
        let (first, second) = if long_waits && self.slots > 1 {
            (RequestClass::Long, RequestClass::Short)
        } else {
            (RequestClass::Short, RequestClass::Long)
        };
        self.next_of(first, now)
            .or_else(|| self.next_of(second, now))
    }

    fn next_of(&mut self, class: RequestClass, now: TimePoint) -> Option<SlotEvent> {
        let has_slot = self.has_slot(class);
        let run_time = match self.policy {
            SlotPolicy::Fifo => Duration::ZERO,
            SlotPolicy::Classes => self.run_time(class),
        };
        let queue = self.queue(class);
        let head = *queue.front()?;
        // What would end too late is better not begun.
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
