//! How a draining process divides its drain time.
//!
//! For three quarters of the time, work in flight may complete normally. The
//! last quarter is reserved for handing over the rest, because this process must
//! stay available until the work continues elsewhere.

use std::time::Duration;

use tokio::time::Instant;

/// Next step of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Check again later.
    Wait,
    /// Start to hand over the work in flight; returned once.
    HandOver,
    /// No work is in flight, or the drain time is over.
    Done,
}

/// Deadlines of a draining process.
#[derive(Clone, Copy, Debug)]
pub struct DrainPlan {
    hand_over_at: Instant,
    ends_at: Instant,
    is_handing_over: bool,
}

impl DrainPlan {
    /// Creates the plan of a drain that starts now and takes at most `drain_max`.
    pub fn new(drain_max: Duration, now: Instant) -> Self {
        Self {
            hand_over_at: now + drain_max * 3 / 4,
            ends_at: now + drain_max,
            is_handing_over: false,
        }
    }

    /// Returns the next step; `is_busy` says whether work is in flight.
    pub fn step(&mut self, is_busy: bool, now: Instant) -> DrainStep {
        if !is_busy || now >= self.ends_at {
            return DrainStep::Done;
        }
        if self.is_handing_over || now < self.hand_over_at {
            return DrainStep::Wait;
        }
        self.is_handing_over = true;
        DrainStep::HandOver
    }
}
