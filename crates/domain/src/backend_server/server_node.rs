//! Health and load of one backend server as seen by an entry.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    FailureDomain, PoolName, ServerName,
    backend_server::{AtomicEwma, AtomicInstant},
};

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Listen addresses of a server's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddresses {
    /// HTTP address for streams, metrics and the state dump.
    pub stream: SocketAddr,
    /// JSON-RPC address for control calls.
    pub control: SocketAddr,
}

/// Configuration of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Name, unique within the deployment.
    pub name: ServerName,
    /// Pool of interchangeable servers that it belongs to.
    pub pool: PoolName,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Kind of server.
    pub kind: ServerKind,
    /// Addresses of its agent.
    pub addresses: ServerAddresses,
}

/// Load of a server as counted by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests of all entries, running or queued.
    pub in_flight: u32,
    /// Number of slots.
    pub slots: u32,
}

/// A server with its health and load counters.
#[derive(Debug)]
pub struct ServerNode {
    spec: ServerSpec,
    inflight: AtomicU32,
    consecutive_failures: AtomicU32,
    is_leaving: AtomicBool,
    token_gap: AtomicEwma,
    time_to_first_token: AtomicEwma,
    last_token_gap_at: AtomicInstant,
    slots: AtomicU32,
    other_requests: AtomicU32,
    reported_at: AtomicInstant,
    trial_at: AtomicInstant,
    name_hash: u64,
}

impl ServerNode {
    /// Consecutive failures after which a server is suspect.
    const SUSPECT_FAILURES: u32 = 2;

    /// Average token gap, as a multiple of the peers' median, above which a server
    /// is slow.
    const SLOW_FACTOR: u32 = 2;

    /// Age after which a load report is ignored. A server with open streams to
    /// this process sends its load more often, and whenever it changes.
    const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

    /// The same for a server that has no request of this process in flight, since
    /// it does not report changes of its load to this process.
    const REPORT_AGE_IDLE_MAX: Duration = Duration::from_secs(1);

    /// Slots assumed until the server reports them.
    const DEFAULT_SLOTS: u32 = 16;

    /// Interval between trial requests to a slow or suspect server.
    const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

    /// Creates a node without requests.
    pub fn new(spec: ServerSpec, now: Instant) -> Self {
        let mut hasher = DefaultHasher::new();
        spec.name.hash(&mut hasher);
        let trial_at = AtomicInstant::new(now);
        trial_at.set(now);
        Self {
            last_token_gap_at: AtomicInstant::new(now),
            slots: AtomicU32::new(0),
            other_requests: AtomicU32::new(0),
            reported_at: AtomicInstant::new(now),
            trial_at,
            name_hash: hasher.finish(),
            spec,
            inflight: AtomicU32::new(0),
            consecutive_failures: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            token_gap: AtomicEwma::default(),
            time_to_first_token: AtomicEwma::default(),
        }
    }

    /// Returns the server's configuration.
    pub const fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Requests of this process in flight.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Whether the server accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Whether the latest requests to the server failed, until one succeeds.
    pub fn is_suspect(&self) -> bool {
        self.consecutive_failures.load(Ordering::Relaxed) >= Self::SUSPECT_FAILURES
    }

    /// Marks the server as leaving, or as available again.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Records a failed request.
    pub fn record_failure(&self) {
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a successful request, which resets the failure count.
    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Moving average of the time between tokens.
    pub fn token_gap(&self) -> Duration {
        self.token_gap.get()
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&self, gap: Duration, now: Instant) {
        self.last_token_gap_at.set(now);
        self.token_gap.record(gap);
    }

    /// Raises the average token gap to `gap`, the time without a token after which
    /// a straggler was moved away from this server.
    ///
    /// A regular sample would change the average too little, and the generation
    /// could be sent straight back.
    pub fn record_straggler(&self, gap: Duration, now: Instant) {
        self.last_token_gap_at.set(now);
        self.token_gap.raise_to(gap);
    }

    /// Moving average of the time to the first token of small requests.
    pub fn time_to_first_token(&self) -> Duration {
        self.time_to_first_token.get()
    }

    /// Records a small request's time to the first token.
    pub fn record_time_to_first_token(&self, time: Duration) {
        self.time_to_first_token.record(time);
    }

    /// Records the load reported by the server's agent.
    ///
    /// Only the number of requests from other processes is stored, since this
    /// process counts its own exactly.
    pub fn record_load(&self, load: ServerLoad, now: Instant) {
        let other_requests = load.in_flight.saturating_sub(self.inflight());
        self.slots.store(load.slots, Ordering::Relaxed);
        self.other_requests.store(other_requests, Ordering::Relaxed);
        self.reported_at.set(now);
    }

    /// Load if one more request is added, in thousandths of the slots.
    pub fn projected_load_per_mille(&self, now: Instant) -> u64 {
        let slots = match self.slots.load(Ordering::Relaxed) {
            0 => Self::DEFAULT_SLOTS,
            slots => slots,
        };
        let max_age = match self.inflight() {
            0 => Self::REPORT_AGE_IDLE_MAX,
            _ => Self::REPORT_AGE_MAX,
        };
        let other_requests = match self.reported_at.age(now) <= max_age {
            true => self.other_requests.load(Ordering::Relaxed),
            false => 0,
        };
        let in_flight = u64::from(self.inflight()) + u64::from(other_requests) + 1;
        in_flight * 1_000 / u64::from(slots)
    }

    /// Whether the server normally gets only trial requests, because it is
    /// suspect or slow compared with the peers' median token gap.
    pub fn is_avoided(&self, median: Option<Duration>) -> bool {
        self.is_suspect() || self.is_slow(median)
    }

    /// Whether the server is slow compared with the peers' median token gap.
    pub fn is_slow(&self, median: Option<Duration>) -> bool {
        median.is_some_and(|median| self.token_gap() > median * Self::SLOW_FACTOR)
    }

    /// Claims a trial request to an avoided server. There is none while tokens
    /// arrive, since requests in flight show its latency as well.
    pub fn claim_trial(&self, now: Instant) -> bool {
        self.last_token_gap_at.age(now) >= Self::TRIAL_INTERVAL
            && self.trial_at.try_claim(Self::TRIAL_INTERVAL, now)
    }

    /// Hash of the server's name.
    pub const fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InflightGuard {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        InflightGuard {
            node: Arc::clone(self),
        }
    }
}

/// A request in flight at a server.
#[derive(Debug)]
pub struct InflightGuard {
    node: Arc<ServerNode>,
}

impl InflightGuard {
    /// The server that the request was sent to.
    pub const fn node(&self) -> &Arc<ServerNode> {
        &self.node
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.node.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}
