//! What the operator wants, as one whole version.
//!
//! A desired state replaces the one before it at once and never gives way to
//! an older one in the life of a process. It answers one question of a
//! request: which route it takes, for which team, or why it takes none. Whether
//! a refusal may be given depends on how sure it is that no newer version is
//! in force.

mod accepted_state;
mod route_spec;

pub use accepted_state::{
    DesiredState, RouteDecision, RouteQuery, StateFreshness, StateVersion, TeamSpec,
};
pub use route_spec::{
    ApiKey, CallerLimits, EngineSpec, RouteKind, RouteSpec, ServiceSpec, WeightedService,
};
