//! State of one generation at the entry.
//!
//! The relay owns the log of tokens delivered to the caller and decides how to
//! handle each token and each lost stream. It does no I/O: the entry opens
//! streams according to these decisions and passes received events to the
//! relay.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    AttemptNumber, TokenPosition,
    generation_stream::{ModelPin, TokenLog},
};

/// Result of [`StreamRelay::accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// The next token in order: forward it to the caller.
    Deliver,
    /// Already delivered: drop it.
    Duplicate,
    /// Belongs to another attempt than the current one: drop it.
    Stale,
    /// Tokens before it are missing: request them again from `expected`.
    Gap {
        /// Position of the first missing token.
        expected: TokenPosition,
    },
}

/// Result of [`StreamRelay::check_end`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// All tokens were delivered.
    Complete,
    /// Belongs to another attempt than the current one: ignore it.
    Stale,
    /// Some tokens were not received: request them again.
    Incomplete,
}

/// What to do after a stream was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossAction {
    /// Reopen the stream of the same attempt at the same server.
    Reconnect,
    /// Open a stream of this new attempt at another server.
    Resume(AttemptNumber),
    /// End the answer and report it as incomplete.
    GiveUp,
}

/// Limits on the recovery of a generation.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Maximum number of reconnects to the same server between two tokens.
    pub reconnects_max: u32,
    /// Time without a new token after which the generation is abandoned.
    pub progress_timeout: Duration,
}

impl Default for RelayLimits {
    fn default() -> Self {
        Self {
            reconnects_max: 1,
            progress_timeout: Duration::from_secs(30),
        }
    }
}

/// Delivery of one generation to one caller.
#[derive(Clone, Debug)]
pub struct StreamRelay {
    pin: ModelPin,
    log: TokenLog,
    attempt: AttemptNumber,
    limits: RelayLimits,
    reconnects: u32,
    last_progress_at: Instant,
}

impl StreamRelay {
    /// Creates a relay that has delivered `log` and accepts tokens of `attempt`.
    pub const fn new(
        pin: ModelPin,
        log: TokenLog,
        attempt: AttemptNumber,
        limits: RelayLimits,
        now: Instant,
    ) -> Self {
        Self {
            pin,
            log,
            attempt,
            limits,
            reconnects: 0,
            last_progress_at: now,
        }
    }

    /// Attempt whose tokens are accepted.
    pub const fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Tokens delivered so far.
    pub const fn log(&self) -> &TokenLog {
        &self.log
    }

    /// Model, adapter and version of all attempts.
    pub const fn pin(&self) -> &ModelPin {
        &self.pin
    }

    /// Appends a token to the log if it is the next one.
    pub fn accept(
        &mut self,
        attempt: AttemptNumber,
        position: TokenPosition,
        token: &str,
        now: Instant,
    ) -> TokenVerdict {
        if attempt != self.attempt {
            return TokenVerdict::Stale;
        }
        let expected = self.log.next_position();
        if position < expected {
            return TokenVerdict::Duplicate;
        }
        if position > expected {
            return TokenVerdict::Gap { expected };
        }
        self.log.push(token);
        self.reconnects = 0;
        self.last_progress_at = now;
        TokenVerdict::Deliver
    }

    /// Checks an end of stream that was sent after `total` tokens.
    pub fn check_end(&self, attempt: AttemptNumber, total: TokenPosition) -> EndVerdict {
        if attempt != self.attempt {
            return EndVerdict::Stale;
        }
        if self.log.next_position() < total {
            return EndVerdict::Incomplete;
        }
        EndVerdict::Complete
    }

    /// Decides what to do after the connection was lost or became silent.
    pub fn on_connection_lost(&mut self, now: Instant) -> LossAction {
        if self.has_timed_out(now) {
            return LossAction::GiveUp;
        }
        if self.reconnects < self.limits.reconnects_max {
            self.reconnects += 1;
            return LossAction::Reconnect;
        }
        self.start_next_attempt()
    }

    /// Decides what to do when the server cannot continue.
    pub fn on_server_lost(&mut self, now: Instant) -> LossAction {
        if self.has_timed_out(now) {
            return LossAction::GiveUp;
        }
        self.start_next_attempt()
    }

    /// Attempt number to offer to another server for a planned move, while the
    /// current server still runs the generation.
    pub const fn next_attempt(&self) -> AttemptNumber {
        self.attempt.next()
    }

    /// Makes [`Self::next_attempt`] the current attempt, after the other server
    /// accepted it.
    pub const fn complete_move(&mut self) {
        self.attempt = self.attempt.next();
        self.reconnects = 0;
    }

    /// Whether the time without a new token has reached the progress timeout.
    pub fn has_timed_out(&self, now: Instant) -> bool {
        now.duration_since(self.last_progress_at) >= self.limits.progress_timeout
    }

    fn start_next_attempt(&mut self) -> LossAction {
        self.attempt = self.attempt.next();
        self.reconnects = 0;
        LossAction::Resume(self.attempt)
    }
}
