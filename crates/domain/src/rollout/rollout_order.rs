//! An order of the operator.

use std::time::Duration;

use derive_more::{Display, Error, From, Into};

use crate::{ServerVersion, ServiceName, store_position::StorePosition};

/// Longest time limit of an order; a longer one is a mistake.
const PERIOD_MAX: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Position of the store row that holds an order. It identifies the order and tells
/// which of two orders is newer. An order that is written again after a return of the
/// store from an older copy gets another one.
#[derive(Clone, Copy, Debug, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(StorePosition);

/// Order to move the traffic of a service to servers of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Identity of the order.
    pub id: OrderId,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version to move to.
    pub to: ServerVersion,
    /// Time limit, from the order on.
    pub period: Duration,
}

impl From<u64> for OrderId {
    /// Row in a store that does not number its eras.
    fn from(row_version: u64) -> Self {
        Self(row_version.into())
    }
}

impl OrderId {
    /// Position of the order's row.
    pub fn position(self) -> StorePosition {
        self.0
    }
}

impl RolloutOrder {
    /// Whether both orders ask for the same.
    pub fn has_same_terms(&self, other: &Self) -> bool {
        (&self.service, &self.to, self.period) == (&other.service, &other.to, other.period)
    }

    /// Whether this is the order `before` of an earlier era of the store, which was written
    /// again or was in the copy from which the store came back.
    fn is_rewritten(&self, before: &Self) -> bool {
        let eras = [self.id, before.id].map(|id| id.0.era);
        eras[0] > eras[1] && self.has_same_terms(before)
    }

    /// Whether this order follows `known` from the same service.
    pub(super) fn follows(&self, known: &Self) -> bool {
        self.id > known.id && !self.is_rewritten(known)
    }

    /// Whether this order takes the place of `known` without any change.
    pub(super) fn renews(&self, known: &Self) -> bool {
        self.id > known.id && self.is_rewritten(known)
    }

    /// Whether the row of this order is the one that held `earlier`. The store gives out
    /// the versions again that it has lost, but not those of rows that it still has.
    pub(super) fn is_copy_of(&self, earlier: &Self) -> bool {
        self.is_rewritten(earlier) && self.id.0.version == earlier.id.0.version
    }
}

/// How this entry learned of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOrigin {
    /// The order was new while the entry was running.
    Announced,
    /// The order was there when the entry started, so the entry does not know what was
    /// sent before.
    Found,
}

/// Why an order cannot be carried out.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OrderFault {
    /// It names another service than its key.
    #[display("the service differs from that of the key")]
    OtherService,
    /// It names no version.
    #[display("the version is empty")]
    NoVersion,
    /// Its time limit is not a usable duration.
    #[display("the time limit is not a positive number of seconds up to a week")]
    UnusablePeriod,
}

impl RolloutOrder {
    /// Checks the order found under the key of service `keyed`.
    pub fn validate(&self, keyed: &str) -> Result<(), OrderFault> {
        if self.service.as_str() != keyed || keyed.is_empty() {
            return Err(OrderFault::OtherService);
        }
        if self.to.as_str().is_empty() {
            return Err(OrderFault::NoVersion);
        }
        if self.period.is_zero() || self.period > PERIOD_MAX {
            return Err(OrderFault::UnusablePeriod);
        }
        Ok(())
    }
}
