//! Moving a generation that is far slower than its peers.

use std::sync::Arc;

use domain::{
    AttemptNumber,
    backend_server::{PaceVerdict, PaceWatch, PoolServers, ServerNode},
    generation_stream::LossAction,
};
use tokio::time::Instant;

use super::{LinkTarget, StreamDriver};
use crate::{EntryState, load_policy::EntryPolicy};

/// Pace of a stream, beside that of its server's peers.
pub(super) struct LinkPace {
    watch: PaceWatch,
    peers: Option<Arc<domain::backend_server::PeerPace>>,
}

impl LinkPace {
    /// Pace of a new stream from a server.
    pub(super) fn new<P>(state: &EntryState<P>, node: &ServerNode) -> Self {
        let servers = state.servers.load();
        let pool = servers.pool(&node.spec().pool);
        Self {
            watch: PaceWatch::default(),
            peers: pool.map(PoolServers::shared_pace),
        }
    }

    /// A token came.
    pub(super) fn heard_token(&mut self, now: Instant) {
        let median = self.peers.as_ref().and_then(|peers| peers.median());
        self.watch.heard_token(median, now);
    }

    fn judge(&self, now: Instant) -> PaceVerdict {
        let median = self.peers.as_ref().and_then(|peers| peers.median());
        self.watch.judge(median, now)
    }
}

impl<P: Send + Sync + 'static> StreamDriver<P> {
    /// Time to look again, at `wake` at the latest; nothing if the generation
    /// left its server for being slow.
    pub(super) fn judge_pace(&mut self, wake: Instant, now: Instant) -> Option<Instant> {
        let verdict = match &self.link {
            Some(link) => link.pace.judge(now),
            None => return None,
        };
        match verdict {
            PaceVerdict::Wait(until) => Some(wake.min(until)),
            PaceVerdict::Unknown => Some(wake),
            PaceVerdict::Behind if !self.state.policy.may_move() => Some(wake),
            PaceVerdict::Behind => {
                self.leave_slow(now);
                None
            }
        }
    }

    fn leave_slow(&mut self, now: Instant) {
        let Some(link) = self.link.take() else {
            return;
        };
        self.target = LinkTarget::Any;
        let LossAction::Resume(attempt) = self.relay.lost_server(now) else {
            return;
        };
        self.state.metrics.moves.inc();
        let spec = link.guard.node().spec();
        let older = AttemptNumber(attempt.0 - 1);
        let control = spec.addresses.control;
        self.state.links.cancel(control, self.generation, older);
        self.exclude(&spec.name);
        if let Some(last) = self.last_token_at {
            let node = link.guard.node();
            node.note_token_gap(now.duration_since(last), now);
        }
        self.is_resuming = true;
    }
}
