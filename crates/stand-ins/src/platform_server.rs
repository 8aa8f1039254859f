//! The platform: table, objects, weights and a lagging list of VMs.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::Bound,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use volo::context::Context;
use volo_http::{
    context::ServerContext,
    error::BoxError,
    response::Response,
    server::{
        IntoResponse, Router,
        extract::Json,
        middleware::map_response,
        param::PathParams,
        route::{get, post},
    },
    utils::Extension,
};
use wire::{
    table::{
        ConditionMessage, ReadMessage, RowMessage, RowsReply, ScanMessage, TransactMessage,
        TransactReply, WriteMessage,
    },
    vm::VmListMessage,
};

use crate::front::serve;

/// How the platform behaves.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time that a write takes.
    pub write_time: Duration,
    /// Transactions a second at most.
    pub writes_per_second: u32,
    /// Age of the list of VMs that is given out.
    pub vm_lag: Duration,
    /// Weights given out a second at most.
    pub weights_per_second: u32,
}

/// Faults, set by `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformFaults {
    /// Refuse everything.
    #[serde(default)]
    pub down: bool,
    /// Added to every answer, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Transactions whose answer is held back after they were applied.
    #[serde(default)]
    pub lose_answers: u64,
}

impl PlatformFaults {
    /// Everything is refused.
    pub fn down() -> Self {
        Self {
            down: true,
            ..Self::default()
        }
    }

    /// Every answer comes later.
    pub fn slow(slow_ms: u64) -> Self {
        Self {
            slow_ms,
            ..Self::default()
        }
    }

    /// The answers of so many transactions are lost.
    pub fn losing(lose_answers: u64) -> Self {
        Self {
            lose_answers,
            ..Self::default()
        }
    }
}

/// What the platform did, read by `GET /control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct PlatformCounts {
    /// Transactions applied.
    pub transactions: u64,
    /// Rows written.
    pub rows: u64,
    /// Requests that read the table.
    pub reads: u64,
    /// Transactions whose conditions failed.
    pub conflicts: u64,
    /// Requests refused while down or over the limit.
    pub refused: u64,
    /// Times that the list of VMs was read.
    pub vm_lists: u64,
    /// Objects read or written.
    pub objects: u64,
    /// Weights given out.
    pub weights: u64,
}

#[derive(Clone, Debug)]
struct StoredRow {
    version: u64,
    value: String,
}

#[derive(Default)]
struct PlatformCounters {
    transactions: AtomicU64,
    rows: AtomicU64,
    reads: AtomicU64,
    conflicts: AtomicU64,
    refused: AtomicU64,
    vm_lists: AtomicU64,
    objects: AtomicU64,
    weights: AtomicU64,
}

/// Contents to come back from.
#[derive(Clone)]
struct PlatformCopy {
    table: BTreeMap<String, StoredRow>,
    objects: BTreeMap<String, String>,
}

