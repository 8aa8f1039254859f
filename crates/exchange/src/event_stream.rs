//! Server-sent events as they are read.

use volo_http::{body::Body, client::sse::SseReader};

use crate::ExchangeError;

/// One event.
#[derive(Clone, Debug)]
pub struct StreamEvent {
    /// Name of the event; `message` when none was given.
    pub name: String,
    /// Data of the event.
    pub data: String,
    /// Identity of the event.
    pub id: Option<String>,
}

/// Events of one answer.
pub struct EventStream {
    reader: SseReader<Body>,
}

impl EventStream {
    pub(crate) const fn new(reader: SseReader<Body>) -> Self {
        Self { reader }
    }

    /// Read the next event, or nothing at the end of the stream.
    ///
    /// The call may be dropped and made again without losing an event.
    pub async fn read(&mut self) -> Result<Option<StreamEvent>, ExchangeError> {
        let read = self.reader.read().await;
        let event = read.map_err(|error| ExchangeError::Lost {
            reason: error.to_string(),
        })?;
        Ok(event.map(|event| StreamEvent {
            name: event.event.unwrap_or_else(|| "message".to_owned()),
            data: event.data.unwrap_or_default(),
            id: event.id,
        }))
    }
}
