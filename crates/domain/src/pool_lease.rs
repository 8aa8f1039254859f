//! The duty lease aggregate: who may give orders, and which orders are too old.
//!
//! Each pool has one small lease. Its holder derives orders from the release
//! note in force and from what the servers have loaded; the agent beside each
//! server is the gate that they pass.
//!
//! Invariants:
//! - A lease is valid only up to a term counted from before its request was
//!   sent, on the holder's own clock.
//! - A lease is taken only after it stood unchanged for a whole term on the
//!   taker's clock, and under a higher fencing number.
//! - A fencing gate never accepts a number below the highest it knows, and
//!   accepts none before it has learnt that number from the store.
//! - A version in force is loaded before an older one is dropped, and nothing
//!   is dropped while the server works.

mod desired_models;
mod fencing_gate;
mod lease_validity;
mod lease_watch;

pub use desired_models::{DesiredModels, ModelCommand, ServerActivity};
pub use fencing_gate::{FencingDecision, FencingGate};
pub use lease_validity::LeaseValidity;
pub use lease_watch::{LeaseAction, LeaseSnapshot, LeaseWatch};
