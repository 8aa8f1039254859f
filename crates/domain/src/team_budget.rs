//! The team budget aggregate: admission that keeps small teams served.
//!
//! Three bounds stand one behind the other. The [`AdmissionGate`] bounds what a
//! process holds at once. The [`ShareLimiter`] keeps each team at its fair share
//! while servers turn work away. A [`RetryBudget`] bounds what is tried again.
//!
//! Invariants:
//! - A refusal is decided before anything is dispatched, so it is always an
//!   honest `not run`.
//! - Short work has capacity that long work cannot take.
//! - Memory does not grow with the number of teams, and no message passes
//!   between processes.

mod admission_gate;
mod rate_sketch;
mod retry_budget;
mod share_limiter;

pub use admission_gate::{
    AdmissionGate, AdmissionPermit, AdmissionRefusal, ClassLimits, RefusalCause,
};
pub use rate_sketch::RateSketch;
pub use retry_budget::RetryBudget;
pub use share_limiter::{ShareLimiter, ShareVerdict};
