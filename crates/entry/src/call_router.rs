//! Choice of an agent for a call, and what may be tried again.
//!
//! Calls with a key go to the server that the key hashes to, so that requests
//! with the same key meet at one agent; the record in the table keeps them at
//! most once even when they do not. A call with a key may therefore be sent to
//! a second agent after a failure, which answers from the record or waits for
//! it. One without a key is of an operation that may be repeated, and is sent
//! again within the deadline and a budget of retries.

use std::{sync::Arc, time::Duration};

use domain::{
    PoolName, ServerName,
    backend_server::{SelectionQuery, ServerNode, ServerSelector, ServerSet},
};
use rand::Rng;
use tokio::time::Instant;
use wire::service_call::{CallMessage, CallReply};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EntryState;

/// Agents that one call is sent to at most.
const TRIES_MAX: u32 = 3;

/// Least time that another try is worth making for.
const TRY_MIN: Duration = Duration::from_millis(20);

/// Pause before a call that another agent runs is asked about again.
const IN_FLIGHT_PAUSE: Duration = Duration::from_millis(100);

/// Least time left for asking again about a call that another agent runs.
const IN_FLIGHT_LEFT_MIN: Duration = Duration::from_millis(400);

/// Time after which a refused call is not tried elsewhere any more, so that
/// the caller hears of the refusal soon.
const REFUSAL_BUDGET: Duration = Duration::from_millis(150);

/// One in this many calls goes to its own server although that failed lately.
const TRIAL_SHARE: u32 = 16;

/// What the tries of a call have shown so far.
#[derive(Debug, Default)]
struct TryLedger {
    tried: Vec<ServerName>,
    may_have_run: Option<String>,
    refused: Option<String>,
}

impl TryLedger {
    /// What the caller is told when no try gave an answer.
    ///
    /// `not run` needs that every try proved it.
    fn outcome(self, call: &CallMessage) -> CallReply {
        if let Some(reason) = self.may_have_run {
            return CallReply::Unknown { reason };
        }
        let is_only_use = call.key.is_none() || call.is_first;
        match self.refused {
            Some(reason) => CallReply::Refused { reason },
            None if self.tried.is_empty() && !is_only_use => CallReply::Refused {
                reason: "no server can be reached".to_owned(),
            },
            None => CallReply::NotRun {
                reason: "no server could take the call".to_owned(),
            },
        }
    }
}

/// What one try asks of the loop.
enum TryStep {
    /// The caller has its answer.
    Done(CallReply),
    /// Another agent may be asked.
    Next,
    /// Another agent runs the call: ask again a little later.
    Wait,
}

/// Have a call run by one of the pool's agents.
pub async fn route_call<P>(
    state: &EntryState<P>,
    pool: &PoolName,
    call: &CallMessage,
) -> CallReply {
    let begun = Instant::now();
    let deadline = begun + Duration::from_millis(call.deadline_ms);
    let mut ledger = TryLedger::default();
    let mut turn = 0;
    while turn < TRIES_MAX {
        let left = deadline.saturating_duration_since(Instant::now());
        // The first tries leave time for those after them.
        let patience = if turn + 1 < TRIES_MAX { left / 2 } else { left };
        if patience < TRY_MIN || (turn > 0 && !may_try_again(state, call)) {
            break;
        }
        let servers = state.servers.load_full();
        let key = call.key.as_deref();
        let Some(node) = choose(&state.policy, &servers, pool, key, &ledger.tried) else {
            break;
        };
        match try_at(state, &node, call, (patience, left), &mut ledger).await {
            TryStep::Done(reply) => return reply,
            TryStep::Next => turn += 1,
            TryStep::Wait => tokio::time::sleep(IN_FLIGHT_PAUSE).await,
        }
        if ledger.refused.is_some() && begun.elapsed() > REFUSAL_BUDGET {
            break;
        }
    }
    ledger.outcome(call)
}

/// Send a call to one agent and wait for `patience`.
async fn try_at<P>(
    state: &EntryState<P>,
    node: &Arc<ServerNode>,
    call: &CallMessage,
    (patience, left): (Duration, Duration),
    ledger: &mut TryLedger,
) -> TryStep {
    let spec = node.spec();
    // A call with a key may go on while others are asked about it; one that
    // may be repeated is given up with its try.
    let limit = if call.key.is_some() { left } else { patience };
    let call = CallMessage {
        deadline_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        ..call.clone()
    };
    let _guard = node.begin_request();
    let sent = state.links.call(spec.addresses.control, &call);
    let reply = match tokio::time::timeout(patience, sent).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => return lose(node, ledger, &error.to_string()),
        Err(_) => return lose(node, ledger, "no answer in time"),
    };
    node.record_success();
    match reply {
        CallReply::InFlight if left > IN_FLIGHT_LEFT_MIN => return TryStep::Wait,
        CallReply::NotRun { reason } => {
            log::info!("call not run at {}: {reason}", spec.name);
        }
        CallReply::Refused { reason } => {
            log::info!("call refused by {}: {reason}", spec.name);
            ledger.refused = Some(reason);
        }
        CallReply::Unknown { reason } if call.key.is_none() => {
            // It may be repeated, so that its loss does no harm.
            log::info!("answer of the server {} lost: {reason}", spec.name);
            ledger.may_have_run = Some(reason);
        }
        reply => return TryStep::Done(reply),
    }
    ledger.tried.push(spec.name.clone());
    TryStep::Next
}

fn lose(node: &ServerNode, ledger: &mut TryLedger, reason: &str) -> TryStep {
    let name = &node.spec().name;
    log::warn!("no answer from {name}: {reason}");
    node.record_failure();
    ledger.tried.push(name.clone());
    ledger.may_have_run = Some(reason.to_owned());
    TryStep::Next
}

/// Whether the budget of retries has room for one more.
fn may_try_again<P>(state: &EntryState<P>, call: &CallMessage) -> bool {
    call.key.is_some() || state.call_retries.try_withdraw()
}

fn choose(
    policy: &impl ServerSelector,
    servers: &ServerSet,
    pool: &PoolName,
    key: Option<&str>,
    tried: &[ServerName],
) -> Option<Arc<ServerNode>> {
    let query = SelectionQuery {
        pool,
        exclude: tried,
        prefix: None,
        is_move: false,
        now: Instant::now(),
    };
    let Some(key) = key else {
        return servers.select(policy, &query, &mut rand::rng()).cloned();
    };
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let is_trial = rand::rng().random_ratio(1, TRIAL_SHARE);
    servers
        .nodes()
        .iter()
        .filter(|node| node.spec().pool == *pool && !node.is_leaving())
        .filter(|node| !tried.contains(&node.spec().name))
        .max_by_key(|node| {
            let is_trusted = is_trial || !node.is_suspect();
            let hash = xxh3_64_with_seed(node.spec().name.as_str().as_bytes(), seed);
            (is_trusted, hash)
        })
        .cloned()
}
