//! Changesets that the store has accepted.

use crate::{ChangesetId, ConfigVersion, serving_config::ConfigChange};

/// Accepted changeset: the difference between two consecutive versions of the
/// state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChangeset {
    /// Version of the state after the changeset.
    pub version: ConfigVersion,
    /// Unique ID of the changeset.
    pub id: ChangesetId,
    /// Changes, in the order in which they apply.
    pub changes: Vec<ConfigChange>,
}
