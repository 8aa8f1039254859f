//! Replies to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use domain::retry_advice::RefusedRequest;
use http::{HeaderValue, Response, StatusCode, header, response::Parts};
use hyper::body::{Body, Frame, SizeHint};
use platform::server_request::strip_connection_headers;
use serde_json::json;
use tokio::{sync::mpsc, time::Instant};

use crate::answer_body::AnswerBody;

/// Part of a streamed reply.
#[derive(Debug)]
pub(crate) enum StreamChunk {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The stream was aborted before its last event.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("stream aborted before its last event")]
pub(crate) struct StreamAborted;

/// Body of a reply.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// A body that is complete.
    Buffered(AnswerBody),
    /// Events as they arrive. If the channel closes without [`StreamChunk::End`], the
    /// stream is aborted.
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
            Self::Events(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
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

/// Reply to a caller.
pub(crate) type CallerReply = Response<ReplyBody>;

/// Why the entry replies itself instead of relaying a server's response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ReplyReason {
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// The body exceeds the size limit.
    #[display("too_large")]
    TooLarge,
    /// The body arrives too slowly.
    #[display("too_slow")]
    TooSlow,
    /// The memory for bodies is in use.
    #[display("no_memory")]
    NoMemory,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// The API key is missing or belongs to no team.
    #[display("unknown_key")]
    UnknownKey,
    /// No desired state is known, or the known one may be out of date.
    #[display("state_unsure")]
    StateUnsure,
    /// The process is about to exit.
    #[display("closing")]
    Closing,
    /// No server could accept the request.
    #[display("no_server")]
    NoServer,
    /// The first event would be late at every server that was asked.
    #[display("overloaded")]
    Overloaded,
    /// More urgent requests need the room at the servers that were asked.
    #[display("shed")]
    Shed,
    /// A part of the prompt crashes servers that begin to answer it.
    #[display("crashes_servers")]
    CrashesServers,
    /// The retry budget is exhausted.
    #[display("no_budget")]
    NoBudget,
    /// A server may have run the request.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The request's deadline has passed.
    #[display("timeout")]
    Timeout,
}

impl ReplyReason {
    /// Returns whether the caller may send the request again, because it did not run or
    /// is idempotent. Such a reply has status 503.
    pub(crate) fn is_refusal(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Returns whether the rest of the request's body is left unread, so that its
    /// connection cannot go on.
    pub(crate) fn leaves_body(self) -> bool {
        matches!(self, Self::TooLarge | Self::TooSlow | Self::NoMemory)
    }

    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::StateUnsure
            | Self::Closing
            | Self::NoServer
            | Self::Overloaded
            | Self::Shed
            | Self::NoMemory
            | Self::NoBudget => StatusCode::SERVICE_UNAVAILABLE,
            Self::CrashesServers => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Creates a reply with a problem document (RFC 9457).
pub(crate) fn problem_reply(reason: ReplyReason) -> CallerReply {
    let status = reason.status();
    let problem = json!({
        "type": "about:blank",
        "status": status.as_u16(),
        "title": reason.to_string(),
    });
    let mut reply = Response::new(ReplyBody::Buffered(Bytes::from(problem.to_string()).into()));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if reason.leaves_body() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Creates a refusal that tells the caller when to send the request again.
pub(crate) fn refusal_reply(reason: ReplyReason, refused: RefusedRequest) -> CallerReply {
    let mut reply = problem_reply(reason);
    let wait = refused.retry_after(Instant::now(), &mut rand::rng());
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// Relays a complete response of a server.
pub(crate) fn buffered_reply(parts: Parts, body: AnswerBody) -> CallerReply {
    server_reply(parts, ReplyBody::Buffered(body))
}

/// Relays a streamed response of a server, whose length is not known.
pub(crate) fn stream_reply(parts: Parts, chunks: mpsc::Receiver<StreamChunk>) -> CallerReply {
    let mut reply = server_reply(parts, ReplyBody::Events(chunks));
    reply.headers_mut().remove(header::CONTENT_LENGTH);
    reply
}

fn server_reply(mut parts: Parts, body: ReplyBody) -> CallerReply {
    strip_connection_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}
