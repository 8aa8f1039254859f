//! Lock-free optional timestamp.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// Optional timestamp, stored as nanoseconds since a base instant.
#[derive(Debug)]
pub struct AtomicInstant {
    base: Instant,
    nanos: AtomicU64,
}

impl AtomicInstant {
    const UNSET: u64 = 0;

    /// Creates an unset timestamp. Values before `base` are stored as `base`.
    pub const fn new(base: Instant) -> Self {
        Self {
            base,
            nanos: AtomicU64::new(Self::UNSET),
        }
    }

    /// Sets the timestamp.
    pub fn set(&self, now: Instant) {
        self.nanos.store(self.offset(now), Ordering::Relaxed);
    }

    /// Time elapsed since the timestamp; [`Duration::MAX`] if it is unset.
    pub fn age(&self, now: Instant) -> Duration {
        self.age_of(self.nanos.load(Ordering::Relaxed), now)
    }

    /// Sets the timestamp to `now` if it is at least `interval` old. Of several
    /// concurrent callers only one succeeds.
    pub fn try_claim(&self, interval: Duration, now: Instant) -> bool {
        let stored = self.nanos.load(Ordering::Relaxed);
        let current = self.offset(now);
        if self.age_of(stored, now) < interval {
            return false;
        }
        self.nanos
            .compare_exchange(stored, current, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    fn age_of(&self, stored: u64, now: Instant) -> Duration {
        if stored == Self::UNSET {
            return Duration::MAX;
        }
        Duration::from_nanos(self.offset(now).saturating_sub(stored))
    }

    fn offset(&self, now: Instant) -> u64 {
        let offset = now.saturating_duration_since(self.base).as_nanos();
        u64::try_from(offset).map_or(u64::MAX, |nanos| nanos.max(Self::UNSET + 1))
    }
}
