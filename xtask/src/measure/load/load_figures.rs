//! Figures of one policy, worked out from what callers saw.

use serde_json::{Value, json};
use std::time::Duration;

use crate::{
    load_plan::{LARGE_TEAM, RequestKind},
    load_run::{FinishedRequest, RequestEnd, TimeSpread},
};

/// Goodput of one kind of request in a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindGoodput {
    /// Requests planned.
    pub planned: u64,
    /// Answered whole and on time.
    pub good: u64,
    /// Refused with a proof that they did not run.
    pub refused: u64,
    /// Ended in any other way than whole or refused.
    pub failed: u64,
}

impl KindGoodput {
    /// Goodput of the requests that `keeps` holds for.
    pub fn of(requests: &[FinishedRequest], keeps: impl Fn(&FinishedRequest) -> bool) -> Self {
        let mut goodput = Self::default();
        for request in requests.iter().filter(|request| keeps(request)) {
            goodput.planned += 1;
            goodput.good += u64::from(request.is_good());
            goodput.refused += u64::from(request.end == RequestEnd::Refused);
            goodput.failed += u64::from(request.end == RequestEnd::Failed);
        }
        goodput
    }

    fn to_json(self) -> Value {
        json!({
            "planned": self.planned, "good": self.good,
            "refused": self.refused, "failed": self.failed,
        })
    }
}

/// Goodput of a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct PhaseGoodput {
    /// Plain calls.
    pub stock: KindGoodput,
    /// Short generations.
    pub short: KindGoodput,
    /// Long generations.
    pub long: KindGoodput,
    /// Generations of small teams.
    pub small: KindGoodput,
    /// Length of the phase.
    pub length: Duration,
}

impl PhaseGoodput {
    /// Goodput of the requests planned from `from` to `until`.
    pub fn of(requests: &[FinishedRequest], from: Duration, until: Duration) -> Self {
        let in_time =
            |request: &FinishedRequest| request.planned.at >= from && request.planned.at < until;
        let kind = |kind: RequestKind| {
            KindGoodput::of(requests, |one| in_time(one) && one.planned.kind == kind)
        };
        Self {
            stock: kind(RequestKind::Stock),
            short: kind(RequestKind::Short),
            long: kind(RequestKind::Long),
            small: KindGoodput::of(requests, |one| {
                in_time(one)
                    && one.planned.kind != RequestKind::Stock
                    && one.planned.team != LARGE_TEAM
            }),
            length: until - from,
        }
    }

    /// Good generations a second.
    pub fn rate(&self) -> f64 {
        (self.short.good + self.long.good) as f64 / self.length.as_secs_f64()
    }

    /// Good generations of small teams a second.
    pub fn small_rate(&self) -> f64 {
        self.small.good as f64 / self.length.as_secs_f64()
    }

    fn to_json(self) -> Value {
        json!({
            "stock": self.stock.to_json(), "short": self.short.to_json(),
            "long": self.long.to_json(), "small_teams": self.small.to_json(),
            "good_per_second": self.rate(),
        })
    }
}

/// All figures of a policy; times in microseconds.
#[derive(Clone, Debug, Default)]
pub struct PolicyFigures {
    /// 99th percentile of short work without long work.
    pub calm_p99_us: u64,
    /// 99th percentile of short work beside long work.
    pub mixed_p99_us: u64,
    /// 99.9th percentile of short work beside long work.
    pub mixed_p999_us: u64,
    /// Short requests that the percentiles are taken of.
    pub mixed_count: u64,
    /// 99th percentile of short work with slowed servers.
    pub slowed_p99_us: u64,
    /// 99.9th percentile of short work with slowed servers.
    pub slowed_p999_us: u64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_us: u64,
    /// 95th percentile of the time between tokens.
    pub token_gap_p95_us: u64,
    /// 99th percentile of what the system adds to a token.
    pub added_token_p99_us: u64,
    /// Time from engine to caller without the system, median.
    pub direct_token_p50_us: u64,
    /// Processor time of the entries for 1,000 tokens, in milliseconds.
    pub entry_cpu_ms: f64,
    /// Processor time of the agents for 1,000 tokens, in milliseconds.
    pub agent_cpu_ms: f64,
    /// Goodput at capacity.
    pub capacity: PhaseGoodput,
    /// Goodput at three times the capacity, all failure domains up.
    pub crest: PhaseGoodput,
    /// Goodput at three times the capacity after a failure domain is lost.
    pub lost: PhaseGoodput,
    /// Goodput at the crest with only small teams sending.
    pub alone: PhaseGoodput,
}

