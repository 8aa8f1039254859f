//! Leases of pools, as rows of the table, and orders under them.

use domain::pool_lease::{FencingDecision, ModelCommand};
use serde::{Deserialize, Serialize};

use crate::{engine::OrderKind, stream::PinMessage};

/// Prefix of the rows of leases.
pub const LEASE_PREFIX: &str = "lease/";

/// Key of the row of a pool's lease.
pub fn lease_key(pool: &str) -> String {
    format!("{LEASE_PREFIX}{pool}")
}

/// A lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseMessage {
    /// Server beside the holder.
    pub holder: String,
    /// Start of the holder's process, in milliseconds since 1970.
    pub epoch: u64,
    /// Fencing number.
    pub fencing: u64,
    /// Rises with each renewal, so that no two values are alike.
    pub renewal: u64,
}

/// What a server has loaded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadedReport {
    /// Models, adapters and versions; none when the server gave no answer.
    pub loaded: Option<Vec<PinMessage>>,
    /// Generations under way.
    pub generations: u32,
}

/// Order to the server beside an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderMessage {
    /// Fencing number of the lease it is given under.
    pub fencing: u64,
    /// What is asked.
    pub kind: OrderKind,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The server carried it out.
    Done,
    /// Its number is below one that the agent or the server knows.
    TooOld,
    /// The agent has not learnt the highest number yet.
    NotReady,
    /// Another order is under way.
    Busy,
    /// The server refused it or gave no answer.
    Failed,
}

impl From<&ModelCommand> for OrderKind {
    fn from(order: &ModelCommand) -> Self {
        match order {
            ModelCommand::Load(pin) => Self::Load { pin: pin.into() },
            ModelCommand::Unload(pin) => Self::Unload { pin: pin.into() },
        }
    }
}

impl OrderReply {
    /// Refusal of an order that the gate does not pass.
    pub const fn refusal(verdict: FencingDecision) -> Option<Self> {
        match verdict {
            FencingDecision::Accept => None,
            FencingDecision::TooOld { .. } => Some(Self::TooOld),
            FencingDecision::NotReady => Some(Self::NotReady),
        }
    }
}
