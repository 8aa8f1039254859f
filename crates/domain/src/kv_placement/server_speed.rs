//! How fast the VM of a server works, compared with the usual one of its service.
//!
//! Load pattern: many processes send one server a stream every minute or two each, and
//! some VMs are permanently slower than others. A process learns the speed from the
//! first events and from the pace of the events of its own streams, and takes over what
//! other processes learned. The estimate belongs to the address, so it outlives the
//! instance of the server, and it decays, because the VM at the address may change.
//!
//! Ratios are kept as natural logarithms of "time here to the usual time", so that twice
//! as slow and twice as fast deviate by the same amount.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

/// Time in which half of the weight of an observation is lost.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Largest weight of the past, in observations, against a new one.
const WEIGHT_MAX: f32 = 12.0;
/// Weight below which an estimate is not told to others.
const WEIGHT_MIN: f32 = 0.25;
/// Largest deviation of one observation from the mean: a factor of about 3. A stream
/// that was held up elsewhere says little about its server.
const DEVIATION_MAX: f32 = 1.1;
/// Variance of a first event that is assumed at first: a deviation of about 40 %, because
/// the queue at the server is known only roughly.
const PREFILL_VARIANCE_START: f32 = 0.15;
/// Variance of a pace that is assumed at first: a deviation of about 20 %.
const PACE_VARIANCE_START: f32 = 0.04;
/// Smallest variance of a single observation.
const VARIANCE_MIN: f32 = 0.003;
/// Variance of the ratio between the servers of a service before anything is known: a
/// deviation of about 35 %.
const PRIOR_VARIANCE: f32 = 0.1;
/// Variance that first events leave about the speed of prefill, because processes place
/// their streams by the same reports and meet similar queues.
const PREFILL_VARIANCE: f32 = 0.05;
/// Variance that the pace of events leaves about the speed of prefill, because a VM may
/// be slower at one than at the other.
const PACE_VARIANCE: f32 = 0.02;
/// Smallest ratio that counts as a difference, 18 %. Below it the servers are taken for equally
/// fast, so that noise does not move requests.
const MARGIN: f32 = 0.165;
/// Standard deviations by which a ratio must differ from the usual one.
const SURE_DEVIATIONS: f32 = 2.0;
/// Bounds of the ratio, in percent.
const PERCENT_RANGE: std::ops::RangeInclusive<u32> = 25..=800;

/// A service time that a server reports, within the bounds of what can be right.
pub(super) fn bounded_percent(percent: u32) -> u32 {
    percent.clamp(*PERCENT_RANGE.start(), *PERCENT_RANGE.end())
}
/// Time for which a computed ratio is used.
const CACHED_MS: u64 = 2_000;
/// Ratio of a server that is as fast as the usual one, in percent.
const USUAL_PERCENT: u32 = 100;

/// One learned ratio, as one process tells it to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatioEstimate {
    /// Natural logarithm of the ratio.
    pub mean: f32,
    /// Variance of a single observation.
    pub variance: f32,
    /// Weight in observations at `at`.
    pub weight: f32,
    /// Time of the last observation.
    pub at: Instant,
}

impl RatioEstimate {
    /// Weight that is left at `now`.
    pub fn weight_at(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at).as_secs_f32();
        self.weight * (-age / HALF_LIFE.as_secs_f32()).exp2()
    }

    /// Inverse of the variance of the mean; `extra` is a variance that no number of
    /// observations reduces.
    fn precision(&self, extra: f32, now: Instant) -> f32 {
        let weight = self.weight_at(now);
        if weight <= 0.0 {
            return 0.0;
        }
        1.0 / (self.variance.max(VARIANCE_MIN) / weight + extra)
    }

    /// Whether all values are usable.
    fn is_valid(&self) -> bool {
        let values = [self.mean, self.variance, self.weight];
        values.iter().all(|value| value.is_finite()) && self.variance >= 0.0 && self.weight > 0.0
    }
}

/// A learned ratio that requests update without locks. Concurrent updates may overwrite
/// one another; a lost observation does no harm.
#[derive(Debug, Default)]
struct LearnedRatio {
    /// Mean and weight.
    mean_weight: AtomicU64,
    /// Variance, and milliseconds since the creation of the owner.
    variance_time: AtomicU64,
}

impl LearnedRatio {
    fn load(&self, created_at: Instant) -> Option<RatioEstimate> {
        let [mean, weight] = unpack(self.mean_weight.load(Relaxed));
        let [variance, millis] = unpack(self.variance_time.load(Relaxed));
        let estimate = RatioEstimate {
            mean: f32::from_bits(mean),
            variance: f32::from_bits(variance),
            weight: f32::from_bits(weight),
            at: created_at + Duration::from_millis(u64::from(millis)),
        };
        (estimate.weight > 0.0).then_some(estimate)
    }

