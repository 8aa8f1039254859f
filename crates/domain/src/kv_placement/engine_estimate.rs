//! How fast the model servers of a service prefill, as seen by this process.
//!
//! A first event arrives after the prefill of its own prompt and of those ahead of
//! it. A low quantile of the times per token is therefore the time of a prefill on
//! a server that has nothing else to do.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use super::UsualValue;

/// Start value of the time per prompt token: that of the users' sites.
const PREFILL_NS_START: u64 = 125_000;
/// Bounds of the time per prompt token.
const PREFILL_NS_RANGE: std::ops::RangeInclusive<u64> = 2_000..=5_000_000;
/// The quantile that is tracked, in percent.
const PREFILL_QUANTILE_PERCENT: u64 = 20;
/// Largest change of the time per token by one first event, in percent.
const PREFILL_STEP_PERCENT: u64 = 5;
/// Prompts below this size say little: other delays dominate their time.
pub(super) const SIGNIFICANT_TOKENS: u64 = 1_000;
/// Start value of the mean size of a prompt.
const MEAN_TOKENS_START: u64 = 4_000;
/// Start value of the mean time of a call to a plain service, in microseconds.
const CALL_US_START: u64 = 15_000;
/// Longest time of a call that is counted, in microseconds.
const CALL_US_MAX: u64 = 60_000_000;
/// Weight of the mean against one more prompt.
const MEAN_WEIGHT: u64 = 31;

/// Estimate that requests update and read without locks. Each value stands for
/// itself, so relaxed ordering suffices.
#[derive(Debug)]
pub struct EngineEstimate {
    prefill_ns_per_token: AtomicU64,
    mean_prompt_tokens: AtomicU64,
    mean_kv_tokens: AtomicU64,
    mean_call_us: AtomicU64,
    /// Time to the first event, as a multiple of what was expected.
    usual_delay: UsualValue,
}

/// Values of an estimate at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRates {
    /// Time to prefill one prompt token, in nanoseconds.
    pub prefill_ns_per_token: u64,
    /// Mean size of the prompts, in tokens.
    pub mean_prompt_tokens: u64,
    /// Mean KV cache that a request occupies at its end, in tokens.
    pub mean_kv_tokens: u64,
    /// Mean time of a call to a plain service, in microseconds.
    pub mean_call_us: u64,
    /// Expected time of the call in question, in microseconds.
    pub call_us: u64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            prefill_ns_per_token: PREFILL_NS_START,
            mean_prompt_tokens: MEAN_TOKENS_START,
            mean_kv_tokens: MEAN_TOKENS_START,
            mean_call_us: CALL_US_START,
            call_us: CALL_US_START,
        }
    }
}

impl Default for EngineEstimate {
    fn default() -> Self {
        let rates = EngineRates::default();
        Self {
            prefill_ns_per_token: AtomicU64::new(rates.prefill_ns_per_token),
            mean_prompt_tokens: AtomicU64::new(rates.mean_prompt_tokens),
            mean_kv_tokens: AtomicU64::new(rates.mean_kv_tokens),
            mean_call_us: AtomicU64::new(rates.mean_call_us),
            usual_delay: UsualValue::default(),
        }
    }
}

impl EngineEstimate {
    /// The present values.
    pub fn rates(&self) -> EngineRates {
        EngineRates {
            prefill_ns_per_token: self.prefill_ns_per_token.load(Relaxed),
            mean_prompt_tokens: self.mean_prompt_tokens.load(Relaxed),
            mean_kv_tokens: self.mean_kv_tokens.load(Relaxed),
            mean_call_us: self.mean_call_us.load(Relaxed),
            call_us: self.mean_call_us.load(Relaxed),
        }
    }

    /// Records the prompt of a request that is sent.
    pub fn record_prompt(&self, tokens: u64) {
        update(&self.mean_prompt_tokens, |mean| {
            (mean * MEAN_WEIGHT + tokens) / (MEAN_WEIGHT + 1)
        });
    }

    /// Records the KV cache that a request occupied at its end.
    pub fn record_kv(&self, tokens: u64) {
        update(&self.mean_kv_tokens, |mean| {
            (mean * MEAN_WEIGHT + tokens) / (MEAN_WEIGHT + 1)
        });
    }

    /// Records the time of a call to a plain service.
    pub fn record_call(&self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        update(&self.mean_call_us, |mean| {
            (mean * MEAN_WEIGHT + micros.min(CALL_US_MAX)) / (MEAN_WEIGHT + 1)
        });
    }

    /// Records a first event that was expected at a server of the usual speed after
    /// `expected`. Returns the logarithm of the ratio between this server and the usual
    /// one.
    pub fn record_delay(&self, expected: Duration, elapsed: Duration) -> Option<f32> {
        self.usual_delay
            .record(elapsed.as_secs_f64() / expected.as_secs_f64())
    }

    /// Records that the first event arrived `elapsed` after a request whose server
    /// had to prefill `tokens`.
    pub fn record_prefill(&self, tokens: u64, elapsed: Duration) {
        if tokens < SIGNIFICANT_TOKENS {
            return;
        }
        let nanos = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX) / tokens;
        update(&self.prefill_ns_per_token, |known| {
            // The steps up and down are in balance at the quantile.
            let step = known * PREFILL_STEP_PERCENT / 100;
            let moved = if nanos < known {
                known - step * (100 - PREFILL_QUANTILE_PERCENT) / 100
            } else {
                known + step * PREFILL_QUANTILE_PERCENT / 100
            };
            moved.clamp(*PREFILL_NS_RANGE.start(), *PREFILL_NS_RANGE.end())
        });
    }
}

fn update(value: &AtomicU64, change: impl Fn(u64) -> u64) {
    // The closure always returns a value, so the update cannot fail.
    let _ = value.fetch_update(Relaxed, Relaxed, |known| Some(change(known)));
}

impl EngineRates {
    /// Time to prefill a number of tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(self.prefill_ns_per_token) / 1_000_000
    }
}
