//! Reading of callers' bodies into charged memory.

use std::{ops::Deref, time::Duration};

use domain::ingress_budget::{
    BodyShare, NoBodyMemory, TransferPace, TransferRule, TransferTooSlow,
};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

use crate::{EntryState, problem_reply::ProblemReply};

/// Time without a byte after which a body is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a body must have arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes a second that a body has to move when memory is short.
const RATE_MIN: usize = 8 << 10;
/// Pause that a caller is asked to make when the memory is in use.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// A whole body. Its memory is charged until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerBody {
    bytes: Vec<u8>,
    share: BodyShare,
}

impl Deref for CallerBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl CallerBody {
    /// Appends bytes. The whole allocation is charged, not only its used part.
    fn append(&mut self, data: &[u8], size_max: usize) -> Result<(), NoBodyMemory> {
        let size = self.bytes.len() + data.len();
        if size > self.bytes.capacity() {
            let capacity = size.max((self.bytes.capacity() * 2).min(size_max));
            self.share.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Reads a whole body, which must arrive at a minimum pace.
pub(crate) async fn read_body<P>(
    state: &EntryState<P>,
    mut body: Body,
) -> Result<CallerBody, ProblemReply> {
    let size_max = usize::try_from(state.settings.body_max).unwrap_or(usize::MAX);
    if body.size_hint().lower() > state.settings.body_max {
        return Err(too_large(size_max));
    }
    let mut read = CallerBody {
        bytes: Vec::new(),
        share: state.bodies.share(),
    };
    let now = Instant::now();
    let rule = TransferRule {
        idle_timeout: IDLE_TIMEOUT,
        deadline: now + BODY_TIMEOUT,
        rate_min: RATE_MIN,
    };
    let mut pace = TransferPace::new(rule, now);
    loop {
        let is_crowded = state.bodies.is_crowded();
        let frame = match timeout_at(pace.next_check(), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(cut(error.to_string())),
            Ok(None) => return Ok(read),
            Err(_) => {
                pace.check(is_crowded, Instant::now())?;
                continue;
            }
        };
        // Trailers are not used.
        if let Ok(data) = frame.into_data() {
            if read.len() + data.len() > size_max {
                return Err(too_large(size_max));
            }
            read.append(&data, size_max)?;
            let now = Instant::now();
            pace.record(data.len(), now);
            pace.check(is_crowded, now)?;
        }
    }
}

fn too_large(size_max: usize) -> ProblemReply {
    let detail = format!("the body may have {size_max} bytes at most");
    ProblemReply::refused(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
}

fn cut(detail: String) -> ProblemReply {
    ProblemReply::refused(StatusCode::BAD_REQUEST, "body-cut", detail)
}

impl From<TransferTooSlow> for ProblemReply {
    fn from(error: TransferTooSlow) -> Self {
        Self::refused(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            error.to_string(),
        )
    }
}

impl From<NoBodyMemory> for ProblemReply {
    fn from(error: NoBodyMemory) -> Self {
        let refusal = Self::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-memory",
            error.to_string(),
        );
        refusal.retry_after(MEMORY_RETRY)
    }
}
