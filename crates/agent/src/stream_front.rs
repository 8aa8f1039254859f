//! The HTTP front of an agent: token streams, metrics and state.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use domain::{
    GenerationId, TokenPosition,
    backend_server::{SlotPermit, SlotRefusal},
    vm_membership::{DrainPlan, DrainStep},
};
use futures_util::{Stream, future::BoxFuture, stream};
use http::StatusCode;
use telemetry::StopSignal;
use tokio::{sync::mpsc, time::Instant};
use volo::net::Address;
use volo_http::{
    response::Response,
    server::{
        IntoResponse, Router, Server,
        extract::{Json, Query},
        param::PathParams,
        response::sse::{Event, Sse},
        route::{get, post},
    },
    utils::Extension,
};
use wire::{
    ProblemReport,
    note::NOTE_PATH,
    stream::{
        END_EVENT, LOST_EVENT, MISMATCH_EVENT, OpenMessage, RECORD_EVENT, STALE_EVENT, TOKEN_EVENT,
    },
};

use crate::{
    AgentState,
    generation_task::{
        GenerationGrant, READER_ITEMS_MAX, StreamItem, TaskCommand, spawn_generation,
    },
    note_front::pass_notes,
    state_dump::dump_state,
};

/// Time between two looks at whether a drain is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Silence of the engine beyond which it is given nothing new.
const SERVER_SILENCE_MAX: Duration = Duration::from_millis(400);

type SharedState = Extension<Arc<AgentState>>;

/// Serve until the process is told to stop and has drained.
pub async fn serve_streams(
    state: Arc<AgentState>,
    stop: StopSignal,
) -> Result<(), volo_http::error::BoxError> {
    let router = Router::new()
        .route("/v1/generations", post(open_generation))
        .route("/v1/generations/{generation}", get(take_over))
        .route(NOTE_PATH, get(pass_notes))
        .route("/metrics", get(show_metrics))
        .route("/state", get(show_state))
        .layer(Extension(Arc::clone(&state)));
    let address = Address::from(state.settings.listen);
    Server::new(router)
        .register_shutdown_hook(move || -> BoxFuture<'static, ()> {
            Box::pin(wait_until_drained(state, stop))
        })
        .run(address)
        .await
}

