//! The running entries, as they announce themselves in the store.
//!
//! Each entry rewrites its own row periodically; an entry whose row stops
//! changing is considered gone. Budgets of all entries together are divided by
//! their number. A stale row makes each share slightly too small. An entry that
//! the others have not listed yet makes the total exceed the budget by about one
//! share. The rows also hold the addresses at which entries answer queries that
//! would otherwise go to the store.
//!
//! A store that comes back from an older copy lacks the entries that announced themselves
//! within the lost time. They are kept until they have had the time to announce
//! themselves again, so that nobody takes their shares meanwhile.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::{FailureDomain, store_position::StoreEra};

/// Number of running entries assumed before the first listing: more than the
/// largest known deployment runs, so that shares start too small rather than too large.
const ASSUMED_COUNT: usize = 32;

/// Largest number of entries that follow one entry.
pub const FOLLOWERS_MAX: usize = 16;

/// Contents of an entry's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRecord {
    /// Failure domain.
    pub domain: FailureDomain,
    /// Address at which it answers other entries, if any.
    pub peer_address: Option<SocketAddr>,
}

/// Row of one entry in a listing.
#[derive(Clone, Debug)]
pub struct EntryRow<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Version of the row.
    pub version: u64,
    /// Decoded contents; `None` if they cannot be decoded.
    pub record: Option<EntryRecord>,
}

/// Longest time between two listings after which this entry's knowledge of the others
/// counts as unbroken: the longest time between two announcements and the time limits
/// of two store calls.
const LISTING_GAP_MAX: Duration = Duration::from_secs(35);
/// Time for which a row must have been seen before all others have seen it: more than
/// [`LISTING_GAP_MAX`].
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// Time within which entries announce themselves again after the store came back from an
/// older copy: the spread of these announcements, and a repeat of a failed one.
const RETURN_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct KnownEntry {
    version: u64,
    changed_at: Instant,
    /// Since when the row has been in all listings, without a gap between them.
    seen_since: Instant,
    record: Option<EntryRecord>,
}

/// Rows of all entries, with the time at which each last changed.
#[derive(Clone, Debug, Default)]
pub struct EntryRoster {
    rows: BTreeMap<Box<str>, KnownEntry>,
    listed_at: Option<Instant>,
    /// Era of the store that the last listing is of.
    era: Option<StoreEra>,
    /// Time until which entries that a listing lacks are kept.
    kept_until: Option<Instant>,
}

impl EntryRoster {
    /// Records that the next listing is of this era of the store.
    pub fn begin_era(&mut self, era: StoreEra, now: Instant) {
        if self.era.is_some_and(|before| before != era) {
            self.kept_until = Some(now + RETURN_TIME);
        }
        self.era = Some(era);
    }

    /// Replaces the rows by a complete listing.
    pub fn replace<'a>(&mut self, rows: impl Iterator<Item = EntryRow<'a>>, now: Instant) {
        let mut previous = std::mem::take(&mut self.rows);
        let is_unbroken = self.is_recently_listed(now);
        self.rows = rows
            .map(|row| {
                let changed_at = match previous.get(row.name) {
                    Some(known) if known.version == row.version => known.changed_at,
                    _ => now,
                };
                let seen_since = match previous.get(row.name) {
                    Some(known) if is_unbroken => known.seen_since,
                    _ => now,
                };
                let known = KnownEntry {
                    version: row.version,
                    changed_at,
                    seen_since,
                    record: row.record,
                };
                (row.name.into(), known)
            })
            .collect();
        self.listed_at = Some(now);
        if self.kept_until.is_some_and(|until| now < until) {
            previous.retain(|name, _| !self.rows.contains_key(name));
            self.rows.append(&mut previous);
        }
    }

    /// Whether the entries were listed once.
    pub fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Whether there is a row of `name`.
    pub fn has_row(&self, name: &str) -> bool {
        self.rows.contains_key(name)
    }

    /// Number of entries whose rows can be decoded and changed within `lifetime`, but
    /// at least 1 for this entry. Before the first listing, `ASSUMED_COUNT`.
    pub fn count(&self, lifetime: Duration, now: Instant) -> usize {
        if self.listed_at.is_none() {
            return ASSUMED_COUNT;
        }
        self.live(lifetime, now)
            .filter(|(_, known)| known.record.is_some())
            .count()
            .max(1)
    }

    /// Whether entry `name`, whose roster this is, and all others that are settled count
    /// each other: its row has been in its listings for long enough that the others have
    /// listed it, and it has listed theirs.
    pub fn is_settled(&self, name: &str, lifetime: Duration, now: Instant) -> bool {
        let own = self.live(lifetime, now).find(|(other, _)| *other == name);
        let has_settled = |known: &KnownEntry| {
            known.record.is_some() && now.saturating_duration_since(known.seen_since) >= SETTLE_TIME
        };
        self.is_recently_listed(now) && own.is_some_and(|(_, known)| has_settled(known))
    }

    fn is_recently_listed(&self, now: Instant) -> bool {
        self.listed_at
            .is_some_and(|listed_at| now.saturating_duration_since(listed_at) <= LISTING_GAP_MAX)
    }

    /// Addresses of the live entries in `domain` whose names sort before `name`, the
    /// one to follow first. The entries of a domain form a tree in the order of their
    /// names, so that none is followed by more than [`FOLLOWERS_MAX`]; the chain up to
    /// its root comes first, then the others by name.
    pub fn leaders(
        &self,
        domain: &FailureDomain,
        name: &str,
        lifetime: Duration,
        now: Instant,
    ) -> impl Iterator<Item = SocketAddr> {
        let mut earlier: Vec<SocketAddr> = self
            .live(lifetime, now)
            .take_while(|(other, _)| **other < *name)
            .filter_map(|(_, known)| known.record.as_ref())
            .filter(|record| record.domain == *domain)
            .filter_map(|record| record.peer_address)
            .collect();
        let mut chain = Vec::new();
        let mut rank = earlier.len();
        while rank > 0 {
            rank = (rank - 1) / FOLLOWERS_MAX;
            // Each step goes to a lower rank, so the ranks above it stay in place.
            chain.push(earlier.remove(rank));
        }
        chain.into_iter().chain(earlier)
    }

    /// Records of all live entries.
    pub fn peers(&self, lifetime: Duration, now: Instant) -> impl Iterator<Item = &EntryRecord> {
        self.live(lifetime, now)
            .filter_map(|(_, known)| known.record.as_ref())
    }

    /// Number of live entries whose names sort before `name`.
    pub fn rank(&self, name: &str, lifetime: Duration, now: Instant) -> usize {
        self.live(lifetime, now)
            .take_while(|(other, _)| *other < name)
            .count()
    }

    /// Whether `name` sorts before the names of all other live entries.
    pub fn is_first(&self, name: &str, lifetime: Duration, now: Instant) -> bool {
        let first = self.live(lifetime, now).next();
        first.is_some_and(|(first, _)| *first == *name)
    }

    fn live(&self, lifetime: Duration, now: Instant) -> impl Iterator<Item = (&str, &KnownEntry)> {
        self.rows
            .iter()
            .filter(move |(_, known)| now.saturating_duration_since(known.changed_at) < lifetime)
            .map(|(name, known)| (name.as_ref(), known))
    }
}
