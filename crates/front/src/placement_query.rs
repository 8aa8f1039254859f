//! Queries for servers, from the state that the entry has. Requests and their explanation
//! use the same ones.

use std::net::SocketAddr;

use domain::{
    FailureDomain, ServiceName,
    desired_state::{EngineSpec, RouteSpec},
    kv_placement::{EngineRates, PlacementQuery, TokenCounts},
    prompt_cache::CachedPrompt,
};
use tokio::time::Instant;

use crate::front_state::FrontState;

/// Token counts of a request that states none; those of a long prompt.
const DEFAULT_TOKENS: TokenCounts = TokenCounts {
    prompt: 8_000,
    output: 1_000,
};

/// What distinguishes the queries for one request from each other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryContext<'a> {
    /// Failure domain of this entry.
    pub(crate) own_domain: &'a FailureDomain,
    /// Servers that already received the request.
    pub(crate) tried: &'a [SocketAddr],
    /// Current time.
    pub(crate) now: Instant,
}

/// Token counts that are reserved for a request: its prompt, and the stated maximum of its
/// output. With the output that is expected from hints, servers ran out of KV cache and
/// preempted streams.
pub(crate) fn reserved_tokens(stated: Option<TokenCounts>) -> TokenCounts {
    stated.unwrap_or(DEFAULT_TOKENS)
}

/// Query for the server of a stream.
pub(crate) fn stream_query<'a>(
    state: &FrontState,
    service: &ServiceName,
    tokens: TokenCounts,
    cached: Option<CachedPrompt>,
    context: QueryContext<'a>,
) -> PlacementQuery<'a> {
    PlacementQuery {
        tokens: Some(tokens),
        kv_capacity: engine_of(state, service).map_or(u64::MAX / 100, |engine| engine.kv_tokens),
        rates: state.costs.engine(service).rates(),
        cached,
        own_domain: context.own_domain,
        tried: context.tried,
        now: context.now,
    }
}

/// Query for the server of a plain call.
pub(crate) fn call_query<'a>(
    state: &FrontState,
    service: &ServiceName,
    route: &RouteSpec,
    context: QueryContext<'a>,
) -> PlacementQuery<'a> {
    PlacementQuery {
        tokens: None,
        kv_capacity: 0,
        rates: call_rates(state, service, route),
        cached: None,
        own_domain: context.own_domain,
        tried: context.tried,
        now: context.now,
    }
}

/// Usual times of calls, of the service and of the route.
pub(crate) fn call_rates(
    state: &FrontState,
    service: &ServiceName,
    route: &RouteSpec,
) -> EngineRates {
    let rates = state.costs.engine(service).rates();
    let estimate = state.costs.route(service, &route.name);
    EngineRates {
        call_us: estimate.call_us().unwrap_or(rates.mean_call_us),
        ..rates
    }
}

/// Engines of a service, if it has models.
pub(crate) fn engine_of(state: &FrontState, service: &ServiceName) -> Option<EngineSpec> {
    let desired = state.desired.load();
    desired.as_ref()?.service(service)?.engine.clone()
}
