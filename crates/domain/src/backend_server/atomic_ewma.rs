//! Lock-free exponentially weighted moving average of durations.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Exponentially weighted moving average of durations; zero without samples.
///
/// Concurrent updates may overwrite one another. The average is only a
/// heuristic for server selection, so a lost sample does no harm.
#[derive(Debug, Default)]
pub struct AtomicEwma {
    nanos: AtomicU64,
}

impl AtomicEwma {
    /// A new sample has a weight of `1 / 2^SAMPLE_SHIFT`.
    const SAMPLE_SHIFT: u32 = 3;

    /// Records a sample.
    ///
    /// A sample below half of the average gets a weight of one half. With the
    /// regular weight a recovered server would stay unused for many more samples.
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

    /// Raises the average to `time` if it is lower.
    pub fn raise_to(&self, time: Duration) {
        self.nanos
            .fetch_max(Self::nanos_of(time), Ordering::Relaxed);
    }

    /// Returns the current average.
    pub fn get(&self) -> Duration {
        Duration::from_nanos(self.nanos.load(Ordering::Relaxed))
    }

    fn nanos_of(time: Duration) -> u64 {
        u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
    }
}
