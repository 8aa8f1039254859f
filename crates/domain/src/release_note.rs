//! The release note aggregate: what is served, as a fold of accepted changes.
//!
//! A note is a list of changes with an identity of its own; the state in force
//! is the fold of all accepted notes in the order of their versions. Processes
//! pass accepted notes on to one another, so each keeps the latest ones beside
//! the state; what they pass on is a cache of what the store accepted.
//!
//! Invariants:
//! - The version in force only rises, by one for each note.
//! - A change that cannot apply refuses the whole note.

mod accepted_note;
mod note_change;
mod note_ledger;
mod note_sources;
mod note_state;

pub use accepted_note::AcceptedNote;
pub use note_change::{ModelDuty, NoteChange, NoteConflict, ServiceLimit, TeamLimit};
pub use note_ledger::{NoteLedger, NoteUpdate};
pub use note_sources::NoteSources;
pub use note_state::{NoteState, NoteStateParts};
