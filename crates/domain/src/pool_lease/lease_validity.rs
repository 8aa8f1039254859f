//! Validity of a lease on the holder's clock.

use std::time::Duration;

use tokio::time::Instant;

use crate::FencingNumber;

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseValidity {
    /// Fencing number that orders under this lease carry.
    pub fencing: FencingNumber,
    valid_until: Instant,
}

impl LeaseValidity {
    /// Share of the term kept back for the drift of the clocks, as a divisor.
    const DRIFT_DIVISOR: u32 = 10;

    /// Lease granted in answer to a request sent at `asked_at`.
    pub fn new(fencing: FencingNumber, asked_at: Instant, term: Duration) -> Self {
        Self {
            fencing,
            valid_until: asked_at + term - term / Self::DRIFT_DIVISOR,
        }
    }

    /// Whether an order may still be given.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}
