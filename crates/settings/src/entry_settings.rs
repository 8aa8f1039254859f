//! Settings of an entry.

use std::{net::SocketAddr, time::Duration};

use domain::{
    FailureDomain, PoolName, ServerName, ServiceName,
    backend_server::{ServerAddresses, ServerKind, ServerSpec},
    team_budget::ClassLimits,
};

use crate::{
    DaemonSettings, FindingReport, PortProbe,
    field_reader::{FieldReader, read_file},
    load_policy::{LoadPolicy, read_policy},
};

/// A plain service and the pool that serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Name in the callers' paths.
    pub service: ServiceName,
    /// Pool of its servers.
    pub pool: PoolName,
    /// Operations that may be repeated.
    pub repeatable: Vec<String>,
}

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the process, unique in the deployment.
    pub name: String,
    /// Failure domain of its VM.
    pub domain: FailureDomain,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Servers known before the platform's list is read.
    pub servers: Vec<ServerSpec>,
    /// Plain services.
    pub services: Vec<ServiceRoute>,
    /// How servers are chosen and requests taken in.
    pub policy: LoadPolicy,
    /// Requests taken in at once.
    pub limits: ClassLimits,
    /// Largest body of a request, in bytes.
    pub body_max: u64,
    /// Memory for the bodies of all requests, in bytes.
    pub bodies_max: u64,
    /// Time between two readings of the platform's list and the release note.
    pub refresh: Duration,
    /// Time that a drain waits for requests in flight.
    pub drain_max: Duration,
}

impl DaemonSettings for EntrySettings {
    fn read(name: &str, text: &str, ports: &impl PortProbe) -> Result<Self, FindingReport> {
        read_file(name, text, |fields| Self::from_fields(fields, ports))
    }
}

impl EntrySettings {
    fn from_fields(fields: &FieldReader<'_>, ports: &impl PortProbe) -> Self {
        let total_max = fields.number("requests_max", 2..=100_000, 4_096);
        let long_max = fields.number("long_requests_max", 1..=100_000, total_max * 3 / 4);
        if long_max >= total_max {
            fields.finding(
                "long_requests_max",
                format!("`long_requests_max` must be below `requests_max` ({total_max})"),
            );
        }
        let settings = Self {
            name: fields.text("name"),
            domain: FailureDomain::from(fields.text("failure_domain")),
            listen: fields.listener("listen", ports),
            platform: fields.address("platform"),
            servers: fields.objects("servers", read_server),
            services: fields.objects("services", read_service),
            policy: read_policy(fields),
            limits: ClassLimits {
                total_max: u32::try_from(total_max).unwrap_or(u32::MAX),
                long_max: u32::try_from(long_max).unwrap_or(u32::MAX),
            },
            body_max: fields.number("body_max_bytes", 1_024..=64 << 20, 1 << 20),
            bodies_max: fields.number("bodies_max_bytes", 1 << 20..=64 << 30, 128 << 20),
            refresh: fields.millis("refresh_ms", 100..=60_000, Duration::from_secs(1)),
            drain_max: fields.millis("drain_max_ms", 0..=3_600_000, Duration::from_secs(900)),
        };
        if settings.listen == settings.platform {
            fields.finding("platform", "`platform` is the address that `listen` takes");
        }
        settings
    }
}

fn read_server(fields: &FieldReader<'_>) -> ServerSpec {
    ServerSpec {
        name: ServerName::from(fields.text("name")),
        pool: PoolName::from(fields.text("pool")),
        domain: FailureDomain::from(fields.text("failure_domain")),
        kind: fields.word(
            "kind",
            &[
                ("engine", ServerKind::Engine),
                ("service", ServerKind::Service),
            ],
        ),
        addresses: ServerAddresses {
            stream: fields.address("stream"),
            control: fields.address("control"),
        },
    }
}

fn read_service(fields: &FieldReader<'_>) -> ServiceRoute {
    ServiceRoute {
        service: ServiceName::from(fields.text("service")),
        pool: PoolName::from(fields.text("pool")),
        repeatable: fields.texts("repeatable"),
    }
}
