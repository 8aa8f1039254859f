//! Answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Response, StatusCode, header, response::Parts};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use platform::worker_request::strip_connection_headers;
use rand::Rng;
use serde_json::json;
use tokio::sync::mpsc;

/// Longest wait that a refused caller is asked for, for a plain request: some
/// times its work.
const CALL_PAUSE: Duration = Duration::from_millis(150);
/// The same for a stream: the time of a crash at today's sites.
const STREAM_PAUSE: Duration = Duration::from_millis(1_500);
/// Part of the time left that a caller may be asked to wait: it honours a third.
const PAUSE_PART: u32 = 4;

/// Piece of a streamed answer.
#[derive(Debug)]
pub(crate) enum StreamChunk {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The stream ended before its last event.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke off")]
pub(crate) struct StreamAborted;

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// All of it at once.
    Buffered(Full<Bytes>),
    /// Events as they come; a channel that closes without an end is a cut.
    Events(mpsc::Receiver<StreamChunk>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Events(pieces) => pieces.poll_recv(context).map(|piece| match piece {
                Some(StreamChunk::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamChunk::End) => None,
                None => Some(Err(StreamAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Answer to a caller.
pub(crate) type CallerReply = Response<ReplyBody>;

/// Why the entry answers by itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ReplyReason {
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// The body is over the limit.
    #[display("too_large")]
    TooLarge,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// No team holds the key.
    #[display("unknown_key")]
    UnknownKey,
    /// Nothing is known yet, or a newer desired state may be in force.
    #[display("state_unsure")]
    StateUnsure,
    /// The process ends.
    #[display("closing")]
    Closing,
    /// No server could take it.
    #[display("no_server")]
    NoServer,
    /// The retry budget is spent.
    #[display("no_budget")]
    NoBudget,
    /// A server may have run it.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// Its time is over.
    #[display("timeout")]
    Timeout,
}

impl ReplyReason {
    /// Whether it promises that the request did not run, or asks an idempotent
    /// one to come back.
    pub(crate) fn is_refusal(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::StateUnsure | Self::Closing | Self::NoServer | Self::NoBudget => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An answer of the entry's own.
pub(crate) fn problem_reply(reason: ReplyReason) -> CallerReply {
    let status = reason.status();
    let problem = json!({
        "type": "about:blank",
        "status": status.as_u16(),
        "title": reason.to_string(),
    });
    let mut reply = Response::new(ReplyBody::Buffered(Full::from(problem.to_string())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    reply
}

/// A refusal that tells the caller when to come back, spread over half of the
/// pause so that many refused at once do not return at once.
pub(crate) fn refusal_reply(reason: ReplyReason, is_stream: bool, left: Duration) -> CallerReply {
    let mut reply = problem_reply(reason);
    let pause = if is_stream { STREAM_PAUSE } else { CALL_PAUSE };
    let pause = pause.min(left / PAUSE_PART).as_secs_f64() * rand::rng().random_range(0.5..1.0);
    if let Ok(value) = HeaderValue::from_str(&format!("{pause:.3}")) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// A server's whole answer.
pub(crate) fn buffered_reply(parts: Parts, body: Bytes) -> CallerReply {
    server_reply(parts, ReplyBody::Buffered(Full::new(body)))
}

/// A server's streamed answer, whose length is not known.
pub(crate) fn stream_reply(parts: Parts, pieces: mpsc::Receiver<StreamChunk>) -> CallerReply {
    let mut reply = server_reply(parts, ReplyBody::Events(pieces));
    reply.headers_mut().remove(header::CONTENT_LENGTH);
    reply
}

fn server_reply(mut parts: Parts, body: ReplyBody) -> CallerReply {
    strip_connection_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}
