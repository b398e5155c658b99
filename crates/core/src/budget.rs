//! Retry budget, which limits retries to a share of the first attempts.

use crate::units::PercentShare;

/// Maximum number of retries, in percent of the first attempts.
pub const RETRY_PERCENT: u8 = 10;

/// Maximum number of unused retries that a budget accumulates.
const MAX_SAVED_RETRIES: u32 = 10;

/// Credits that one retry costs. A first attempt earns as many credits as the share in
/// percent.
const CREDITS_PER_RETRY: u32 = 100;

/// Counts first attempts and grants retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    credits: u32,
    share: PercentShare,
}

impl RetryBudget {
    /// Creates an empty budget that grants retries for this share of first attempts.
    pub fn new(share: PercentShare) -> Self {
        Self { credits: 0, share }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        let earned = self.share.of(CREDITS_PER_RETRY as usize) as u32;
        self.credits = (self.credits + earned).min(MAX_SAVED_RETRIES * CREDITS_PER_RETRY);
    }

    /// Returns whether a retry is granted, and if so deducts it from the budget.
    pub fn try_spend(&mut self) -> bool {
        let granted = self.credits >= CREDITS_PER_RETRY;
        if granted {
            self.credits -= CREDITS_PER_RETRY;
        }
        granted
    }
}
