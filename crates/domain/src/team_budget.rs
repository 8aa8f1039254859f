//! The team budget aggregate: limits on concurrent requests, on the rate of each
//! team and on retries, so that small teams are served.
//!
//! Three limits apply in sequence. The [`AdmissionGate`] limits the concurrent
//! requests of a process. The [`ShareLimiter`] limits each team to its fair share
//! while servers refuse work. A [`RetryBudget`] limits retries.
//!
//! Invariants:
//! - A refusal is decided before anything is dispatched, so the reported `not
//!   run` is always true.
//! - Long requests cannot use the capacity reserved for short ones.
//! - Memory use does not grow with the number of teams, and processes exchange
//!   no messages.

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
