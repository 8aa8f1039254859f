//! Connections and requests of callers.

use std::{
    convert::Infallible,
    panic::AssertUnwindSafe,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use domain::{
    desired_state::{CallerLimits, RouteDecision, RouteQuery},
    entry_drain::{DrainPhase, EntryDrain},
    kv_placement::ServiceOutlook,
    retry_advice::RefusedRequest,
    run_evidence::SendLedger,
};
use futures_util::FutureExt;
use http::{HeaderValue, Request, header, request::Parts, uri::PathAndQuery};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::{caller_request::CallerHeaders, server_request::forwarded_headers};
use rand::Rng;
use settings::FrontSettings;
use telemetry::StopSignal;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{
    call_run::{entry_reply, run_call},
    caller_body::read_body,
    caller_socket::CallerSocket,
    connection_keeper::{ConnectionPlace, TrackedBody},
    front_state::FrontState,
    http_server::{accept, bind},
    reply::{CallerReply, ReplyReason, problem_reply, refusal_reply},
    routed_request::RoutedRequest,
    stream_run::run_stream,
};

/// Minimum size in bytes of the buffer for a request's head that `hyper` accepts.
const HEAD_BUFFER_BYTES_MIN: usize = 8_192;
/// Timeout of a request that does not state one.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
/// Remaining time assumed for a caller that is refused before its request is admitted:
/// the shortest timeout that callers at the users' sites have.
const REMAINING_DEFAULT: Duration = Duration::from_millis(600);
/// Time between two checks whether all connections are closed.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time without a new connection after which a drained process exits. Callers that
/// the load balancer still sends here are answered until then.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time that a connection without a request has for its first one when the entry
/// closes connections.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Part of the grace period after which the process exits even if connections are
/// open, in percent.
const EXIT_PERCENT: u32 = 95;

/// Listener for callers. It is bound before anything else starts: callers reconnect
/// within half a second after their entry crashed, and do not retry when the
/// connection is refused.
pub struct CallerListener(TcpListener);

impl CallerListener {
    /// Binds the listener; connections queue in its backlog until they are served.
    pub async fn bind(settings: &FrontSettings) -> miette::Result<Self> {
        bind(settings.listen).await.map(Self)
    }
}

/// Serves callers until the process has drained.
pub async fn serve_callers(
    state: Arc<FrontState>,
    listener: CallerListener,
    mut stop: StopSignal,
) -> miette::Result<()> {
    let accepting = tokio::spawn(accept_callers(Arc::clone(&state), listener.0));
    stop.stopped().await;
    let stopped_at = Instant::now();
    let times = state.drain_times();
    state.drain.start(EntryDrain { stopped_at, times });
    log::info!(connections = state.connections.load(Relaxed); "drain");
    let exit_at = stopped_at + times.grace * EXIT_PERCENT / 100;
    let mut accepted = state.accepted.load(Relaxed);
    let mut quiet_since = stopped_at;
    loop {
        let now = Instant::now();
        let accepted_now = state.accepted.load(Relaxed);
        if accepted_now != accepted {
            accepted = accepted_now;
            quiet_since = now;
        }
        let closing = state.phase(now) >= DrainPhase::Closing;
        let quiet = now.duration_since(quiet_since) >= QUIET_TIME;
        if now >= exit_at || (closing && quiet && state.connections.load(Relaxed) == 0) {
            break;
        }
        sleep(DRAIN_CHECK_PERIOD).await;
    }
    accepting.abort();
    Ok(())
}

async fn accept_callers(state: Arc<FrontState>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let Some(place) = state.ingress.callers.admit().await else {
            continue;
        };
        // Counted before the task first runs, so that a drain does not miss it.
        let guard = ConnectionGuard::new(Arc::clone(&state));
        tokio::spawn(serve_connection(guard, place, stream));
    }
}

/// Mark of a reply to a request whose body may not have been read to its end.
#[derive(Clone, Copy, Debug)]
struct UnreadBody;

/// Guard that counts a connection while it is open.
struct ConnectionGuard(Arc<FrontState>);

impl ConnectionGuard {
    fn new(state: Arc<FrontState>) -> Self {
        state.accepted.fetch_add(1, Relaxed);
        state.connections.fetch_add(1, Relaxed);
        state.metrics.open_connections.inc();
        Self(state)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Relaxed);
        self.0.metrics.open_connections.dec();
    }
}

