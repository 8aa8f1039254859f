//! Decides in the agent which attempts at a generation are admitted.
//!
//! An entry that lost its connection repeats the request with the same attempt
//! number; an entry that moved the generation uses a higher one. A delayed
//! request may arrive after one with a higher number and must not reclaim the
//! stream.

use crate::AttemptNumber;

/// Result of [`AttemptGate::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// Newer than the current attempt: start it and cancel the current one.
    Start,
    /// Same as the current attempt: attach the reader to it.
    Attach,
    /// Older than the current attempt: reject the request.
    Stale,
}

/// Highest attempt number admitted for one generation.
#[derive(Clone, Copy, Debug)]
pub struct AttemptGate {
    current: AttemptNumber,
}

impl AttemptGate {
    /// Creates a gate whose current attempt is `first`.
    pub const fn new(first: AttemptNumber) -> Self {
        Self { current: first }
    }

    /// Current attempt.
    pub const fn current(&self) -> AttemptNumber {
        self.current
    }

    /// Compares an attempt with the current one and makes it current if it is
    /// newer.
    pub fn admit(&mut self, attempt: AttemptNumber) -> AttemptVerdict {
        if attempt < self.current {
            return AttemptVerdict::Stale;
        }
        if attempt == self.current {
            return AttemptVerdict::Attach;
        }
        self.current = attempt;
        AttemptVerdict::Start
    }

    /// Starts a new attempt for an entry that takes over the stream and returns
    /// the attempt number.
    ///
    /// The engine keeps running. Requests of the previous entry carry a lower
    /// number, so it can neither reclaim the stream nor cancel it.
    pub fn take_over(&mut self) -> AttemptNumber {
        self.current = self.current.next();
        self.current
    }
}
