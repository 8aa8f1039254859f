//! The entries that run, as they announce themselves.
//!
//! Each entry writes a row of its own now and then; one whose row stays as it
//! was has gone. Only their number is used, to share what all of them may
//! spend, so that a row too many costs a little and a row too few is bounded
//! by the number known before.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

/// Entries that are taken to run before any list is known: more than the
/// users' largest site has.
const UNKNOWN_COUNT: usize = 32;

/// Rows of entries with the time at which each last changed.
#[derive(Clone, Debug, Default)]
pub struct EntryRoster {
    rows: HashMap<Box<str>, (u64, Instant)>,
    listed: bool,
}

impl EntryRoster {
    /// Take in a whole listing of names and row versions.
    pub fn replace<'a>(&mut self, rows: impl Iterator<Item = (&'a str, u64)>, now: Instant) {
        let before = std::mem::take(&mut self.rows);
        self.rows = rows
            .map(|(name, version)| {
                let changed = match before.get(name) {
                    Some((known, changed)) if *known == version => *changed,
                    _ => now,
                };
                (name.into(), (version, changed))
            })
            .collect();
        self.listed = true;
    }

    /// Entries whose rows changed within `lifetime`; this one among them.
    pub fn count(&self, lifetime: Duration, now: Instant) -> usize {
        if !self.listed {
            return UNKNOWN_COUNT;
        }
        let alive = |changed: &Instant| now.saturating_duration_since(*changed) < lifetime;
        let count = self.rows.values().filter(|(_, changed)| alive(changed));
        count.count().max(1)
    }
}
