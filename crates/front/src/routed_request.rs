//! One request of a caller, checked and ready to be sent.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{
    PromptPart, RequestId, ServerName, ServiceName, TeamName, desired_state::RouteSpec,
    event_relay::EventPosition, kv_placement::TokenCounts, server_registry::RegisteredServer,
};
use http::{HeaderMap, Method, uri::PathAndQuery};
use platform::worker_request::WorkerOrder;
use tokio::time::Instant;

/// A request with its route.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) id: RequestId,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// Headers that any server may get.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    pub(crate) tokens: Option<TokenCounts>,
    /// Last part of the prompt.
    pub(crate) prompt: Option<PromptPart>,
    /// Position after which the caller wants the stream.
    pub(crate) position: Option<EventPosition>,
    pub(crate) received: Instant,
    /// When the caller's patience or the route's time ends.
    pub(crate) deadline: Instant,
}

impl RoutedRequest {
    /// Time left.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Plain order to a server: who is meant, for whom, and for how long.
    pub(crate) fn order<'a>(
        &'a self,
        server: &'a RegisteredServer,
        now: Instant,
    ) -> WorkerOrder<'a> {
        WorkerOrder {
            instance: instance(server),
            team: self.team.as_ref(),
            left: self.left(now),
            priority: None,
            position: None,
            backup: None,
            source: None,
            fetch: None,
        }
    }
}

fn instance(server: &RegisteredServer) -> &ServerName {
    &server.record().instance
}
