//! Events of one stream over several servers.
//!
//! The caller gets each event once and in order, whichever server made it. An
//! event at or before the last one delivered is dropped; a gap means that the
//! server does not go on where the stream stopped, and ends the attempt.

mod stream_timeouts;

use derive_more::Display;

pub use stream_timeouts::StreamTimeouts;

/// Position of an event in its stream.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventPosition(pub u64);

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// Send it to the caller.
    Deliver,
    /// The caller has it.
    Duplicate,
    /// An event before it is missing.
    Gap,
}

/// Last event that the caller has.
#[derive(Clone, Copy, Debug)]
pub struct EventCursor {
    last: Option<EventPosition>,
    stride: Option<u64>,
}

impl EventCursor {
    /// A stream that goes on after `last`, or begins.
    pub fn new(last: Option<EventPosition>) -> Self {
        Self { last, stride: None }
    }

    /// Last event that the caller has.
    pub fn last_delivered(&self) -> Option<EventPosition> {
        self.last
    }

    /// Judge the next event of a server. Events without a position belong to
    /// the one before them.
    pub fn accept(&mut self, position: Option<EventPosition>) -> EventVerdict {
        let Some(position) = position else {
            return EventVerdict::Deliver;
        };
        if let Some(last) = self.last {
            if position <= last {
                return EventVerdict::Duplicate;
            }
            let step = position.0 - last.0;
            if self.stride.is_some_and(|stride| step > stride) {
                return EventVerdict::Gap;
            }
            // The first step seen is the stream's own.
            self.stride.get_or_insert(step);
        }
        self.last = Some(position);
        EventVerdict::Deliver
    }
}
