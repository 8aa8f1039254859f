//! Reading of callers' bodies into charged memory.

use domain::{
    desired_state::CallerLimits,
    ingress_budget::{NoBodyMemory, TransferPace, TransferRule, TransferTooSlow},
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::{
    backend_connection::RequestBody, ingress::Ingress, reply::ReplyReason, stored_body::BodyBuffer,
};

/// Reads a whole body. Its memory is charged until the returned body is dropped.
pub(crate) async fn read_body(
    ingress: &Ingress,
    limits: CallerLimits,
    deadline: Instant,
    mut body: Incoming,
) -> Result<RequestBody, ReplyReason> {
    // Nothing is read, so that no caller is asked to go on (100 Continue).
    if body.size_hint().lower() > limits.body_bytes_max as u64 {
        return Err(ReplyReason::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let mut buffer = BodyBuffer::new(announced_length(&body), ingress.bodies.share());
    let mut pace = TransferPace::new(transfer_rule(limits, deadline), Instant::now());
    loop {
        let frame = match timeout_at(pace.next_check(), body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|_| ReplyReason::Malformed)?,
            Ok(None) => return Ok(buffer.finish()),
            Err(_) => {
                pace.check(ingress.is_crowded(), Instant::now())?;
                continue;
            }
        };
        // Trailers are not forwarded.
        if let Ok(data) = frame.into_data() {
            if buffer.len() + data.len() > limits.body_bytes_max {
                return Err(ReplyReason::TooLarge);
            }
            buffer.append(&data)?;
            let now = Instant::now();
            pace.record(data.len(), now);
            pace.check(ingress.is_crowded(), now)?;
        }
    }
}

fn announced_length(body: &Incoming) -> Option<usize> {
    let length = body.size_hint().exact()?;
    usize::try_from(length).ok()
}

/// The slowest pace is the one at which the limits let a head arrive.
fn transfer_rule(limits: CallerLimits, deadline: Instant) -> TransferRule {
    let idle_seconds = limits.idle_timeout.as_secs_f64().max(1.0);
    TransferRule {
        idle_timeout: limits.idle_timeout,
        deadline,
        rate_min: (limits.header_bytes_max as f64 / idle_seconds) as usize,
    }
}

impl From<TransferTooSlow> for ReplyReason {
    fn from(_: TransferTooSlow) -> Self {
        Self::TooSlow
    }
}

impl From<NoBodyMemory> for ReplyReason {
    fn from(_: NoBodyMemory) -> Self {
        Self::NoMemory
    }
}