    fn store(&self, estimate: &RatioEstimate, created_at: Instant) {
        let millis = estimate
            .at
            .saturating_duration_since(created_at)
            .as_millis();
        let millis = u32::try_from(millis).unwrap_or(u32::MAX);
        let mean_weight = pack([estimate.mean.to_bits(), estimate.weight.to_bits()]);
        self.mean_weight.store(mean_weight, Relaxed);
        let variance_time = pack([estimate.variance.to_bits(), millis]);
        self.variance_time.store(variance_time, Relaxed);
    }

    fn record(&self, ratio: f32, variance_start: f32, created_at: Instant, now: Instant) {
        // Buffered events that are read together look infinitely fast.
        let ratio = ratio.clamp(-DEVIATION_MAX, DEVIATION_MAX);
        let known = self.load(created_at).unwrap_or(RatioEstimate {
            mean: ratio,
            variance: variance_start,
            weight: 0.0,
            at: now,
        });
        let weight = known.weight_at(now).min(WEIGHT_MAX);
        let share = 1.0 / (weight + 1.0);
        let deviation = (ratio - known.mean).clamp(-DEVIATION_MAX, DEVIATION_MAX);
        let mean = known.mean + share * deviation;
        // The first observation has no deviation yet.
        let variance = if weight == 0.0 {
            variance_start
        } else {
            (1.0 - share) * (known.variance + share * deviation * deviation)
        };
        let estimate = RatioEstimate {
            mean,
            variance,
            weight: weight + 1.0,
            at: now,
        };
        self.store(&estimate, created_at);
    }

    /// Keeps the estimate with the greater weight, whatever the order of the calls.
    /// Weights decay alike, so the time of the comparison does not matter.
    fn merge(&self, told: &RatioEstimate, created_at: Instant) -> bool {
        let at = told.at.max(created_at);
        let told = RatioEstimate {
            mean: told.mean.clamp(-DEVIATION_MAX, DEVIATION_MAX),
            weight: told.weight_at(at).min(WEIGHT_MAX),
            at,
            ..*told
        };
        let is_better = self.load(created_at).is_none_or(|known| {
            let at = known.at.max(told.at);
            let order = told.weight_at(at).total_cmp(&known.weight_at(at));
            order.then(told.mean.total_cmp(&known.mean)).is_gt()
        });
        if is_better {
            self.store(&told, created_at);
        }
        is_better
    }
}

fn pack([high, low]: [u32; 2]) -> u64 {
    u64::from(high) << 32 | u64::from(low)
}

fn unpack(packed: u64) -> [u32; 2] {
    [(packed >> 32) as u32, packed as u32]
}

/// What one process tells others about the speed at an address.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSummary {
    /// Ratio of prefill times, learned from first events.
    pub prefill: Option<RatioEstimate>,
    /// Ratio of the times between events.
    pub pace: Option<RatioEstimate>,
}

/// The learned speed of the VM at an address.
#[derive(Debug)]
pub struct ServerSpeed {
    created_at: Instant,
    prefill: LearnedRatio,
    pace: LearnedRatio,
    told_prefill: LearnedRatio,
    told_pace: LearnedRatio,
    /// Service time that the server usually reports, in percent.
    usual_percent: AtomicU32,
    /// Ratio in percent, and milliseconds since `created_at` of its computation.
    cached_ratio: AtomicU64,
}

