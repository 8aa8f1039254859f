//! Lock-free counts of the requests in flight, by class.

use std::sync::atomic::{AtomicU32, Ordering};

use crate::WorkClass;

/// Maximum numbers of requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountLimits {
    /// Requests of both classes together.
    pub total: u32,
    /// Requests of class [`WorkClass::Long`] among them.
    pub long: u32,
}

/// Refusal of a request that would exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountRefusal {
    /// Requests in flight that count towards the limit.
    pub in_flight: u32,
    /// The limit.
    pub limit: u32,
}

/// Counts of the requests in flight, and of the long ones among them.
#[derive(Debug, Default)]
pub struct ClassCounts {
    total: AtomicU32,
    long: AtomicU32,
}

impl ClassCounts {
    /// Creates counts of zero.
    pub const fn new() -> Self {
        Self {
            total: AtomicU32::new(0),
            long: AtomicU32::new(0),
        }
    }

    /// Number of requests of both classes.
    pub fn total(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Number of long requests.
    pub fn long(&self) -> u32 {
        self.long.load(Ordering::Relaxed)
    }

    /// Counts a request unless that would exceed a limit of its class.
    pub fn try_increment(&self, class: WorkClass, limits: CountLimits) -> Result<(), CountRefusal> {
        if class == WorkClass::Long {
            Self::try_increment_one(&self.long, limits.long)?;
        }
        let result = Self::try_increment_one(&self.total, limits.total);
        if result.is_err() && class == WorkClass::Long {
            self.long.fetch_sub(1, Ordering::Relaxed);
        }
        result
    }

    /// Counts a request regardless of the limits.
    pub fn increment(&self, class: WorkClass) {
        self.total.fetch_add(1, Ordering::Relaxed);
        if class == WorkClass::Long {
            self.long.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Stops counting a request that has ended.
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
