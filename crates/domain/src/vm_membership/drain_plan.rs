//! How a process that is told to stop uses the time it has.
//!
//! What is in flight may end by itself for most of the time. The last quarter
//! is for handing over what would not end, since whoever goes on elsewhere
//! needs this process until it has found its place.

use std::time::Duration;

use tokio::time::Instant;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Look again in a while.
    Wait,
    /// Hand over what is in flight; said once.
    HandOver,
    /// Nothing is in flight any more, or the time is up.
    Done,
}

/// Time of a process that drains.
#[derive(Clone, Copy, Debug)]
pub struct DrainPlan {
    hand_over_at: Instant,
    ends_at: Instant,
    is_handing_over: bool,
}

impl DrainPlan {
    /// Plan of a process that may take `longest` from now on.
    pub fn new(longest: Duration, now: Instant) -> Self {
        Self {
            hand_over_at: now + longest * 3 / 4,
            ends_at: now + longest,
            is_handing_over: false,
        }
    }

    /// What to do, when something is in flight or nothing is.
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
