//! Maintenance of a copy of a run's KV cache at another server.
//!
//! The server of a run streams the KV cache to a backup as it grows. If the
//! backup fails, the server cannot be given another one. The entry then requests
//! a copy at another server, which keeps it only for a limited time, so the copy
//! is refreshed periodically. Repeating the prefill would cost about a hundred
//! times as much as a copy.

use std::time::Duration;

use tokio::time::Instant;

/// Interval between two copies of a run's KV cache. Servers keep a copy for 4 s.
const REFRESH_INTERVAL: Duration = Duration::from_millis(3_300);
/// Delay before a failed copy is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Next action for a run's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStep {
    /// Do nothing now.
    Wait,
    /// Copy the KV cache to a newly picked server.
    Place,
    /// Copy the tokens added since the last copy to the same server.
    Refresh,
}

/// State of the copy of a run's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyState {
    /// The run's server streams the KV cache to a backup, which needs no refresh.
    BackedUp,
    /// The last requested copy was completed at this time.
    Copied(Instant),
    /// There is no copy; not retried before this time.
    Missing(Instant),
}

impl CopyState {
    /// Decides on the next action. `is_holder_alive` tells whether the server
    /// that holds the copy is still up.
    pub fn next_step(&self, is_holder_alive: bool, now: Instant) -> CopyStep {
        match self {
            Self::Missing(retry_at) if now < *retry_at => CopyStep::Wait,
            Self::Missing(_) => CopyStep::Place,
            _ if !is_holder_alive => CopyStep::Place,
            Self::Copied(copied_at)
                if now.saturating_duration_since(*copied_at) >= REFRESH_INTERVAL =>
            {
                CopyStep::Refresh
            }
            Self::BackedUp | Self::Copied(_) => CopyStep::Wait,
        }
    }

    /// Returns the state after a failed copy.
    pub fn after_failure(now: Instant) -> Self {
        Self::Missing(now + RETRY_DELAY)
    }
}
