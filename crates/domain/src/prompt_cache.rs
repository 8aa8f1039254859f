//! Index of the prompts in the servers' KV caches.
//!
//! When an entry ends, its callers resume their streams at another entry, with
//! a new request id and without naming the previous server. Servers keep a
//! prompt's KV cache for some time after its run and can list their cached
//! prompts. The entry queries the servers once for all streams that resume
//! together, and sends each stream to a server that can skip its prefill.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    PromptPart,
    server_registry::{DomainServers, RegisteredServer},
};

/// Age after which an index is rebuilt. The streams of an entry that ended
/// resume within 100 ms of each other, long after the prefill of their prompts,
/// so one index serves them all.
const INDEX_MAX_AGE: Duration = Duration::from_millis(500);
/// Maximum number of servers queried per failure domain. It covers the current
/// sites completely and limits the calls of a search in larger domains.
const MAX_SERVERS_PER_DOMAIN: usize = 32;

/// Prompt in the KV cache of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrompt {
    /// Address of the server.
    pub address: SocketAddr,
    /// Number of cached tokens of the prompt part.
    pub tokens: u64,
}

/// Prompts in the KV caches of all queried servers.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    prompts: HashMap<PromptPart, CachedPrompt>,
    built_at: Option<Instant>,
}

impl PromptIndex {
    /// Creates an empty index of the given time.
    pub fn new(built_at: Instant) -> Self {
        Self {
            prompts: HashMap::new(),
            built_at: Some(built_at),
        }
    }

    /// Adds the prompts cached by one server. For each prompt part, the server
    /// with the most cached tokens is kept.
    pub fn add(&mut self, address: SocketAddr, parts: impl IntoIterator<Item = (PromptPart, u64)>) {
        for (part, tokens) in parts {
            let new = CachedPrompt { address, tokens };
            let known = self.prompts.entry(part).or_insert(new);
            if known.tokens < tokens {
                *known = new;
            }
        }
    }

    /// Whether the index may still be used.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.built_at
            .is_some_and(|built_at| now.saturating_duration_since(built_at) < INDEX_MAX_AGE)
    }

    /// Finds the server with the most cached tokens of a prompt part.
    pub fn find(&self, part: &PromptPart) -> Option<CachedPrompt> {
        self.prompts.get(part).copied()
    }
}

/// Returns the servers to query for cached prompts: a limited number per failure
/// domain, without suspect servers.
pub fn servers_to_query(
    domains: &[DomainServers],
    now: Instant,
) -> impl Iterator<Item = &Arc<RegisteredServer>> {
    domains.iter().flat_map(move |domain| {
        domain
            .servers
            .iter()
            .filter(move |server| !server.is_misdirected() && !server.is_suspect(now))
            .take(MAX_SERVERS_PER_DOMAIN)
    })
}
