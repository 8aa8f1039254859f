//! A note that the store accepted.

use crate::{ChangesetId, ConfigVersion, serving_config::ConfigChange};

/// Accepted note; the delta between two versions of the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChangeset {
    /// Version that the note brought about.
    pub version: ConfigVersion,
    /// Identity, unlike that of any other note.
    pub id: ChangesetId,
    /// What it changes.
    pub changes: Vec<ConfigChange>,
}
