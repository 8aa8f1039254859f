//! The phases that each policy goes through.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use miette::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use stand_ins::EngineFaults;
use wire::vm::KindMessage;

use super::{
    load_figures::{
        PhaseGoodput, PolicyFigures, first_token_spread, short_spread, token_gap_spread,
    },
    process_time::process_time,
    token_path::token_path,
};
use crate::{
    Deployment, DeploymentPlan, EnginePlan,
    load_plan::{LARGE_TEAM, LoadMix, LoadPlan, PlannedArrival, RequestKind},
    load_run::{FinishedRequest, LONG_TOKENS, SHORT_TOKENS, run_load},
};

const ENGINES: usize = 8;
const SERVICES: usize = 2;
const ENTRIES: usize = 2;
const SLOTS: u32 = 4;
const TOKEN_GAP_US: u32 = 10_000;

/// Delay of the engines' own load reports.
const LOAD_LAG_MS: u32 = 2_000;

const MIX: LoadMix = LoadMix {
    long_share: 0.06,
    stock_share: 0.3,
    large_share: 0.5,
    small_teams: 40,
};

/// Load of the phases that compare latencies, of the capacity.
const STEADY_LOAD: f64 = 0.6;

/// Load at the crest, of the capacity.
const CREST_LOAD: f64 = 3.0;

const STEADY_TIME: Duration = Duration::from_secs(8);
const RAMP_TIME: Duration = Duration::from_secs(2);
const CREST_TIME: Duration = Duration::from_secs(6);
const LOSS_TIME: Duration = Duration::from_secs(4);

/// Length of one slow moment of a server.
const SLOW_TIME: Duration = Duration::from_millis(1_500);

/// Pause between two slow moments.
const SLOW_PAUSE: Duration = Duration::from_millis(300);

/// Engines that are slowed at once: a fifth.
const SLOW_ENGINES: usize = ENGINES.div_ceil(5);

/// Failure domain that is lost at the crest, as a place among the sites.
const LOST_DOMAIN: usize = 3;

/// A policy of entries and agents.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PolicyName {
    /// Random routing, one queue, no admission.
    #[display("plain")]
    Plain,
    /// The product's own.
    #[display("balanced")]
    Balanced,
}

/// Generations a second that all slots together carry.
fn capacity() -> f64 {
    let tokens =
        f64::from(SHORT_TOKENS) * (1.0 - MIX.long_share) + f64::from(LONG_TOKENS) * MIX.long_share;
    let seconds = tokens * f64::from(TOKEN_GAP_US) / 1e6;
    ENGINES as f64 * f64::from(SLOTS) / seconds
}

/// Start a deployment and take it through all phases.
pub async fn run_policy(policy: PolicyName, seed: u64) -> Result<PolicyFigures> {
    let mut deployment = DeploymentPlan::default()
        .engines(ENGINES)
        .services(SERVICES)
        .entries(ENTRIES)
        .engine(EnginePlan {
            slots: SLOTS,
            token_gap_us: TOKEN_GAP_US,
            load_lag_ms: LOAD_LAG_MS,
            ..EnginePlan::default()
        })
        .entry_extra(json!({ "policy": policy.to_string() }))
        .agent_extra(json!({ "policy": policy.to_string() }))
        .start()
        .await?;
    let mut figures = PolicyFigures::default();
    steady_phases(&deployment, seed, &mut figures).await?;
    goodput_phases(&mut deployment, seed, &mut figures).await?;
    Ok(figures)
}

async fn steady_phases(
    deployment: &Deployment,
    seed: u64,
    figures: &mut PolicyFigures,
) -> Result<()> {
    let steady = || LoadPlan::new(MIX, seed).step(capacity() * STEADY_LOAD, STEADY_TIME);
    let without_long = steady().arrivals(|one| one.kind != RequestKind::Long);
    let calm = send(deployment, &without_long).await.0;
    figures.calm_p99_us = short_spread(&calm).at(0.99);

    let all = steady().arrivals(|_| true);
    let used = || {
        let entries = process_time(deployment.entries.iter());
        let agents = process_time(deployment.sites.iter().map(|site| &site.agent.process));
        (entries, agents)
    };
    let before = used();
    let (mixed, started_at) = send(deployment, &all).await;
    let after = used();
    let tokens: usize = mixed.iter().map(|one| one.token_times.len()).sum();
    let per_thousand =
        |time: Duration| time.as_secs_f64() * 1_000.0 / (tokens.max(1) as f64 / 1_000.0);
    figures.entry_cpu_ms = per_thousand(after.0 - before.0);
    figures.agent_cpu_ms = per_thousand(after.1 - before.1);
    let spread = short_spread(&mixed);
    figures.mixed_p99_us = spread.at(0.99);
    figures.mixed_p999_us = spread.at(0.999);
    figures.mixed_count = spread.count();
    figures.first_token_p95_us = first_token_spread(&mixed).at(0.95);
    figures.token_gap_p95_us = token_gap_spread(&mixed).at(0.95);
    let path = token_path(deployment, &mixed, started_at).await?;
    figures.direct_token_p50_us = path.direct.at(0.5);
    figures.added_token_p99_us = path.through.at(0.99).saturating_sub(path.direct.at(0.5));

    let (slowed, _) = tokio::select! {
        slowed = send(deployment, &all) => slowed,
        failed = slow_engines(deployment, seed) => return failed,
    };
    for site in engines(deployment) {
        set_slow(deployment, site, 0).await?;
    }
    let spread = short_spread(&slowed);
    figures.slowed_p99_us = spread.at(0.99);
    figures.slowed_p999_us = spread.at(0.999);
    Ok(())
}

