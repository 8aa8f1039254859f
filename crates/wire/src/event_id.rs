//! Event ids that callers hand back to resume.
//!
//! The id names the generation, the position of the next token and the server
//! whose agent keeps the log, so any entry can go on without a look-up. Its
//! text is `GENERATION.POSITION.SERVER`.

use std::str::FromStr;

use derive_more::{Display, Error};
use domain::{GenerationId, ServerName, TokenPosition};

/// Where a caller stands in a generation.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{generation}.{position}.{server}")]
pub struct EventId {
    /// The generation.
    pub generation: GenerationId,
    /// Position of the next token.
    pub position: TokenPosition,
    /// Server whose agent keeps the log.
    pub server: ServerName,
}

/// Text that is not an event id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not an event id: GENERATION.POSITION.SERVER expected")]
pub struct EventIdError;

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().filter(|part| !part.is_empty());
        let generation = part().and_then(|part| part.parse().ok());
        let position = part().and_then(|part| part.parse().ok());
        let server = part().map(ServerName::from);
        match (generation, position, server) {
            (Some(generation), Some(position), Some(server)) => Ok(Self {
                generation,
                position: TokenPosition(position),
                server,
            }),
            _ => Err(EventIdError),
        }
    }
}
