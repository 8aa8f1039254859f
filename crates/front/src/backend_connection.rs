//! One connection to a backend server or to the store.
//!
//! A connection carries one exchange at a time. A peer may fall silent without
//! a reset, so the kernel sends keepalive probes and closes the connection if
//! sent data stays unacknowledged.

use std::{io, net::SocketAddr, time::Duration};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use domain::ingress_budget::BodyShare;

use crate::stored_body::StoredBody;

/// Time limit for connecting: about forty round trips between failure domains
/// that are 1.5 ms apart. A lost SYN packet is retransmitted only after seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Idle time before the first keepalive probe, and the interval between probes;
/// the minimum that sockets accept.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent data may stay unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of the read buffer of a connection in bytes, and thereby of the head
/// of an answer.
const READ_BUFFER_BYTES_MAX: usize = 64 << 10;
/// Idle timeout of a connection whose peer states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Body of requests to backend servers. It is in memory, so that its length is known.
pub(crate) type RequestBody = StoredBody<BodyShare>;

/// An open connection.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    /// Whether it carried an answer before.
    pub(crate) is_reused: bool,
    /// Time at which the last exchange ended, or the connection was opened.
    pub(crate) idle_since: Instant,
    /// Time for which the peer keeps the connection open while idle.
    pub(crate) idle_timeout: Duration,
}

impl BackendConnection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        if let Err(error) = set_options(&stream) {
            log::debug!(peer:% = address, error:%; "cannot set socket options");
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // An exchange in progress reports the error to its caller.
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:%; "connection ended");
            }
        });
        Ok(Self {
            sender,
            is_reused: false,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Returns whether the connection can carry another exchange.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.idle_since);
        // The margin covers the round trip: the peer's idle timer may have
        // started earlier than ours.
        self.sender.is_ready() && idle < self.idle_timeout * 4 / 5
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
