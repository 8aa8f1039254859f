//! The platform's list of VMs.

use std::net::SocketAddr;

use domain::{
    FailureDomain, PoolName, ServerName,
    backend_server::{ServerAddresses, ServerKind, ServerSpec},
    vm_membership::{StopKind, StopOrder},
};
use serde::{Deserialize, Serialize};

/// What a backend server runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KindMessage {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmMessage {
    /// Name of the backend server.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// What it runs.
    pub kind: KindMessage,
    /// Where its agent serves streams.
    pub stream: SocketAddr,
    /// Where its agent takes control calls.
    pub control: SocketAddr,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The list, as old as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmListMessage {
    /// The VMs.
    pub vms: Vec<VmMessage>,
}

impl From<KindMessage> for ServerKind {
    fn from(message: KindMessage) -> Self {
        match message {
            KindMessage::Engine => Self::Engine,
            KindMessage::Service => Self::Service,
        }
    }
}

impl From<&VmMessage> for ServerSpec {
    fn from(message: &VmMessage) -> Self {
        Self {
            name: ServerName::from(message.name.as_str()),
            pool: PoolName::from(message.pool.as_str()),
            domain: FailureDomain::from(message.domain.as_str()),
            kind: message.kind.into(),
            addresses: ServerAddresses {
                stream: message.stream,
                control: message.control,
            },
        }
    }
}

/// Key of the row that holds the version of the recorded stops.
pub const ORDER_HEAD_KEY: &str = "vm/head";

/// Prefix of the rows of recorded stops.
pub const ORDER_PREFIX: &str = "vm/order/";

/// Prefix of the rows by which entries make themselves known.
pub const ENTRY_PREFIX: &str = "entry/";

/// Key of the row of a recorded stop.
pub fn order_key(server: &str) -> String {
    format!("{ORDER_PREFIX}{server}")
}

/// Key of the row of an entry.
pub fn entry_key(entry: &str) -> String {
    format!("{ENTRY_PREFIX}{entry}")
}

/// Head row of the recorded stops.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct OrderHeadMessage {
    /// Rises with every stop and every undo.
    pub version: u64,
}

/// How long a stop holds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopKindMessage {
    /// Until the VM is replaced or restarted.
    Stop,
    /// Until it is undone.
    Withdraw,
}

/// A recorded stop.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StopOrderMessage {
    /// The server.
    pub server: String,
    /// How long it holds.
    pub kind: StopKindMessage,
    /// Start of the agent's process that is stopped.
    #[serde(default)]
    pub epoch: Option<u64>,
    /// Who ordered it.
    pub operator: String,
    /// Identity, by which a write whose answer was lost is recognised.
    pub id: String,
}

/// An entry that serves.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct EntryMessage {
    /// Where it listens.
    pub address: SocketAddr,
    /// Milliseconds since 1970 when it last made itself known.
    pub known_at_ms: u64,
}

impl From<StopKind> for StopKindMessage {
    fn from(kind: StopKind) -> Self {
        match kind {
            StopKind::Stop => Self::Stop,
            StopKind::Withdraw => Self::Withdraw,
        }
    }
}

impl From<StopKindMessage> for StopKind {
    fn from(message: StopKindMessage) -> Self {
        match message {
            StopKindMessage::Stop => Self::Stop,
            StopKindMessage::Withdraw => Self::Withdraw,
        }
    }
}

impl From<StopOrderMessage> for StopOrder {
    fn from(message: StopOrderMessage) -> Self {
        Self {
            server: ServerName::from(message.server),
            kind: message.kind.into(),
            epoch: message.epoch,
            operator: message.operator,
        }
    }
}
