//! The entries that run, as they announce themselves.
//!
//! Each entry writes a row of its own now and then; one whose row stays as it
//! was has gone. Their number shares what all of them may spend: a row too
//! many costs a little and a row too few is bounded by the number known before.
//! Their addresses tell whom an entry may ask what it would else ask the store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::FailureDomain;

/// Entries that are taken to run before any list is known: more than the
/// users' largest site has.
const ASSUMED_COUNT: usize = 32;

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRecord {
    /// Failure domain.
    pub domain: FailureDomain,
    /// Where it answers other entries, if it does.
    pub peer: Option<SocketAddr>,
}

/// Row of one entry as it is listed.
#[derive(Clone, Debug)]
pub struct EntryRow<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Version of the row.
    pub version: u64,
    /// What it says; none if it cannot be read.
    pub record: Option<EntryRecord>,
}

#[derive(Clone, Debug)]
struct KnownEntry {
    version: u64,
    changed_at: Instant,
    record: Option<EntryRecord>,
}

/// Rows of entries with the time at which each last changed.
#[derive(Clone, Debug, Default)]
pub struct EntryRoster {
    rows: BTreeMap<Box<str>, KnownEntry>,
    is_listed: bool,
}

impl EntryRoster {
    /// Take in a whole listing.
    pub fn replace<'a>(&mut self, rows: impl Iterator<Item = EntryRow<'a>>, now: Instant) {
        let previous = std::mem::take(&mut self.rows);
        self.rows = rows
            .map(|row| {
                let changed_at = match previous.get(row.name) {
                    Some(known) if known.version == row.version => known.changed_at,
                    _ => now,
                };
                let known = KnownEntry {
                    version: row.version,
                    changed_at,
                    record: row.record,
                };
                (row.name.into(), known)
            })
            .collect();
        self.is_listed = true;
    }

    /// Entries whose rows changed within `lifetime`; this one among them.
    pub fn count(&self, lifetime: Duration, now: Instant) -> usize {
        if !self.is_listed {
            return ASSUMED_COUNT;
        }
        self.live(lifetime, now).count().max(1)
    }

    /// Addresses of the entries of a failure domain whose names come before one,
    /// in their order.
    pub fn leaders(
        &self,
        domain: &FailureDomain,
        name: &str,
        lifetime: Duration,
        now: Instant,
    ) -> impl Iterator<Item = SocketAddr> {
        self.live(lifetime, now)
            .take_while(move |(other, _)| **other < *name)
            .filter_map(|(_, known)| known.record.as_ref())
            .filter(move |record| record.domain == *domain)
            .filter_map(|record| record.peer)
    }

    fn live(&self, lifetime: Duration, now: Instant) -> impl Iterator<Item = (&str, &KnownEntry)> {
        self.rows
            .iter()
            .filter(move |(_, known)| now.saturating_duration_since(known.changed_at) < lifetime)
            .map(|(name, known)| (name.as_ref(), known))
    }
}
