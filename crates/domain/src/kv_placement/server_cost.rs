//! Terms of the cost of a request at a server, in milliseconds. The choice of a server
//! and its explanation use the same value, so they cannot differ.
//!
//! Load pattern: requests of very different size meet servers of different speed. A
//! stream costs its caller the prefill that waits at the server and its own, both at the
//! speed of that server, and it costs the streams there the time in which they stand
//! still. Where all servers are equally fast, only what waits there tells them apart.

use std::time::Duration;

use super::{
    LoadReport, PlacementQuery, TokenCounts, engine_estimate::SIGNIFICANT_TOKENS,
    server_pick::POOR_PLACEMENT_COST_MS,
};
use crate::{FailureDomain, server_registry::RegisteredServer};

/// Delay that a running request causes to each other one. It adds about 0.02 ms
/// to every decoding step, which is 16 ms over a generation of 800 tokens.
pub(super) const RUNNING_REQUEST_COST_MS: u64 = 16;
/// Part of a prefill that counts for each request whose tokens it delays, in
/// percent. The delay of others weighs less than that of the request itself, whose
/// caller has seen nothing yet.
const INTERFERENCE_PERCENT: u64 = 15;
/// Part of the time of a call that counts as the delay of a call behind it, in percent: a
/// third rather than all of it, because a server runs several calls concurrently.
const QUEUED_CALL_PERCENT: u64 = 33;
/// Cost of another failure domain for a stream. Its 22 kB of traffic between the
/// domains are charged at 0.8 % of the worth of the stream. Costs are compared in
/// milliseconds, so this delay stands for that price.
const STREAM_CROSS_DOMAIN_COST_MS: u64 = 400;
/// Cost of another failure domain for a call to a plain service: two more network
/// hops.
const CALL_CROSS_DOMAIN_COST_MS: u64 = 12;
/// Time after its arrival for which a load report is used. It is about 100 ms old
/// when it arrives.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);
/// Share of a server's KV cache that placement uses, in percent. The rest is
/// left for requests of other processes and for growing outputs.
const KV_FILL_PERCENT_MAX: u64 = 85;
/// Reported service times that count as the usual one, in percent.
const USUAL_SERVICE_TIMES: std::ops::RangeInclusive<u32> = 86..=115;

/// What a request costs at a server, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostTerms {
    /// Prefill of the prompts ahead, or plain calls ahead.
    pub wait_ms: u64,
    /// The request's own prefill, or the call itself.
    pub own_ms: u64,
    /// Delay of the requests that run there.
    pub others_ms: u64,
    /// Another failure domain.
    pub domain_ms: u64,
    /// Too little free KV cache.
    pub kv_ms: u64,
    /// The server or its failure domain appears to be down.
    pub suspect_ms: u64,
}

impl CostTerms {
    /// Terms that depend on the load, speed and place of the server.
    pub(super) fn new(server: &RegisteredServer, query: &PlacementQuery<'_>) -> Self {
        let report = fresh_report(server, query);
        let requests = u64::from(server.running()) + other_requests(server, report);
        match query.tokens {
            Some(tokens) => Self::of_stream(server, query, tokens, requests),
            None => Self::of_call(server, query, other_requests(server, report)),
        }
    }

    fn of_stream(
        server: &RegisteredServer,
        query: &PlacementQuery<'_>,
        tokens: TokenCounts,
        requests: u64,
    ) -> Self {
        let uncached = tokens.prompt.saturating_sub(query.cached_tokens(server));
        let own_ms = prefill_ms(server, query, uncached);
        let interference_ms = own_ms * INTERFERENCE_PERCENT / 100;
        Self {
            wait_ms: waiting_ms(server, query),
            own_ms,
            others_ms: requests * (RUNNING_REQUEST_COST_MS + interference_ms),
            kv_ms: kv_space_cost(server, query),
            ..Self::default()
        }
    }

    /// Calls of this process count by the usual time of their route, those of others by the
    /// mean of the service.
    fn of_call(server: &RegisteredServer, query: &PlacementQuery<'_>, others: u64) -> Self {
        let percent = time_percent(server, query);
        let ahead_us = server.call_us() + others * query.rates.mean_call_us;
        let millis = |micros: u64| micros.saturating_mul(percent) / 100_000;
        Self {
            wait_ms: millis(ahead_us * QUEUED_CALL_PERCENT / 100),
            own_ms: millis(query.rates.call_us),
            ..Self::default()
        }
    }

