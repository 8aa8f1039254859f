//! The current state together with the most recent changesets.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    ChangesetId, ConfigVersion,
    serving_config::{AcceptedChangeset, ConfigState},
};

/// What a process needs to reach the current version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigUpdate<'a> {
    /// Nothing: the process is up to date.
    UpToDate,
    /// Changesets to apply, oldest first.
    Changesets(Vec<&'a AcceptedChangeset>),
    /// The complete state, because some of the missing changesets are no longer
    /// kept.
    State(&'a ConfigState),
}

/// The current state and the most recent changesets that led to it.
///
/// Immutable; the `with_` methods return a new value.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    state: Arc<ConfigState>,
    recent: VecDeque<Arc<AcceptedChangeset>>,
}

impl ConfigHistory {
    /// Maximum number of changesets kept for other processes.
    pub const RECENT_MAX: usize = 256;

    /// Returns the current state.
    pub const fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// Returns the current version.
    pub fn version(&self) -> ConfigVersion {
        self.state.version()
    }

    /// Applies the changesets that directly follow the current version and skips
    /// all others; returns `None` if none applies.
    pub fn with_changesets(&self, changesets: &[AcceptedChangeset]) -> Option<Self> {
        let mut next = self.clone();
        for changeset in changesets {
            let Some(state) = next.state.with_changeset(changeset) else {
                continue;
            };
            next.state = Arc::new(state);
            next.recent.push_back(Arc::new(changeset.clone()));
        }
        while next.recent.len() > Self::RECENT_MAX {
            next.recent.pop_front();
        }
        (next.version() > self.version()).then_some(next)
    }

    /// Replaces the state and discards the changesets; returns `None` if `state`
    /// is not newer.
    pub fn with_state(&self, state: ConfigState) -> Option<Self> {
        if state.version() <= self.version() {
            return None;
        }
        Some(Self {
            state: Arc::new(state),
            recent: VecDeque::new(),
        })
    }

    /// Returns the version of a changeset, if it is still kept.
    pub fn version_of(&self, id: &ChangesetId) -> Option<ConfigVersion> {
        let changeset = self.recent.iter().find(|changeset| changeset.id == *id)?;
        Some(changeset.version)
    }

    /// Returns the update for a process at `version`.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate<'_> {
        if version >= self.version() {
            return ConfigUpdate::UpToDate;
        }
        match self.recent.front() {
            Some(oldest) if oldest.version <= version.next() => {
                let missing = self
                    .recent
                    .iter()
                    .filter(|changeset| changeset.version > version);
                ConfigUpdate::Changesets(missing.map(AsRef::as_ref).collect())
            }
            _ => ConfigUpdate::State(&self.state),
        }
    }
}
