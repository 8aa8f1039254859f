//! Picks the server with the lowest estimated cost in milliseconds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::TokenCounts;
use crate::{
    FailureDomain,
    prompt_cache::CachedPrompt,
    server_registry::{DomainServers, RegisteredServer},
};

/// Prefill rate in prompt tokens per millisecond, the same on the data sheets of
/// all sites.
const PREFILL_TOKENS_PER_MS: u64 = 8;
/// Delay that a running request causes to the others, in milliseconds. Each
/// adds about 0.02 ms to a decoding step, which is 16 ms over 800 steps.
const RUNNING_REQUEST_MS: u64 = 16;
/// Delay of a plain request for each request ahead of it, in milliseconds: a
/// third of the 15 ms of work on the data sheets, since six run concurrently.
const QUEUED_CALL_MS: u64 = 5;
/// Cost of another failure domain for a stream: the price of its 22 kB of
/// traffic on the data sheets is 0.8 % of its value, expressed as a delay.
const STREAM_CROSS_DOMAIN_MS: u64 = 400;
/// Cost of another failure domain for a plain request: two more network hops.
const CALL_CROSS_DOMAIN_MS: u64 = 12;
/// Cost of a suspect server: above all delays, so that it is picked only when
/// there is no other.
const SUSPECT_SERVER_MS: u64 = 100_000;
/// Cost of a server in a failure domain that appears to be down.
const SUSPECT_DOMAIN_MS: u64 = 50_000;
/// Time for which a failure counts against its failure domain: the length of a
/// domain outage at the current sites, plus the time until the new registrations
/// of its servers have been read.
const DOMAIN_FAILURE_WINDOW: Duration = Duration::from_millis(2_500);
/// Time for which a sign of life counts in favor of its failure domain.
const DOMAIN_LIVENESS_WINDOW: Duration = Duration::from_millis(1_000);
/// Cost of a server with too little free KV cache, and of a backup in the
/// failure domain of the primary.
const NO_KV_SPACE_MS: u64 = 20_000;
/// Cost of the primary as its own backup: above all other costs.
const PRIMARY_AS_BACKUP_MS: u64 = 10_000_000;
/// Age after which a load report is ignored. It is about 100 ms old on arrival.
const REPORT_MAX_AGE: Duration = Duration::from_millis(400);
/// Share of a server's KV cache that placement uses, in percent. The rest is
/// left for requests of other processes and for growing outputs.
const KV_MAX_FILL_PERCENT: u64 = 85;

/// Numbers of servers examined in the process's own failure domain and in each
/// other one. They cover the current sites completely; in larger domains the
/// best server of the sample is nearly as good as the best of all.
const OWN_DOMAIN_SAMPLE: usize = 24;
const OTHER_DOMAIN_SAMPLE: usize = 12;

/// Requirements of a request for its server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Token counts of a request to a model server; `None` for a plain service.
    pub tokens: Option<TokenCounts>,
    /// KV cache capacity of a model server, in tokens.
    pub kv_capacity: u64,
    /// Server that has the prompt in its KV cache, if known.
    pub cached: Option<CachedPrompt>,
    /// Failure domain of this process.
    pub own_domain: &'a FailureDomain,
    /// Servers that already received the request.
    pub tried: &'a [SocketAddr],
    /// Current time.
    pub now: Instant,
}

impl PlacementQuery<'_> {
    /// Number of prompt tokens in the server's KV cache.
    fn cached_tokens(&self, server: &RegisteredServer) -> u64 {
        match self.cached {
            Some(cached) if cached.address == server.record().address => cached.tokens,
            _ => 0,
        }
    }
}

/// Picks the server for a request.
pub fn pick_server<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Arc<RegisteredServer>> {
    let locality_cost = |domain: &FailureDomain| {
        if domain == query.own_domain {
            0
        } else {
            cross_domain_cost(query)
        }
    };
    pick_cheapest(servers, query, rng, locality_cost, |server| {
        load_cost(server, query)
    })
}

/// Picks the backup server for the KV cache of a run at `primary`. Another
/// failure domain is preferred, so that both are not lost at once.
pub fn pick_backup<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    primary: &RegisteredServer,
    rng: &mut impl Rng,
) -> Option<&'a Arc<RegisteredServer>> {
    let locality_cost = |domain: &FailureDomain| {
        if *domain == primary.record().domain {
            NO_KV_SPACE_MS
        } else {
            0
        }
    };
    let primary_address = primary.record().address;
    // A copy needs no prefill, so used KV cache counts instead.
    let cost = |server: &RegisteredServer| {
        let is_primary = server.record().address == primary_address;
        server.kv_tokens() / PREFILL_TOKENS_PER_MS
            + u64::from(server.running()) * RUNNING_REQUEST_MS
            + if is_primary { PRIMARY_AS_BACKUP_MS } else { 0 }
    };
    let picked = pick_cheapest(servers, query, rng, locality_cost, cost)?;
    (picked.record().address != primary_address).then_some(picked)
}

