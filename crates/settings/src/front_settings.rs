//! Settings of an entry on the users' platform.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use domain::{FailureDomain, retry_share::RetryBounds, rollout::ExposureBounds};

use crate::{
    DaemonSettings, FindingReport, PortProbe,
    field_reader::{FieldReader, read_file},
};

/// Memory of the VM in MiB and its descriptors if the settings name none: those of the
/// users' smallest VMs.
const MEMORY_MB_DEFAULT: u64 = 88;
const DESCRIPTORS_DEFAULT: u64 = 3_075;

/// What an entry is told at its start and whenever the file changes.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name of the process, unique in the deployment.
    pub name: String,
    /// Failure domain of its VM.
    pub domain: FailureDomain,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the process is ready.
    pub ready: SocketAddr,
    /// Where metrics and state are served.
    pub admin: SocketAddr,
    /// Where other entries ask; none if this one answers none.
    pub peer: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time in which an accepted desired state is to be in force.
    pub apply_limit: Duration,
    /// Time in which a server that leaves is to get nothing new.
    pub drain_limit: Duration,
    /// Time in which entries are to learn what one of them has learned.
    pub contact_limit: Duration,
    /// Time after a server's end in which its address is given to no other.
    pub address_reuse: Duration,
    /// Time from the order to stop to the kill.
    pub grace: Duration,
    /// Bounds of the retry budget.
    pub retry: RetryBounds,
    /// Bounds of the traffic to new versions; without them orders to roll out are not
    /// acted on.
    pub exposure: Option<ExposureBounds>,
    /// Memory of the VM, in bytes.
    pub memory: usize,
    /// File descriptors of the VM.
    pub descriptors_max: usize,
}

impl DaemonSettings for FrontSettings {
    fn read(name: &str, text: &str, ports: &impl PortProbe) -> Result<Self, FindingReport> {
        read_file(name, text, |fields| Self::from_fields(fields, ports))
    }
}

impl FrontSettings {
    /// Addresses at which the process itself listens.
    pub fn own_addresses(&self) -> Vec<SocketAddr> {
        [self.listen, self.ready, self.admin]
            .into_iter()
            .chain(self.peer)
            .collect()
    }

    fn from_fields(fields: &FieldReader<'_>, ports: &impl PortProbe) -> Self {
        Self {
            name: fields.text("name"),
            domain: FailureDomain::from(fields.text("failure_domain")),
            listen: fields.listener("listen", ports),
            ready: fields.listener("ready", ports),
            admin: fields.listener("admin", ports),
            peer: fields.optional_listener("peer", ports),
            store: fields.address("store"),
            apply_limit: fields.millis("apply_ms", 1..=600_000, Duration::from_millis(2_000)),
            drain_limit: fields.millis("drain_ms", 100..=600_000, Duration::from_millis(2_000)),
            contact_limit: fields.millis("contact_ms", 100..=600_000, Duration::from_millis(3_000)),
            address_reuse: read_seconds(fields, "address_reuse_seconds", 0.0),
            grace: read_seconds(fields, "grace_seconds", 8.0),
            retry: RetryBounds {
                ratio: fields.decimal("retry_ratio", 0.2),
                slack: fields.decimal("retry_slack", 10.0),
                window: read_seconds(fields, "retry_window_seconds", 10.0),
            },
            exposure: read_exposure(fields),
            memory: read_size(fields, "memory_mb", 16..=1_048_576, MEMORY_MB_DEFAULT) << 20,
            descriptors_max: read_size(
                fields,
                "descriptors_max",
                256..=u64::from(u32::MAX),
                DESCRIPTORS_DEFAULT,
            ),
        }
    }
}

fn read_exposure(fields: &FieldReader<'_>) -> Option<ExposureBounds> {
    let share = fields.optional_decimal("expose_share");
    let slack = fields.optional_decimal("expose_slack");
    let rollback = fields.millis("rollback_ms", 100..=600_000, Duration::from_secs(5));
    Some(ExposureBounds {
        share: share?,
        slack: slack?,
        rollback,
    })
}

fn read_size(
    fields: &FieldReader<'_>,
    name: &'static str,
    range: RangeInclusive<u64>,
    default: u64,
) -> usize {
    usize::try_from(fields.number(name, range, default)).unwrap_or(usize::MAX)
}

fn read_seconds(fields: &FieldReader<'_>, name: &'static str, default: f64) -> Duration {
    Duration::try_from_secs_f64(fields.decimal(name, default)).unwrap_or_default()
}
