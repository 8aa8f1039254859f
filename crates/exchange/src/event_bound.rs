//! Bound on the size of one server-sent event.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};

/// Maximum size of an event in bytes. Events carry a token, or the state of a generation.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Why an event stream broke off.
#[derive(Debug, Display, Error)]
pub(crate) enum EventFault<E> {
    /// The body broke off.
    #[display("{_0}")]
    Broken(#[error(not(source))] E),
    /// An event is larger than any event may be.
    #[display("event exceeds {EVENT_BYTES_MAX} bytes")]
    TooLarge,
}

/// Body of an event stream that ends with an error when an event is too large.
#[derive(Debug)]
pub(crate) struct EventBound<B> {
    body: B,
    event_bytes: usize,
    line_bytes: usize,
}

impl<B> EventBound<B> {
    pub(crate) const fn new(body: B) -> Self {
        Self {
            body,
            event_bytes: 0,
            line_bytes: 0,
        }
    }

    /// Counts the bytes since the last blank line, which ends an event, and returns whether
    /// they may be those of one event.
    fn is_within_bound(&mut self, data: &[u8]) -> bool {
        for byte in data {
            self.event_bytes += 1;
            match byte {
                b'\n' if self.line_bytes == 0 => self.event_bytes = 0,
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
            if self.event_bytes > EVENT_BYTES_MAX {
                return false;
            }
        }
        true
    }
}

impl<B> Body for EventBound<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = EventFault<B::Error>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let counted = frame.map(|frame| {
            let frame = frame.map_err(EventFault::Broken)?;
            match frame.data_ref() {
                Some(data) if !self.is_within_bound(data) => Err(EventFault::TooLarge),
                _ => Ok(frame),
            }
        });
        Poll::Ready(counted)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
