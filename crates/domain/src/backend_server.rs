//! The backend server aggregate: who can take a request, and who should.
//!
//! A [`ServerNode`] pairs what is known of a server (name, pool, failure
//! domain, addresses) with counters that requests write as they pass. Nodes are
//! gathered into a [`ServerSet`] that is replaced whole, so a request reads one
//! consistent set without a lock. A process chooses among a [`PoolServers`]
//! subset that is drawn when the set is made, by a [`ServerChoice`].
//!
//! Beside the server, a [`SlotGate`] sets its slots apart by class.
//!
//! Invariants:
//! - A server that is leaving is never chosen.
//! - The counters of a node survive the replacement of the set it stands in.
//! - Long work never holds the slots that are set apart for short work.

mod atomic_average;
mod atomic_time;
mod pace_watch;
mod peer_pace;
mod server_choice;
mod server_node;
mod server_set;
mod slot_gate;

pub use atomic_average::AtomicAverage;
pub use atomic_time::AtomicTime;
pub use pace_watch::{PaceVerdict, PaceWatch};
pub use peer_pace::{PeerMedians, PeerPace};
pub use server_choice::{ChoiceQuery, RandomChoice, ServerChoice, WeightedChoice};
pub use server_node::{
    InflightGuard, LoadReport, ServerAddresses, ServerKind, ServerNode, ServerSpec,
};
pub use server_set::{PoolServers, ServerSet};
pub use slot_gate::{SlotGate, SlotLimits, SlotPermit, SlotRefusal};
