//! The state in force together with the latest accepted notes.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    ChangesetId, ConfigVersion,
    serving_config::{AcceptedChangeset, ConfigState},
};

/// What a process at an older version lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigUpdate<'a> {
    /// Nothing.
    UpToDate,
    /// These notes, oldest first.
    Changesets(Vec<&'a AcceptedChangeset>),
    /// Notes that are kept no more; the whole state stands for them.
    State(&'a ConfigState),
}

/// State in force and the notes that led to it; replaced whole.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    state: Arc<ConfigState>,
    recent: VecDeque<Arc<AcceptedChangeset>>,
}

impl ConfigHistory {
    /// Notes that are kept to be passed on.
    pub const RECENT_MAX: usize = 256;

    /// State in force.
    pub const fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// Version in force.
    pub fn version(&self) -> ConfigVersion {
        self.state.version()
    }

    /// The ledger after those of `notes` that follow on the version in force;
    /// none if there are none.
    pub fn with_changesets(&self, notes: &[AcceptedChangeset]) -> Option<Self> {
        let mut next = self.clone();
        for note in notes {
            let Some(state) = next.state.with_changeset(note) else {
                continue;
            };
            next.state = Arc::new(state);
            next.recent.push_back(Arc::new(note.clone()));
        }
        while next.recent.len() > Self::RECENT_MAX {
            next.recent.pop_front();
        }
        (next.version() > self.version()).then_some(next)
    }

    /// The ledger after a whole state; none unless it is newer.
    pub fn with_state(&self, state: ConfigState) -> Option<Self> {
        if state.version() <= self.version() {
            return None;
        }
        Some(Self {
            state: Arc::new(state),
            recent: VecDeque::new(),
        })
    }

    /// Version of a note, if it is among the latest.
    pub fn version_of(&self, id: &ChangesetId) -> Option<ConfigVersion> {
        let note = self.recent.iter().find(|note| note.id == *id)?;
        Some(note.version)
    }

    /// What a process lacks that has the notes up to `version`.
    pub fn update_since(&self, version: ConfigVersion) -> ConfigUpdate<'_> {
        if version >= self.version() {
            return ConfigUpdate::UpToDate;
        }
        match self.recent.front() {
            Some(oldest) if oldest.version <= version.next() => {
                let lacking = self.recent.iter().filter(|note| note.version > version);
                ConfigUpdate::Changesets(lacking.map(AsRef::as_ref).collect())
            }
            _ => ConfigUpdate::State(&self.state),
        }
    }
}
