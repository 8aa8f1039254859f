//! The release note aggregate: what is served, as a fold of accepted changes.
//!
//! A note is a list of changes; the state in force is the fold of all accepted
//! notes in the order of their versions.
//!
//! Invariants:
//! - The version in force only rises.
//! - A change that cannot apply refuses the whole note.

mod note_state;

pub use note_state::{ModelDuty, NoteChange, NoteConflict, NoteState};
