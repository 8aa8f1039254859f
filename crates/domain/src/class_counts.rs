//! Requests under way by class, counted without a lock.

use std::sync::atomic::{AtomicU32, Ordering};

use crate::WorkClass;

/// Most requests that may be under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountBounds {
    /// Requests of both classes together.
    pub total: u32,
    /// Long requests among them.
    pub long: u32,
}

/// The bound that a request was not counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountRefusal {
    /// Requests that count towards the bound.
    pub in_flight: u32,
    /// The bound.
    pub limit: u32,
}

/// Requests under way, and the long ones among them.
#[derive(Debug, Default)]
pub struct ClassCounts {
    total: AtomicU32,
    long: AtomicU32,
}

impl ClassCounts {
    /// Counts of nothing.
    pub const fn new() -> Self {
        Self {
            total: AtomicU32::new(0),
            long: AtomicU32::new(0),
        }
    }

    /// Requests of both classes.
    pub fn total(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Long requests.
    pub fn long(&self) -> u32 {
        self.long.load(Ordering::Relaxed)
    }

    /// Count a request if that keeps the bounds of its class.
    pub fn try_increment(&self, class: WorkClass, bounds: CountBounds) -> Result<(), CountRefusal> {
        if class == WorkClass::Long {
            Self::try_increment_one(&self.long, bounds.long)?;
        }
        let result = Self::try_increment_one(&self.total, bounds.total);
        if result.is_err() && class == WorkClass::Long {
            self.long.fetch_sub(1, Ordering::Relaxed);
        }
        result
    }

    /// Count a request whatever the counts are.
    pub fn increment(&self, class: WorkClass) {
        self.total.fetch_add(1, Ordering::Relaxed);
        if class == WorkClass::Long {
            self.long.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A request that was counted has ended.
    pub fn decrement(&self, class: WorkClass) {
        self.total.fetch_sub(1, Ordering::Relaxed);
        if class == WorkClass::Long {
            self.long.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn try_increment_one(counter: &AtomicU32, limit: u32) -> Result<(), CountRefusal> {
        let result = counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
            (count < limit).then_some(count + 1)
        });
        match result {
            Ok(_) => Ok(()),
            Err(in_flight) => Err(CountRefusal { in_flight, limit }),
        }
    }
}