async fn goodput_phases(
    deployment: &mut Deployment,
    seed: u64,
    figures: &mut PolicyFigures,
) -> Result<()> {
    let rate = capacity();
    let crest_from = RAMP_TIME;
    let crest_until = RAMP_TIME + CREST_TIME;
    let swing = |crest: f64| {
        LoadPlan::new(MIX, seed)
            .step(rate * 0.5, RAMP_TIME)
            .step(rate * crest, CREST_TIME)
    };
    let level = swing(1.0).arrivals(|_| true);
    let level = send(deployment, &level).await.0;
    figures.capacity = PhaseGoodput::of(&level, crest_from, crest_until);

    let alone = swing(CREST_LOAD).arrivals(|one| one.team != LARGE_TEAM);
    let alone = send(deployment, &alone).await.0;
    figures.alone = PhaseGoodput::of(&alone, crest_from, crest_until);

    let crest = swing(CREST_LOAD)
        .step(rate * CREST_LOAD, LOSS_TIME)
        .step(rate * 0.5, RAMP_TIME)
        .arrivals(|_| true);
    let started_at = Instant::now();
    let entries = addresses(deployment);
    let (crest, ()) = tokio::join!(
        run_load(&entries, &crest, started_at),
        lose_domain(deployment, started_at + crest_until)
    );
    figures.crest = PhaseGoodput::of(&crest, crest_from, crest_until);
    figures.lost = PhaseGoodput::of(&crest, crest_until, crest_until + LOSS_TIME);
    Ok(())
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let entries = deployment.entries.iter();
    entries.map(|entry| entry.address).collect()
}

async fn send(
    deployment: &Deployment,
    arrivals: &[PlannedArrival],
) -> (Vec<FinishedRequest>, Instant) {
    let started_at = Instant::now();
    let finished = run_load(&addresses(deployment), arrivals, started_at).await;
    (finished, started_at)
}

/// Slow a fifth of the engines for moments, others each time, until dropped.
async fn slow_engines<T>(deployment: &Deployment, seed: u64) -> Result<T> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let engines = engines(deployment);
    let mut first = 0;
    loop {
        let chosen: Vec<usize> = (0..SLOW_ENGINES)
            .map(|at| engines[(first + at) % engines.len()])
            .collect();
        first += SLOW_ENGINES;
        for &site in &chosen {
            set_slow(deployment, site, rng.random_range(3_000..=10_000)).await?;
        }
        tokio::time::sleep(SLOW_TIME).await;
        for &site in &chosen {
            set_slow(deployment, site, 0).await?;
        }
        tokio::time::sleep(SLOW_PAUSE).await;
    }
}

fn engines(deployment: &Deployment) -> Vec<usize> {
    (0..deployment.sites.len())
        .filter(|&at| deployment.sites[at].vm.kind == KindMessage::Engine)
        .collect()
}

async fn set_slow(deployment: &Deployment, site: usize, slow_milli: u64) -> Result<()> {
    let faults = EngineFaults {
        slow_milli,
        ..EngineFaults::default()
    };
    let engine = deployment.sites[site].server.address;
    deployment.fleet.control(engine, &faults).await
}

/// Kill all engines and agents of a failure domain at once.
async fn lose_domain(deployment: &mut Deployment, at: Instant) {
    tokio::time::sleep_until(at.into()).await;
    let lost = Deployment::domain(LOST_DOMAIN);
    for site in &mut deployment.sites {
        if site.vm.domain == lost {
            site.server.kill();
            site.agent.process.kill();
        }
    }
}
