//! `cargo xtask measure load`: the policy under load, beside a plain baseline.
//!
//! Two deployments of the same programs run one after the other under the same
//! planned arrivals: one with the policy, one with random routing, one queue
//! and no admission. Each goes through the same phases.

mod load_figures;
mod load_phases;
mod process_time;
mod token_path;

use miette::Result;
use serde_json::json;

use super::{MeasureOptions, MeasureReport};
use load_figures::PolicyFigures;
use load_phases::{PolicyName, run_policy};

/// Most that long work may add to the 99th percentile of short work, as a factor.
const HOL_RATIO_MAX: f64 = 1.5;

/// Most that slowed servers may add to the 99th percentile, as a factor.
const SLOW_RATIO_MAX: f64 = 1.5;

/// Most that the 99th percentile may be of the baseline's, with slowed servers.
const BASELINE_SHARE_MAX: f64 = 1.0 / 3.0;

/// Least goodput at three times the capacity, of that at capacity.
const CREST_GOODPUT_MIN: f64 = 0.9;

/// Least goodput of small teams beside a large one, of that without it.
const FAIR_MIN: f64 = 0.95;

/// Most that the system adds to a token, in microseconds, in the 99th percentile.
const ADDED_TOKEN_MAX_US: u64 = 1_000;

/// Run the measurement.
pub async fn run(options: MeasureOptions) -> Result<MeasureReport> {
    let plain = run_policy(PolicyName::Plain, options.seed).await?;
    println!("baseline: {}", plain.summary());
    let policy = run_policy(PolicyName::Balanced, options.seed).await?;
    println!("policy:   {}", policy.summary());
    let line = format!(
        "load hol_ratio={:.2} slow_ratio={:.2} crest_goodput={:.2} fair={:.2} added_token_p99_us={}",
        policy.hol_ratio(),
        policy.slow_ratio(),
        policy.crest_goodput(),
        policy.fair(),
        policy.added_token_p99_us,
    );
    Ok(MeasureReport {
        figures: json!({ "baseline": plain.to_json(), "policy": policy.to_json() }),
        line,
        missed: missed(&policy, &plain),
    })
}

fn missed(policy: &PolicyFigures, plain: &PolicyFigures) -> Vec<String> {
    let mut missed = Vec::new();
    let mut check = |holds: bool, text: String| {
        if !holds {
            missed.push(text);
        }
    };
    let hol = policy.hol_ratio();
    check(
        hol <= HOL_RATIO_MAX,
        format!("hol_ratio {hol:.2} above {HOL_RATIO_MAX}"),
    );
    let slow = policy.slow_ratio();
    check(
        slow <= SLOW_RATIO_MAX,
        format!("slow_ratio {slow:.2} above {SLOW_RATIO_MAX}"),
    );
    let share = policy.slowed_p99_us as f64 / plain.slowed_p99_us.max(1) as f64;
    check(
        share <= BASELINE_SHARE_MAX,
        format!("p99 with slowed servers is {share:.2} of the baseline's, not a third"),
    );
    let crest = policy.crest_goodput();
    check(
        crest >= CREST_GOODPUT_MIN,
        format!("crest_goodput {crest:.2} below {CREST_GOODPUT_MIN}"),
    );
    let fair = policy.fair();
    check(fair >= FAIR_MIN, format!("fair {fair:.2} below {FAIR_MIN}"));
    let added = policy.added_token_p99_us;
    check(
        added < ADDED_TOKEN_MAX_US,
        format!("added_token_p99_us {added} not below {ADDED_TOKEN_MAX_US}"),
    );
    missed
}
