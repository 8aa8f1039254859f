//! This process's share of the retry budget of all entries.
//!
//! The retry budget of a service is a ratio of the requests to it within a time
//! window, plus a fixed number, the slack. Each entry applies the ratio to its own requests,
//! so entries need not communicate, and the total holds when entries fail or
//! join. The slack is divided evenly among the running entries.
//!
//! [`RetryBounds`] is the budget of all entries, and [`RetryShare`] is the part of
//! one entry. [`RetryBudget`] is a separate limit without a time window.
//!
//! [`RetryBudget`]: crate::team_budget::RetryBudget

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

/// Fraction of the budget that may be spent. The rest covers entries that joined
/// but are not yet known to the others, and windows that are not aligned.
const SPENDABLE_FRACTION: f64 = 0.9;
/// Number of buckets that a window is divided into.
const WINDOW_BUCKETS: usize = 10;

/// Retry budget of one service for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to those from the ratio, for all entries
    /// together.
    pub slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of one service at this process, counted in a sliding
/// window.
#[derive(Debug)]
pub struct RetryShare {
    start: Instant,
    bounds: RetryBounds,
    buckets: [WindowBucket; WINDOW_BUCKETS],
}

/// Counts of one part of the window. `index` identifies the part; counts of an
/// older part are ignored.
#[derive(Debug, Default)]
struct WindowBucket {
    index: AtomicU64,
    requests: AtomicU64,
    retries: AtomicU64,
}

impl RetryShare {
    /// Creates a share without requests or retries.
    pub fn new(bounds: RetryBounds, now: Instant) -> Self {
        Self {
            start: now,
            bounds,
            buckets: Default::default(),
        }
    }

    /// Records a request.
    pub fn record_request(&self, now: Instant) {
        self.bucket(now).requests.fetch_add(1, Relaxed);
    }

    /// Takes one retry, if available. `entries` is the number of running entries.
    pub fn try_spend(&self, entries: usize, now: Instant) -> bool {
        if self.remaining(entries, now) < 1.0 {
            return false;
        }
        self.bucket(now).retries.fetch_add(1, Relaxed);
        true
    }

    /// Returns the retries that remain in the window that ends now, or a negative
    /// number if more were taken than are allowed now.
    pub fn remaining(&self, entries: usize, now: Instant) -> f64 {
        let current = self.bucket_index(now);
        let oldest = (current + 1).saturating_sub(WINDOW_BUCKETS as u64);
        let (mut requests, mut retries) = (0, 0);
        for bucket in &self.buckets {
            let index = bucket.index.load(Relaxed);
            if (oldest..=current).contains(&index) {
                requests += bucket.requests.load(Relaxed);
                retries += bucket.retries.load(Relaxed);
            }
        }
        let earned = self.bounds.ratio * requests as f64;
        let slack_part = self.bounds.slack / entries.max(1) as f64;
        (earned + slack_part) * SPENDABLE_FRACTION - retries as f64
    }

    /// Returns the bucket of a time, reset if it holds an older part of the
    /// window. A count that another thread adds between the change of the index
    /// and the reset of the counts may be lost, about one in several hundred.
    fn bucket(&self, now: Instant) -> &WindowBucket {
        let index = self.bucket_index(now);
        let bucket = &self.buckets[(index % WINDOW_BUCKETS as u64) as usize];
        if bucket.index.swap(index, Relaxed) != index {
            bucket.requests.store(0, Relaxed);
            bucket.retries.store(0, Relaxed);
        }
        bucket
    }

    fn bucket_index(&self, now: Instant) -> u64 {
        let length = (self.bounds.window / WINDOW_BUCKETS as u32).max(Duration::from_millis(1));
        let elapsed = now.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_millis() / length.as_millis()).unwrap_or(u64::MAX)
    }
}
