//! Backend servers as they register themselves, and what is known of each.
//!
//! A registration names one lifetime of one server. A server that leaves the
//! list is gone at once, unless the store has just been away: registrations
//! lapse during an outage though the server lives, so those are kept until the
//! server has had time to register again. Own evidence goes before the list: a
//! server whose address another one holds is gone whatever the list says.

mod registered_server;
mod registry_fold;

pub use registered_server::{RegisteredServer, ServerStats, WorkGuard, WorkSize};
pub use registry_fold::{
    AdoptionProof, DomainServers, RegistryChange, ServerRecord, ServerRegistry, ServerState,
};
