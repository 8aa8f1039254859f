//! Finding a server for the next attempt and opening a stream there.

use std::{sync::Arc, time::Duration};

use domain::{
    AttemptNumber, ServerName, TokenPosition,
    backend_server::{SelectionQuery, ServerNode},
    generation_stream::{LossAction, StreamMonitor},
};
use exchange::{EventStream, ExchangeCall, ExchangeError};
use http::StatusCode;
use tokio::time::Instant;
use wire::stream::OpenMessage;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    CallerEvent, EXCLUDED_MAX, LinkTarget, OpenError, StreamDriver, StreamLink, link_pace::LinkPace,
};

/// Pause before servers are tried again when none could be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two signs to a caller whose generation waits for its turn.
const WAITING_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes at a prompt's beginning by which servers that cached it are found.
const PREFIX_BYTES: usize = 512;

impl<P: Send + Sync + 'static> StreamDriver<P> {
    pub(super) async fn connect(&mut self) -> Option<CallerEvent> {
        let opened_at = Instant::now();
        if self.relay.has_timed_out(opened_at) {
            return Some(self.give_up());
        }
        if let Some(turn) = &mut self.turn {
            // An error means that the queue has ended; nothing is waited for.
            if tokio::time::timeout(WAITING_INTERVAL, turn).await.is_err() {
                return Some(CallerEvent::Waiting);
            }
            self.turn = None;
        }
        let opened_at = Instant::now();
        if self.excluded.len() >= EXCLUDED_MAX {
            return self.wait_for_server().await;
        }
        let is_reconnect = matches!(self.target, LinkTarget::Same(_));
        let Some(node) = self.next_node() else {
            return self.wait_for_server().await;
        };
        match self.open_at(&node).await {
            Ok(events) => {
                self.link = Some(self.link_to(&node, events, opened_at));
                self.place(&node)
            }
            Err(reason) => {
                log::warn!(
                    request:% = self.generation, attempt:% = self.relay.attempt();
                    "no stream from {}: {reason}", node.spec().name
                );
                if is_reconnect {
                    match self.relay.on_server_lost(Instant::now()) {
                        LossAction::Resume(attempt) => self.leave(&node, attempt),
                        LossAction::Reconnect | LossAction::GiveUp => self.target = LinkTarget::Any,
                    }
                } else {
                    self.exclude(&node.spec().name);
                    if matches!(reason, OpenError::Full) {
                        tokio::time::sleep(RETRY_PAUSE).await;
                        return Some(CallerEvent::Waiting);
                    }
                    node.record_failure();
                }
                None
            }
        }
    }

    pub(super) fn link_to(
        &self,
        node: &Arc<ServerNode>,
        events: EventStream,
        opened_at: Instant,
    ) -> StreamLink {
        StreamLink {
            events,
            guard: node.begin_request(),
            watch: StreamMonitor::new(opened_at),
            pace: LinkPace::new(&self.state, node, opened_at, self.unread_tokens()),
        }
    }

    /// Tell a caller that has tokens where to come back to from now on.
    pub(super) fn place(&self, node: &ServerNode) -> Option<CallerEvent> {
        let next = self.relay.log().next_position();
        (next > TokenPosition(0)).then(|| CallerEvent::Moved {
            next,
            server: node.spec().name.clone(),
        })
    }

    pub(super) fn next_node(&mut self) -> Option<Arc<ServerNode>> {
        if let LinkTarget::Same(node) = &self.target {
            return Some(Arc::clone(node));
        }
        // The pool that it began with, whatever later notes say of the model.
        let servers = self.state.servers.load();
        if self.is_keyed
            && let Some(node) = self.keyed_node(servers.nodes())
        {
            return Some(Arc::clone(node));
        }
        let query = SelectionQuery {
            pool: &self.pool,
            exclude: &self.excluded,
            prefix: prefix_of(&self.open.prompt),
            is_move: false,
            now: Instant::now(),
        };
        servers
            .select(&self.state.policy, &query, &mut rand::rng())
            .cloned()
    }

    /// The server that the identity hashes to, among those that are well.
    fn keyed_node<'a>(&self, nodes: &'a [Arc<ServerNode>]) -> Option<&'a Arc<ServerNode>> {
        let identity = self.generation.0.to_be_bytes();
        let can_take = |node: &&Arc<ServerNode>| {
            let spec = node.spec();
            spec.pool == self.pool && !node.is_leaving() && !self.excluded.contains(&spec.name)
        };
        nodes.iter().filter(can_take).max_by_key(|node| {
            let name = node.spec().name.as_str();
            xxh3_64_with_seed(name.as_bytes(), xxh3_64(&identity))
        })
    }

    /// A server that is well, for a generation that leaves a slow one.
    pub(super) fn faster_node(&self, exclude: &[ServerName]) -> Option<Arc<ServerNode>> {
        let query = SelectionQuery {
            pool: &self.pool,
            exclude,
            prefix: None,
            is_move: true,
            now: Instant::now(),
        };
        let servers = self.state.servers.load();
        servers
            .select(&self.state.policy, &query, &mut rand::rng())
            .cloned()
    }

    /// Open a stream of the current attempt.
    pub(super) async fn open_at(&self, node: &ServerNode) -> Result<EventStream, OpenError> {
        self.open_attempt(node, self.relay.attempt(), false).await
    }

    pub(super) async fn open_attempt(
        &self,
        node: &ServerNode,
        attempt: AttemptNumber,
        is_move: bool,
    ) -> Result<EventStream, OpenError> {
        let open = OpenMessage {
            attempt: attempt.0,
            is_move,
            delivered: self
                .relay
                .log()
                .tokens_from(TokenPosition(0))
                .map(str::to_owned)
                .collect(),
            ..self.open.clone()
        };
        let call = ExchangeCall::post(node.spec().addresses.stream, "/v1/generations")
            .json(&open)
            .timeout(self.state.silence.first_event_timeout);
        match self.state.streams.open_events(call).await {
            Ok(Ok(events)) => Ok(events),
            Ok(Err(reply)) => {
                if reply.status == StatusCode::SERVICE_UNAVAILABLE {
                    node.set_leaving(true);
                }
                if reply.status == StatusCode::TOO_MANY_REQUESTS {
                    return Err(OpenError::Full);
                }
                Err(OpenError::Other(format!(
                    "refused with status {}",
                    reply.status
                )))
            }
            Err(error @ ExchangeError::NotSent { .. }) => Err(OpenError::Unreachable(error)),
            Err(error) => Err(OpenError::Other(error.to_string())),
        }
    }

    /// No server can be tried: wait and try all of them again.
    async fn wait_for_server(&mut self) -> Option<CallerEvent> {
        self.excluded.clear();
        tokio::time::sleep(RETRY_PAUSE).await;
        Some(CallerEvent::Waiting)
    }
}

/// Hash of a prompt's beginning, if it is long enough to be worth caching.
fn prefix_of(prompt: &str) -> Option<u64> {
    let bytes = prompt.as_bytes();
    (bytes.len() >= PREFIX_BYTES).then(|| xxh3_64(&bytes[..PREFIX_BYTES]))
}
