//! The service call aggregate: at-most-once execution and the outcome that is
//! reported to the caller.
//!
//! A call that must not be repeated runs only after an intent is recorded for
//! it. The record is bound to the caller's idempotency key and a digest of the
//! body. An intent ends as ran, not run or unknown. An unknown outcome is settled
//! later by evidence as ran or not run, never by another run. After `not run`, a
//! later request with the key may record a new intent.
//!
//! Invariants:
//! - `not run` requires proof that the call did not run and can no longer run:
//!   no byte of it was sent, or the journal conclusively lacks its key.
//! - A record in state `Ran` never changes again.
//! - Only the process that recorded an intent dispatches the call, and only once.
//! - A request that is older than a recorded `not run` never runs.
//! - A key that is reused with another body is refused in every state.
//! - An open record is never removed; a settled one is kept for the retention
//!   time.

mod call_outcome;
mod call_record;
mod call_settlement;
mod dispatch_rule;
mod record_retention;

pub use call_outcome::{CallEvidence, CallOutcome};
pub use call_record::{
    CallOwner, CallRecord, CallState, KEY_LIFETIME, KeyDecision, KeyQuery, WallTime, decide_key,
};
pub use call_settlement::{AbsenceRule, DispatchLimit, JournalLookup, ServerUptime, settled_state};
pub use dispatch_rule::{DispatchRule, WriteLimits};
pub use record_retention::{
    RECORD_RETENTION, SweepPace, is_key_past_retention, is_past_retention, is_removable,
    key_timestamp,
};
