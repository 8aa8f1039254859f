//! The choice by estimated cost in milliseconds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::TokenCounts;
use crate::{
    FailureDomain,
    prompt_cache::CachedPrompt,
    server_registry::{DomainServers, RegisteredServer},
};

/// Prompt tokens that a model server reads in a millisecond, from the users'
/// sheets (8 on all of them).
const PROMPT_TOKENS_PER_MS: u64 = 8;
/// Delay that one more running request means to the others, in milliseconds.
/// A step takes some 0.02 ms more for each; over 800 steps that is 16 ms.
const RUN_COST_MS: u64 = 16;
/// Delay of a plain request behind each one running, in milliseconds: a third
/// of the sheets' 15 ms of work, since six run at once.
const CALL_COST_MS: u64 = 5;
/// Cost of another failure domain for a stream: 22 kB at the sheets' price of
/// bytes are 0.8 % of its worth, weighed as a delay.
const STREAM_AWAY_MS: u64 = 400;
/// Cost of another failure domain for a plain request: two hops more.
const CALL_AWAY_MS: u64 = 12;
/// Cost of a server that failed lately: above all delays, below "none".
const SUSPECT_MS: u64 = 100_000;
/// Cost of a failure domain of which half of the servers failed lately.
const DOMAIN_SUSPECT_MS: u64 = 50_000;
/// Time for which failures count for their failure domain: a crash of today's
/// sites and the time until its servers' new registrations are read.
const DOMAIN_PAUSE: Duration = Duration::from_millis(2_500);
/// Age up to which a sign of life counts for the failure domain.
const LIFE_AGE: Duration = Duration::from_millis(1_000);
/// Cost of a server without memory for the request.
const NO_ROOM_MS: u64 = 20_000;
/// Cost of a run's own server as the holder of its copy: above all others.
const ITSELF_MS: u64 = 10_000_000;
/// Age up to which a report counts; it is some 100 ms old when it arrives.
const REPORT_AGE: Duration = Duration::from_millis(400);
/// Share of a server's memory that placement fills, in percent; the rest is
/// for other processes' requests and for outputs that grow.
const KV_FILL_PERCENT: u64 = 85;

/// Servers of the own failure domain, and of each other one, that a choice
/// looks at: all of today's sites, and of larger ones enough that the best of
/// them is hardly worse than the best of all.
const OWN_SAMPLE: usize = 24;
const AWAY_SAMPLE: usize = 12;

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Tokens of a request to a model server; none for a plain service.
    pub tokens: Option<TokenCounts>,
    /// Memory of a model server in tokens.
    pub kv_capacity: u64,
    /// Server that has the prompt in its memory, if one is known.
    pub cached: Option<CachedPrompt>,
    /// Failure domain of this process.
    pub own_domain: &'a FailureDomain,
    /// Servers that have had the request.
    pub tried: &'a [SocketAddr],
    /// The moment.
    pub now: Instant,
}

impl PlacementQuery<'_> {
    /// Tokens of the prompt that a server has in its memory.
    fn held_at(&self, server: &RegisteredServer) -> u64 {
        match self.cached {
            Some(cached) if cached.address == server.record().address => cached.tokens,
            _ => 0,
        }
    }
}

/// The server for a request.
pub fn pick_server<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Arc<RegisteredServer>> {
    let place_cost = |domain: &FailureDomain| {
        if domain == query.own_domain {
            0
        } else {
            away_cost(query)
        }
    };
    pick_by(servers, query, rng, place_cost, |server| {
        work_cost(server, query)
    })
}

/// The server that keeps a copy of the memory of a run at `primary`: in
/// another failure domain, so that both are not lost at once.
pub fn pick_backup<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    primary: &RegisteredServer,
    rng: &mut impl Rng,
) -> Option<&'a Arc<RegisteredServer>> {
    let place_cost = |domain: &FailureDomain| {
        if *domain == primary.record().domain {
            NO_ROOM_MS
        } else {
            0
        }
    };
    let own_address = primary.record().address;
    // Memory decides: a copy reads no prompt.
    let cost = |server: &RegisteredServer| {
        let itself = server.record().address == own_address;
        server.kv_tokens() / PROMPT_TOKENS_PER_MS
            + u64::from(server.running()) * RUN_COST_MS
            + if itself { ITSELF_MS } else { 0 }
    };
    let picked = pick_by(servers, query, rng, place_cost, cost)?;
    (picked.record().address != own_address).then_some(picked)
}

