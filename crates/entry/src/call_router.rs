//! Choice of an agent for a call, and what may be tried again.
//!
//! Calls with a key go to the server that the key hashes to, so that requests
//! with the same key meet at one agent; the record in the table keeps them at
//! most once even when they do not. A call with a key may therefore be sent to
//! a second agent after a failure, while one without a key may be sent again
//! only if its operation may be repeated.

use std::{sync::Arc, time::Duration};

use domain::{
    PoolName, ServerName,
    backend_server::{ChoiceQuery, ServerChoice, ServerNode, ServerSet},
};
use tokio::time::Instant;
use wire::service_call::{CallMessage, CallReply};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EntryState;

/// Agents that one call is sent to at most.
const TRIES_MAX: usize = 3;

/// Least time that another try is worth making for.
const TRY_MIN: Duration = Duration::from_millis(20);

/// Have a call run by one of the pool's agents.
pub async fn route_call<P>(
    state: &EntryState<P>,
    pool: &PoolName,
    call: &CallMessage,
) -> CallReply {
    let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
    let mut tried: Vec<ServerName> = Vec::new();
    let mut may_have_run = None;
    let request = call.key.as_deref().unwrap_or("none");
    state.call_retries.note_first_try();
    for attempt in 0..TRIES_MAX {
        if attempt > 0 && !state.call_retries.withdraw() {
            break;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left < TRY_MIN {
            break;
        }
        let servers = state.servers.load_full();
        let Some(node) = choose(&state.policy, &servers, pool, call.key.as_deref(), &tried) else {
            break;
        };
        let call = CallMessage {
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            ..call.clone()
        };
        let _guard = node.begin();
        match state.links.call(node.spec().addresses.control, &call).await {
            Ok(CallReply::NotRun { reason }) => {
                let server = &node.spec().name;
                log::info!(request, attempt; "call not run at {server}: {reason}");
            }
            Ok(reply) => {
                node.note_success();
                return reply;
            }
            Err(error) => {
                let server = &node.spec().name;
                log::warn!(request, attempt; "no answer from {server}: {error}");
                node.note_failure();
                may_have_run = Some(error.to_string());
            }
        }
        tried.push(node.spec().name.clone());
    }
    match may_have_run {
        Some(reason) => CallReply::Unknown { reason },
        None => CallReply::NotRun {
            reason: "no server could take the call".to_owned(),
        },
    }
}

fn choose(
    policy: &impl ServerChoice,
    servers: &ServerSet,
    pool: &PoolName,
    key: Option<&str>,
    tried: &[ServerName],
) -> Option<Arc<ServerNode>> {
    let query = ChoiceQuery {
        pool,
        exclude: tried,
        prefix: None,
        now: Instant::now(),
    };
    let Some(key) = key else {
        return servers.choose(policy, &query, &mut rand::rng()).cloned();
    };
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    servers
        .nodes()
        .iter()
        .filter(|node| node.spec().pool == *pool && !node.is_leaving())
        .filter(|node| !tried.contains(&node.spec().name))
        .max_by_key(|node| xxh3_64_with_seed(node.spec().name.as_str().as_bytes(), seed))
        .cloned()
}
