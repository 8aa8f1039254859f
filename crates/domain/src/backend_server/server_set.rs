//! The servers known to a process, and the subset it sends to.
//!
//! All entries times all servers are too many pairs to learn from. Each process
//! keeps a subset of every pool: of each failure domain the servers that rank
//! first for this process by rendezvous hashing, so that one VM that comes or
//! goes changes at most one place of the subset.

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

/// The servers of one pool.
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

    /// Servers that this process sends to.
    pub fn subset(&self) -> &[Arc<ServerNode>] {
        &self.subset
    }

    /// What is usual among them.
    pub fn peer_latency(&self) -> &PeerLatency {
        &self.peer_latency
    }

    /// What is usual among them, to be kept beyond this set.
    pub fn shared_peer_latency(&self) -> Arc<PeerLatency> {
        Arc::clone(&self.peer_latency)
    }

    fn narrow(&mut self, viewer: &str, size: usize) {
        let mut domains: BTreeMap<&FailureDomain, Vec<&Arc<ServerNode>>> = BTreeMap::new();
        for node in &self.all {
            domains.entry(&node.spec().domain).or_default().push(node);
        }
        let share = size.div_ceil(domains.len().max(1));
        let mut subset = Vec::new();
        for nodes in domains.values_mut() {
            nodes.sort_by_key(|node| Reverse(rank(viewer, &node.spec().name)));
            subset.extend(nodes.iter().take(share).map(|node| Arc::clone(node)));
        }
        self.subset = subset;
    }
}

fn rank(viewer: &str, server: &ServerName) -> u64 {
    let mut hasher = DefaultHasher::new();
    viewer.hash(&mut hasher);
    server.hash(&mut hasher);
    hasher.finish()
}

/// The servers known to a process, replaced as a whole.
#[derive(Debug, Default)]
pub struct ServerSet {
    nodes: Vec<Arc<ServerNode>>,
    by_name: HashMap<ServerName, Arc<ServerNode>>,
    pools: HashMap<PoolName, PoolServers>,
}

impl ServerSet {
    /// Servers of a pool that a process sends to.
    pub const SUBSET_SIZE: usize = 60;

    /// Set of the given servers, with the nodes of `previous` kept where the
    /// server is the same, so that their counters go on.
    pub fn new(specs: &[ServerSpec], previous: &Self, now: Instant) -> Self {
        let mut set = Self::default();
        for spec in specs {
            let node = match previous.get(&spec.name) {
                Some(node) if node.spec() == spec => Arc::clone(node),
                _ => Arc::new(ServerNode::new(spec.clone(), now)),
            };
            set.by_name.insert(spec.name.clone(), Arc::clone(&node));
            set.enter(&node, previous, now);
            set.nodes.push(node);
        }
        set
    }

    /// Narrow every pool to the subset of one process.
    #[must_use]
    pub fn with_subsets(mut self, viewer: &str) -> Self {
        for pool in self.pools.values_mut() {
            pool.narrow(viewer, Self::SUBSET_SIZE);
        }
        self
    }

    /// All servers.
    pub fn nodes(&self) -> &[Arc<ServerNode>] {
        &self.nodes
    }

    /// Server by name.
    pub fn get(&self, name: &ServerName) -> Option<&Arc<ServerNode>> {
        self.by_name.get(name)
    }

    /// Servers of a kind.
    pub fn of_kind(&self, kind: ServerKind) -> impl Iterator<Item = &Arc<ServerNode>> {
        self.nodes
            .iter()
            .filter(move |node| node.spec().kind == kind)
    }

    /// Servers of a pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolServers> {
        self.pools.get(name)
    }

    /// Choose a server of the subset, or of the whole pool when no server of
    /// the subset can take the request.
    pub fn select(
        &self,
        choice: &impl ServerSelector,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&Arc<ServerNode>> {
        let pool = self.pool(query.pool)?;
        choice.select(pool, query, rng).or_else(|| {
            let mut others = pool.all.iter().filter(|_| !query.is_move);
            others.find(|node| query.allows(node))
        })
    }

    fn enter(&mut self, node: &Arc<ServerNode>, previous: &Self, now: Instant) {
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
