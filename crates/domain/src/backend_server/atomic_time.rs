//! A point in time that requests read and write without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// A time, kept as its distance from a base.
#[derive(Debug)]
pub struct AtomicTime {
    base: Instant,
    nanos: AtomicU64,
}

impl AtomicTime {
    /// The time `base`, which is also the earliest that can be kept.
    pub const fn new(base: Instant) -> Self {
        Self {
            base,
            nanos: AtomicU64::new(0),
        }
    }

    /// Set the time.
    pub fn set(&self, now: Instant) {
        self.nanos.store(self.distance(now), Ordering::Relaxed);
    }

    /// Time passed since.
    pub fn age(&self, now: Instant) -> Duration {
        let then = self.nanos.load(Ordering::Relaxed);
        Duration::from_nanos(self.distance(now).saturating_sub(then))
    }

    /// Set the time to `now` if it is at least `pause` old; of callers at once
    /// only one is told that it did.
    pub fn claim(&self, pause: Duration, now: Instant) -> bool {
        let then = self.nanos.load(Ordering::Relaxed);
        let current = self.distance(now);
        if Duration::from_nanos(current.saturating_sub(then)) < pause {
            return false;
        }
        self.nanos
            .compare_exchange(then, current, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    fn distance(&self, now: Instant) -> u64 {
        let distance = now.saturating_duration_since(self.base).as_nanos();
        u64::try_from(distance).unwrap_or(u64::MAX)
    }
}
