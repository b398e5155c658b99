//! How long short work waits at one host, in virtual time: the shipped slots
//! against plain first come, first served.
//!
//! One host's core is fed with generated requests; nothing else takes part.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use chestnutlb_core::{
    RequestClass, RequestId, SlotEvent, SlotOffer, SlotPolicy, SlotScheduler, TimePoint,
};

/// Mean run time of short work, in milliseconds.
const SHORT_MS: f64 = 20.0;
/// Long work runs so many times longer.
const LONG_FACTOR: f64 = 100.0;
/// One request in so many is long.
const LONG_EVERY: u32 = 200;
/// Slots of the host.
const SLOTS: usize = 3;
/// Requests that may wait.
const QUEUE: usize = 64;
/// Deadline of short work.
const SHORT_DEADLINE: Duration = Duration::from_millis(1_000);
/// Deadline of long work.
const LONG_DEADLINE: Duration = Duration::from_secs(60);

/// The work that is offered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkMix {
    /// Offered work of both kinds, as a share of the host's capacity.
    pub load: f64,
    /// Whether there is long work.
    pub stragglers: bool,
    /// Virtual seconds.
    pub seconds: u64,
    /// Seed.
    pub seed: u64,
}

/// What came out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WaitFigures {
    /// Which slots.
    pub policy: &'static str,
    /// Offered load.
    pub load: f64,
    /// Whether there was long work.
    pub stragglers: bool,
    /// Short requests offered.
    pub offered: u64,
    /// Waiting of short work, in milliseconds: median.
    pub p50_ms: u64,
    /// The same, 99th of 100.
    pub p99_ms: u64,
    /// The same, 999th of 1000.
    pub p999_ms: u64,
    /// Short requests that were answered in time.
    pub in_time: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Run time given to work that ended in time, as a share of capacity.
    pub goodput: f64,
}

#[derive(Debug, Clone, Copy)]
struct OfferedWork {
    arrived: TimePoint,
    deadline: TimePoint,
    class: RequestClass,
    run: Duration,
}

struct WaitRun {
    slots: SlotScheduler,
    work: BTreeMap<RequestId, OfferedWork>,
    ends: BinaryHeap<Reverse<(TimePoint, RequestId)>>,
    waits: Histogram<u64>,
    in_time: u64,
    refused: u64,
    good: Duration,
}

impl WaitRun {
    fn start(&mut self, id: RequestId, now: TimePoint) {
        if let Some(work) = self.work.get(&id) {
            if work.class == RequestClass::Short {
                // The histogram grows by itself.
                let _ = self
                    .waits
                    .record(now.since(work.arrived).as_millis() as u64);
            }
            self.ends.push(Reverse((now + work.run, id)));
        }
    }

    fn pull(&mut self, now: TimePoint) {
        while let Some(event) = self.slots.next(now) {
            match event {
                SlotEvent::Start(id) => self.start(id, now),
                SlotEvent::Refuse(id, _) => {
                    self.work.remove(&id);
                    self.refused += 1;
                }
            }
        }
    }

    fn end_until(&mut self, now: TimePoint) {
        while let Some(Reverse((end, id))) = self.ends.peek().copied() {
            if end > now {
                return;
            }
            self.ends.pop();
            self.slots.finish(id, end);
            if let Some(work) = self.work.remove(&id)
                && end <= work.deadline
            {
                self.good += work.run;
                self.in_time += u64::from(work.class == RequestClass::Short);
            }
            self.pull(end);
        }
    }

    fn offer(&mut self, id: RequestId, work: OfferedWork) {
        self.work.insert(id, work);
        match self
            .slots
            .offer(id, work.class, work.deadline, work.arrived)
        {
            SlotOffer::Start => self.start(id, work.arrived),
            SlotOffer::Queued(_) => {}
            SlotOffer::Refused(_) => {
                self.work.remove(&id);
                self.refused += 1;
            }
        }
        self.pull(work.arrived);
    }
}

/// Runs one policy on one mix.
pub fn measure(policy: SlotPolicy, mix: WorkMix) -> WaitFigures {
    const SIGNIFICANT_DIGITS: u8 = 3;
    let waits = Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|error| panic!("{error}"));
    let mut run = WaitRun {
        slots: SlotScheduler::new(policy, SLOTS, QUEUE),
        work: BTreeMap::new(),
        ends: BinaryHeap::new(),
        waits,
        in_time: 0,
        refused: 0,
        good: Duration::ZERO,
    };
    let mut random = StdRng::seed_from_u64(mix.seed);
    let long_share = 1.0 / f64::from(LONG_EVERY);
    let mean = SHORT_MS * (1.0 - long_share + long_share * LONG_FACTOR);
    let spacing = mean / (SLOTS as f64 * mix.load);
    let (mut at, mut offered, mut number) = (0.0, 0, 0);
    let end = mix.seconds as f64 * 1000.0;
    while at < end {
        // Exponential gaps, so that arrivals are independent of each other.
        at += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() * spacing;
        let long = random.random_range(0..LONG_EVERY) == 0;
        let spread = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
        number += 1;
        if long && !mix.stragglers {
            continue;
        }
        let arrived = TimePoint(at as u64);
        let (class, run_ms, deadline) = if long {
            (RequestClass::Long, SHORT_MS * LONG_FACTOR, LONG_DEADLINE)
        } else {
            (RequestClass::Short, SHORT_MS * spread, SHORT_DEADLINE)
        };
        offered += u64::from(!long);
        run.end_until(arrived);
        run.offer(
            RequestId(number),
            OfferedWork {
                arrived,
                deadline: arrived + deadline,
                class,
                run: Duration::from_micros((run_ms * 1000.0) as u64).max(Duration::from_millis(1)),
            },
        );
    }
    let capacity = mix.seconds as f64 * SLOTS as f64;
    WaitFigures {
        policy: match policy {
            SlotPolicy::Fifo => "first come, first served",
            SlotPolicy::Classes => "classes (shipped)",
        },
        load: mix.load,
        stragglers: mix.stragglers,
        offered,
        p50_ms: run.waits.value_at_quantile(0.5),
        p99_ms: run.waits.value_at_quantile(0.99),
        p999_ms: run.waits.value_at_quantile(0.999),
        in_time: run.in_time,
        refused: run.refused,
        goodput: run.good.as_secs_f64() / capacity,
    }
}

/// The runs of the report: both policies at ordinary load and at the crest.
pub fn measure_all(seconds: u64, seed: u64) -> Vec<WaitFigures> {
    let mut all = Vec::new();
    for load in [0.7, 1.0, 3.0] {
        for stragglers in [false, true] {
            for policy in [SlotPolicy::Fifo, SlotPolicy::Classes] {
                let mix = WorkMix {
                    load,
                    stragglers,
                    seconds,
                    seed,
                };
                all.push(measure(policy, mix));
            }
        }
    }
    all
}
