//! When a call may still be dispatched.

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::WallTime;

/// Bounds on the way of a call before it is dispatched.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRule {
    /// Time within which an intent is recorded, or the call is refused.
    pub intent_timeout: Duration,
    /// Time within which the write of an intent is on its way while the store is
    /// known to fail, so that a caller can be sent on to another server or be
    /// refused soon.
    pub failing_store_timeout: Duration,
    /// Difference between two processes' wall clocks at most.
    pub clock_skew_max: Duration,
}

/// Until when a write is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteLimits {
    /// When it must be on its way.
    pub send_by: Instant,
    /// When it must have its answer.
    pub answer_by: Instant,
}

impl WriteLimits {
    /// Limits of a write that may wait for its turn all the time.
    pub fn until(deadline: Instant) -> Self {
        Self {
            send_by: deadline,
            answer_by: deadline,
        }
    }
}

impl Default for DispatchRule {
    fn default() -> Self {
        Self {
            intent_timeout: Duration::from_millis(220),
            failing_store_timeout: Duration::from_millis(40),
            clock_skew_max: Duration::from_secs(1),
        }
    }
}

impl DispatchRule {
    /// Whether a request is too old to be begun: it lay on a silent link, or
    /// before a process that slept, and its caller has given it up.
    pub fn is_stale(&self, sent_at: WallTime, deadline: Duration, now: WallTime) -> bool {
        now.since(sent_at) > deadline + self.clock_skew_max
    }

    /// Until when the write of an intent is waited for. One that is on its way is
    /// waited for as long as ever: the store may be back, and a write that is
    /// given up on its way leaves its key open.
    pub fn intent_limits(&self, is_failing: bool, now: Instant, deadline: Instant) -> WriteLimits {
        let answer_by = deadline.min(now + self.intent_timeout);
        let send_by = if is_failing {
            answer_by.min(now + self.failing_store_timeout)
        } else {
            answer_by
        };
        WriteLimits { send_by, answer_by }
    }

    /// Whether a claim that was begun at a moment may be dispatched now.
    ///
    /// A process that slept after its claim has let the caller down, and
    /// others may have judged it since.
    pub fn may_dispatch(&self, claimed_at: Instant, now: Instant, deadline: Instant) -> bool {
        now < deadline && now.duration_since(claimed_at) <= self.intent_timeout * 2
    }
}
