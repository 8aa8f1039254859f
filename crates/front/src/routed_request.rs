//! A caller's request, authorized and ready to be sent to a server.

use std::{sync::Arc, time::Duration};

use domain::{
    PartDigest, PromptPart, RequestId, ServerName, ServiceName, TeamName,
    desired_state::RouteSpec,
    event_relay::EventPosition,
    kv_placement::TokenCounts,
    run_evidence::SendLedger,
    server_registry::RegisteredServer,
    urgency::{RequestStage, ServerRank, Urgency, UrgencyClass},
};
use http::{HeaderMap, Method, uri::PathAndQuery};
use platform::server_request::ServerHeaders;
use tokio::time::Instant;

use crate::{backend_connection::RequestBody, drain_clock::DrainClock};

/// A request together with its route.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) id: RequestId,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// Headers that may be sent to any server.
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    /// Effective priority.
    pub(crate) urgency: Urgency,
    /// Place among the requests of its service; `None` if they are equally urgent.
    pub(crate) class: Option<UrgencyClass>,
    pub(crate) tokens: Option<TokenCounts>,
    /// The caller's estimate of the number of output tokens.
    pub(crate) length_hint: Option<u64>,
    /// Last part of the prompt.
    pub(crate) prompt: Option<PromptPart>,
    /// The other parts of the prompt.
    pub(crate) shared_parts: Arc<[PartDigest]>,
    /// Position after which the caller resumes the stream.
    pub(crate) position: Option<EventPosition>,
    pub(crate) received: Instant,
    /// End of the caller's time limit or the route's, whichever is earlier.
    pub(crate) deadline: Instant,
    /// Its sends so far.
    pub(crate) sends: SendLedger,
}

impl RoutedRequest {
    /// Time left until the deadline.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns whether a drain leaves the request time to be passed on at `now`. One that
    /// a server may have already goes on until the drain cuts it off.
    pub(crate) fn is_admitted(&self, drain: &DrainClock, now: Instant) -> bool {
        self.sends.budget().runs > 0 || drain.admits(now, self.route.kind, self.remaining(now))
    }

    /// Whether a server may have run it, or its caller resumes it.
    pub(crate) fn stage(&self) -> RequestStage {
        let has_begun = self.position.is_some() || self.sends.budget().runs > 0;
        if self.route.kind.is_stream() && has_begun {
            RequestStage::Resumed
        } else {
            RequestStage::New
        }
    }

    /// Rank at a server; `None` if the requests of its service are equally urgent.
    pub(crate) fn server_rank(&self) -> Option<ServerRank> {
        self.class.map(|class| class.server_rank(self.stage()))
    }

    /// Order to a server with only the target instance, the team, the time left and
    /// the rank.
    pub(crate) fn order<'a>(
        &'a self,
        server: &'a RegisteredServer,
        now: Instant,
    ) -> ServerHeaders<'a> {
        ServerHeaders {
            instance: instance(server),
            team: self.team.as_ref(),
            time_left: self.remaining(now),
            priority: self.server_rank().map(u8::from),
            position: None,
            kv_backup: None,
            kv_source: None,
            kv_fetch: None,
        }
    }
}

fn instance(server: &RegisteredServer) -> &ServerName {
    &server.record().instance
}