/// Picks the server with the lowest sum of all costs.
fn pick_cheapest<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
    locality_cost: impl Fn(&FailureDomain) -> u64,
    cost: impl Fn(&RegisteredServer) -> u64,
) -> Option<&'a Arc<RegisteredServer>> {
    let mut best: Option<(u64, &Arc<RegisteredServer>)> = None;
    for domain_servers in servers {
        let sample_size = if domain_servers.domain == *query.own_domain {
            OWN_DOMAIN_SAMPLE
        } else {
            OTHER_DOMAIN_SAMPLE
        };
        // The sample starts at a random index and wraps around. Otherwise all
        // processes would pick the first of several equally good servers.
        let start = rng.random_range(0..domain_servers.servers.len().max(1));
        let sample = || {
            let (before, after) = domain_servers.servers.split_at(start);
            after.iter().chain(before).take(sample_size)
        };
        let domain_suspicion = domain_suspicion_cost(sample(), query.now);
        let locality = locality_cost(&domain_servers.domain);
        for server in sample() {
            if server.is_misdirected() || query.tried.contains(&server.record().address) {
                continue;
            }
            let suspicion = if server.is_suspect(query.now) {
                SUSPECT_SERVER_MS
            } else {
                domain_suspicion
            };
            let total = locality + cost(server) + kv_space_cost(server, query) + suspicion;
            if best.is_none_or(|(least, _)| total < least) {
                best = Some((total, server));
            }
        }
    }
    best.map(|(_, server)| server)
}

/// Cost of a failure domain that appears to be down: at least half of the sampled
/// servers are suspect, or more of the recently contacted ones failed than
/// responded. The second rule is for processes with few requests, which contact
/// only some servers of a domain.
fn domain_suspicion_cost<'a>(
    slots: impl Iterator<Item = &'a Arc<RegisteredServer>>,
    now: Instant,
) -> u64 {
    let (mut all, mut suspect, mut failing, mut alive) = (0_u32, 0_u32, 0_u32, 0_u32);
    for server in slots {
        all += 1;
        suspect += u32::from(server.is_suspect(now));
        if server.is_failing(DOMAIN_FAILURE_WINDOW, now) {
            failing += 1;
        } else if server.is_alive(DOMAIN_LIVENESS_WINDOW, now) {
            alive += 1;
        }
    }
    let is_half_suspect = suspect >= 2 && suspect * 2 >= all;
    let is_contacted_majority_failing = failing >= 2 && failing > alive;
    if is_half_suspect || is_contacted_majority_failing {
        SUSPECT_DOMAIN_MS
    } else {
        0
    }
}

fn load_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let own_requests = u64::from(server.running());
    let report = server
        .report(query.now)
        .filter(|(_, age)| *age < REPORT_MAX_AGE)
        .map(|(report, _)| report);
    let other_requests = report.map_or(0, |report| {
        u64::from(report.running + report.waiting).saturating_sub(own_requests)
    });
    if let Some(tokens) = query.tokens {
        let uncached = tokens.prompt.saturating_sub(query.cached_tokens(server));
        let prefill = server.prompt_tokens() + uncached;
        return prefill / PREFILL_TOKENS_PER_MS
            + (own_requests + other_requests) * RUNNING_REQUEST_MS;
    }
    let service_time_percent =
        report.map_or(100, |report| u64::from(report.service_time_percent.max(1)));
    (own_requests + other_requests + 1) * QUEUED_CALL_MS * service_time_percent / 100
}

fn cross_domain_cost(query: &PlacementQuery<'_>) -> u64 {
    if query.tokens.is_some() {
        STREAM_CROSS_DOMAIN_MS
    } else {
        CALL_CROSS_DOMAIN_MS
    }
}

fn kv_space_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let Some(tokens) = query.tokens else {
        return 0;
    };
    let limit = query.kv_capacity * KV_MAX_FILL_PERCENT / 100;
    if server.kv_tokens() + tokens.total() > limit {
        NO_KV_SPACE_MS
    } else {
        0
    }
}
