//! The pool lease aggregate: which process may send commands to the servers of a
//! pool, and which commands are outdated.
//!
//! Each pool has one lease, which is granted for a term, the time until it must be
//! renewed. Its holder compares the serving configuration with the models that
//! the servers have loaded and sends load and unload commands. The agent of each
//! server checks the fencing number of every command.
//!
//! Invariants:
//! - The holder measures the validity of its lease on its own clock, starting
//!   before the request for the lease was sent.
//! - A lease is taken over only after it remained unchanged for a whole term on
//!   the clock of the new holder, and with a higher fencing number.
//! - A fencing gate never accepts a number below the highest number known, and
//!   accepts none before it has read the highest number from the store.
//! - The configured version of a model is loaded before an old one is unloaded,
//!   and nothing is unloaded while the server is busy.

mod desired_models;
mod fencing_gate;
mod lease_validity;
mod lease_watch;

pub use desired_models::{DesiredModels, ModelCommand, ServerActivity};
pub use fencing_gate::{FencingDecision, FencingGate};
pub use lease_validity::LeaseValidity;
pub use lease_watch::{LeaseAction, LeaseSnapshot, LeaseWatch};
