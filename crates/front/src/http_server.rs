//! Accepting and serving HTTP/1.1 connections.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use miette::{Context, IntoDiagnostic};
use tokio::net::{TcpListener, TcpStream};

use crate::reply::ReplyBody;

/// Delay after an accept error before the next attempt: time for a few requests to
/// end and free their file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Serves requests from operators and the load balancer with a synchronous handler.
pub(crate) async fn serve_handler<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Request<Incoming>) -> Response<ReplyBody> + Clone + Send + Sync + 'static,
{
    loop {
        let stream = accept(&listener).await;
        let handle = handle.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let reply = handle(&request);
            async move { Ok::<_, Infallible>(reply) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:%; "connection closed with an error");
            }
        });
    }
}
