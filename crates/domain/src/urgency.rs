//! Urgency of requests: who goes first when servers are full.
//!
//! Load pattern: bursts of twice the usual load and more, in which callers of several
//! routes and teams compete for the same servers. Without an order of urgency all of
//! them lose alike, and those with a long latency target even push out those with a
//! short one.
//!
//! [`Urgency`] is the effective priority of a request. [`ServiceRanks`] tells whether
//! the desired state ranks the requests of a service at all; only then does a request
//! have an [`UrgencyClass`], and only then does anything here take effect. A class
//! gives the rank that servers are told. [`UrgencyMix`] counts which ranks were sent
//! recently, [`TeamShares`] who sent them, and [`QueueView::judge`] refuses the less urgent requests first as the
//! queues of the servers grow. Every process decides from what it sees.

mod load_shedding;
mod service_ranks;
mod team_shares;
mod urgency_mix;

use derive_more::{Display, From, Into};

pub use load_shedding::{AdmissionVerdict, QueueView, RankedRequest, SHED_SHARE_MAX};
pub use service_ranks::{RequestStage, SERVER_RANK_MAX, ServerRank, ServiceRanks, UrgencyClass};
pub use team_shares::TeamShares;
pub use urgency_mix::UrgencyMix;

/// Effective priority of a request: that of its team, or else that of its route. The
/// most urgent comes first in the order.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency(u8);

impl Urgency {
    /// The priority of a team, if it has one, overrides that of the route.
    pub fn effective(route_priority: u8, team_priority: Option<u8>) -> Self {
        Self(team_priority.unwrap_or(route_priority))
    }
}
