//! Answers where a request would go now and why, from the state that the entry has.
//! Nothing is sent to a server, so the servers' loads are those last reported; a stream
//! that is really sent queries a few candidates first.

use derive_more::{Display, Error, From};
use domain::{
    PartDigest, ServiceName, TeamName,
    desired_state::{DesiredState, RouteDecision, RouteQuery, RouteSpec, WeightedService},
    entry_drain::DrainPhase,
    kv_placement::{
        ExplainedServer, PlacementQuery, ServiceOutlook, TokenCounts, explain_servers, is_hopeless,
    },
    server_registry::{SendBlock, ServerState},
};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;
use wire::explain::{
    ExplainMessage, ExplanationMessage, OutcomeMessage, QuestionFault, ServerExplanation,
    ServiceExplanation,
};

use crate::{
    front_state::FrontState,
    placement_query::{QueryContext, call_query, reserved_tokens, stream_query},
};

/// Servers in an explanation of a service.
const SERVERS_MAX: usize = 200;

/// Mistake in a question, or a reason for which it has no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ExplainFault {
    /// The question cannot be read.
    #[display("{_0}")]
    Question(QuestionFault),
    /// No desired state is known.
    #[display("this entry has no desired state yet")]
    #[from(skip)]
    NoState,
    /// Neither a route nor a host and a path are given.
    #[display("name a `route`, or a `host` and a `path`")]
    #[from(skip)]
    NoTarget,
    /// Both a route and a host or path are given.
    #[display("name either a `route` or a `host` and a `path`, not both")]
    #[from(skip)]
    TwoTargets,
    /// There is no route of that name.
    #[display("no route is named `{name}`; there are: {known}")]
    #[from(skip)]
    UnknownRoute {
        /// Name that was given.
        name: String,
        /// Names of the routes.
        known: String,
    },
    /// No route matches.
    #[display("no route matches host `{host}` and path `{path}`")]
    #[from(skip)]
    NoRoute {
        /// Host that was given.
        host: String,
        /// Path that was given.
        path: String,
    },
    /// The route requires an API key, and none was given.
    #[display("the route requires a `key`")]
    #[from(skip)]
    MissingKey,
    /// The key belongs to no team.
    #[display("the `key` belongs to no team")]
    #[from(skip)]
    UnknownKey,
}

/// A request's route, and who sends it.
struct ExplainedRoute {
    route: Arc<RouteSpec>,
    team: Option<TeamName>,
    priority: u8,
}

/// Explains the request that a query describes.
pub(crate) fn explain(state: &FrontState, query: &str) -> Result<ExplanationMessage, ExplainFault> {
    let question = ExplainMessage::from_query(query)?;
    let desired = state.desired.load_full().ok_or(ExplainFault::NoState)?;
    let ExplainedRoute {
        route,
        team,
        priority,
    } = find_route(&desired, &question)?;
    let weights: f64 = route.targets.iter().map(|target| target.weight).sum();
    let explain_target = |target: &WeightedService| {
        let mut service = explain_service(state, &route, &target.service, &question);
        service.share_percent = target.weight / weights * 100.0;
        service
    };
    Ok(ExplanationMessage {
        route: route.name.to_string(),
        team: team.map(|team| team.to_string()),
        priority,
        services: route.targets.iter().map(explain_target).collect(),
    })
}

/// A route that is named is explained without a key, too.
fn find_route(
    desired: &DesiredState,
    question: &ExplainMessage,
) -> Result<ExplainedRoute, ExplainFault> {
    let key = question.key.as_deref();
    let named = match (&question.route, &question.host, &question.path) {
        (Some(name), None, None) => Some(named_route(desired, name)?),
        (None, Some(_), Some(_)) => None,
        (Some(_), _, _) => return Err(ExplainFault::TwoTargets),
        _ => return Err(ExplainFault::NoTarget),
    };
    if let (Some(route), None) = (&named, key) {
        return Ok(ExplainedRoute {
            priority: route.priority,
            route: Arc::clone(route),
            team: None,
        });
    }
    let text = |text: &Option<String>| text.as_deref().unwrap_or_default().to_owned();
    let (host, path) = match &named {
        Some(route) => (route.host.to_string(), route.prefix.to_string()),
        None => (text(&question.host), text(&question.path)),
    };
    let query = RouteQuery {
        host: &host,
        path: &path,
        key,
    };
    match desired.authorize(query) {
        RouteDecision::Allowed {
            route,
            team,
            urgency,
        } => Ok(ExplainedRoute {
            route,
            team,
            priority: u8::from(urgency),
        }),
        RouteDecision::NoRoute => Err(ExplainFault::NoRoute { host, path }),
        RouteDecision::UnknownKey if key.is_none() => Err(ExplainFault::MissingKey),
        RouteDecision::UnknownKey => Err(ExplainFault::UnknownKey),
    }
}

fn named_route(desired: &DesiredState, name: &str) -> Result<Arc<RouteSpec>, ExplainFault> {
    let routes = desired.routes();
    let found = routes.iter().find(|route| *route.name == *name);
    found
        .map(|route| Arc::clone(route))
        .ok_or_else(|| ExplainFault::UnknownRoute {
            name: name.to_owned(),
            known: routes
                .iter()
                .map(|route| route.name.as_ref())
                .collect::<Vec<_>>()
                .join(", "),
        })
}

