//! A rate limit for log lines about flows.
//!
//! Up to [`LINES_PER_SECOND`] lines per second, lines about every flow are logged. Above
//! that rate only those about a sample of the flows are. The sample is chosen by the
//! flow's hash, so that every process samples the same flows.

use chestnutlb_core::{FlowKey, TimePoint};

use crate::metrics::{Counter, CounterSet};

/// Lines per second up to which every flow is logged. At about 10 µs a line, they take
/// 0.2 % of a core.
const LINES_PER_SECOND: u32 = 200;

/// Above [`LINES_PER_SECOND`] one in this many flows is logged.
const SAMPLE_DIVISOR: u64 = 16;

/// Window over which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Limits the rate of one thread's log lines about flows.
#[derive(Debug, Default)]
pub struct FlowLog {
    window: u64,
    lines: u32,
}

impl FlowLog {
    /// Returns whether a line about this flow may be logged. Lines left out are counted.
    pub fn admits(&mut self, key: FlowKey, counters: &CounterSet, now: TimePoint) -> bool {
        let window = now.0 / WINDOW_MS;
        if window != self.window {
            self.window = window;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        let sampled = key.hash().0.is_multiple_of(SAMPLE_DIVISOR);
        let admitted = self.lines <= LINES_PER_SECOND || sampled;
        if !admitted {
            counters.add(Counter::LogSampledOut);
        }
        admitted
    }
}
