//! Chores: the demo, the measurements and the checks.
//!
//! Everything here runs the product as its users do, as real processes on the
//! loopback addresses, and judges it by what callers receive and what the
//! stand-ins ran.

pub mod caller;
pub mod checks;
pub mod demo;
pub mod deployment;
pub mod fleet;
pub mod load_plan;
pub mod load_run;
pub mod measure;
pub mod patient_caller;
pub mod soak;

pub use caller::{CallerClient, ChatEnd, ChatOutcome};
pub use deployment::{Deployment, DeploymentPlan, ServerSite};
pub use fleet::{AgentPlan, EnginePlan, EntryPlan, Fleet, ProcessHandle};
pub use patient_caller::{PatientOutcome, TokenArrival};
