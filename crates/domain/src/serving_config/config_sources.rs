//! Sources of changesets for an agent.
//!
//! Agents poll the entries that have contacted them, because thousands of
//! agents polling the store would overload it. An agent falls back to the store
//! when no entry answers. An agent that knows at most one entry queries the store
//! more often. Such an agent, for example one that restarted during a store
//! outage, may wait long until an entry contacts it, so it depends on the store
//! as soon as the outage ends.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

/// Entries that an agent can poll, and the time of the last answer or message.
#[derive(Clone, Debug)]
pub struct ConfigSources {
    entries: Vec<SocketAddr>,
    answered_at: Instant,
}

impl ConfigSources {
    /// Maximum number of entries to keep.
    pub const ENTRIES_MAX: usize = 16;

    /// Time without an answer or message after which the store is queried.
    pub const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(6);

    /// Like [`Self::STORE_FALLBACK_DELAY`], for an agent that knows at most one entry.
    pub const FEW_ENTRIES_FALLBACK_DELAY: Duration = Duration::from_secs(2);

    /// Creates the sources of an agent that knows no entry.
    pub const fn new(now: Instant) -> Self {
        Self {
            entries: Vec::new(),
            answered_at: now,
        }
    }

    /// Returns the entries that can be polled.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Adds an entry; if there are too many, removes the one that was added first.
    pub fn add_entry(&mut self, entry: SocketAddr) {
        if self.entries.contains(&entry) {
            return;
        }
        if self.entries.len() >= Self::ENTRIES_MAX {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }

    /// Records an answer of an entry or of the store, or a message from an entry.
    pub const fn record_answer(&mut self, now: Instant) {
        self.answered_at = now;
    }

    /// Removes an entry that did not answer. The last entry is kept: it may
    /// recover, and it is the only source left while the store is unreachable.
    pub fn record_failure(&mut self, entry: SocketAddr) {
        if self.entries.len() > 1 {
            self.entries.retain(|known| *known != entry);
        }
    }

    /// Returns whether at most one entry is known.
    pub const fn knows_few_entries(&self) -> bool {
        self.entries.len() <= 1
    }

    /// Returns whether the store should be queried now.
    pub fn is_store_query_due(&self, now: Instant) -> bool {
        let delay = if self.knows_few_entries() {
            Self::FEW_ENTRIES_FALLBACK_DELAY
        } else {
            Self::STORE_FALLBACK_DELAY
        };
        now.duration_since(self.answered_at) >= delay
    }
}
