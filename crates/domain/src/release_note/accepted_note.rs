//! A note that the store accepted.

use crate::{NoteId, NoteVersion, release_note::NoteChange};

/// Accepted note; the delta between two versions of the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedNote {
    /// Version that the note brought about.
    pub version: NoteVersion,
    /// Identity, unlike that of any other note.
    pub id: NoteId,
    /// What it changes.
    pub changes: Vec<NoteChange>,
}
