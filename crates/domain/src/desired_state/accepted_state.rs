//! One version of the desired state as accepted by the store, and request
//! authorization against it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{ApiKey, CallerLimits, RouteSpec, ServiceSpec};
use crate::{
    ModelName, ServiceName, TeamName,
    store_position::StorePosition,
    urgency::{ServiceRanks, Urgency, UrgencyClass},
};

/// Version of an accepted desired state. The operator's number decides which of two
/// states is newer: a store that comes back from an older copy gives out row versions
/// again. The row's version decides among states of the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StateVersion {
    /// Version number assigned by the operator.
    pub number: u64,
    /// Version of the store row that holds the state.
    pub row: StorePosition,
}

impl StateVersion {
    /// Whether a store that shows this version confirms that there is none after `known`.
    /// One that came back from an older copy does not.
    pub fn confirms(self, known: Self) -> bool {
        self.number >= known.number
    }
}

/// A team and its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Keys with which its callers authenticate.
    pub keys: Vec<ApiKey>,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Team to which an API key belongs, and the priority of that team.
#[derive(Clone, Debug)]
struct KeyOwner {
    team: TeamName,
    priority: Option<u8>,
}

/// One complete version of the desired state.
#[derive(Debug)]
pub struct DesiredState {
    version: StateVersion,
    routes: HashMap<Box<str>, Vec<Arc<RouteSpec>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    keys: Option<HashMap<ApiKey, KeyOwner>>,
    ranks: HashMap<ServiceName, ServiceRanks>,
    limits: CallerLimits,
}

/// The parts of a request that determine its route and team.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Host, without the port.
    pub host: &'a str,
    /// Path of the URL.
    pub path: &'a str,
    /// API key, if the request has one.
    pub key: Option<&'a str>,
}

/// Result of matching a request against the desired state.
#[derive(Clone, Debug)]
pub enum RouteDecision {
    /// A route matches, and its access rules allow the request.
    Allowed {
        /// Matching route.
        route: Arc<RouteSpec>,
        /// Team of the API key; `None` on a public route or if no teams are
        /// configured.
        team: Option<TeamName>,
        /// Effective priority.
        urgency: Urgency,
    },
    /// No route matches.
    NoRoute,
    /// The API key is missing or belongs to no team.
    UnknownKey,
}

impl DesiredState {
    /// Creates a version. Routes of a host are matched longest prefix first;
    /// `teams` is `None` if no API keys are required.
    pub fn new(
        version: StateVersion,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        teams: Option<Vec<TeamSpec>>,
        limits: CallerLimits,
    ) -> Self {
        let ranks = rank_services(&routes, teams.as_deref());
        let mut by_host: HashMap<Box<str>, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            keys: teams.map(|teams| teams.iter().flat_map(key_owners).collect()),
            ranks,
            limits,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> StateVersion {
        self.version
    }

    /// Returns the limits on requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the class of a request among those of its service; `None` if all of them
    /// are equally urgent.
    pub fn urgency_class(&self, service: &ServiceName, urgency: Urgency) -> Option<UrgencyClass> {
        self.ranks.get(service)?.class(urgency)
    }

    /// Returns whether these models identify a server as one of `service`: at
    /// least one of the models is served by `service` and by no other service.
    pub fn models_identify_service(&self, service: &ServiceName, models: &[ModelName]) -> bool {
        let serves = |spec: &ServiceSpec, model: &ModelName| {
            let engine = spec.engine.as_ref();
            engine.is_some_and(|engine| engine.models.contains(model))
        };
        models.iter().any(|model| {
            let mut serving = self.services.values().filter(|spec| serves(spec, model));
            serving.next().is_some_and(|spec| spec.name == *service) && serving.next().is_none()
        })
    }

    /// Returns the latency target of the route with this name.
    pub fn latency_target(&self, route: &str) -> Option<Duration> {
        let mut routes = self.routes.values().flatten();
        routes
            .find(|spec| spec.name.as_ref() == route)?
            .latency_target
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the routes in the order of their names.
    pub fn routes(&self) -> Vec<&Arc<RouteSpec>> {
        let mut routes: Vec<&Arc<RouteSpec>> = self.routes.values().flatten().collect();
        routes.sort_by(|one, other| one.name.cmp(&other.name));
        routes
    }

    /// Returns whether this version is newer than `current`.
    pub fn supersedes(&self, current: Option<&Self>) -> bool {
        current.is_none_or(|current| self.version > current.version)
    }

    /// Finds the route and the team of a request.
    pub fn authorize(&self, query: RouteQuery<'_>) -> RouteDecision {
        let Some(route) = self.match_route(query.host, query.path) else {
            return RouteDecision::NoRoute;
        };
        let route = Arc::clone(route);
        let Some(keys) = self.keys.as_ref().filter(|_| !route.public) else {
            return RouteDecision::Allowed {
                urgency: Urgency::from(route.priority),
                route,
                team: None,
            };
        };
        match query.key.and_then(|key| keys.get(key)) {
            Some(owner) => RouteDecision::Allowed {
                urgency: Urgency::effective(route.priority, owner.priority),
                route,
                team: Some(owner.team.clone()),
            },
            None => RouteDecision::UnknownKey,
        }
    }

    fn match_route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }
}

/// Collects the urgencies that requests of each service can have.
fn rank_services(
    routes: &[RouteSpec],
    teams: Option<&[TeamSpec]>,
) -> HashMap<ServiceName, ServiceRanks> {
    let mut kinds: HashMap<ServiceName, Vec<(Urgency, Option<Duration>)>> = HashMap::new();
    for route in routes {
        let urgencies: Vec<Urgency> = match teams.filter(|_| !route.public) {
            None => vec![Urgency::from(route.priority)],
            Some(teams) => teams
                .iter()
                .filter(|team| !team.keys.is_empty())
                .map(|team| Urgency::effective(route.priority, team.priority))
                .collect(),
        };
        for target in route.targets.iter().filter(|target| target.weight > 0.0) {
            let kinds = kinds.entry(target.service.clone()).or_default();
            kinds.extend(
                urgencies
                    .iter()
                    .map(|urgency| (*urgency, route.latency_target)),
            );
        }
    }
    kinds
        .into_iter()
        .map(|(service, kinds)| (service, kinds.into_iter().collect()))
        .collect()
}

fn key_owners(team: &TeamSpec) -> impl Iterator<Item = (ApiKey, KeyOwner)> {
    team.keys.iter().map(|key| {
        let owner = KeyOwner {
            team: team.name.clone(),
            priority: team.priority,
        };
        (key.clone(), owner)
    })
}

/// How recently the known version was confirmed as the newest one.
#[derive(Clone, Copy, Debug)]
pub struct StateFreshness {
    /// When the latest successful poll of the store was sent; `None` if there was
    /// none.
    pub confirmed_at: Option<Instant>,
    /// Time within which processes must apply a new version.
    pub apply_limit: Duration,
}

impl StateFreshness {
    /// Returns whether a request that the known version does not allow may be
    /// denied permanently. It may not if the last confirmation is older than twice
    /// `apply_limit`: a newer version that allows the request may exist while the
    /// store is unreachable.
    pub fn may_deny(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now.duration_since(confirmed_at) <= self.apply_limit * 2)
    }
}
