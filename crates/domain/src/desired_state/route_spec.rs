//! Routes, services and limits.

use std::{sync::Arc, time::Duration};

use derive_more::From;

use crate::{ModelName, ServiceName};

/// Key that a caller shows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, From)]
#[from(String, &str)]
pub struct ApiKey(Arc<str>);

impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Stream that runs at most once.
    Stream,
    /// Stream that may go on at another server after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service with its share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that serves.
    pub service: ServiceName,
    /// Share, against the sum of all.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host of its requests.
    pub host: Box<str>,
    /// Beginning of its paths; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub latency_target: Option<Duration>,
    /// Longest pause between events that is in time.
    pub gap_target: Option<Duration>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Servers on which one request may run.
    pub attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Services that serve it.
    pub targets: Vec<WeightedService>,
}

impl RouteSpec {
    /// Service for a request, drawn by the weights; `draw` lies in `0..1`.
    pub fn pick_target(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * total;
        for target in &self.targets {
            rest -= target.weight;
            if rest < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// Model servers of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: u32,
    /// Memory for tokens.
    pub kv_tokens: u64,
    /// Whether a run's memory can be copied while it runs.
    pub has_kv_backups: bool,
    /// Models that they serve.
    pub models: Vec<ModelName>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Path at which its servers answer for their health.
    pub health_path: Box<str>,
    /// Model servers; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how long its connection may be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes_max: usize,
    /// Bytes of a body.
    pub body_bytes_max: usize,
    /// Idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits of the users' examples, until a desired state is known.
    fn default() -> Self {
        Self {
            header_bytes_max: 16_384,
            body_bytes_max: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
