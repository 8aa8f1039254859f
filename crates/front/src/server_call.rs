//! Calls of the entry itself to backend servers, which don't carry a caller's
//! request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{ModelName, PromptPart, RequestId, ServerName, server_registry::RegisteredServer};
use http::{Method, Request, header, response::Parts};
use miette::IntoDiagnostic;
use platform::{
    server_call::{
        KV_LIST_PATH, KV_MOVE_PATH, REPORT_PATH, decode_kv_handle, decode_kv_list, decode_models,
        kv_handle_path, kv_move_body,
    },
    server_response::{decode_instance, decode_load},
};
use tokio::time::{Instant, timeout};

use crate::{
    answer_body::read_body,
    backend_connection::{BackendConnection, RequestBody},
    connection_pool::ConnectionReuse,
    front_state::FrontState,
    return_watch::watch_for_return,
    server_exchange::{record_notice, recycle_connection},
};

/// Time limit for copying a run's KV cache, and for releasing the copy. A copy is
/// about 1.5 GB at 100 GB/s, but may be queued behind others.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for a health or report query, which takes about a millisecond.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Copies the KV cache of a run to another server while the run continues.
/// Returns the handle of the copy.
pub(crate) async fn copy_kv_cache(
    state: &FrontState,
    server: &RegisteredServer,
    run: &RequestId,
    target: SocketAddr,
) -> Option<String> {
    let copied = timeout(MOVE_TIMEOUT, request_move(state, server, run, target)).await;
    let outcome = match &copied {
        Ok(Ok(_)) => "moved",
        Ok(Err(_)) => "refused",
        Err(_) => "silent",
    };
    log::info!(
        request = run.as_str(),
        server = server.record().instance.as_str(),
        holder:% = target,
        outcome = outcome;
        "KV cache copy ended"
    );
    copied.ok()?.ok()
}

async fn request_move(
    state: &FrontState,
    server: &RegisteredServer,
    run: &RequestId,
    target: SocketAddr,
) -> miette::Result<String> {
    let body = kv_move_body(run, target);
    let body = call_server(state, server, Method::POST, KV_MOVE_PATH, body).await?;
    decode_kv_handle(&body).into_diagnostic()
}

/// Releases a copy made by [`copy_kv_cache`] that is no longer needed.
pub(crate) async fn release_copy(state: &FrontState, server: &RegisteredServer, handle: &str) {
    let path = kv_handle_path(handle);
    let released = call_server(state, server, Method::DELETE, &path, Vec::new());
    match timeout(MOVE_TIMEOUT, released).await {
        Ok(Ok(_)) => {}
        // The server releases the copy by itself after a few seconds.
        Ok(Err(error)) => log::debug!(error:%; "cannot release the KV cache copy"),
        Err(_) => log::debug!("release of the KV cache copy timed out"),
    }
}

/// The server that holds an address.
#[derive(Debug)]
pub(crate) struct AddressHolder {
    /// Name of the instance.
    pub(crate) instance: ServerName,
    /// Its models, which show its service; none if it did not report them.
    pub(crate) models: Vec<ModelName>,
}

/// Queries which instance answers health checks at a server's address and, if it is
/// another one than is known, its models. Both answers come on one new connection and
/// therefore from one process, and no earlier answer can be taken for one of them.
pub(crate) async fn query_holder(
    state: &FrontState,
    server: &RegisteredServer,
    path: &str,
    has_models: bool,
) -> Option<AddressHolder> {
    let opened = timeout(QUERY_TIMEOUT, connect(server)).await;
    let mut connection = opened.ok()?.ok()?;
    let health = query(state, &mut connection, server, path).await?;
    let instance = decode_instance(&health.0.headers)?;
    let models = if has_models && instance != server.record().instance {
        query_models(state, &mut connection, server).await
    } else {
        Vec::new()
    };
    Some(AddressHolder { instance, models })
}

async fn query_models(
    state: &FrontState,
    connection: &mut BackendConnection,
    server: &RegisteredServer,
) -> Vec<ModelName> {
    let Some((_, body)) = query(state, connection, server, REPORT_PATH).await else {
        return Vec::new();
    };
    decode_models(&body).unwrap_or_else(|error| {
        log::debug!(address:% = server.record().address, error:%; "server did not report its models");
        Vec::new()
    })
}

