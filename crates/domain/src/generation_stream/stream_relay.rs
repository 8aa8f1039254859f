//! The entry's side of one generation.
//!
//! The relay owns what was delivered to the caller and decides about every
//! token and every loss. It never talks to anyone: the entry opens streams as
//! the relay tells it and reports back what came.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    AttemptNumber, TokenPosition,
    generation_stream::{ModelPin, TokenLog},
};

/// What to do with a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// Next in order: pass it on.
    Deliver,
    /// Delivered before: drop it.
    Duplicate,
    /// Of an attempt that was superseded: drop it.
    Stale,
    /// Tokens before it are missing: ask again from `expected`.
    Gap {
        /// Position that should have come.
        expected: TokenPosition,
    },
}

/// What to do with an end of stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// All tokens were delivered.
    Complete,
    /// The end belongs to a superseded attempt.
    Stale,
    /// The end came before all tokens did: ask again.
    Incomplete,
}

/// What to do after a stream was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossAction {
    /// Ask the same server again for the same attempt.
    Reconnect,
    /// Ask another server for this new attempt.
    Resume(AttemptNumber),
    /// End with a stated incomplete outcome.
    GiveUp,
}

/// Bounds on how long a generation is fought for.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// New connections to the same server between two tokens.
    pub reconnects_max: u32,
    /// Time without a new token after which the generation is given up.
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
    progress_at: Instant,
}

impl StreamRelay {
    /// Relay that has delivered `log` and reads `attempt`.
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
            progress_at: now,
        }
    }

    /// Attempt whose tokens count.
    pub const fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Tokens delivered so far.
    pub const fn log(&self) -> &TokenLog {
        &self.log
    }

    /// Model, adapter and version of every attempt.
    pub const fn pin(&self) -> &ModelPin {
        &self.pin
    }

    /// Judge a token and record it if it is the next.
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
        self.progress_at = now;
        TokenVerdict::Deliver
    }

    /// Judge an end of stream after `total` tokens.
    pub fn check_end(&self, attempt: AttemptNumber, total: TokenPosition) -> EndVerdict {
        if attempt != self.attempt {
            return EndVerdict::Stale;
        }
        if self.log.next_position() < total {
            return EndVerdict::Incomplete;
        }
        EndVerdict::Complete
    }

    /// Decide after the connection was lost or fell silent.
    pub fn on_connection_lost(&mut self, now: Instant) -> LossAction {
        if self.has_timed_out(now) {
            return LossAction::GiveUp;
        }
        if self.reconnects < self.limits.reconnects_max {
            self.reconnects += 1;
            return LossAction::Reconnect;
        }
        self.resume()
    }

    /// Decide after the server itself cannot go on.
    pub fn on_server_lost(&mut self, now: Instant) -> LossAction {
        if self.has_timed_out(now) {
            return LossAction::GiveUp;
        }
        self.resume()
    }

    /// Attempt that a server is asked for which may take the generation over
    /// from the one that has it.
    pub const fn next_attempt(&self) -> AttemptNumber {
        self.attempt.next()
    }

    /// That server has taken it: only its tokens count from now on.
    pub const fn complete_move(&mut self) {
        self.attempt = self.attempt.next();
        self.reconnects = 0;
    }

    /// Whether no token came for so long that the generation is given up.
    pub fn has_timed_out(&self, now: Instant) -> bool {
        now.duration_since(self.progress_at) >= self.limits.progress_timeout
    }

    fn resume(&mut self) -> LossAction {
        self.attempt = self.attempt.next();
        self.reconnects = 0;
        LossAction::Resume(self.attempt)
    }
}
