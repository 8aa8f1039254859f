//! The flow of events from one server to the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use domain::{
    event_relay::{EventVerdict, StreamTimeouts},
    run_evidence::SendOutcome,
    server_registry::{RegisteredServer, WorkGuard},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::event_stream::EventCutter;
use tokio::time::Instant;

use super::{AttemptEnd, BROKEN_PAUSE, StreamHead, StreamRun};
use crate::{
    copy_manager::CopyManager,
    reply::StreamChunk,
    server_exchange::{ServerAnswer, keep_link},
};

impl StreamRun {
    pub(super) async fn relay(
        &mut self,
        server: &Arc<RegisteredServer>,
        answer: ServerAnswer,
        work: &mut WorkGuard,
        mut keeper: CopyManager,
    ) -> AttemptEnd {
        let (parts, mut body, link) = answer.split();
        if let Some(head) = self.head.take() {
            let parts = Box::new(parts.clone());
            if head.send(StreamHead::Streaming(parts)).is_err() {
                return AttemptEnd::Ended(SendOutcome::Broken);
            }
        }
        let mut cutter = EventCutter::default();
        let mut begun = false;
        loop {
            let bytes = match self.next_bytes(server, &mut body, begun).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(end) => {
                    server.note_failure(Instant::now(), BROKEN_PAUSE);
                    return AttemptEnd::Ended(end);
                }
            };
            server.note_response(Instant::now());
            let Some(events) = self.take_events(&mut cutter, &bytes) else {
                return AttemptEnd::Ended(SendOutcome::Broken);
            };
            if events.is_empty() {
                continue;
            }
            if !begun {
                begun = true;
                work.finish_prefill();
            }
            // There is no copy before the prompt is read.
            let chosen = || self.choose_holder(server);
            keeper.tend(|holder| self.lives(holder), chosen).await;
            self.copy = keeper.copy().cloned();
            self.note_piece();
            if self.pieces.send(StreamChunk::Events(events)).await.is_err() {
                return AttemptEnd::Ended(SendOutcome::Broken);
            }
        }
        if cutter.has_partial() {
            return AttemptEnd::Ended(SendOutcome::Broken);
        }
        keeper.finish();
        keep_link(&self.state, server, &parts, link);
        AttemptEnd::Complete
    }

    /// Next bytes of a server; none at the end of its answer.
    async fn next_bytes(
        &self,
        server: &RegisteredServer,
        body: &mut Incoming,
        begun: bool,
    ) -> Result<Option<Bytes>, SendOutcome> {
        let route = &self.task.route;
        let patience = if begun {
            StreamTimeouts::between_events(route.gap_target)
        } else {
            StreamTimeouts::before_first_event(route.latency_target)
        };
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.lost(server, patience) => return Err(SendOutcome::Silent),
            };
            return match frame {
                None => Ok(None),
                Some(Err(error)) => {
                    log::debug!(request = self.task.id.as_str(), error:%; "stream broke");
                    Err(SendOutcome::Broken)
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => Ok(Some(bytes)),
                    // Trailers carry nothing that is handed on.
                    Err(_) => continue,
                },
            };
        }
    }

    /// Events of these bytes that the caller lacks; none if one is missing.
    fn take_events(&mut self, cutter: &mut EventCutter, bytes: &[u8]) -> Option<Bytes> {
        let mut taken = BytesMut::with_capacity(bytes.len());
        let mut gap = false;
        let ledger = &mut self.ledger;
        let events = &self.state.metrics.events;
        cutter.push(bytes, |event| {
            if gap {
                return;
            }
            match ledger.accept(event.position) {
                EventVerdict::Deliver => {
                    events.inc();
                    taken.extend_from_slice(event.bytes);
                }
                EventVerdict::Duplicate => {}
                EventVerdict::Gap => gap = true,
            }
        });
        (!gap).then(|| taken.freeze())
    }

    fn note_piece(&mut self) {
        let now = Instant::now();
        let metrics = &self.state.metrics;
        match self.last_piece.replace(now) {
            Some(last) => {
                let gap = now - last;
                self.pace.longest_gap = self.pace.longest_gap.max(gap);
                metrics.event_gap_seconds.observe(gap.as_secs_f64());
            }
            None => {
                let spent = now - self.task.received;
                self.pace.first = Some(spent);
                metrics.first_event_seconds.observe(spent.as_secs_f64());
            }
        }
    }
}
