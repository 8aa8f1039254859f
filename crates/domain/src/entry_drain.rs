//! Drain of an entry after it is told to stop.
//!
//! The load balancer needs a few seconds to detect that an entry is not ready,
//! and callers keep using open connections. The entry therefore keeps serving
//! for a while, then admits only requests that finish in time, and near the end
//! of the grace period gives up what is in progress: streams are aborted, and calls
//! are answered. If all entries are stopped within seconds, requests still
//! arrive, because the load balancer has no other entry to route them to.
//!
//! A request is judged when it could be passed on, not only when its head was read:
//! it may have waited for its body or for a server. What has not run can be refused
//! and sent to another entry; what was passed on and cut off cannot.

use std::time::Duration;

use tokio::time::Instant;

use crate::desired_state::RouteKind;

/// Time after the stop signal for which all new requests are admitted: two
/// readiness probes of the load balancer, one second apart, and their duration.
const LEAVING_TIME: Duration = Duration::from_millis(3_000);
/// Part of the grace period after which requests in progress are given up, in percent.
/// The value lies in the last sixth of the grace period, in which a request in
/// progress does not count as lost.
const ABORT_PERCENT: u32 = 88;

/// Phase of an entry's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Not draining.
    Serving,
    /// Reported as not ready, but requests are served.
    Leaving,
    /// Only plain requests that finish before the next phase are admitted.
    Closing,
    /// Requests in progress are given up, and none is admitted.
    Cutting,
}

/// Time limits of a drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainTimes {
    /// Time from the stop signal to the kill of the process.
    pub grace: Duration,
}

impl DrainTimes {
    /// Returns the phase at a time after the stop signal; `None` means that there
    /// was no signal.
    pub fn phase(&self, since_stop: Option<Duration>) -> DrainPhase {
        match since_stop {
            None => DrainPhase::Serving,
            Some(since) if since < self.closing_after() => DrainPhase::Leaving,
            Some(since) if since < self.cutting_after() => DrainPhase::Closing,
            Some(_) => DrainPhase::Cutting,
        }
    }

    /// Returns whether a request of this kind that takes up to `needed` is admitted. A
    /// stream that may be resumed is admitted in the leaving phase although it may be
    /// aborted, and a call because it usually takes far less than its time limit. A
    /// stream that may not be resumed would be lost if it were aborted.
    pub fn admits(&self, since_stop: Option<Duration>, kind: RouteKind, needed: Duration) -> bool {
        let ends_in_time = since_stop.is_none_or(|since| since + needed <= self.cutting_after());
        match self.phase(since_stop) {
            DrainPhase::Serving => true,
            DrainPhase::Leaving => kind != RouteKind::Stream || ends_in_time,
            DrainPhase::Closing => !kind.is_stream() && ends_in_time,
            DrainPhase::Cutting => false,
        }
    }

    /// Returns the time after the stop signal at which the closing phase starts, at
    /// most three eighths of the grace period.
    pub fn closing_after(&self) -> Duration {
        LEAVING_TIME.min(self.grace * 3 / 8)
    }

    /// Returns the time after the stop signal at which the cutting phase starts.
    pub fn cutting_after(&self) -> Duration {
        self.grace * ABORT_PERCENT / 100
    }
}

/// Drain of this process. Its limits are those in force when the stop signal arrived,
/// so that everything in the process ends by the same ones.
#[derive(Clone, Copy, Debug)]
pub struct EntryDrain {
    /// Time of the stop signal.
    pub stopped_at: Instant,
    /// Limits in force at that time.
    pub times: DrainTimes,
}

impl EntryDrain {
    /// Returns the phase at `now`.
    pub fn phase(&self, now: Instant) -> DrainPhase {
        self.times.phase(Some(self.since_stop(now)))
    }

    /// Returns when a phase begins.
    pub fn start_of(&self, phase: DrainPhase) -> Instant {
        match phase {
            DrainPhase::Serving | DrainPhase::Leaving => self.stopped_at,
            DrainPhase::Closing => self.stopped_at + self.times.closing_after(),
            DrainPhase::Cutting => self.stopped_at + self.times.cutting_after(),
        }
    }

    /// Returns the time since the stop signal.
    pub fn since_stop(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.stopped_at)
    }
}
