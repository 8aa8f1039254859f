//! The backend server aggregate: who can take a request, and who should.
//!
//! A [`ServerNode`] pairs what is known of a server (name, pool, failure
//! domain, addresses) with counters that requests write as they pass. Nodes are
//! gathered into a [`ServerSet`] that is replaced whole, so a request reads one
//! consistent set without a lock. A process chooses among a [`PoolServers`]
//! subset that is drawn when the set is made, by a [`ServerSelector`].
//!
//! Beside the server, a [`SlotLimiter`] sets its slots apart by class.
//!
//! Invariants:
//! - A server that is leaving is never chosen.
//! - The counters of a node survive the replacement of the set it stands in.
//! - Long work never holds the slots that are set apart for short work.

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
    InflightGuard, LoadReport, ServerAddresses, ServerKind, ServerNode, ServerSpec,
};
pub use server_selector::{P2cSelector, RandomSelector, SelectionQuery, ServerSelector};
pub use server_set::{PoolServers, ServerSet};
pub use slot_limiter::{SlotLimiter, SlotLimits, SlotPermit, SlotRefusal};
pub use straggler_detector::{StragglerDetector, StragglerVerdict};
