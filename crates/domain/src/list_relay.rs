//! The list of servers handed on between entries.
//!
//! Registrations come again with every heartbeat, so what an entry reads from
//! the store grows with the servers, and what all read with servers times
//! entries. Most of it says nothing new. An entry therefore keeps which
//! registrations changed, and when, and hands just those to entries that follow
//! it. In each failure domain entries follow those whose names come before
//! theirs, so that nobody follows itself by a detour; whoever hears nothing in
//! time reads the store itself.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{
    ServerName,
    server_registry::{RegistryChange, ServerRecord},
};

/// Servers gone that are remembered; some days of replacements at the design
/// size. A follower that knows less reads the store.
const REMOVALS_MAX: usize = 1_024;
/// Time that the store may hold a question while nothing changes. With the time
/// between two questions, and that for a late answer, it stays within the bound
/// on servers that leave.
pub const LONG_POLL_HOLD: Duration = Duration::from_millis(300);
/// Time beyond that after which news are late: some times a slow answer of the
/// store.
const DELAY_ALLOWANCE: Duration = Duration::from_millis(300);
/// Time for which an entry that told nothing in time is not followed.
const FOLLOW_BACKOFF: Duration = Duration::from_secs(5);

/// What changed in the list, by the version of the store that showed it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    history_start: u64,
    changes: HashMap<ServerName, (u64, RegistryChange)>,
}

impl ChangeLog {
    /// A log that begins with a whole listing. It shows nothing of what was
    /// removed before the version `read`, which may be later than that of the
    /// newest row.
    pub fn new(read_version: u64, newest_row: u64, records: &[ServerRecord]) -> Self {
        let present = |record: &ServerRecord| {
            let change = RegistryChange::Present(record.clone());
            (record.instance.clone(), (newest_row, change))
        };
        Self {
            history_start: read_version,
            changes: records.iter().map(present).collect(),
        }
    }

    /// Changes that say something new.
    pub fn new_changes<'a>(&self, changes: &'a [RegistryChange]) -> Vec<&'a RegistryChange> {
        let is_new = |change: &&RegistryChange| {
            let known = self.changes.get(change.instance());
            match change {
                RegistryChange::Present(_) => known.is_none_or(|(_, known)| known != *change),
                RegistryChange::Absent(_) => {
                    known.is_some_and(|(_, known)| matches!(known, RegistryChange::Present(_)))
                }
            }
        };
        changes.iter().filter(is_new).collect()
    }

    /// Take in changes that a version showed.
    pub fn apply(&mut self, changes: &[&RegistryChange], version: u64) {
        for change in changes {
            let name = change.instance().clone();
            self.changes.insert(name, (version, (*change).clone()));
        }
        self.prune_removals();
    }

    /// What changed after the version up to which a follower read; none if that is
    /// longer ago than is known.
    pub fn since(&self, read_version: u64) -> Option<Vec<&RegistryChange>> {
        if read_version < self.history_start {
            return None;
        }
        let newer = self
            .changes
            .values()
            .filter(|(version, _)| *version > read_version);
        Some(newer.map(|(_, change)| change).collect())
    }

    fn prune_removals(&mut self) {
        let is_removal = |change: &RegistryChange| matches!(change, RegistryChange::Absent(_));
        let mut removed: Vec<u64> = self
            .changes
            .values()
            .filter(|(_, change)| is_removal(change))
            .map(|(version, _)| *version)
            .collect();
        if removed.len() <= REMOVALS_MAX {
            return;
        }
        removed.sort_unstable();
        let oldest = removed[removed.len() - REMOVALS_MAX];
        self.history_start = self.history_start.max(oldest);
        self.changes
            .retain(|_, (version, change)| !is_removal(change) || *version >= oldest);
    }
}

/// News of the list as an entry has them from the store or from another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCursor {
    /// Version of the newest row that was seen; those who saw the same rows have
    /// the same.
    pub newest_row: u64,
    /// Version up to which the store was read; it rises with other tables too.
    pub read_version: u64,
    /// When the store said so.
    pub observed_at: Instant,
}

/// When news from another entry are due.
#[derive(Clone, Copy, Debug)]
pub struct RelayRule {
    /// Time between two questions of an entry to the store.
    pub poll_period: Duration,
}

impl RelayRule {
    /// Time for which another entry is waited for, given what is known.
    pub fn reply_timeout(&self, cursor: ListCursor, now: Instant) -> Duration {
        (cursor.observed_at + self.max_age()).saturating_duration_since(now)
    }

    /// Whether news of another entry are fresh enough to be followed.
    pub fn is_fresh(&self, cursor: ListCursor, now: Instant) -> bool {
        now.saturating_duration_since(cursor.observed_at) <= self.max_age()
    }

    fn max_age(&self) -> Duration {
        self.poll_period + LONG_POLL_HOLD + DELAY_ALLOWANCE
    }

    /// Until when an entry that told nothing is not followed.
    pub fn backoff_until(&self, now: Instant) -> Instant {
        now + FOLLOW_BACKOFF
    }
}
