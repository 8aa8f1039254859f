//! Calls to plain services, between entry and agent and in the table.

use domain::{
    BodyDigest, ServerName,
    service_call::{CallRecord, CallState},
};
use serde::{Deserialize, Serialize};

/// Request that an agent runs a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallMessage {
    /// Team that calls.
    pub team: String,
    /// The caller's key; none for a call that may be repeated.
    pub key: Option<String>,
    /// Operation of the service.
    pub operation: String,
    /// Body of the call, as text.
    pub body: String,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
}

/// What became of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CallReply {
    /// The service answered, now or under an earlier request with the key.
    Ran {
        /// Status code of the answer.
        status: u16,
        /// Body of the answer.
        answer: String,
    },
    /// Proved not to have reached the service.
    NotRun {
        /// Why not.
        reason: String,
    },
    /// May have run.
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The key is bound to another body.
    OtherBody,
    /// A call with the key is under way.
    InFlight,
}

/// State of a recorded call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum StateMessage {
    /// Recorded before the run.
    Intended,
    /// Ran.
    Ran {
        /// Status code of the answer.
        status: u16,
        /// Body of the answer.
        answer: String,
    },
    /// Proved not to have run.
    NotRun,
    /// May have run.
    Unknown,
}

/// Record of a call as it stands in the table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordMessage {
    /// Digest of operation and body, as 32 hexadecimal digits.
    pub digest: String,
    /// Server whose agent recorded the intent.
    pub owner: String,
    /// Start of the owning process.
    pub owner_epoch: u64,
    /// Run that the intent stands for.
    pub run: u64,
    /// State of the call.
    pub state: StateMessage,
}

impl From<&CallRecord> for RecordMessage {
    fn from(record: &CallRecord) -> Self {
        let state = match &record.state {
            CallState::Intended => StateMessage::Intended,
            CallState::Ran { status, answer } => StateMessage::Ran {
                status: *status,
                answer: answer.clone(),
            },
            CallState::NotRun => StateMessage::NotRun,
            CallState::Unknown => StateMessage::Unknown,
        };
        Self {
            digest: format!("{:032x}", record.digest.to_u128()),
            owner: record.owner.as_str().to_owned(),
            owner_epoch: record.owner_epoch,
            run: record.run,
            state,
        }
    }
}

impl TryFrom<RecordMessage> for CallRecord {
    type Error = std::num::ParseIntError;

    fn try_from(message: RecordMessage) -> Result<Self, Self::Error> {
        let digest = u128::from_str_radix(&message.digest, 16)?;
        let state = match message.state {
            StateMessage::Intended => CallState::Intended,
            StateMessage::Ran { status, answer } => CallState::Ran { status, answer },
            StateMessage::NotRun => CallState::NotRun,
            StateMessage::Unknown => CallState::Unknown,
        };
        Ok(Self {
            digest: BodyDigest::from_u128(digest),
            owner: ServerName::from(message.owner),
            owner_epoch: message.owner_epoch,
            run: message.run,
            state,
        })
    }
}
