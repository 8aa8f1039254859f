//! A network between two processes that fails on command.
//!
//! One process carries any number of links. A link listens on an address of its
//! own and passes bytes on to its target, as its mode says at that moment. Links
//! run as a process of their own, or within the one that tests.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};
use volo_http::{
    error::BoxError,
    server::{
        Router,
        extract::Json,
        route::{get, post},
    },
    utils::Extension,
};

use crate::front::serve;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum LinkMode {
    /// Pass everything on.
    #[default]
    Pass,
    /// Pass everything on, late.
    Delay {
        /// Milliseconds each way.
        ms: u64,
    },
    /// Close what is open and refuse what is new.
    Cut,
    /// Keep what is open, pass nothing on, and let new connections work.
    SilenceOpen,
    /// Pass nothing on in either direction, also on new connections.
    Silence,
    /// Pass nothing on towards the target.
    LoseForward,
    /// Pass nothing on from the target.
    LoseBackward,
}

/// A link to be added by `POST /links`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProxyMessage {
    /// Where the link listens.
    pub listen: SocketAddr,
    /// Where it passes bytes on to.
    pub target: SocketAddr,
}

/// A mode to be set by `POST /mode`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ModeMessage {
    /// The link, by where it listens.
    pub listen: SocketAddr,
    /// Its mode from now on.
    #[serde(flatten)]
    pub mode: LinkMode,
}

/// Bytes that links have passed on, read by `GET /links`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LinkCounts {
    /// Bytes in both directions, by where a link listens.
    pub bytes: BTreeMap<SocketAddr, u64>,
}

/// A mode and how often it was set.
#[derive(Clone, Copy, Debug, Default)]
struct ModeState {
    mode: LinkMode,
    /// Connections opened before this number of changes stay silent for good
    /// once they were silenced.
    silenced_before: u64,
    changes: u64,
}

/// One link, which ends with the runtime that it was started on.
#[derive(Debug)]
pub struct ProxyLink {
    /// Where it listens.
    pub listen: SocketAddr,
    modes: watch::Sender<ModeState>,
    bytes: Arc<AtomicU64>,
}

impl ProxyLink {
    /// Start a link; port 0 is replaced by one that is free.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (modes, receiver) = watch::channel(ModeState::default());
        let bytes = Arc::<AtomicU64>::default();
        let view = LinkView {
            target,
            modes: receiver,
            bytes: Arc::clone(&bytes),
        };
        let listen = listener.local_addr()?;
        tokio::spawn(accept(listener, view));
        Ok(Self {
            listen,
            modes,
            bytes,
        })
    }

    /// Do this with bytes from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.modes.send_modify(|state| {
            state.changes += 1;
            state.mode = mode;
            if mode == LinkMode::SilenceOpen {
                state.silenced_before = state.changes;
            }
        });
    }
}

/// A link as its connections see it.
#[derive(Clone)]
struct LinkView {
    target: SocketAddr,
    modes: watch::Receiver<ModeState>,
    bytes: Arc<AtomicU64>,
}

#[derive(Default)]
struct ProxyState {
    links: Mutex<BTreeMap<SocketAddr, ProxyLink>>,
}

impl ProxyState {
    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, ProxyLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Run links until the process is stopped.
pub async fn run_proxies(control: SocketAddr) -> Result<(), BoxError> {
    let router = Router::new()
        .route("/links", get(show_counts).post(add_link))
        .route("/mode", post(set_mode))
        .layer(Extension(Arc::new(ProxyState::default())));
    serve(router, control).await
}

async fn add_link(
    Extension(state): Extension<Arc<ProxyState>>,
    Json(link): Json<ProxyMessage>,
) -> StatusCode {
    let Ok(started) = ProxyLink::start(link.listen, link.target).await else {
        return StatusCode::CONFLICT;
    };
    state.links().insert(link.listen, started);
    StatusCode::OK
}

async fn show_counts(Extension(state): Extension<Arc<ProxyState>>) -> Json<LinkCounts> {
    let links = state.links();
    let counts = links
        .iter()
        .map(|(&listen, link)| (listen, link.bytes.load(Ordering::Relaxed)));
    Json(LinkCounts {
        bytes: counts.collect(),
    })
}

async fn set_mode(
    Extension(state): Extension<Arc<ProxyState>>,
    Json(message): Json<ModeMessage>,
) -> StatusCode {
    let links = state.links();
    let Some(link) = links.get(&message.listen) else {
        return StatusCode::NOT_FOUND;
    };
    link.set_mode(message.mode);
    StatusCode::OK
}

async fn accept(listener: TcpListener, link: LinkView) {
    while let Ok((caller, _)) = listener.accept().await {
        if link.modes.borrow().mode == LinkMode::Cut {
            continue;
        }
        tokio::spawn(carry(caller, link.clone()));
    }
}

async fn carry(caller: TcpStream, mut link: LinkView) {
    let Ok(server) = TcpStream::connect(link.target).await else {
        return;
    };
    let opened = link.modes.borrow_and_update().changes;
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = pump(
        caller_read,
        server_write,
        link.clone(),
        opened,
        Way::Forward,
    );
    let backward = pump(
        server_read,
        caller_write,
        link.clone(),
        opened,
        Way::Backward,
    );
    tokio::select! {
        () = async { tokio::join!(forward, backward); } => {}
        () = cut(link.modes) => {}
    }
}

async fn cut(mut modes: watch::Receiver<ModeState>) {
    // The link's sender lives as long as the process.
    let _ = modes.wait_for(|state| state.mode == LinkMode::Cut).await;
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Forward,
    Backward,
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    link: LinkView,
    opened: u64,
    way: Way,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    // TCP delivers nothing after bytes that are missing.
    let mut has_lost_bytes = false;
    while let Ok(length) = from.read(&mut chunk).await {
        let state = *link.modes.borrow();
        let is_silenced = opened < state.silenced_before;
        let is_lost = match state.mode {
            LinkMode::Silence => true,
            LinkMode::LoseForward => way == Way::Forward,
            LinkMode::LoseBackward => way == Way::Backward,
            _ => false,
        };
        if is_silenced || is_lost || has_lost_bytes {
            has_lost_bytes |= length > 0;
            if length == 0 {
                // Not even the end of the connection comes through.
                return std::future::pending().await;
            }
            continue;
        }
        if let LinkMode::Delay { ms } = state.mode {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        link.bytes.fetch_add(length as u64, Ordering::Relaxed);
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    // The other side may have gone already.
    let _ = to.shutdown().await;
}
