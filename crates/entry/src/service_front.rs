//! Calls to plain services.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use backing::{StoreError, TableStore};
use domain::{
    WorkClass,
    service_call::{CallRecord, CallState, KEY_LIFETIME, WallTime},
};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use volo_http::{body::Body, response::Response};
use wire::{
    FIRST_USE_HEADER, KEY_HEADER,
    service_call::{
        CallMessage, CallReply, ListedRequest, RecordMessage, RequestList, call_row,
        listed_request, request_name, unknown_rows,
    },
};

use crate::{EntryState, call_router::route_call, problem_reply::ProblemReply};

/// Time that a call has when the caller says nothing.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(2);

/// Longest key, in bytes.
const KEY_MAX: usize = 200;

/// Requests that one list shows at most.
const LIST_MAX: usize = 1_000;

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
    if key.is_some() && !is_plain(team) {
        return Err(ProblemReply::field(
            "X-Team",
            "must be letters, digits or `-._~:@`",
        ));
    }
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
        sent_at_ms: wall_now().into(),
        is_first: headers
            .get(FIRST_USE_HEADER)
            .is_some_and(|value| value == "true"),
    };
    state.call_retries.record_first_attempt();
    respond(state, route_call(state, &route.pool, &call).await)
}

/// Tell what is recorded of a call.
pub async fn show_request<P: TableStore>(
    state: &Arc<EntryState<P>>,
    team: &str,
    key: &str,
) -> Result<Response, ProblemReply> {
    let row_key = call_row(&request_name(team, key));
    let rows = state.platform.read(&[&row_key]).await;
    let rows = rows.map_err(|error| unreadable(&error))?;
    let Some(row) = rows.first() else {
        return Err(ProblemReply::with_outcome(
            StatusCode::NOT_FOUND,
            "unknown-request",
            format!("nothing is recorded under the key `{key}`"),
            "unknown",
        ));
    };
    let record = serde_json::from_str::<RecordMessage>(&row.value)
        .ok()
        .and_then(|message| CallRecord::try_from(message).ok());
    let Some(record) = record else {
        return respond(state, unsettled("the record cannot be read"));
    };
    let is_expired = !record.state.is_open() && wall_now().since(record.recorded_at) > KEY_LIFETIME;
    if is_expired {
        return respond(state, CallReply::Expired);
    }
    let reply = match record.state {
        CallState::Ran { status, answer } => CallReply::Ran { status, answer },
        CallState::NotRun => CallReply::NotRun {
            reason: "recorded as not run".to_owned(),
        },
        CallState::Intended => CallReply::InFlight,
        CallState::Unknown => unsettled("the outcome is not settled yet"),
    };
    respond(state, reply)
}

/// List a team's requests whose outcome is unknown.
pub async fn list_requests<P: TableStore>(
    state: &Arc<EntryState<P>>,
    team: &str,
) -> Result<RequestList, ProblemReply> {
    let prefix = unknown_rows(Some(team));
    let rows = state.platform.scan(&prefix, "", LIST_MAX).await;
    let rows = rows.map_err(|error| unreadable(&error))?;
    let listed = rows.iter().filter_map(|row| listed_request(&row.key));
    Ok(RequestList {
        requests: listed.filter_map(ListedRequest::unknown).collect(),
    })
}

fn unreadable(error: &StoreError) -> ProblemReply {
    ProblemReply::with_outcome(
        StatusCode::SERVICE_UNAVAILABLE,
        "store-unavailable",
        error.to_string(),
        "unknown",
    )
    .retry_after(DEADLINE_DEFAULT)
}

fn unsettled(reason: &str) -> CallReply {
    CallReply::Unknown {
        reason: reason.to_owned(),
    }
}

fn wall_now() -> WallTime {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = age.unwrap_or_default().as_millis();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Idempotency key of a request, if it has one.
pub fn request_key(headers: &HeaderMap) -> Result<Option<&str>, ProblemReply> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok();
    match key.filter(|key| key.len() <= KEY_MAX && is_plain(key)) {
        Some(key) => Ok(Some(key)),
        None => Err(ProblemReply::field(
            "Idempotency-Key",
            format!("must be 1 to {KEY_MAX} letters, digits or `-._~:@`"),
        )),
    }
}

/// Whether a text can stand in a path and in a row's key as it is.
fn is_plain(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@".contains(&byte);
    !text.is_empty() && text.bytes().all(is_plain)
}

/// Turn what became of a call into an answer.
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
        CallReply::Refused { reason } => {
            count("refused");
            Err(ProblemReply::with_outcome(
                StatusCode::SERVICE_UNAVAILABLE,
                "record-unreadable",
                format!("not dispatched now, an earlier use of the key may have run: {reason}"),
                "unknown",
            )
            .retry_after(DEADLINE_DEFAULT))
        }
        CallReply::Expired => {
            count("expired");
            // That use may have run, so that this is no `not run`.
            Err(ProblemReply::with_outcome(
                StatusCode::GONE,
                "key-expired",
                format!(
                    "not dispatched now; the key is more than {} hours old, and its use then may \
                     have run: use a new one",
                    KEY_LIFETIME.as_secs() / 3_600
                ),
                "unknown",
            ))
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