fn pick_by<'a>(
    servers: &'a [DomainServers],
    query: &PlacementQuery<'_>,
    rng: &mut impl Rng,
    place_cost: impl Fn(&FailureDomain) -> u64,
    cost: impl Fn(&RegisteredServer) -> u64,
) -> Option<&'a Arc<RegisteredServer>> {
    let mut best: Option<(u64, &Arc<RegisteredServer>)> = None;
    for own in servers {
        let most = if own.domain == *query.own_domain {
            OWN_SAMPLE
        } else {
            AWAY_SAMPLE
        };
        // The start is drawn, so that processes do not herd on the first of
        // equals, and the window follows it round the list.
        let start = rng.random_range(0..own.servers.len().max(1));
        let window = || {
            let (before, after) = own.servers.split_at(start);
            after.iter().chain(before).take(most)
        };
        let doubt = domain_doubt(window(), query.now);
        let place = place_cost(&own.domain);
        for server in window() {
            if server.is_misdirected() || query.tried.contains(&server.record().address) {
                continue;
            }
            let suspicion = if server.is_suspect(query.now) {
                SUSPECT_MS
            } else {
                doubt
            };
            let total = place + cost(server) + room_cost(server, query) + suspicion;
            if best.is_none_or(|(least, _)| total < least) {
                best = Some((total, server));
            }
        }
    }
    best.map(|(_, server)| server)
}

/// Cost of a failure domain that seems lost: half of the servers looked at
/// failed, or more of those that this process met lately failed than live. A
/// process with few requests meets only some servers of a domain.
fn domain_doubt<'a>(slots: impl Iterator<Item = &'a Arc<RegisteredServer>>, now: Instant) -> u64 {
    let (mut all, mut suspect, mut failing, mut alive) = (0_u32, 0_u32, 0_u32, 0_u32);
    for server in slots {
        all += 1;
        suspect += u32::from(server.is_suspect(now));
        if server.is_failing(DOMAIN_PAUSE, now) {
            failing += 1;
        } else if server.is_alive(LIFE_AGE, now) {
            alive += 1;
        }
    }
    let half_lost = suspect >= 2 && suspect * 2 >= all;
    let met_lost = failing >= 2 && failing > alive;
    if half_lost || met_lost {
        DOMAIN_SUSPECT_MS
    } else {
        0
    }
}

fn work_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let own = u64::from(server.running());
    let report = server
        .report(query.now)
        .filter(|(_, age)| *age < REPORT_AGE)
        .map(|(report, _)| report);
    let others = report.map_or(0, |report| {
        u64::from(report.running + report.waiting).saturating_sub(own)
    });
    if let Some(tokens) = query.tokens {
        let unread = tokens.prompt.saturating_sub(query.held_at(server));
        let reading = server.prompt_tokens() + unread;
        return reading / PROMPT_TOKENS_PER_MS + (own + others) * RUN_COST_MS;
    }
    let pace = report.map_or(100, |report| u64::from(report.service_time_percent.max(1)));
    (own + others + 1) * CALL_COST_MS * pace / 100
}

fn away_cost(query: &PlacementQuery<'_>) -> u64 {
    if query.tokens.is_some() {
        STREAM_AWAY_MS
    } else {
        CALL_AWAY_MS
    }
}

fn room_cost(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u64 {
    let Some(tokens) = query.tokens else {
        return 0;
    };
    let room = query.kv_capacity * KV_FILL_PERCENT / 100;
    if server.kv_tokens() + tokens.total() > room {
        NO_ROOM_MS
    } else {
        0
    }
}
