//! Relay of the events from one server to the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use domain::{
    event_relay::{EventVerdict, StreamTimeouts},
    run_evidence::SendOutcome,
    server_registry::{RegisteredServer, WorkGuard},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::{event_stream::EventSplitter, server_response::is_event_stream};
use tokio::time::Instant;

use super::cost_record::Prefill;
use super::{AttemptEnd, SUSPECT_BASE, StreamHead, StreamRun};
use crate::{
    copy_manager::CopyManager,
    server_exchange::{ServerAnswer, recycle_connection},
    stream_queue::send_piece,
};

/// Events that the caller has not received yet.
struct FilteredEvents {
    bytes: Bytes,
    /// Number of those that are more than a comment.
    progress: u32,
}

impl StreamRun {
    pub(super) async fn relay(
        &mut self,
        server: &Arc<RegisteredServer>,
        answer: ServerAnswer,
        work: &mut WorkGuard,
        mut copies: CopyManager,
        prefill: Prefill,
    ) -> AttemptEnd {
        let (parts, mut body, connection) = answer.split();
        if let Some(head) = self.head.take() {
            let parts = Box::new(parts.clone());
            if head.send(StreamHead::Streaming(parts)).is_err() {
                return AttemptEnd::Ended(SendOutcome::Broken);
            }
        } else if !is_event_stream(&parts.headers) {
            log::warn!(
                request = self.request.id.as_str(),
                server = server.record().instance.as_str();
                "answer to a stream that goes on is no stream"
            );
            return AttemptEnd::Ended(SendOutcome::Broken);
        }
        let mut cutter = EventSplitter::default();
        let mut has_started = false;
        let mut has_acquitted = false;
        let mut progress_at = Instant::now();
        loop {
            let timeouts = self.timeouts(has_started);
            let read = self.read_bytes(server, &mut body, timeouts, progress_at);
            let bytes = match read.await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(outcome) => {
                    server.note_failure(Instant::now(), SUSPECT_BASE);
                    return AttemptEnd::Ended(outcome);
                }
            };
            server.note_response(Instant::now());
            let Some(FilteredEvents {
                bytes: events,
                progress,
            }) = self.filter_events(&mut cutter, &bytes)
            else {
                return AttemptEnd::Ended(SendOutcome::Broken);
            };
            let has_progress = progress > 0;
            if has_progress {
                progress_at = Instant::now();
            } else if self.is_stalled(timeouts, progress_at) {
                server.note_failure(Instant::now(), SUSPECT_BASE);
                return AttemptEnd::Ended(SendOutcome::Silent);
            }
            if events.is_empty() {
                continue;
            }
            if has_progress {
                self.pace.record(progress, progress_at);
            }
            if has_progress && !has_started {
                has_started = true;
                self.progress.first_event_at = Some(Instant::now());
                work.finish_prefill();
                self.record_first_event(server, prefill);
            }
            if !has_acquitted && let Some(begun_at) = self.progress.acquitted_from(Instant::now()) {
                has_acquitted = true;
                let parts = &self.request.shared_parts;
                self.state.crash_watch.acquit(parts, begun_at);
            }
            // A move can copy nothing before the prefill is finished.
            let reserve_holder = || self.reserve_copy_holder(server);
            copies
                .update(|holder| self.is_current(holder), reserve_holder)
                .await;
            self.copy = copies.copy().cloned();
            self.record_chunk();
            self.answer
                .note_events(self.request.sends.budget().runs > 1);
            let sent = send_piece(&self.state.ingress, &self.chunks, events).await;
            if sent.is_err() {
                return AttemptEnd::Ended(SendOutcome::Broken);
            }
        }
        if cutter.has_partial() {
            return AttemptEnd::Ended(SendOutcome::Broken);
        }
        if let Some(head_at) = self.progress.head_at {
            let parts = &self.request.shared_parts;
            self.state.crash_watch.acquit(parts, head_at);
        }
        copies.finish();
        recycle_connection(&self.state, server, &parts, connection);
        AttemptEnd::Complete
    }

    fn timeouts(&self, has_started: bool) -> StreamTimeouts {
        let route = &self.request.route;
        if has_started {
            StreamTimeouts::between_events(route.gap_target)
        } else {
            StreamTimeouts::before_first_event(route.latency_target)
        }
    }

    /// Returns whether the server sends bytes but has completed no new event for so
    /// long that another server is to continue.
    fn is_stalled(&self, timeouts: StreamTimeouts, progress_at: Instant) -> bool {
        progress_at.elapsed() >= timeouts.hang_timeout
            && self.request.route.kind.is_idempotent()
            && self.may_move()
    }

    /// Reads the next bytes of a server's answer; `None` at its end.
    async fn read_bytes(
        &self,
        server: &RegisteredServer,
        body: &mut Incoming,
        timeouts: StreamTimeouts,
        progress_at: Instant,
    ) -> Result<Option<Bytes>, SendOutcome> {
        loop {
            let lost = self.wait_until_lost(server, timeouts, progress_at);
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = lost => return Err(SendOutcome::Silent),
            };
            return match frame {
                None => Ok(None),
                Some(Err(error)) => {
                    log::debug!(request = self.request.id.as_str(), error:%; "stream failed");
                    Err(SendOutcome::Broken)
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => Ok(Some(bytes)),
                    // Trailers are not relayed.
                    Err(_) => continue,
                },
            };
        }
    }

    /// Returns the events in these bytes that the caller has not received, or
    /// `None` if an event is missing or the bytes are no events.
    fn filter_events(
        &mut self,
        cutter: &mut EventSplitter,
        bytes: &[u8],
    ) -> Option<FilteredEvents> {
        let mut accepted = BytesMut::with_capacity(bytes.len());
        let mut has_gap = false;
        let mut progress = 0;
        let cursor = &mut self.cursor;
        let events = &self.state.metrics.events;
        let split = cutter.push(bytes, |event| {
            if has_gap {
                return;
            }
            match cursor.accept(event.position) {
                EventVerdict::Deliver => {
                    events.inc();
                    progress += u32::from(!event.is_comment);
                    accepted.extend_from_slice(event.bytes);
                }
                EventVerdict::Duplicate => {}
                EventVerdict::Gap => has_gap = true,
            }
        });
        if let Err(error) = split {
            log::warn!(request = self.request.id.as_str(), error:%; "stream is not readable");
            return None;
        }
        (!has_gap).then(|| FilteredEvents {
            bytes: accepted.freeze(),
            progress,
        })
    }

    fn record_chunk(&mut self) {
        let now = Instant::now();
        let metrics = &self.state.metrics;
        match self.last_chunk_at.replace(now) {
            Some(last_chunk_at) => {
                let gap = now - last_chunk_at;
                self.timing.longest_gap = self.timing.longest_gap.max(gap);
                metrics.event_gap_seconds.observe(gap.as_secs_f64());
            }
            None => {
                let elapsed = now - self.request.received;
                self.timing.first_event = Some(elapsed);
                metrics.first_event_seconds.observe(elapsed.as_secs_f64());
            }
        }
    }
}
