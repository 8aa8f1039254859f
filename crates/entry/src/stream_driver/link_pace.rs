//! Moving a generation that is far slower than its peers.
//!
//! The server that is to take it may refuse like any new work: the generation
//! is served where it is, so nothing was promised that only a full server could
//! keep. It leaves its server only when another one has taken it.

use std::{sync::Arc, time::Duration};

use domain::{
    ServerName,
    backend_server::{
        PeerLatency, PeerMedians, PoolServers, ServerNode, StragglerDetector, StragglerVerdict,
    },
};
use tokio::time::Instant;

use super::{CallerEvent, OpenError, StreamDriver};
use crate::{EntryState, load_policy::EntryPolicy};

/// Time between two tries to move a generation.
const MOVE_PAUSE: Duration = Duration::from_millis(50);

/// Pace of a stream, beside that of its server's peers.
pub(super) struct LinkPace {
    watch: StragglerDetector,
    peers: Option<Arc<PeerLatency>>,
    next_move: Instant,
    // Kept apart from the servers that failed: one that refuses a move still
    // takes the generation when its own server fails.
    not_to: Vec<ServerName>,
}

impl LinkPace {
    /// Pace of a new stream from a server that has `tokens` to read first.
    pub(super) fn new<P>(
        state: &EntryState<P>,
        node: &ServerNode,
        opened_at: Instant,
        tokens: usize,
    ) -> Self {
        let servers = state.servers.load();
        let pool = servers.pool(&node.spec().pool);
        Self {
            watch: StragglerDetector::new(opened_at, tokens),
            peers: pool.map(PoolServers::shared_peer_latency),
            next_move: opened_at,
            not_to: vec![node.spec().name.clone()],
        }
    }

    /// A token came; the time to the first one of a small request is returned.
    pub(super) fn heard_token(&mut self, now: Instant) -> Option<Duration> {
        self.watch.record_token(self.medians(), now)
    }

    fn judge(&self, now: Instant) -> StragglerVerdict {
        match self.watch.evaluate(self.medians(), now) {
            StragglerVerdict::Straggling if now < self.next_move => {
                StragglerVerdict::Wait(self.next_move)
            }
            verdict => verdict,
        }
    }

    fn medians(&self) -> PeerMedians {
        let peers = self.peers.as_ref();
        peers.map(|peers| peers.medians()).unwrap_or_default()
    }
}

impl<P: Send + Sync + 'static> StreamDriver<P> {
    /// Judge the pace of the open stream.
    pub(super) fn judge_pace(&self, now: Instant) -> StragglerVerdict {
        let link = self.link.as_ref();
        link.map_or(StragglerVerdict::Unknown, |link| link.pace.judge(now))
    }

    /// Move the generation to a server that is well, if one takes it.
    pub(super) async fn move_on(&mut self, now: Instant) -> Option<CallerEvent> {
        let link = self.link.as_mut()?;
        link.pace.next_move = now + MOVE_PAUSE;
        let slow = Arc::clone(link.guard.node());
        // Before the first token the request may have waited for a slot.
        if let Some(last) = self.last_token_at.filter(|_| !self.is_resuming) {
            slow.record_straggler(now.duration_since(last), now);
        }
        let not_to = &self.link.as_ref()?.pace.not_to;
        let Some(node) = self.faster_node(not_to) else {
            // All were asked, or none is well: they may have room next time.
            self.forget_refusals();
            return None;
        };
        if !self.state.policy.may_move() {
            return None;
        }
        let attempt = self.relay.next_attempt();
        match self.open_attempt(&node, attempt, true).await {
            Ok(events) => {
                let older = self.relay.attempt();
                let control = slow.spec().addresses.control;
                self.state.links.cancel(control, self.generation, older);
                self.relay.complete_move();
                self.exclude(&slow.spec().name);
                self.state.metrics.moves.inc();
                self.is_resuming = true;
                self.link = Some(self.link_to(&node, events, now));
                self.place(&node)
            }
            Err(error) => {
                self.note_refusal(&node, &error);
                None
            }
        }
    }

    fn note_refusal(&mut self, node: &ServerNode, error: &OpenError) {
        let spec = node.spec();
        match error {
            OpenError::Full => self.state.policy.note_move_refused(),
            OpenError::Unreachable(_) => {
                self.state.policy.note_move_refused();
                node.record_failure();
            }
            OpenError::Other(_) => {
                // The attempt may have been started there.
                let attempt = self.relay.next_attempt();
                let control = spec.addresses.control;
                self.state.links.cancel(control, self.generation, attempt);
                node.record_failure();
            }
        }
        if let Some(link) = &mut self.link {
            link.pace.not_to.push(spec.name.clone());
        }
    }

    fn forget_refusals(&mut self) {
        if let Some(link) = &mut self.link {
            link.pace.not_to.truncate(1);
        }
    }
}
