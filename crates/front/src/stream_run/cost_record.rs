//! What a stream teaches about the cost of requests and the speed of servers.

use std::time::Duration;

use domain::{
    kv_placement::{TokenCounts, usual_first_event},
    server_registry::RegisteredServer,
};
use tokio::time::Instant;

use super::StreamRun;
use crate::placement_query::reserved_tokens;

/// Prefill that a server was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prefill {
    pub(super) tokens: u64,
    pub(super) sent_at: Instant,
    /// Time to the first event at a server of the usual speed, if it can be told.
    pub(super) usual: Option<Duration>,
}

impl StreamRun {
    /// Token counts that are reserved for the request.
    pub(super) fn tokens(&self) -> TokenCounts {
        reserved_tokens(self.request.tokens)
    }

    /// Records the output of a stream that is complete.
    pub(super) fn record_output(&self) {
        if let Some(last) = self.cursor.last_delivered() {
            self.estimate
                .record_output(last.0, self.request.length_hint);
        }
    }

    /// Records at which pace the server produced the events of this attempt.
    pub(super) fn record_pace(&mut self, server: &RegisteredServer) {
        let pace = std::mem::take(&mut self.pace);
        let Some(micros) = pace.micros_per_event() else {
            return;
        };
        let speed = server.speed();
        let ratio = self
            .estimate
            .record_pace(micros, speed.usual_service_time());
        if let Some(ratio) = ratio {
            speed.record_pace(ratio, Instant::now());
        }
    }

    /// Records how long the server took to the first event.
    pub(super) fn record_first_event(&self, server: &RegisteredServer, prefill: Prefill) {
        let elapsed = prefill.sent_at.elapsed();
        self.engines.record_prefill(prefill.tokens, elapsed);
        let ratio = prefill
            .usual
            .and_then(|usual| self.engines.record_delay(usual, elapsed));
        if let Some(ratio) = ratio {
            server.speed().record_prefill(ratio, Instant::now());
        }
    }

    /// Time to the first event at a server of the usual speed, if it can be told before
    /// the request is sent.
    pub(super) fn usual_first_event(
        &self,
        server: &RegisteredServer,
        tokens: u64,
    ) -> Option<Duration> {
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.tried, Instant::now());
        usual_first_event(server, &query, tokens)
    }
}
