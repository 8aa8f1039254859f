//! Plain requests, whose answer is buffered completely before it is returned.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    crash_evidence::HoldVerdict,
    entry_drain::DrainPhase,
    kv_placement::{PlacementQuery, ServiceOutlook, pick_server},
    retry_advice::RefusedRequest,
    run_evidence::{NextStep, SendBudget, SendOutcome, next_step},
    server_registry::{RegisteredServer, SendBlock, WorkSize},
};
use telemetry::ROUTINE_TARGET;
use tokio::time::{Instant, sleep_until};

use crate::{
    crash_watch::{judge_parts, report_crash},
    front_state::FrontState,
    placement_query::{QueryContext, call_query, call_rates},
    repeat_book::is_worth_repeating,
    reply::{CallerReply, ReplyReason, buffered_reply, problem_reply, refusal_reply},
    return_watch::watch_for_return,
    rollout_answers::note_call,
    routed_request::RoutedRequest,
    server_exchange::{BufferedAnswer, send},
};

/// Silence after which an idempotent request is sent to another server, as a
/// multiple of the route's latency target. A later answer would miss the target
/// anyway.
const SILENCE_LIMIT_TARGETS: u32 = 2;
/// Silence limit of a route without a latency target.
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// Sends a plain request, with retries, and returns the answer.
pub(crate) async fn run_call(state: &Arc<FrontState>, request: &RoutedRequest) -> CallerReply {
    let share = state.retry_share(&request.service);
    share.record_request(Instant::now());
    let mut tried = Vec::new();
    let mut last_answer: Option<BufferedAnswer> = None;
    let mut is_repeat = false;
    loop {
        let now = Instant::now();
        if request.remaining(now).is_zero() {
            return finish(state, request, last_answer, ReplyReason::Timeout);
        }
        if !request.is_admitted(&state.drain, now) {
            return finish(state, request, last_answer, ReplyReason::Closing);
        }
        if matches!(judge_request(state, request), HoldVerdict::Held(_)) {
            return finish(state, request, last_answer, ReplyReason::CrashesServers);
        }
        let Some(server) = pick(state, request, &tried, now) else {
            if let Some(open_at) = next_opening(state, request, &tried, now) {
                tokio::select! {
                    () = sleep_until(open_at) => {}
                    () = state.drain.wait_phase(DrainPhase::Closing) => {
                        // A call that ends in time goes on waiting.
                        if request.is_admitted(&state.drain, Instant::now()) {
                            sleep_until(open_at).await;
                        }
                    }
                }
                continue;
            }
            return finish(state, request, last_answer, ReplyReason::NoServer);
        };
        if !server.take_send(now) {
            continue;
        }
        let sent = send_once(state, &server, request).await;
        let outcome = match &sent {
            Ok(answer) => SendOutcome::Answered {
                server_error: answer.server_error,
            },
            Err(outcome) => *outcome,
        };
        record_evidence(state, &server, request, outcome, now).await;
        note_call(state, &server, request, outcome, now);
        let label = outcome_label(outcome);
        state.metrics.sends.with_label_values(&[label]).inc();
        request.sends.record(outcome);
        let budget = request.sends.budget();
        tried.push(server.record().address);
        if may_have_crashed(outcome) || server.is_superseded() {
            watch_for_return(state, &server);
        }
        last_answer = sent.ok().or(last_answer);
        let step = next_step(request.route.kind, outcome, &budget);
        let now = Instant::now();
        if is_repeat {
            state.repeats.record(request, outcome, now);
        }
        let is_retry = step == NextStep::Retry
            && is_worth_repeating(state, request, outcome, now)
            && (!outcome.reached_server() || state.spend_retry(&share));
        is_repeat |= outcome == (SendOutcome::Answered { server_error: true });
        log::info!(
            target: ROUTINE_TARGET,
            request = request.id.as_str(),
            route = request.route.name.as_ref(),
            server = server.record().instance.as_str(),
            outcome = label,
            again = is_retry,
            runs = budget.runs,
            rejected = budget.rejected,
            parts:? = request.shared_parts,
            age_ms = request.received.elapsed().as_millis() as u64;
            "call sent"
        );
        if is_retry {
            continue;
        }
        let reason = match step {
            NextStep::Refuse => ReplyReason::NoServer,
            NextStep::Retry if budget.runs == 0 => ReplyReason::NoBudget,
            _ if request.remaining(Instant::now()).is_zero() => ReplyReason::Timeout,
            _ => ReplyReason::OutcomeUnknown,
        };
        return finish(state, request, last_answer, reason);
    }
}

