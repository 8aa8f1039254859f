//! Account of the bytes of streams that wait for their readers.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Bytes of streams that may wait for their readers together, beyond one piece of each.
#[derive(Debug)]
pub struct PieceBudget {
    limit: usize,
    used: AtomicUsize,
}

/// Charge of one piece; returned when dropped.
#[derive(Debug)]
pub struct PieceCharge {
    budget: Arc<PieceBudget>,
    bytes: usize,
}

impl PieceBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Charges a piece; `None` if the budget is in use.
    pub fn try_charge(self: &Arc<Self>, bytes: usize) -> Option<PieceCharge> {
        // Only the sum matters and no other memory depends on it, so relaxed
        // ordering suffices.
        self.used
            .fetch_update(Relaxed, Relaxed, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= self.limit)
            })
            .ok()?;
        Some(PieceCharge {
            budget: Arc::clone(self),
            bytes,
        })
    }

    /// Charges the only piece of a stream, which goes on however slowly it is read.
    pub fn charge_only(self: &Arc<Self>, bytes: usize) -> PieceCharge {
        self.used.fetch_add(bytes, Relaxed);
        PieceCharge {
            budget: Arc::clone(self),
            bytes,
        }
    }
}

impl Drop for PieceCharge {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Relaxed);
    }
}
