//! HTTP endpoints for the readiness, metrics and state of an entry.

use std::sync::Arc;

use bytes::Bytes;
use domain::{
    crash_evidence::HeldPart,
    rate_limit::RateLimit,
    server_registry::{RegisteredServer, SendBlock},
};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use platform::names::READY_PATH;
use serde_json::{Value, json};
use telemetry::dropped_lines;
use tokio::time::Instant;
use wire::explain::EXPLAIN_PATH;

use crate::{
    explain_front::explain,
    front_state::{ENTRY_LIFETIME, FrontState},
    http_server::{bind, serve_handler},
    reply::ReplyBody,
    rollout_board::dump_rollouts,
};

/// Starts the listeners for the load balancer's probes and for operators.
pub async fn serve_admin(state: &Arc<FrontState>) -> miette::Result<()> {
    let settings = state.settings.load_full();
    let ready = bind(settings.ready).await?;
    let admin = bind(settings.admin).await?;
    let shared = Arc::clone(state);
    let keeper = Arc::clone(&state.ingress.ready);
    tokio::spawn(serve_handler(ready, keeper, move |request| {
        readiness_reply(&shared, request)
    }));
    let shared = Arc::clone(state);
    let keeper = Arc::clone(&state.ingress.admin);
    tokio::spawn(serve_handler(admin, keeper, move |request| {
        admin_reply(&shared, request)
    }));
    Ok(())
}

fn readiness_reply(state: &FrontState, request: &Request<Incoming>) -> Response<ReplyBody> {
    if request.uri().path() != READY_PATH {
        return text_reply(StatusCode::NOT_FOUND, "text/plain", String::new());
    }
    let status = if state.is_ready(Instant::now()) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_reply(status, "text/plain", String::new())
}

fn admin_reply(state: &FrontState, request: &Request<Incoming>) -> Response<ReplyBody> {
    match request.uri().path() {
        "/metrics" => text_reply(StatusCode::OK, "text/plain", render_metrics(state)),
        "/state" => text_reply(
            StatusCode::OK,
            "application/json",
            dump_state(state).to_string(),
        ),
        EXPLAIN_PATH => explanation_reply(state, request.uri().query().unwrap_or_default()),
        _ => text_reply(StatusCode::NOT_FOUND, "text/plain", String::new()),
    }
}

fn explanation_reply(state: &FrontState, query: &str) -> Response<ReplyBody> {
    match explain(state, query) {
        Ok(explanation) => {
            let text = json!(explanation).to_string();
            text_reply(StatusCode::OK, "application/json", text)
        }
        Err(fault) => text_reply(StatusCode::BAD_REQUEST, "text/plain", fault.to_string()),
    }
}

fn render_metrics(state: &FrontState) -> String {
    let dropped = i64::try_from(dropped_lines()).unwrap_or(i64::MAX);
    state.metrics.dropped_lines.set(dropped);
    let now = Instant::now();
    let confirmed = state.freshness().confirmed_at;
    let age = confirmed.map_or(-1, |confirmed| {
        saturating_i64(now.duration_since(confirmed).as_secs())
    });
    state.metrics.state_age_seconds.set(age);
    let entries = state.roster.load().count(ENTRY_LIFETIME, now);
    state.metrics.entries.set(saturating_i64(entries as u64));
    state.metrics.retries_left.set(state.retries_left(now));
    let waiting = state.admission.waiting();
    state.metrics.waiting.set(saturating_i64(waiting as u64));
    let body_bytes = saturating_i64(state.ingress.bodies.used() as u64);
    state.metrics.body_bytes.set(body_bytes);
    state
        .metrics
        .memory_bytes
        .set(saturating_i64(resident_bytes()));
    state.metrics.set.render()
}

fn saturating_i64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Returns the resident memory of this process in bytes; 0 if it is not available.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn dump_state(state: &FrontState) -> Value {
    let now = Instant::now();
    let desired = state.desired.load();
    let registry = state.registry.load();
    let servers: Vec<Value> = registry
        .all()
        .map(|server| dump_server(server, now))
        .collect();
    let held = state.crash_watch.held();
    let held_parts: Vec<Value> = held.iter().map(|part| dump_held_part(part, now)).collect();
    json!({
        "phase": format!("{:?}", state.phase(now)),
        "ready": state.is_ready(now),
        "state_version": desired.as_ref().map(|desired| desired.version().number),
        "routes": desired.as_ref().map(|desired| desired.route_count()),
        "state_may_deny": state.freshness().may_deny(now),
        "held_parts": held_parts,
        "rollouts": dump_rollouts(state),
        "servers": servers,
    })
}

fn dump_held_part(held: &HeldPart, now: Instant) -> Value {
    let age_ms = |at: Instant| saturating_i64(now.saturating_duration_since(at).as_millis() as u64);
    json!({
        "part": held.part.to_string(),
        "crashes": held.crashes,
        "first_crash_age_ms": age_ms(held.first_at),
        "last_crash_age_ms": age_ms(held.last_at),
        "seen_by": held.seen_by,
        "trial_in_ms": saturating_i64(
            held.trial_at.saturating_duration_since(now).as_millis() as u64
        ),
    })
}

fn dump_server(server: &RegisteredServer, now: Instant) -> Value {
    let record = server.record();
    json!({
        "instance": record.instance.as_str(),
        "service": record.service.as_str(),
        "address": record.address.to_string(),
        "domain": record.domain.as_str(),
        "version": record.version.as_str(),
        "state": format!("{:?}", record.state),
        "running": server.running(),
        "prompt_tokens": server.prompt_tokens(),
        "kv_tokens": server.kv_tokens(),
        "speed_percent": server.speed().ratio_percent(now),
        "usual_service_time": server.speed().usual_service_time(),
        "suspect": server.is_suspect(now),
        "misdirected": server.is_superseded(),
        "leaving": server.is_leaving(),
        "blocked": server.send_block(now).map(|block| match block {
            SendBlock::Superseded => "superseded",
            SendBlock::Leaving => "leaving",
            SendBlock::Paused(_) => "paused",
            SendBlock::Limited(_) => "limited",
        }),
        "limit_per_s": server.rate_gate().limit().map(RateLimit::get),
        "pause_ms": server
            .paused_until(now)
            .map(|end| saturating_i64(end.duration_since(now).as_millis() as u64)),
    })
}

fn text_reply(status: StatusCode, media_type: &'static str, text: String) -> Response<ReplyBody> {
    let mut reply = Response::new(ReplyBody::Buffered(Bytes::from(text).into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    reply
}
