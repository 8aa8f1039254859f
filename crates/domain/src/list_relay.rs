//! Propagation of server list changes between entry processes.
//!
//! Servers rewrite their registrations with every heartbeat, so what one entry
//! reads from the store grows with the number of servers, and what all entries
//! read grows with servers times entries. Most of it is unchanged. An entry
//! therefore logs which registrations changed at which version, and sends only
//! those to the entries that follow it. Within a failure domain an entry follows
//! entries whose names sort before its own, which rules out cycles. An entry
//! that receives no reply in time reads the store itself.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{
    ServerName,
    server_registry::{RegistryChange, ServerRecord},
    store_position::{StoreEra, StorePosition},
};

/// Removals kept in the log: a few days of server replacements in a large
/// deployment. A follower whose last read is older reads the store instead.
const REMOVALS_MAX: usize = 1_024;
/// Time for which the store may hold a long poll while nothing changes. The sum
/// of the poll period, this time and the allowance for a late reply stays below
/// the time within which entries must learn that a server is leaving: 1,700 ms of
/// 2 s with a poll period of 1,100 ms.
pub const LONG_POLL_HOLD: Duration = Duration::from_millis(300);
/// Allowance for a late reply: a few times the latency of a slow store response.
const LATE_REPLY_ALLOWANCE: Duration = Duration::from_millis(300);
/// Time for which an entry that failed to send a usable reply is not followed.
const FOLLOW_BACKOFF: Duration = Duration::from_secs(5);

/// Last change of each registration, with the store version at which it was seen. A log
/// covers one era of the store.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    era: StoreEra,
    history_start: u64,
    changes: HashMap<ServerName, (u64, RegistryChange)>,
}

/// What a follower gets of a [`ChangeLog`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedChanges<'a> {
    /// Whether these are all registrations, in place of what the follower has.
    pub is_complete: bool,
    /// The changes.
    pub changes: Vec<&'a RegistryChange>,
}

impl ChangeLog {
    /// Creates a log from a complete listing. A listing does not show which rows
    /// were removed before `read`, so the history begins at that version. It
    /// may be later than `newest_row_version`.
    pub fn new(read: StorePosition, newest_row_version: u64, records: &[ServerRecord]) -> Self {
        let present = |record: &ServerRecord| {
            let change = RegistryChange::Present(record.clone());
            (record.instance.clone(), (newest_row_version, change))
        };
        Self {
            era: read.era,
            history_start: read.version,
            changes: records.iter().map(present).collect(),
        }
    }

    /// The era that the log covers.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// The changes that differ from what is logged. A removal counts also if the instance is
    /// not logged: a follower may have read its registration itself in between.
    pub fn new_changes<'a>(&self, changes: &'a [RegistryChange]) -> Vec<&'a RegistryChange> {
        let is_new = |change: &&RegistryChange| {
            let known = self.changes.get(change.instance());
            known.is_none_or(|(_, known)| known != *change)
        };
        changes.iter().filter(is_new).collect()
    }

    /// Logs changes that were seen at `version`.
    pub fn record(&mut self, changes: &[&RegistryChange], version: u64) {
        for change in changes {
            let name = change.instance().clone();
            self.changes.insert(name, (version, (*change).clone()));
        }
        self.prune_removals();
    }

    /// Changes after the position up to which a follower has read; `None` if the
    /// log does not reach back that far. A follower from another era gets all
    /// registrations.
    pub fn changes_since(&self, read: StorePosition) -> Option<LoggedChanges<'_>> {
        let is_complete = read.era != self.era;
        if !is_complete && read.version < self.history_start {
            return None;
        }
        let is_sent = |(version, change): &&(u64, RegistryChange)| {
            if is_complete {
                matches!(change, RegistryChange::Present(_))
            } else {
                *version > read.version
            }
        };
        let sent = self.changes.values().filter(is_sent);
        Some(LoggedChanges {
            is_complete,
            changes: sent.map(|(_, change)| change).collect(),
        })
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

/// Instance that announced that it is leaving. The servers announce it in their
/// answers, so it has no version; an entry hands on all that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingServer {
    /// Name of the instance.
    pub instance: ServerName,
    /// Its start time, which distinguishes it from others of that name.
    pub started_ms: u64,
}

/// Position up to which an entry has read the server list, from the store or from
/// another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCursor {
    /// Version of the newest row seen; equal for all entries that saw the same rows.
    pub newest_row: StorePosition,
    /// Version up to which the store was read, in the same era; it also rises with writes
    /// to other tables.
    pub read: StorePosition,
    /// Time at which the store confirmed this position as current.
    pub observed_at: Instant,
}

/// What another entry says about the time of its knowledge, in its own durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayAge {
    /// Time since the store confirmed it.
    pub age: Duration,
    /// Time for which the entry held the call before it said so.
    pub held: Duration,
}

impl RelayAge {
    /// Time of the store's confirmation, for an entry that called at `called_at` and has
    /// the reply at `now`. The reply may have waited to be read, so it counts from the
    /// call. `None` if the time cannot be represented.
    pub fn confirmed_at(self, called_at: Instant, now: Instant) -> Option<Instant> {
        let said_at = called_at.checked_add(self.held)?.min(now);
        said_at.checked_sub(self.age)
    }
}

/// Timing of the relay, derived from the poll period.
#[derive(Clone, Copy, Debug)]
pub struct RelayRule {
    /// Time between two polls of the store by an entry.
    pub poll_period: Duration,
}

impl RelayRule {
    /// Time until which another entry's reply is awaited: then, what this entry
    /// observed at `observed_at` is too old.
    pub fn reply_deadline(&self, observed_at: Instant) -> Instant {
        observed_at + self.max_age()
    }

    /// Whether what another entry observed at `observed_at` is recent enough to be
    /// adopted.
    pub fn is_fresh(&self, observed_at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(observed_at) <= self.max_age()
    }

    fn max_age(&self) -> Duration {
        self.poll_period + LONG_POLL_HOLD + LATE_REPLY_ALLOWANCE
    }

    /// Time until which an entry that failed to send a usable reply is not
    /// followed.
    pub fn backoff_until(&self, now: Instant) -> Instant {
        now + FOLLOW_BACKOFF
    }
}