fn explain_service(
    state: &FrontState,
    route: &RouteSpec,
    service: &ServiceName,
    question: &ExplainMessage,
) -> ServiceExplanation {
    let now = Instant::now();
    let settings = state.settings.load();
    let registry = state.registry.load();
    let servers = registry.ready_servers(service);
    let context = QueryContext {
        own_domain: &settings.domain,
        tried: &[],
        now,
    };
    let stated = question
        .tokens
        .map(|(prompt, output)| TokenCounts::new(prompt, output));
    let tokens = route.kind.is_stream().then(|| reserved_tokens(stated));
    let query = match tokens {
        Some(tokens) => stream_query(state, service, tokens, None, context),
        None => call_query(state, service, route, context),
    };
    let explained = explain_servers(servers, &query);
    let (outcome, reason) = held_part(state, question)
        .or_else(|| leaving_entry(state, now))
        .unwrap_or_else(|| {
            let outlook = ServiceOutlook::new(servers, now);
            judge(route, &explained, &query, outlook)
        });
    let draining = registry.all().filter(|server| {
        let record = server.record();
        record.service == *service && record.state == ServerState::Draining
    });
    let mut found: Vec<ServerExplanation> = explained
        .iter()
        .map(|explained| describe(explained, now))
        .collect();
    found.extend(draining.map(|server| {
        let explained = ExplainedServer {
            server,
            terms: Err(SendBlock::Leaving),
        };
        ServerExplanation {
            excluded: Some("registered as draining".to_owned()),
            ..describe(&explained, now)
        }
    }));
    let omitted = found.len().saturating_sub(SERVERS_MAX);
    found.truncate(SERVERS_MAX);
    ServiceExplanation {
        service: service.to_string(),
        share_percent: 100.0,
        outcome,
        reason,
        tokens: tokens.map(|tokens| (tokens.prompt, tokens.output)),
        servers: found,
        omitted,
    }
}

/// A part of the prompt for which requests are held back.
fn held_part(state: &FrontState, question: &ExplainMessage) -> Option<(OutcomeMessage, String)> {
    let held = state.crash_watch.held();
    let found = question
        .parts
        .iter()
        .find(|part| held.find(&[PartDigest::of(part)]).is_some())?;
    let reason = format!("part `{found}` of the prompt is held back because servers crashed on it");
    Some((OutcomeMessage::Refused, reason))
}

fn leaving_entry(state: &FrontState, now: Instant) -> Option<(OutcomeMessage, String)> {
    let phase = state.phase(now);
    (phase >= DrainPhase::Leaving && phase != DrainPhase::Serving).then(|| {
        let reason = format!("this entry is draining ({phase:?})");
        (OutcomeMessage::Refused, reason)
    })
}

/// Whether the request would be sent to the best server, wait or be refused.
fn judge(
    route: &RouteSpec,
    explained: &[ExplainedServer<'_>],
    query: &PlacementQuery<'_>,
    outlook: ServiceOutlook,
) -> (OutcomeMessage, String) {
    let best = explained.first().filter(|best| best.terms.is_ok());
    let Some(best) = best else {
        let reason = match outlook {
            ServiceOutlook::Open if explained.is_empty() => "no server is registered as ready",
            ServiceOutlook::Open => "the servers at their addresses have changed",
            ServiceOutlook::Paused(_) => "all servers asked for a pause or are at their limit",
            ServiceOutlook::Leaving => "all servers are leaving",
        };
        let outcome = match outlook {
            ServiceOutlook::Leaving => OutcomeMessage::Refused,
            _ => OutcomeMessage::Waits,
        };
        return (outcome, reason.to_owned());
    };
    let target = route.latency_target.unwrap_or(Duration::MAX);
    if query.tokens.is_some() && is_hopeless(best.server, query, target) {
        let reason = "its first event would be late even at the best server";
        return (OutcomeMessage::Refused, reason.to_owned());
    }
    let instance = &best.server.record().instance;
    let reason = format!("`{}` has the lowest cost", instance.as_str());
    (OutcomeMessage::Sent, reason)
}

fn describe(explained: &ExplainedServer<'_>, now: Instant) -> ServerExplanation {
    let server = explained.server;
    let record = server.record();
    let report = server.report(now).map(|(report, age)| {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        (report.running, report.waiting, age_ms)
    });
    ServerExplanation {
        instance: record.instance.to_string(),
        address: record.address.to_string(),
        domain: record.domain.to_string(),
        speed_percent: server.speed().ratio_percent(now),
        report,
        excluded: explained.terms.err().map(|block| block_reason(block, now)),
        cost: explained.terms.ok().map(Into::into),
    }
}

fn block_reason(block: SendBlock, now: Instant) -> String {
    let in_ms = |end: Instant| end.saturating_duration_since(now).as_millis();
    match block {
        SendBlock::Superseded => "another instance answers at its address".to_owned(),
        SendBlock::Leaving => "it announced that it is leaving".to_owned(),
        SendBlock::Paused(end) => format!("it asked for a pause, for another {} ms", in_ms(end)),
        SendBlock::Limited(end) => format!("its limit is spent for another {} ms", in_ms(end)),
    }
}
