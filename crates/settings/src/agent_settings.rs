//! Settings of an agent.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use domain::{
    FailureDomain, PoolName, ServerName,
    backend_server::{ServerKind, SlotLimits},
};

use crate::{
    DaemonSettings, FindingReport, PortProbe,
    field_reader::{FieldReader, read_file},
    load_policy::{LoadPolicy, read_policy},
};

/// Whether the server refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderChecks {
    /// It takes orders from anyone.
    Ignored,
    /// It refuses old numbers.
    Checked,
}

/// Whether the service lists the keys of the calls it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalOffer {
    /// It does not.
    None,
    /// `GET /v1/journal/TEAM/KEY` tells for the calls of this server.
    ByKey,
    /// The same, for the calls of all servers of the pool.
    ByPool,
}

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the backend server beside it.
    pub name: ServerName,
    /// Pool of the server.
    pub pool: PoolName,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// What the server runs.
    pub kind: ServerKind,
    /// Where the server listens.
    pub server: SocketAddr,
    /// Where entries open streams.
    pub listen: SocketAddr,
    /// Where entries and operators make control calls.
    pub control: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Whether the server checks fencing numbers.
    pub order_checks: OrderChecks,
    /// Whether the service keeps a journal.
    pub journal: JournalOffer,
    /// Time between two heartbeats on an open stream.
    pub beat: Duration,
    /// Time that a generation without a reader is kept.
    pub reader_grace: Duration,
    /// Tokens that the engine may be ahead of the reader.
    pub window: u32,
    /// Longest time that the service works on a call.
    pub service_run_max: Duration,
    /// Time after which a server that the platform does not list counts as
    /// gone for good.
    pub peer_gone: Duration,
    /// Time that a drain waits for work in flight.
    pub drain_max: Duration,
    /// Whether capacity is set apart by class.
    pub policy: LoadPolicy,
    /// How the slots of the server are shared.
    pub slots: SlotLimits,
}

impl DaemonSettings for AgentSettings {
    fn read(name: &str, text: &str, ports: &impl PortProbe) -> Result<Self, FindingReport> {
        read_file(name, text, |fields| Self::from_fields(fields, ports))
    }
}

impl AgentSettings {
    fn from_fields(fields: &FieldReader<'_>, ports: &impl PortProbe) -> Self {
        let settings = Self {
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
            server: fields.address("server"),
            listen: fields.listener("listen", ports),
            control: fields.listener("control", ports),
            platform: fields.address("platform"),
            order_checks: fields.word(
                "order_checks",
                &[
                    ("ignored", OrderChecks::Ignored),
                    ("checked", OrderChecks::Checked),
                ],
            ),
            journal: fields.word(
                "journal",
                &[
                    ("none", JournalOffer::None),
                    ("by_key", JournalOffer::ByKey),
                    ("by_pool", JournalOffer::ByPool),
                ],
            ),
            beat: fields.millis("beat_ms", 10..=1_000, Duration::from_millis(100)),
            reader_grace: fields.millis(
                "reader_grace_ms",
                1_000..=600_000,
                Duration::from_secs(20),
            ),
            window: u32::try_from(fields.number("window_tokens", 16..=100_000, 512))
                .unwrap_or(u32::MAX),
            service_run_max: fields.millis(
                "service_run_max_ms",
                100..=60_000,
                Duration::from_secs(2),
            ),
            peer_gone: fields.millis("peer_gone_ms", 1_000..=3_600_000, Duration::from_secs(60)),
            drain_max: fields.millis("drain_max_ms", 0..=3_600_000, Duration::from_secs(900)),
            policy: read_policy(fields),
            slots: SlotLimits {
                long_milli: milli(fields, "long_slots_milli", 1..=1_000, 500),
                long_floor_milli: milli(fields, "long_floor_milli", 0..=1_000, 250),
                queue_milli: milli(fields, "queue_milli", 0..=4_000, 500),
            },
        };
        if settings.slots.long_floor_milli > settings.slots.long_milli {
            fields.finding(
                "long_floor_milli",
                format!(
                    "`long_floor_milli` must not be above `long_slots_milli` ({})",
                    settings.slots.long_milli
                ),
            );
        }
        if settings.listen == settings.control {
            fields.finding("control", "`control` is the address that `listen` takes");
        }
        if settings.server == settings.listen {
            fields.finding("server", "`server` is the address that `listen` takes");
        }
        settings
    }
}

fn milli(
    fields: &FieldReader<'_>,
    name: &'static str,
    range: RangeInclusive<u64>,
    default: u64,
) -> u32 {
    u32::try_from(fields.number(name, range, default)).unwrap_or(u32::MAX)
}
