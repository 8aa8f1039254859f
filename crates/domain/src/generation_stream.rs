//! The generation aggregate: delivers one streamed answer completely, even if
//! several servers produce parts of it.
//!
//! A generation has an identity and an attempt number, which increases each
//! time another server or another entry takes over. A token is accepted only if
//! it belongs to the current attempt and directly follows the last delivered
//! position. Therefore no token of an answer is missing, repeated or taken from
//! a superseded attempt.
//!
//! Terms:
//! - The caller is the client that receives the answer.
//! - The entry is the process of the `entry` crate that the caller is connected
//!   to. It requests the tokens from a backend server and is the reader of the
//!   generation there.
//! - The engine of a backend server produces the tokens. The agent is the process
//!   beside it that keeps the token log and sends the tokens to the reader.
//!
//! The process of the `front` crate forwards streams of arbitrary events instead
//! of tokens; see [`crate::event_relay`].
//!
//! Invariants:
//! - The log of delivered tokens is append-only and grows one token at a time.
//! - Tokens of any attempt other than the current one are dropped.
//! - All attempts use the model, adapter and version that produced the first
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

/// Model, adapter and version shared by all attempts of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelPin {
    /// Model family.
    pub model: ModelName,
    /// Adapter loaded on top of the model.
    pub adapter: Option<AdapterName>,
    /// Version of the model and its adapter.
    pub version: ModelVersion,
}
