//! The duty lease aggregate: who may give orders, and which orders are too old.
//!
//! Invariants:
//! - A lease is valid only up to a term counted from before its request was
//!   sent, on the holder's own clock.
//! - A fencing gate never accepts a number below the highest it knows, and
//!   accepts none before it has learnt that number from the store.

mod fencing_gate;
mod lease_term;

pub use fencing_gate::{FencingGate, FencingVerdict};
pub use lease_term::LeaseTerm;
