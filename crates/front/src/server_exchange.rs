//! One send of a caller's request to one backend server.

use std::{io, time::Duration};

use domain::{
    event_relay::StreamTimeouts,
    rate_limit::RateLimit,
    run_evidence::{AnswerHead, OpenSend, SendOutcome},
    server_registry::RegisteredServer,
};
use http::{Request, Response, Uri, response::Parts};
use hyper::body::Incoming;
use platform::{
    server_request::ServerHeaders,
    server_response::{
        closes_connection, decode_head, decode_instance, decode_load, decode_notice,
        keep_alive_timeout, names_limit,
    },
};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    answer_body::{AnswerBody, read_body},
    backend_connection::{BackendConnection, RequestBody},
    boot_clock::boot_now,
    connection_pool::ConnectionReuse,
    front_state::{ENTRY_LIFETIME, FrontState},
    routed_request::RoutedRequest,
};

/// Wait after which a send that ended at the request's deadline counts as a
/// failure of the server: several times the duration of a plain request.
const MIN_WAIT_FOR_FAILURE: Duration = Duration::from_millis(200);
/// Time for which a server is suspect after its first failure. It doubles with
/// each consecutive failure, up to eight times this value. A crash at the current
/// sites lasts 1.2 s, and three consecutive failures reach beyond it.
const SUSPECT_BASE: Duration = Duration::from_millis(400);

/// An answer verified to be the server's own, whose body is still unread.
pub(crate) struct ServerAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) server_error: bool,
    pub(crate) success: bool,
    refusing: bool,
    connection: BackendConnection,
}

/// An answer whose body has been read completely.
pub(crate) struct BufferedAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: AnswerBody,
    pub(crate) server_error: bool,
    /// Whether its status tells callers that the request did not run.
    pub(crate) refusing: bool,
}

/// Sends a request and waits for the head of its answer until `limit`.
pub(crate) async fn send(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
    order: &ServerHeaders<'_>,
    limit: Instant,
) -> Result<ServerAnswer, SendOutcome> {
    let started = Instant::now();
    let asked_at = boot_now();
    let Some(pass) = state.rollouts.admit(server, request) else {
        return Err(SendOutcome::HandedBack);
    };
    let sent = exchange(state, server, request, order, limit).await;
    pass.settle(sent.as_ref().err().copied());
    match &sent {
        Ok(_) => {
            server.note_activity(Instant::now());
            server.note_answer_to(asked_at);
        }
        Err(outcome) => record_failure(server, request, *outcome, started),
    }
    sent
}

/// Records the failure of a send. A rejection, by a full server or of a misdirected
/// request, and a deadline that left the server too little time don't count
/// against the server.
fn record_failure(
    server: &RegisteredServer,
    request: &RoutedRequest,
    outcome: SendOutcome,
    started: Instant,
) {
    let now = Instant::now();
    let waited = now.duration_since(started);
    let had_time = now < request.deadline || waited >= MIN_WAIT_FOR_FAILURE;
    if outcome != SendOutcome::Rejected && had_time {
        server.note_failure(now, SUSPECT_BASE);
    }
    log::info!(
        request = request.id.as_str(),
        server = server.record().instance.as_str(),
        address:% = server.record().address,
        outcome:? = outcome,
        waited_ms = waited.as_millis() as u64;
        "send failed"
    );
}

async fn exchange(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
    order: &ServerHeaders<'_>,
    limit: Instant,
) -> Result<ServerAnswer, SendOutcome> {
    let reuse = if request.route.kind.is_idempotent() {
        ConnectionReuse::Any
    } else {
        ConnectionReuse::Recent
    };
    let mut message = encode(request, order);
    if let Some(mut connection) = state.connection_pool.take(server, reuse, Instant::now()) {
        match try_send(&mut connection, request, message, limit).await? {
            SendAttempt::Answered(response, open) => {
                return check_response(state, server, request, response, open, connection);
            }
            SendAttempt::HandedBack(unsent) => message = unsent,
        }
    }
    let opened = timeout_at(limit, BackendConnection::open(server.record().address)).await;
    let Ok(Ok(mut connection)) = opened else {
        return Err(SendOutcome::NotConnected);
    };
    state.metrics.new_links.inc();
    match try_send(&mut connection, request, message, limit).await? {
        SendAttempt::Answered(response, open) => {
            check_response(state, server, request, response, open, connection)
        }
        SendAttempt::HandedBack(_) => Err(SendOutcome::HandedBack),
    }
}

enum SendAttempt<'a> {
    Answered(Response<Incoming>, OpenSend<'a>),
    HandedBack(Request<RequestBody>),
}

/// Sends on an open connection. This is the only place at which bytes of a caller's
/// request leave.
async fn try_send<'a>(
    connection: &mut BackendConnection,
    request: &'a RoutedRequest,
    message: Request<RequestBody>,
    limit: Instant,
) -> Result<SendAttempt<'a>, SendOutcome> {
    let open = request.sends.open();
    match timeout_at(limit, connection.sender.try_send_request(message)).await {
        Err(_) => Err(SendOutcome::Silent),
        Ok(Ok(response)) => Ok(SendAttempt::Answered(response, open)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => {
                open.disown();
                Ok(SendAttempt::HandedBack(unsent))
            }
            None => {
                let error = error.error();
                log::debug!(error:%; "exchange failed");
                Err(SendOutcome::Broken)
            }
        },
    }
}

fn encode(request: &RoutedRequest, order: &ServerHeaders<'_>) -> Request<RequestBody> {
    let mut message = Request::new(request.body.clone());
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = Uri::from(request.path.clone());
    *message.headers_mut() = request.headers.clone();
    order.encode(message.headers_mut());
    message
}

