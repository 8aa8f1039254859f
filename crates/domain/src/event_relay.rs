//! Relaying of one stream of server-sent events by the process of the `front`
//! crate.
//!
//! In contrast to [`crate::generation_stream`], there is neither an agent nor an
//! attempt number: events are forwarded unchanged, and only their positions tell
//! which ones the caller has. If a server fails, another one continues after the
//! last position.
//!
//! The caller receives each event that has a position once and in order,
//! whichever server produced it. An event at or before the last delivered
//! position is dropped. A gap means that the server did not continue where the
//! stream stopped; reading from it then ends. Gaps are detected by comparison with
//! the first step between two positions, so the event that follows a resumption
//! by the caller is accepted at any later position.

mod stream_timeouts;

use derive_more::Display;

pub use stream_timeouts::StreamTimeouts;

/// Position of an event in its stream.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventPosition(pub u64);

/// Result of [`EventCursor::accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// The next event in order: send it to the caller.
    Deliver,
    /// Already delivered: drop it.
    Duplicate,
    /// An event before it is missing: stop reading from this server.
    Gap,
}

/// Tracks the position of the last event delivered to the caller.
#[derive(Clone, Copy, Debug)]
pub struct EventCursor {
    last: Option<EventPosition>,
    first_step: Option<u64>,
}

impl EventCursor {
    /// Creates a cursor for a stream that continues after `last`, or for a new
    /// stream if there is none.
    pub fn new(last: Option<EventPosition>) -> Self {
        Self {
            last,
            first_step: None,
        }
    }

    /// Position of the last delivered event.
    pub fn last_delivered(&self) -> Option<EventPosition> {
        self.last
    }

    /// Checks the next event of a server and advances the cursor if the event is
    /// to be delivered. An event without a position counts as part of the preceding
    /// one, so it does not advance the cursor. It is delivered even if the preceding
    /// one was dropped.
    pub fn accept(&mut self, position: Option<EventPosition>) -> EventVerdict {
        let Some(position) = position else {
            return EventVerdict::Deliver;
        };
        if let Some(last) = self.last {
            if position <= last {
                return EventVerdict::Duplicate;
            }
            let step = position.0 - last.0;
            if self.first_step.is_some_and(|first_step| step > first_step) {
                return EventVerdict::Gap;
            }
            // Positions need not be consecutive. They are expected to be evenly
            // spaced, so any step longer than the first one is a gap.
            self.first_step.get_or_insert(step);
        }
        self.last = Some(position);
        EventVerdict::Deliver
    }
}
