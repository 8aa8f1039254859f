//! Control calls between the system's own processes, over JSON-RPC.
//!
//! Calls that are small and answered once go this way. Token streams do not:
//! each of them wants a connection of its own, so that silence, cuts and
//! backpressure of one do not touch another.

use std::net::SocketAddr;

use domain::vm_membership::StopOrder;
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::{
    default_field::is_default,
    lease::{LoadedReport, OrderMessage, OrderReply},
    service_call::{CallMessage, CallReply},
    vm::StopKindMessage,
};

/// What an agent says of its server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: String,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Generations under way.
    pub generations: u32,
    /// Calls under way.
    pub calls: u32,
    /// Milliseconds since the server last gave a sign of life.
    pub silence_ms: u64,
    /// Version of the release note in force at the agent.
    #[serde(default)]
    pub note_version: u64,
    /// Start of the agent's process, in milliseconds since 1970.
    #[serde(default)]
    pub epoch: u64,
}

/// What an agent answers to news: as much as its teller acts on.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct TellReply {
    /// Whether the server takes no new work.
    #[serde(rename = "x", default, skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// Version of the release note in force at the agent.
    #[serde(rename = "n", default, skip_serializing_if = "is_default")]
    pub note_version: u64,
}

/// What is recorded of the stopping of a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct OrderNews {
    /// Version of the record.
    #[serde(rename = "v", default, skip_serializing_if = "is_default")]
    pub version: u64,
    /// The stop that stands for the server.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<StopNews>,
}

/// What an entry tells an agent beside its requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct NewsMessage {
    /// Version of the release note in force at the entry.
    #[serde(rename = "n", default, skip_serializing_if = "is_default")]
    pub note_version: u64,
    /// Where the entry passes notes on.
    #[serde(rename = "a")]
    pub entry: SocketAddr,
    /// Recorded stops.
    #[serde(rename = "o", default, skip_serializing_if = "is_default")]
    pub order: OrderNews,
    /// Whether the platform's list says that the VM is leaving.
    #[serde(rename = "x", default, skip_serializing_if = "is_default")]
    pub is_listed_leaving: bool,
}

/// A recorded stop as it is told to the server's agent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct StopNews {
    /// How long it holds.
    pub kind: StopKindMessage,
    /// Start of the agent's process that is stopped.
    pub epoch: Option<u64>,
}

impl From<&StopOrder> for StopNews {
    fn from(order: &StopOrder) -> Self {
        Self {
            kind: order.kind.into(),
            epoch: order.epoch,
        }
    }
}

/// Calls that an agent answers.
#[rpc(client, server, namespace = "agent")]
pub trait AgentControl {
    /// Run a call at the plain service.
    #[method(name = "call")]
    async fn call(&self, call: CallMessage) -> RpcResult<CallReply>;

    /// Stop an attempt and all earlier ones of a generation.
    #[method(name = "cancel")]
    async fn cancel(&self, generation: String, attempt: u32) -> RpcResult<bool>;

    /// Take no new work, or take it again.
    #[method(name = "drain")]
    async fn drain(&self, leaving: bool) -> RpcResult<ServerReport>;

    /// Hear which release note and which stops are in force.
    #[method(name = "tell")]
    async fn tell(&self, news: NewsMessage) -> RpcResult<TellReply>;

    /// Hear of a recorded stop or its undoing.
    #[method(name = "heed")]
    async fn heed(&self, order: OrderNews) -> RpcResult<ServerReport>;

    /// Say what the server has loaded.
    #[method(name = "loaded")]
    async fn loaded(&self) -> RpcResult<LoadedReport>;

    /// Have the server carry out an order.
    #[method(name = "order")]
    async fn order(&self, order: OrderMessage) -> RpcResult<OrderReply>;

    /// Report on the server.
    #[method(name = "probe")]
    async fn probe(&self) -> RpcResult<ServerReport>;
}
