//! Routes, services and caller limits of a desired state.

use std::{sync::Arc, time::Duration};

use derive_more::From;

use crate::{ModelName, ServiceName};

/// API key with which a caller authenticates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, From)]
#[from(String, &str)]
pub struct ApiKey(Arc<str>);

impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Whether requests of a route may be retried, and whether they are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request is idempotent and may run more than once. It need not be safe
    /// (read-only) in the sense of HTTP.
    Safe,
    /// The request must run at most once.
    Unsafe,
    /// The response is an event stream, and the request must run at most once.
    Stream,
    /// The response is an event stream that another server can resume after
    /// the last delivered event; the request may run more than once.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and its share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Weight relative to the sum of the weights of the route.
    pub weight: f64,
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name, used in logs only.
    pub name: Box<str>,
    /// Host that requests must name, without the port.
    pub host: Box<str>,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Box<str>,
    /// Retry and streaming behaviour.
    pub kind: RouteKind,
    /// Upper bound for the deadline of a request.
    pub timeout: Duration,
    /// Target for the response time: a later response is worth less to the caller.
    /// Timeouts are derived from it.
    pub latency_target: Option<Duration>,
    /// Target for the longest gap between two events of a stream: a longer gap
    /// counts as late. Timeouts are derived from it.
    pub gap_target: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers on which one request may run. A server
    /// that certainly did not run the request is not counted.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that handle the requests.
    pub targets: Vec<WeightedService>,
}

impl RouteSpec {
    /// Picks a service at random according to the weights; `draw` is a uniform
    /// random number in `0..1`.
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

/// Properties of the engines (model servers) of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests of a server.
    pub slots: u32,
    /// Size of the KV cache of a server, in tokens.
    pub kv_tokens: u64,
    /// Whether the KV cache of a generation can be copied to another server
    /// while the generation runs.
    pub has_kv_backups: bool,
    /// Models that the servers serve.
    pub models: Vec<ModelName>,
}

/// A service to which routes send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check of its servers.
    pub health_path: Box<str>,
    /// Properties of its engines (model servers); `None` for a service without models.
    pub engine: Option<EngineSpec>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the header section of a request, in bytes.
    pub header_bytes_max: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a desired state is known: 16 KiB of headers, a body
    /// of 4 MiB and 15 s of idle time, the values of the users' examples.
    fn default() -> Self {
        Self {
            header_bytes_max: 16_384,
            body_bytes_max: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