/// Refuse new work and wait for what is in flight; what would not end in time
/// is handed over while there still is time for it.
pub async fn wait_until_drained(state: Arc<AgentState>, mut stop: StopSignal) {
    stop.stopped().await;
    state.set_leaving(true);
    let mut plan = DrainPlan::new(state.settings.drain_max, Instant::now());
    loop {
        match plan.step(is_busy(&state), Instant::now()) {
            DrainStep::Wait => {}
            DrainStep::HandOver => {
                log::info!("handing {} generations over", state.registry.len());
                state.begin_hand_over();
            }
            DrainStep::Done => break,
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
    log::info!("drained");
}

fn is_busy(state: &AgentState) -> bool {
    state.registry.len() > 0 || state.calls.load(Ordering::Relaxed) > 0
}

async fn open_generation(Extension(state): SharedState, Json(open): Json<OpenMessage>) -> Response {
    let Ok(generation) = GenerationId::try_from(&open) else {
        return refuse(StatusCode::BAD_REQUEST, "malformed", "generation");
    };
    let (sender, receiver) = mpsc::channel(READER_ITEMS_MAX);
    let known = state.registry.get(generation);
    let (open, task) = match known {
        Some(task) => (Box::new(open), task),
        None => {
            let grant = match admit(&state, &open) {
                Ok(grant) => grant,
                Err(refusal) => return refusal.into_response(),
            };
            match spawn_generation(&state, generation, Box::new(open), grant, sender.clone()) {
                Ok(()) => return events(receiver),
                Err((open, task)) => (open, task),
            }
        }
    };
    let reader = sender;
    if task.send(TaskCommand::Open { open, reader }).await.is_err() {
        return refuse(StatusCode::CONFLICT, "ended", "");
    }
    events(receiver)
}

/// Why this server does not start a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GrantRefusal {
    Leaving,
    EngineSilent,
    LogFull,
    SlotsFull,
}

impl GrantRefusal {
    fn into_response(self) -> Response {
        let (status, kind) = match self {
            Self::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Self::EngineSilent => (StatusCode::BAD_GATEWAY, "engine-silent"),
            Self::LogFull => (StatusCode::INSUFFICIENT_STORAGE, "log-full"),
            Self::SlotsFull => (StatusCode::TOO_MANY_REQUESTS, "full"),
        };
        refuse(status, kind, "")
    }
}

/// What a new generation may use, or why this server does not start it.
fn admit(state: &AgentState, open: &OpenMessage) -> Result<GenerationGrant, GrantRefusal> {
    // A leaving server finishes what it has and starts nothing.
    if state.is_leaving() {
        return Err(GrantRefusal::Leaving);
    }
    if state.server_silence(Instant::now()) >= SERVER_SILENCE_MAX {
        return Err(GrantRefusal::EngineSilent);
    }
    let room = state.log_budget.reserve(&open.prompt, open.max_tokens);
    let room = room.ok_or(GrantRefusal::LogFull)?;
    let permit = slot_for(state, open).map_err(|_| GrantRefusal::SlotsFull)?;
    Ok(GenerationGrant { permit, room })
}

/// A slot for a generation; one that was promised already is never refused,
/// unless another server has it.
fn slot_for(state: &AgentState, open: &OpenMessage) -> Result<SlotPermit, SlotRefusal> {
    let class = open.class.into();
    let is_promised = open.attempt > 0 || !open.delivered.is_empty();
    if is_promised && !open.is_move {
        return Ok(state.slots.force_acquire(class));
    }
    state.slots.try_acquire(class, Instant::now())
}

/// Where a new entry wants to begin.
#[derive(Debug, serde::Deserialize)]
struct TakeOverQuery {
    from: u32,
}

async fn take_over(
    PathParams(generation): PathParams<String>,
    Extension(state): SharedState,
    Query(query): Query<TakeOverQuery>,
) -> Response {
    let Ok(generation) = generation.parse::<GenerationId>() else {
        return refuse(StatusCode::BAD_REQUEST, "malformed", "generation");
    };
    let Some(task) = state.registry.get(generation) else {
        return refuse(StatusCode::NOT_FOUND, "unknown-generation", "generation");
    };
    let (reader, receiver) = mpsc::channel(READER_ITEMS_MAX);
    let from = TokenPosition(query.from);
    if task
        .send(TaskCommand::TakeOver { from, reader })
        .await
        .is_err()
    {
        return refuse(StatusCode::NOT_FOUND, "unknown-generation", "generation");
    }
    events(receiver)
}

async fn show_metrics(Extension(state): SharedState) -> String {
    state.metrics.set.render()
}

async fn show_state(Extension(state): SharedState) -> Response {
    Json(dump_state(&state, Instant::now())).into_response()
}

fn refuse(status: StatusCode, kind: &str, field: &str) -> Response {
    let problem = ProblemReport {
        kind: kind.to_owned(),
        title: "nothing was started".to_owned(),
        status: status.as_u16(),
        field: (!field.is_empty()).then(|| field.to_owned()),
        outcome: Some("not run".to_owned()),
        ..ProblemReport::default()
    };
    (status, Json(problem)).into_response()
}

fn events(receiver: mpsc::Receiver<StreamItem>) -> Response {
    Sse::new(item_events(receiver)).into_response()
}

fn item_events(
    mut receiver: mpsc::Receiver<StreamItem>,
) -> impl Stream<Item = Result<Event, Infallible>> + Send + Sync + 'static {
    stream::poll_fn(move |cx| {
        receiver
            .poll_recv(cx)
            .map(|item| item.map(|item| Ok(encode(&item))))
    })
}

fn encode(item: &StreamItem) -> Event {
    match item {
        StreamItem::Record(record) => named(RECORD_EVENT, record.as_ref()),
        StreamItem::Token(token) => named(TOKEN_EVENT, token),
        StreamItem::Beat(beat) => Event::new().data(String::from(beat)),
        StreamItem::End(end) => named(END_EVENT, end),
        StreamItem::Stale => Event::new().event(STALE_EVENT).data("{}"),
        StreamItem::Mismatch => Event::new().event(MISMATCH_EVENT).data("{}"),
        StreamItem::Lost(reason) => Event::new()
            .event(LOST_EVENT)
            .data(reason.replace(['\n', '\r'], " ")),
    }
}

fn named(name: &'static str, message: &impl serde::Serialize) -> Event {
    let data = serde_json::to_string(message).expect("wire types are plain data");
    Event::new().event(name).data(data)
}
