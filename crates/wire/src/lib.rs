//! Messages as they are encoded.
//!
//! Every message has a wire type of its own, converted to and from the types
//! of the domain by `From` and `TryFrom`. Nothing here decides anything.

pub mod agent_control;
pub mod chat;
pub mod crash_evidence;
mod default_field;
pub mod engine;
pub mod entry_peer;
pub mod event_id;
pub mod explain;
pub mod lease;
pub mod note;
pub mod problem;
pub mod retry_room;
pub mod rollout;
pub mod service_call;
pub mod speed_report;
pub mod stream;
pub mod table;
pub mod vm;

pub use event_id::EventId;
pub use problem::ProblemReport;

/// Header that names the team of a request.
pub const TEAM_HEADER: &str = "x-team";

/// Header that carries the caller's key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header by which a caller says that it never used the key before.
pub const FIRST_USE_HEADER: &str = "x-first-use";

/// Header that carries the position to resume from.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