/// Judges a request by the parts of its prompt, and logs what holds it back.
pub(crate) fn judge_request(state: &FrontState, request: &RoutedRequest) -> HoldVerdict {
    let verdict = judge_parts(state, &request.shared_parts);
    if let HoldVerdict::Held(part) = verdict {
        log::info!(
            request = request.id.as_str(),
            part:% = part,
            runs = request.sends.budget().runs;
            "request held back"
        );
    }
    verdict
}

/// Records what the outcome of a send says about the parts of the request's prompt. The
/// beginning of a plain answer cannot be seen, so each call that a crash ended accuses
/// its parts; an answer acquits them.
async fn record_evidence(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
    outcome: SendOutcome,
    sent_at: Instant,
) {
    match outcome {
        SendOutcome::Broken => report_crash(state, server, &request.shared_parts, sent_at).await,
        SendOutcome::Answered { .. } => state.crash_watch.acquit(&request.shared_parts, sent_at),
        _ => {}
    }
}

/// Returns the last answer of a server, even if it is an error, and the entry's
/// own reply only if there is none.
fn finish(
    state: &FrontState,
    request: &RoutedRequest,
    last_answer: Option<BufferedAnswer>,
    reason: ReplyReason,
) -> CallerReply {
    let Some(answer) = last_answer else {
        return entry_reply(state, request, reason);
    };
    let elapsed = request.received.elapsed();
    state.metrics.call_seconds.observe(elapsed.as_secs_f64());
    state
        .metrics
        .requests
        .with_label_values(&["answered"])
        .inc();
    relayed_reply(state, request, answer)
}

/// Passes a server's answer on. A status that callers take for "not run" is replaced if
/// the server has not proved that and the request must not run again.
pub(crate) fn relayed_reply(
    state: &FrontState,
    request: &RoutedRequest,
    answer: BufferedAnswer,
) -> CallerReply {
    if answer.refusing && !request.sends.may_refuse() {
        log::warn!(
            request = request.id.as_str(),
            status = answer.parts.status.as_u16();
            "server refused a request without proof that it did not run"
        );
        return entry_reply(state, request, ReplyReason::OutcomeUnknown);
    }
    buffered_reply(answer.parts, answer.body)
}

/// Metric label of a send outcome.
pub(crate) fn outcome_label(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::NotConnected => "not_connected",
        SendOutcome::HandedBack => "handed_back",
        SendOutcome::Rejected => "rejected",
        SendOutcome::Answered { server_error: true } => "server_error",
        SendOutcome::Answered { .. } => "answered",
        SendOutcome::Broken => "broken",
        SendOutcome::Silent => "silent",
    }
}

/// Returns whether the outcome may mean that the server crashed.
fn may_have_crashed(outcome: SendOutcome) -> bool {
    matches!(
        outcome,
        SendOutcome::NotConnected | SendOutcome::Broken | SendOutcome::Silent
    )
}

fn pick(
    state: &FrontState,
    request: &RoutedRequest,
    tried: &[SocketAddr],
    now: Instant,
) -> Option<Arc<RegisteredServer>> {
    let registry = state.registry.load();
    let settings = state.settings.load();
    let context = QueryContext {
        own_domain: &settings.domain,
        tried,
        now,
    };
    let servers = &state.rollouts.select(request, tried, &registry, now);
    let query = call_query(state, &request.service, &request.route, context);
    let mut rng = rand::rng();
    let picked = pick_server(servers, &query, &mut rng);
    // If all servers have been tried, an idempotent request is repeated at one
    // of them, unless a server rejected it.
    let picked = picked.or_else(|| {
        let repeat_query = PlacementQuery {
            tried: &[],
            ..query
        };
        let may_repeat = request.route.kind.is_idempotent() && request.sends.budget().rejected == 0;
        may_repeat.then(|| pick_server(servers, &repeat_query, &mut rng))?
    });
    picked.map(Arc::clone)
}