impl PolicyFigures {
    /// Short work beside long work, against without.
    pub fn hol_ratio(&self) -> f64 {
        ratio(self.mixed_p99_us as f64, self.calm_p99_us as f64)
    }

    /// Short work with slowed servers, against without.
    pub fn slow_ratio(&self) -> f64 {
        ratio(self.slowed_p99_us as f64, self.mixed_p99_us as f64)
    }

    /// Goodput at three times the capacity, against that at capacity.
    pub fn crest_goodput(&self) -> f64 {
        ratio(self.crest.rate(), self.capacity.rate())
    }

    /// Goodput of small teams at the crest, against that without the large one.
    pub fn fair(&self) -> f64 {
        ratio(self.crest.small_rate(), self.alone.small_rate())
    }

    /// One line for people.
    pub fn summary(&self) -> String {
        format!(
            "short p99 {} ms calm, {} ms mixed, {} ms slowed (p99.9 {}); good/s {:.1} at capacity, \
{:.1} at the crest, {:.1} after the loss; small teams {:.1} of {:.1} alone; first token p95 {} ms, \
gap p95 {} us, added p99 {} us (direct p50 {}); cpu ms/1000 tokens entry {:.0} agent {:.0}",
            self.calm_p99_us / 1_000,
            self.mixed_p99_us / 1_000,
            self.slowed_p99_us / 1_000,
            self.slowed_p999_us / 1_000,
            self.capacity.rate(),
            self.crest.rate(),
            self.lost.rate(),
            self.crest.small_rate(),
            self.alone.small_rate(),
            self.first_token_p95_us / 1_000,
            self.token_gap_p95_us,
            self.added_token_p99_us,
            self.direct_token_p50_us,
            self.entry_cpu_ms,
            self.agent_cpu_ms,
        )
    }

    /// All figures as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "calm_p99_us": self.calm_p99_us,
            "mixed_p99_us": self.mixed_p99_us,
            "mixed_p999_us": self.mixed_p999_us,
            "mixed_count": self.mixed_count,
            "slowed_p99_us": self.slowed_p99_us,
            "slowed_p999_us": self.slowed_p999_us,
            "first_token_p95_us": self.first_token_p95_us,
            "token_gap_p95_us": self.token_gap_p95_us,
            "added_token_p99_us": self.added_token_p99_us,
            "direct_token_p50_us": self.direct_token_p50_us,
            "entry_cpu_ms_per_1000_tokens": self.entry_cpu_ms,
            "agent_cpu_ms_per_1000_tokens": self.agent_cpu_ms,
            "hol_ratio": self.hol_ratio(),
            "slow_ratio": self.slow_ratio(),
            "crest_goodput": self.crest_goodput(),
            "fair": self.fair(),
            "capacity": self.capacity.to_json(),
            "crest": self.crest.to_json(),
            "crest_after_loss": self.lost.to_json(),
            "small_teams_alone": self.alone.to_json(),
        })
    }
}

fn ratio(one: f64, other: f64) -> f64 {
    if other > 0.0 { one / other } else { 0.0 }
}

/// Spread of the latencies of short generations that came whole.
pub fn short_spread(requests: &[FinishedRequest]) -> TimeSpread {
    let short = requests
        .iter()
        .filter(|one| one.planned.kind == RequestKind::Short && one.end == RequestEnd::Whole);
    TimeSpread::of(short.map(|one| one.latency))
}

/// Spread of the times to the first token.
pub fn first_token_spread(requests: &[FinishedRequest]) -> TimeSpread {
    TimeSpread::of(
        requests
            .iter()
            .filter_map(|one| one.token_times.first().copied()),
    )
}

/// Spread of the times between tokens.
pub fn token_gap_spread(requests: &[FinishedRequest]) -> TimeSpread {
    let gaps = requests.iter().flat_map(|one| {
        one.token_times
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
    });
    TimeSpread::of(gaps)
}
