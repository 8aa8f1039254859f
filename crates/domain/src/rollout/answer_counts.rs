//! Counts of the answers of the old and of the new version on one route.
//!
//! Other entries report counts too, so sums saturate: an odd report must not end the task
//! that adds it up.

use std::{collections::BTreeMap, time::Duration};

use crate::FailureDomain;

/// Number of latency buckets. Each is wider than the one before by the square root of
/// 2, and the last one begins at 23 s.
pub const LATENCY_BUCKETS: usize = 30;

/// Which of the two versions answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSide {
    /// A version that ran before the order.
    Old,
    /// The version that the order names.
    New,
}

impl VersionSide {
    const fn index(self) -> usize {
        match self {
            Self::Old => 0,
            Self::New => 1,
        }
    }
}

/// What an entry saw of one answer. Each part is counted once, when it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerSample {
    /// The answer ended, as a failure or not.
    Ended {
        /// Whether it was an error, was cut off or did not come.
        is_failure: bool,
    },
    /// Time to the complete answer, or to the first event of a stream.
    Latency(Duration),
    /// Mean time between the events of a stream.
    Gap(Duration),
}

/// Answers and failures of one version in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainOutcomes {
    /// Answers that ended.
    pub answers: u64,
    /// Those of them that failed.
    pub failures: u64,
}

/// Number of durations in each bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyCounts([u64; LATENCY_BUCKETS]);

/// Counts of one route, for both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Answers by failure domain of the server.
    pub outcomes: BTreeMap<FailureDomain, [DomainOutcomes; 2]>,
    /// Times to the answer or to the first event.
    pub latencies: [LatencyCounts; 2],
    /// Mean times between events.
    pub gaps: [LatencyCounts; 2],
}

impl LatencyCounts {
    /// Creates counts from the numbers of the first buckets; further ones are ignored.
    pub fn from_buckets(buckets: impl Iterator<Item = u64>) -> Self {
        let mut counts = Self::default();
        counts
            .0
            .iter_mut()
            .zip(buckets)
            .for_each(|(count, number)| {
                *count = number;
            });
        counts
    }

    /// Numbers of all buckets.
    pub fn buckets(&self) -> &[u64; LATENCY_BUCKETS] {
        &self.0
    }

    /// Counts a duration.
    pub fn record(&mut self, time: Duration) {
        let count = &mut self.0[bucket_of(time)];
        *count = count.saturating_add(1);
    }

    /// Number of durations.
    pub fn total(&self) -> u64 {
        self.count_from(0)
    }

    /// Bucket that holds the median; `None` without durations.
    pub fn median_bucket(&self) -> Option<usize> {
        let total = self.total();
        let mut seen = 0_u64;
        self.0.iter().position(|count| {
            seen = seen.saturating_add(*count);
            seen > 0 && seen.saturating_mul(2) >= total
        })
    }

    /// Number of durations in `bucket` and the ones above it.
    pub fn count_from(&self, bucket: usize) -> u64 {
        let counts = self.0.iter().skip(bucket);
        counts.fold(0, |total, count| total.saturating_add(*count))
    }

    fn add(&mut self, other: &Self) {
        for (count, added) in self.0.iter_mut().zip(&other.0) {
            *count = count.saturating_add(*added);
        }
    }
}

/// Bucket of a duration.
pub(super) fn bucket_of(time: Duration) -> usize {
    let millis = time.as_secs_f64() * 1_000.0;
    let bucket = (millis.max(1.0).log2() * 2.0).floor();
    (bucket as usize).min(LATENCY_BUCKETS - 1)
}

impl RouteCounts {
    /// Counts a sample of a server in `domain`. At most `domains_max` failure domains
    /// are told apart; samples of further ones are dropped.
    pub fn record(
        &mut self,
        side: VersionSide,
        domain: &FailureDomain,
        sample: AnswerSample,
        domains_max: usize,
    ) {
        let index = side.index();
        match sample {
            AnswerSample::Latency(time) => self.latencies[index].record(time),
            AnswerSample::Gap(time) => self.gaps[index].record(time),
            AnswerSample::Ended { is_failure } => {
                if self.outcomes.len() >= domains_max && !self.outcomes.contains_key(domain) {
                    return;
                }
                let outcomes = self.outcomes.entry(domain.clone()).or_default();
                let counted = &mut outcomes[index];
                counted.answers = counted.answers.saturating_add(1);
                counted.failures = counted.failures.saturating_add(is_failure.into());
            }
        }
    }

    /// Adds the counts of another entry.
    pub fn add(&mut self, other: &Self) {
        for (domain, added) in &other.outcomes {
            let sides = self.outcomes.entry(domain.clone()).or_default();
            for (outcomes, added) in sides.iter_mut().zip(added) {
                outcomes.answers = outcomes.answers.saturating_add(added.answers);
                outcomes.failures = outcomes.failures.saturating_add(added.failures);
            }
        }
        for index in [0, 1] {
            self.latencies[index].add(&other.latencies[index]);
            self.gaps[index].add(&other.gaps[index]);
        }
    }

    /// Answers and failures of one version in all failure domains.
    pub fn total(&self, side: VersionSide) -> DomainOutcomes {
        let mut total = DomainOutcomes::default();
        for sides in self.outcomes.values() {
            let outcomes = sides[side.index()];
            total.answers = total.answers.saturating_add(outcomes.answers);
            total.failures = total.failures.saturating_add(outcomes.failures);
        }
        total
    }

    /// Times to the answer of one version.
    pub fn latencies(&self, side: VersionSide) -> &LatencyCounts {
        &self.latencies[side.index()]
    }

    /// Times between events of one version.
    pub fn gaps(&self, side: VersionSide) -> &LatencyCounts {
        &self.gaps[side.index()]
    }
}
