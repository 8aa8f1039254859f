//! The VM membership aggregate: which backend servers may receive new work.
//!
//! Each VM runs one backend server and its agent. The platform's list of VMs
//! marks leaving VMs, but with a delay. Two faster sources are used in addition:
//! stop orders recorded by operators, and reports of the agent on the VM. A VM is
//! leaving as soon as one of the three sources says so; its server then receives
//! no new work.
//!
//! This module also decides whether a server may be stopped, which depends on
//! the other servers of its pool, and how a draining process uses its drain
//! time.
//!
//! Invariants:
//! - A leaving VM does not become available again because of an older copy of
//!   the list or an older version of the stop orders.
//! - A stop order leaves at least one serving server in the pool, unless it is
//!   forced.

mod drain_plan;
mod leaving_status;
mod stop_order;

pub use drain_plan::{DrainPlan, DrainStep};
pub use leaving_status::LeavingStatus;
pub use stop_order::{PoolMember, ProposedStop, StopDecision, StopError, StopKind, StopOrder};
