//! Picks the server with the lowest estimated cost in milliseconds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{EngineRates, TokenCounts};
use crate::{
    FailureDomain,
    prompt_cache::CachedPrompt,
    server_registry::{DomainServers, RegisteredServer},
};

/// Number of candidates whose present load is queried before a stream is sent. A
/// random choice among the best of a few comes close to the best of all.
pub const CANDIDATE_COUNT: usize = 4;
/// Delay that a running request causes to each other one. It adds about 0.02 ms
/// to every decoding step, which is 16 ms over a generation of 800 tokens.
const RUNNING_REQUEST_COST_MS: u64 = 16;
/// Part of a prefill that counts for each request whose tokens it delays, in
/// percent. The delay of others weighs less than that of the request itself, whose
/// caller has seen nothing yet.
const INTERFERENCE_PERCENT: u64 = 15;
/// Delay of a call to a plain service per call ahead of it: a third of the 15 ms
/// service time rather than all of it, because a server runs six calls
/// concurrently.
const QUEUED_CALL_COST_MS: u64 = 5;
/// Cost of another failure domain for a stream. Its 22 kB of traffic between the
/// domains are charged at 0.8 % of the worth of the stream. Costs are compared in
/// milliseconds, so this delay stands for that price.
const STREAM_CROSS_DOMAIN_COST_MS: u64 = 400;
/// Cost of another failure domain for a call to a plain service: two more network
/// hops.
const CALL_CROSS_DOMAIN_COST_MS: u64 = 12;
/// Cost of a suspect server: above all delays, so that it is picked only when
/// there is no other.
const SUSPECT_SERVER_COST_MS: u64 = 100_000;
/// Cost of a server in a failure domain that appears to be down.
const SUSPECT_DOMAIN_COST_MS: u64 = 50_000;
/// Time for which a failure counts against its failure domain: the expected length
/// of a domain outage, plus the time until the new registrations of its servers
/// have been read.
const DOMAIN_FAILURE_WINDOW: Duration = Duration::from_millis(2_500);
/// Time for which activity of a server shows that its failure domain is up.
const DOMAIN_LIVENESS_WINDOW: Duration = Duration::from_millis(1_000);
/// Cost of a poor placement: a server with too little free KV cache, or a backup
/// in the failure domain of the primary.
const POOR_PLACEMENT_COST_MS: u64 = 20_000;
/// Cost of the primary as its own backup: above all other costs.
const PRIMARY_AS_BACKUP_COST_MS: u64 = 10_000_000;
/// Time after its arrival for which a load report is used. It is about 100 ms old
/// when it arrives.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);
/// Share of a server's KV cache that placement uses, in percent. The rest is
/// left for requests of other processes and for growing outputs.
const KV_FILL_PERCENT_MAX: u64 = 85;

/// Maximum number of servers examined in the process's own failure domain. Usual
/// domains are examined completely; in larger ones the best server of the sample
/// is nearly as good as the best of all.
const OWN_DOMAIN_SERVERS_MAX: usize = 24;
/// Maximum number of servers examined in each other failure domain.
const OTHER_DOMAIN_SERVERS_MAX: usize = 12;

/// Query for a server by [`pick_server`] or [`pick_backup`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Token counts of a request to a model server; `None` for a plain service.
    pub tokens: Option<TokenCounts>,
    /// KV cache capacity of a model server, in tokens.
    pub kv_capacity: u64,
    /// Speed of the model servers.
    pub rates: EngineRates,
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
    let domain_cost = |domain: &FailureDomain| own_domain_cost(domain, query);
    pick_cheapest(servers, query, rng, domain_cost, |server| {
        let is_available = server.is_available(query.now);
        is_available.then(|| load_cost(server, query))
    })
}