/// Returns when the first server that is only at its limit takes a request again, if the
/// request can wait for that.
fn next_opening(
    state: &FrontState,
    request: &RoutedRequest,
    tried: &[SocketAddr],
    now: Instant,
) -> Option<Instant> {
    let target = request
        .route
        .latency_target
        .unwrap_or(DEFAULT_SILENCE_LIMIT);
    let wait_until = request.deadline.min(request.received + target);
    let registry = state.registry.load();
    let servers = state.rollouts.select(request, tried, &registry, now);
    let openings = servers
        .iter()
        .flat_map(|domain| &domain.servers)
        .filter(|server| !tried.contains(&server.record().address))
        .filter_map(|server| match server.send_block(now)? {
            SendBlock::Limited(end) => Some(end),
            _ => None,
        });
    openings.min().filter(|open_at| *open_at < wait_until)
}

async fn send_once(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
) -> Result<BufferedAnswer, SendOutcome> {
    let now = Instant::now();
    let limit = send_limit(request, &request.sends.budget(), now);
    let _work = server.reserve(WorkSize {
        requests: 1,
        call_us: call_rates(state, &request.service, &request.route).call_us,
        ..WorkSize::default()
    });
    let answer = send(state, server, request, &request.order(server, now), limit).await?;
    let answer = answer.read_whole(state, server, limit).await?;
    if answer.parts.status.is_success() {
        record_time(state, server, request, now);
    }
    Ok(answer)
}

/// Records how long the server took for a call that was sent at `sent_at`.
fn record_time(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
    sent_at: Instant,
) {
    let now = Instant::now();
    let elapsed = now - sent_at;
    state.costs.engine(&request.service).record_call(elapsed);
    // Behind other calls, the time says little about the server.
    if server.running() > server.record().slots {
        return;
    }
    let percent = server.report(now).map_or_else(
        || server.speed().usual_service_time(),
        |(report, _)| report.service_time_percent,
    );
    let estimate = state.costs.route(&request.service, &request.route.name);
    if let Some(ratio) = estimate.record_call(elapsed, percent) {
        server.speed().record_prefill(ratio, now);
    }
}

/// Time until which a send waits for its answer. An idempotent request with runs
/// left stops waiting before its deadline, so that it can be sent to another
/// server.
fn send_limit(request: &RoutedRequest, budget: &SendBudget, now: Instant) -> Instant {
    let is_last = budget.runs + 1 >= budget.runs_max;
    if is_last || !request.route.kind.is_idempotent() {
        return request.deadline;
    }
    let silence_limit = request
        .route
        .latency_target
        .map_or(DEFAULT_SILENCE_LIMIT, |target| {
            target * SILENCE_LIMIT_TARGETS
        });
    request.deadline.min(now + silence_limit)
}

/// Builds and records a reply of the entry itself. A refusal tells the caller
/// when to retry; a request that may have run and must not run again is not refused.
pub(crate) fn entry_reply(
    state: &FrontState,
    request: &RoutedRequest,
    reason: ReplyReason,
) -> CallerReply {
    let reason = if reason.is_refusal() && !request.sends.may_refuse() {
        ReplyReason::OutcomeUnknown
    } else {
        reason
    };
    record_reply(state, request, reason);
    if reason.is_refusal() {
        let now = Instant::now();
        let registry = state.registry.load();
        let servers = registry.ready_servers(&request.service);
        let refused = RefusedRequest {
            is_stream: request.route.kind.is_stream(),
            remaining: request.remaining(now),
            outlook: ServiceOutlook::new(servers, now),
            class: request.class,
        };
        refusal_reply(reason, refused)
    } else {
        problem_reply(reason)
    }
}

fn record_reply(state: &FrontState, request: &RoutedRequest, reason: ReplyReason) {
    let label = reason.to_string();
    state.metrics.refusals.with_label_values(&[&label]).inc();
    log::info!(
        request = request.id.as_str(),
        route = request.route.name.as_ref(),
        urgency:% = request.urgency,
        age_ms = request.received.elapsed().as_millis() as u64,
        reason = label.as_str();
        "answered by the entry"
    );
}
