//! When a call may still be dispatched.

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::WallTime;

/// Bounds on the way of a call before it is dispatched.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRule {
    /// Time within which an intent is recorded, or the call is refused.
    pub intent_patience: Duration,
    /// The same while the store is known to fail, so that a caller can be sent
    /// on to another server or be refused soon.
    pub failing_patience: Duration,
    /// Difference between two processes' wall clocks at most.
    pub clock_skew: Duration,
}

impl Default for DispatchRule {
    fn default() -> Self {
        Self {
            intent_patience: Duration::from_millis(220),
            failing_patience: Duration::from_millis(40),
            clock_skew: Duration::from_secs(1),
        }
    }
}

impl DispatchRule {
    /// Whether a request is too old to be begun: it lay on a silent link, or
    /// before a process that slept, and its caller has given it up.
    pub fn is_stale(&self, sent_at: WallTime, deadline: Duration, now: WallTime) -> bool {
        now.since(sent_at) > deadline + self.clock_skew
    }

    /// Moment until which the write of an intent is waited for.
    pub fn intent_deadline(&self, is_failing: bool, now: Instant, deadline: Instant) -> Instant {
        let patience = if is_failing {
            self.failing_patience
        } else {
            self.intent_patience
        };
        deadline.min(now + patience)
    }

    /// Whether a claim that was begun at a moment may be dispatched now.
    ///
    /// A process that slept after its claim has let the caller down, and
    /// others may have judged it since.
    pub fn may_dispatch(&self, claimed_at: Instant, now: Instant, deadline: Instant) -> bool {
        now < deadline && now.duration_since(claimed_at) <= self.intent_patience * 2
    }
}
