//! A point in time that requests read and write without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// A time that may never have been set, kept as its distance from a base.
#[derive(Debug)]
pub struct AtomicInstant {
    base: Instant,
    nanos: AtomicU64,
}

impl AtomicInstant {
    const NEVER: u64 = 0;

    /// Time that was never set; none before `base` can be.
    pub const fn new(base: Instant) -> Self {
        Self {
            base,
            nanos: AtomicU64::new(Self::NEVER),
        }
    }

    /// Set the time.
    pub fn set(&self, now: Instant) {
        self.nanos.store(self.distance(now), Ordering::Relaxed);
    }

    /// Time passed since, without end if the time was never set.
    pub fn age(&self, now: Instant) -> Duration {
        self.age_of(self.nanos.load(Ordering::Relaxed), now)
    }

    /// Set the time to `now` if it is at least `pause` old; of callers at once
    /// only one is told that it did.
    pub fn try_claim(&self, pause: Duration, now: Instant) -> bool {
        let then = self.nanos.load(Ordering::Relaxed);
        let current = self.distance(now);
        if self.age_of(then, now) < pause {
            return false;
        }
        self.nanos
            .compare_exchange(then, current, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    fn age_of(&self, then: u64, now: Instant) -> Duration {
        if then == Self::NEVER {
            return Duration::MAX;
        }
        Duration::from_nanos(self.distance(now).saturating_sub(then))
    }

    fn distance(&self, now: Instant) -> u64 {
        let distance = now.saturating_duration_since(self.base).as_nanos();
        u64::try_from(distance).map_or(u64::MAX, |nanos| nanos.max(Self::NEVER + 1))
    }
}
