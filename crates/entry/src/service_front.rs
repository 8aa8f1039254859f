//! Calls to plain services.

use std::{sync::Arc, time::Duration};

use domain::{WorkClass, service_call::CallState};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use platform::TableStore;
use volo_http::{body::Body, response::Response};
use wire::{
    KEY_HEADER,
    service_call::{CallMessage, CallReply, RecordMessage},
};

use crate::{EntryState, call_router::route_call, problem_reply::ProblemReply};

/// Time that a call has when the caller says nothing.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(2);

/// Longest key, in bytes.
const KEY_MAX: usize = 200;

/// Header that says which outcome an answer is.
const OUTCOME_HEADER: &str = "x-outcome";

/// Have a call run.
pub async fn serve_call<P: Send + Sync + 'static>(
    state: &Arc<EntryState<P>>,
    team: &str,
    path: (&str, &str),
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response, ProblemReply> {
    let (service, operation) = path;
    let route = state
        .settings
        .services
        .iter()
        .find(|route| route.service.as_str() == service)
        .ok_or_else(|| ProblemReply::field("service", format!("no service `{service}`")))?;
    let key = request_key(headers)?;
    let is_repeatable = route.repeatable.iter().any(|name| name == operation);
    if key.is_none() && !is_repeatable {
        return Err(ProblemReply::field(
            "Idempotency-Key",
            format!("operation `{operation}` may not be repeated and needs a key"),
        ));
    }
    let body =
        std::str::from_utf8(body).map_err(|_| ProblemReply::field("body", "must be UTF-8 text"))?;
    let _permit = state.gate.admit(WorkClass::Short)?;
    state.metrics.requests.with_label_values(&["short"]).inc();
    let call = CallMessage {
        team: team.to_owned(),
        key: key.map(str::to_owned),
        operation: operation.to_owned(),
        body: body.to_owned(),
        deadline_ms: u64::try_from(DEADLINE_DEFAULT.as_millis()).unwrap_or(u64::MAX),
    };
    respond(state, route_call(state, &route.pool, &call).await)
}

/// Tell what is recorded of a call.
pub async fn show_request<P: TableStore>(
    state: &Arc<EntryState<P>>,
    team: &str,
    key: &str,
) -> Result<Response, ProblemReply> {
    let row_key = format!("call/{team}/{key}");
    let rows = state.platform.read(&[&row_key]).await.map_err(|error| {
        ProblemReply::with_outcome(
            StatusCode::SERVICE_UNAVAILABLE,
            "store-unavailable",
            error.to_string(),
            "unknown",
        )
        .retry_after(DEADLINE_DEFAULT)
    })?;
    let Some(row) = rows.first() else {
        return Err(ProblemReply::refused(
            StatusCode::NOT_FOUND,
            "unknown-request",
            format!("nothing is recorded under the key `{key}`"),
        ));
    };
    let record = serde_json::from_str::<RecordMessage>(&row.value)
        .ok()
        .and_then(|message| domain::service_call::CallRecord::try_from(message).ok());
    let reply = match record.map(|record| record.state) {
        Some(CallState::Ran { status, answer }) => CallReply::Ran { status, answer },
        Some(CallState::NotRun) => CallReply::NotRun {
            reason: "recorded as not run".to_owned(),
        },
        Some(CallState::Intended) => CallReply::InFlight,
        Some(CallState::Unknown) | None => CallReply::Unknown {
            reason: "the outcome is not settled yet".to_owned(),
        },
    };
    respond(state, reply)
}

/// Idempotency key of a request, if it has one.
pub fn request_key(headers: &HeaderMap) -> Result<Option<&str>, ProblemReply> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok();
    match key.filter(|key| !key.is_empty() && key.len() <= KEY_MAX && !key.contains('/')) {
        Some(key) => Ok(Some(key)),
        None => Err(ProblemReply::field(
            "Idempotency-Key",
            format!("must be 1 to {KEY_MAX} visible characters without a slash"),
        )),
    }
}

fn respond<P>(state: &EntryState<P>, reply: CallReply) -> Result<Response, ProblemReply> {
    let count = |outcome: &str| state.metrics.calls.with_label_values(&[outcome]).inc();
    match reply {
        CallReply::Ran { status, answer } => {
            count("ran");
            Ok(ran(status, answer))
        }
        CallReply::NotRun { reason } => {
            count("not_run");
            Err(
                ProblemReply::refused(StatusCode::SERVICE_UNAVAILABLE, "not-run", reason)
                    .retry_after(DEADLINE_DEFAULT),
            )
        }
        CallReply::Unknown { reason } => {
            count("unknown");
            Err(ProblemReply::with_outcome(
                StatusCode::GATEWAY_TIMEOUT,
                "unknown-outcome",
                reason,
                "unknown",
            ))
        }
        CallReply::OtherBody => {
            count("other_body");
            Err(ProblemReply::refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                "key-reused",
                "the key is bound to another body",
            ))
        }
        CallReply::InFlight => {
            count("in_flight");
            Err(ProblemReply::with_outcome(
                StatusCode::CONFLICT,
                "in-flight",
                "a call with the key is under way",
                "unknown",
            ))
        }
    }
}

fn ran(status: u16, answer: String) -> Response {
    let mut response = Response::new(Body::from(answer));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
