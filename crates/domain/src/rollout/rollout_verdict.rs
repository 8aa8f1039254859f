//! Comparison of the new version with the old one.
//!
//! Both are compared on each route in the time since the order. Failures are compared
//! with those of the old version in the same failure domain, so a domain that is down
//! accuses nobody. Slowness is compared with the median of the old version.
//!
//! An excess accuses the new version only if chance explains it with a probability of
//! less than 1 in 1,000, by the Chernoff bound for independent answers. The bound holds
//! for any number of answers, so it can be applied after each of them.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;

use super::{
    LatencyCounts, RouteCounts, VersionSide,
    answer_counts::{LATENCY_BUCKETS, bucket_of},
};

/// Negative logarithm of the probability with which chance may explain an excess:
/// 1 in 1,100. The evidence is judged several times for each of a few routes.
const EVIDENCE_NEEDED: f64 = 7.0;
/// Smallest number of bad answers that accuse a version. Two may have one cause.
const BAD_ANSWERS_MIN: u64 = 3;
/// Failure rate that is taken for usual in any case: about the worst tenth of the
/// failure domains that were measured.
const FAILURE_RATE_MIN: f64 = 0.03;
/// Difference between the failure rates of two equally good versions.
const FAILURE_RATE_MARGIN: f64 = 0.02;
/// Answers of the old version in a failure domain from which its failure rate there is
/// known.
const DOMAIN_ANSWERS_MIN: u64 = 5;
/// Buckets above the median of the old version from which an answer is slow: 2 to 4
/// times as slow.
const SLOW_BUCKETS: usize = 3;
/// Difference between the shares of slow answers of two equally good versions. New
/// servers start with empty caches.
const SLOW_SHARE_MARGIN: f64 = 0.15;
/// Durations of the old version from which its median is known.
const LATENCIES_MIN: u64 = 8;
/// Part of the latency target below which an answer is not slow for its caller.
const SLOW_TARGET_PART: u32 = 4;
/// Part of the answers of the new version expected under its share of the traffic that
/// is needed to find it good.
const NEEDED_PART: f64 = 0.3;
/// Largest number of answers on a route that is needed to find a version good. A version
/// that fails 30 % of its answers is found bad after about 20.
const NEEDED_MAX: u64 = 20;
/// Answers of the old version on a route from which at least one of the new version is
/// needed.
const TRAFFIC_MIN: u64 = 20;

/// Why a version was found bad.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BadReason {
    /// More of its answers fail.
    #[display("failures")]
    Failures,
    /// More of its answers, or first events, are slow.
    #[display("slow_answers")]
    SlowAnswers,
    /// The events of its streams follow each other slowly.
    #[display("slow_events")]
    SlowEvents,
}

/// What the evidence says about the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvidenceVerdict {
    /// It is worse than the old one on a route.
    Bad {
        /// Name of the route; none if it shows only over all routes.
        route: Option<Box<str>>,
        /// Why.
        reason: BadReason,
    },
    /// It is as good as the old one on all routes that have traffic.
    Good,
    /// There are too few answers on a route.
    Open {
        /// Route with the fewest answers of those needed.
        route: Option<Box<str>>,
    },
}

/// Answers of the new version on a route, and how many are needed to find it good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteNeed {
    /// Answers of the new version.
    pub answers: u64,
    /// Answers needed.
    pub needed: u64,
}

impl RouteNeed {
    /// Need of a route, given the share of requests that the new version may get.
    pub fn new(counts: &RouteCounts, share: f64) -> Self {
        let old = counts.total(VersionSide::Old).answers;
        let expected = (old as f64 * share * NEEDED_PART) as u64;
        let least = u64::from(old >= TRAFFIC_MIN);
        Self {
            answers: counts.total(VersionSide::New).answers,
            needed: expected.clamp(least, NEEDED_MAX),
        }
    }

