//! The servers known to a process and the subset that it sends to.
//!
//! If every entry used every server, each pair would exchange too few requests
//! for useful latency statistics. Each process therefore uses a subset of every
//! pool: in each failure domain, the servers with the highest rendezvous hash
//! for this process. As long as the failure domains stay the same, adding or
//! removing a server changes at most one member of the subset.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use rand::Rng;
use tokio::time::Instant;

use crate::{
    FailureDomain, PoolName, ServerName,
    backend_server::{
        PeerLatency, SelectionQuery, ServerKind, ServerNode, ServerSelector, ServerSpec,
    },
};

/// Servers of one pool.
#[derive(Debug)]
pub struct PoolServers {
    all: Vec<Arc<ServerNode>>,
    subset: Vec<Arc<ServerNode>>,
    peer_latency: Arc<PeerLatency>,
}

impl PoolServers {
    /// All servers of the pool.
    pub fn all(&self) -> &[Arc<ServerNode>] {
        &self.all
    }

    /// Servers that this process normally sends requests to: all servers of the
    /// pool until [`ServerSet::with_subsets`] is applied.
    pub fn subset(&self) -> &[Arc<ServerNode>] {
        &self.subset
    }

    /// Median latencies of the subset.
    pub fn peer_latency(&self) -> &PeerLatency {
        &self.peer_latency
    }

    /// Shared median latencies, which outlive this set.
    pub fn shared_peer_latency(&self) -> Arc<PeerLatency> {
        Arc::clone(&self.peer_latency)
    }

    fn select_subset(&mut self, process: &str, size: usize) {
        let mut domains: BTreeMap<&FailureDomain, Vec<&Arc<ServerNode>>> = BTreeMap::new();
        for node in &self.all {
            domains.entry(&node.spec().domain).or_default().push(node);
        }
        let per_domain = size.div_ceil(domains.len().max(1));
        let mut subset = Vec::new();
        for nodes in domains.values_mut() {
            nodes.sort_by_key(|node| Reverse(rendezvous_hash(process, &node.spec().name)));
            subset.extend(nodes.iter().take(per_domain).map(|node| Arc::clone(node)));
        }
        self.subset = subset;
    }
}

fn rendezvous_hash(process: &str, server: &ServerName) -> u64 {
    let mut hasher = DefaultHasher::new();
    process.hash(&mut hasher);
    server.hash(&mut hasher);
    hasher.finish()
}

/// Servers known to a process. A change replaces the whole set.
#[derive(Debug, Default)]
pub struct ServerSet {
    nodes: Vec<Arc<ServerNode>>,
    by_name: HashMap<ServerName, Arc<ServerNode>>,
    pools: HashMap<PoolName, PoolServers>,
}

impl ServerSet {
    /// Target size of a process's subset of a pool.
    pub const SUBSET_SIZE: usize = 60;

    /// Creates a set of the given servers. Nodes of `previous` with the same
    /// configuration are reused, which preserves their counters.
    pub fn new(specs: &[ServerSpec], previous: &Self, now: Instant) -> Self {
        let mut set = Self::default();
        for spec in specs {
            let node = match previous.get(&spec.name) {
                Some(node) if node.spec() == spec => Arc::clone(node),
                _ => Arc::new(ServerNode::new(spec.clone(), now)),
            };
            set.by_name.insert(spec.name.clone(), Arc::clone(&node));
            set.insert_into_pool(&node, previous, now);
            set.nodes.push(node);
        }
        set
    }

    /// Reduces every pool's subset to the servers used by one process.
    #[must_use]
    pub fn with_subsets(mut self, process: &str) -> Self {
        for pool in self.pools.values_mut() {
            pool.select_subset(process, Self::SUBSET_SIZE);
        }
        self
    }

    /// All servers.
    pub fn nodes(&self) -> &[Arc<ServerNode>] {
        &self.nodes
    }

    /// Looks up a server by name.
    pub fn get(&self, name: &ServerName) -> Option<&Arc<ServerNode>> {
        self.by_name.get(name)
    }

    /// Servers of a kind.
    pub fn of_kind(&self, kind: ServerKind) -> impl Iterator<Item = &Arc<ServerNode>> {
        self.nodes
            .iter()
            .filter(move |node| node.spec().kind == kind)
    }

    /// Looks up a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolServers> {
        self.pools.get(name)
    }

    /// Selects a server of the subset. Falls back to the whole pool if the
    /// subset has none, except for a move.
    pub fn select(
        &self,
        selector: &impl ServerSelector,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&Arc<ServerNode>> {
        let pool = self.pool(query.pool)?;
        selector.select(pool, query, rng).or_else(|| {
            let mut others = pool.all.iter().filter(|_| !query.is_move);
            others.find(|node| query.allows(node))
        })
    }

    fn insert_into_pool(&mut self, node: &Arc<ServerNode>, previous: &Self, now: Instant) {
        let name = &node.spec().pool;
        let pool = self.pools.entry(name.clone()).or_insert_with(|| {
            let peer_latency = previous
                .pool(name)
                .map(|pool| Arc::clone(&pool.peer_latency));
            PoolServers {
                all: Vec::new(),
                subset: Vec::new(),
                peer_latency: peer_latency.unwrap_or_else(|| Arc::new(PeerLatency::new(now))),
            }
        });
        pool.all.push(Arc::clone(node));
        pool.subset.push(Arc::clone(node));
    }
}
