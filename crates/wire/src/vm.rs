//! The platform's list of VMs.

use std::net::SocketAddr;

use domain::{
    DomainName, PoolName, ServerName,
    backend_server::{ServerAddresses, ServerKind, ServerSpec},
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
            domain: DomainName::from(message.domain.as_str()),
            kind: message.kind.into(),
            addresses: ServerAddresses {
                stream: message.stream,
                control: message.control,
            },
        }
    }
}
