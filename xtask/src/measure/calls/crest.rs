//! What the record costs: throughput, latency, writes; and what is served
//! while the store is down.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use miette::{IntoDiagnostic, Result};
use serde_json::{Value, json};
use stand_ins::{PlatformCounts, PlatformFaults};
use tokio::{task::JoinSet, time::Instant};

use super::{TEAM, booking::CallerAnswer};
use crate::{caller::CallerClient, deployment::Deployment};

/// Callers at the crest, each with one booking at a time.
const CREST_CALLERS: usize = 192;

/// Length of the crest.
const CREST_TIME: Duration = Duration::from_secs(4);

/// Length of each steady load.
const STEADY_TIME: Duration = Duration::from_secs(2);

/// Time between two calls of the steady loads: 50, 200 and 800 a second.
const STEADY_GAPS: [Duration; 3] = [
    Duration::from_micros(20_000),
    Duration::from_micros(5_000),
    Duration::from_micros(1_250),
];

/// Length of the store's outage.
const OUTAGE_TIME: Duration = Duration::from_secs(2);

/// Longest time that is told apart, in microseconds.
const TIME_MAX_US: u64 = 60_000_000;

/// Path of an operation that may not be repeated.
const ORDER: &str = "/v1/services/ledger/order";

/// Path of an operation that may be repeated.
const STOCK: &str = "/v1/services/ledger/stock";

/// One answer and how long it took.
type TimedAnswer = (CallerAnswer, Duration);

/// Load the system with bookings, steadily and at the crest.
pub async fn measure(deployment: &Deployment) -> Result<Value> {
    let mut steady = Vec::new();
    for (at, gap) in STEADY_GAPS.into_iter().enumerate() {
        let prefix = format!("steady-{at}");
        let before = writes(deployment).await?;
        let bookings = offer(deployment, ORDER, Some(&prefix), gap, STEADY_TIME).await?;
        let written = writes(deployment).await? - before;
        let plain = offer(deployment, STOCK, None, gap, STEADY_TIME).await?;
        let times = histogram(&bookings, CallerAnswer::Ran);
        let plain_times = histogram(&plain, CallerAnswer::Ran);
        steady.push(json!({
            "offered_per_s": 1.0 / gap.as_secs_f64(),
            "ran": times.len(), "offered": bookings.len(), "writes": written,
            "p50_ms": millis(&times, 0.5), "p99_ms": millis(&times, 0.99),
            "plain_p50_ms": millis(&plain_times, 0.5), "plain_p99_ms": millis(&plain_times, 0.99),
            "added_p50_ms": millis(&times, 0.5) - millis(&plain_times, 0.5),
        }));
    }
    let before = writes(deployment).await?;
    let times = crowd(deployment, true).await?;
    let written = writes(deployment).await? - before;
    let plain = crowd(deployment, false).await?;
    let added = steady
        .iter()
        .filter_map(|load| load["added_p50_ms"].as_f64())
        .fold(f64::MIN, f64::max);
    Ok(json!({
        "bookings_per_s": times.len() as f64 / CREST_TIME.as_secs_f64(),
        "writes_per_s": written as f64 / CREST_TIME.as_secs_f64(),
        "per_write": times.len() as f64 / written.max(1) as f64,
        "p50_ms": millis(&times, 0.5), "p99_ms": millis(&times, 0.99),
        "plain_per_s": plain.len() as f64 / CREST_TIME.as_secs_f64(),
        "plain_p50_ms": millis(&plain, 0.5), "plain_p99_ms": millis(&plain, 0.99),
        "added_p50_ms": added, "steady": steady,
    }))
}

/// Take the store away and see what is still served.
pub async fn measure_outage(deployment: &Deployment) -> Result<Value> {
    let platform = deployment.fleet.platform();
    let down = PlatformFaults::down();
    deployment.fleet.control(platform, &down).await?;
    let gap = Duration::from_millis(10);
    let bookings = offer(deployment, ORDER, Some("outage"), gap, OUTAGE_TIME).await?;
    let stock = offer(deployment, STOCK, None, gap, OUTAGE_TIME).await?;
    let calm = PlatformFaults::default();
    deployment.fleet.control(platform, &calm).await?;
    let served = |answers: &[TimedAnswer]| {
        histogram(answers, CallerAnswer::Ran).len() as f64 / answers.len().max(1) as f64
    };
    let mut refused = histogram(&bookings, CallerAnswer::NotRun);
    let refused_not_run = refused.len();
    let open = histogram(&bookings, CallerAnswer::Open);
    refused.add(&open).into_diagnostic()?;
    Ok(json!({
        "bookings_offered": bookings.len(),
        "bookings_served": served(&bookings), "stock_served": served(&stock),
        "refused_not_run": refused_not_run, "refused_unknown": open.len(),
        "refusal_p50_ms": millis(&refused, 0.5), "refusal_p99_ms": millis(&refused, 0.99),
    }))
}

/// Offer calls at a steady rate, whether or not they are answered.
async fn offer(
    deployment: &Deployment,
    path: &'static str,
    prefix: Option<&str>,
    gap: Duration,
    length: Duration,
) -> Result<Vec<TimedAnswer>> {
    let entries = [deployment.entry(0), deployment.entry(1)];
    let client = CallerClient::new(TEAM);
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(gap);
    let end = Instant::now() + length;
    let mut at = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let key = prefix.map(|prefix| format!("{prefix}-{at}"));
        let client = client.clone();
        calls
            .spawn(async move { timed_call(&client, entries[at % 2], path, key.as_deref()).await });
        at += 1;
    }
    Ok(calls.join_all().await)
}

/// As many calls as a fixed crowd of callers gets answered.
async fn crowd(deployment: &Deployment, is_booking: bool) -> Result<Histogram<u64>> {
    let entries = [deployment.entry(0), deployment.entry(1)];
    let client = CallerClient::new(TEAM);
    let next = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + CREST_TIME;
    let mut callers = JoinSet::new();
    for _ in 0..CREST_CALLERS {
        let (client, next) = (client.clone(), Arc::clone(&next));
        callers.spawn(async move {
            let mut answers = Vec::new();
            while Instant::now() < end {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let key = is_booking.then(|| format!("crest-{at}"));
                let path = if is_booking { ORDER } else { STOCK };
                answers.push(timed_call(&client, entries[at % 2], path, key.as_deref()).await);
            }
            answers
        });
    }
    let answers = callers.join_all().await.concat();
    Ok(histogram(&answers, CallerAnswer::Ran))
}

async fn timed_call(
    client: &CallerClient,
    entry: std::net::SocketAddr,
    path: &str,
    key: Option<&str>,
) -> TimedAnswer {
    let begun = Instant::now();
    let answer = match client.call(entry, path, key, "{}").await {
        Ok(reply) => CallerAnswer::of(&reply),
        Err(_) => CallerAnswer::Silent,
    };
    (answer, begun.elapsed())
}

async fn writes(deployment: &Deployment) -> Result<u64> {
    let platform = deployment.fleet.platform();
    let counts: PlatformCounts = deployment.fleet.read(platform, "/control").await?;
    Ok(counts.transactions + counts.conflicts)
}

/// Times of the answers of one kind, in microseconds.
fn histogram(answers: &[TimedAnswer], kind: CallerAnswer) -> Histogram<u64> {
    let mut times = Histogram::new_with_bounds(1, TIME_MAX_US, 3).expect("the bounds are valid");
    for (answer, time) in answers {
        if *answer == kind {
            times.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
    }
    times
}

fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}
