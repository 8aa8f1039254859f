//! The serving configuration aggregate: served models, and limits of teams and
//! services.
//!
//! The processes of the crates `entry` and `agent` use it. The process of the
//! crate `front` uses [`crate::desired_state`] instead.
//!
//! Operators publish changesets, which the command line, the protocols and the
//! logs call release notes. A changeset has an ID and a list of changes. The
//! current state is the result of all accepted changesets, applied in version
//! order. Processes distribute changesets to each other, so each one keeps the
//! most recent changesets together with the state. This copy is a cache: only
//! the store accepts changesets.
//!
//! Invariants:
//! - The configuration version increases by one with each changeset and never
//!   decreases.
//! - If one change of a changeset conflicts with the state, the whole changeset
//!   is rejected.

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
