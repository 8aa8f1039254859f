//! One send of a request to one backend server.

use std::time::Duration;

use bytes::Bytes;
use domain::{
    event_relay::StreamTimeouts, run_evidence::SendOutcome, server_registry::RegisteredServer,
};
use http::{Request, Response, Uri, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::{
    worker_answer::{closes, decode_head, decode_instance, decode_load, idle_time},
    worker_request::WorkerOrder,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    backend_connection::BackendConnection, connection_pool::ConnectionReuse,
    front_state::FrontState, routed_request::RoutedRequest,
};

/// Largest answer that is held whole, in bytes; answers of plain services are
/// some kilobytes.
pub(crate) const ANSWER_MAX: usize = 8 << 20;
/// Time after which a silent server is blamed although the request's time is
/// over: some times the work of a plain request.
const FAIR_WAIT: Duration = Duration::from_millis(200);
/// Time for which a server that failed is avoided at first. A crash of today's
/// sites lasts 1.2 s; three failures in a row reach beyond it.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// The genuine head of an answer, with its body to come.
pub(crate) struct ServerAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) server_error: bool,
    pub(crate) success: bool,
    link: BackendConnection,
}

/// A whole answer.
pub(crate) struct WholeAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) server_error: bool,
}

/// Send a request and wait for the head of its answer until `limit`.
pub(crate) async fn send(
    state: &FrontState,
    server: &RegisteredServer,
    task: &RoutedRequest,
    order: &WorkerOrder<'_>,
    limit: Instant,
) -> Result<ServerAnswer, SendOutcome> {
    let started = Instant::now();
    let sent = exchange(state, server, task, order, limit).await;
    match &sent {
        Ok(_) => server.note_activity(Instant::now()),
        Err(end) => note_failure(server, task, *end, started),
    }
    sent
}

/// A server is not blamed for a time limit that left it no time, nor for being
/// full.
fn note_failure(
    server: &RegisteredServer,
    task: &RoutedRequest,
    end: SendOutcome,
    started: Instant,
) {
    let now = Instant::now();
    let waited = now.duration_since(started);
    let had_time = now < task.deadline || waited >= FAIR_WAIT;
    if end != SendOutcome::Rejected && had_time {
        server.note_failure(now, FAILURE_PAUSE);
    }
    log::info!(
        request = task.id.as_str(),
        server = server.record().instance.as_str(),
        address:% = server.record().address,
        outcome:? = end,
        waited_ms = waited.as_millis() as u64;
        "send failed"
    );
}

async fn exchange(
    state: &FrontState,
    server: &RegisteredServer,
    task: &RoutedRequest,
    order: &WorkerOrder<'_>,
    limit: Instant,
) -> Result<ServerAnswer, SendOutcome> {
    let trust = if task.route.kind.is_idempotent() {
        ConnectionReuse::Any
    } else {
        ConnectionReuse::Recent
    };
    let mut request = encode(task, order);
    if let Some(mut link) = state.connection_pool.take(server, trust, Instant::now()) {
        match attempt(&mut link, request, limit).await? {
            Attempt::Answered(response) => return judge(state, server, task, response, link),
            Attempt::HandedBack(unsent) => request = unsent,
        }
    }
    let opened = timeout_at(limit, BackendConnection::open(server.record().address)).await;
    let Ok(Ok(mut link)) = opened else {
        return Err(SendOutcome::NotConnected);
    };
    state.metrics.new_links.inc();
    match attempt(&mut link, request, limit).await? {
        Attempt::Answered(response) => judge(state, server, task, response, link),
        Attempt::HandedBack(_) => Err(SendOutcome::HandedBack),
    }
}

enum Attempt {
    Answered(Response<Incoming>),
    HandedBack(Request<Full<Bytes>>),
}

async fn attempt(
    link: &mut BackendConnection,
    request: Request<Full<Bytes>>,
    limit: Instant,
) -> Result<Attempt, SendOutcome> {
    match timeout_at(limit, link.sender.try_send_request(request)).await {
        Err(_) => Err(SendOutcome::Silent),
        Ok(Ok(response)) => Ok(Attempt::Answered(response)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => Ok(Attempt::HandedBack(unsent)),
            None => {
                let error = error.error();
                log::debug!(error:%; "exchange broke");
                Err(SendOutcome::Broken)
            }
        },
    }
}

fn encode(task: &RoutedRequest, order: &WorkerOrder<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(task.body.clone()));
    *request.method_mut() = task.method.clone();
    *request.uri_mut() = Uri::from(task.path.clone());
    *request.headers_mut() = task.headers.clone();
    order.encode(request.headers_mut());
    request
}

fn judge(
    state: &FrontState,
    server: &RegisteredServer,
    task: &RoutedRequest,
    response: Response<Incoming>,
    link: BackendConnection,
) -> Result<ServerAnswer, SendOutcome> {
    let (parts, body) = response.into_parts();
    let head = decode_head(parts.status, &parts.headers, &task.id);
    if head.is_rejection() {
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
            request = task.id.as_str(),
            server = server.record().instance.as_str(),
            status = parts.status.as_u16(),
            head:? = head;
            "answer is not the server's to this request"
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
        link,
    })
}

impl ServerAnswer {
    /// Read the whole body; the connection is kept if it may be.
    pub(crate) async fn read_whole(
        self,
        state: &FrontState,
        server: &RegisteredServer,
        limit: Instant,
    ) -> Result<WholeAnswer, SendOutcome> {
        let collected = timeout_at(limit, Limited::new(self.body, ANSWER_MAX).collect()).await;
        let body = match collected {
            Err(_) => return Err(SendOutcome::Silent),
            Ok(Err(error)) => {
                log::info!(
                    server = server.record().instance.as_str(),
                    error:%;
                    "answer broke off"
                );
                return Err(SendOutcome::Broken);
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        keep_link(state, server, &self.parts, self.link);
        if !self.server_error {
            server.note_response(Instant::now());
        }
        Ok(WholeAnswer {
            parts: self.parts,
            body,
            server_error: self.server_error,
        })
    }

    /// The body and what is needed to keep the connection after it.
    pub(crate) fn split(self) -> (Parts, Incoming, BackendConnection) {
        (self.parts, self.body, self.link)
    }
}

/// Wait until a silent server is lost: its machine does not take a new
/// connection any more, or the silence lasts too long. A connection that came
/// about is kept for a later request.
pub(crate) async fn until_lost(
    state: &FrontState,
    server: &RegisteredServer,
    patience: StreamTimeouts,
) {
    let asked = Instant::now();
    loop {
        sleep(patience.probe_interval).await;
        match BackendConnection::open(server.record().address).await {
            Ok(link) => state.connection_pool.put(server, link),
            Err(error) => {
                log::info!(
                    server = server.record().instance.as_str(),
                    silent_ms = asked.elapsed().as_millis() as u64,
                    error:%;
                    "silent server cannot be reached"
                );
                return;
            }
        }
        if asked.elapsed() >= patience.hang_timeout {
            log::info!(
                server = server.record().instance.as_str(),
                silent_ms = asked.elapsed().as_millis() as u64;
                "run hangs"
            );
            return;
        }
    }
}

/// Keep a connection whose answer was read to its end.
pub(crate) fn keep_link(
    state: &FrontState,
    server: &RegisteredServer,
    parts: &Parts,
    mut link: BackendConnection,
) {
    if closes(&parts.headers) {
        return;
    }
    if let Some(idle) = idle_time(&parts.headers) {
        link.idle_limit = idle;
    }
    link.idle_since = Instant::now();
    state.connection_pool.put(server, link);
}
