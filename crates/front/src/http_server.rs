//! Accepting and serving HTTP/1.1 connections.

use std::{convert::Infallible, future::ready, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use miette::{Context, IntoDiagnostic};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    caller_socket::CallerSocket,
    connection_keeper::{ConnectionKeeper, ConnectionPlace, TrackedBody},
    reply::ReplyBody,
};

/// Delay after an accept error before the next attempt: time for a few requests to
/// end and free their file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum size of the head of a request from operators, the load balancer or other
/// entries: that of the users' limits for callers.
const REQUEST_HEAD_BYTES_MAX: usize = 16 << 10;

/// Error of a reply's body.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Binds a listener to an address.
pub(crate) async fn bind(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Accepts the next connection. Errors are logged and the accept is retried.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(error:%; "could not set a socket option");
                }
                return stream;
            }
            Err(error) => {
                // Most likely the process is out of file descriptors; others are
                // closed during the delay.
                log::warn!(error:%; "could not accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections of operators, the load balancer or other entries and serves their
/// requests. Their number is bounded by the keeper.
pub(crate) async fn serve_requests<H, F, B>(
    listener: TcpListener,
    keeper: Arc<ConnectionKeeper>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error: Into<BoxError>> + Send + Unpin + 'static,
{
    loop {
        let stream = accept(&listener).await;
        if let Some(place) = keeper.admit().await {
            tokio::spawn(serve_connection(place, stream, handle.clone()));
        }
    }
}

async fn serve_connection<H, F, B>(place: ConnectionPlace, stream: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error: Into<BoxError>> + Send + Unpin + 'static,
{
    let service = service_fn(|request: Request<Incoming>| {
        let guard = place.connection().begin_request();
        let reply = handle(request);
        async move { Ok::<_, Infallible>(reply.await.map(|body| TrackedBody::new(body, guard))) }
    });
    let socket = CallerSocket::new(stream, Arc::clone(place.connection()));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(REQUEST_HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(socket), service);
    let served = tokio::select! {
        biased;
        () = place.wait_close() => return,
        served = serving => served,
    };
    if let Err(error) = served {
        log::debug!(error:%; "connection closed with an error");
    }
}

/// Serves requests with a synchronous handler, which reads no body.
pub(crate) async fn serve_handler<H>(
    listener: TcpListener,
    keeper: Arc<ConnectionKeeper>,
    handle: H,
) where
    H: Fn(&Request<Incoming>) -> Response<ReplyBody> + Clone + Send + Sync + 'static,
{
    serve_requests(listener, keeper, move |request| ready(handle(&request))).await;
}
