//! `measure resume`: long generations while everything that carries them fails.
//!
//! Callers keep real processes busy through a fault proxy while faults come one
//! after the other in an order drawn from the seed. All that is judged is what
//! the callers received and what the engines counted. A second phase runs
//! callers without resumption under the same kinds of faults.
//!
//! Tokens come thirteen times as fast as in use, and so does prefill;
//! heartbeats, detection and pauses are at their true scale.

mod baseline;
mod fault;
mod tally;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use miette::{IntoDiagnostic, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::{sync::watch, task::JoinSet};

use self::{
    baseline::{BaselineCaller, BaselineTally},
    fault::FaultDriver,
    tally::{EngineWork, Passage, PassageVerdict, tally_faults, wait_figures, wait_histogram},
};
use super::{MeasureOptions, MeasureReport};
use crate::{
    CallerClient, DeploymentPlan, EnginePlan,
    deployment::{MODEL, MODEL_VERSION},
};

const SITES: usize = 8;

const ENTRIES: usize = 3;

const CALLERS: usize = 40;

const ROUNDS: u32 = 3;

const BASELINE_ROUNDS: u32 = 1;

const SLOTS: u32 = 16;

const TOKEN_GAP_US: u32 = 3_000;

const PREFILL_US_PER_TOKEN: u32 = 15;

const TOKENS_MIN: u32 = 200;

const TOKENS_MAX: u32 = 4_000;

const PROMPT_WORDS: usize = 200;

const GENERATIONS_MIN: usize = 200;

const P95_MAX_MS: u64 = 700;

const RESUME_MAX_MS: u64 = 2_000;

const EXTRA_MAX: f64 = 0.05;

/// Generations whose log lines are shown.
const SLOWEST_SHOWN: usize = 4;

/// Share of the baseline's extra work that resumption may cost.
const BASELINE_SHARE_MAX: f64 = 0.25;

/// Run the measurement.
pub async fn measure(options: MeasureOptions) -> Result<MeasureReport> {
    let engine = EnginePlan {
        slots: SLOTS,
        token_gap_us: TOKEN_GAP_US,
        prefill_us_per_token: PREFILL_US_PER_TOKEN,
        checks_fencing: false,
        ..EnginePlan::default()
    };
    let plan = DeploymentPlan::default()
        .engines(SITES)
        .entries(ENTRIES)
        .engine(engine.clone())
        .proxied();
    let deployment = plan.start().await?;
    let rng = SmallRng::seed_from_u64(options.seed);
    let mut driver = FaultDriver::new(deployment, plan, engine, rng);

    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(options.seed, &driver.entries(), &stop);
    let events = driver.run(ROUNDS).await?;
    stop.store(true, Ordering::Relaxed);
    let passages: Vec<Passage> = callers.join_all().await.into_iter().flatten().collect();
    let done = EngineWork::done(&driver.counts().await?);

    print_slowest(&passages, &driver);

    let baseline = run_baseline(options.seed, &mut driver).await?;
    Ok(report(&passages, &events, done, &baseline))
}

/// Print what the processes logged of the generations that waited longest.
fn print_slowest(passages: &[Passage], driver: &FaultDriver) {
    let mut slowest: Vec<&Passage> = passages.iter().collect();
    slowest.sort_by_key(|one| std::cmp::Reverse(one.longest_wait()));
    for passage in slowest.iter().take(SLOWEST_SHOWN) {
        let wait = passage.longest_wait();
        let id = passage.received.outcome.last_event_id.as_deref();
        let generation = id.and_then(|id| id.split('.').next()).unwrap_or("none");
        println!("longest wait {} ms in {generation}:", wait.as_millis());
        for line in driver.deployment.fleet.log_lines(generation) {
            println!("  {line}");
        }
    }
}

fn start_callers(
    seed: u64,
    entries: &watch::Receiver<Vec<SocketAddr>>,
    stop: &Arc<AtomicBool>,
) -> JoinSet<Vec<Passage>> {
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let entries = entries.clone();
        let stop = Arc::clone(stop);
        callers.spawn(async move {
            let client = CallerClient::new("kivu-shores");
            let mut rng = SmallRng::seed_from_u64(seed << 16 | caller as u64);
            let mut passages = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let name = format!("{seed}-{caller}-{}", passages.len());
                let count = rng.random_range(TOKENS_MIN..=TOKENS_MAX);
                let (request, text) =
                    CallerClient::request(MODEL, MODEL_VERSION, &prompt(&name), count);
                let received = client
                    .chat_through(&entries, rng.random_range(0..ENTRIES), &request, |_| {})
                    .await;
                passages.push(Passage {
                    received,
                    seed: text,
                    count,
                    prompt_tokens: request.prompt().split_whitespace().count() as u64,
                });
            }
            passages
        });
    }
    callers
}

/// A prompt that shares no prefix with any other.
fn prompt(name: &str) -> String {
    let words = (0..PROMPT_WORDS).map(|word| format!("{name}/{word}"));
    words.collect::<Vec<_>>().join(" ")
}

