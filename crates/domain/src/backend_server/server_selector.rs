//! Choice of a server for a request.
//!
//! Two candidates are drawn and the less loaded one is taken. Drawing avoids
//! that all entries send to the one server whose report looks best.

use std::sync::Arc;

use rand::Rng;
use tokio::time::Instant;

use crate::{
    PoolName, ServerName,
    backend_server::{PoolServers, ServerNode},
};

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolName,
    /// Servers not to choose, such as the one that just failed.
    pub exclude: &'a [ServerName],
    /// Hash of the prompt's beginning, if it is worth caching.
    pub prefix: Option<u64>,
    /// Whether the request is served already and only looks for a faster
    /// server, so that a slowed one is no better than none.
    pub is_move: bool,
    /// Time of the choice.
    pub now: Instant,
}

impl SelectionQuery<'_> {
    /// Whether the server can take the request at all.
    pub fn allows(&self, node: &ServerNode) -> bool {
        !node.is_leaving() && !self.exclude.contains(&node.spec().name)
    }
}

/// A way to choose a server.
pub trait ServerSelector {
    /// Choose one of the subset's servers that the query allows.
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>>;
}

/// Any server that is allowed, whatever its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomSelector;

impl ServerSelector for RandomSelector {
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        first_from(pool.subset(), rng, |node| {
            query.allows(node) && !node.is_suspect()
        })
        .or_else(|| first_from(pool.subset(), rng, |node| query.allows(node)))
    }
}

/// The better of two, by load and pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct P2cSelector;

impl P2cSelector {
    /// Servers drawn at most before the subset is searched in order.
    const DRAWS_MAX: usize = 8;

    /// Load, in thousandths of a server's slots, that a cached prefix is worth.
    const PREFIX_WORTH_MILLI: u64 = 150;

    fn two<'a>(
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        let nodes = pool.subset();
        let median = pool.peer_latency().median_token_gap();
        let mut first: Option<&Arc<ServerNode>> = None;
        for _ in 0..Self::DRAWS_MAX {
            let node = &nodes[rng.random_range(0..nodes.len())];
            if !query.allows(node) {
                continue;
            }
            if node.is_avoided(median) {
                // One request now and then tells whether it is well again.
                if !query.is_move && node.claim_trial(query.now) {
                    return Some(node);
                }
                continue;
            }
            match first {
                None => first = Some(node),
                Some(one) if Arc::ptr_eq(one, node) => {}
                Some(one) => return Some(Self::better(one, node, query.now)),
            }
        }
        first
    }

    fn better<'a>(
        one: &'a Arc<ServerNode>,
        other: &'a Arc<ServerNode>,
        now: Instant,
    ) -> &'a Arc<ServerNode> {
        if other.load_milli(now) < one.load_milli(now) {
            other
        } else {
            one
        }
    }

    /// The server that holds the prefix most likely, unless it is much busier.
    fn prefer_prefix<'a>(
        pool: &'a PoolServers,
        drawn: &'a Arc<ServerNode>,
        prefix: u64,
        query: &SelectionQuery<'_>,
    ) -> &'a Arc<ServerNode> {
        let median = pool.peer_latency().median_token_gap();
        let holder = pool
            .subset()
            .iter()
            .max_by_key(|node| mix(node.name_hash() ^ prefix));
        let Some(holder) = holder else { return drawn };
        let bound = drawn.load_milli(query.now) + Self::PREFIX_WORTH_MILLI;
        let is_fit = query.allows(holder)
            && !holder.is_avoided(median)
            && holder.load_milli(query.now) <= bound;
        if is_fit { holder } else { drawn }
    }
}

impl ServerSelector for P2cSelector {
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        if pool.subset().is_empty() {
            return None;
        }
        pool.peer_latency().refresh(pool.subset(), query.now);
        let median = pool.peer_latency().median_token_gap();
        let drawn = Self::two(pool, query, rng)
            .or_else(|| {
                first_from(pool.subset(), rng, |node| {
                    query.allows(node) && !node.is_avoided(median)
                })
            })
            // A slowed or suspect server is better than none.
            .or_else(|| {
                let admits = |node: &ServerNode| query.allows(node);
                first_from(pool.subset(), rng, admits).filter(|_| !query.is_move)
            })?;
        Some(match query.prefix {
            Some(prefix) => Self::prefer_prefix(pool, drawn, prefix, query),
            None => drawn,
        })
    }
}

/// First server in order, from a random place on, that `admits` holds for.
fn first_from<'a>(
    nodes: &'a [Arc<ServerNode>],
    rng: &mut impl Rng,
    admits: impl Fn(&ServerNode) -> bool,
) -> Option<&'a Arc<ServerNode>> {
    if nodes.is_empty() {
        return None;
    }
    let (before, after) = nodes.split_at(rng.random_range(0..nodes.len()));
    after.iter().chain(before).find(|node| admits(node))
}

/// Finaliser that spreads the bits of a number (splitmix64).
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
