//! A moving average that requests read and write without a lock.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Moving average of times; zero without any.
///
/// Concurrent samples may overwrite one another; the average only steers
/// choices, so a lost sample does no harm.
#[derive(Debug, Default)]
pub struct AtomicEwma {
    nanos: AtomicU64,
}

impl AtomicEwma {
    /// Weight of a new sample, as a power of two.
    const SAMPLE_SHIFT: u32 = 3;

    /// Record a sample.
    ///
    /// One that is less than half of the average counts as much as all before:
    /// a server that is well again should not be left idle for many tokens.
    pub fn record(&self, time: Duration) {
        let sample = Self::nanos_of(time);
        let old = self.nanos.load(Ordering::Relaxed);
        let new = match old {
            0 => sample,
            _ if sample < old / 2 => old.midpoint(sample),
            _ => old - (old >> Self::SAMPLE_SHIFT) + (sample >> Self::SAMPLE_SHIFT),
        };
        self.nanos.store(new, Ordering::Relaxed);
    }

    /// Record a time that the average must not stay below.
    pub fn raise_to(&self, time: Duration) {
        self.nanos
            .fetch_max(Self::nanos_of(time), Ordering::Relaxed);
    }

    /// The average.
    pub fn get(&self) -> Duration {
        Duration::from_nanos(self.nanos.load(Ordering::Relaxed))
    }

    fn nanos_of(time: Duration) -> u64 {
        u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
    }
}
