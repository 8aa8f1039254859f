//! Selection of a server for a request.
//!
//! The power of two choices: two servers are sampled at random and the less
//! loaded one is selected. Sampling prevents all entries from choosing the same
//! server, the one with the lowest reported load.

use std::sync::Arc;

use rand::Rng;
use tokio::time::Instant;

use crate::{
    PoolName, ServerName,
    backend_server::{PoolServers, ServerNode},
};

/// Query for a server by [`ServerSelector`].
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolName,
    /// Servers that must not be selected, such as the one that just failed.
    pub exclude: &'a [ServerName],
    /// Hash of the prompt's prefix, if the prefix is worth caching.
    pub prefix: Option<u64>,
    /// Whether a running generation is to be moved to a faster server. Slow and
    /// suspect servers are then not selected at all.
    pub is_move: bool,
    /// Current time.
    pub now: Instant,
}

impl SelectionQuery<'_> {
    /// Whether the server may be selected.
    pub fn allows(&self, node: &ServerNode) -> bool {
        !node.is_leaving() && !self.exclude.contains(&node.spec().name)
    }
}

/// Strategy that selects a server for a request.
pub trait ServerSelector {
    /// Selects one of the subset's servers that the query allows.
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>>;
}

/// Selects a random server regardless of load; suspect servers only if there
/// is no other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomSelector;

impl ServerSelector for RandomSelector {
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        find_from_random_index(pool.subset(), rng, |node| {
            query.allows(node) && !node.is_suspect()
        })
        .or_else(|| find_from_random_index(pool.subset(), rng, |node| query.allows(node)))
    }
}

/// Selects the less loaded of two random servers (power of two choices).
///
/// Slow and suspect servers are avoided, and a server that is likely to have
/// the prompt's prefix cached is preferred.
#[derive(Clone, Copy, Debug, Default)]
pub struct P2cSelector;

impl P2cSelector {
    /// Maximum number of samples before the subset is scanned in order.
    const SAMPLES_MAX: usize = 8;

    /// Additional load accepted at the prefix holder, in thousandths of its slots.
    const PREFIX_BONUS_PER_MILLE: u64 = 150;

    fn select_of_two<'a>(
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        let nodes = pool.subset();
        let median = pool.peer_latency().median_token_gap();
        let mut first: Option<&Arc<ServerNode>> = None;
        for _ in 0..Self::SAMPLES_MAX {
            let node = &nodes[rng.random_range(0..nodes.len())];
            if !query.allows(node) {
                continue;
            }
            if node.is_avoided(median) {
                // An occasional trial request shows whether it has recovered.
                if !query.is_move && node.claim_trial(query.now) {
                    return Some(node);
                }
                continue;
            }
            match first {
                None => first = Some(node),
                Some(one) if Arc::ptr_eq(one, node) => {}
                Some(one) => return Some(Self::less_loaded(one, node, query.now)),
            }
        }
        first
    }

    fn less_loaded<'a>(
        one: &'a Arc<ServerNode>,
        other: &'a Arc<ServerNode>,
        now: Instant,
    ) -> &'a Arc<ServerNode> {
        if other.projected_load_per_mille(now) < one.projected_load_per_mille(now) {
            other
        } else {
            one
        }
    }

    /// Returns the server that most likely has the prefix cached, chosen by
    /// rendezvous hashing. Returns the sampled server if that one is not allowed,
    /// is avoided or is much busier.
    fn prefer_prefix_holder<'a>(
        pool: &'a PoolServers,
        sampled: &'a Arc<ServerNode>,
        prefix: u64,
        query: &SelectionQuery<'_>,
    ) -> &'a Arc<ServerNode> {
        let median = pool.peer_latency().median_token_gap();
        let holder = pool
            .subset()
            .iter()
            .max_by_key(|node| splitmix64(node.name_hash() ^ prefix));
        let Some(holder) = holder else { return sampled };
        let bound = sampled.projected_load_per_mille(query.now) + Self::PREFIX_BONUS_PER_MILLE;
        let is_preferred = query.allows(holder)
            && !holder.is_avoided(median)
            && holder.projected_load_per_mille(query.now) <= bound;
        if is_preferred { holder } else { sampled }
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
        let sampled = Self::select_of_two(pool, query, rng)
            .or_else(|| {
                find_from_random_index(pool.subset(), rng, |node| {
                    query.allows(node) && !node.is_avoided(median)
                })
            })
            // Falls back to a slow or suspect server, except for a move.
            .or_else(|| {
                let is_allowed = |node: &ServerNode| query.allows(node);
                find_from_random_index(pool.subset(), rng, is_allowed).filter(|_| !query.is_move)
            })?;
        Some(match query.prefix {
            Some(prefix) => Self::prefer_prefix_holder(pool, sampled, prefix, query),
            None => sampled,
        })
    }
}

/// Scans the servers from a random index on, wrapping around, and returns the
/// first one that satisfies `is_eligible`.
fn find_from_random_index<'a>(
    nodes: &'a [Arc<ServerNode>],
    rng: &mut impl Rng,
    is_eligible: impl Fn(&ServerNode) -> bool,
) -> Option<&'a Arc<ServerNode>> {
    if nodes.is_empty() {
        return None;
    }
    let (before, after) = nodes.split_at(rng.random_range(0..nodes.len()));
    after.iter().chain(before).find(|node| is_eligible(node))
}

/// Spreads the bits of a number with the finalizer of splitmix64.
const fn splitmix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
