//! Limits how long a generation is kept without a reader and how far its
//! engine may run ahead of the reader.
//!
//! The log must be kept long enough for a caller to reconnect through another
//! entry. Tokens that the reader has not received are discarded when the
//! generation moves to another server, so the window limits how many tokens are
//! wasted by a loss that is detected late.

use std::time::Duration;

use tokio::time::Instant;

use crate::TokenPosition;

/// Limits on a generation with respect to its reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderLimits {
    /// Number of tokens by which the engine may be ahead of the reader.
    pub window_tokens: u32,
    /// How long the log is kept without a reader.
    pub grace_period: Duration,
}

/// Applies [`ReaderLimits`] to one generation; tracks since when it has had no
/// reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderMonitor {
    limits: ReaderLimits,
    detached_at: Option<Instant>,
}

impl ReaderMonitor {
    /// Creates the monitor of a generation that has no reader yet; the grace
    /// period starts at `now`.
    pub const fn new(limits: ReaderLimits, now: Instant) -> Self {
        Self {
            limits,
            detached_at: Some(now),
        }
    }

    /// Records that a reader is attached.
    pub const fn attach(&mut self) {
        self.detached_at = None;
    }

    /// Records that the reader is detached. Further calls do not restart the
    /// grace period.
    pub fn detach(&mut self, now: Instant) {
        self.detached_at.get_or_insert(now);
    }

    /// Whether the generation can be removed.
    ///
    /// A generation that was cancelled on this server (`is_stopped`) is also kept
    /// for the grace period, because this may be the last server at which its
    /// caller can look for it. A leaving server removes a cancelled generation as
    /// soon as it has no reader.
    pub fn is_removable(&self, is_stopped: bool, is_leaving: bool, now: Instant) -> bool {
        let Some(detached_at) = self.detached_at else {
            return false;
        };
        (is_stopped && is_leaving) || now.duration_since(detached_at) >= self.limits.grace_period
    }

    /// Whether the engine may produce the token at position `next` while the token
    /// at `next_to_send` has not been sent to the reader.
    pub const fn may_run_ahead(&self, next: TokenPosition, next_to_send: TokenPosition) -> bool {
        next.0 < next_to_send.0.saturating_add(self.limits.window_tokens)
    }
}
