//! One backend server as an entry sees it.

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
    pub domain: FailureDomain,
    /// What the server runs.
    pub kind: ServerKind,
    /// Where its agent listens.
    pub addresses: ServerAddresses,
}

/// Load of a server as its agent counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests of all entries that run or wait.
    pub held: u32,
    /// Slots of the server.
    pub slots: u32,
}

/// A server and the counters of the requests sent to it.
#[derive(Debug)]
pub struct ServerNode {
    spec: ServerSpec,
    inflight: AtomicU32,
    failures: AtomicU32,
    leaving: AtomicBool,
    token_gap: AtomicEwma,
    time_to_first_token: AtomicEwma,
    gap_at: AtomicInstant,
    slots: AtomicU32,
    others: AtomicU32,
    reported_at: AtomicInstant,
    trial_at: AtomicInstant,
    name_hash: u64,
}

impl ServerNode {
    /// Consecutive failures after which a server is chosen last.
    const FAILURES_SUSPECT: u32 = 2;

    /// Gap, as a multiple of the peers' median, from which a server is slowed.
    const SLOWED_FACTOR: u32 = 2;

    /// Age after which a report says nothing about now; a server whose streams
    /// go on tells its load again before that, and earlier when it changes.
    const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

    /// The same for a server with no stream to this process: nothing tells it
    /// when the load changes.
    const REPORT_AGE_IDLE: Duration = Duration::from_secs(1);

    /// Slots of a server that has not told them yet.
    const SLOTS_DEFAULT: u32 = 16;

    /// Time between two trials of a slowed or suspect server.
    const TRIAL_PAUSE: Duration = Duration::from_millis(500);

    /// Node without requests.
    pub fn new(spec: ServerSpec, now: Instant) -> Self {
        let mut hasher = DefaultHasher::new();
        spec.name.hash(&mut hasher);
        let trial_at = AtomicInstant::new(now);
        trial_at.set(now);
        Self {
            gap_at: AtomicInstant::new(now),
            slots: AtomicU32::new(0),
            others: AtomicU32::new(0),
            reported_at: AtomicInstant::new(now),
            trial_at,
            name_hash: hasher.finish(),
            spec,
            inflight: AtomicU32::new(0),
            failures: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            token_gap: AtomicEwma::default(),
            time_to_first_token: AtomicEwma::default(),
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
    pub fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// A request was served.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Moving average of the time between tokens.
    pub fn token_gap(&self) -> Duration {
        self.token_gap.get()
    }

    /// Record a time between two tokens.
    pub fn record_token_gap(&self, gap: Duration, now: Instant) {
        self.gap_at.set(now);
        self.token_gap.record(gap);
    }

    /// Record a time without a token after which a generation left.
    ///
    /// The average takes several samples to follow; without this the generation
    /// might come straight back.
    pub fn record_straggler(&self, gap: Duration, now: Instant) {
        self.gap_at.set(now);
        self.token_gap.raise_to(gap);
    }

    /// Moving average of the time to the first token of small requests.
    pub fn time_to_first_token(&self) -> Duration {
        self.time_to_first_token.get()
    }

    /// Record a small request's time to its first token.
    pub fn record_time_to_first_token(&self, wait: Duration) {
        self.time_to_first_token.record(wait);
    }

    /// Record what the server's agent counts.
    ///
    /// The requests of this process are known better here, so only those of
    /// others are kept.
    pub fn record_report(&self, report: LoadReport, now: Instant) {
        let others = report.held.saturating_sub(self.inflight());
        self.slots.store(report.slots, Ordering::Relaxed);
        self.others.store(others, Ordering::Relaxed);
        self.reported_at.set(now);
    }

    /// Load, in thousandths of the slots, with one more request.
    pub fn load_milli(&self, now: Instant) -> u64 {
        let slots = match self.slots.load(Ordering::Relaxed) {
            0 => Self::SLOTS_DEFAULT,
            slots => slots,
        };
        let age_max = match self.inflight() {
            0 => Self::REPORT_AGE_IDLE,
            _ => Self::REPORT_AGE_MAX,
        };
        let others = match self.reported_at.age(now) <= age_max {
            true => self.others.load(Ordering::Relaxed),
            false => 0,
        };
        let held = u64::from(self.inflight()) + u64::from(others) + 1;
        held * 1_000 / u64::from(slots)
    }

    /// Whether the server is given little work: it fails, or it is slow beside
    /// its peers, whose median time between tokens is `median`.
    pub fn is_avoided(&self, median: Option<Duration>) -> bool {
        self.is_suspect() || self.is_slow(median)
    }

    /// Whether the server is slow beside its peers.
    pub fn is_slow(&self, median: Option<Duration>) -> bool {
        median.is_some_and(|median| self.token_gap() > median * Self::SLOWED_FACTOR)
    }

    /// Whether one request should try an avoided server; requests under way
    /// there tell as much, so there is no trial while tokens come.
    pub fn claim_trial(&self, now: Instant) -> bool {
        self.gap_at.age(now) >= Self::TRIAL_PAUSE && self.trial_at.try_claim(Self::TRIAL_PAUSE, now)
    }

    /// Hash of the name.
    pub const fn name_hash(&self) -> u64 {
        self.name_hash
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
