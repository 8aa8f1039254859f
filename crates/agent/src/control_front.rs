//! The JSON-RPC front of an agent: calls, cancels, drains and probes.

use std::sync::{Arc, atomic::Ordering};

use domain::{AttemptNumber, GenerationId};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
    types::{ErrorObjectOwned, error::INVALID_PARAMS_CODE},
};
use tokio::time::Instant;
use wire::{
    agent_control::{AgentControlServer, NewsMessage, OrderNews, ServerReport, TellReply},
    lease::{LoadedReport, OrderMessage, OrderReply},
    service_call::{CallMessage, CallReply},
};

use crate::{AgentState, call_runner::CallRunner, generation_task::TaskCommand};

/// Answers control calls.
pub struct ControlFront {
    state: Arc<AgentState>,
    runner: Arc<CallRunner>,
}

impl ControlFront {
    /// Front of an agent.
    pub fn new(state: Arc<AgentState>) -> Self {
        Self {
            runner: Arc::new(CallRunner::new(Arc::clone(&state))),
            state,
        }
    }

    fn report(&self) -> ServerReport {
        let silence = self.state.server_silence(Instant::now()).as_millis();
        ServerReport {
            server: self.state.settings.name.as_str().to_owned(),
            leaving: self.state.is_leaving(),
            generations: u32::try_from(self.state.registry.len()).unwrap_or(u32::MAX),
            calls: self.state.calls.load(Ordering::Relaxed),
            silence_ms: u64::try_from(silence).unwrap_or(u64::MAX),
            note_version: self.state.notes.ledger().version().0,
            epoch: self.state.owner.epoch,
        }
    }
}

#[async_trait]
impl AgentControlServer for ControlFront {
    async fn call(&self, call: CallMessage) -> RpcResult<CallReply> {
        Ok(self.runner.run(&call).await)
    }

    async fn cancel(&self, generation: String, attempt: u32) -> RpcResult<bool> {
        let generation: GenerationId = generation.parse().map_err(|error| {
            ErrorObjectOwned::owned(INVALID_PARAMS_CODE, format!("{error}"), None::<()>)
        })?;
        let Some(task) = self.state.registry.get(generation) else {
            return Ok(false);
        };
        let attempt = AttemptNumber(attempt);
        Ok(task.send(TaskCommand::Cancel { attempt }).await.is_ok())
    }

    async fn drain(&self, leaving: bool) -> RpcResult<ServerReport> {
        log::info!("told to {}", if leaving { "drain" } else { "serve" });
        self.state.set_leaving(leaving);
        Ok(self.report())
    }

    async fn tell(&self, news: NewsMessage) -> RpcResult<TellReply> {
        self.state.hear_news(news);
        Ok(TellReply {
            leaving: self.state.is_leaving(),
            note_version: self.state.notes.ledger().version().0,
        })
    }

    async fn heed(&self, order: OrderNews) -> RpcResult<ServerReport> {
        log::info!("told of stops at version {}", order.version);
        self.state.notes.heed(&order, self.state.owner.epoch);
        Ok(self.report())
    }

    async fn loaded(&self) -> RpcResult<LoadedReport> {
        let load = self.state.engine.load().await;
        Ok(LoadedReport {
            loaded: load.ok().map(|load| load.loaded),
            generations: self.report().generations,
        })
    }

    async fn order(&self, order: OrderMessage) -> RpcResult<OrderReply> {
        Ok(self.state.pass_order(order).await)
    }

    async fn probe(&self) -> RpcResult<ServerReport> {
        Ok(self.report())
    }
}

/// Serve control calls until the handle is dropped.
pub async fn serve_control(state: &Arc<AgentState>) -> std::io::Result<ServerHandle> {
    let server = Server::builder().build(state.settings.control).await?;
    let front = ControlFront::new(Arc::clone(state));
    Ok(server.start(front.into_rpc()))
}
