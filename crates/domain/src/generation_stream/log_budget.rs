//! Memory limit for the prompts and token logs of all generations of an agent.
//!
//! The estimated size of a generation with the maximum number of tokens is
//! reserved before it starts, so that no log has to be truncated later. A
//! generation that does not fit is refused before it runs, and the entry tries
//! another server.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Estimated bytes of a token in a log: 5 bytes of text and a 4-byte end offset.
const BYTES_PER_TOKEN: u64 = 9;

/// Limit on the bytes reserved for prompts and logs.
#[derive(Debug)]
pub struct LogBudget {
    max_bytes: u64,
    reserved_bytes: AtomicU64,
}

impl LogBudget {
    /// Creates a budget of `max_bytes`.
    pub const fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            reserved_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes currently reserved.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// Reserves memory for a prompt and up to `max_tokens` tokens. Returns `None`
    /// if the budget would be exceeded.
    pub fn reserve(self: &Arc<Self>, prompt: &str, max_tokens: u32) -> Option<LogReservation> {
        let bytes = prompt.len() as u64 + u64::from(max_tokens) * BYTES_PER_TOKEN;
        let reserved =
            self.reserved_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |reserved| {
                    reserved
                        .checked_add(bytes)
                        .filter(|&sum| sum <= self.max_bytes)
                });
        reserved.ok().map(|_| LogReservation {
            budget: Arc::clone(self),
            bytes,
        })
    }
}

/// Memory reserved for one generation; released on drop.
#[derive(Debug)]
pub struct LogReservation {
    budget: Arc<LogBudget>,
    bytes: u64,
}

impl Drop for LogReservation {
    fn drop(&mut self) {
        self.budget
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
