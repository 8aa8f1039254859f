//! Calls of our own to backend servers, which carry no caller's request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use domain::{ModelName, PromptPart, RequestId, ServerName, server_registry::RegisteredServer};
use http::{Method, Request, header, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use miette::IntoDiagnostic;
use platform::{
    worker_answer::decode_instance,
    worker_call::{
        HELD_PATH, MOVE_PATH, REPORT_PATH, decode_handle, decode_held, decode_models, move_body,
        release_path,
    },
};
use tokio::time::{Instant, timeout};

use crate::{
    backend_connection::BackendConnection,
    connection_pool::ConnectionReuse,
    front_state::FrontState,
    server_exchange::{ANSWER_MAX, keep_link},
};

/// Time for a copy of a run's memory: some 1.5 GB over 100 GB/s, and others
/// before it.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for an answer on the health of a server, which takes a millisecond.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Copy the memory of a run to another server while the run goes on; gives the
/// name of the copy.
pub(crate) async fn move_memory(
    server: &RegisteredServer,
    run: &RequestId,
    target: SocketAddr,
) -> Option<String> {
    let moved = timeout(MOVE_TIMEOUT, request_move(server, run, target)).await;
    let outcome = match &moved {
        Ok(Ok(_)) => "moved",
        Ok(Err(_)) => "refused",
        Err(_) => "silent",
    };
    log::info!(
        request = run.as_str(),
        server = server.record().instance.as_str(),
        holder:% = target,
        outcome = outcome;
        "memory copied"
    );
    moved.ok()?.ok()
}

async fn request_move(
    server: &RegisteredServer,
    run: &RequestId,
    target: SocketAddr,
) -> miette::Result<String> {
    let body = move_body(run, target);
    let body = call_server(server, Method::POST, MOVE_PATH, body).await?;
    decode_handle(&body).into_diagnostic()
}

/// Give up the copy of a move that nobody needs any more.
pub(crate) async fn release_memory(server: &RegisteredServer, handle: &str) {
    let path = release_path(handle);
    let released = call_server(server, Method::DELETE, &path, Vec::new());
    match timeout(MOVE_TIMEOUT, released).await {
        Ok(Ok(_)) => {}
        // The server gives it up by itself after some seconds.
        Ok(Err(error)) => log::debug!(error:%; "copy not released"),
        Err(_) => log::debug!("copy not released in time"),
    }
}

/// Lifetime that answers for its health at a server's address.
pub(crate) async fn ask_instance(server: &RegisteredServer, path: &str) -> Option<ServerName> {
    let asked = async {
        let mut link = open_own(server).await?;
        exchange_own(&mut link, server, Method::GET, path, Vec::new()).await
    };
    let (parts, _) = timeout(ASK_TIMEOUT, asked).await.ok()?.ok()?;
    decode_instance(&parts.headers)
}

/// Models that the server at an address serves; none if it is no model server.
pub(crate) async fn ask_models(server: &RegisteredServer) -> Vec<ModelName> {
    let asked = call_server(server, Method::GET, REPORT_PATH, Vec::new());
    let answered = match timeout(ASK_TIMEOUT, asked).await {
        Ok(answered) => answered.and_then(|body| decode_models(&body).into_diagnostic()),
        Err(_) => Err(miette::miette!("no answer in time")),
    };
    answered.unwrap_or_else(|error| {
        log::debug!(address:% = server.record().address, error:%; "server did not tell its models");
        Vec::new()
    })
}

/// Parts of prompts that a server holds, with their tokens.
pub(crate) async fn list_held(
    state: &FrontState,
    server: &RegisteredServer,
) -> miette::Result<Vec<(PromptPart, u64)>> {
    let kept = state
        .connection_pool
        .take(server, ConnectionReuse::Any, Instant::now());
    let mut link = match kept {
        Some(link) => link,
        None => open_own(server).await?,
    };
    let (parts, body) = exchange_own(&mut link, server, Method::GET, HELD_PATH, Vec::new()).await?;
    if !parts.status.is_success() {
        return Err(miette::miette!("status {}", parts.status));
    }
    let held = decode_held(&body).into_diagnostic()?;
    keep_link(state, server, &parts, link);
    Ok(held)
}

/// A call of our own to a server that must succeed.
async fn call_server(
    server: &RegisteredServer,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> miette::Result<Bytes> {
    let mut link = open_own(server).await?;
    let (parts, body) = exchange_own(&mut link, server, method, path, body).await?;
    if !parts.status.is_success() {
        return Err(miette::miette!("status {}", parts.status));
    }
    Ok(body)
}

async fn open_own(server: &RegisteredServer) -> miette::Result<BackendConnection> {
    BackendConnection::open(server.record().address)
        .await
        .into_diagnostic()
}

/// A call of our own to a server.
async fn exchange_own(
    link: &mut BackendConnection,
    server: &RegisteredServer,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> miette::Result<(Parts, Bytes)> {
    let address = server.record().address;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .into_diagnostic()?;
    let response = link.sender.send_request(request).await.into_diagnostic()?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_MAX).collect().await;
    let body = body.map_err(|error| miette::miette!("{error}"))?.to_bytes();
    Ok((parts, body))
}
