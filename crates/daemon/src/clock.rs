//! The clocks of the process.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chestnutlb_core::{Incarnation, TimePoint};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time in milliseconds on a monotonic clock. The clock starts at one day,
/// so that times before the start of the process can be expressed.
pub fn now() -> TimePoint {
    const OFFSET_MS: u64 = 86_400_000;
    TimePoint(OFFSET_MS + START.elapsed().as_millis() as u64)
}

/// Returns the time since the clock was first read.
pub fn uptime() -> Duration {
    START.elapsed()
}

/// Returns the incarnation of a process that starts now: milliseconds since the Unix
/// epoch.
pub fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64))
}
