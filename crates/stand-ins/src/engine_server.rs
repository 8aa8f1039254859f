//! A model engine: continuous batching, a prefix cache, and faults on command.

use std::{
    collections::VecDeque,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::stream;
use http::StatusCode;
use papaya::HashMap;
use serde::{Deserialize, Serialize};
use sync_wrapper::SyncStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use volo_http::{
    error::BoxError,
    response::Response,
    server::{
        IntoResponse, Router,
        extract::Json,
        response::sse::{Event, Sse},
        route::{get, post},
    },
    utils::Extension,
};
use wire::{
    engine::{EngineCancel, EngineLoad, EngineOrder, EngineRequest, EngineToken, OrderKind},
    stream::{END_EVENT, PinMessage, TOKEN_EVENT},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    front::serve,
    slot_queue::{SlotGuard, SlotQueue},
    token_stamps::TokenStamps,
    token_text::TextSeed,
};

/// Tokens of one block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// Blocks that the prefix cache holds.
const CACHE_BLOCKS: usize = 65_536;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Completions that produce tokens at once.
    pub slots: u32,
    /// Time between two tokens of one completion.
    pub token_gap: Duration,
    /// Time to read one token of a prompt that is not cached.
    pub prefill_per_token: Duration,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

/// Faults, set by `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineFaults {
    /// Produce nothing and answer nothing.
    #[serde(default)]
    pub hang: bool,
    /// Factor on the time between tokens, in thousandths; 0 is none.
    #[serde(default)]
    pub slow_milli: u64,
}

/// What an engine did, read by `GET /control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Prompt tokens read.
    pub prefill: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Tokens produced.
    pub decode: u64,
    /// Completions begun.
    pub requests: u64,
    /// Completions cancelled.
    pub cancelled: u64,
    /// Continuations whose tokens are not this engine's text.
    pub foreign_resumes: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders carried out under a number below one seen before.
    pub stale_orders: u64,
    /// Orders refused for their number.
    pub refused_orders: u64,
}

#[derive(Default)]
struct EngineCounters {
    prefill: AtomicU64,
    cached: AtomicU64,
    decode: AtomicU64,
    requests: AtomicU64,
    cancelled: AtomicU64,
    foreign_resumes: AtomicU64,
    orders: AtomicU64,
    stale_orders: AtomicU64,
    refused_orders: AtomicU64,
}

struct EngineState {
    options: EngineOptions,
    slots: Arc<SlotQueue>,
    cancels: HashMap<String, CancellationToken>,
    hang: AtomicBool,
    slow_milli: AtomicU64,
    counters: EngineCounters,
    cache: Mutex<PrefixCache>,
    loaded: Mutex<Vec<PinMessage>>,
    highest_fencing: AtomicU64,
    load: Mutex<VecDeque<(Instant, EngineLoad)>>,
    stamps: TokenStamps,
}

