//! One connection to a backend server or to the store.
//!
//! A connection carries one exchange at a time. Peers may fall silent without
//! a reset, so the kernel asks after them and gives up on data that nobody
//! acknowledges.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// Time for a connection to come about: some forty round trips of today's
/// sites; a lost opening packet is sent again only after seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Silence after which the kernel asks a peer, and the pause before it asks
/// again: the least that sockets take.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Questions without an answer until a connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent data may stay unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time of a kept connection where the peer states none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Body of requests to backend servers; whole, so that its length is known.
pub(crate) type RequestBody = Full<Bytes>;

/// An open connection.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    /// When the last exchange ended.
    pub(crate) idle_since: Instant,
    /// Time for which the peer keeps it idle.
    pub(crate) idle_limit: Duration,
}

impl BackendConnection {
    /// Open a connection.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        if let Err(error) = set_options(&stream) {
            log::debug!(peer:% = address, error:%; "socket option refused");
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // The exchange in flight reports the error to its caller.
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:%; "connection ended");
            }
        });
        Ok(Self {
            sender,
            idle_since: Instant::now(),
            idle_limit: IDLE_DEFAULT,
        })
    }

    /// Whether it can carry another exchange.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.idle_since);
        // The peer's own clock may be ahead by the time of a round trip.
        self.sender.is_ready() && idle < self.idle_limit * 4 / 5
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
