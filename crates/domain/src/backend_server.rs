//! The backend server aggregate: who can take a request, and who should.
//!
//! A [`ServerNode`] pairs what is known of a server (name, pool, failure
//! domain, addresses) with counters that requests write as they pass. Nodes are
//! gathered into a [`ServerSet`] that is replaced whole, so a request reads one
//! consistent set without a lock.
//!
//! Invariants:
//! - A server that is leaving is never chosen.
//! - The counters of a node survive the replacement of the set it stands in.

mod server_choice;
mod server_node;

pub use server_choice::{ChoiceQuery, ServerSet};
pub use server_node::{InflightGuard, ServerAddresses, ServerKind, ServerNode, ServerSpec};
