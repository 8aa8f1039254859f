//! What an entry shows of itself on request.

use domain::backend_server::ServerNode;
use serde_json::{Value, json};

use crate::EntryState;

/// State of the process as JSON.
pub fn dump_state<P>(state: &EntryState<P>) -> Value {
    let servers = state.servers.load();
    let note = state.note.load();
    let (total, long) = state.gate.counts();
    let models: Vec<Value> = note
        .models()
        .map(|(name, duty)| {
            json!({
                "model": name.as_str(),
                "version": duty.version.0,
                "pool": duty.pool.as_str(),
                "window": duty.context_window,
            })
        })
        .collect();
    let servers: Vec<Value> = servers.nodes().iter().map(|node| dump_node(node)).collect();
    json!({
        "role": "entry",
        "name": state.settings.name,
        "failure_domain": state.settings.domain.as_str(),
        "draining": state.is_draining(),
        "note_version": note.version().0,
        "stop_version": state.membership.version().0,
        "models": models,
        "requests": total,
        "long_requests": long,
        "servers": servers,
    })
}

fn dump_node(node: &ServerNode) -> Value {
    let spec = node.spec();
    let gap = node.token_gap().as_micros();
    json!({
        "server": spec.name.as_str(),
        "pool": spec.pool.as_str(),
        "failure_domain": spec.domain.as_str(),
        "control": spec.addresses.control.to_string(),
        "inflight": node.inflight(),
        "leaving": node.is_leaving(),
        "suspect": node.is_suspect(),
        "token_gap_us": u64::try_from(gap).unwrap_or(u64::MAX),
    })
}