struct PlatformState {
    options: PlatformOptions,
    copy: Mutex<Option<PlatformCopy>>,
    /// Times that the platform came back from a copy.
    restores: AtomicU64,
    table: Mutex<BTreeMap<String, StoredRow>>,
    objects: Mutex<BTreeMap<String, String>>,
    vms: Mutex<VecDeque<(Instant, VmListMessage)>>,
    faults: Mutex<PlatformFaults>,
    next_write: Mutex<Instant>,
    next_weight: Mutex<Instant>,
    counters: PlatformCounters,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Time that a held-back answer is held for.
const HELD_BACK: Duration = Duration::from_secs(3_600);

type SharedState = Extension<Arc<PlatformState>>;

/// Run the platform until the process is stopped.
pub async fn run_platform(options: PlatformOptions) -> Result<(), BoxError> {
    let listen = options.listen;
    let now = Instant::now();
    let state = Arc::new(PlatformState {
        options,
        copy: Mutex::default(),
        restores: AtomicU64::new(0),
        table: Mutex::default(),
        objects: Mutex::default(),
        vms: Mutex::default(),
        faults: Mutex::default(),
        next_write: Mutex::new(now),
        next_weight: Mutex::new(now),
        counters: PlatformCounters::default(),
    });
    let router = Router::new()
        .route("/v1/table/read", post(read))
        .route("/v1/table/scan", post(scan))
        .route("/v1/table/transact", post(transact))
        .route("/v1/objects/{*key}", get(get_object).put(put_object))
        .route("/v1/weights/{model}", get(get_weights))
        .route("/v1/vms", get(list_vms).put(set_vms))
        .route("/control", get(show_counts).post(set_faults))
        .route("/control/copy", post(keep_copy))
        .route("/control/restore", post(restore_copy))
        .layer(map_response(name_era))
        .layer(Extension(state));
    serve(router, listen).await
}

/// Names the era in an answer.
async fn name_era(context: &mut ServerContext, mut response: Response) -> Response {
    if let Some(state) = context.extensions().get::<Arc<PlatformState>>() {
        let era = state.restores.load(Ordering::Relaxed) + 1;
        let headers = response.headers_mut();
        headers.insert("store-era", HeaderValue::from(era));
    }
    response
}

/// Wait as long as the platform is slow; whether it answers at all.
async fn is_up(state: &PlatformState) -> bool {
    let faults = lock(&state.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        count(&state.counters.refused);
    }
    !faults.down
}

fn down() -> Response {
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

async fn read(Extension(state): SharedState, Json(read): Json<ReadMessage>) -> Response {
    if !is_up(&state).await {
        return down();
    }
    count(&state.counters.reads);
    let table = lock(&state.table);
    let rows = read
        .keys
        .iter()
        .filter_map(|key| table.get(key).map(|row| row_message(key, row)))
        .collect();
    Json(RowsReply { rows }).into_response()
}

async fn scan(Extension(state): SharedState, Json(scan): Json<ScanMessage>) -> Response {
    if !is_up(&state).await {
        return down();
    }
    count(&state.counters.reads);
    let table = lock(&state.table);
    let start = if scan.after > scan.prefix {
        Bound::Excluded(scan.after.clone())
    } else {
        Bound::Included(scan.prefix.clone())
    };
    let rows = table
        .range((start, Bound::Unbounded))
        .take_while(|(key, _)| key.starts_with(&scan.prefix))
        .take(scan.limit)
        .map(|(key, row)| row_message(key, row))
        .collect();
    Json(RowsReply { rows }).into_response()
}

fn row_message(key: &str, row: &StoredRow) -> RowMessage {
    RowMessage {
        key: key.to_owned(),
        version: row.version,
        value: row.value.clone(),
    }
}

async fn transact(
    Extension(state): SharedState,
    Json(transaction): Json<TransactMessage>,
) -> Response {
    if !is_up(&state).await {
        return down();
    }
    wait_for_turn(&state.next_write, state.options.writes_per_second).await;
    tokio::time::sleep(state.options.write_time).await;
    let failed = apply(&mut lock(&state.table), &transaction.writes);
    if failed.is_empty() {
        count(&state.counters.transactions);
        let rows = transaction.writes.len() as u64;
        state.counters.rows.fetch_add(rows, Ordering::Relaxed);
    } else {
        count(&state.counters.conflicts);
    }
    let is_lost = {
        let mut faults = lock(&state.faults);
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    };
    if is_lost {
        tokio::time::sleep(HELD_BACK).await;
    }
    Json(TransactReply { failed }).into_response()
}

/// Apply all writes, or none; returns the indices whose condition failed.
fn apply(table: &mut BTreeMap<String, StoredRow>, writes: &[WriteMessage]) -> Vec<usize> {
    let failed: Vec<usize> = (0..writes.len())
        .filter(|&at| !holds(table.get(&writes[at].key), writes[at].condition))
        .collect();
    if !failed.is_empty() {
        return failed;
    }
    for write in writes {
        let version = table.get(&write.key).map_or(1, |row| row.version + 1);
        match &write.value {
            Some(value) => {
                let value = value.clone();
                table.insert(write.key.clone(), StoredRow { version, value });
            }
            None => {
                table.remove(&write.key);
            }
        }
    }
    failed
}

fn holds(row: Option<&StoredRow>, condition: ConditionMessage) -> bool {
    match condition {
        ConditionMessage::Absent => row.is_none(),
        ConditionMessage::Version(version) => row.is_some_and(|row| row.version == version),
        ConditionMessage::Always => true,
    }
}

/// Wait until the rate limit lets the next one through.
async fn wait_for_turn(next: &Mutex<Instant>, per_second: u32) {
    let turn = {
        let mut next = lock(next);
        let turn = (*next).max(Instant::now());
        *next = turn + Duration::from_secs(1) / per_second.max(1);
        turn
    };
    tokio::time::sleep_until(turn).await;
}

async fn get_object(
    PathParams(key): PathParams<String>,
    Extension(state): SharedState,
) -> Response {
    if !is_up(&state).await {
        return down();
    }
    count(&state.counters.objects);
    match lock(&state.objects).get(&key) {
        Some(value) => value.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_object(
    PathParams(key): PathParams<String>,
    Extension(state): SharedState,
    value: String,
) -> Response {
    if !is_up(&state).await {
        return down();
    }
    count(&state.counters.objects);
    lock(&state.objects).insert(key, value);
    StatusCode::OK.into_response()
}

async fn get_weights(
    PathParams(model): PathParams<String>,
    Extension(state): SharedState,
) -> Response {
    if !is_up(&state).await {
        return down();
    }
    let is_over = {
        let mut next = lock(&state.next_weight);
        let now = Instant::now();
        let is_over = *next > now;
        if !is_over {
            *next = now + Duration::from_secs(1) / state.options.weights_per_second.max(1);
        }
        is_over
    };
    if is_over {
        count(&state.counters.refused);
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    count(&state.counters.weights);
    format!("weights of {model}").into_response()
}

async fn list_vms(Extension(state): SharedState) -> Response {
    if !is_up(&state).await {
        return down();
    }
    count(&state.counters.vm_lists);
    let now = Instant::now();
    let mut vms = lock(&state.vms);
    while vms.len() > 1 && now.duration_since(vms[1].0) >= state.options.vm_lag {
        vms.pop_front();
    }
    let list = vms.front().map(|(_, list)| list.clone());
    Json(list.unwrap_or_default()).into_response()
}

async fn set_vms(Extension(state): SharedState, Json(list): Json<VmListMessage>) -> StatusCode {
    lock(&state.vms).push_back((Instant::now(), list));
    StatusCode::OK
}

async fn show_counts(Extension(state): SharedState) -> Response {
    let counters = &state.counters;
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    Json(PlatformCounts {
        transactions: read(&counters.transactions),
        rows: read(&counters.rows),
        reads: read(&counters.reads),
        conflicts: read(&counters.conflicts),
        refused: read(&counters.refused),
        vm_lists: read(&counters.vm_lists),
        objects: read(&counters.objects),
        weights: read(&counters.weights),
    })
    .into_response()
}

async fn set_faults(
    Extension(state): SharedState,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    *lock(&state.faults) = faults;
    StatusCode::OK
}

/// Copies the contents for a later return.
async fn keep_copy(Extension(state): SharedState) -> StatusCode {
    let copy = PlatformCopy {
        table: lock(&state.table).clone(),
        objects: lock(&state.objects).clone(),
    };
    *lock(&state.copy) = Some(copy);
    StatusCode::OK
}

/// Comes back from the copy: what was written since is gone, and versions of rows are given
/// out again.
async fn restore_copy(Extension(state): SharedState) -> StatusCode {
    let Some(copy) = lock(&state.copy).clone() else {
        return StatusCode::NOT_FOUND;
    };
    *lock(&state.table) = copy.table;
    *lock(&state.objects) = copy.objects;
    state.restores.fetch_add(1, Ordering::Relaxed);
    StatusCode::OK
}
