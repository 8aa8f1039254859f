//! Choice of a server for a request.
//!
//! Two candidates are drawn and the less loaded one is taken. Drawing avoids
//! that all entries send to the one server whose report looks best.

use std::sync::Arc;

use rand::Rng;

use crate::{
    PoolName, ServerName,
    backend_server::{ServerKind, ServerNode, ServerSpec},
};

/// One choice in so many also takes suspect servers.
const TRIAL_ONE_IN: u32 = 4;

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolName,
    /// Servers not to choose, such as the one that just failed.
    pub exclude: &'a [ServerName],
}

/// The servers known to a process, replaced as a whole.
#[derive(Debug, Default)]
pub struct ServerSet {
    nodes: Vec<Arc<ServerNode>>,
}

impl ServerSet {
    /// Set of the given servers, with the nodes of `previous` kept where the
    /// server is the same, so that their counters go on.
    pub fn new(specs: &[ServerSpec], previous: &Self) -> Self {
        let nodes = specs
            .iter()
            .map(|spec| match previous.get(&spec.name) {
                Some(node) if node.spec() == spec => Arc::clone(node),
                _ => Arc::new(ServerNode::new(spec.clone())),
            })
            .collect();
        Self { nodes }
    }

    /// All servers.
    pub fn nodes(&self) -> &[Arc<ServerNode>] {
        &self.nodes
    }

    /// Server by name.
    pub fn get(&self, name: &ServerName) -> Option<&Arc<ServerNode>> {
        self.nodes.iter().find(|node| node.spec().name == *name)
    }

    /// Servers of a kind.
    pub fn of_kind(&self, kind: ServerKind) -> impl Iterator<Item = &Arc<ServerNode>> {
        self.nodes
            .iter()
            .filter(move |node| node.spec().kind == kind)
    }

    /// Draw two servers that can take the request and return the less loaded.
    pub fn choose(&self, query: &ChoiceQuery<'_>, rng: &mut impl Rng) -> Option<&Arc<ServerNode>> {
        // A suspect server comes back by trial.
        let is_trial = rng.random_ratio(1, TRIAL_ONE_IN);
        let healthy = self.draw(query, rng, |node| is_trial || !node.is_suspect());
        // A suspect server is better than none.
        healthy.or_else(|| self.draw(query, rng, |_| true))
    }

    fn draw(
        &self,
        query: &ChoiceQuery<'_>,
        rng: &mut impl Rng,
        admits: impl Fn(&ServerNode) -> bool,
    ) -> Option<&Arc<ServerNode>> {
        // Reservoir of two: one pass, no allocation.
        let mut first: Option<&Arc<ServerNode>> = None;
        let mut second: Option<&Arc<ServerNode>> = None;
        let mut seen = 0_u32;
        for node in &self.nodes {
            if !Self::can_take(node, query) || !admits(node) {
                continue;
            }
            seen += 1;
            match seen {
                1 => first = Some(node),
                2 => second = Some(node),
                _ => match rng.random_range(0..seen) {
                    0 => first = Some(node),
                    1 => second = Some(node),
                    _ => {}
                },
            }
        }
        match (first, second) {
            (Some(one), Some(other)) if other.inflight() < one.inflight() => Some(other),
            (Some(one), Some(other)) if other.inflight() == one.inflight() => {
                Some(if rng.random() { one } else { other })
            }
            (one, _) => one,
        }
    }

    fn can_take(node: &ServerNode, query: &ChoiceQuery<'_>) -> bool {
        node.spec().pool == *query.pool
            && !node.is_leaving()
            && !query.exclude.contains(&node.spec().name)
    }
}
