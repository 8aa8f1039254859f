//! Account of the bytes of request bodies.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

use derive_more::{Display, Error};

/// Size in bytes up to which a body may use the whole budget: the number of such bodies
/// is bounded by the connections.
const TINY_BODY_BYTES: usize = 16 << 10;
/// Size in bytes up to which a body may use seven eighths of the budget. Ordinary
/// requests have up to 55 kB.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// The memory for bodies of this size is in use.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the memory for request bodies is in use")]
pub struct NoBodyMemory;

/// Bytes that request bodies may occupy together.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Part of the budget that one body occupies; returned when dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Arc<BodyBudget>,
    charged: usize,
}

impl BodyBudget {
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

    /// Returns whether bodies use so much that large ones are about to be refused.
    pub fn is_crowded(&self) -> bool {
        self.used() >= self.limit / 2
    }

    /// Starts the share of one body, which is empty.
    pub fn share(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            budget: Arc::clone(self),
            charged: 0,
        }
    }

    /// Bytes up to which all bodies may grow for a body of `size` bytes.
    fn limit_for(&self, size: usize) -> usize {
        if size <= TINY_BODY_BYTES {
            self.limit
        } else if size <= SMALL_BODY_BYTES {
            self.limit / 8 * 7
        } else {
            self.limit / 3 * 2
        }
    }
}

impl BodyShare {
    /// Charges a body that grows to `size` bytes. A body that is the only one may have
    /// any size, so that a legal request is served on the smallest VM.
    pub fn grow_to(&mut self, size: usize) -> Result<(), NoBodyMemory> {
        let added = size.saturating_sub(self.charged);
        let limit = self.budget.limit_for(size);
        // Only the sum matters and no other memory depends on it, so relaxed
        // ordering suffices.
        self.budget
            .used
            .fetch_update(Relaxed, Relaxed, |used| {
                let sum = used.checked_add(added)?;
                (sum <= limit || used == self.charged).then_some(sum)
            })
            .map_err(|_| NoBodyMemory)?;
        self.charged += added;
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.charged, Relaxed);
    }
}
