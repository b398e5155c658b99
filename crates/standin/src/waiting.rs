//! Measures how long short requests wait at one host, in virtual time, and compares the
//! shipped slot policy with first come, first served.
//!
//! Generated requests are passed to the slot scheduler of one host; no other part of the
//! system is involved.

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

/// Mean run time of short requests, in milliseconds.
const SHORT_MS: f64 = 20.0;
/// Run time of long requests, as a multiple of [`SHORT_MS`].
const LONG_FACTOR: f64 = 100.0;
/// One request in this many is long, on average.
const LONG_EVERY: u32 = 200;
/// Number of slots of the host.
const SLOTS: usize = 3;
/// Limit of requests that wait for a slot.
const QUEUE: usize = 64;
/// Deadline of short requests.
const SHORT_DEADLINE: Duration = Duration::from_millis(1_000);
/// Deadline of long requests.
const LONG_DEADLINE: Duration = Duration::from_secs(60);

/// The requests offered in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkMix {
    /// Offered load, short and long, as a share of the host's capacity.
    pub load: f64,
    /// Whether there are long requests. Without them the load is lower by their share.
    pub stragglers: bool,
    /// Duration of the run, in virtual seconds.
    pub seconds: u64,
    /// Seed of arrivals and run times.
    pub seed: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WaitFigures {
    /// Name of the slot policy.
    pub policy: &'static str,
    /// Offered load, as a share of the host's capacity.
    pub load: f64,
    /// Whether there were long requests.
    pub stragglers: bool,
    /// Number of short requests offered.
    pub offered: u64,
    /// Median waiting time of short requests, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the waiting time of short requests, in milliseconds.
    pub p99_ms: u64,
    /// 99.9th percentile of the waiting time of short requests, in milliseconds.
    pub p999_ms: u64,
    /// Number of short requests that ended by their deadline.
    pub in_time: u64,
    /// Number of requests refused as not run, short and long.
    pub refused: u64,
    /// Run time of requests that ended by their deadline, as a share of capacity.
    pub goodput: f64,
}

#[derive(Debug, Clone, Copy)]
struct OfferedWork {
    arrived: TimePoint,
    deadline: TimePoint,
    class: RequestClass,
    run_time: Duration,
}

struct WaitRun {
    slots: SlotScheduler,
    work: BTreeMap<RequestId, OfferedWork>,
    completions: BinaryHeap<Reverse<(TimePoint, RequestId)>>,
    waits: Histogram<u64>,
    in_time: u64,
    refused: u64,
    // Run time of requests that ended by their deadline.
    in_time_work: Duration,
}

impl WaitRun {
    fn start(&mut self, id: RequestId, now: TimePoint) {
        if let Some(work) = self.work.get(&id) {
            if work.class == RequestClass::Short {
                // An auto-resizing histogram accepts every value.
                let _ = self
                    .waits
                    .record(now.since(work.arrived).as_millis() as u64);
            }
            self.completions.push(Reverse((now + work.run_time, id)));
        }
    }

    // Starts and refuses queued requests as the scheduler decides.
    fn start_queued(&mut self, now: TimePoint) {
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

    // Finishes the requests whose run ends by `now`, and starts queued ones in their slots.
    fn finish_until(&mut self, now: TimePoint) {
        while let Some(Reverse((end, id))) = self.completions.peek().copied() {
            if end > now {
                return;
            }
            self.completions.pop();
            self.slots.finish(id, end);
            if let Some(work) = self.work.remove(&id)
                && end <= work.deadline
            {
                self.in_time_work += work.run_time;
                self.in_time += u64::from(work.class == RequestClass::Short);
            }
            self.start_queued(end);
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
        self.start_queued(work.arrived);
    }
}

/// Runs one policy with one mix of requests.
pub fn measure(policy: SlotPolicy, mix: WorkMix) -> WaitFigures {
    const SIGNIFICANT_DIGITS: u8 = 3;
    let waits = Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|error| panic!("{error}"));
    let mut run = WaitRun {
        slots: SlotScheduler::new(policy, SLOTS, QUEUE),
        work: BTreeMap::new(),
        completions: BinaryHeap::new(),
        waits,
        in_time: 0,
        refused: 0,
        in_time_work: Duration::ZERO,
    };
    let mut random = StdRng::seed_from_u64(mix.seed);
    let long_share = 1.0 / f64::from(LONG_EVERY);
    let mean_run_ms = SHORT_MS * (1.0 - long_share + long_share * LONG_FACTOR);
    let mean_gap_ms = mean_run_ms / (SLOTS as f64 * mix.load);
    let (mut arrival_ms, mut offered, mut number) = (0.0, 0, 0);
    let end = mix.seconds as f64 * 1000.0;
    while arrival_ms < end {
        // Exponentially distributed gaps make arrivals independent of each other.
        arrival_ms += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean_gap_ms;
        let is_long = random.random_range(0..LONG_EVERY) == 0;
        let run_factor = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
        number += 1;
        if is_long && !mix.stragglers {
            continue;
        }
        let arrived = TimePoint(arrival_ms as u64);
        let (class, run_ms, deadline) = if is_long {
            (RequestClass::Long, SHORT_MS * LONG_FACTOR, LONG_DEADLINE)
        } else {
            (RequestClass::Short, SHORT_MS * run_factor, SHORT_DEADLINE)
        };
        offered += u64::from(!is_long);
        run.finish_until(arrived);
        run.offer(
            RequestId(number),
            OfferedWork {
                arrived,
                deadline: arrived + deadline,
                class,
                run_time: Duration::from_micros((run_ms * 1000.0) as u64)
                    .max(Duration::from_millis(1)),
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
        goodput: run.in_time_work.as_secs_f64() / capacity,
    }
}

/// Runs both policies, with and without long requests, at ordinary load (0.7), at capacity and
/// in overload (3.0).
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
