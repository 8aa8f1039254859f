//! Fencing check that an agent applies to commands for its server.

use crate::FencingNumber;

/// Decision on a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingDecision {
    /// The command may be sent to the server.
    Accept,
    /// The number is below the highest one known: the lease has a later holder.
    TooOld {
        /// Highest fencing number known.
        highest: FencingNumber,
    },
    /// The highest number has not been read from the store since the agent
    /// started.
    NotReady,
}

/// Accepts commands whose fencing number is not below the highest one known.
#[derive(Clone, Copy, Debug, Default)]
pub struct FencingGate {
    highest: Option<FencingNumber>,
}

impl FencingGate {
    /// Records a fencing number read from the store.
    pub fn observe_stored(&mut self, stored: FencingNumber) {
        self.highest = self.highest.max(Some(stored));
    }

    /// Checks the fencing number of a command and records it if accepted.
    pub fn admit(&mut self, fencing: FencingNumber) -> FencingDecision {
        let Some(highest) = self.highest else {
            return FencingDecision::NotReady;
        };
        if fencing < highest {
            return FencingDecision::TooOld { highest };
        }
        self.highest = Some(fencing);
        FencingDecision::Accept
    }
}
