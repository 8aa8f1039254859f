//! Control connections to agents, over JSON-RPC.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{AttemptNumber, GenerationId};
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use papaya::HashMap;
use wire::{
    agent_control::AgentControlClient,
    service_call::{CallMessage, CallReply},
};

/// Time that a call has beyond its own deadline for the way back.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Longest time that any control call may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Times that a cancel is tried; a paused VM may hear it when it wakes.
const CANCEL_TRIES: u32 = 5;

/// First pause between two tries of a cancel; doubled after each.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// Clients by address, made on first use.
#[derive(Default)]
pub struct AgentLinks {
    clients: HashMap<SocketAddr, Arc<HttpClient>>,
}

impl AgentLinks {
    /// Have a call run.
    pub async fn call(
        &self,
        agent: SocketAddr,
        call: &CallMessage,
    ) -> Result<CallReply, ClientError> {
        let client = self.client(agent)?;
        let patience = Duration::from_millis(call.deadline_ms) + REPLY_MARGIN;
        match tokio::time::timeout(patience, client.call(call.clone())).await {
            Ok(reply) => reply,
            Err(_) => Err(ClientError::RequestTimeout),
        }
    }

    /// Stop an attempt, without waiting for it.
    pub fn cancel(&self, agent: SocketAddr, generation: GenerationId, attempt: AttemptNumber) {
        let Ok(client) = self.client(agent) else {
            return;
        };
        tokio::spawn(async move {
            let mut pause = CANCEL_PAUSE;
            for _ in 0..CANCEL_TRIES {
                let cancel = client.cancel(generation.to_string(), attempt.0);
                if let Ok(Ok(_)) = tokio::time::timeout(REPLY_MARGIN, cancel).await {
                    return;
                }
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            log::warn!(request:% = generation, attempt:% = attempt; "cancel not heard by {agent}");
        });
    }

    /// Client of an agent.
    pub fn client(&self, agent: SocketAddr) -> Result<Arc<HttpClient>, ClientError> {
        let clients = self.clients.pin();
        if let Some(client) = clients.get(&agent) {
            return Ok(Arc::clone(client));
        }
        let client = HttpClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .build(format!("http://{agent}"))?;
        Ok(Arc::clone(clients.get_or_insert(agent, Arc::new(client))))
    }
}
