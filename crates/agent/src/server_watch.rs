//! Signs of life of the server beside the agent.

use std::{sync::Arc, time::Duration};

use domain::backend_server::ServerKind;
use tokio::time::{Instant, MissedTickBehavior};

use crate::AgentState;

/// Time between two questions to the server.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Ask the server for a sign of life, for as long as the process runs.
pub async fn watch_server(state: Arc<AgentState>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let is_alive = match state.settings.kind {
            ServerKind::Engine => match state.engine.load().await {
                Ok(load) => {
                    state.slots.set_slots(load.slots);
                    true
                }
                Err(_) => false,
            },
            ServerKind::Service => is_listening(&state).await,
        };
        if is_alive {
            state.note_sign(Instant::now());
        }
    }
}

async fn is_listening(state: &AgentState) -> bool {
    let connect = tokio::net::TcpStream::connect(state.settings.server);
    matches!(
        tokio::time::timeout(PROBE_INTERVAL, connect).await,
        Ok(Ok(_))
    )
}
