//! A bound on the lines that flows write to the log.
//!
//! Up to a budget every decision is logged. Above it only flows of a sample
//! are, by their hash, so that a flow is logged at all processes or at none.

use chestnutlb_core::{FlowKey, TimePoint};

use crate::metrics::{Counter, CounterSet};

/// Lines a second up to which every flow is logged. A line costs some ten
/// microseconds, so this is two in a thousand of a core.
const LINES_PER_SECOND: u32 = 200;

/// Above the budget one flow of this many is logged.
const SAMPLE: u64 = 16;

/// Milliseconds over which lines are counted.
const WINDOW_MS: u64 = 1_000;

/// Counts the lines of one thread.
#[derive(Debug, Default)]
pub struct FlowLog {
    window: u64,
    lines: u32,
}

impl FlowLog {
    /// Whether a line about this flow may be written; one that may not is
    /// counted.
    pub fn admits(&mut self, key: FlowKey, counters: &CounterSet, now: TimePoint) -> bool {
        let window = now.0 / WINDOW_MS;
        if window != self.window {
            self.window = window;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        let sampled = key.hash().0.is_multiple_of(SAMPLE);
        let admitted = self.lines <= LINES_PER_SECOND || sampled;
        if !admitted {
            counters.add(Counter::LogSampledOut);
        }
        admitted
    }
}
