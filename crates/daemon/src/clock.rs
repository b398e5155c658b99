//! The clocks of the process.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chestnutlb_core::{Incarnation, TimePoint};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds since the first call. The clock starts at one day, so that
/// spans before the start can be expressed.
pub fn now() -> TimePoint {
    const OFFSET_MS: u64 = 86_400_000;
    TimePoint(OFFSET_MS + START.elapsed().as_millis() as u64)
}

/// Time since the first call.
pub fn uptime() -> Duration {
    START.elapsed()
}

/// Time since a moment given in milliseconds since the Unix epoch; none if the time
/// of day is before it.
pub fn time_since(epoch_ms: u64) -> Option<Duration> {
    let moment = UNIX_EPOCH + Duration::from_millis(epoch_ms);
    SystemTime::now().duration_since(moment).ok()
}

/// The incarnation of a process that starts now.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_millis() as u64))
}
