//! A plain service that records what it ran.
//!
//! Several servers of a service may share a ledger, as the servers of one
//! database do: a call has run when the ledger has it, whichever server it came
//! through. A server that is killed thus leaves its runs behind.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use exchange::{ExchangeCall, ExchangeClient, ExchangeReply};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::{
    body::Body,
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

impl ServiceFaults {
    /// Every call takes longer before its run.
    pub fn late_run(delay_before_ms: u64) -> Self {
        Self {
            delay_before_ms,
            ..Self::default()
        }
    }

    /// Every answer comes later after the run.
    pub fn late_answer(delay_after_ms: u64) -> Self {
        Self {
            delay_after_ms,
            ..Self::default()
        }
    }

    /// So many answers are lost after the run.
    pub fn losing(lose_answers: u64) -> Self {
        Self {
            lose_answers,
            ..Self::default()
        }
    }
}

/// What a service ran, read by `GET /control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServiceCounts {
    /// Runs by key.
    pub runs: BTreeMap<String, u64>,
    /// Runs without a key.
    pub keyless: u64,
}

struct ServiceState {
    counts: Mutex<ServiceCounts>,
    faults: Mutex<ServiceFaults>,
    ledger: Option<SocketAddr>,
    exchange: ExchangeClient,
}

impl ServiceState {
    fn new(ledger: Option<SocketAddr>) -> Self {
        Self {
            counts: Mutex::default(),
            faults: Mutex::default(),
            ledger,
            exchange: ExchangeClient::pooled(),
        }
    }

    /// Run a call here.
    fn count_run(&self, key: Option<&str>) {
        let mut counts = lock(&self.counts);
        match key {
            Some(key) => *counts.runs.entry(key.to_owned()).or_default() += 1,
            None => counts.keyless += 1,
        }
    }

    fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time that a held-back answer is held for.
const HELD_BACK: Duration = Duration::from_secs(3_600);

/// Run a service until the process is stopped.
pub async fn run_service(listen: SocketAddr, ledger: Option<SocketAddr>) -> Result<(), BoxError> {
    let router = Router::new()
        .route("/control", get(show_counts).post(set_faults))
        .route("/v1/journal/{team}/{key}", get(show_journal))
        .route("/{operation}", post(run_call))
        .layer(Extension(Arc::new(ServiceState::new(ledger))));
    serve(router, listen).await
}

/// Run a call to its end, also when its caller goes away meanwhile.
async fn run_call(
    PathParams(operation): PathParams<String>,
    Extension(state): Extension<Arc<ServiceState>>,
    request: Request,
) -> Response {
    let key = request.headers().get(KEY_HEADER);
    let key = key.and_then(|value| value.to_str().ok()).map(str::to_owned);
    match tokio::spawn(carry_out(state, operation, key)).await {
        Ok(response) => response,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn carry_out(state: Arc<ServiceState>, operation: String, key: Option<String>) -> Response {
    let faults = lock(&state.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_before_ms)).await;
    match state.ledger {
        None => state.count_run(key.as_deref()),
        Some(ledger) => {
            if !run_at_ledger(&state.exchange, ledger, &operation, key.as_deref()).await {
                return StatusCode::BAD_GATEWAY.into_response();
            }
        }
    }
    if state.take_lost_answer() {
        tokio::time::sleep(HELD_BACK).await;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_after_ms)).await;
    Json(serde_json::json!({ "operation": operation, "key": key, "done": true })).into_response()
}

async fn run_at_ledger(
    exchange: &ExchangeClient,
    ledger: SocketAddr,
    operation: &str,
    key: Option<&str>,
) -> bool {
    let path = format!("/{operation}");
    let mut call = ExchangeCall::post(ledger, &path);
    if let Some(key) = key {
        call = call.header(KEY_HEADER, key);
    }
    exchange.send(call).await.is_ok()
}

async fn show_journal(
    PathParams((team, key)): PathParams<(String, String)>,
    Extension(state): Extension<Arc<ServiceState>>,
) -> Response {
    if let Some(ledger) = state.ledger {
        let path = format!("/v1/journal/{team}/{key}");
        return match state.exchange.send(ExchangeCall::get(ledger, &path)).await {
            Ok(ExchangeReply { status, body, .. }) => {
                let mut response = Response::new(Body::from(body));
                *response.status_mut() = status;
                response
            }
            Err(_) => StatusCode::BAD_GATEWAY.into_response(),
        };
    }
    let key = format!("{team}/{key}");
    if lock(&state.counts).runs.contains_key(&key) {
        Json(serde_json::json!({ "key": key, "done": true })).into_response()
    } else {
        StatusCode::NOT_FOUND.into_response()
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
