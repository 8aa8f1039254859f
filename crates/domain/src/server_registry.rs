//! Registered backend servers, with the load and health of each.
//!
//! A registration identifies one instance of a server: one run of its process.
//! An instance whose registration disappears is removed at once, except after
//! an outage of the store. Registrations expire during an outage although the
//! servers are running, so they are kept until the servers have had time to
//! register again. Direct observation takes precedence over the list: an
//! instance whose address is held by another one is removed whatever the list
//! says.

mod registered_server;
mod registry_fold;

pub use registered_server::{RegisteredServer, ServerStats, WorkGuard, WorkSize};
pub use registry_fold::{
    AdoptionProof, DomainServers, RegistryChange, ServerRecord, ServerRegistry, ServerState,
};
