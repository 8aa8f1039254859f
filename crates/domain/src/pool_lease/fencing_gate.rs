//! The agent's gate before orders to its server.

use crate::FencingNumber;

/// What to do with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingDecision {
    /// Pass it on.
    Accept,
    /// A later holder has given orders already.
    TooOld {
        /// Highest number known.
        highest: FencingNumber,
    },
    /// The highest number has not been read from the store since the start.
    NotReady,
}

/// Highest fencing number known to an agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FencingGate {
    highest: Option<FencingNumber>,
}

impl FencingGate {
    /// Learn a number from the store.
    pub fn observe_stored(&mut self, stored: FencingNumber) {
        self.highest = self.highest.max(Some(stored));
    }

    /// Judge an order and remember its number.
    pub fn admit(&mut self, order: FencingNumber) -> FencingDecision {
        let Some(highest) = self.highest else {
            return FencingDecision::NotReady;
        };
        if order < highest {
            return FencingDecision::TooOld { highest };
        }
        self.highest = Some(order);
        FencingDecision::Accept
    }
}
