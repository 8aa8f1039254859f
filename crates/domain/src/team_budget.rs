//! The team budget aggregate: admission that keeps small teams served.
//!
//! Invariants:
//! - A refusal is decided before anything is dispatched, so it is always an
//!   honest `not run`.
//! - Short work has capacity that long work cannot take.

mod admission_gate;

pub use admission_gate::{AdmissionGate, AdmissionPermit, AdmissionRefusal, ClassLimits};
