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

mod accepted_changeset;
mod config_change;
mod config_history;
mod config_sources;
mod config_state;

pub use accepted_changeset::AcceptedChangeset;
pub use config_change::{ConfigChange, ConfigConflict, ModelSpec, ServiceLimit, TeamLimit};
pub use config_history::{ConfigHistory, ConfigUpdate};
pub use config_sources::ConfigSources;
pub use config_state::{ConfigState, ConfigStateParts};
