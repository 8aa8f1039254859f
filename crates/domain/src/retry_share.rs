//! This process's share of the retry budget of all entries.
//!
//! The budget of a service is a ratio of the requests for it in a window, and
//! a fixed number beyond. Each entry spends the ratio of its own requests, so
//! that no call between entries is needed and the sum holds whichever of them
//! die or join. Of the fixed number each takes a small share.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

/// Parts into which the fixed number is shared: more than today's 23 entries,
/// so that the sum stays below it when more are added.
const SLACK_SHARES: f64 = 32.0;
/// Part of the ratio that is spent; the rest is for windows that do not match.
const RATIO_PART: f64 = 0.8;
/// Units of one retry; requests earn fractions of one.
const UNIT: f64 = 1_000.0;

/// Budget of one service at this process: what requests earn, retries spend.
#[derive(Debug)]
pub struct RetryShare {
    start: Instant,
    earned: u64,
    floor: u64,
    window: Duration,
    saved: AtomicU64,
    last_fill: AtomicU64,
}

impl RetryShare {
    /// A share of a budget with this ratio, fixed number and window.
    pub fn new(ratio: f64, slack: f64, window: Duration, now: Instant) -> Self {
        let floor = (slack / SLACK_SHARES).max(1.0) * UNIT;
        Self {
            start: now,
            earned: (ratio * RATIO_PART * UNIT) as u64,
            floor: floor as u64,
            window,
            saved: AtomicU64::new(floor as u64),
            last_fill: AtomicU64::new(0),
        }
    }

    /// Count a request, which earns its ratio of a retry.
    pub fn note_request(&self) {
        // Not more than some 60 retries are saved, those of one window of
        // today's traffic of an entry.
        let max = self.floor + 60 * UNIT as u64;
        self.add(self.earned, max);
    }

    /// Spend one retry if there is one.
    pub fn spend(&self, now: Instant) -> bool {
        self.refill(now);
        self.saved
            .fetch_update(Relaxed, Relaxed, |saved| saved.checked_sub(UNIT as u64))
            .is_ok()
    }

    /// Retries left.
    pub fn left(&self) -> u64 {
        self.saved.load(Relaxed) / UNIT as u64
    }

    fn refill(&self, now: Instant) {
        let since = now.saturating_duration_since(self.start);
        let window = u64::try_from((since.as_millis() / self.window.as_millis().max(1)) + 1)
            .unwrap_or(u64::MAX);
        if self.last_fill.fetch_max(window, Relaxed) < window {
            self.add(self.floor, self.floor);
        }
    }

    fn add(&self, units: u64, max: u64) {
        // The closure never declines, so there is no error to handle.
        let _ = self.saved.fetch_update(Relaxed, Relaxed, |saved| {
            Some(saved.max((saved + units).min(max)))
        });
    }
}
