//! Budget for the memory of answers that are buffered at the same time.
//!
//! A server in trouble may send a body without end on every connection. A single
//! answer may be large, but all large answers of a process together are bounded, so
//! that its memory does not depend on the number of requests in progress. Answers
//! up to [`SMALL_ANSWER_BYTES`] need no budget: their number is bounded by the
//! connections.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Size in bytes up to which an answer is not charged.
pub const SMALL_ANSWER_BYTES: usize = 16 << 10;

/// Bytes that large answers may occupy together.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Part of the budget that one answer occupies; returned when dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    charged: usize,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Bytes that are charged now.
    pub fn used(&self) -> usize {
        self.used.load(Relaxed)
    }

    /// Starts the share of one answer, which is empty.
    pub fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare {
            budget: Arc::clone(self),
            charged: 0,
        }
    }

    fn try_charge(&self, bytes: usize) -> bool {
        // Only the sum matters and no other memory depends on it, so relaxed
        // ordering suffices.
        self.used
            .fetch_update(Relaxed, Relaxed, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= self.limit)
            })
            .is_ok()
    }
}

impl BufferShare {
    /// Charges an answer that has grown to `size` bytes. Returns whether the budget
    /// allows it.
    pub fn grow_to(&mut self, size: usize) -> bool {
        if size <= SMALL_ANSWER_BYTES || size <= self.charged {
            return true;
        }
        let added = size - self.charged;
        let is_charged = self.budget.try_charge(added);
        if is_charged {
            self.charged = size;
        }
        is_charged
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.charged, Relaxed);
    }
}