async fn serve_connection(guard: ConnectionGuard, place: ConnectionPlace, stream: TcpStream) {
    let state = &guard.0;
    let limits = caller_limits(state);
    let first_request = Notify::new();
    let service = service_fn(|request| {
        first_request.notify_one();
        let (state, open) = (Arc::clone(state), Arc::clone(place.connection()));
        async move {
            let guard = open.begin_request();
            let reply = serve_or_report(state, request).await;
            if reply.extensions().get::<UnreadBody>().is_some() {
                open.mark_unread_body();
            }
            Ok::<_, Infallible>(reply.map(|body| TrackedBody::new(body, guard)))
        }
    });
    let socket = CallerSocket::new(stream, Arc::clone(place.connection()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes_max.max(HEAD_BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let closing = async {
        state.drain.wait_phase(DrainPhase::Closing).await;
        // The first request may be on its way. Hyper would close the connection
        // without reading it.
        let _ = timeout(FIRST_REQUEST_TIMEOUT, first_request.notified()).await;
    };
    let serving = async {
        tokio::select! {
            served = connection.as_mut() => served,
            () = closing => {
                // Requests in flight are completed before the connection is closed.
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let served = tokio::select! {
        biased;
        () = place.wait_close() => return,
        served = serving => served,
    };
    if let Err(error) = served {
        log::debug!(error:%; "caller connection closed with an error");
    }
}

fn caller_limits(state: &FrontState) -> CallerLimits {
    let desired = state.desired.load();
    desired
        .as_ref()
        .map_or_else(CallerLimits::default, |desired| desired.limits())
}

/// Serves a request. A panic is reported to its caller and ends neither the
/// connection nor the process.
async fn serve_or_report(state: Arc<FrontState>, request: Request<Incoming>) -> CallerReply {
    let served = AssertUnwindSafe(serve_request(Arc::clone(&state), request)).catch_unwind();
    match served.await {
        Ok(reply) => reply,
        Err(_) => local_reply(&state, ReplyReason::OutcomeUnknown, ""),
    }
}

async fn serve_request(state: Arc<FrontState>, request: Request<Incoming>) -> CallerReply {
    let received = Instant::now();
    let has_body = !request.body().is_end_stream();
    let mut reply = match admit(&state, request, received).await {
        Ok(task) if task.route.kind.is_stream() => run_stream(Arc::clone(&state), task).await,
        Ok(task) => run_call_until_cut(&state, &task).await,
        Err(mut reply) => {
            if has_body {
                reply.extensions_mut().insert(UnreadBody);
            }
            *reply
        }
    };
    // The signal may have come while the request was served.
    if state.phase(Instant::now()) >= DrainPhase::Leaving {
        reply
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Runs a call until the drain, if there is one, cuts it off. Its caller then gets an
/// answer while the process still runs.
async fn run_call_until_cut(state: &Arc<FrontState>, request: &RoutedRequest) -> CallerReply {
    tokio::select! {
        biased;
        reply = run_call(state, request) => reply,
        () = state.drain.wait_phase(DrainPhase::Cutting) => {
            entry_reply(state, request, ReplyReason::Closing)
        }
    }
}

/// Checks a request against the desired state and reads its body.
async fn admit(
    state: &FrontState,
    request: Request<Incoming>,
    received: Instant,
) -> Result<RoutedRequest, Box<CallerReply>> {
    let (parts, body) = request.into_parts();
    let reject = |reason, id: &str| Box::new(local_reply(state, reason, id));
    let Ok(decoded) = CallerHeaders::decode(&parts.uri, &parts.headers) else {
        return Err(reject(ReplyReason::Malformed, ""));
    };
    let id = decoded.id.clone();
    let Some(desired) = state.desired.load_full() else {
        return Err(reject(ReplyReason::StateUnsure, id.as_str()));
    };
    let decision = desired.authorize(RouteQuery {
        host: decoded.host,
        path: parts.uri.path(),
        key: decoded.key,
    });
    let (route, team, urgency) = match decision {
        RouteDecision::Allowed {
            route,
            team,
            urgency,
        } => (route, team, urgency),
        RouteDecision::NoRoute => {
            return Err(reject(
                denial_reason(state, ReplyReason::NoRoute),
                id.as_str(),
            ));
        }
        RouteDecision::UnknownKey => {
            return Err(reject(
                denial_reason(state, ReplyReason::UnknownKey),
                id.as_str(),
            ));
        }
    };
    let timeout = decoded
        .timeout
        .unwrap_or(TIMEOUT_DEFAULT)
        .min(route.timeout);
    let deadline = received + timeout;
    let is_admitted = |now: Instant| {
        let needed = deadline.saturating_duration_since(now);
        state.drain.admits(now, route.kind, needed)
    };
    let refuse = |now: Instant| {
        let refused = RefusedRequest {
            is_stream: route.kind.is_stream(),
            remaining: deadline.saturating_duration_since(now),
            outlook: drain_outlook(state, now),
            class: None,
        };
        record_local_reply(state, ReplyReason::Closing, id.as_str());
        Box::new(refusal_reply(ReplyReason::Closing, refused))
    };
    if !is_admitted(received) {
        return Err(refuse(received));
    }
    let Some(service) = route.pick_target(rand::rng().random()).cloned() else {
        return Err(reject(ReplyReason::NoServer, id.as_str()));
    };
    let (tokens, length_hint, prompt, shared_parts, position) = (
        decoded.token_counts,
        decoded.length_hint,
        decoded.last_prompt_part,
        decoded.shared_parts.into(),
        decoded.position,
    );
    let read = tokio::select! {
        read = read_body(&state.ingress, desired.limits(), deadline, body) => read,
        () = state.drain.wait_phase(DrainPhase::Cutting) => Err(ReplyReason::Closing),
    };
    let body = match read {
        Ok(body) => body,
        Err(reason) => return Err(reject(reason, id.as_str())),
    };
    // The body may have taken long.
    let now = Instant::now();
    if !is_admitted(now) {
        return Err(refuse(now));
    }
    Ok(RoutedRequest {
        id,
        path: origin_form(&parts),
        headers: forwarded_headers(&parts.headers),
        method: parts.method,
        body,
        urgency,
        class: desired.urgency_class(&service, urgency),
        service,
        team,
        tokens,
        length_hint,
        prompt,
        shared_parts,
        position,
        received,
        deadline,
        sends: SendLedger::new(route.attempts, route.kind),
        route,
    })
}

fn origin_form(parts: &Parts) -> PathAndQuery {
    parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"))
}

/// Returns the reason for refusing a request that the known desired state does not
/// allow. The request is denied permanently only if this version was confirmed
/// recently; otherwise a newer one may allow it.
fn denial_reason(state: &FrontState, reason: ReplyReason) -> ReplyReason {
    if state.freshness().may_deny(Instant::now()) {
        reason
    } else {
        ReplyReason::StateUnsure
    }
}

/// Counts and logs a request that the entry answers itself, and creates the reply.
fn local_reply(state: &FrontState, reason: ReplyReason, id: &str) -> CallerReply {
    record_local_reply(state, reason, id);
    match reason {
        ReplyReason::StateUnsure
        | ReplyReason::Closing
        | ReplyReason::NoServer
        | ReplyReason::NoMemory => {
            let refused = RefusedRequest {
                is_stream: false,
                remaining: REMAINING_DEFAULT,
                outlook: ServiceOutlook::Open,
                class: None,
            };
            refusal_reply(reason, refused)
        }
        _ => problem_reply(reason),
    }
}

fn record_local_reply(state: &FrontState, reason: ReplyReason, id: &str) {
    let label = reason.to_string();
    state.metrics.refusals.with_label_values(&[&label]).inc();
    log::info!(request = id, reason = label.as_str(); "answered by the entry");
}

/// When a caller that is refused because of the drain should come back: the load balancer
/// may still send it here until the entry closes.
fn drain_outlook(state: &FrontState, now: Instant) -> ServiceOutlook {
    match state.drain.drain() {
        Some(drain) if drain.phase(now) == DrainPhase::Leaving => {
            ServiceOutlook::Paused(drain.start_of(DrainPhase::Closing))
        }
        _ => ServiceOutlook::Open,
    }
}
