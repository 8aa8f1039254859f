//! Token streams between entry and agent.
//!
//! A stream is opened by `POST /v1/generations` and read as server-sent events:
//! `token`, unnamed heartbeats and one closing `end`, `stale`, `mismatch` or `lost`. An `entry` that
//! took a caller over opens with `GET /v1/generations/ID`, whose first event is
//! `record`.

use std::time::Duration;

use derive_more::{Display, Error};
use domain::{
    AdapterName, AttemptNumber, GenerationId, ModelName, ModelVersion, TokenPosition, WorkClass,
    backend_server::ServerLoad,
    generation_stream::{HeartbeatReport, ModelPin},
};
use serde::{Deserialize, Serialize};

use crate::default_field::is_default;

/// Name of an event that carries a token.
pub const TOKEN_EVENT: &str = "token";
/// Name of a heartbeat: the one that an event has which names none, since most
/// heartbeats say no more than that the stream is alive.
pub const BEAT_EVENT: &str = "message";
/// Name of the event that ends a whole generation.
pub const END_EVENT: &str = "end";
/// Name of the event that tells that a later attempt has taken over.
pub const STALE_EVENT: &str = "stale";
/// Name of the event that tells that the identity belongs to another request.
pub const MISMATCH_EVENT: &str = "mismatch";
/// Name of the event that tells that the engine cannot go on.
pub const LOST_EVENT: &str = "lost";
/// Name of the event that describes the generation to a new entry.
pub const RECORD_EVENT: &str = "record";

/// Model, adapter and version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PinMessage {
    /// Model family.
    pub model: String,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Version.
    pub version: u32,
}

impl From<&ModelPin> for PinMessage {
    fn from(pin: &ModelPin) -> Self {
        Self {
            model: pin.model.as_str().to_owned(),
            adapter: pin.adapter.as_ref().map(|name| name.as_str().to_owned()),
            version: pin.version.0,
        }
    }
}

impl From<&PinMessage> for ModelPin {
    fn from(message: &PinMessage) -> Self {
        Self {
            model: ModelName::from(message.model.as_str()),
            adapter: message.adapter.as_deref().map(AdapterName::from),
            version: ModelVersion(message.version),
        }
    }
}

/// Class of work.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassMessage {
    /// Short work.
    Short,
    /// Long work.
    Long,
}

impl From<WorkClass> for ClassMessage {
    fn from(class: WorkClass) -> Self {
        match class {
            WorkClass::Short => Self::Short,
            WorkClass::Long => Self::Long,
        }
    }
}

impl From<ClassMessage> for WorkClass {
    fn from(message: ClassMessage) -> Self {
        match message {
            ClassMessage::Short => Self::Short,
            ClassMessage::Long => Self::Long,
        }
    }
}

/// Request of a token stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OpenMessage {
    /// Generation identity, 32 hexadecimal digits.
    pub generation: String,
    /// Attempt that is asked for.
    pub attempt: u32,
    /// Team that pays for it.
    pub team: String,
    /// Model, adapter and version.
    pub pin: PinMessage,
    /// The prompt.
    pub prompt: String,
    /// Tokens delivered by earlier attempts.
    #[serde(default)]
    pub delivered: Vec<String>,
    /// Tokens of the whole generation at most.
    pub max_tokens: u32,
    /// Class of work.
    pub class: ClassMessage,
    /// Whether another server has the generation and goes on with it if this
    /// one refuses.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_move: bool,
}

impl OpenMessage {
    /// Whether another message asks for the same generation.
    pub fn is_same_request(&self, other: &Self) -> bool {
        self.team == other.team
            && self.pin.model == other.pin.model
            && self.pin.adapter == other.pin.adapter
            && self.prompt == other.prompt
            && self.max_tokens == other.max_tokens
    }
}

/// A message whose identity cannot be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("generation: 32 hexadecimal digits expected")]
pub struct OpenMessageError;

impl TryFrom<&OpenMessage> for GenerationId {
    type Error = OpenMessageError;

    fn try_from(message: &OpenMessage) -> Result<Self, Self::Error> {
        message.generation.parse().map_err(|_| OpenMessageError)
    }
}

/// One token.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TokenMessage {
    /// Attempt that the token belongs to.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Position after the prompt.
    #[serde(rename = "p")]
    pub position: u32,
    /// The token.
    #[serde(rename = "t")]
    pub text: String,
    /// Load of the server, now and then.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadMessage>,
}

/// Load of a server, encoded as the slots held and the slots in all, 0 while
/// they are not known.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(from = "[u32; 2]", into = "[u32; 2]")]
pub struct LoadMessage {
    /// Requests of all entries that run or wait at the server.
    pub held: u32,
    /// Slots in all.
    pub slots: u32,
}

impl From<[u32; 2]> for LoadMessage {
    fn from([held, slots]: [u32; 2]) -> Self {
        Self { held, slots }
    }
}

impl From<LoadMessage> for [u32; 2] {
    fn from(message: LoadMessage) -> Self {
        [message.held, message.slots]
    }
}

impl From<ServerLoad> for LoadMessage {
    fn from(report: ServerLoad) -> Self {
        Self {
            held: report.in_flight,
            slots: report.slots,
        }
    }
}

impl From<LoadMessage> for ServerLoad {
    fn from(message: LoadMessage) -> Self {
        Self {
            in_flight: message.held,
            slots: message.slots,
        }
    }
}

impl TokenMessage {
    /// Attempt and position in the domain's types.
    pub const fn place(&self) -> (AttemptNumber, TokenPosition) {
        (AttemptNumber(self.attempt), TokenPosition(self.position))
    }
}

/// A sign of life between tokens.
///
/// What is at its default is not encoded, and a heartbeat of which nothing is
/// left is encoded as no data at all.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default)]
pub struct BeatMessage {
    /// Milliseconds since the engine last gave a sign of life on this stream,
    /// from the bound on that a reader may act on.
    #[serde(rename = "e", skip_serializing_if = "is_default")]
    pub engine_silence_ms: u32,
    /// Milliseconds since the engine last gave a sign of life to anyone.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    pub server_silence_ms: u32,
    /// Whether the server is leaving.
    #[serde(rename = "x", skip_serializing_if = "is_default")]
    pub leaving: bool,
    /// Load of the server, now and then.
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadMessage>,
}

impl From<&BeatMessage> for String {
    fn from(message: &BeatMessage) -> Self {
        if *message == BeatMessage::default() {
            return Self::new();
        }
        serde_json::to_string(message).expect("wire types are plain data")
    }
}

impl TryFrom<&str> for BeatMessage {
    type Error = serde_json::Error;

    fn try_from(data: &str) -> Result<Self, Self::Error> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_str(data)
    }
}

impl From<BeatMessage> for HeartbeatReport {
    fn from(message: BeatMessage) -> Self {
        Self {
            stream_silence: Duration::from_millis(u64::from(message.engine_silence_ms)),
            overall_silence: Duration::from_millis(u64::from(message.server_silence_ms)),
        }
    }
}

/// End of a whole generation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndMessage {
    /// Attempt that ended.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Tokens of the generation.
    pub total: u32,
    /// Why it ended.
    pub reason: String,
}

/// The generation as its agent knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordMessage {
    /// The request, with the current attempt.
    pub open: OpenMessage,
    /// Tokens before the position that was asked for.
    pub delivered: Vec<String>,
}