    /// Sum of all terms.
    pub fn total_ms(&self) -> u64 {
        self.wait_ms + self.own_ms + self.others_ms + self.domain_ms + self.kv_ms + self.suspect_ms
    }
}

/// Cost of the failure domain of a server.
pub(super) fn domain_cost(domain: &FailureDomain, query: &PlacementQuery<'_>) -> u64 {
    if domain == query.own_domain {
        0
    } else if query.tokens.is_some() {
        STREAM_CROSS_DOMAIN_COST_MS
    } else {
        CALL_CROSS_DOMAIN_COST_MS
    }
}

/// Requests of other processes at a server.
fn other_requests(server: &RegisteredServer, report: Option<LoadReport>) -> u64 {
    report.map_or(0, |report| {
        u64::from(report.running + report.waiting).saturating_sub(u64::from(server.running()))
    })
}

/// Cost of too little free KV cache when all requests there are at their end. Those of
/// other processes are of the usual size.
pub(super) fn kv_space_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let Some(tokens) = query.tokens else {
        return 0;
    };
    let others = other_requests(server, fresh_report(server, query));
    // Each stream of other processes has a copy of its KV cache at another server, which no
    // report counts: on average as many as run here.
    let others_tokens = others * query.rates.mean_kv_tokens * 2;
    let limit = query.kv_capacity * KV_FILL_PERCENT_MAX / 100;
    if server.kv_tokens() + others_tokens + tokens.total() > limit {
        POOR_PLACEMENT_COST_MS
    } else {
        0
    }
}

fn fresh_report(server: &RegisteredServer, query: &PlacementQuery<'_>) -> Option<LoadReport> {
    let report = server.report(query.now);
    report
        .filter(|(_, age)| *age < REPORT_AGE_MAX)
        .map(|(report, _)| report)
}

/// How long work takes at a server now, in percent of the usual time: what was learned of
/// its VM, times what it reports itself.
pub(super) fn time_percent(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let speed = server.speed();
    let reported = fresh_report(server, query)
        .map_or_else(
            || speed.usual_service_time(),
            |report| report.service_time_percent,
        )
        .clamp(25, 1_000);
    let learned = u64::from(speed.ratio_percent(query.now));
    if USUAL_SERVICE_TIMES.contains(&reported) {
        return learned;
    }
    learned * u64::from(reported) / 100
}

/// Time that the prefill of a number of tokens takes at a server now.
pub fn prefill_ms(server: &RegisteredServer, query: &PlacementQuery<'_>, tokens: u64) -> u64 {
    query
        .rates
        .prefill_ms(tokens)
        .saturating_mul(time_percent(server, query))
        / 100
}

/// Tokens of the prompts that wait at a server. The reported prompts include those of
/// this process, whose sizes are known; the others are of the usual size.
fn waiting_tokens(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let reported = fresh_report(server, query).map_or(0, |report| report.waiting);
    let others = u64::from(reported.saturating_sub(server.prompts()));
    server.prompt_tokens() + others * query.rates.mean_prompt_tokens
}

/// Time that the prefill of the prompts ahead of a request takes. A request waits
/// until its prefill is finished.
pub(super) fn waiting_ms(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    prefill_ms(server, query, waiting_tokens(server, query))
}

/// Prompts ahead up to which a first event tells the speed of its server. Behind more of
/// them, it tells the length of the queue.
const AHEAD_MAX: u32 = 1;

/// Time from sending to the first event at a server of the usual speed, for a request
/// that is about to be sent; `None` if too little is known of what waits there.
pub fn usual_first_event(
    server: &RegisteredServer,
    query: &PlacementQuery<'_>,
    tokens: u64,
) -> Option<Duration> {
    let report = fresh_report(server, query)?;
    if tokens < SIGNIFICANT_TOKENS {
        return None;
    }
    if report.waiting.max(server.prompts()) > AHEAD_MAX {
        return None;
    }
    let percent = u64::from(report.service_time_percent.clamp(25, 1_000));
    let ahead = waiting_tokens(server, query);
    let millis = query.rates.prefill_ms(ahead + tokens) * percent / 100;
    Some(Duration::from_millis(millis.max(1)))
}
