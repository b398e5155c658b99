//! The clocks of the process.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use chestnutlb_core::{Incarnation, TimePoint};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds since the first call. The clock starts at one day, so that
/// spans before the start can be expressed.
pub fn now() -> TimePoint {
    const OFFSET_MS: u64 = 86_400_000;
    TimePoint(OFFSET_MS + START.elapsed().as_millis() as u64)
}

/// The incarnation of a process that starts now.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_millis() as u64))
}
