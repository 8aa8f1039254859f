//! Calls between entries on the users' platform, and what they announce.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use domain::{
    FailureDomain, ServerName, ServerVersion, ServiceName,
    entry_roster::EntryRecord,
    list_relay::LeavingServer,
    server_registry::{RegistryChange, ServerRecord, ServerState},
};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::{
    crash_evidence::EvidenceMessage,
    default_field::is_default,
    retry_room::{RetryCall, RetryReply},
    rollout::RolloutMessage,
    speed_report::SpeedMessage,
};

/// Row with which an entry announces itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct EntryMessage {
    /// Failure domain.
    pub failure_domain: String,
    /// Where it answers other entries, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
}

/// One change of the list of servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ChangeMessage {
    /// Lifetime of the server.
    pub instance: String,
    /// Its registration; none if it is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present: Option<PresentMessage>,
}

/// A registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct PresentMessage {
    /// Service that the server serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Version of its program.
    #[serde(default)]
    pub version: String,
    /// Requests at once.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// Its start, in milliseconds of its own clock.
    pub born_ms: u64,
}

/// A server that announced to an entry that it is leaving.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeavingMessage {
    /// Lifetime of the server.
    pub instance: String,
    /// Its start, in milliseconds of its own clock.
    pub born_ms: u64,
}

/// What changed in the list of servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "news")]
pub enum ChangesReply {
    /// All changes up to a version.
    Changes {
        /// Version of the newest row that was seen.
        version: u64,
        /// Version up to which the store was read.
        read: u64,
        /// Era of the store; entries of earlier releases name none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        era: Option<u64>,
        /// Whether the changes are all registrations, in place of what the caller has.
        #[serde(default, skip_serializing_if = "is_default")]
        is_complete: bool,
        /// Time since the store said so.
        age_ms: u64,
        /// Time for which the call was held before this was said.
        #[serde(default, skip_serializing_if = "is_default")]
        held_ms: u64,
        /// The changes.
        changes: Vec<ChangeMessage>,
        /// All servers that announced that they are leaving.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        leaving: Vec<LeavingMessage>,
    },
    /// The version asked for is longer ago than is known.
    HistoryGone,
    /// The store tells nothing new, or does not answer.
    Nothing,
}

/// The desired state as an entry knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "news")]
pub enum StateReply {
    /// The version in force.
    State {
        /// Version of its row in the store.
        row: u64,
        /// Era of the row; entries of earlier releases name none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        era: Option<u64>,
        /// Time since the store confirmed it as the newest.
        age_ms: u64,
        /// Time for which the call was held before this was said.
        #[serde(default, skip_serializing_if = "is_default")]
        held_ms: u64,
        /// Value of the row; none if the caller has it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        value: Option<String>,
        /// Orders to roll out that are in force.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        orders: Vec<OrderRowMessage>,
    },
    /// The store tells nothing new, or does not answer.
    Nothing,
}

/// A desired state that an entry has in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct NewestReply {
    /// Version of its row in the store.
    pub row: u64,
    /// Era of the row.
    pub era: u64,
    /// Value of the row.
    pub value: String,
}

/// Row of an order to roll out.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct OrderRowMessage {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub row: u64,
    /// Era of the row; 0 if it is not known.
    #[serde(default, skip_serializing_if = "is_default")]
    pub era: u64,
    /// Value of the row.
    pub value: String,
}

/// Calls that an entry answers to others.
#[rpc(client, server, namespace = "entry")]
pub trait EntryPeer {
    /// Wait for the next news of the list after a newest row, and tell what
    /// changed after the version up to which the list was read, both of an `era`. Entries
    /// of earlier releases leave the era out.
    #[method(name = "changes")]
    async fn changes(&self, since: u64, read: u64, era: Option<u64>) -> RpcResult<ChangesReply>;

    /// Wait for a desired state after the one with the operator's `number` in row version
    /// `row` of an `era`, or for the next confirmation that there is none. Entries of earlier
    /// releases leave number and era out.
    #[method(name = "state")]
    async fn state(&self, row: u64, number: Option<u64>, era: Option<u64>)
    -> RpcResult<StateReply>;

    /// Tell the desired state in force if its number is above `number`, whether the store
    /// confirms it or not.
    #[method(name = "newest")]
    async fn newest(&self, number: u64) -> RpcResult<Option<NewestReply>>;

    /// Take what the other entry knows of crashes, and tell what this one knows.
    #[method(name = "evidence")]
    async fn evidence(&self, known: EvidenceMessage) -> RpcResult<EvidenceMessage>;

    /// Take the number of entries that the other one knows, and lend it room of the retry
    /// budget.
    #[method(name = "retry_room")]
    async fn retry_room(&self, call: RetryCall) -> RpcResult<RetryReply>;
    /// Take what the other entry knows of roll-outs, and tell what this one knows.
    #[method(name = "rollouts")]
    async fn rollouts(&self, known: Vec<RolloutMessage>) -> RpcResult<Vec<RolloutMessage>>;
    /// Take what the other entry knows of the speed of servers, and tell what this one
    /// knows.
    #[method(name = "speeds")]
    async fn speeds(&self, known: SpeedMessage) -> RpcResult<SpeedMessage>;
}

/// Why a change cannot be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeFault {
    /// The lifetime has no name.
    #[display("a server without a name")]
    NoName,
}

impl From<&EntryRecord> for EntryMessage {
    fn from(record: &EntryRecord) -> Self {
        Self {
            failure_domain: record.domain.to_string(),
            peer: record.peer_address,
        }
    }
}

impl From<EntryMessage> for EntryRecord {
    fn from(message: EntryMessage) -> Self {
        Self {
            domain: FailureDomain::from(message.failure_domain),
            peer_address: message.peer,
        }
    }
}

impl From<&RegistryChange> for ChangeMessage {
    fn from(change: &RegistryChange) -> Self {
        Self {
            instance: change.instance().to_string(),
            present: match change {
                RegistryChange::Present(record) => Some(record.into()),
                RegistryChange::Absent(_) => None,
            },
        }
    }
}

impl From<&ServerRecord> for LeavingMessage {
    fn from(record: &ServerRecord) -> Self {
        Self {
            instance: record.instance.to_string(),
            born_ms: record.started_ms,
        }
    }
}

impl From<LeavingMessage> for LeavingServer {
    fn from(message: LeavingMessage) -> Self {
        Self {
            instance: ServerName::from(message.instance),
            started_ms: message.born_ms,
        }
    }
}

impl From<&ServerRecord> for PresentMessage {
    fn from(record: &ServerRecord) -> Self {
        Self {
            service: record.service.to_string(),
            address: record.address,
            failure_domain: record.domain.to_string(),
            version: record.version.to_string(),
            slots: record.slots,
            draining: record.state == ServerState::Draining,
            born_ms: record.started_ms,
        }
    }
}

impl TryFrom<ChangeMessage> for RegistryChange {
    type Error = ChangeFault;

    fn try_from(message: ChangeMessage) -> Result<Self, ChangeFault> {
        if message.instance.is_empty() {
            return Err(ChangeFault::NoName);
        }
        let instance = ServerName::from(message.instance);
        let Some(present) = message.present else {
            return Ok(Self::Absent(instance));
        };
        Ok(Self::Present(ServerRecord {
            instance,
            service: ServiceName::from(present.service),
            address: present.address,
            domain: FailureDomain::from(present.failure_domain),
            version: ServerVersion::from(present.version),
            slots: present.slots,
            state: if present.draining {
                ServerState::Draining
            } else {
                ServerState::Ready
            },
            started_ms: present.born_ms,
        }))
    }
}
