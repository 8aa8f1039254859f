//! Validity of a lease on the clock of its holder.

use std::time::Duration;

use tokio::time::Instant;

use crate::FencingNumber;

/// A granted lease and the time until which its holder may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseValidity {
    /// Fencing number of commands sent under this lease.
    pub fencing: FencingNumber,
    valid_until: Instant,
}

impl LeaseValidity {
    /// Safety margin for clock drift, as a divisor of the term.
    const DRIFT_MARGIN_DIVISOR: u32 = 10;

    /// Creates the validity of a lease whose request was sent at `sent_at`.
    pub fn new(fencing: FencingNumber, sent_at: Instant, term: Duration) -> Self {
        Self {
            fencing,
            valid_until: sent_at + term - term / Self::DRIFT_MARGIN_DIVISOR,
        }
    }

    /// Returns whether commands may still be sent.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}