/// Draws up to [`CANDIDATE_COUNT`] servers for a request, the best known one first.
pub fn pick_candidates<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
) -> Vec<&'a Arc<RegisteredServer>> {
    let domain_cost = |domain: &FailureDomain| own_domain_cost(domain, query);
    let mut best: Vec<(u64, &Arc<RegisteredServer>)> = Vec::with_capacity(CANDIDATE_COUNT + 1);
    visit_costs(
        servers,
        query,
        rng,
        domain_cost,
        |server| {
            let is_available = server.is_available(query.now);
            is_available.then(|| load_cost(server, query))
        },
        |cost, server| {
            let index = best.partition_point(|(other, _)| *other <= cost);
            if index < CANDIDATE_COUNT {
                best.insert(index, (cost, server));
                best.truncate(CANDIDATE_COUNT);
            }
        },
    );
    best.into_iter().map(|(_, server)| server).collect()
}

/// Picks the best of several candidates, whose load was reported just now.
pub fn pick_reported<'a>(
    candidates: &[&'a Arc<RegisteredServer>],
    query: &PlacementQuery<'_>,
) -> Option<&'a Arc<RegisteredServer>> {
    candidates
        .iter()
        .filter(|server| server.is_available(query.now))
        .min_by_key(|server| {
            let suspect_cost = if server.is_suspect(query.now) {
                SUSPECT_SERVER_COST_MS
            } else {
                0
            };
            own_domain_cost(&server.record().domain, query)
                + load_cost(server, query)
                + kv_space_cost(server, query)
                + suspect_cost
        })
        .copied()
}

fn own_domain_cost(domain: &FailureDomain, query: &PlacementQuery<'_>) -> u64 {
    if domain == query.own_domain {
        0
    } else {
        cross_domain_cost(query)
    }
}

/// Picks the backup server for the KV cache of a run at `primary`. Another
/// failure domain is preferred, so that both are not lost at once.
pub fn pick_backup<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    primary: &RegisteredServer,
    rng: &mut impl Rng,
) -> Option<&'a Arc<RegisteredServer>> {
    let domain_cost = |domain: &FailureDomain| {
        if *domain == primary.record().domain {
            POOR_PLACEMENT_COST_MS
        } else {
            0
        }
    };
    let primary_address = primary.record().address;
    // A copy needs no prefill, so the KV cache in use decides. It is converted to
    // milliseconds at the prefill rate, to be added to the delay caused by the
    // running requests.
    let cost = |server: &RegisteredServer| {
        if !server.may_hold_copy(query.now) {
            return None;
        }
        let is_primary = server.record().address == primary_address;
        let primary_cost = if is_primary {
            PRIMARY_AS_BACKUP_COST_MS
        } else {
            0
        };
        let running_cost = u64::from(server.running()) * RUNNING_REQUEST_COST_MS;
        Some(query.rates.prefill_ms(server.kv_tokens()) + running_cost + primary_cost)
    };
    let picked = pick_cheapest(servers, query, rng, domain_cost, cost)?;
    (picked.record().address != primary_address).then_some(picked)
}

/// Picks the server with the lowest sum of all costs.
fn pick_cheapest<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
    domain_cost: impl Fn(&FailureDomain) -> u64,
    cost: impl Fn(&RegisteredServer) -> Option<u64>,
) -> Option<&'a Arc<RegisteredServer>> {
    let mut best: Option<(u64, &Arc<RegisteredServer>)> = None;
    visit_costs(servers, query, rng, domain_cost, cost, |total, server| {
        if best.is_none_or(|(least, _)| total < least) {
            best = Some((total, server));
        }
    });
    best.map(|(_, server)| server)
}

