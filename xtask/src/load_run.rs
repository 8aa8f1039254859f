//! Sending a planned load, and judging what came of each request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use stand_ins::TextSeed;
use tokio::task::JoinSet;

use crate::{
    CallerClient, ChatEnd,
    deployment::{MODEL, MODEL_VERSION, REPEATABLE_OPERATION, SERVICE},
    load_plan::{PlannedArrival, RequestKind},
};

/// Tokens of a short generation.
pub const SHORT_TOKENS: u32 = 16;

/// Tokens of a long generation; more than short work may have.
pub const LONG_TOKENS: u32 = 300;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer came.
    Whole,
    /// Refused with a proof that it did not run.
    Refused,
    /// Anything else.
    Failed,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// What was planned.
    pub planned: PlannedArrival,
    /// What became of it.
    pub end: RequestEnd,
    /// Time from the planned arrival to the end.
    pub latency: Duration,
    /// Time from the planned arrival to each token.
    pub token_times: Vec<Duration>,
    /// Text that the generation was owed.
    pub seed: Option<TextSeed>,
}

impl FinishedRequest {
    /// Whether the answer came whole and on time.
    pub fn is_good(&self) -> bool {
        self.end == RequestEnd::Whole && self.latency <= deadline(self.planned.kind)
    }
}

/// Time that a caller's answer is worth waiting for.
pub const fn deadline(kind: RequestKind) -> Duration {
    match kind {
        RequestKind::Stock => Duration::from_millis(250),
        RequestKind::Short => Duration::from_millis(600),
        RequestKind::Long => Duration::from_secs(6),
    }
}

/// Send a load to entries in turn and wait for all of it.
pub async fn run_load(
    entries: &[SocketAddr],
    arrivals: &[PlannedArrival],
    started_at: Instant,
) -> Vec<FinishedRequest> {
    let mut tasks = JoinSet::new();
    for (at, planned) in arrivals.iter().enumerate() {
        let entry = entries[at % entries.len()];
        tasks.spawn(send_one(entry, *planned, started_at + planned.at));
    }
    tasks.join_all().await
}

async fn send_one(
    entry: SocketAddr,
    planned: PlannedArrival,
    planned_at: Instant,
) -> FinishedRequest {
    tokio::time::sleep_until(planned_at.into()).await;
    let caller = CallerClient::new(&format!("team-{}", planned.team));
    match planned.kind {
        RequestKind::Stock => send_call(&caller, entry, planned, planned_at).await,
        RequestKind::Short => send_chat(&caller, entry, planned, planned_at, SHORT_TOKENS).await,
        RequestKind::Long => send_chat(&caller, entry, planned, planned_at, LONG_TOKENS).await,
    }
}

async fn send_call(
    caller: &CallerClient,
    entry: SocketAddr,
    planned: PlannedArrival,
    planned_at: Instant,
) -> FinishedRequest {
    let path = format!("/v1/services/{SERVICE}/{REPEATABLE_OPERATION}");
    let end = match caller.call(entry, &path, None, "{}").await {
        Ok(reply) if reply.status.is_success() => RequestEnd::Whole,
        Ok(reply) => end_of_problem(reply.status.as_u16(), &reply.body),
        Err(_) => RequestEnd::Failed,
    };
    FinishedRequest {
        planned,
        end,
        latency: planned_at.elapsed(),
        token_times: Vec::new(),
        seed: None,
    }
}

async fn send_chat(
    caller: &CallerClient,
    entry: SocketAddr,
    planned: PlannedArrival,
    planned_at: Instant,
    count: u32,
) -> FinishedRequest {
    let content = format!("Report {}.", planned.number);
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, &content, count);
    let outcome = caller.chat(entry, &request, None, |_| {}).await;
    let latency = planned_at.elapsed();
    let end = match &outcome.end {
        ChatEnd::Finished if outcome.faults(seed, count) == Default::default() => RequestEnd::Whole,
        ChatEnd::Refused(status, body) => end_of_problem(*status, body.as_bytes()),
        _ => RequestEnd::Failed,
    };
    let token_times = outcome.times.iter().map(|&time| time - planned_at);
    FinishedRequest {
        planned,
        end,
        latency,
        token_times: token_times.collect(),
        seed: Some(seed),
    }
}

/// A refusal is honest only if it says that nothing ran.
fn end_of_problem(status: u16, body: &[u8]) -> RequestEnd {
    let problem: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let is_refusal = matches!(status, 429 | 503) && problem["outcome"] == "not run";
    if is_refusal {
        RequestEnd::Refused
    } else {
        RequestEnd::Failed
    }
}

/// Microseconds of a number of times.
#[derive(Debug)]
pub struct TimeSpread(Histogram<u64>);

impl TimeSpread {
    /// Spread of these times.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::new(3).expect("three digits are supported");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.record(micros).expect("the range grows as needed");
        }
        Self(histogram)
    }

    /// Time that a share of the times stays within, in microseconds.
    pub fn at(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// Number of times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}
