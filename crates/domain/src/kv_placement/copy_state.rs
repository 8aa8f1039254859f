//! Keeping a copy of a run's memory at another server.
//!
//! A run's own server sends its memory to a backup as it grows. When the
//! backup is lost no further one can be named, so the memory is copied anew by
//! moves, which are kept only for a time and are therefore made again. To read
//! a prompt anew costs some hundred times as much as a copy.

use std::time::Duration;

use tokio::time::Instant;

/// Time between two moves of the same run. Servers keep a copy for 4 s.
const MOVE_PERIOD: Duration = Duration::from_millis(3_300);
/// Pause after a move that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// What to do for the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStep {
    /// Nothing now.
    Wait,
    /// Copy to a server that is to be chosen.
    Place,
    /// Copy what is new to the same server.
    Refresh,
}

/// State of one run's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyState {
    /// The server sends the memory on by itself.
    BackedUp,
    /// The last move was done at that time.
    Copied(Instant),
    /// There is none; not tried again before that time.
    Missing(Instant),
}

impl CopyState {
    /// Decide, given whether the holder of the copy still lives.
    pub fn next_step(&self, holder_lives: bool, now: Instant) -> CopyStep {
        match self {
            Self::Missing(until) if now < *until => CopyStep::Wait,
            Self::Missing(_) => CopyStep::Place,
            _ if !holder_lives => CopyStep::Place,
            Self::Copied(at) if now.saturating_duration_since(*at) >= MOVE_PERIOD => {
                CopyStep::Refresh
            }
            Self::BackedUp | Self::Copied(_) => CopyStep::Wait,
        }
    }

    /// Plan after a move that failed.
    pub fn after_failure(now: Instant) -> Self {
        Self::Missing(now + FAILED_PAUSE)
    }
}
