//! One backend server as an entry sees it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{DomainName, PoolName, ServerName};

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Where the agent beside a server listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddresses {
    /// Streams, metrics and state over HTTP.
    pub stream: SocketAddr,
    /// Control calls over JSON-RPC.
    pub control: SocketAddr,
}

/// What the settings say of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Name, unique in the deployment.
    pub name: ServerName,
    /// Pool of servers with the same duty.
    pub pool: PoolName,
    /// Failure domain.
    pub domain: DomainName,
    /// What the server runs.
    pub kind: ServerKind,
    /// Where its agent listens.
    pub addresses: ServerAddresses,
}

/// A server and the counters of the requests sent to it.
#[derive(Debug)]
pub struct ServerNode {
    spec: ServerSpec,
    inflight: AtomicU32,
    failures: AtomicU32,
    leaving: AtomicBool,
    token_gap_ns: AtomicU64,
}

impl ServerNode {
    /// Weight of a new sample in the moving average, as a power of two.
    const GAP_SHIFT: u32 = 3;

    /// Consecutive failures after which a server is chosen last.
    const FAILURES_SUSPECT: u32 = 2;

    /// Node without requests.
    pub const fn new(spec: ServerSpec) -> Self {
        Self {
            spec,
            inflight: AtomicU32::new(0),
            failures: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            token_gap_ns: AtomicU64::new(0),
        }
    }

    /// What the settings say.
    pub const fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Requests under way from this process.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Whether the server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether recent requests to the server failed.
    pub fn is_suspect(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= Self::FAILURES_SUSPECT
    }

    /// Mark the server as leaving or as back.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// A request could not be served.
    pub fn note_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// A request was served.
    pub fn note_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Moving average of the time between tokens.
    pub fn token_gap(&self) -> Duration {
        Duration::from_nanos(self.token_gap_ns.load(Ordering::Relaxed))
    }

    /// Record a time between two tokens.
    ///
    /// Concurrent samples may overwrite one another; the average only steers
    /// choices, so a lost sample does no harm.
    pub fn note_token_gap(&self, gap: Duration) {
        let sample = u64::try_from(gap.as_nanos()).unwrap_or(u64::MAX);
        let old = self.token_gap_ns.load(Ordering::Relaxed);
        let new = if old == 0 {
            sample
        } else {
            old - (old >> Self::GAP_SHIFT) + (sample >> Self::GAP_SHIFT)
        };
        self.token_gap_ns.store(new, Ordering::Relaxed);
    }

    /// Count a request for as long as the guard lives.
    pub fn begin(self: &Arc<Self>) -> InflightGuard {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        InflightGuard {
            node: Arc::clone(self),
        }
    }
}

/// A request under way at a server.
#[derive(Debug)]
pub struct InflightGuard {
    node: Arc<ServerNode>,
}

impl InflightGuard {
    /// The server that the request is at.
    pub const fn node(&self) -> &Arc<ServerNode> {
        &self.node
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.node.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}
