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
//! register again. A store that comes back from an older copy may also list instances
//! that had been removed; their registrations are held back until it has had the time to
//! remove those that are gone.
//!
//! A server that answers under another name than the registered one shows that its
//! address has a new holder. The registered instance is then marked as superseded,
//! and selection skips it. The new instance is adopted in its place before the list
//! contains it, if an [`AdoptionProof`] shows that it provides the same service. What
//! was read from the old instance is no such proof: it may have been sent long before
//! it was read. Its answers count from the time at which it was asked.
//!
//! A server may say in any answer that it is leaving, or ask for a pause when it
//! rejects a request. Both are facts of the instance: they outlive changes of its
//! registration, and a new instance at the same address starts without them. A
//! leaving instance is remembered after its removal, because its registration may
//! come back after an outage of the store.

mod registered_server;
mod registry_state;
mod removal_memory;

pub use registered_server::{
    PAUSE_MAX, RegisteredServer, SendBlock, ServerNotice, ServerStats, WorkGuard, WorkSize,
};
pub use registry_state::{
    AdoptionProof, DomainServers, RecordFault, RegistryChange, ServerRecord, ServerRegistry,
    ServerState,
};
