//! The state in force together with the latest accepted notes.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    NoteId, NoteVersion,
    release_note::{AcceptedNote, NoteState},
};

/// What a process at an older version lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoteUpdate<'a> {
    /// Nothing.
    Current,
    /// These notes, oldest first.
    Notes(Vec<&'a AcceptedNote>),
    /// Notes that are kept no more; the whole state stands for them.
    Whole(&'a NoteState),
}

/// State in force and the notes that led to it; replaced whole.
#[derive(Clone, Debug, Default)]
pub struct NoteLedger {
    state: Arc<NoteState>,
    recent: VecDeque<Arc<AcceptedNote>>,
}

impl NoteLedger {
    /// Notes that are kept to be passed on.
    pub const RECENT_MAX: usize = 256;

    /// State in force.
    pub const fn state(&self) -> &Arc<NoteState> {
        &self.state
    }

    /// Version in force.
    pub fn version(&self) -> NoteVersion {
        self.state.version()
    }

    /// The ledger after those of `notes` that follow on the version in force;
    /// none if there are none.
    pub fn fold(&self, notes: &[AcceptedNote]) -> Option<Self> {
        let mut next = self.clone();
        for note in notes {
            let Some(state) = next.state.fold(note) else {
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
    pub fn replace(&self, state: NoteState) -> Option<Self> {
        if state.version() <= self.version() {
            return None;
        }
        Some(Self {
            state: Arc::new(state),
            recent: VecDeque::new(),
        })
    }

    /// Version of a note, if it is among the latest.
    pub fn version_of(&self, id: &NoteId) -> Option<NoteVersion> {
        let note = self.recent.iter().find(|note| note.id == *id)?;
        Some(note.version)
    }

    /// What a process lacks that has the notes up to `version`.
    pub fn since(&self, version: NoteVersion) -> NoteUpdate<'_> {
        if version >= self.version() {
            return NoteUpdate::Current;
        }
        match self.recent.front() {
            Some(oldest) if oldest.version <= version.next() => {
                let lacking = self.recent.iter().filter(|note| note.version > version);
                NoteUpdate::Notes(lacking.map(AsRef::as_ref).collect())
            }
            _ => NoteUpdate::Whole(&self.state),
        }
    }
}
