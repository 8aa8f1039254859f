//! Which servers hold a prompt in their memory.
//!
//! A caller whose stream broke off with its entry comes back at another entry,
//! under another id and with nothing that names the server before. Servers keep
//! a prompt for a while after its run and list what they hold, so an entry asks
//! them once for all streams that come back together, and each of these goes
//! where its prompt need not be read again.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    PromptPart,
    server_registry::{DomainServers, RegisteredServer},
};

/// Age up to which an index answers. Streams of an entry that ends come back
/// within 100 ms of each other; their prompts were read long before.
const INDEX_LIFETIME: Duration = Duration::from_millis(500);
/// Servers of one failure domain that are asked: all of today's sites, and a
/// bound on the calls of one search in larger ones.
const DOMAIN_ASKED: usize = 32;

/// Prompt in the memory of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrompt {
    /// Where the server listens.
    pub address: SocketAddr,
    /// Tokens of the part that it holds.
    pub tokens: u64,
}

/// Prompts that servers held when they were asked.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    held: HashMap<PromptPart, CachedPrompt>,
    taken: Option<Instant>,
}

impl PromptIndex {
    /// An index of no servers, asked at that moment.
    pub fn new(taken: Instant) -> Self {
        Self {
            held: HashMap::new(),
            taken: Some(taken),
        }
    }

    /// Take in what one server holds; the most of a part counts.
    pub fn add(&mut self, address: SocketAddr, parts: impl IntoIterator<Item = (PromptPart, u64)>) {
        for (part, tokens) in parts {
            let new = CachedPrompt { address, tokens };
            let known = self.held.entry(part).or_insert(new);
            if known.tokens < tokens {
                *known = new;
            }
        }
    }

    /// Whether it may answer; an older one is taken anew.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.taken
            .is_some_and(|taken| now.saturating_duration_since(taken) < INDEX_LIFETIME)
    }

    /// Where a part is held.
    pub fn find(&self, part: &PromptPart) -> Option<CachedPrompt> {
        self.held.get(part).copied()
    }
}

/// Servers that are asked what they hold: of each failure domain a bounded
/// number, and none that failed lately.
pub fn servers_to_query(
    domains: &[DomainServers],
    now: Instant,
) -> impl Iterator<Item = &Arc<RegisteredServer>> {
    domains.iter().flat_map(move |own| {
        own.servers
            .iter()
            .filter(move |server| !server.is_misdirected() && !server.is_suspect(now))
            .take(DOMAIN_ASKED)
    })
}
