//! How likely a repeat succeeds after a server error.
//!
//! Load pattern: a fault of one route, such as a failing dependency, that answers every
//! call with a server error while the servers are busy. Each repeat then takes a
//! place from a call that would succeed.
//!
//! [`RepeatOdds`] counts the repeats of one route by result. Old results fade, and
//! without results a repeat counts as likely, so a route is tried again soon after its
//! repeats were given up. A few results leave a wide spread, and the upper end of it
//! decides.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use tokio::time::Instant;

use crate::kv_placement::LoadReport;

/// Time in which results lose half of their weight, in seconds: several times the
/// length of a crash, and short enough for a test a minute.
const HALF_LIFE_S: f64 = 30.0;
/// Successes that are assumed beside the results. With one, three failures in a row are
/// needed before repeats are given up.
const ASSUMED_SUCCESSES: f64 = 1.0;
/// Least probability of a repeat that is worth a place at a busy server.
const PROBABILITY_MIN: f64 = 0.5;
/// Units of a count and of a second in the packed word.
const UNITS: f64 = 64.0;
/// Results that are remembered at most.
const RESULTS_MAX: f64 = 16.0;

/// Results of the repeats of one route.
///
/// Both counts and the time of the last update are packed into one word, so that an
/// update changes them together. Nothing else is published through it, so relaxed
/// ordering suffices.
#[derive(Debug)]
pub struct RepeatOdds {
    origin: Instant,
    packed: AtomicU64,
}

/// Counts at one time, in [`UNITS`].
#[derive(Clone, Copy, Debug)]
struct RepeatCounts {
    successes: u16,
    failures: u16,
    updated: u32,
}

impl RepeatOdds {
    /// Creates odds without results.
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            packed: AtomicU64::new(0),
        }
    }

    /// Records the result of a repeat.
    pub fn record(&self, has_succeeded: bool, now: Instant) {
        let updated = self.units_at(now);
        // The closure always returns a value, so the update cannot fail.
        let _ = self.packed.fetch_update(Relaxed, Relaxed, |packed| {
            let mut counts = RepeatCounts::from(packed).faded(updated);
            let count = if has_succeeded {
                &mut counts.successes
            } else {
                &mut counts.failures
            };
            *count = count.saturating_add(UNITS as u16);
            Some(u64::from(counts.bounded()))
        });
    }

    /// Highest probability of success that the results allow: the mean and one standard
    /// deviation.
    pub fn probability(&self, now: Instant) -> f64 {
        let packed = self.packed.load(Relaxed);
        let counts = RepeatCounts::from(packed).faded(self.units_at(now));
        let successes = f64::from(counts.successes) / UNITS + ASSUMED_SUCCESSES;
        let total = successes + f64::from(counts.failures) / UNITS;
        let mean = successes / total;
        let spread = (mean * (1.0 - mean) / (total + 1.0)).sqrt();
        (mean + spread).min(1.0)
    }

    /// Whether a call is worth a repeat at servers with these loads.
    pub fn is_worth(&self, loads: impl IntoIterator<Item = LoadReport>, now: Instant) -> bool {
        self.probability(now) >= PROBABILITY_MIN || !are_busy(loads)
    }

    fn units_at(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.origin);
        (elapsed.as_secs_f64() * UNITS) as u32
    }
}

impl RepeatCounts {
    /// Scales counts above [`RESULTS_MAX`] down, so that a fault that lasted for long is
    /// forgotten as soon as a short one.
    fn bounded(self) -> Self {
        let results = (f64::from(self.successes) + f64::from(self.failures)) / UNITS;
        let scale = (RESULTS_MAX / results).min(1.0);
        Self {
            successes: (f64::from(self.successes) * scale).round() as u16,
            failures: (f64::from(self.failures) * scale).round() as u16,
            updated: self.updated,
        }
    }

    fn faded(self, updated: u32) -> Self {
        let age_s = f64::from(updated.saturating_sub(self.updated)) / UNITS;
        let weight = 0.5_f64.powf(age_s / HALF_LIFE_S);
        Self {
            successes: (f64::from(self.successes) * weight).round() as u16,
            failures: (f64::from(self.failures) * weight).round() as u16,
            updated: self.updated.max(updated),
        }
    }
}

impl From<u64> for RepeatCounts {
    fn from(packed: u64) -> Self {
        Self {
            successes: (packed >> 48) as u16,
            failures: (packed >> 32) as u16,
            updated: packed as u32,
        }
    }
}

impl From<RepeatCounts> for u64 {
    fn from(counts: RepeatCounts) -> Self {
        Self::from(counts.successes) << 48
            | Self::from(counts.failures) << 32
            | Self::from(counts.updated)
    }
}

/// Whether at least half of the servers have no free slot. Servers whose load is not
/// known don't count.
fn are_busy(loads: impl IntoIterator<Item = LoadReport>) -> bool {
    let (mut all, mut full) = (0_usize, 0_usize);
    for load in loads {
        all += 1;
        full += usize::from(load.waiting > 0 || load.running >= load.slots);
    }
    full > 0 && full * 2 >= all
}
