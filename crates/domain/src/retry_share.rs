//! This process's share of the retry budget of all entries.
//!
//! The budget of a service is a ratio of the requests for it in a window, and
//! a fixed number beyond. Each entry spends the ratio of its own requests, so
//! that no call between entries is needed and the sum holds whichever of them
//! die or join. The fixed number is shared evenly by the entries that run.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

/// Part of the budget that is spent; the rest is for entries that join before
/// the others know, and for windows that do not match.
const SPENT_PART: f64 = 0.9;
/// Windows are counted in this many slices.
const SLICES: usize = 10;

/// Bounds of the budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond, of all entries together.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// What one service's requests and retries at this process were, by slice of
/// the window.
#[derive(Debug)]
pub struct RetryShare {
    start: Instant,
    bounds: RetryBounds,
    slices: [Slice; SLICES],
}

/// Counts of one slice; `number` tells which, and an older one counts nothing.
#[derive(Debug, Default)]
struct Slice {
    number: AtomicU64,
    requests: AtomicU64,
    retries: AtomicU64,
}

impl RetryShare {
    /// Nothing requested or spent yet.
    pub fn new(bounds: RetryBounds, now: Instant) -> Self {
        Self {
            start: now,
            bounds,
            slices: Default::default(),
        }
    }

    /// Count a request.
    pub fn record_request(&self, now: Instant) {
        self.slice(now).requests.fetch_add(1, Relaxed);
    }

    /// Spend one retry if there is one; `entries` is how many share.
    pub fn try_spend(&self, entries: usize, now: Instant) -> bool {
        if self.remaining(entries, now) < 1.0 {
            return false;
        }
        self.slice(now).retries.fetch_add(1, Relaxed);
        true
    }

    /// Retries left in the window that ends now.
    pub fn remaining(&self, entries: usize, now: Instant) -> f64 {
        let current = self.number(now);
        let oldest = (current + 1).saturating_sub(SLICES as u64);
        let (mut requests, mut retries) = (0, 0);
        for slice in &self.slices {
            let number = slice.number.load(Relaxed);
            if (oldest..=current).contains(&number) {
                requests += slice.requests.load(Relaxed);
                retries += slice.retries.load(Relaxed);
            }
        }
        let earned = self.bounds.ratio * requests as f64;
        let shared = self.bounds.slack / entries.max(1) as f64;
        (earned + shared) * SPENT_PART - retries as f64
    }

    /// Slice of a moment, emptied if it held an older one. Two threads that
    /// empty it at once may lose a count, one in some hundred.
    fn slice(&self, now: Instant) -> &Slice {
        let number = self.number(now);
        let slice = &self.slices[(number % SLICES as u64) as usize];
        if slice.number.swap(number, Relaxed) != number {
            slice.requests.store(0, Relaxed);
            slice.retries.store(0, Relaxed);
        }
        slice
    }

    fn number(&self, now: Instant) -> u64 {
        let length = (self.bounds.window / SLICES as u32).max(Duration::from_millis(1));
        let since = now.saturating_duration_since(self.start);
        u64::try_from(since.as_millis() / length.as_millis()).unwrap_or(u64::MAX)
    }
}
