//! The VM membership aggregate: which backend servers may get new work.
//!
//! The platform's list of VMs lags, so a process's own evidence leads it: a
//! drain flag on a reply says at once that a server is leaving.
//!
//! Invariants:
//! - Evidence that a VM is leaving is not undone by an older list.

mod vm_evidence;

pub use vm_evidence::{VmEvidence, VmState};
