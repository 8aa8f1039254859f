//! Phases of a roll-out and the states that the store records.

/// Phase of a roll-out, in the order in which phases replace each other. Of two
/// phases that entries know, the later one is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// The new version gets a small share of the requests.
    Trial,
    /// The new version was found good and gets all new requests. Streams at old servers
    /// end or move before the old servers stop.
    Moving,
    /// The new version was found bad, which the store has not recorded yet.
    Reverting,
    /// The store has recorded that the roll-out is finished.
    Finished,
    /// The store has recorded that the roll-out is reverted.
    Reverted,
}

/// State of a roll-out in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusState {
    /// The order is being carried out.
    Running,
    /// The traffic has moved; the old servers stop.
    Finished,
    /// The new version gets nothing more; its servers leave.
    Reverted,
}

impl RolloutPhase {
    /// Whether the outcome is recorded and cannot change.
    pub const fn is_settled(self) -> bool {
        matches!(self, Self::Finished | Self::Reverted)
    }

    /// Whether the new version gets nothing.
    pub const fn is_reverted(self) -> bool {
        matches!(self, Self::Reverting | Self::Reverted)
    }

    /// Whether the new version gets all new requests.
    pub const fn is_moved(self) -> bool {
        matches!(self, Self::Moving | Self::Finished)
    }
}

impl From<StatusState> for RolloutPhase {
    fn from(state: StatusState) -> Self {
        match state {
            StatusState::Running => Self::Trial,
            StatusState::Finished => Self::Finished,
            StatusState::Reverted => Self::Reverted,
        }
    }
}
