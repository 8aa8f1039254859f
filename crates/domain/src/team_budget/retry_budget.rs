//! What may be tried again, as a share of first tries.
//!
//! A failure that hits everything at once would otherwise double the load just
//! when capacity is short.

use std::sync::atomic::{AtomicU32, Ordering};

/// Retries that first tries have earned.
#[derive(Debug)]
pub struct RetryBudget {
    share_milli: u32,
    saved_milli: AtomicU32,
}

impl RetryBudget {
    /// One retry, in thousandths.
    const RETRY_MILLI: u32 = 1_000;

    /// Retries that can be saved up, in thousandths.
    const SAVED_MAX_MILLI: u32 = 20 * Self::RETRY_MILLI;

    /// Budget of `share_milli` retries for 1,000 first tries, with a full
    /// reserve.
    pub const fn new(share_milli: u32) -> Self {
        Self {
            share_milli,
            saved_milli: AtomicU32::new(Self::SAVED_MAX_MILLI),
        }
    }

    /// A request is tried for the first time.
    pub fn record_first_attempt(&self) {
        self.update(|saved| Some((saved + self.share_milli).min(Self::SAVED_MAX_MILLI)));
    }

    /// Take one retry out of the budget, if there is one.
    pub fn try_withdraw(&self) -> bool {
        self.update(|saved| saved.checked_sub(Self::RETRY_MILLI))
    }

    /// Put a retry back that was refused before it cost anything.
    pub fn refund(&self) {
        self.update(|saved| Some((saved + Self::RETRY_MILLI).min(Self::SAVED_MAX_MILLI)));
    }

    fn update(&self, change: impl Fn(u32) -> Option<u32>) -> bool {
        self.saved_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, change)
            .is_ok()
    }
}
