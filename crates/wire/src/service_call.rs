//! Calls to plain services, between entry and agent and in the table.

use domain::{
    BodyDigest, ServerName,
    service_call::{CallOwner, CallRecord, CallState, WallTime},
};
use serde::{Deserialize, Serialize};

/// Prefix of the rows that hold records of calls.
const CALL_PREFIX: &str = "call/";

/// Prefix of the rows that name calls of unknown outcome.
const UNKNOWN_PREFIX: &str = "unknown/";

/// Prefix of the rows that name calls whose outcome is not recorded.
const OPEN_PREFIX: &str = "open/";

/// Prefix of the rows that name settled calls, the oldest first.
const ENDED_PREFIX: &str = "ended/";

/// A caller's request by team and key, `TEAM/KEY`.
pub fn request_name(team: &str, key: &str) -> String {
    format!("{team}/{key}")
}

/// Row of the record of a request.
pub fn call_row(request: &str) -> String {
    format!("{CALL_PREFIX}{request}")
}

/// Row that lists a request as of unknown outcome.
pub fn unknown_row(request: &str) -> String {
    format!("{UNKNOWN_PREFIX}{request}")
}

/// Prefix of the rows that list a team's requests of unknown outcome, or those
/// of all teams.
pub fn unknown_rows(team: Option<&str>) -> String {
    match team {
        Some(team) => format!("{UNKNOWN_PREFIX}{team}/"),
        None => UNKNOWN_PREFIX.to_owned(),
    }
}

/// Request that a row of `unknown_rows` lists.
pub fn listed_request(row: &str) -> Option<&str> {
    row.strip_prefix(UNKNOWN_PREFIX)
}

/// Prefix of the rows that name the open calls of a pool.
pub fn pool_open_rows(pool: &str) -> String {
    format!("{OPEN_PREFIX}{pool}/")
}

/// Prefix of the rows that name the open calls of a server.
pub fn open_rows(pool: &str, server: &str) -> String {
    format!("{OPEN_PREFIX}{pool}/{server}/")
}

/// Prefix of the rows that name the open calls of all servers.
pub const fn all_open_rows() -> &'static str {
    OPEN_PREFIX
}

/// Server whose open call a row names.
pub fn open_server(row: &str) -> Option<&str> {
    row.strip_prefix(OPEN_PREFIX)?.split('/').nth(1)
}

/// Row that names one open call; its value is an [`OpenMessage`].
pub fn open_row(pool: &str, server: &str, epoch: u64, run: u64) -> String {
    format!("{}{epoch:016x}/{run:016x}", open_rows(pool, server))
}

/// Prefix of the rows that name the settled calls of a pool, in the order of
/// the time at which they were settled.
pub fn ended_rows(pool: &str) -> String {
    format!("{ENDED_PREFIX}{pool}/")
}

/// Row that names one settled call; its value is an [`EndedMessage`].
pub fn ended_row(pool: &str, recorded_at: WallTime, request: &str) -> String {
    let recorded_at_ms = u64::from(recorded_at);
    format!("{}{recorded_at_ms:016x}/{request}", ended_rows(pool))
}

/// When the call was settled that a row of `ended_rows` names.
pub fn ended_at(row: &str) -> Option<WallTime> {
    let time = row.strip_prefix(ENDED_PREFIX)?.split('/').nth(1)?;
    u64::from_str_radix(time, 16).ok().map(WallTime)
}

/// A call whose outcome is recorded for good.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndedMessage {
    /// The request, `TEAM/KEY`.
    pub request: String,
    /// Version of the row that holds the record.
    pub version: u64,
}

/// A call whose outcome is not recorded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OpenMessage {
    /// The request, `TEAM/KEY`.
    pub request: String,
    /// Server whose agent recorded the intent.
    pub owner: String,
    /// Start of the owning process.
    pub owner_epoch: u64,
    /// Run that the intent stands for.
    pub run: u64,
}

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
    /// When the caller's request came, in milliseconds since the epoch.
    pub sent_at_ms: u64,
    /// Whether the caller says that it never used the key before.
    #[serde(default)]
    pub is_first: bool,
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
    /// Proved not to have reached the service, under this request or an
    /// earlier one with the key.
    NotRun {
        /// Why not.
        reason: String,
    },
    /// This request was not dispatched; an earlier one with the key may have
    /// been, since the record could not be read.
    Refused {
        /// Why not.
        reason: String,
    },
    /// The key is older than records are given out.
    Expired,
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

/// One request of a list.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ListedRequest {
    /// Team that called.
    pub team: String,
    /// The team's key.
    pub key: String,
    /// State of the call.
    pub state: String,
}

impl ListedRequest {
    /// Request `TEAM/KEY` of unknown outcome.
    pub fn unknown(request: &str) -> Option<Self> {
        let (team, key) = request.split_once('/')?;
        Some(Self {
            team: team.to_owned(),
            key: key.to_owned(),
            state: "unknown".to_owned(),
        })
    }
}

/// Requests in one state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct RequestList {
    /// The requests, by team and key.
    pub requests: Vec<ListedRequest>,
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
    /// When the state was recorded, in milliseconds since the epoch.
    pub recorded_at_ms: u64,
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
            owner: record.owner.server.as_str().to_owned(),
            owner_epoch: record.owner.epoch,
            run: record.run,
            recorded_at_ms: record.recorded_at.into(),
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
            owner: CallOwner {
                server: ServerName::from(message.owner),
                epoch: message.owner_epoch,
            },
            run: message.run,
            recorded_at: WallTime(message.recorded_at_ms),
            state,
        })
    }
}
