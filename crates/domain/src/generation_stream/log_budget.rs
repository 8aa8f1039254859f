//! How much an agent keeps of all its generations together.
//!
//! Room for a whole answer is reserved before the generation starts, so a log
//! is never cut short: a generation without room is refused before anything
//! ran, and goes to another server.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Bytes that a token takes in a log, its place included.
const BYTES_PER_TOKEN: u64 = 9;

/// Bytes reserved for logs.
#[derive(Debug)]
pub struct LogBudget {
    max: u64,
    held: AtomicU64,
}

impl LogBudget {
    /// Budget of `max` bytes.
    pub const fn new(max: u64) -> Self {
        Self {
            max,
            held: AtomicU64::new(0),
        }
    }

    /// Bytes reserved now.
    pub fn reserved_bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Reserve room for a prompt and the tokens that may follow it.
    pub fn reserve(self: &Arc<Self>, prompt: &str, max_tokens: u32) -> Option<LogReservation> {
        let bytes = prompt.len() as u64 + u64::from(max_tokens) * BYTES_PER_TOKEN;
        let held = self
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                held.checked_add(bytes).filter(|&sum| sum <= self.max)
            });
        held.ok().map(|_| LogReservation {
            budget: Arc::clone(self),
            bytes,
        })
    }
}

/// Room for one generation, until it is dropped.
#[derive(Debug)]
pub struct LogReservation {
    budget: Arc<LogBudget>,
    bytes: u64,
}

impl Drop for LogReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
