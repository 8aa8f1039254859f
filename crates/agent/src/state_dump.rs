//! What an agent shows of itself on request.

use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::AgentState;

/// State of the process as JSON.
pub fn dump_state(state: &AgentState, now: Instant) -> Value {
    let generations: Vec<String> = state
        .registry
        .identities()
        .iter()
        .map(ToString::to_string)
        .collect();
    let silence = state.server_silence(now).as_millis();
    json!({
        "role": "agent",
        "server": state.settings.name.as_str(),
        "pool": state.settings.pool.as_str(),
        "failure_domain": state.settings.domain.as_str(),
        "epoch": state.owner.epoch,
        "note_version": state.notes.ledger().version().0,
        "lease": state.lease.fencing(now).map(|fencing| json!({ "fencing": fencing.0 })),
        "leaving": state.is_leaving(),
        "server_silence_ms": u64::try_from(silence).unwrap_or(u64::MAX),
        "generations": generations,
        "slots": state.slots.slots(),
        "slots_held": state.slots.in_flight(),
        "calls": state.calls.load(Ordering::Relaxed),
        "calls_to_settle": state.call_registry.cases().len(),
    })
}
