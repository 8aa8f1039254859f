//! Streaming chat completions.

use std::{convert::Infallible, sync::Arc};

use domain::{
    AdapterName, AttemptNumber, GenerationId, ModelName, PoolName, ServerName, TokenPosition,
    WorkClass,
    generation_stream::{ModelPin, StreamRelay, TokenLog},
    team_budget::{AdmissionRefusal, RefusalCause},
};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, StatusCode};
use sync_wrapper::SyncStream;
use tokio::time::Instant;
use volo_http::{
    response::Response,
    server::{
        IntoResponse,
        response::sse::{Event, Sse},
    },
};
use wire::{
    EventId,
    chat::{ChatChunk, ChatRequest},
    stream::OpenMessage,
};

use crate::{
    EntryState,
    load_policy::{AdmissionRequest, EntryPolicy},
    problem_reply::ProblemReply,
    stream_driver::{CallerEvent, StreamDriver, TakeOverError},
};

/// Bytes of a prompt that count as one token when the window is checked.
const BYTES_PER_TOKEN: usize = 4;

/// Name of the event that tells that the generation waits for a server.
const WAITING_EVENT: &str = "waiting";

/// Name of the event that tells to go on through another entry.
const RECONNECT_EVENT: &str = "reconnect";

/// Name of the event that tells that the generation cannot be finished.
const INCOMPLETE_EVENT: &str = "incomplete";

/// What a caller is told whose key belongs to another request.
const KEY_REUSED: &str = "the key is bound to another request";

/// Serve a completion that no server has seen.
pub async fn start_chat<P: Send + Sync + 'static>(
    state: &Arc<EntryState<P>>,
    team: &str,
    key: Option<&str>,
    body: &[u8],
) -> Result<Response, ProblemReply> {
    let request = read_request(body)?;
    let (pin, pool) = pin_of(state, &request)?;
    let class = WorkClass::of_generation(request.max_tokens);
    let permit = state
        .gate
        .admit(class)
        .inspect_err(|refusal| count_refusal(state, refusal))?;
    let admission = AdmissionRequest {
        team,
        weight: weight_of(state, team),
        class,
        tokens: request.max_tokens,
    };
    let judged = state
        .policy
        .judge(&admission, Instant::now(), &mut rand::rng());
    judged.inspect_err(|refusal| count_refusal(state, refusal))?;
    state
        .metrics
        .requests
        .with_label_values(&[&class.to_string()])
        .inc();
    let generation = match key {
        Some(key) => GenerationId::from_key(team, key),
        None => GenerationId(rand::random()),
    };
    let open = OpenMessage {
        generation: generation.to_string(),
        attempt: 0,
        team: team.to_owned(),
        pin: (&pin).into(),
        prompt: request.prompt(),
        delivered: Vec::new(),
        max_tokens: request.max_tokens,
        class: state.policy.server_class(class).into(),
        is_move: false,
    };
    let relay = StreamRelay::new(
        pin,
        TokenLog::default(),
        AttemptNumber(0),
        state.relay_limits,
        Instant::now(),
    );
    let mut driver = StreamDriver::new(Arc::clone(state), generation, open, pool, relay, permit);
    if key.is_some() {
        driver = driver.keyed();
    }
    let opened = driver.open_first().await;
    opened.inspect_err(|refusal| count_refusal(state, refusal))?;
    if key.is_none() {
        return Ok(chunk_stream(driver, None));
    }
    match driver.next().await {
        Some(CallerEvent::KeyReused) => Err(key_reused()),
        first => Ok(chunk_stream(driver, first)),
    }
}

/// Shares of a team; one if no note names it.
fn weight_of<P>(state: &EntryState<P>, team: &str) -> u32 {
    let note = state.note.load();
    note.team_limit(team).map_or(1, |limit| limit.weight)
}

fn key_reused() -> ProblemReply {
    ProblemReply::refused(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", KEY_REUSED)
}

fn count_refusal<P>(state: &EntryState<P>, refusal: &AdmissionRefusal) {
    let reason = match refusal.cause {
        RefusalCause::Limit(_) => "over-capacity",
        RefusalCause::Share => "over-share",
        RefusalCause::Servers => "servers-full",
    };
    state.metrics.refusals.with_label_values(&[reason]).inc();
}

/// Go on with a completion whose caller comes back.
pub async fn resume_chat<P: Send + Sync + 'static>(
    state: &Arc<EntryState<P>>,
    id: &EventId,
) -> Result<Response, ProblemReply> {
    let node = state.servers.load().get(&id.server).cloned();
    let node = node.ok_or_else(|| gone("the server that kept the generation is not known"))?;
    let permit = state.gate.admit(WorkClass::Long)?;
    let taken =
        StreamDriver::take_over(Arc::clone(state), id.generation, id.position, &node, permit).await;
    match taken {
        Ok(driver) => Ok(chunk_stream(driver, None)),
        Err(TakeOverError::Unreachable(error)) => Err(gone(&error.to_string())),
        Err(TakeOverError::Unknown(reply)) => Err(gone(&format!(
            "the agent answered with status {}",
            reply.status
        ))),
        Err(TakeOverError::NoRecord) => Err(gone("the agent gave no record")),
    }
}

