//! One version of the desired state and what it says of a request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{ApiKey, CallerLimits, RouteSpec, ServiceSpec};
use crate::{ModelName, ServiceName, TeamName};

/// Order of a desired state among all that were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StateVersion {
    /// Version of the row that holds it; rises with each acceptance.
    pub row: u64,
    /// Number that the operator gave it.
    pub number: u64,
}

/// One team with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Name.
    pub name: TeamName,
    /// Keys that its callers show.
    pub keys: Vec<ApiKey>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Team of a key.
#[derive(Clone, Debug)]
struct KeyOwner {
    team: TeamName,
    priority: Option<u8>,
}

/// One version, whole.
#[derive(Debug)]
pub struct DesiredState {
    version: StateVersion,
    routes: HashMap<Box<str>, Vec<Arc<RouteSpec>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    keys: Option<HashMap<ApiKey, KeyOwner>>,
    limits: CallerLimits,
}

/// What a request shows.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Host without its port.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Key.
    pub key: Option<&'a str>,
}

/// What the desired state says of a request.
#[derive(Clone, Debug)]
pub enum RouteDecision {
    /// It takes a route.
    Allowed {
        /// The route.
        route: Arc<RouteSpec>,
        /// Team of the key, where there are teams.
        team: Option<TeamName>,
        /// Rank.
        priority: u8,
    },
    /// No route matches.
    NoRoute,
    /// No team holds the key.
    UnknownKey,
}

impl DesiredState {
    /// Put a version together.
    pub fn new(
        version: StateVersion,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        teams: Option<Vec<TeamSpec>>,
        limits: CallerLimits,
    ) -> Self {
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
            keys: teams.map(|teams| teams.iter().flat_map(holders).collect()),
            limits,
        }
    }

    /// Which version it is.
    pub fn version(&self) -> StateVersion {
        self.version
    }

    /// Limits on what callers send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Whether a server that serves these models must be one of a service: it has
    /// one of them, and no other service has it.
    pub fn models_identify_service(&self, service: &ServiceName, models: &[ModelName]) -> bool {
        let has = |spec: &ServiceSpec, model: &ModelName| {
            let engine = spec.engine.as_ref();
            engine.is_some_and(|engine| engine.models.contains(model))
        };
        models.iter().any(|model| {
            let mut holders = self.services.values().filter(|spec| has(spec, model));
            holders.next().is_some_and(|spec| spec.name == *service) && holders.next().is_none()
        })
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether this version takes the place of `current`.
    pub fn supersedes(&self, current: Option<&Self>) -> bool {
        current.is_none_or(|current| self.version.row > current.version.row)
    }

    /// Judge a request.
    pub fn authorize(&self, query: RouteQuery<'_>) -> RouteDecision {
        let Some(route) = self.find_route(query.host, query.path) else {
            return RouteDecision::NoRoute;
        };
        let route = Arc::clone(route);
        let priority = route.priority;
        let Some(keys) = self.keys.as_ref().filter(|_| !route.public) else {
            return RouteDecision::Allowed {
                route,
                team: None,
                priority,
            };
        };
        match query.key.and_then(|key| keys.get(key)) {
            Some(holder) => RouteDecision::Allowed {
                route,
                team: Some(holder.team.clone()),
                priority: holder.priority.unwrap_or(priority),
            },
            None => RouteDecision::UnknownKey,
        }
    }

    fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }
}

fn holders(team: &TeamSpec) -> impl Iterator<Item = (ApiKey, KeyOwner)> {
    team.keys.iter().map(|key| {
        let holder = KeyOwner {
            team: team.name.clone(),
            priority: team.priority,
        };
        (key.clone(), holder)
    })
}

/// Whether the version known is surely the newest.
#[derive(Clone, Copy, Debug)]
pub struct StateFreshness {
    /// When the store last confirmed that nothing newer was there; none if never.
    pub confirmed_at: Option<Instant>,
    /// Time within which a version is to be in force.
    pub apply_limit: Duration,
}

impl StateFreshness {
    /// Whether a request that the version does not allow may be refused for
    /// good. A newer version may allow it while the store is out of reach.
    pub fn may_deny(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now.duration_since(confirmed_at) <= self.apply_limit * 2)
    }
}
