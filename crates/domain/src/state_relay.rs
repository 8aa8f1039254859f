//! Propagation of the desired state between entry processes.
//!
//! Every entry must apply a new version within a time limit, so each would have to
//! poll the store continuously. Instead, an entry that follows another one is told
//! of new versions and of the confirmations that the known one is still the newest.
//! A version is in force because it is newer, whoever sent it, and a confirmation
//! keeps the age that it had where it was made, so a chain of entries cannot make
//! old knowledge look new. An entry that receives no reply in time reads the store.

use tokio::time::Instant;

use crate::{desired_state::StateVersion, list_relay::RelayRule};

/// What an entry knows of the desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateCursor {
    /// Version of the desired state.
    pub version: StateVersion,
    /// Time at which the store confirmed this version as the newest.
    pub confirmed_at: Instant,
}

/// What a reply of another entry means for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateNews {
    /// The reply contains a newer version.
    Newer,
    /// The known version is confirmed.
    Confirmed,
    /// The other entry has an older version.
    Behind,
    /// The other entry's knowledge is too old to rely on.
    Outdated,
}

impl StateCursor {
    /// Judges the state `offered` by another entry.
    pub fn judge(&self, offered: Self, rule: RelayRule, now: Instant) -> StateNews {
        if offered.version < self.version {
            return StateNews::Behind;
        }
        if !rule.is_fresh(offered.confirmed_at, now) {
            return StateNews::Outdated;
        }
        if offered.version > self.version {
            StateNews::Newer
        } else {
            StateNews::Confirmed
        }
    }
}