/// Calls `visit` for the servers of the sample that have a cost, with the sum of all
/// costs of each.
fn visit_costs<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
    domain_cost: impl Fn(&FailureDomain) -> u64,
    cost: impl Fn(&RegisteredServer) -> Option<u64>,
    mut visit: impl FnMut(u64, &'a Arc<RegisteredServer>),
) {
    for domain_servers in servers {
        let sample_size = if domain_servers.domain == *query.own_domain {
            OWN_DOMAIN_SERVERS_MAX
        } else {
            OTHER_DOMAIN_SERVERS_MAX
        };
        // The sample starts at a random index and wraps around. Otherwise all
        // processes would pick the first of several equally good servers.
        let start = rng.random_range(0..domain_servers.servers.len().max(1));
        let sample = || {
            let (before, after) = domain_servers.servers.split_at(start);
            after.iter().chain(before).take(sample_size)
        };
        let domain_suspect_cost = suspect_domain_cost(sample(), query.now);
        let cost_of_domain = domain_cost(&domain_servers.domain);
        for server in sample() {
            if query.tried.contains(&server.record().address) {
                continue;
            }
            let Some(server_cost) = cost(server) else {
                continue;
            };
            let suspect_cost = if server.is_suspect(query.now) {
                SUSPECT_SERVER_COST_MS
            } else {
                domain_suspect_cost
            };
            let total = cost_of_domain + server_cost + kv_space_cost(server, query) + suspect_cost;
            visit(total, server);
        }
    }
}

/// Cost of a failure domain that appears to be down: at least two servers and at
/// least half of the sample are suspect, or at least two servers failed and they
/// outnumber the ones with recent activity. The second rule is for processes with
/// few requests, which contact only some servers of a domain.
fn suspect_domain_cost<'a>(
    servers: impl Iterator<Item = &'a Arc<RegisteredServer>>,
    now: Instant,
) -> u64 {
    let (mut all, mut suspect, mut failing, mut alive) = (0_u32, 0_u32, 0_u32, 0_u32);
    for server in servers {
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
        SUSPECT_DOMAIN_COST_MS
    } else {
        0
    }
}

fn load_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let own_requests = u64::from(server.running());
    let report = server
        .report(query.now)
        .filter(|(_, age)| *age < REPORT_AGE_MAX)
        .map(|(report, _)| report);
    let other_requests = report.map_or(0, |report| {
        u64::from(report.running + report.waiting).saturating_sub(own_requests)
    });
    if let Some(tokens) = query.tokens {
        let rates = query.rates;
        let uncached = tokens.prompt.saturating_sub(query.cached_tokens(server));
        let own_prefill_ms = rates.prefill_ms(uncached);
        let interference_ms = own_prefill_ms * INTERFERENCE_PERCENT / 100;
        return waiting_ms(server, query)
            + own_prefill_ms
            + (own_requests + other_requests) * (RUNNING_REQUEST_COST_MS + interference_ms);
    }
    let service_time_percent =
        report.map_or(100, |report| u64::from(report.service_time_percent.max(1)));
    (own_requests + other_requests + 1) * QUEUED_CALL_COST_MS * service_time_percent / 100
}

/// Time that the prefill of the prompts ahead of a request takes. A request waits
/// until its prefill is finished; the reported ones include those of this process.
pub(super) fn waiting_ms(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let reported = server
        .report(query.now)
        .filter(|(_, age)| *age < REPORT_AGE_MAX)
        .map_or(0, |(report, _)| u64::from(report.waiting));
    let tokens = server
        .prompt_tokens()
        .max(reported * query.rates.mean_prompt_tokens);
    query.rates.prefill_ms(tokens)
}

fn cross_domain_cost(query: &PlacementQuery<'_>) -> u64 {
    if query.tokens.is_some() {
        STREAM_CROSS_DOMAIN_COST_MS
    } else {
        CALL_CROSS_DOMAIN_COST_MS
    }
}

fn kv_space_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let Some(tokens) = query.tokens else {
        return 0;
    };
    let limit = query.kv_capacity * KV_FILL_PERCENT_MAX / 100;
    if server.kv_tokens() + tokens.total() > limit {
        POOR_PLACEMENT_COST_MS
    } else {
        0
    }
}
