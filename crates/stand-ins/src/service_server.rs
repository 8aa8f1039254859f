//! A plain service that records what it ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::{
    error::BoxError,
    request::Request,
    response::Response,
    server::{
        IntoResponse, Router,
        extract::Json,
        param::PathParams,
        route::{get, post},
    },
    utils::Extension,
};
use wire::KEY_HEADER;

use crate::front::serve;

/// Faults, set by `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServiceFaults {
    /// Time that a call takes before it runs, in milliseconds.
    #[serde(default)]
    pub delay_before_ms: u64,
    /// Time between the run and the answer, in milliseconds.
    #[serde(default)]
    pub delay_after_ms: u64,
    /// Answers to hold back for good after the run.
    #[serde(default)]
    pub lose_answers: u64,
}

/// What a service ran, read by `GET /control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServiceCounts {
    /// Runs by key.
    pub runs: BTreeMap<String, u64>,
    /// Runs without a key.
    pub keyless: u64,
}

#[derive(Default)]
struct ServiceState {
    counts: Mutex<ServiceCounts>,
    faults: Mutex<ServiceFaults>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time that a held-back answer is held for.
const HELD_BACK: Duration = Duration::from_secs(3_600);

/// Run a service until the process is stopped.
pub async fn run_service(listen: SocketAddr) -> Result<(), BoxError> {
    let router = Router::new()
        .route("/control", get(show_counts).post(set_faults))
        .route("/v1/journal/{key}", get(show_journal))
        .route("/{operation}", post(run_call))
        .layer(Extension(Arc::new(ServiceState::default())));
    serve(router, listen).await
}

async fn run_call(
    PathParams(operation): PathParams<String>,
    Extension(state): Extension<Arc<ServiceState>>,
    request: Request,
) -> Response {
    let faults = lock(&state.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_before_ms)).await;
    let key = request.headers().get(KEY_HEADER);
    let key = key.and_then(|value| value.to_str().ok()).map(str::to_owned);
    {
        let mut counts = lock(&state.counts);
        match &key {
            Some(key) => *counts.runs.entry(key.clone()).or_default() += 1,
            None => counts.keyless += 1,
        }
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
    tokio::time::sleep(Duration::from_millis(faults.delay_after_ms)).await;
    Json(serde_json::json!({ "operation": operation, "key": key, "done": true })).into_response()
}

async fn show_journal(
    PathParams(key): PathParams<String>,
    Extension(state): Extension<Arc<ServiceState>>,
) -> StatusCode {
    if lock(&state.counts).runs.contains_key(&key) {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    }
}

async fn show_counts(Extension(state): Extension<Arc<ServiceState>>) -> Response {
    Json(lock(&state.counts).clone()).into_response()
}

async fn set_faults(
    Extension(state): Extension<Arc<ServiceState>>,
    Json(faults): Json<ServiceFaults>,
) -> StatusCode {
    *lock(&state.faults) = faults;
    StatusCode::OK
}
