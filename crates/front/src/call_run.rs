//! Plain requests: one answer, held whole before the caller gets it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    kv_placement::{PlacementQuery, pick_server},
    run_evidence::{NextStep, SendBudget, SendOutcome, next_step},
    server_registry::{RegisteredServer, WorkSize},
};
use telemetry::ROUTINE_TARGET;
use tokio::time::Instant;

use crate::{
    front_state::FrontState,
    reply::{CallerReply, ReplyReason, buffered_reply, problem_reply, refusal_reply},
    return_watch::watch_return,
    routed_request::RoutedRequest,
    server_exchange::{WholeAnswer, send},
};

/// Silence after which an idempotent request is tried elsewhere, as a multiple
/// of the route's latency target: beyond it the answer is late anyway.
const SILENT_TARGETS: u32 = 2;
/// The same where the route states no target.
const SILENT_DEFAULT: Duration = Duration::from_millis(500);

/// Carry a plain request to its end.
pub(crate) async fn run_call(state: &Arc<FrontState>, task: &RoutedRequest) -> CallerReply {
    let share = state.retry_share(&task.service);
    share.record_request(Instant::now());
    let mut budget = SendBudget::new(task.route.attempts, task.route.kind);
    let mut tried = Vec::new();
    let mut held: Option<WholeAnswer> = None;
    loop {
        let now = Instant::now();
        if task.left(now).is_zero() {
            return end_with(state, task, held, ReplyReason::Timeout);
        }
        let Some(server) = pick(state, task, &budget, &tried, now) else {
            return end_with(state, task, held, no_server(task, &budget));
        };
        let sent = send_once(state, &server, task, &budget).await;
        let end = match &sent {
            Ok(answer) => SendOutcome::Answered {
                server_error: answer.server_error,
            },
            Err(end) => *end,
        };
        let outcome = send_name(end);
        state.metrics.sends.with_label_values(&[outcome]).inc();
        budget.record(end);
        tried.push(server.record().address);
        if is_loss(end) || server.is_superseded() {
            watch_return(state, &server);
        }
        held = sent.ok().or(held);
        let step = next_step(task.route.kind, end, &budget);
        let again = step == NextStep::Retry && (!end.reached_server() || state.spend_retry(&share));
        log::info!(
            target: ROUTINE_TARGET,
            request = task.id.as_str(),
            route = task.route.name.as_ref(),
            server = server.record().instance.as_str(),
            outcome = outcome,
            again = again,
            runs = budget.runs,
            rejected = budget.rejected,
            age_ms = task.received.elapsed().as_millis() as u64;
            "call sent"
        );
        if again {
            continue;
        }
        let reason = match step {
            NextStep::Refuse => no_server(task, &budget),
            NextStep::Retry if budget.runs == 0 => ReplyReason::NoBudget,
            _ if task.left(Instant::now()).is_zero() => ReplyReason::Timeout,
            _ => ReplyReason::OutcomeUnknown,
        };
        return end_with(state, task, held, reason);
    }
}

/// The last answer of a server, a failure at the least, goes before the entry's
/// own word.
fn end_with(
    state: &FrontState,
    task: &RoutedRequest,
    held: Option<WholeAnswer>,
    reason: ReplyReason,
) -> CallerReply {
    let Some(answer) = held else {
        return own(state, task, reason);
    };
    let spent = task.received.elapsed();
    state.metrics.call_seconds.observe(spent.as_secs_f64());
    state
        .metrics
        .requests
        .with_label_values(&["answered"])
        .inc();
    buffered_reply(answer.parts, answer.body)
}

/// Metric label of a send's end.
pub(crate) fn send_name(end: SendOutcome) -> &'static str {
    match end {
        SendOutcome::NotConnected => "not_connected",
        SendOutcome::HandedBack => "handed_back",
        SendOutcome::Rejected => "rejected",
        SendOutcome::Answered { server_error: true } => "server_error",
        SendOutcome::Answered { .. } => "answered",
        SendOutcome::Broken => "broken",
        SendOutcome::Silent => "silent",
    }
}

/// Whether a server that ends a send like this may have ended itself.
fn is_loss(end: SendOutcome) -> bool {
    matches!(
        end,
        SendOutcome::NotConnected | SendOutcome::Broken | SendOutcome::Silent
    )
}

fn pick(
    state: &FrontState,
    task: &RoutedRequest,
    budget: &SendBudget,
    tried: &[SocketAddr],
    now: Instant,
) -> Option<Arc<RegisteredServer>> {
    let registry = state.registry.load();
    let settings = state.settings.load();
    let query = PlacementQuery {
        tokens: None,
        kv_capacity: 0,
        cached: None,
        own_domain: &settings.domain,
        tried,
        now,
    };
    let servers = registry.ready_servers(&task.service);
    let mut rng = rand::rng();
    let picked = pick_server(servers, &query, &mut rng);
    // Where only one server is left, what may run again does so there, unless
    // it is full.
    let picked = picked.or_else(|| {
        let again = PlacementQuery {
            tried: &[],
            ..query
        };
        let may_repeat = task.route.kind.is_idempotent() && budget.rejected == 0;
        may_repeat.then(|| pick_server(servers, &again, &mut rng))?
    });
    picked.map(Arc::clone)
}

async fn send_once(
    state: &FrontState,
    server: &RegisteredServer,
    task: &RoutedRequest,
    budget: &SendBudget,
) -> Result<WholeAnswer, SendOutcome> {
    let now = Instant::now();
    let limit = send_limit(task, budget, now);
    let _work = server.reserve(WorkSize {
        requests: 1,
        ..WorkSize::default()
    });
    let answer = send(state, server, task, &task.order(server, now), limit).await?;
    answer.read_whole(state, server, limit).await
}

/// An idempotent request that may run once more does not wait for a silent
/// server to the end.
fn send_limit(task: &RoutedRequest, budget: &SendBudget, now: Instant) -> Instant {
    let last = budget.runs + 1 >= budget.runs_max;
    if last || !task.route.kind.is_idempotent() {
        return task.deadline;
    }
    let silent = task
        .route
        .latency_target
        .map_or(SILENT_DEFAULT, |target| target * SILENT_TARGETS);
    task.deadline.min(now + silent)
}

/// Why a request ends for which there is no server.
fn no_server(task: &RoutedRequest, budget: &SendBudget) -> ReplyReason {
    if budget.runs > 0 && !task.route.kind.is_idempotent() {
        ReplyReason::OutcomeUnknown
    } else {
        ReplyReason::NoServer
    }
}

/// Answer with the entry's own word; a refusal tells when to come back.
pub(crate) fn own(state: &FrontState, task: &RoutedRequest, reason: ReplyReason) -> CallerReply {
    note(state, task, reason);
    if reason.is_refusal() {
        let left = task.left(Instant::now());
        refusal_reply(reason, task.route.kind.is_stream(), left)
    } else {
        problem_reply(reason)
    }
}

fn note(state: &FrontState, task: &RoutedRequest, reason: ReplyReason) {
    let label = reason.to_string();
    state.metrics.refusals.with_label_values(&[&label]).inc();
    log::info!(
        request = task.id.as_str(),
        route = task.route.name.as_ref(),
        age_ms = task.received.elapsed().as_millis() as u64,
        reason = label.as_str();
        "answered by the entry"
    );
}
