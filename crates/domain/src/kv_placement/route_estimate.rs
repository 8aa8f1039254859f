//! What the requests of a route cost, learned from those that ended.
//!
//! Load pattern: requests that look alike produce very different numbers of tokens, and
//! only some callers say how many they expect. The caller's hint is right at the median
//! and often far off, so it counts as much as its past errors allow. A route without
//! history, or with few hints, falls back to the stated maximum.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use super::{TokenCounts, UsualValue, server_speed::bounded_percent};

/// Ended requests before their mean counts.
const RUNS_MIN: u32 = 8;
/// Largest logarithm of the positions of an output to its hint that is taken for the
/// number of tokens in an event. Beyond it the hints are wrong.
const HINT_OFFSET_MAX: f32 = 4.0;
/// Weight of the mean against one more request.
const MEAN_WEIGHT: f32 = 31.0;
/// Variance of the logarithm that is assumed at first: a factor of about 2.7.
const VARIANCE_START: f32 = 1.0;
/// Smallest variance of an estimate.
const VARIANCE_MIN: f32 = 0.01;
/// Standard deviations above the mean that are reserved for a request's output.
const RESERVED_DEVIATIONS: f32 = 1.0;

/// Estimate for the requests of one route at one service, updated without locks. Values
/// stand for themselves, and a lost update does no harm.
#[derive(Debug, Default)]
pub struct RouteEstimate {
    /// Microseconds from event to event.
    pace: UsualValue,
    /// Time of a plain call in microseconds, at a server of the usual service time.
    call: UsualValue,
    /// Logarithm of the length of the output.
    length: LogMean,
    /// Logarithm of the length to the hint.
    hint_error: LogMean,
}

/// Expected length of an output, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutputLength {
    /// Length at the median.
    pub median: u64,
    /// Length that few outputs exceed.
    pub upper: u64,
}

impl RouteEstimate {
    /// Records the pace of the events of a stream, relative to the service time that its
    /// server usually reports. Returns the logarithm of the ratio to the usual pace.
    pub fn record_pace(&self, micros_per_event: u32, service_time_percent: u32) -> Option<f32> {
        let percent = f64::from(bounded_percent(service_time_percent));
        self.pace
            .record(f64::from(micros_per_event) * 100.0 / percent)
    }

    /// Records the time of a plain call at a server that reports `service_time_percent`.
    /// Returns the logarithm of its ratio to the usual time of the route's calls.
    pub fn record_call(&self, elapsed: Duration, service_time_percent: u32) -> Option<f32> {
        let percent = f64::from(service_time_percent.max(1));
        self.call
            .record(elapsed.as_secs_f64() * 1_000_000.0 * 100.0 / percent)
    }

    /// Usual time of a plain call in microseconds, once it is known.
    pub fn call_us(&self) -> Option<u64> {
        self.call.get().map(|micros| micros as u64)
    }

    /// Records the output of a request that ended by itself, in positions of its stream.
    pub fn record_output(&self, positions: u64, hint: Option<u64>) {
        if positions == 0 {
            return;
        }
        let length = (positions as f32).ln();
        self.length.record(length);
        if let Some(hint) = hint.filter(|hint| *hint > 0) {
            self.hint_error.record(length - (hint as f32).ln());
        }
    }

    /// Expected length of the output of a request. Positions are compared with tokens by
    /// means of the hints, so without hints only the stated maximum is known.
    pub fn output(&self, tokens: TokenCounts, hint: Option<u64>) -> OutputLength {
        let stated = OutputLength {
            median: tokens.output,
            upper: tokens.output,
        };
        let Some((offset, hint_variance)) = self.hint_error.get() else {
            return stated;
        };
        let Some((length, length_variance)) = self.length.get() else {
            return stated;
        };
        if offset.abs() > HINT_OFFSET_MAX {
            return stated;
        }
        // In tokens: the hints are right at the median.
        let of_route = (length - offset, length_variance);
        let (mean, variance) = match hint.filter(|hint| *hint > 0) {
            None => of_route,
            Some(hint) => weighted([of_route, ((hint as f32).ln(), hint_variance)]),
        };
        let upper = (mean + RESERVED_DEVIATIONS * variance.sqrt()).exp() as u64;
        OutputLength {
            median: (mean.exp() as u64).min(tokens.output),
            upper: upper.min(tokens.output),
        }
    }
}

/// Mean of two estimates by the inverse of their variances. Both describe the same output,
/// so the variance of the better one is kept.
fn weighted(estimates: [(f32, f32); 2]) -> (f32, f32) {
    let (mut sum, mut weights, mut least) = (0.0, 0.0, f32::INFINITY);
    for (mean, variance) in estimates {
        let weight = 1.0 / variance.max(VARIANCE_MIN);
        sum += mean * weight;
        weights += weight;
        least = least.min(variance);
    }
    (sum / weights, least)
}

/// Mean and variance of logarithms.
#[derive(Debug, Default)]
struct LogMean {
    /// Mean and variance.
    packed: AtomicU64,
    count: AtomicU64,
}

impl LogMean {
    fn record(&self, value: f32) {
        let count = self.count.fetch_add(1, Relaxed);
        let packed = self.packed.load(Relaxed);
        let (mean, variance) = if count == 0 {
            (value, VARIANCE_START)
        } else {
            (
                f32::from_bits((packed >> 32) as u32),
                f32::from_bits(packed as u32),
            )
        };
        let share = 1.0 / (count as f32 + 1.0).min(MEAN_WEIGHT + 1.0);
        let deviation = value - mean;
        let mean = mean + share * deviation;
        let variance = if count == 0 {
            VARIANCE_START
        } else {
            (1.0 - share) * (variance + share * deviation * deviation)
        };
        let packed = u64::from(mean.to_bits()) << 32 | u64::from(variance.to_bits());
        self.packed.store(packed, Relaxed);
    }

    /// Mean and variance, once there are enough values.
    fn get(&self) -> Option<(f32, f32)> {
        if self.count.load(Relaxed) < u64::from(RUNS_MIN) {
            return None;
        }
        let packed = self.packed.load(Relaxed);
        Some((
            f32::from_bits((packed >> 32) as u32),
            f32::from_bits(packed as u32),
        ))
    }
}
