//! Control calls between the system's own processes, over JSON-RPC.
//!
//! Calls that are small and answered once go this way. Token streams do not:
//! each of them wants a connection of its own, so that silence, cuts and
//! backpressure of one do not touch another.

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::service_call::{CallMessage, CallReply};

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

    /// Report on the server.
    #[method(name = "probe")]
    async fn probe(&self) -> RpcResult<ServerReport>;
}
