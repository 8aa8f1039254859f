//! Plain requests: one answer, held whole before the caller gets it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    kv_placement::{PickQuery, pick_server},
    run_evidence::{NextStep, SendBudget, SendEnd, next_step},
    server_registry::{ServerSlot, WorkSize},
};
use telemetry::ROUTINE_TARGET;
use tokio::time::Instant;

use crate::{
    call_task::CallTask,
    front_state::FrontState,
    reply::{CallerReply, ReplyReason, own_reply, refusal, whole_reply},
    worker_exchange::{WholeAnswer, send},
};

/// Silence after which an idempotent request is tried elsewhere, as a multiple
/// of the route's latency target: beyond it the answer is late anyway.
const SILENT_TARGETS: u32 = 2;
/// The same where the route states no target.
const SILENT_DEFAULT: Duration = Duration::from_millis(500);

/// Carry a plain request to its end.
pub(crate) async fn run_call(state: &FrontState, task: &CallTask) -> CallerReply {
    let share = state.retry_share(&task.service);
    share.note_request(Instant::now());
    let mut budget = SendBudget::new(task.route.attempts, task.route.kind);
    let mut tried = Vec::new();
    loop {
        let now = Instant::now();
        if task.left(now).is_zero() {
            break own(state, task, ReplyReason::Timeout);
        }
        let Some(slot) = pick(state, task, &tried, now) else {
            break no_server(state, task, &budget);
        };
        let sent = send_once(state, &slot, task, &budget).await;
        let end = match &sent {
            Ok(answer) => SendEnd::Answered {
                server_error: answer.server_error,
            },
            Err(end) => *end,
        };
        state
            .metrics
            .sends
            .with_label_values(&[send_name(end)])
            .inc();
        budget.count(end);
        tried.push(slot.record().address);
        let step = next_step(task.route.kind, end, &budget);
        if step == NextStep::TryAgain && (!end.arrived() || state.spend_retry(&share)) {
            continue;
        }
        break match (step, sent) {
            (NextStep::Deliver | NextStep::TryAgain, Ok(answer)) => {
                state
                    .metrics
                    .requests
                    .with_label_values(&["answered"])
                    .inc();
                let spent = task.received.elapsed();
                state.metrics.call_seconds.observe(spent.as_secs_f64());
                log::info!(
                    target: ROUTINE_TARGET,
                    request = task.id.as_str(),
                    route = task.route.name.as_ref(),
                    server = slot.record().instance.as_str(),
                    status = answer.parts.status.as_u16(),
                    runs = budget.runs,
                    rejected = budget.rejected,
                    age_ms = spent.as_millis() as u64;
                    "answered"
                );
                whole_reply(answer.parts, answer.body)
            }
            (NextStep::Refuse, _) => no_server(state, task, &budget),
            (NextStep::TryAgain, Err(_)) if budget.runs == 0 => {
                refuse(state, task, ReplyReason::NoBudget)
            }
            _ if task.left(Instant::now()).is_zero() => own(state, task, ReplyReason::Timeout),
            _ => own(state, task, ReplyReason::OutcomeUnknown),
        };
    }
}

/// Metric label of a send's end.
pub(crate) fn send_name(end: SendEnd) -> &'static str {
    match end {
        SendEnd::NotConnected => "not_connected",
        SendEnd::HandedBack => "handed_back",
        SendEnd::Rejected => "rejected",
        SendEnd::Answered { server_error: true } => "server_error",
        SendEnd::Answered { .. } => "answered",
        SendEnd::Broken => "broken",
        SendEnd::Silent => "silent",
    }
}

fn pick(
    state: &FrontState,
    task: &CallTask,
    tried: &[SocketAddr],
    now: Instant,
) -> Option<Arc<ServerSlot>> {
    let registry = state.registry.load();
    let settings = state.settings.load();
    let query = PickQuery {
        tokens: None,
        kv_total: 0,
        own_domain: &settings.domain,
        tried,
        now,
    };
    let servers = registry.servers(&task.service);
    pick_server(servers, &query, &mut rand::rng()).map(Arc::clone)
}

async fn send_once(
    state: &FrontState,
    slot: &ServerSlot,
    task: &CallTask,
    budget: &SendBudget,
) -> Result<WholeAnswer, SendEnd> {
    let now = Instant::now();
    let limit = send_limit(task, budget, now);
    let _work = slot.begin(WorkSize {
        runs: 1,
        ..WorkSize::default()
    });
    let answer = send(state, slot, task, &task.order(slot, now), limit).await?;
    answer.read_whole(state, slot, limit).await
}

/// An idempotent request that may run once more does not wait for a silent
/// server to the end.
fn send_limit(task: &CallTask, budget: &SendBudget, now: Instant) -> Instant {
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

fn no_server(state: &FrontState, task: &CallTask, budget: &SendBudget) -> CallerReply {
    if budget.runs > 0 && !task.route.kind.is_idempotent() {
        return own(state, task, ReplyReason::OutcomeUnknown);
    }
    refuse(state, task, ReplyReason::NoServer)
}

/// Refuse a request that surely did not run, or that may run again.
pub(crate) fn refuse(state: &FrontState, task: &CallTask, reason: ReplyReason) -> CallerReply {
    note(state, task, reason);
    let left = task.left(Instant::now());
    refusal(reason, task.route.kind.is_stream(), left)
}

/// Answer with the entry's own word.
pub(crate) fn own(state: &FrontState, task: &CallTask, reason: ReplyReason) -> CallerReply {
    note(state, task, reason);
    own_reply(reason)
}

fn note(state: &FrontState, task: &CallTask, reason: ReplyReason) {
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
