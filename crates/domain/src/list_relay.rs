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
const GONE_MAX: usize = 1_024;
/// Time that the store may hold a question while nothing changes. With the time
/// between two questions, and that for a late answer, it stays within the bound
/// on servers that leave.
pub const HOLD_TIME: Duration = Duration::from_millis(300);
/// Time beyond that after which news are late: some times a slow answer of the
/// store.
const LATE_TIME: Duration = Duration::from_millis(300);
/// Time for which an entry that told nothing in time is not followed.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// What changed in the list, by the version of the store that showed it.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    start: u64,
    changes: HashMap<ServerName, (u64, RegistryChange)>,
}

impl ChangeLog {
    /// A log that begins with a whole listing. It shows nothing of what was
    /// removed before the version `read`, which may be later than that of the
    /// newest row.
    pub fn new(read: u64, newest_row: u64, records: &[ServerRecord]) -> Self {
        let present = |record: &ServerRecord| {
            let change = RegistryChange::Present(record.clone());
            (record.instance.clone(), (newest_row, change))
        };
        Self {
            start: read,
            changes: records.iter().map(present).collect(),
        }
    }

    /// Changes that say something new.
    pub fn news<'a>(&self, changes: &'a [RegistryChange]) -> Vec<&'a RegistryChange> {
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
        self.forget_gone();
    }

    /// What changed after the version up to which a follower read; none if that is
    /// longer ago than is known.
    pub fn since(&self, read: u64) -> Option<Vec<&RegistryChange>> {
        if read < self.start {
            return None;
        }
        let newer = self.changes.values().filter(|(at, _)| *at > read);
        Some(newer.map(|(_, change)| change).collect())
    }

    fn forget_gone(&mut self) {
        let is_gone = |change: &RegistryChange| matches!(change, RegistryChange::Absent(_));
        let mut gone: Vec<u64> = self
            .changes
            .values()
            .filter(|(_, change)| is_gone(change))
            .map(|(at, _)| *at)
            .collect();
        if gone.len() <= GONE_MAX {
            return;
        }
        gone.sort_unstable();
        let oldest = gone[gone.len() - GONE_MAX];
        self.start = self.start.max(oldest);
        self.changes
            .retain(|_, (at, change)| !is_gone(change) || *at >= oldest);
    }
}

/// News of the list as an entry has them from the store or from another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListNews {
    /// Version of the newest row that was seen; those who saw the same rows have
    /// the same.
    pub version: u64,
    /// Version up to which the store was read; it rises with other tables too.
    pub read: u64,
    /// When the store said so.
    pub said: Instant,
}

/// When news from another entry are due.
#[derive(Clone, Copy, Debug)]
pub struct RelayRule {
    /// Time between two questions of an entry to the store.
    pub period: Duration,
}

impl RelayRule {
    /// Time for which another entry is waited for, given what is known.
    pub fn patience(&self, known: ListNews, now: Instant) -> Duration {
        (known.said + self.limit()).saturating_duration_since(now)
    }

    /// Whether news of another entry are fresh enough to be followed.
    pub fn is_fresh(&self, news: ListNews, now: Instant) -> bool {
        now.saturating_duration_since(news.said) <= self.limit()
    }

    fn limit(&self) -> Duration {
        self.period + HOLD_TIME + LATE_TIME
    }

    /// Until when an entry that told nothing is not followed.
    pub fn doubted_until(&self, now: Instant) -> Instant {
        now + DOUBT_TIME
    }
}
