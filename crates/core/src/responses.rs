//! Detection of backend servers whose responses look like failures, from packet headers.
//!
//! Responses are not read. One whose first packet is much shorter than is typical at the
//! same address looks like an error page. The typical length is averaged over responses
//! that do not look like failures, so that a backend server that begins to fail does not
//! lower it.

use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Minimum number of responses at an address for its typical length to be used.
const MIN_SAMPLES: u32 = 20;

/// Weight of the newest successful response in the typical length.
const LENGTH_WEIGHT: f64 = 0.05;

/// Weight of the newest response in the share of failures.
const SHARE_WEIGHT: f64 = 0.1;

/// A response shorter than this share of the typical length looks like a failure.
const FAILURE_LENGTH_SHARE: f64 = 0.5;

/// Maximum number of addresses that are monitored.
const ADDRESS_LIMIT: usize = 256;

#[derive(Debug, Clone, Copy, Default)]
struct TypicalResponse {
    samples: u32,
    mean_bytes: f64,
}

/// Monitors the responses of one backend server.
#[derive(Debug, Default)]
pub struct ResponseMonitor {
    typical: HashMap<SocketAddrV4, TypicalResponse>,
    failing_share: f64,
}

impl ResponseMonitor {
    /// Records the first packet of a response at `address`, with `bytes` bytes of
    /// payload.
    pub fn record_response(&mut self, address: SocketAddrV4, bytes: u16) {
        if !self.typical.contains_key(&address) && self.typical.len() >= ADDRESS_LIMIT {
            return;
        }
        let typical = self.typical.entry(address).or_default();
        let bytes = f64::from(bytes);
        let has_typical_length = typical.samples >= MIN_SAMPLES;
        let short = has_typical_length && bytes < typical.mean_bytes * FAILURE_LENGTH_SHARE;
        if !short {
            typical.add_sample(bytes);
        }
        let sample = if short { 1.0 } else { 0.0 };
        self.failing_share += (sample - self.failing_share) * SHARE_WEIGHT;
    }

    /// Returns the share of recent responses that look like failures, in percent.
    pub fn failing_percent(&self) -> u8 {
        (self.failing_share * 100.0).round() as u8
    }
}

impl TypicalResponse {
    fn add_sample(&mut self, bytes: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = LENGTH_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_bytes += (bytes - self.mean_bytes) * weight;
    }
}
