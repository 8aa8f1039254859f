//! The agent's rule about attempts at the same generation.
//!
//! An entry that lost its connection asks again with the same attempt, an entry
//! that moved the generation asks with a later one. A request that was delayed
//! on the way may arrive after a later one and must not take the stream back.

use crate::AttemptNumber;

/// What to do with a request for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// Newer than any seen: start it and cancel the older one.
    Start,
    /// The current attempt: attach the reader to it.
    Attach,
    /// Older than the current attempt: refuse.
    Stale,
}

/// Highest attempt seen of one generation.
#[derive(Clone, Copy, Debug)]
pub struct AttemptGate {
    current: AttemptNumber,
}

impl AttemptGate {
    /// Gate that has admitted `first`.
    pub const fn new(first: AttemptNumber) -> Self {
        Self { current: first }
    }

    /// Current attempt.
    pub const fn current(&self) -> AttemptNumber {
        self.current
    }

    /// Judge a request and remember it if it is the newest.
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

    /// Give the stream to an entry that takes it over from another one.
    ///
    /// The engine goes on, but under a new number, so that the entry that had
    /// the stream can neither take it back nor have it cancelled.
    pub fn take_over(&mut self) -> AttemptNumber {
        self.current = self.current.next();
        self.current
    }
}
