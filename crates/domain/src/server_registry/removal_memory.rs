//! Instances that were removed, and what a store that came back says of them.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use super::{ServerRecord, ServerState};
use crate::ServerName;

/// Time for which a removed instance is remembered. A copy from which the store comes
/// back is some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);

/// Maximum number of removed instances that are remembered within that time.
const REMOVALS_MAX: usize = 1_024;

/// Time after a return of the store in which it removes the registrations of servers that
/// are gone: three check-in intervals of silence, and a poll of the list.
const DOUBT_TIME: Duration = Duration::from_millis(6_000);

/// Instances removed from the registry. When the store comes back from an older copy,
/// their registrations may return with it though the servers are gone, so they are held
/// back until the store has had the time to remove them.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovalMemory {
    /// Last registrations of the instances removed in this era.
    removed: HashMap<ServerName, (ServerRecord, Instant)>,
    /// Last registrations of the instances removed before the store came back.
    doubted: HashMap<ServerName, ServerRecord>,
    /// Registrations of doubted instances that the store has again.
    held: HashMap<ServerName, ServerRecord>,
    doubted_until: Option<Instant>,
}

impl RemovalMemory {
    /// Records that an instance was removed.
    pub(super) fn record(&mut self, record: ServerRecord, now: Instant) {
        self.removed.retain(|_, (_, removed_at)| {
            now.saturating_duration_since(*removed_at) < REMOVAL_MEMORY
        });
        if self.removed.len() < REMOVALS_MAX {
            self.removed.insert(record.instance.clone(), (record, now));
        }
    }

    /// Doubts the registrations of all instances that were removed so far.
    pub(super) fn begin_era(&mut self, now: Instant) {
        let removed = self.removed.drain();
        self.doubted
            .extend(removed.map(|(name, (record, _))| (name, record)));
        self.doubted_until = Some(now + DOUBT_TIME);
    }

    /// Holds a registration back if it is that of a doubted instance. One that started
    /// again is another instance.
    pub(super) fn holds_back(&mut self, record: &ServerRecord, now: Instant) -> bool {
        let is_doubted = self.doubted_until.is_some_and(|until| now < until)
            && self
                .doubted
                .get(&record.instance)
                .is_some_and(|removed| removed.started_ms == record.started_ms);
        if is_doubted {
            self.held.insert(record.instance.clone(), record.clone());
        } else {
            self.removed.remove(&record.instance);
            self.held.remove(&record.instance);
        }
        is_doubted
    }

    /// Forgets a registration that was held back, since the store has removed it.
    pub(super) fn forget_held(&mut self, name: &ServerName) {
        self.held.remove(name);
    }

    /// Whether a registration of the instance is held back.
    pub(super) fn is_held(&self, name: &ServerName) -> bool {
        self.held.contains_key(name)
    }

    /// Instances whose registrations are held back.
    pub(super) fn held_names(&self) -> impl Iterator<Item = &ServerName> {
        self.held.keys()
    }

    /// Whether [`release`](Self::release) may return registrations.
    pub(super) fn is_release_due(&self, now: Instant) -> bool {
        !self.held.is_empty() && self.doubted_until.is_some_and(|until| until <= now)
    }

    /// Ends the doubt when its time is over, and returns the registrations that the store
    /// still has. Those of servers that had been draining say so.
    pub(super) fn release(&mut self, now: Instant) -> Vec<ServerRecord> {
        if self.doubted_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.doubted_until = None;
        let doubted = std::mem::take(&mut self.doubted);
        let mut released: Vec<ServerRecord> = self.held.drain().map(|(_, record)| record).collect();
        for record in &mut released {
            let removed = doubted.get(&record.instance);
            if removed.is_some_and(|removed| removed.state == ServerState::Draining) {
                record.state = ServerState::Draining;
            }
        }
        released
    }
}
