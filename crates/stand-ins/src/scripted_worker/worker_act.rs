//! What a scripted worker does, and what it got and did.

use std::time::Duration;

use tokio::time::Instant;

use crate::endless_bytes::{EndlessPace, EndlessPart};

/// What the worker does with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAct {
    /// A whole answer with this status and body.
    Answer(u16, &'static str),
    /// A whole answer after this time.
    AnswerAfter(Duration),
    /// The worker's word that it did not run.
    Rejected,
    /// Another lifetime, of this name, holds the address.
    Misdirected(&'static str),
    /// The same, if the name was given at run time.
    MisdirectedTo(String),
    /// Reset after the request was read.
    Reset,
    /// No answer, until the caller closes.
    Silence,
    /// An answer that ends before its length.
    Truncated,
    /// A whole answer, and at once the answer to another request.
    Extra,
    /// The answer to another request.
    Foreign,
    /// A success without the seal.
    NoSeal,
    /// Bytes that are no answer.
    Junk,
    /// Events after the position asked for, up to this one, then this end.
    Events(u64, StreamEnd),
    /// The worker's word that it did not run, with this `Retry-After`.
    Pause(&'static str),
    /// A whole answer with this header line.
    AnswerWith(&'static str),
    /// A whole answer, and its second copy when the next request has arrived.
    LateCopy,
    /// A whole answer, and an earlier refusal once more when the next request has
    /// arrived.
    AnswerThenRefusal {
        /// Whether the refusal names the request that it was for.
        has_id: bool,
    },
    /// A whole answer with this status line.
    OddStatus(&'static str),
    /// These bytes, which are no whole head, then the end of the connection.
    TornHead(&'static str),
    /// Events up to this one and then this text, without length or chunks, and the end of
    /// the connection.
    Unframed(u64, &'static str),
    /// An answer that never ends.
    Endless(EndlessPart, EndlessPace),
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Whole.
    Complete,
    /// Reset after a whole event.
    Cut,
    /// Reset in the middle of an event.
    Torn,
    /// Silent for good.
    Hang,
    /// This text again and again, without end.
    Dribble(&'static str),
}

/// One request as the worker got it.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// Head, as it came.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl WorkerRequest {
    /// Path of the request.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// One request as the worker saw it arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerArrival {
    /// Id of the request.
    pub id: String,
    /// Lifetime of the worker, counted from 0.
    pub lifetime: u64,
    /// When it arrived.
    pub at: Instant,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRun {
    /// Id of the request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Service of the worker at that time, if it was named.
    pub service: Option<&'static str>,
    /// Whether the worker broke its answer off, or crashed as it began.
    pub is_broken_off: bool,
    /// When the run began.
    pub at: Instant,
}

/// Who a worker is. It rejects requests that are addressed to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerIdentity {
    /// Name of the instance.
    pub name: String,
    /// Its service.
    pub service: &'static str,
    /// Whether it is a model worker.
    pub has_models: bool,
}

impl WorkerAct {
    pub(super) fn breaks_off(&self) -> bool {
        matches!(
            self,
            Self::Reset | Self::Truncated | Self::Events(_, StreamEnd::Cut | StreamEnd::Torn)
        )
    }

    pub(super) fn is_rejection(&self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::Pause(_) | Self::Misdirected(_) | Self::MisdirectedTo(_)
        )
    }
}