async fn query(
    state: &FrontState,
    connection: &mut BackendConnection,
    server: &RegisteredServer,
    path: &str,
) -> Option<(Parts, Bytes)> {
    let asked = exchange(state, connection, server, Method::GET, path, Vec::new());
    match timeout(QUERY_TIMEOUT, asked).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::debug!(address:% = server.record().address, path = path, error:%; "query failed");
            None
        }
        Err(_) => {
            log::debug!(address:% = server.record().address, path = path; "query timed out");
            None
        }
    }
}

/// Queries the present load of a server, which answers at once whatever its load.
/// Returns whether it answered as the registered instance and takes requests. The
/// answer does not clear a suspicion: a server may fail requests and yet answer it.
pub(crate) async fn query_load(
    state: &Arc<FrontState>,
    server: &Arc<RegisteredServer>,
    path: &str,
) -> bool {
    let answered = exchange_pooled(state, server, Method::GET, path).await;
    let parts = match answered {
        Ok((parts, _)) => parts,
        Err(error) => {
            log::debug!(server = server.record().instance.as_str(), error:%; "load query failed");
            return false;
        }
    };
    if let Some(instance) = decode_instance(&parts.headers)
        && instance != server.record().instance
    {
        server.note_superseded();
        state.list_refresh.notify_one();
        if !state.adopt_recent(server, &instance) {
            watch_for_return(state, server);
        }
        return false;
    }
    if let Some(report) = decode_load(&parts.headers) {
        server.note_report(report, Instant::now());
    }
    parts.status.is_success()
}

/// Lists the prompt parts in a server's KV cache, with their token counts.
pub(crate) async fn list_cached_prompts(
    state: &FrontState,
    server: &RegisteredServer,
) -> miette::Result<Vec<(PromptPart, u64)>> {
    let (parts, body) = exchange_pooled(state, server, Method::GET, KV_LIST_PATH).await?;
    if !parts.status.is_success() {
        return Err(miette::miette!(
            "server answered with status {}",
            parts.status
        ));
    }
    decode_kv_list(&body).into_diagnostic()
}

/// Sends a request without a body on a pooled or a new connection, which returns to
/// the pool.
async fn exchange_pooled(
    state: &FrontState,
    server: &RegisteredServer,
    method: Method,
    path: &str,
) -> miette::Result<(Parts, Bytes)> {
    let pooled = state
        .connection_pool
        .take(server, ConnectionReuse::Any, Instant::now());
    let mut connection = match pooled {
        Some(connection) => connection,
        None => connect(server).await?,
    };
    let (parts, body) = exchange(state, &mut connection, server, method, path, Vec::new()).await?;
    recycle_connection(state, server, &parts, connection);
    Ok((parts, body))
}

/// Calls a server on a new connection. Any status other than success is an
/// error.
async fn call_server(
    state: &FrontState,
    server: &RegisteredServer,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> miette::Result<Bytes> {
    let mut connection = connect(server).await?;
    let (parts, body) = exchange(state, &mut connection, server, method, path, body).await?;
    if !parts.status.is_success() {
        return Err(miette::miette!(
            "server answered with status {}",
            parts.status
        ));
    }
    Ok(body)
}

/// Opens a connection, unless the server asked for a pause.
async fn connect(server: &RegisteredServer) -> miette::Result<BackendConnection> {
    if server.paused_until(Instant::now()).is_some() {
        return Err(miette::miette!("server asked for a pause"));
    }
    BackendConnection::open(server.record().address)
        .await
        .into_diagnostic()
}

/// Sends a request on a connection and reads the complete answer.
async fn exchange(
    state: &FrontState,
    connection: &mut BackendConnection,
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
        .body(RequestBody::from(Bytes::from(body)))
        .into_diagnostic()?;
    let response = connection
        .sender
        .send_request(request)
        .await
        .into_diagnostic()?;
    let (parts, body) = response.into_parts();
    record_notice(state, server, &parts);
    let body = read_body(&state.answer_memory, body)
        .await
        .into_diagnostic()?;
    Ok((parts, body.to_bytes()))
}
