//! Backend servers of `bamboocross-entry`: health, load and selection of a server
//! for a request.
//!
//! The entry learns its servers from its settings and from the list of VMs, and
//! reaches them through their agents. `bamboocross-front` serves a platform whose
//! servers have no agent and register themselves; its counterparts are
//! [`crate::server_registry`] and [`crate::kv_placement`].
//!
//! A [`ServerNode`] pairs the configuration of a server (name, pool, failure
//! domain, addresses) with counters that requests update. Nodes belong to a
//! [`ServerSet`], which is replaced as a whole, so that a request reads a
//! consistent snapshot without a lock. A [`ServerSelector`] picks a server from
//! the process's subset of a pool ([`PoolServers`]), which is computed when the
//! set is built.
//!
//! In the server's agent, a [`SlotLimiter`] reserves slots for each work class.
//!
//! Invariants:
//! - A leaving server is never selected.
//! - The counters of a node survive the replacement of its set as long as the
//!   server's configuration is unchanged.
//! - Where the slots of a server and their limits are known, newly admitted long
//!   work never occupies the slots reserved for short work. Work that was promised
//!   before is accepted regardless of the limits.

mod atomic_ewma;
mod atomic_instant;
mod peer_latency;
mod server_node;
mod server_selector;
mod server_set;
mod slot_limiter;
mod straggler_detector;

pub use atomic_ewma::AtomicEwma;
pub use atomic_instant::AtomicInstant;
pub use peer_latency::{PeerLatency, PeerMedians};
pub use server_node::{
    InflightGuard, ServerAddresses, ServerKind, ServerLoad, ServerNode, ServerSpec,
};
pub use server_selector::{P2cSelector, RandomSelector, SelectionQuery, ServerSelector};
pub use server_set::{PoolServers, ServerSet};
pub use slot_limiter::{SlotLimiter, SlotLimits, SlotPermit, SlotRefusal};
pub use straggler_detector::{StragglerDetector, StragglerVerdict};
