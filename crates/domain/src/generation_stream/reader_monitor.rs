//! How long a generation is kept without a reader, and how far its engine may
//! run ahead of one.
//!
//! The log must outlast the time in which a caller finds another entry. What
//! the engine produces beyond the reader is lost when the generation moves, so
//! the window bounds what a silent loss can waste.

use std::time::Duration;

use tokio::time::Instant;

use crate::TokenPosition;

/// Bounds of a generation that is read or waits for a reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderLimits {
    /// Tokens that the engine may be ahead.
    pub window_tokens: u32,
    /// Time for which the log is kept without a reader.
    pub grace_period: Duration,
}

/// Whether a generation is read, and since when it is not.
#[derive(Clone, Copy, Debug)]
pub struct ReaderMonitor {
    limits: ReaderLimits,
    gone_at: Option<Instant>,
}

impl ReaderMonitor {
    /// Watch of a generation that has no reader yet.
    pub const fn new(limits: ReaderLimits, now: Instant) -> Self {
        Self {
            limits,
            gone_at: Some(now),
        }
    }

    /// A reader has come.
    pub const fn attach(&mut self) {
        self.gone_at = None;
    }

    /// The reader has gone; the grace time runs from its going, not from the
    /// last time that this was noticed.
    pub fn detach(&mut self, now: Instant) {
        self.gone_at.get_or_insert(now);
    }

    /// Whether the generation is given up.
    ///
    /// One that was stopped is kept for a caller who may know no later place to
    /// come back to, but not by a server that is leaving.
    pub fn is_abandoned(&self, is_stopped: bool, is_leaving: bool, now: Instant) -> bool {
        let Some(gone_at) = self.gone_at else {
            return false;
        };
        (is_stopped && is_leaving) || now.duration_since(gone_at) >= self.limits.grace_period
    }

    /// Whether the engine may produce the token at `next` when the reader is
    /// to be sent the one at `read`.
    pub const fn may_run_ahead(&self, next: TokenPosition, read: TokenPosition) -> bool {
        next.0 < read.0.saturating_add(self.limits.window_tokens)
    }
}
