//! The HTTP front of an entry.

use std::{sync::Arc, time::Duration};

use backing::{TableStore, VmList};
use domain::vm_membership::{DrainPlan, DrainStep};
use futures_util::future::BoxFuture;
use http::{StatusCode, request::Parts};
use telemetry::StopSignal;
use tokio::time::Instant;
use volo::net::Address;
use volo_http::{
    request::Request,
    response::Response,
    server::{
        IntoResponse, Router, Server,
        extract::Json,
        param::PathParams,
        route::{get, post},
    },
    utils::Extension,
};
use wire::{TEAM_HEADER, note::NOTE_PATH};

use crate::{
    EntryState,
    caller_body::read_body,
    chat_front::{last_event_id, resume_chat, start_chat},
    note_front::pass_notes,
    problem_reply::ProblemReply,
    service_front::{list_requests, request_key, serve_call, show_request},
    state_dump::dump_state,
};

/// Time between two looks at whether a drain is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Pause that a caller is asked to make when this entry drains; the balancer
/// sends it to another one.
const DRAIN_RETRY: Duration = Duration::from_secs(1);

type SharedState<P> = Extension<Arc<EntryState<P>>>;

/// Serve until the process is told to stop and has drained.
pub async fn serve_callers<P: TableStore + VmList>(
    state: Arc<EntryState<P>>,
    stop: StopSignal,
) -> Result<(), volo_http::error::BoxError> {
    let router = Router::new()
        .route("/v1/chat/completions", post(chat::<P>))
        .route("/v1/generations/{generation}", get(resume::<P>))
        .route("/v1/services/{service}/{operation}", post(call::<P>))
        .route("/v1/requests", get(requests::<P>))
        .route("/v1/requests/{key}", get(request::<P>))
        .route(NOTE_PATH, get(pass_notes::<P>))
        .route("/ready", get(ready::<P>))
        .route("/metrics", get(show_metrics::<P>))
        .route("/state", get(show_state::<P>))
        .layer(Extension(Arc::clone(&state)));
    let address = Address::from(state.settings.listen);
    Server::new(router)
        .register_shutdown_hook(move || -> BoxFuture<'static, ()> { Box::pin(drain(state, stop)) })
        .run(address)
        .await
}

/// Refuse new work and wait for what is in flight; callers whose generations
/// would not end in time are told to go on through another entry.
async fn drain<P>(state: Arc<EntryState<P>>, mut stop: StopSignal) {
    stop.stopped().await;
    state.begin_drain();
    let mut plan = DrainPlan::new(state.settings.drain_max, Instant::now());
    loop {
        match plan.step(state.gate.counts().0 > 0, Instant::now()) {
            DrainStep::Wait => {}
            DrainStep::HandOver => state.begin_hand_over(),
            DrainStep::Done => break,
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
    log::info!("drained");
}

async fn chat<P: TableStore>(Extension(state): SharedState<P>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let served = async {
        refuse_when_draining(&state)?;
        let team = team_of(&parts)?;
        if let Some(id) = last_event_id(&parts.headers)? {
            return resume_chat(&state, &id).await;
        }
        let key = request_key(&parts.headers)?;
        let body = read_body(&state, body).await?;
        start_chat(&state, team, key, &body).await
    };
    served.await.unwrap_or_else(ProblemReply::into_response)
}

async fn resume<P: TableStore>(
    PathParams(generation): PathParams<String>,
    Extension(state): SharedState<P>,
    request: Request,
) -> Response {
    let (parts, _) = request.into_parts();
    let served = async {
        refuse_when_draining(&state)?;
        match last_event_id(&parts.headers)? {
            Some(id) if id.generation.to_string() == generation => resume_chat(&state, &id).await,
            _ => Err(ProblemReply::field(
                "Last-Event-ID",
                "must name the generation of the path",
            )),
        }
    };
    served.await.unwrap_or_else(ProblemReply::into_response)
}

async fn call<P: TableStore>(
    PathParams((service, operation)): PathParams<(String, String)>,
    Extension(state): SharedState<P>,
    request: Request,
) -> Response {
    let (parts, body) = request.into_parts();
    let served = async {
        refuse_when_draining(&state)?;
        let team = team_of(&parts)?;
        let body = read_body(&state, body).await?;
        serve_call(&state, team, (&service, &operation), &parts.headers, &body).await
    };
    served.await.unwrap_or_else(ProblemReply::into_response)
}

async fn request<P: TableStore>(
    PathParams(key): PathParams<String>,
    Extension(state): SharedState<P>,
    request: Request,
) -> Response {
    let (parts, _) = request.into_parts();
    let served = async { show_request(&state, team_of(&parts)?, &key).await };
    served.await.unwrap_or_else(ProblemReply::into_response)
}

async fn requests<P: TableStore>(Extension(state): SharedState<P>, request: Request) -> Response {
    let (parts, _) = request.into_parts();
    let listed = async {
        if parts.uri.query() != Some("state=unknown") {
            let detail = "must be `unknown`, as in `?state=unknown`";
            return Err(ProblemReply::field("state", detail));
        }
        list_requests(&state, team_of(&parts)?).await
    };
    match listed.await {
        Ok(list) => Json(list).into_response(),
        Err(problem) => problem.into_response(),
    }
}

async fn ready<P: TableStore>(Extension(state): SharedState<P>) -> StatusCode {
    if state.is_draining() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

async fn show_metrics<P: TableStore>(Extension(state): SharedState<P>) -> String {
    state.metrics.set.render()
}

async fn show_state<P: TableStore>(Extension(state): SharedState<P>) -> Response {
    Json(dump_state(&state)).into_response()
}

fn refuse_when_draining<P>(state: &EntryState<P>) -> Result<(), ProblemReply> {
    if !state.is_draining() {
        return Ok(());
    }
    let refusal = ProblemReply::refused(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "this entry is being replaced",
    );
    Err(refusal.retry_after(DRAIN_RETRY))
}

fn team_of(parts: &Parts) -> Result<&str, ProblemReply> {
    let value = parts.headers.get(TEAM_HEADER);
    let team = value.and_then(|value| value.to_str().ok());
    match team.filter(|team| !team.is_empty() && !team.contains('/')) {
        Some(team) => Ok(team),
        None => Err(ProblemReply::field(
            "X-Team",
            "must name the team, without a slash",
        )),
    }
}
