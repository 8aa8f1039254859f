//! Rate limits that servers name, and this process's share of them.
//!
//! A server in need names the rate of requests that it takes from all entries
//! together. Entries don't see each other's sends, so each takes an equal part.
//! A part is spent by the generic cell rate algorithm: each send moves the time of the
//! next one by the interval that the part allows. Few entries may send short bursts. Where
//! there are more entries than the limit leaves room for single sends at the same time,
//! each may send only in a window of its interval. The windows begin at random, so
//! entries that were idle don't all send at once.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

/// Rate at which all entries together send to a server that names a lower limit: its
/// answers show whether the limit still holds.
const TRIAL_RATE: f64 = 0.1;
/// Requests of a burst of all entries together, beyond those of one second.
const BURST_REQUESTS: f64 = 3.5;
/// Longest interval between two sends.
const INTERVAL_MAX: Duration = Duration::from_secs(3_600);
/// Time after a limit was named in which an answer without one does not end it: answers
/// on several connections may overtake each other.
const REORDER_TIME: Duration = Duration::from_millis(200);
/// Value of [`RateGate::limit_bits`] without a limit; no rate has these bits.
const NO_LIMIT: u64 = u64::MAX;

/// Requests a second that a server takes from all entries together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit in requests a second; `None` if the number is no rate.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    /// Requests a second.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// This process's sends to a server that names a limit. Times are in microseconds since
/// `origin`.
///
/// Each value is read and written by itself, so relaxed ordering suffices.
#[derive(Debug)]
pub struct RateGate {
    origin: Instant,
    limit_bits: AtomicU64,
    named_us: AtomicU64,
    interval_us: AtomicU64,
    burst_us: AtomicU64,
    window_us: AtomicU64,
    next_us: AtomicU64,
    /// Offset of the intervals, as a part of one.
    phase_bits: AtomicU64,
}

impl RateGate {
    /// Creates a gate without a limit.
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            limit_bits: AtomicU64::new(NO_LIMIT),
            named_us: AtomicU64::new(0),
            interval_us: AtomicU64::new(0),
            burst_us: AtomicU64::new(0),
            window_us: AtomicU64::new(0),
            next_us: AtomicU64::new(0),
            phase_bits: AtomicU64::new(0),
        }
    }

    /// Records a limit that the server named, of which `entries` processes get equal
    /// parts. `phase`, a random number from 0 to 1, spreads the windows of different
    /// processes. Returns whether there was no limit.
    pub fn set_limit(&self, limit: RateLimit, entries: usize, phase: f64, now: Instant) -> bool {
        let entries = entries.max(1) as f64;
        let rate = (limit.get()).max(TRIAL_RATE) / entries;
        let interval = (1.0 / rate).min(INTERVAL_MAX.as_secs_f64());
        let burst_requests = (limit.get() + BURST_REQUESTS) / entries;
        let burst = (interval * (burst_requests - 1.0)).clamp(0.0, INTERVAL_MAX.as_secs_f64());
        let window = if burst_requests < 1.0 {
            interval * burst_requests
        } else {
            interval
        };
        let interval_us = micros(interval).max(1);
        let now_us = self.elapsed_us(now);
        self.interval_us.store(interval_us, Relaxed);
        self.burst_us.store(micros(burst), Relaxed);
        self.window_us.store(micros(window), Relaxed);
        self.named_us.store(now_us, Relaxed);
        let is_first = self.limit_bits.swap(limit.get().to_bits(), Relaxed) == NO_LIMIT;
        if is_first {
            self.phase_bits.store(phase.to_bits(), Relaxed);
            self.next_us.store(now_us, Relaxed);
        } else {
            // A higher limit holds at once.
            let latest_us = now_us + micros(burst) + interval_us;
            self.next_us.fetch_min(latest_us, Relaxed);
        }
        is_first
    }

    /// Records an answer that names no limit. Returns whether this ends one.
    pub fn end_limit(&self, now: Instant) -> bool {
        if self.limit().is_none() {
            return false;
        }
        let named_us = self.named_us.load(Relaxed);
        let age_us = self.elapsed_us(now).saturating_sub(named_us);
        age_us >= micros(REORDER_TIME.as_secs_f64())
            && self.limit_bits.swap(NO_LIMIT, Relaxed) != NO_LIMIT
    }

    /// The limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        let bits = self.limit_bits.load(Relaxed);
        (bits != NO_LIMIT).then(|| RateLimit(f64::from_bits(bits)))
    }

    /// When the next send is allowed; `None` if it is now.
    pub fn closed_until(&self, now: Instant) -> Option<Instant> {
        self.limit()?;
        let open_us = self.open_us(self.next_us.load(Relaxed), self.elapsed_us(now));
        open_us.map(|open_us| self.origin + Duration::from_micros(open_us))
    }

    /// Takes one send. Returns whether it is allowed.
    pub fn try_take(&self, now: Instant) -> bool {
        if self.limit().is_none() {
            return true;
        }
        let now_us = self.elapsed_us(now);
        let taken = self.next_us.fetch_update(Relaxed, Relaxed, |next_us| {
            let is_open = self.open_us(next_us, now_us).is_none();
            is_open.then(|| self.next_after(next_us, now_us))
        });
        taken.is_ok()
    }

    /// When a send is allowed, if it is not at `now_us`.
    fn open_us(&self, next_us: u64, now_us: u64) -> Option<u64> {
        let burst_us = self.burst_us.load(Relaxed);
        let earliest_us = now_us.max(next_us.saturating_sub(burst_us));
        let cycle_end_us = self.cycle_end_us(earliest_us);
        let interval_us = self.interval_us.load(Relaxed);
        let passed_us = (earliest_us + interval_us).saturating_sub(cycle_end_us);
        let open_us = if passed_us <= self.window_us.load(Relaxed) {
            earliest_us
        } else {
            cycle_end_us
        };
        (open_us > now_us).then_some(open_us)
    }

    /// Time of the next send after one at `now_us`.
    fn next_after(&self, next_us: u64, now_us: u64) -> u64 {
        let interval_us = self.interval_us.load(Relaxed);
        if self.window_us.load(Relaxed) < interval_us {
            self.cycle_end_us(now_us)
        } else {
            next_us.max(now_us) + interval_us
        }
    }

    /// End of the interval in which `at_us` lies.
    fn cycle_end_us(&self, at_us: u64) -> u64 {
        let interval_us = self.interval_us.load(Relaxed).max(1);
        let phase = f64::from_bits(self.phase_bits.load(Relaxed)).clamp(0.0, 1.0);
        let offset_us = (interval_us as f64 * phase) as u64;
        let passed_us = (at_us + offset_us) % interval_us;
        at_us + interval_us - passed_us
    }

    /// Takes one send, whether or not it is allowed.
    pub fn charge(&self, now: Instant) {
        let now_us = self.elapsed_us(now);
        let interval_us = self.interval_us.load(Relaxed);
        let charged = self.next_us.fetch_update(Relaxed, Relaxed, |next_us| {
            Some(next_us.max(now_us).saturating_add(interval_us))
        });
        // The closure always returns a value.
        debug_assert!(charged.is_ok());
    }

    fn elapsed_us(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX / 4)
    }
}

/// Microseconds of a time in seconds that is at most [`INTERVAL_MAX`].
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
