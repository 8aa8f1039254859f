//! The gate that orders to the server pass, one at a time.
//!
//! Whether or not the server checks fencing numbers, the agent is the only way
//! to it, so an order that the agent has refused cannot reach it. An order that
//! the agent slept through is not passed on before the highest number has been
//! read again.

use std::{sync::Arc, time::Duration};

use backing::{LeaseStore, StoreError, TableStore};
use domain::{
    FencingNumber,
    pool_lease::{FencingDecision, FencingGate},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, MissedTickBehavior},
};
use wire::lease::{OrderMessage, OrderReply};

use crate::{AgentState, engine_client::EngineClient};

/// Age of an order after which the highest number is read again.
const ORDER_FRESH: Duration = Duration::from_millis(500);

/// Time between two tries to learn the highest number after a start.
const LEARN_INTERVAL: Duration = Duration::from_secs(1);

/// An order and where its answer goes.
pub struct OrderJob {
    order: OrderMessage,
    heard_at: Instant,
    reply: oneshot::Sender<OrderReply>,
}

/// Channel to the gate; it holds one order, since one is under way at most.
pub fn order_channel() -> (mpsc::Sender<OrderJob>, mpsc::Receiver<OrderJob>) {
    mpsc::channel(1)
}

impl AgentState {
    /// Have an order pass the gate.
    pub async fn pass_order(&self, order: OrderMessage) -> OrderReply {
        let (reply, answer) = oneshot::channel();
        let job = OrderJob {
            order,
            heard_at: Instant::now(),
            reply,
        };
        if self.orders.try_send(job).is_err() {
            return OrderReply::Busy;
        }
        answer.await.unwrap_or(OrderReply::Failed)
    }
}

/// Owner of the gate.
pub struct OrderGate<P> {
    state: Arc<AgentState>,
    leases: LeaseStore<P>,
    engine: EngineClient,
    gate: FencingGate,
    is_ready: bool,
}

impl<P: TableStore> OrderGate<P> {
    /// Gate of an agent's server.
    pub fn new(state: Arc<AgentState>, platform: P) -> Self {
        let pool = state.settings.pool.as_str();
        Self {
            leases: LeaseStore::new(platform, pool),
            engine: EngineClient::new(state.settings.server),
            gate: FencingGate::default(),
            is_ready: false,
            state,
        }
    }

    /// Pass orders for as long as the process runs.
    pub async fn run(mut self, mut jobs: mpsc::Receiver<OrderJob>) {
        let mut ticks = tokio::time::interval(LEARN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Some(job) => self.pass(job).await,
                    None => return,
                },
                _ = ticks.tick(), if !self.is_ready => self.learn_or_log().await,
            }
        }
    }

    async fn pass(&mut self, job: OrderJob) {
        let reply = self.judge_and_send(&job).await;
        if reply != OrderReply::Done {
            let server = self.state.settings.name.as_str();
            log::info!(server = server; "order under {}: {reply:?}", job.order.fencing);
        }
        // Whoever asked may have gone away.
        let _ = job.reply.send(reply);
    }

    async fn judge_and_send(&mut self, job: &OrderJob) -> OrderReply {
        if job.heard_at.elapsed() > ORDER_FRESH && self.learn().await.is_err() {
            return OrderReply::NotReady;
        }
        let verdict = self.gate.admit(FencingNumber(job.order.fencing));
        if let Some(refusal) = OrderReply::refusal(verdict) {
            return refusal;
        }
        debug_assert_eq!(verdict, FencingDecision::Accept);
        self.engine.order(&job.order).await
    }

    async fn learn_or_log(&mut self) {
        if let Err(error) = self.learn().await {
            log::warn!("highest fencing number not read: {error}");
        }
    }

    /// Learn the highest number from the store.
    async fn learn(&mut self) -> Result<(), StoreError> {
        let row = self.leases.read().await?;
        let fencing = row.map_or(FencingNumber::default(), |row| row.sight.fencing);
        self.gate.observe_stored(fencing);
        self.is_ready = true;
        Ok(())
    }
}