    /// Whether there are enough answers.
    pub const fn is_met(self) -> bool {
        self.answers >= self.needed
    }
}

/// Judges the sum of all reports. `target` is the latency target of a route, if known.
pub fn judge(
    routes: &BTreeMap<&str, RouteCounts>,
    share: f64,
    target: impl Fn(&str) -> Option<Duration>,
) -> EvidenceVerdict {
    let mut all = RouteCounts::default();
    for (route, counts) in routes {
        if let Some(reason) = find_fault(counts, target(route)) {
            return EvidenceVerdict::Bad {
                route: Some((*route).into()),
                reason,
            };
        }
        all.add(counts);
    }
    if has_excess_failures(&all) {
        return EvidenceVerdict::Bad {
            route: None,
            reason: BadReason::Failures,
        };
    }
    if all.total(VersionSide::New).answers == 0 {
        return EvidenceVerdict::Open { route: None };
    }
    let open = routes
        .iter()
        .find(|(_, counts)| !RouteNeed::new(counts, share).is_met());
    open.map_or(EvidenceVerdict::Good, |(route, _)| EvidenceVerdict::Open {
        route: Some((*route).into()),
    })
}

fn find_fault(counts: &RouteCounts, target: Option<Duration>) -> Option<BadReason> {
    if has_excess_failures(counts) {
        return Some(BadReason::Failures);
    }
    let floor = target.map_or(0, |target| bucket_of(target / SLOW_TARGET_PART));
    let latencies = (
        counts.latencies(VersionSide::Old),
        counts.latencies(VersionSide::New),
    );
    if is_slower(latencies.0, latencies.1, floor) {
        return Some(BadReason::SlowAnswers);
    }
    let gaps = (counts.gaps(VersionSide::Old), counts.gaps(VersionSide::New));
    is_slower(gaps.0, gaps.1, 0).then_some(BadReason::SlowEvents)
}

/// Compares failures by failure domain.
fn has_excess_failures(counts: &RouteCounts) -> bool {
    let old_total = counts.total(VersionSide::Old);
    let new_total = counts.total(VersionSide::New);
    let overall_rate = rate(old_total.failures, old_total.answers);
    let expected: f64 = counts
        .outcomes
        .values()
        .map(|[old, new]| {
            let old_rate = if old.answers >= DOMAIN_ANSWERS_MIN {
                rate(old.failures, old.answers)
            } else {
                overall_rate
            };
            new.answers as f64 * old_rate
        })
        .sum();
    let usual = expected / new_total.answers.max(1) as f64 + FAILURE_RATE_MARGIN;
    is_excess(
        new_total.failures,
        new_total.answers,
        usual.max(FAILURE_RATE_MIN),
    )
}

/// Compares the shares of durations that are several times the old version's median.
fn is_slower(old: &LatencyCounts, new: &LatencyCounts, floor: usize) -> bool {
    if old.total() < LATENCIES_MIN {
        return false;
    }
    let Some(median) = old.median_bucket() else {
        return false;
    };
    let slow_from = (median + SLOW_BUCKETS).max(floor).min(LATENCY_BUCKETS - 1);
    let usual = rate(old.count_from(slow_from), old.total()) + SLOW_SHARE_MARGIN;
    is_excess(new.count_from(slow_from), new.total(), usual)
}

fn rate(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}

/// Whether `bad` of `total` answers are more than chance explains at the rate `usual`.
fn is_excess(bad: u64, total: u64, usual: f64) -> bool {
    let seen = rate(bad, total);
    if bad < BAD_ANSWERS_MIN || seen <= usual || usual >= 1.0 {
        return false;
    }
    let divergence = if seen >= 1.0 {
        -usual.ln()
    } else {
        seen * (seen / usual).ln() + (1.0 - seen) * ((1.0 - seen) / (1.0 - usual)).ln()
    };
    divergence * total as f64 >= EVIDENCE_NEEDED
}
