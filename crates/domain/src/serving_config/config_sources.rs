//! Whom a server's process asks for release notes.
//!
//! The entries that have told it something, since thousands of processes may
//! not poll the store. The store is asked when no entry answers, and sooner by
//! a process that knows hardly any: after a restart while the store is down it
//! knows none, and may be told of one late.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

/// Entries that a process can ask, and when it was last answered.
#[derive(Clone, Debug)]
pub struct ConfigSources {
    entries: Vec<SocketAddr>,
    answered_at: Instant,
}

impl ConfigSources {
    /// Entries that are remembered.
    pub const ENTRIES_MAX: usize = 16;

    /// Time without an answer after which the store is asked.
    pub const STORE_DELAY: Duration = Duration::from_secs(6);

    /// The same for a process that knows one entry at most.
    pub const FEW_ENTRIES_STORE_DELAY: Duration = Duration::from_secs(2);

    /// Sources of a process that knows no entry.
    pub const fn new(now: Instant) -> Self {
        Self {
            entries: Vec::new(),
            answered_at: now,
        }
    }

    /// Entries to choose from.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// An entry is there; the one known longest makes room for it.
    pub fn add_entry(&mut self, entry: SocketAddr) {
        if self.entries.contains(&entry) {
            return;
        }
        if self.entries.len() >= Self::ENTRIES_MAX {
            self.entries.remove(0);
        }
        self.entries.push(entry);
    }

    /// An entry or the store has answered, or an entry has told something.
    pub const fn record_answer(&mut self, now: Instant) {
        self.answered_at = now;
    }

    /// An entry gave no answer. The last one is kept: it may come back, and a
    /// process that is cut off from the store has nobody else.
    pub fn record_failure(&mut self, entry: SocketAddr) {
        if self.entries.len() > 1 {
            self.entries.retain(|known| *known != entry);
        }
    }

    /// Whether the process knows too few entries to rely on them.
    pub const fn knows_few_entries(&self) -> bool {
        self.entries.len() <= 1
    }

    /// Whether the store is to be asked.
    pub fn is_store_query_due(&self, now: Instant) -> bool {
        let patience = if self.knows_few_entries() {
            Self::FEW_ENTRIES_STORE_DELAY
        } else {
            Self::STORE_DELAY
        };
        now.duration_since(self.answered_at) >= patience
    }
}
