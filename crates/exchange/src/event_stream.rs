//! Reading of server-sent events.

use volo_http::{body::Body, client::sse::SseReader};

use crate::{ExchangeError, event_bound::EventBound};

/// One server-sent event.
#[derive(Clone, Debug)]
pub struct StreamEvent {
    /// Event name; `message` if the server sent none.
    pub name: String,
    /// Event data.
    pub data: String,
    /// Event id.
    pub id: Option<String>,
}

/// Event stream of one response.
pub struct EventStream {
    reader: SseReader<EventBound<Body>>,
}

impl EventStream {
    pub(crate) const fn new(reader: SseReader<EventBound<Body>>) -> Self {
        Self { reader }
    }

    /// Reads the next event; returns `None` at the end of the stream.
    ///
    /// Cancel safe: if the future is dropped, the next call returns the event.
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
