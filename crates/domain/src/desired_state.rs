//! The desired state aggregate: routes, services, teams and limits as declared
//! by the operator.
//!
//! Each version is complete. It replaces the previous one atomically, and a
//! process never goes back to an older version. [`DesiredState::authorize`] maps
//! a request to its route and team, or says why no route applies.
//! [`StateFreshness`] decides whether a request may be denied: while the store is
//! unreachable, a newer version that allows the request may exist.
//!
//! Only the process of the crate `front` uses the desired state. The processes of
//! the crates `entry` and `agent` use the models and limits of
//! [`crate::serving_config`] instead. The two aggregates are independent.

mod accepted_state;
mod route_spec;

pub use accepted_state::{
    DesiredState, RouteDecision, RouteQuery, StateFreshness, StateVersion, TeamSpec,
};
pub use route_spec::{
    ApiKey, CallerLimits, EngineSpec, RouteKind, RouteSpec, ServiceSpec, WeightedService,
};