fn gone(reason: &str) -> ProblemReply {
    ProblemReply::with_outcome(
        StatusCode::GONE,
        "incomplete",
        format!("the generation cannot be resumed: {reason}"),
        "incomplete",
    )
}

fn read_request(body: &[u8]) -> Result<ChatRequest, ProblemReply> {
    let request: ChatRequest = serde_json::from_slice(body).map_err(|error| {
        ProblemReply::refused(StatusCode::BAD_REQUEST, "malformed-json", error.to_string())
    })?;
    let errors = request.field_errors();
    let Some(first) = errors.first() else {
        return Ok(request);
    };
    let all: Vec<String> = errors.iter().map(ToString::to_string).collect();
    Err(ProblemReply::field(first.field, all.join("; ")))
}

fn pin_of<P>(
    state: &EntryState<P>,
    request: &ChatRequest,
) -> Result<(ModelPin, PoolName), ProblemReply> {
    let note = state.note.load();
    let model = request.model_name();
    let Some(duty) = note.model_spec(model) else {
        let detail = format!("model `{model}` is not served");
        return Err(ProblemReply::field("model", detail));
    };
    let adapter = request.adapter_name().map(AdapterName::from);
    if let Some(name) = &adapter
        && !duty.adapters.contains(name)
    {
        let detail = format!("adapter `{name}` of model `{model}` is not served");
        return Err(ProblemReply::field("model", detail));
    }
    let prompt_bytes: usize = request.messages.iter().map(|m| m.content.len()).sum();
    let tokens = prompt_bytes / BYTES_PER_TOKEN + request.max_tokens as usize;
    if tokens > duty.context_window as usize {
        let detail = format!(
            "prompt and answer of about {tokens} tokens exceed the window of {} tokens",
            duty.context_window
        );
        return Err(ProblemReply::field("messages", detail));
    }
    let pin = ModelPin {
        model: ModelName::from(model),
        adapter,
        version: duty.version,
    };
    Ok((pin, duty.pool.clone()))
}

fn chunk_stream<P: Send + Sync + 'static>(
    driver: StreamDriver<P>,
    first: Option<CallerEvent>,
) -> Response {
    let id = driver.generation().to_string();
    let model = driver.model();
    let first = first.map(|event| encode(driver.generation(), &id, &model, &event));
    let rest = stream::unfold((driver, id, model), |(mut driver, id, model)| async move {
        let event = driver.next().await?;
        let encoded = encode(driver.generation(), &id, &model, &event);
        Some((encoded, (driver, id, model)))
    });
    let events = stream::iter(first).chain(rest).map(Ok::<Event, Infallible>);
    Sse::new(SyncStream::new(events)).into_response()
}

fn encode(generation: GenerationId, id: &str, model: &str, event: &CallerEvent) -> Event {
    match event {
        CallerEvent::Token { text, next, server } => {
            let event_id = event_id(generation, *next, server);
            data(&ChatChunk::token(id, model, text)).id(event_id.to_string())
        }
        CallerEvent::Moved { next, server } => {
            let event_id = event_id(generation, *next, server);
            let event = Event::new().event(WAITING_EVENT).data("{}");
            event.id(event_id.to_string())
        }
        CallerEvent::Waiting => Event::new().event(WAITING_EVENT).data("{}"),
        CallerEvent::Reconnect => Event::new().event(RECONNECT_EVENT).data("{}"),
        CallerEvent::Finish { reason } => data(&ChatChunk::finish(id, model, reason)),
        CallerEvent::KeyReused => Event::new().event(INCOMPLETE_EVENT).data(KEY_REUSED),
        CallerEvent::Incomplete { reason } => Event::new()
            .event(INCOMPLETE_EVENT)
            .data(reason.replace(['\n', '\r'], " ")),
    }
}

fn event_id(generation: GenerationId, position: TokenPosition, server: &ServerName) -> EventId {
    EventId {
        generation,
        position,
        server: server.clone(),
    }
}

fn data(chunk: &ChatChunk) -> Event {
    Event::new().data(serde_json::to_string(chunk).expect("wire types are plain data"))
}

/// Event id of a caller that comes back, if it has one.
pub fn last_event_id(headers: &HeaderMap) -> Result<Option<EventId>, ProblemReply> {
    let Some(value) = headers.get(wire::LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let id = value.to_str().ok().and_then(|text| text.parse().ok());
    match id {
        Some(id) => Ok(Some(id)),
        None => Err(ProblemReply::field(
            "Last-Event-ID",
            "not an event id of this system",
        )),
    }
}