impl ServerSpeed {
    /// Creates the state of an address of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            prefill: LearnedRatio::default(),
            pace: LearnedRatio::default(),
            told_prefill: LearnedRatio::default(),
            told_pace: LearnedRatio::default(),
            usual_percent: AtomicU32::new(USUAL_PERCENT),
            cached_ratio: AtomicU64::new(pack([USUAL_PERCENT, 0])),
        }
    }

    /// Records the logarithm of the time of a prefill, or of a plain call, to the usual one.
    pub fn record_prefill(&self, ratio: f32, now: Instant) {
        self.prefill
            .record(ratio, PREFILL_VARIANCE_START, self.created_at, now);
        self.update_ratio(now);
    }

    /// Records the logarithm of a time between events to the usual one.
    pub fn record_pace(&self, ratio: f32, now: Instant) {
        self.pace
            .record(ratio, PACE_VARIANCE_START, self.created_at, now);
        self.update_ratio(now);
    }

    /// Records the service time that the server reports, in percent. The usual value is a
    /// low quantile, because a server is slower than usual only at moments.
    pub fn note_service_time(&self, percent: u32) {
        let percent = bounded_percent(percent);
        let known = self.usual_percent.load(Relaxed);
        let usual = if percent < known {
            known - (known - percent).div_ceil(4)
        } else {
            known + (percent - known).div_ceil(16)
        };
        self.usual_percent.store(usual, Relaxed);
    }

    /// Service time that the server usually reports, in percent.
    pub fn usual_service_time(&self) -> u32 {
        self.usual_percent.load(Relaxed)
    }

    /// Learned time here to the usual one, in percent, beyond what the server itself
    /// reports. Servers whose difference is not sure have 100.
    pub fn ratio_percent(&self, now: Instant) -> u32 {
        let [percent, computed_ms] = unpack(self.cached_ratio.load(Relaxed));
        if computed_ms == 0 {
            // Nothing was recorded yet.
            return USUAL_PERCENT;
        }
        if self.elapsed_ms(now) < u64::from(computed_ms) + CACHED_MS {
            return percent;
        }
        self.update_ratio(now)
    }

    /// Mean of the logarithm of the ratio, and its standard deviation.
    pub fn estimate(&self, now: Instant) -> (f32, f32) {
        let mut precision = 1.0 / PRIOR_VARIANCE;
        let mut sum = 0.0;
        // What others tell may be this process's own observation, so only the better one
        // of the two counts.
        let best = self.summary(now);
        let sources = [(best.prefill, PREFILL_VARIANCE), (best.pace, PACE_VARIANCE)];
        for (source, extra) in sources {
            if let Some(known) = source {
                let of_source = known.precision(extra, now);
                precision += of_source;
                sum += of_source * known.mean;
            }
        }
        (sum / precision, precision.recip().sqrt())
    }

    fn update_ratio(&self, now: Instant) -> u32 {
        let (mean, deviation) = self.estimate(now);
        let percent = if mean.abs() < MARGIN.max(SURE_DEVIATIONS * deviation) {
            USUAL_PERCENT
        } else {
            let percent = (mean.exp() * 100.0) as u32;
            bounded_percent(percent)
        };
        let millis = u32::try_from(self.elapsed_ms(now)).unwrap_or(u32::MAX);
        let cached = pack([percent, millis.max(1)]);
        self.cached_ratio.store(cached, Relaxed);
        percent
    }

    /// What this process knows best, its own observations or those told to it.
    pub fn summary(&self, now: Instant) -> SpeedSummary {
        let best = |own: &LearnedRatio, told: &LearnedRatio| {
            let known = [own, told].map(|ratio| ratio.load(self.created_at));
            let weight = |estimate: &RatioEstimate| estimate.weight_at(now);
            let best = known
                .into_iter()
                .flatten()
                .max_by(|one, other| weight(one).total_cmp(&weight(other)));
            best.filter(|estimate| weight(estimate) >= WEIGHT_MIN)
        };
        SpeedSummary {
            prefill: best(&self.prefill, &self.told_prefill),
            pace: best(&self.pace, &self.told_pace),
        }
    }

    /// What others should know: nothing while all that is known is near the usual speed.
    pub fn news(&self, now: Instant) -> Option<SpeedSummary> {
        let sources = [
            &self.prefill,
            &self.told_prefill,
            &self.pace,
            &self.told_pace,
        ];
        let known = sources.map(|source| source.load(self.created_at));
        let is_unusual = known
            .iter()
            .flatten()
            .any(|estimate| estimate.mean.abs() >= MARGIN && estimate.weight_at(now) >= WEIGHT_MIN);
        is_unusual.then(|| self.summary(now))
    }

    /// Takes over what another process told. The result does not depend on the order of
    /// the calls, nor on repetitions.
    pub fn merge(&self, told: &SpeedSummary, now: Instant) {
        let pairs = [
            (&self.told_prefill, told.prefill),
            (&self.told_pace, told.pace),
        ];
        let mut is_changed = false;
        for (ratio, estimate) in pairs {
            if let Some(estimate) = estimate.filter(RatioEstimate::is_valid) {
                is_changed |= ratio.merge(&estimate, self.created_at);
            }
        }
        if is_changed {
            self.update_ratio(now);
        }
    }

    fn elapsed_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.created_at);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Median of positive values, tracked without locks, against which the ratio of one
/// server is taken.
#[derive(Debug, Default)]
pub struct UsualValue {
    /// Logarithm of the value, and the number of observations.
    packed: AtomicU64,
}

impl UsualValue {
    /// Observations before a ratio to the median means anything.
    const WARM_UP: u32 = 4;
    /// Smallest step of the median's logarithm.
    const STEP_MIN: f32 = 0.02;

    /// Records a value. Returns the logarithm of its ratio to the median so far, once
    /// there are enough observations.
    pub fn record(&self, value: f64) -> Option<f32> {
        if !(value.is_finite() && value > 0.0) {
            return None;
        }
        let value = value.ln() as f32;
        let [known, count] = unpack(self.packed.load(Relaxed));
        let known = if count == 0 {
            value
        } else {
            f32::from_bits(known)
        };
        let ratio = value - known;
        let step = Self::STEP_MIN.max(0.5 / (count as f32 + 1.0));
        let moved = known + ratio.clamp(-step, step);
        let packed = pack([moved.to_bits(), count.saturating_add(1)]);
        self.packed.store(packed, Relaxed);
        (count >= Self::WARM_UP).then_some(ratio)
    }

    /// The median so far.
    pub fn get(&self) -> Option<f64> {
        let [known, count] = unpack(self.packed.load(Relaxed));
        (count >= Self::WARM_UP).then(|| f64::from(f32::from_bits(known)).exp())
    }
}
