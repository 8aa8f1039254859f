//! The service call aggregate: at most once, and an honest outcome.
//!
//! A call that may not be repeated runs only under a recorded intent. The
//! record is bound to the caller's key and a digest of the body, and it moves
//! one way: intended, then ran, not run or unknown; unknown is settled later
//! by evidence and never by running again.
//!
//! Invariants:
//! - `not run` needs proof that no byte of the call reached the service.
//! - A record that left `Intended` for `Ran` never changes again.
//! - Only the process that recorded an intent dispatches the call, and once.
//! - A request older than a recorded `not run` never runs.
//! - A key with another body is refused, whatever its state.
//! - An open record is never taken away; a settled one stays for its lifetime.

mod call_outcome;
mod call_record;
mod call_settlement;
mod dispatch_rule;
mod record_retention;

pub use call_outcome::{CallEvidence, CallOutcome};
pub use call_record::{
    CallOwner, CallRecord, CallState, KEY_LIFETIME, KeyDecision, KeyQuery, WallTime, decide_key,
};
pub use call_settlement::{DispatchLimit, FenceRule, JournalLookup, ServerUptime, settled_state};
pub use dispatch_rule::{DispatchRule, WriteLimits};
pub use record_retention::{
    RECORD_RETENTION, SweepPace, is_key_past_retention, is_past_retention, is_removable,
    key_timestamp,
};
