//! Which answers of a backend server look like failures, from their heads.
//!
//! Answers are not read. One whose first packet is much shorter than answers at
//! the same address usually are looks like an error page. What is usual is
//! learnt from answers that look good, so a backend server that begins to fail
//! does not make failing usual.

use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Answers at an address after which it is known what is usual.
const LEARNING_ANSWERS: u32 = 20;

/// Weight of the newest good answer in the usual length.
const LENGTH_WEIGHT: f64 = 0.05;

/// Weight of the newest answer in the share of failures.
const SHARE_WEIGHT: f64 = 0.1;

/// An answer of less than this share of the usual length looks like a failure.
const SHORT_SHARE: f64 = 0.5;

/// Most addresses that are watched.
const ADDRESS_LIMIT: usize = 256;

#[derive(Debug, Clone, Copy, Default)]
struct UsualAnswer {
    seen: u32,
    bytes: f64,
}

/// The answers of one backend server.
#[derive(Debug, Default)]
pub struct AnswerMonitor {
    usual: HashMap<SocketAddrV4, UsualAnswer>,
    failing: f64,
}

impl AnswerMonitor {
    /// Notes the first packet of an answer at `address`, with so many bytes of
    /// data.
    pub fn note(&mut self, address: SocketAddrV4, bytes: u16) {
        if !self.usual.contains_key(&address) && self.usual.len() >= ADDRESS_LIMIT {
            return;
        }
        let usual = self.usual.entry(address).or_default();
        let bytes = f64::from(bytes);
        let known = usual.seen >= LEARNING_ANSWERS;
        let short = known && bytes < usual.bytes * SHORT_SHARE;
        if !short {
            usual.note(bytes);
        }
        let sample = if short { 1.0 } else { 0.0 };
        self.failing += (sample - self.failing) * SHARE_WEIGHT;
    }

    /// Share of the latest answers that look like failures.
    pub fn failing_percent(&self) -> u8 {
        (self.failing * 100.0).round() as u8
    }
}

impl UsualAnswer {
    fn note(&mut self, bytes: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = LENGTH_WEIGHT.max(1.0 / f64::from(self.seen));
        self.bytes += (bytes - self.bytes) * weight;
    }
}
