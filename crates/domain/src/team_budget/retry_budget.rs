//! Limit on retries as a ratio of first attempts.
//!
//! Without it, a failure of all requests at once would double the load while
//! capacity is short.

use std::sync::atomic::{AtomicU32, Ordering};

/// Retries earned by first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    ratio_milli: u32,
    balance_milli: AtomicU32,
}

impl RetryBudget {
    /// One retry in the unit of the balance, thousandths.
    const RETRY_MILLI: u32 = 1_000;

    /// Largest balance, in thousandths of a retry.
    const BALANCE_MAX_MILLI: u32 = 20 * Self::RETRY_MILLI;

    /// Creates a budget of `ratio_milli` retries per 1,000 first attempts, with a
    /// full balance.
    pub const fn new(ratio_milli: u32) -> Self {
        Self {
            ratio_milli,
            balance_milli: AtomicU32::new(Self::BALANCE_MAX_MILLI),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&self) {
        self.update(|balance| Some((balance + self.ratio_milli).min(Self::BALANCE_MAX_MILLI)));
    }

    /// Takes one retry from the budget, if available.
    pub fn try_withdraw(&self) -> bool {
        self.update(|balance| balance.checked_sub(Self::RETRY_MILLI))
    }

    /// Puts back a retry that was refused before it caused any load.
    pub fn refund(&self) {
        self.update(|balance| Some((balance + Self::RETRY_MILLI).min(Self::BALANCE_MAX_MILLI)));
    }

    fn update(&self, change: impl Fn(u32) -> Option<u32>) -> bool {
        self.balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, change)
            .is_ok()
    }
}
