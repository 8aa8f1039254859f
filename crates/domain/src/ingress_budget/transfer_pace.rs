//! Minimum pace of a request body.

use std::time::Duration;

use derive_more::{Display, Error};
use tokio::time::Instant;

/// Time over which the pace is measured: the time that callers have for a head.
const PACE_WINDOW: Duration = Duration::from_secs(3);
/// Time in which a body is to move as many bytes as it holds when memory is short: the
/// time limit of a request that states none.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// The body arrives too slowly.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the body arrives too slowly")]
pub struct TransferTooSlow;

/// What a body has to keep to.
#[derive(Clone, Copy, Debug)]
pub struct TransferRule {
    /// Time without a byte after which it is given up.
    pub idle_timeout: Duration,
    /// Time at which it is given up: the request could not be answered in time.
    pub deadline: Instant,
    /// Bytes a second when memory is short.
    pub rate_min: usize,
}

/// Progress of one body.
///
/// In calm only its deadline and the idle timeout count. When memory or connections are
/// short, a body also has to move a minimum of bytes in each window; a body that holds
/// more has to move more.
#[derive(Debug)]
pub struct TransferPace {
    rule: TransferRule,
    received: usize,
    progress_at: Instant,
    window_start: Instant,
    window_base: usize,
}

impl TransferPace {
    /// Starts a body that has received nothing at `now`.
    pub fn new(rule: TransferRule, now: Instant) -> Self {
        Self {
            rule,
            received: 0,
            progress_at: now,
            window_start: now,
            window_base: 0,
        }
    }

    /// Records bytes that arrived.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        if bytes > 0 {
            self.received += bytes;
            self.progress_at = now;
        }
    }

    /// Time of the next check.
    pub fn next_check(&self) -> Instant {
        (self.window_start + PACE_WINDOW)
            .min(self.progress_at + self.rule.idle_timeout)
            .min(self.rule.deadline)
    }

    /// Checks the progress; `is_crowded` tells whether memory or connections are short.
    pub fn check(&mut self, is_crowded: bool, now: Instant) -> Result<(), TransferTooSlow> {
        if now >= self.rule.deadline || now >= self.progress_at + self.rule.idle_timeout {
            return Err(TransferTooSlow);
        }
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < PACE_WINDOW {
            return Ok(());
        }
        let moved = self.received - self.window_base;
        if is_crowded && moved < self.bytes_min(elapsed) {
            return Err(TransferTooSlow);
        }
        self.window_start = now;
        self.window_base = self.received;
        Ok(())
    }

    fn bytes_min(&self, elapsed: Duration) -> usize {
        let by_rate = self.rule.rate_min as f64 * elapsed.as_secs_f64();
        let by_held = self.received as f64 * elapsed.as_secs_f64() / HOLD_TIME.as_secs_f64();
        by_rate.max(by_held) as usize
    }
}
