//! Registered backend servers, with the load and health of each.
//!
//! Servers register themselves in the store; the rows form the server list. A
//! registration identifies one instance of a server: one run of its process.
//! [`RegisteredServer`] stands for an instance, and [`ServerName`](crate::ServerName)
//! names it.
//!
//! An instance whose registration disappears is removed at once, except after
//! an outage of the store. Registrations expire during an outage although the
//! servers are running, so they are kept until the servers have had time to
//! register again.
//!
//! A server that answers under another name than the registered one shows that its
//! address has a new holder. The registered instance is then marked as superseded,
//! and selection skips it. The new instance is adopted in its place before the list
//! contains it, if an [`AdoptionProof`] shows that it provides the same service.

mod registered_server;
mod registry_state;

pub use registered_server::{RegisteredServer, ServerStats, WorkGuard, WorkSize};
pub use registry_state::{
    AdoptionProof, DomainServers, RegistryChange, ServerRecord, ServerRegistry, ServerState,
};
