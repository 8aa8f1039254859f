//! The process that callers connect to.
//!
//! An entry admits requests, chooses servers and carries a generation over from
//! one server to the next when engines die. It keeps nothing that must last: a
//! caller whose entry died goes on through any other one.
//!
//! What requests read (servers, the release note in force) is published as
//! snapshots that are replaced whole; what they write are atomic counters.

mod agent_links;
mod call_router;
mod caller_body;
mod caller_front;
mod chat_front;
mod entry_metrics;
mod entry_state;
mod load_policy;
mod note_front;
mod note_watch;
mod problem_reply;
mod refresh_task;
mod resume_task;
mod server_membership;
mod service_front;
mod state_dump;
mod stream_driver;
mod tell_task;

pub use caller_front::serve_callers;
pub use entry_metrics::EntryMetrics;
pub use entry_state::EntryState;
pub use refresh_task::{refresh_snapshots, retire};
pub use resume_task::ResumeLine;
