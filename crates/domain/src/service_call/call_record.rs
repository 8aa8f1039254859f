//! The record of a call and the handling of a new request with the same key.

use std::time::Duration;

use crate::{BodyDigest, ServerName};

/// Time for which a repeated request is answered from a settled record. After
/// that, repeats are refused as expired until the record is removed.
pub const KEY_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Records outlive processes, so their age cannot be measured with the
/// monotonic clock of a process.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::From,
    derive_more::Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time since `earlier`, or zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// State of a recorded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The intent is recorded; the outcome is not known yet.
    Intended,
    /// The service ran the call and answered.
    Ran {
        /// Status code of the service's answer.
        status: u16,
        /// Body of the service's answer.
        answer: String,
    },
    /// The call is proved not to have run.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl CallState {
    /// Returns whether evidence may still change the state.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Intended | Self::Unknown)
    }
}

/// Process that recorded an intent and may dispatch the call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOwner {
    /// Server that the process is the agent of.
    pub server: ServerName,
    /// Identifies the start of the process, so that a restarted process does not
    /// treat an intent of its predecessor as its own.
    pub epoch: u64,
}

/// Stored state of a call, found by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Digest of the operation and body that the key is bound to.
    pub digest: BodyDigest,
    /// Process that recorded the intent.
    pub owner: CallOwner,
    /// Number of the attempt to run the call, unique within the owner process.
    pub run: u64,
    /// Time at which the state was recorded.
    pub recorded_at: WallTime,
    /// State of the call.
    pub state: CallState,
}

/// A keyed request, as seen by the process that would run it.
///
/// The process runs at most one call per key at a time, and creates a query
/// only while it has no call with the key in progress. A dispatched call stays in
/// progress until its outcome is recorded.
#[derive(Clone, Copy, Debug)]
pub struct KeyQuery<'a> {
    /// Digest of the operation and body.
    pub digest: BodyDigest,
    /// Process that handles the request; it owns the record if it records an
    /// intent.
    pub owner: &'a CallOwner,
    /// Time at which the caller's request reached the system. It may reach this
    /// process later.
    pub sent_at: WallTime,
    /// Current time.
    pub now: WallTime,
}

/// How a keyed request is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision<'a> {
    /// The key is new or its call did not run: record an intent and run the call.
    Run,
    /// Send the recorded answer.
    Answer {
        /// Recorded status code.
        status: u16,
        /// Recorded answer.
        answer: &'a str,
    },
    /// The key is bound to another body.
    OtherBody,
    /// The call is in progress.
    InFlight,
    /// The call may have run; its outcome is not settled yet.
    Unknown,
    /// The request reached the system before the call was recorded as not run.
    Superseded,
    /// The record is settled and older than [`KEY_LIFETIME`].
    Expired,
}

/// Decides how to handle a request from the record of its key.
pub fn decide_key<'a>(record: Option<&'a CallRecord>, query: &KeyQuery<'_>) -> KeyDecision<'a> {
    let Some(record) = record else {
        return KeyDecision::Run;
    };
    if record.digest != query.digest {
        return KeyDecision::OtherBody;
    }
    let age = query.now.since(record.recorded_at);
    if !record.state.is_open() && age > KEY_LIFETIME {
        return KeyDecision::Expired;
    }
    match &record.state {
        // The process has no call with the key in progress, so it never dispatched
        // one under this intent: it abandoned the write, which took effect later.
        CallState::Intended if record.owner == *query.owner => KeyDecision::Run,
        CallState::Intended => KeyDecision::InFlight,
        CallState::Ran { status, answer } => KeyDecision::Answer {
            status: *status,
            answer,
        },
        // A caller may already have been told `not run`; only a later request may run.
        CallState::NotRun if query.sent_at <= record.recorded_at => KeyDecision::Superseded,
        CallState::NotRun => KeyDecision::Run,
        CallState::Unknown => KeyDecision::Unknown,
    }
}
