//! What a backend server takes well: the number of requests at once beyond which its answers only
//! slow down, and its service time, both learned from the times of its answers.
//!
//! Servers of one service differ in speed, and some slow down long before their slots are full.
//! The side process sees every request of its server, so it learns alone; its load reports bring
//! the result to the entry VMs. By Little's law, the throughput with `n` requests at once is `n`
//! divided by their mean time. The estimate is the last `n` up to which each further request
//! still adds throughput. Times are compared with the mean of their service address, since
//! requests of one address are alike, and as logarithms, so that a single long request counts
//! little. A level of concurrency that was not seen for some time counts as good again, so every
//! server is tried again with a few requests; so is one whose service time nobody has confirmed.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::units::TimePoint;

/// Largest number of requests at once that is told apart from higher ones.
const MAX_LEVELS: usize = 16;

/// Maximum number of service addresses whose mean time is kept.
const ADDRESS_LIMIT: usize = 256;

/// Number of answers from which on a level of concurrency is judged.
const MIN_SAMPLES: u32 = 12;

/// Largest number of recent answers that a mean stands for.
const SAMPLE_MEMORY: u32 = 50;

/// Relative throughput that a further request at once has to add.
const MIN_GAIN: f64 = 0.1;

/// Time without an answer after which a level of concurrency is not judged any more.
const LEVEL_MEMORY: Duration = Duration::from_secs(20);

/// Time without an answer after which the service time is no longer trusted.
const SERVICE_TIME_MEMORY: Duration = Duration::from_secs(2);

/// Time in which a service time that is not trusted halves, until it is the shortest one known.
const SERVICE_TIME_HALF_LIFE: Duration = Duration::from_secs(1);

/// Weight of the newest answer in the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

// A mean of the last [`SAMPLE_MEMORY`] values.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct RecentMean {
    mean: f64,
    samples: u32,
}

impl RecentMean {
    fn add(&mut self, value: f64) {
        self.samples = (self.samples + 1).min(SAMPLE_MEMORY);
        self.mean += (value - self.mean) / f64::from(self.samples);
    }
}

// Answers of requests that began with as many at once.
#[derive(Debug, Clone, Copy, Default)]
struct LevelEstimate {
    log_ratio: RecentMean,
    seen_at: TimePoint,
}

/// Requests at once that a backend server takes well, and its service time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedCapacity {
    /// Requests at once, from one to the server's slots.
    pub slots: u16,
    /// Mean time of a request without a queue, in milliseconds; zero if none was measured.
    pub service_ms: f64,
}

/// Learns the capacity of one backend server.
#[derive(Debug, Clone, Default)]
pub struct CapacityEstimate {
    levels: [LevelEstimate; MAX_LEVELS],
    log_means: HashMap<SocketAddrV4, RecentMean>,
    service_ms: f64,
    shortest_service_ms: f64,
    served_at: TimePoint,
}

impl CapacityEstimate {
    /// Records an answer: the service address of its request, the number of requests at once when
    /// it began, itself included, and its time.
    pub fn record_answer(
        &mut self,
        address: SocketAddrV4,
        at_once: u16,
        time: Duration,
        now: TimePoint,
    ) {
        let known = self.log_means.contains_key(&address);
        if !known && self.log_means.len() >= ADDRESS_LIMIT {
            return;
        }
        let log_ms = (time.as_secs_f64() * 1000.0).max(1.0).ln();
        let mean = self.log_means.entry(address).or_default();
        mean.add(log_ms);
        let log_ratio = log_ms - mean.mean;
        let level = usize::from(at_once).clamp(1, MAX_LEVELS) - 1;
        let level = &mut self.levels[level];
        if now.since(level.seen_at) >= LEVEL_MEMORY {
            level.log_ratio = RecentMean::default();
        }
        level.log_ratio.add(log_ratio);
        level.seen_at = now;
    }

    /// Records the time of a request that found a free slot.
    pub fn record_service_time(&mut self, time: Duration, now: TimePoint) {
        let millis = time.as_secs_f64() * 1000.0;
        let before = self.service_ms(now);
        self.service_ms = if before == 0.0 {
            millis
        } else {
            before + (millis - before) * SERVICE_TIME_WEIGHT
        };
        self.served_at = now;
        let shortest = self.shortest_service_ms;
        if shortest == 0.0 || self.service_ms < shortest {
            self.shortest_service_ms = self.service_ms;
        }
    }

    /// Returns what a server of this number of slots takes well.
    pub fn capacity(&self, slots: u16, now: TimePoint) -> LearnedCapacity {
        LearnedCapacity {
            slots: self.usable_slots(slots, now),
            service_ms: self.service_ms(now),
        }
    }

    fn usable_slots(&self, slots: u16, now: TimePoint) -> u16 {
        let levels = usize::from(slots).min(MAX_LEVELS);
        // The number of requests at once and the throughput of the last level that is judged.
        let mut last: Option<(usize, f64)> = None;
        for index in 0..levels {
            let Some(throughput) = self.throughput(index, now) else {
                continue;
            };
            if let Some((usable, before)) = last
                && throughput < before * (1.0 + MIN_GAIN)
            {
                return usable as u16;
            }
            last = Some((index + 1, throughput));
        }
        slots
    }

    // Returns the relative throughput with `index + 1` requests at once, if it is known.
    fn throughput(&self, index: usize, now: TimePoint) -> Option<f64> {
        let level = &self.levels[index];
        let is_known =
            level.log_ratio.samples >= MIN_SAMPLES && now.since(level.seen_at) < LEVEL_MEMORY;
        is_known.then(|| (index + 1) as f64 / level.log_ratio.mean.exp())
    }

    // A server that was slow gets few requests, which may be none. Its service time then comes
    // closer to the shortest one, until it is tried again.
    fn service_ms(&self, now: TimePoint) -> f64 {
        let doubt = now
            .since(self.served_at)
            .saturating_sub(SERVICE_TIME_MEMORY);
        let halvings = doubt.as_secs_f64() / SERVICE_TIME_HALF_LIFE.as_secs_f64();
        let doubted = self.service_ms * 0.5_f64.powf(halvings);
        doubted.max(self.shortest_service_ms.min(self.service_ms))
    }
}
