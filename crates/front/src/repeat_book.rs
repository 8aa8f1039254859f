//! Repeats of plain calls after server errors, by route.

use std::{sync::Arc, time::Duration};

use domain::{
    kv_placement::LoadReport, repeat_odds::RepeatOdds, run_evidence::SendOutcome,
    server_registry::RegisteredServer,
};
use tokio::time::Instant;

use crate::{front_state::FrontState, routed_request::RoutedRequest};

/// Age up to which a load report tells whether a server is busy: several times the
/// latency target of a plain call.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);

/// Odds of repeats by the name of the route.
#[derive(Debug, Default)]
pub(crate) struct RepeatBook {
    routes: papaya::HashMap<Box<str>, Arc<RepeatOdds>>,
}

impl RepeatBook {
    /// Records how a send ended that repeated a call after a server error.
    pub(crate) fn record(&self, request: &RoutedRequest, outcome: SendOutcome, now: Instant) {
        if let SendOutcome::Answered { server_error } = outcome {
            self.odds(request, now).record(!server_error, now);
        }
    }

    fn odds(&self, request: &RoutedRequest, now: Instant) -> Arc<RepeatOdds> {
        let routes = self.routes.pin();
        let name = request.route.name.clone();
        Arc::clone(routes.get_or_insert_with(name, || Arc::new(RepeatOdds::new(now))))
    }
}

/// Whether a call that a server answered with an error is worth a repeat now. Calls that
/// ended otherwise always are.
pub(crate) fn is_worth_repeating(
    state: &FrontState,
    request: &RoutedRequest,
    outcome: SendOutcome,
    now: Instant,
) -> bool {
    if outcome != (SendOutcome::Answered { server_error: true }) {
        return true;
    }
    let odds = state.repeats.odds(request, now);
    let registry = state.registry.load();
    let domains = registry.ready_servers(&request.service).iter();
    let servers = domains.flat_map(|domain| &domain.servers);
    let is_worth = odds.is_worth(servers.filter_map(|server| recent_load(server, now)), now);
    if !is_worth {
        state.metrics.repeats_skipped.inc();
        log::info!(
            request = request.id.as_str(),
            route = request.route.name.as_ref(),
            odds_percent = (odds.probability(now) * 100.0) as u64;
            "call not repeated"
        );
    }
    is_worth
}

fn recent_load(server: &RegisteredServer, now: Instant) -> Option<LoadReport> {
    let (report, age) = server.report(now)?;
    (server.is_available(now) && age < REPORT_AGE_MAX).then_some(report)
}
