//! Connections of callers.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::Bytes;
use domain::{
    desired_state::{CallerLimits, DesiredState, RouteDecision, RouteQuery},
    entry_drain::DrainPhase,
};
use http::{HeaderValue, Request, header, request::Parts, uri::PathAndQuery};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::{caller_request::CallerHeaders, worker_request::forwarded_headers};
use rand::Rng;
use settings::FrontSettings;
use telemetry::StopSignal;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use crate::{
    call_run::run_call,
    call_task::CallTask,
    front_state::FrontState,
    http_server::{accept, bind},
    reply::{CallerReply, ReplyReason, problem_reply, refusal_reply},
    stream_run::run_stream,
};

/// Least size of the buffer that holds a request's head, which the library asks.
const HEAD_BUFFER_MIN: usize = 8_192;
/// Time that a caller waits where it does not say.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(30);
/// Time that a caller is taken to have left where its request was not decoded:
/// the shortest of today's time limits.
const REFUSED_LEFT: Duration = Duration::from_millis(600);
/// Pause between two looks whether all connections have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(100);
/// Part of the grace time after which the process ends whatever is open, in
/// percent.
const END_PERCENT: u32 = 95;

/// Listener for callers, made before all else: those whose entry died come back
/// within half a second, and a connection that is refused is not tried again.
pub struct CallerListener(TcpListener);

impl CallerListener {
    /// Listen; connections wait until they are served.
    pub async fn bind(settings: &FrontSettings) -> miette::Result<Self> {
        bind(settings.listen).await.map(Self)
    }
}

/// Serve callers until the process has drained.
pub async fn serve_callers(
    state: Arc<FrontState>,
    listener: CallerListener,
    mut stop: StopSignal,
) -> miette::Result<()> {
    tokio::spawn(accept_callers(Arc::clone(&state), listener.0));
    stop.stopped().await;
    let ordered = Instant::now();
    state.drain.start(ordered);
    log::info!(connections = state.connections.load(Relaxed); "drain");
    let times = state.drain_times();
    let end = ordered + times.grace * END_PERCENT / 100;
    while Instant::now() < end {
        let now = Instant::now();
        let closing = state.phase(now) >= DrainPhase::Closing;
        if closing && state.connections.load(Relaxed) == 0 {
            break;
        }
        sleep(DRAIN_LOOK).await;
    }
    Ok(())
}

async fn accept_callers(state: Arc<FrontState>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(serve_connection(Arc::clone(&state), stream));
    }
}

/// Counts a connection while it is open.
struct OpenConnection<'a>(&'a FrontState);

impl<'a> OpenConnection<'a> {
    fn new(state: &'a FrontState) -> Self {
        state.connections.fetch_add(1, Relaxed);
        state.metrics.open_connections.inc();
        Self(state)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Relaxed);
        self.0.metrics.open_connections.dec();
    }
}

async fn serve_connection(state: Arc<FrontState>, stream: TcpStream) {
    let _open = OpenConnection::new(&state);
    let limits = caller_limits(&state);
    let shared = Arc::clone(&state);
    let service = service_fn(move |request| {
        let state = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(serve_request(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes_max.max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = state
        .drain
        .wait_elapsed(state.drain_times().closing_after());
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = closing => {
            // What is in flight is finished first.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(error:%; "connection of a caller ended");
    }
}

fn caller_limits(state: &FrontState) -> CallerLimits {
    let desired = state.desired.load();
    desired
        .as_ref()
        .map_or_else(CallerLimits::default, |desired| desired.limits())
}

async fn serve_request(state: Arc<FrontState>, request: Request<Incoming>) -> CallerReply {
    let received = Instant::now();
    let phase = state.phase(received);
    let mut reply = match admit(&state, request, received).await {
        Ok(task) if task.route.kind.is_stream() => run_stream(state, task).await,
        Ok(task) => run_call(&state, &task).await,
        Err(reply) => *reply,
    };
    if phase >= DrainPhase::Leaving {
        reply
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Check a request against the desired state and read its body.
async fn admit(
    state: &FrontState,
    request: Request<Incoming>,
    received: Instant,
) -> Result<CallTask, Box<CallerReply>> {
    let (parts, body) = request.into_parts();
    let fail = |reason, id: &str| Box::new(refused(state, reason, id));
    let Ok(decoded) = CallerHeaders::decode(&parts.uri, &parts.headers) else {
        return Err(fail(ReplyReason::Malformed, ""));
    };
    let id = decoded.id.clone();
    let Some(desired) = state.desired.load_full() else {
        return Err(fail(ReplyReason::StateUnsure, id.as_str()));
    };
    let verdict = desired.authorize(RouteQuery {
        host: decoded.host,
        path: parts.uri.path(),
        key: decoded.key,
    });
    let (route, team) = match verdict {
        RouteDecision::Allowed { route, team, .. } => (route, team),
        RouteDecision::NoRoute => {
            return Err(fail(deny(state, ReplyReason::NoRoute), id.as_str()));
        }
        RouteDecision::UnknownKey => {
            return Err(fail(deny(state, ReplyReason::UnknownKey), id.as_str()));
        }
    };
    let patience = decoded
        .patience
        .unwrap_or(PATIENCE_DEFAULT)
        .min(route.timeout);
    let since_order = state.drain.since_order(received);
    if !state
        .drain_times()
        .admits(since_order, route.kind.is_stream(), patience)
    {
        return Err(fail(ReplyReason::Closing, id.as_str()));
    }
    let Some(service) = route.pick_target(rand::rng().random()).cloned() else {
        return Err(fail(ReplyReason::NoServer, id.as_str()));
    };
    let (tokens, prompt, position) = (decoded.tokens, decoded.prompt, decoded.position);
    let body = match read_body(&desired, body).await {
        Ok(body) => body,
        Err(reason) => return Err(fail(reason, id.as_str())),
    };
    Ok(CallTask {
        id,
        path: origin_form(&parts),
        headers: forwarded_headers(&parts.headers),
        method: parts.method,
        body,
        service,
        team,
        tokens,
        prompt,
        position,
        received,
        deadline: received + patience,
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

async fn read_body(desired: &DesiredState, body: Incoming) -> Result<Bytes, ReplyReason> {
    let limited = Limited::new(body, desired.limits().body_bytes_max);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReplyReason::TooLarge),
        Err(_) => Err(ReplyReason::Malformed),
    }
}

/// A request that the version known does not allow is denied only if no newer
/// one can be in force.
fn deny(state: &FrontState, reason: ReplyReason) -> ReplyReason {
    if state.freshness().may_deny(Instant::now()) {
        reason
    } else {
        ReplyReason::StateUnsure
    }
}

fn refused(state: &FrontState, reason: ReplyReason, id: &str) -> CallerReply {
    let label = reason.to_string();
    state.metrics.refusals.with_label_values(&[&label]).inc();
    log::info!(request = id, reason = label.as_str(); "answered by the entry");
    match reason {
        ReplyReason::StateUnsure | ReplyReason::Closing | ReplyReason::NoServer => {
            refusal_reply(reason, false, REFUSED_LEFT)
        }
        _ => problem_reply(reason),
    }
}
