//! The VM membership aggregate: which backend servers may get new work.
//!
//! The platform's list of VMs lags, so a process's own evidence leads it: the
//! recorded order of an operator, or the agent's own word. Whether a server may
//! be stopped is decided here too, since that asks who else serves its pool, and
//! so is how a process that leaves uses its time.
//!
//! Invariants:
//! - Evidence that a VM is leaving is not undone by an older list, nor by orders
//!   of an older version.
//! - A planned stop leaves a pool in use with a server, unless it is forced.

mod drain_plan;
mod leaving_status;
mod stop_order;

pub use drain_plan::{DrainPlan, DrainStep};
pub use leaving_status::LeavingStatus;
pub use stop_order::{PoolMember, ProposedStop, StopDecision, StopError, StopKind, StopOrder};
