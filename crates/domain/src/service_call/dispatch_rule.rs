//! Time limits up to the dispatch of a call.

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::WallTime;

/// Time limits on a call before it is dispatched.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRule {
    /// Time within which an intent must be recorded; otherwise the call is refused.
    pub intent_timeout: Duration,
    /// Time within which the write of an intent must be sent while the store is
    /// failing, so that the call is soon routed to another server or refused.
    pub failing_store_send_timeout: Duration,
    /// Largest difference between the wall clocks of two processes.
    pub clock_skew_max: Duration,
}

/// Time limits of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteLimits {
    /// Time by which the write must be sent.
    pub send_by: Instant,
    /// Time by which the write must be answered.
    pub answer_by: Instant,
}

impl WriteLimits {
    /// Creates limits for a write that may stay queued until its deadline.
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
            failing_store_send_timeout: Duration::from_millis(40),
            clock_skew_max: Duration::from_secs(1),
        }
    }
}

impl DispatchRule {
    /// Returns whether a request is too old to start: it was delayed on an
    /// unresponsive connection or by a suspended process, and its caller has
    /// given up.
    pub fn is_stale(&self, sent_at: WallTime, timeout: Duration, now: WallTime) -> bool {
        now.since(sent_at) > timeout + self.clock_skew_max
    }

    /// Returns the time limits for the write of an intent.
    ///
    /// A failing store shortens only the time until the write is sent. Once it is
    /// sent, the full timeout applies: the store may have recovered, and
    /// abandoning a sent write leaves its key open.
    pub fn intent_limits(
        &self,
        is_store_failing: bool,
        now: Instant,
        deadline: Instant,
    ) -> WriteLimits {
        let answer_by = deadline.min(now + self.intent_timeout);
        let send_by = if is_store_failing {
            answer_by.min(now + self.failing_store_send_timeout)
        } else {
            answer_by
        };
        WriteLimits { send_by, answer_by }
    }

    /// Returns whether a call may be dispatched whose key was claimed, by starting
    /// to record an intent, at `claimed_at`.
    ///
    /// A claim is valid for twice the intent timeout. If the process was suspended
    /// after the claim, the call is too late for its caller, and other processes
    /// may have settled it in the meantime.
    pub fn may_dispatch(&self, claimed_at: Instant, now: Instant, deadline: Instant) -> bool {
        now < deadline && now.duration_since(claimed_at) <= self.intent_timeout * 2
    }
}