#[derive(Default)]
struct PrefixCache {
    known: std::collections::HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Enter the blocks of a prompt and return how many tokens were there.
    fn enter(&mut self, words: &[&str]) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        let mut is_prefix = true;
        for block in words.chunks_exact(BLOCK_TOKENS) {
            for word in block {
                hash = xxh3_64_with_seed(word.as_bytes(), hash);
            }
            if self.known.contains(&hash) {
                cached += if is_prefix { BLOCK_TOKENS } else { 0 };
                continue;
            }
            is_prefix = false;
            self.known.insert(hash);
            self.order.push_back(hash);
            if self.order.len() > CACHE_BLOCKS
                && let Some(oldest) = self.order.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
        cached
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Run an engine until the process is stopped.
pub async fn run_engine(options: EngineOptions) -> Result<(), BoxError> {
    let listen = options.listen;
    let state = Arc::new(EngineState {
        slots: SlotQueue::new(options.slots),
        options,
        cancels: HashMap::new(),
        hang: AtomicBool::new(false),
        slow_milli: AtomicU64::new(0),
        counters: EngineCounters::default(),
        cache: Mutex::default(),
        loaded: Mutex::default(),
        highest_fencing: AtomicU64::new(0),
        load: Mutex::default(),
        stamps: TokenStamps::default(),
    });
    let router = Router::new()
        .route("/v1/completions", post(complete))
        .route("/v1/cancel", post(cancel))
        .route("/v1/load", get(report_load))
        .route("/v1/orders", post(obey))
        .route("/stamps", get(show_stamps))
        .route("/control", get(show_counts).post(set_faults))
        .layer(Extension(state));
    serve(router, listen).await
}

struct Completion {
    state: Arc<EngineState>,
    request_id: String,
    seed: TextSeed,
    position: u32,
    max_tokens: u32,
    uncached: u32,
    priority: u8,
    cancel: CancellationToken,
    slot: Option<SlotGuard>,
    is_done: bool,
}

impl Drop for Completion {
    fn drop(&mut self) {
        self.state.cancels.pin().remove(&self.request_id);
    }
}

async fn complete(
    Extension(state): Extension<Arc<EngineState>>,
    Json(request): Json<EngineRequest>,
) -> Response {
    wait_while_hanging(&state).await;
    let seed = TextSeed::new(&request.pin, &request.prompt);
    let counters = &state.counters;
    counters.requests.fetch_add(1, Ordering::Relaxed);
    let is_own = (0..)
        .zip(&request.resume)
        .all(|(position, token)| seed.token(position) == *token);
    if !is_own {
        counters.foreign_resumes.fetch_add(1, Ordering::Relaxed);
        return StatusCode::UNPROCESSABLE_ENTITY.into_response();
    }
    let words: Vec<&str> = request
        .prompt
        .split_whitespace()
        .chain(request.resume.iter().map(|token| token.trim()))
        .collect();
    let cached = lock(&state.cache).enter(&words);
    let uncached = words.len() - cached;
    counters.cached.fetch_add(cached as u64, Ordering::Relaxed);
    counters
        .prefill
        .fetch_add(uncached as u64, Ordering::Relaxed);
    let cancel = CancellationToken::new();
    state
        .cancels
        .pin()
        .insert(request.request_id.clone(), cancel.clone());
    let completion = Completion {
        request_id: request.request_id,
        seed,
        position: request.resume.len() as u32,
        max_tokens: request.max_tokens,
        uncached: uncached as u32,
        priority: request.priority,
        cancel,
        slot: None,
        is_done: false,
        state,
    };
    let events = stream::unfold(completion, |mut completion| async move {
        let event = completion.next().await?;
        Some((Ok::<Event, Infallible>(event), completion))
    });
    Sse::new(SyncStream::new(events)).into_response()
}

impl Completion {
    async fn next(&mut self) -> Option<Event> {
        if self.is_done {
            return None;
        }
        let cancel = self.cancel.clone();
        tokio::select! {
            event = self.produce() => Some(event),
            () = cancel.cancelled() => {
                self.state.counters.cancelled.fetch_add(1, Ordering::Relaxed);
                self.slot = None;
                None
            }
        }
    }

    async fn produce(&mut self) -> Event {
        if self.slot.is_none() {
            self.slot = Some(self.state.slots.take(self.priority).await);
            tokio::time::sleep(self.state.options.prefill_per_token * self.uncached).await;
        }
        wait_while_hanging(&self.state).await;
        if self.position >= self.max_tokens {
            self.is_done = true;
            self.slot = None;
            return Event::new().event(END_EVENT).data("length");
        }
        tokio::time::sleep(self.state.token_gap()).await;
        wait_while_hanging(&self.state).await;
        let token = EngineToken {
            position: self.position,
            text: self.seed.token(self.position),
        };
        self.state.stamps.note(self.seed, self.position);
        self.position += 1;
        self.state.counters.decode.fetch_add(1, Ordering::Relaxed);
        Event::new()
            .event(TOKEN_EVENT)
            .data(serde_json::to_string(&token).expect("wire types are plain data"))
    }
}

impl EngineState {
    fn token_gap(&self) -> Duration {
        let gap = self.options.token_gap;
        match self.slow_milli.load(Ordering::Relaxed) {
            0 => gap,
            factor => gap * u32::try_from(factor).unwrap_or(u32::MAX) / 1_000,
        }
    }
}

/// Time between two looks at whether a hang is over.
const HANG_POLL: Duration = Duration::from_millis(20);

async fn wait_while_hanging(state: &EngineState) {
    while state.hang.load(Ordering::Relaxed) {
        tokio::time::sleep(HANG_POLL).await;
    }
}

async fn cancel(
    Extension(state): Extension<Arc<EngineState>>,
    Json(cancel): Json<EngineCancel>,
) -> StatusCode {
    wait_while_hanging(&state).await;
    match state.cancels.pin().get(&cancel.request_id) {
        Some(token) => {
            token.cancel();
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn report_load(Extension(state): Extension<Arc<EngineState>>) -> Response {
    wait_while_hanging(&state).await;
    let (running, waiting) = state.slots.counts();
    let fresh = EngineLoad {
        running,
        waiting,
        slots: state.options.slots,
        loaded: lock(&state.loaded).clone(),
    };
    let now = Instant::now();
    let mut load = lock(&state.load);
    load.push_back((now, fresh.clone()));
    while load.len() > 1 && now.duration_since(load[1].0) >= state.options.load_lag {
        load.pop_front();
    }
    let reported = load.front().map_or(fresh, |(_, report)| report.clone());
    Json(reported).into_response()
}

async fn obey(
    Extension(state): Extension<Arc<EngineState>>,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    wait_while_hanging(&state).await;
    let highest = state
        .highest_fencing
        .fetch_max(order.fencing, Ordering::Relaxed);
    let is_stale = order.fencing < highest;
    if is_stale && state.options.checks_fencing {
        state
            .counters
            .refused_orders
            .fetch_add(1, Ordering::Relaxed);
        return StatusCode::CONFLICT;
    }
    if is_stale {
        state.counters.stale_orders.fetch_add(1, Ordering::Relaxed);
    }
    state.counters.orders.fetch_add(1, Ordering::Relaxed);
    let mut loaded = lock(&state.loaded);
    let same = |one: &PinMessage, other: &PinMessage| {
        one.model == other.model && one.adapter == other.adapter && one.version == other.version
    };
    match order.kind {
        OrderKind::Load { pin } => {
            if !loaded.iter().any(|held| same(held, &pin)) {
                loaded.push(pin);
            }
        }
        OrderKind::Unload { pin } => loaded.retain(|held| !same(held, &pin)),
        OrderKind::ChangeRole { .. } => {}
    }
    StatusCode::OK
}

async fn show_counts(Extension(state): Extension<Arc<EngineState>>) -> Response {
    let counters = &state.counters;
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    Json(EngineCounts {
        prefill: read(&counters.prefill),
        cached: read(&counters.cached),
        decode: read(&counters.decode),
        requests: read(&counters.requests),
        cancelled: read(&counters.cancelled),
        foreign_resumes: read(&counters.foreign_resumes),
        orders: read(&counters.orders),
        stale_orders: read(&counters.stale_orders),
        refused_orders: read(&counters.refused_orders),
    })
    .into_response()
}

async fn show_stamps(Extension(state): Extension<Arc<EngineState>>) -> Response {
    Json(state.stamps.all()).into_response()
}

async fn set_faults(
    Extension(state): Extension<Arc<EngineState>>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    state.hang.store(faults.hang, Ordering::Relaxed);
    state.slow_milli.store(faults.slow_milli, Ordering::Relaxed);
    StatusCode::OK
}