async fn run_baseline(seed: u64, driver: &mut FaultDriver) -> Result<BaselineTally> {
    let sites = &driver.deployment.sites;
    let agents: Arc<[SocketAddr]> = sites.iter().map(|site| site.vm.stream).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let agents = Arc::clone(&agents);
        let stop = Arc::clone(&stop);
        callers.spawn(async move {
            let mut reader = BaselineCaller::new(&agents, seed << 16 | caller as u64);
            let mut tally = BaselineTally::default();
            while !stop.load(Ordering::Relaxed) {
                let name = format!("baseline-{seed}-{caller}-{}", tally.whole);
                let count = reader.rng.random_range(TOKENS_MIN..=TOKENS_MAX);
                let (request, _) =
                    CallerClient::request(MODEL, MODEL_VERSION, &prompt(&name), count);
                reader.generate(&request, &stop, &mut tally).await;
            }
            tally
        });
    }
    driver.run(BASELINE_ROUNDS).await?;
    stop.store(true, Ordering::Relaxed);
    let mut all = BaselineTally::default();
    while let Some(tally) = callers.join_next().await {
        all.merge(tally.into_diagnostic()?);
    }
    Ok(all)
}

fn report(
    passages: &[Passage],
    events: &[fault::FaultEvent],
    done: EngineWork,
    baseline: &BaselineTally,
) -> MeasureReport {
    let (faults, waits) = tally_faults(passages, events);
    let verdicts = |verdict| {
        let same = passages.iter().filter(|one| one.verdict() == verdict);
        same.count()
    };
    let wrong = verdicts(PassageVerdict::Wrong);
    let stated = verdicts(PassageVerdict::Stated);
    for passage in passages {
        if passage.verdict() != PassageVerdict::Whole {
            println!(
                "{:?}: {} of {} tokens over {} connections, {:?}",
                passage.verdict(),
                passage.received.arrivals.len(),
                passage.count,
                passage.received.connections,
                passage.received.outcome.end,
            );
        }
    }
    let longest = passages.iter().map(Passage::longest_wait).max();
    let longest_ms = longest.unwrap_or_default().as_millis() as u64;

    let useful = EngineWork::useful(passages);
    let beyond = done.beyond(useful);
    let weight = f64::from(PREFILL_US_PER_TOKEN) * f64::from(SLOTS) / f64::from(TOKEN_GAP_US);
    let extra = beyond.weighed(weight) / useful.weighed(weight);
    let extra_tokens = beyond.tokens() as f64 / useful.tokens() as f64;
    let baseline_beyond = EngineWork {
        prefill: u64::from(baseline.restarts) * PROMPT_WORDS as u64,
        decode: baseline.dropped,
    };
    let baseline_useful = EngineWork {
        prefill: u64::from(baseline.whole) * PROMPT_WORDS as u64,
        decode: baseline.useful,
    };
    let baseline_extra = baseline_beyond.weighed(weight) / baseline_useful.weighed(weight);
    let mut regained = wait_histogram();
    for wait in &baseline.regained {
        regained.saturating_record(wait.as_millis() as u64);
    }

    let p95 = waits.value_at_quantile(0.95);
    let max = waits.max().max(longest_ms);
    let mut missed = Vec::new();
    let mut owe = |holds: bool, target: &str| {
        if !holds {
            missed.push(target.to_owned());
        }
    };
    owe(
        passages.len() >= GENERATIONS_MIN,
        "at least 200 generations",
    );
    owe(wrong == 0, "no wrong answer");
    owe(max < RESUME_MAX_MS, "every resume under 2 s");
    owe(p95 < P95_MAX_MS, "95 of 100 resumes under 700 ms");
    owe(extra < EXTRA_MAX, "extra engine work under 5 %");
    owe(
        extra < baseline_extra * BASELINE_SHARE_MAX,
        "extra engine work under a quarter of the baseline's",
    );
    let figures = json!({
        "generations": passages.len(), "whole": passages.len() - wrong - stated,
        "stated_incomplete": stated, "wrong": wrong,
        "token_gap_us": TOKEN_GAP_US, "prefill_us_per_token": PREFILL_US_PER_TOKEN,
        "prefill_weight": weight,
        "useful": { "prefill": useful.prefill, "decode": useful.decode },
        "extra": { "prefill": beyond.prefill, "decode": beyond.decode },
        "extra_tokens_share": extra_tokens, "extra_work_share": extra,
        "resumes": wait_figures(&waits), "longest_wait_ms": longest_ms, "faults": faults,
        "baseline": {
            "whole": baseline.whole, "restarts": baseline.restarts,
            "useful": baseline.useful, "dropped": baseline.dropped,
            "extra_work_share": baseline_extra, "output_goes_on": wait_figures(&regained),
        },
    });
    let line = format!(
        "resume wrong={wrong} p95_ms={p95} max_ms={max} extra={:.2}% baseline_extra={:.2}% \
         extra_tokens={:.2}% incomplete={stated} generations={}",
        extra * 100.0,
        baseline_extra * 100.0,
        extra_tokens * 100.0,
        passages.len(),
    );
    MeasureReport {
        figures,
        line,
        missed,
    }
}
