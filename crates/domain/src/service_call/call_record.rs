//! The record of a call and what a new request with its key may do.

use std::time::Duration;

use crate::{BodyDigest, ServerName};

/// Time for which a recorded outcome is given out again.
pub const KEY_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Moment on the wall clock, in milliseconds since the epoch.
///
/// Records outlive processes, so that their age cannot be told by the runtime's
/// clock.
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
    /// Time since an earlier moment; none if it lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// State of a recorded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// Recorded before the run; the outcome is not known yet.
    Intended,
    /// Ran, with the service's status and answer.
    Ran {
        /// Status code of the service's answer.
        status: u16,
        /// Body of the service's answer.
        answer: String,
    },
    /// Proved not to have reached the service.
    NotRun,
    /// May have run.
    Unknown,
}

impl CallState {
    /// Whether evidence may still change the state.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Intended | Self::Unknown)
    }
}

/// Process that records an intent, and may then dispatch the call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOwner {
    /// Server whose agent it is.
    pub server: ServerName,
    /// Start of the process, so that a restarted one does not take an intent
    /// of its predecessor for its own.
    pub epoch: u64,
}

/// What is kept of a call under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Digest of the operation and body that the key is bound to.
    pub digest: BodyDigest,
    /// Process that recorded the intent.
    pub owner: CallOwner,
    /// Run that the intent stands for.
    pub run: u64,
    /// When the state was recorded.
    pub recorded_at: WallTime,
    /// State of the call.
    pub state: CallState,
}

/// A request with a key, as the process sees it that would run it.
///
/// The process runs at most one call with a key at a time, and asks only when
/// it has none under way.
#[derive(Clone, Copy, Debug)]
pub struct KeyQuery<'a> {
    /// Digest of operation and body.
    pub digest: BodyDigest,
    /// The process that asks.
    pub owner: &'a CallOwner,
    /// When the caller's request reached the system.
    pub sent_at: WallTime,
    /// Now.
    pub now: WallTime,
}

/// What a request may do about its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision<'a> {
    /// The key is new, or proved not to have run: record an intent and run.
    Run,
    /// Answer from the record.
    Answer {
        /// Recorded status code.
        status: u16,
        /// Recorded answer.
        answer: &'a str,
    },
    /// The key is bound to another body.
    OtherBody,
    /// The call is under way.
    InFlight,
    /// The call may have run; its outcome is still to be settled.
    Unknown,
    /// The request is older than the word that the key did not run.
    Superseded,
    /// The record is too old to be given out.
    Expired,
}

/// Decide about a request from what is recorded under its key.
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
        // The process itself knows that it never dispatched under this intent:
        // its write was given up, and took effect later.
        CallState::Intended if record.owner == *query.owner => KeyDecision::Run,
        CallState::Intended => KeyDecision::InFlight,
        CallState::Ran { status, answer } => KeyDecision::Answer {
            status: *status,
            answer,
        },
        // A caller may have been told so since; only a later request may run.
        CallState::NotRun if query.sent_at <= record.recorded_at => KeyDecision::Superseded,
        CallState::NotRun => KeyDecision::Run,
        CallState::Unknown => KeyDecision::Unknown,
    }
}
