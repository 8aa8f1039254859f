//! Index of the prompts in the servers' KV caches.
//!
//! When an entry process of `bamboocross-front` stops, its callers resume their
//! streams at another entry, with a new request ID and without naming the previous
//! server. Servers keep a prompt's KV cache for some time after its run and can
//! list their cached prompts. The entry queries the servers once for all streams
//! that resume together, and sends each stream to a server that can skip its
//! prefill.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    PromptPart,
    server_registry::{DomainServers, RegisteredServer},
};

/// Age after which an index is rebuilt. The streams of a stopped entry resume
/// within 100 ms of each other. Their prompts were cached long before, so the
/// servers' lists do not change meanwhile.
const INDEX_AGE_MAX: Duration = Duration::from_millis(500);
/// Maximum number of servers queried per failure domain. Usual domains are queried
/// completely; in larger ones it limits the number of calls.
const SERVERS_PER_DOMAIN_MAX: usize = 32;

/// Location of a prompt part in the KV cache of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrompt {
    /// Address of the server.
    pub address: SocketAddr,
    /// Number of tokens of the part.
    pub tokens: u64,
}

/// Prompt parts in the KV caches of all queried servers.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    parts: HashMap<PromptPart, CachedPrompt>,
    built_at: Option<Instant>,
}

impl PromptIndex {
    /// Creates an empty index, built at the given time.
    pub fn new(built_at: Instant) -> Self {
        Self {
            parts: HashMap::new(),
            built_at: Some(built_at),
        }
    }

    /// Adds the prompt parts cached by one server. For each prompt part, the server
    /// with the most cached tokens is kept.
    pub fn add(&mut self, address: SocketAddr, parts: impl IntoIterator<Item = (PromptPart, u64)>) {
        for (part, tokens) in parts {
            let new = CachedPrompt { address, tokens };
            let known = self.parts.entry(part).or_insert(new);
            if known.tokens < tokens {
                *known = new;
            }
        }
    }

    /// Whether the index may still be used.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.built_at
            .is_some_and(|built_at| now.saturating_duration_since(built_at) < INDEX_AGE_MAX)
    }

    /// Finds the server with the most cached tokens of a prompt part.
    pub fn find(&self, part: &PromptPart) -> Option<CachedPrompt> {
        self.parts.get(part).copied()
    }
}

/// Returns the servers to query for cached prompts: a limited number per failure
/// domain, without suspect servers and those that are leaving or paused.
pub fn servers_to_query(
    domains: &[DomainServers],
    now: Instant,
) -> impl Iterator<Item = &Arc<RegisteredServer>> {
    domains.iter().flat_map(move |domain| {
        domain
            .servers
            .iter()
            .filter(move |server| server.is_available(now) && !server.is_suspect(now))
            .take(SERVERS_PER_DOMAIN_MAX)
    })
}
