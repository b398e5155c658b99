//! The retry budget: second tries may be a set share of first tries.

use crate::units::PercentShare;

/// Second tries are at most this share of first tries.
pub const RETRY_PERCENT: u8 = 10;

/// Second tries that may be saved up.
const SAVED_RETRIES: u32 = 10;

const CENTS_PER_RETRY: u32 = 100;

/// Counts first tries and grants second ones.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cents: u32,
    share: PercentShare,
}

impl RetryBudget {
    /// A budget with this share, which starts empty.
    pub fn new(share: PercentShare) -> Self {
        Self { cents: 0, share }
    }

    /// Notes a first try.
    pub fn first_try(&mut self) {
        let earned = self.share.of(CENTS_PER_RETRY as usize) as u32;
        self.cents = (self.cents + earned).min(SAVED_RETRIES * CENTS_PER_RETRY);
    }

    /// Whether a second try is granted; if so it is spent.
    pub fn spend(&mut self) -> bool {
        let granted = self.cents >= CENTS_PER_RETRY;
        if granted {
            self.cents -= CENTS_PER_RETRY;
        }
        granted
    }
}
