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
//! register again. An instance is also removed, whatever the list contains, when
//! another instance answers at its address.

mod registered_server;
mod registry_state;

pub use registered_server::{RegisteredServer, ServerStats, WorkGuard, WorkSize};
pub use registry_state::{
    AdoptionProof, DomainServers, RegistryChange, ServerRecord, ServerRegistry, ServerState,
};
