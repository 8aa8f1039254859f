//! The process beside each backend server, and the only way to it.
//!
//! The agent keeps the token log of the generations at its engine, records
//! intents before it runs calls that may not be repeated, and refuses new work
//! when its server is leaving. Each generation belongs to one task that owns
//! its log; requests reach it through a channel and never wait for a lock.

mod agent_metrics;
mod agent_state;
mod call_registry;
mod call_rows;
mod call_runner;
mod call_settler;
mod control_front;
mod duty_holder;
mod engine_client;
mod generation_registry;
mod generation_task;
mod intent_log;
mod note_front;
mod note_keeper;
mod order_gate;
mod orphan_calls;
mod record_sweeper;
mod server_watch;
mod service_client;
mod state_dump;
mod stream_front;

pub use agent_metrics::AgentMetrics;
pub use agent_state::{AgentInbox, AgentState};
pub use call_settler::CallSettler;
pub use control_front::{ControlFront, serve_control};
pub use duty_holder::DutyHolder;
pub use intent_log::{IntentLog, RowWrite, WriteOutcome, WriteUrgency};
pub use note_keeper::NoteKeeper;
pub use order_gate::OrderGate;
pub use record_sweeper::RecordSweeper;
pub use server_watch::watch_server;
pub use stream_front::{serve_streams, wait_until_drained};
