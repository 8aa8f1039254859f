//! Picks the server with the lowest estimated cost in milliseconds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{
    EngineRates, TokenCounts,
    server_cost::{CostTerms, RUNNING_REQUEST_COST_MS, domain_cost, kv_space_cost},
};
use crate::{
    FailureDomain,
    prompt_cache::CachedPrompt,
    server_registry::{DomainServers, RegisteredServer, SendBlock},
};

/// Number of candidates whose present load is queried before a stream is sent. A
/// random choice among the best of a few comes close to the best of all.
pub const CANDIDATE_COUNT: usize = 4;
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
pub(super) const POOR_PLACEMENT_COST_MS: u64 = 20_000;
/// Cost of the primary as its own backup: above all other costs.
const PRIMARY_AS_BACKUP_COST_MS: u64 = 10_000_000;

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
    pub(super) fn cached_tokens(&self, server: &RegisteredServer) -> u64 {
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
    pick_cheapest(servers, query, rng, |server| request_cost(server, query))
}

/// Draws up to [`CANDIDATE_COUNT`] servers for a request, the best known one first.
pub fn pick_candidates<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
) -> Vec<&'a Arc<RegisteredServer>> {
    let mut best: Vec<(u64, &Arc<RegisteredServer>)> = Vec::with_capacity(CANDIDATE_COUNT + 1);
    visit_costs(
        servers,
        query,
        rng,
        |server| request_cost(server, query),
        |terms, server| {
            let cost = terms.total_ms();
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
        .filter_map(|server| Some((reported_cost(server, query)?, *server)))
        .min_by_key(|(terms, _)| terms.total_ms())
        .map(|(_, server)| server)
}

/// Cost at a server whose load was reported just now; `None` if nothing may be sent
/// there.
fn reported_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> Option<CostTerms> {
    let terms = request_cost(server, query)?;
    Some(CostTerms {
        suspect_ms: suspect_cost(server, query, 0),
        ..terms
    })
}

/// Cost of a request at a server, apart from suspicions; `None` if nothing may be sent
/// there.
fn request_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> Option<CostTerms> {
    let is_available = server.is_available(query.now);
    is_available.then(|| available_cost(server, query))
}

/// Cost of a request at a server that takes it, apart from suspicions.
fn available_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> CostTerms {
    CostTerms {
        domain_ms: domain_cost(&server.record().domain, query),
        ..CostTerms::new(server, query)
    }
}

/// A server as the placement of a request sees it now.
#[derive(Clone, Copy, Debug)]
pub struct ExplainedServer<'a> {
    /// The server.
    pub server: &'a Arc<RegisteredServer>,
    /// Terms of the cost there, or why nothing may be sent there.
    pub terms: Result<CostTerms, SendBlock>,
}

/// Explains where a request would go: all servers, the best one first and those that get
/// nothing last. The terms are those that the choice uses. A choice in a large failure
/// domain examines a sample of these servers.
pub fn explain_servers<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
) -> Vec<ExplainedServer<'a>> {
    let mut explained = Vec::new();
    for domain_servers in servers {
        let domain_suspect_ms = suspect_domain_cost(domain_servers.servers.iter(), query.now);
        for server in &domain_servers.servers {
            let terms = match server.send_block(query.now) {
                Some(block) => Err(block),
                None => Ok(CostTerms {
                    suspect_ms: suspect_cost(server, query, domain_suspect_ms),
                    ..available_cost(server, query)
                }),
            };
            explained.push(ExplainedServer { server, terms });
        }
    }
    let order = |explained: &ExplainedServer<'_>| match explained.terms {
        Ok(terms) => terms.total_ms(),
        Err(_) => u64::MAX,
    };
    explained.sort_by_key(order);
    explained
}

/// Cost of a server that appears to be down, or else of its failure domain.
fn suspect_cost(server: &RegisteredServer, query: &PlacementQuery<'_>, domain_ms: u64) -> u64 {
    if server.is_suspect(query.now) {
        SUSPECT_SERVER_COST_MS
    } else {
        domain_ms
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
    let primary_address = primary.record().address;
    // A copy needs no prefill, so the KV cache in use decides. It is converted to
    // milliseconds at the prefill rate, to be added to the delay caused by the
    // running requests.
    let cost = |server: &RegisteredServer| {
        if !server.may_hold_copy(query.now) {
            return None;
        }
        let place_cost = if server.record().address == primary_address {
            PRIMARY_AS_BACKUP_COST_MS
        } else {
            0
        };
        let domain_cost = if server.record().domain == primary.record().domain {
            POOR_PLACEMENT_COST_MS
        } else {
            0
        };
        Some(CostTerms {
            own_ms: query.rates.prefill_ms(server.kv_tokens()),
            others_ms: u64::from(server.running()) * RUNNING_REQUEST_COST_MS,
            domain_ms: domain_cost + place_cost,
            kv_ms: kv_space_cost(server, query),
            ..CostTerms::default()
        })
    };
    let picked = pick_cheapest(servers, query, rng, cost)?;
    (picked.record().address != primary_address).then_some(picked)
}

/// Picks the server with the lowest sum of all costs.
fn pick_cheapest<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
    cost: impl Fn(&RegisteredServer) -> Option<CostTerms>,
) -> Option<&'a Arc<RegisteredServer>> {
    let mut best: Option<(u64, &Arc<RegisteredServer>)> = None;
    visit_costs(servers, query, rng, cost, |terms, server| {
        let total = terms.total_ms();
        if best.is_none_or(|(least, _)| total < least) {
            best = Some((total, server));
        }
    });
    best.map(|(_, server)| server)
}

/// Calls `visit` for the servers of the sample that have a cost, with all terms of each.
fn visit_costs<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
    cost: impl Fn(&RegisteredServer) -> Option<CostTerms>,
    mut visit: impl FnMut(CostTerms, &'a Arc<RegisteredServer>),
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
        for server in sample() {
            if query.tried.contains(&server.record().address) {
                continue;
            }
            let Some(terms) = cost(server) else {
                continue;
            };
            let terms = CostTerms {
                suspect_ms: suspect_cost(server, query, domain_suspect_cost),
                ..terms
            };
            visit(terms, server);
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
