//! Serving of HTTP/1.1 connections.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use miette::{Context, IntoDiagnostic};
use tokio::net::{TcpListener, TcpStream};

use crate::reply::ReplyBody;

/// Pause after a connection could not be accepted: some round trips.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listen on an address.
pub(crate) async fn bind(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Next connection; errors of single ones are passed over.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(error:%; "socket option refused");
                }
                return stream;
            }
            Err(error) => {
                // Out of descriptors, most likely; some close meanwhile.
                log::warn!(error:%; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serve small requests of operators and of the balancer.
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
                log::debug!(error:%; "connection ended");
            }
        });
    }
}
