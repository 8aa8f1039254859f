//! Calls to the plain service beside the agent, and its journal.

use std::{net::SocketAddr, time::Duration};

use domain::service_call::{CallEvidence, JournalLookup};
use exchange::{ExchangeCall, ExchangeClient, ExchangeError};
use http::StatusCode;
use tokio::time::Instant;
use wire::{
    KEY_HEADER, TEAM_HEADER,
    service_call::{CallMessage, request_name},
};

/// Time within which the journal answers, or the server counts as asleep.
const JOURNAL_TIMEOUT: Duration = Duration::from_millis(300);

/// What the service was seen to do.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// What it proves.
    pub evidence: CallEvidence,
    /// Status code of the answer, if one came.
    pub status: u16,
    /// The answer, or what was seen instead.
    pub text: String,
}

/// Client of the service.
pub struct ServiceClient {
    server: SocketAddr,
    run_max: Duration,
    calls: ExchangeClient,
    journal: ExchangeClient,
}

impl ServiceClient {
    /// Client of the service at `server`, which works on a call for `run_max`
    /// at most.
    pub fn new(server: SocketAddr, run_max: Duration) -> Self {
        Self {
            server,
            run_max,
            // A pooled connection may be closed by the service at any moment,
            // which would turn a plain failure into an unknown outcome.
            calls: ExchangeClient::unpooled(),
            journal: ExchangeClient::unpooled(),
        }
    }

    /// Dispatch a call.
    pub async fn send(&self, call: &CallMessage, deadline: Instant) -> CallResult {
        let left = deadline.saturating_duration_since(Instant::now());
        let path = format!("/{}", call.operation);
        let mut request = ExchangeCall::post(self.server, &path)
            .header(TEAM_HEADER, &call.team)
            .body(call.body.as_bytes())
            .timeout(left.min(self.run_max));
        let key = call.key.as_ref().map(|key| request_name(&call.team, key));
        if let Some(key) = &key {
            request = request.header(KEY_HEADER, key);
        }
        match self.calls.send(request).await {
            Ok(reply) => CallResult {
                evidence: CallEvidence::Answered,
                status: reply.status.as_u16(),
                text: String::from_utf8_lossy(&reply.body).into_owned(),
            },
            Err(error) => CallResult {
                evidence: match error {
                    ExchangeError::NotSent { .. } => CallEvidence::ConnectFailed,
                    ExchangeError::Lost { .. } | ExchangeError::Malformed { .. } => {
                        CallEvidence::LostAfterSend
                    }
                },
                status: 0,
                text: error.to_string(),
            },
        }
    }

    /// Ask the journal about a request, `TEAM/KEY`.
    pub async fn read_journal(&self, request: &str) -> JournalLookup {
        let asked_at = Instant::now();
        let path = format!("/v1/journal/{request}");
        let call = ExchangeCall::get(self.server, &path).timeout(JOURNAL_TIMEOUT);
        match self.journal.send(call).await {
            Ok(reply) if reply.status == StatusCode::NOT_FOUND => {
                JournalLookup::NotFound { asked_at }
            }
            Ok(reply) if reply.status.is_success() => JournalLookup::Found {
                status: reply.status.as_u16(),
                answer: String::from_utf8_lossy(&reply.body).into_owned(),
            },
            Ok(_) | Err(_) => JournalLookup::Unavailable,
        }
    }
}