fn check_response(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
    response: Response<Incoming>,
    open: OpenSend<'_>,
    connection: BackendConnection,
) -> Result<ServerAnswer, SendOutcome> {
    let (parts, body) = response.into_parts();
    let head = AnswerHead {
        reused: connection.is_reused,
        ..decode_head(parts.status, &parts.headers, &request.id)
    };
    if !head.misdirected {
        record_notice(state, server, &parts);
        // A late answer to an earlier request may be from before the limit was named.
        let may_end_limit = head.echoed && !head.foreign && !names_limit(&parts.headers);
        if may_end_limit && server.rate_gate().end_limit(Instant::now()) {
            log::info!(
                server = server.record().instance.as_str();
                "server names no limit any more"
            );
        }
    }
    if head.is_rejection() {
        open.disown();
        if head.misdirected {
            server.note_superseded();
            state.list_refresh.notify_one();
            if let Some(instance) = decode_instance(&parts.headers) {
                state.adopt_recent(server, &instance);
            }
        }
        return Err(SendOutcome::Rejected);
    }
    if !head.is_genuine() {
        log::warn!(
            request = request.id.as_str(),
            server = server.record().instance.as_str(),
            status = parts.status.as_u16(),
            head:? = head;
            "answer does not belong to this request or is not the server's own"
        );
        return Err(SendOutcome::Broken);
    }
    if let Some(report) = decode_load(&parts.headers) {
        server.note_report(report, Instant::now());
    }
    Ok(ServerAnswer {
        parts,
        body,
        server_error: head.server_error,
        success: head.success,
        refusing: head.refusing,
        connection,
    })
}

impl ServerAnswer {
    /// Reads the whole body and returns the connection to the pool if it can be
    /// reused.
    pub(crate) async fn read_whole(
        self,
        state: &FrontState,
        server: &RegisteredServer,
        limit: Instant,
    ) -> Result<BufferedAnswer, SendOutcome> {
        let read = timeout_at(limit, read_body(&state.answer_memory, self.body)).await;
        let body = match read {
            Err(_) => return Err(SendOutcome::Silent),
            Ok(Err(error)) => {
                log::info!(
                    server = server.record().instance.as_str(),
                    error:%;
                    "answer cannot be read"
                );
                return Err(SendOutcome::Broken);
            }
            Ok(Ok(body)) => body,
        };
        recycle_connection(state, server, &self.parts, self.connection);
        if !self.server_error {
            server.note_response(Instant::now());
        }
        Ok(BufferedAnswer {
            parts: self.parts,
            body,
            server_error: self.server_error,
            refusing: self.refusing,
        })
    }

    /// Splits off the body, and what [`recycle_connection`] needs after it.
    pub(crate) fn split(self) -> (Parts, Incoming, BackendConnection) {
        (self.parts, self.body, self.connection)
    }
}

/// Records what the answer of a server says about the server itself.
pub(crate) fn record_notice(state: &FrontState, server: &RegisteredServer, parts: &Parts) {
    let now = Instant::now();
    let notice = decode_notice(parts.status, &parts.headers);
    if let Some(pause) = notice.pause {
        log::info!(
            server = server.record().instance.as_str(),
            pause_ms = pause.as_millis() as u64;
            "server asked for a pause"
        );
    }
    if let Some(limit) = notice.rate_limit {
        record_limit(state, server, limit, now);
    }
    if server.note_notice(notice, now) {
        log::info!(server = server.record().instance.as_str(); "server is leaving");
    }
}

fn record_limit(state: &FrontState, server: &RegisteredServer, limit: RateLimit, now: Instant) {
    let entries = state.roster.load().count(ENTRY_LIFETIME, now);
    let phase = rand::rng().random_range(0.0..1.0);
    if server.rate_gate().set_limit(limit, entries, phase, now) {
        log::info!(
            server = server.record().instance.as_str(),
            limit = limit.get(),
            entries = entries;
            "server named a limit"
        );
    }
}

/// Why a server without new events counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerLoss {
    /// Its machine no longer accepts connections.
    Unreachable,
    /// It is reachable, but the silence reached the hang timeout.
    Hung,
}

/// Waits until a server that is silent since `silent_since` counts as lost. Each
/// probe connection that was established is kept for a later request. A server that
/// asked for a pause is not probed.
pub(crate) async fn wait_until_lost(
    state: &FrontState,
    server: &RegisteredServer,
    timeouts: StreamTimeouts,
    silent_since: Instant,
) -> ServerLoss {
    loop {
        sleep(timeouts.probe_interval).await;
        let silence = silent_since.elapsed();
        if server.paused_until(Instant::now()).is_none()
            && let Err(error) = probe(state, server).await
        {
            log::info!(
                server = server.record().instance.as_str(),
                silent_ms = silence.as_millis() as u64,
                error:%;
                "silent server is unreachable"
            );
            return ServerLoss::Unreachable;
        }
        if silence >= timeouts.hang_timeout {
            return ServerLoss::Hung;
        }
    }
}

async fn probe(state: &FrontState, server: &RegisteredServer) -> io::Result<()> {
    let connection = BackendConnection::open(server.record().address).await?;
    state.connection_pool.put(server, connection);
    Ok(())
}

/// Returns a connection to the pool after its answer was read completely, unless
/// the server closes it.
pub(crate) fn recycle_connection(
    state: &FrontState,
    server: &RegisteredServer,
    parts: &Parts,
    mut connection: BackendConnection,
) {
    if closes_connection(&parts.headers) {
        return;
    }
    if let Some(timeout) = keep_alive_timeout(&parts.headers) {
        connection.idle_timeout = timeout;
    }
    connection.idle_since = Instant::now();
    connection.is_reused = true;
    state.connection_pool.put(server, connection);
}
