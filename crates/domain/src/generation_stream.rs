//! The generation aggregate: a long answer delivered whole across attempts.
//!
//! A generation is known by its identity; each time its tokens are asked for
//! from a server anew, the attempt number rises. Only the newest attempt may
//! add tokens, and a token is taken only at the position that follows the last
//! one delivered, so no answer can miss, repeat or mix tokens.
//!
//! Invariants:
//! - The delivered log grows by one token at a time and never shrinks.
//! - Tokens of an attempt that is not the current one are dropped.
//! - A continuation is pinned to the model, adapter and version of the first
//!   token.

mod attempt_gate;
mod heartbeat_schedule;
mod log_budget;
mod reader_monitor;
mod resume_queue;
mod stream_monitor;
mod stream_relay;
mod token_log;

pub use attempt_gate::{AttemptGate, AttemptVerdict};
pub use heartbeat_schedule::HeartbeatSchedule;
pub use log_budget::{LogBudget, LogReservation};
pub use reader_monitor::{ReaderLimits, ReaderMonitor};
pub use resume_queue::{ResumeLimits, ResumeQueue, ResumeVerdict};
pub use stream_monitor::{HeartbeatReport, SilenceLimits, SilenceVerdict, StreamMonitor};
pub use stream_relay::{EndVerdict, LossAction, RelayLimits, StreamRelay, TokenVerdict};
pub use token_log::TokenLog;

use crate::{AdapterName, ModelName, ModelVersion};

/// Model, adapter and version that all attempts of a generation share.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelPin {
    /// Model family.
    pub model: ModelName,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterName>,
    /// Version of the model and its adapter.
    pub version: ModelVersion,
}
