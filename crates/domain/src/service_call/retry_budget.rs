//! Retries as a share of first tries.
//!
//! Without a bound, a failure of some servers would double the load on the
//! others at the worst moment.

use std::sync::atomic::{AtomicU32, Ordering};

/// Tenths of a retry that each first try earns.
const EARNED_TENTHS: u32 = 2;

/// Tenths that one retry costs.
const COST_TENTHS: u32 = 10;

/// Tenths saved at most, so that a quiet time buys no storm later.
const SAVED_TENTHS_MAX: u32 = 500;

/// Budget of retries that all calls of a process share.
#[derive(Debug)]
pub struct RetryBudget {
    tenths: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tenths: AtomicU32::new(SAVED_TENTHS_MAX),
        }
    }
}

impl RetryBudget {
    /// A first try was made.
    pub fn earn(&self) {
        let earn = |tenths: u32| Some((tenths + EARNED_TENTHS).min(SAVED_TENTHS_MAX));
        // The update never refuses.
        let _ = self
            .tenths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Take one retry; whether there was one left.
    pub fn take(&self) -> bool {
        let take = |tenths: u32| tenths.checked_sub(COST_TENTHS);
        self.tenths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
