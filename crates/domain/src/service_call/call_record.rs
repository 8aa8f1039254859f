//! The record of a call and what a new request with its key may do.

use crate::{BodyDigest, ServerName};

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

/// What is kept of a call under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Digest of the operation and body that the key is bound to.
    pub digest: BodyDigest,
    /// Server whose agent recorded the intent.
    pub owner: ServerName,
    /// Start of the owning agent's process, so that a restarted one does not
    /// take an intent of its predecessor for its own.
    pub owner_epoch: u64,
    /// Run that the intent stands for.
    pub run: u64,
    /// State of the call.
    pub state: CallState,
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
}

/// Decide about a request from what is recorded under its key.
pub fn decide_key(record: Option<&CallRecord>, digest: BodyDigest) -> KeyDecision<'_> {
    let Some(record) = record else {
        return KeyDecision::Run;
    };
    if record.digest != digest {
        return KeyDecision::OtherBody;
    }
    match &record.state {
        CallState::Intended => KeyDecision::InFlight,
        CallState::Ran { status, answer } => KeyDecision::Answer {
            status: *status,
            answer,
        },
        CallState::NotRun => KeyDecision::Run,
        CallState::Unknown => KeyDecision::Unknown,
    }
}
