//! Changes of the serving configuration.

use derive_more::{Display, Error};

use crate::{AdapterName, ModelName, ModelVersion, PoolName, ServiceName, TeamName};

/// How a model is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Version that serves new requests.
    pub version: ModelVersion,
    /// Pool whose servers serve the model.
    pub pool: PoolName,
    /// Adapters that requests may select.
    pub adapters: Vec<AdapterName>,
    /// Maximum length of prompt and answer together, in tokens.
    pub context_window: u32,
}

/// Limits of a team: its weight in the capacity shares and its request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamLimit {
    /// Weight of the capacity share, relative to other teams.
    pub weight: u32,
    /// Maximum rate of requests; `None` if the team has no rate limit of its own.
    pub requests_per_second: Option<u32>,
}

/// Concurrency limit of a service without models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimit {
    /// Maximum number of concurrent calls per server.
    pub calls_max: u32,
}

/// One change of a changeset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Starts to serve a model that is not served.
    Add {
        /// The model.
        model: ModelName,
        /// How the model is served.
        spec: ModelSpec,
    },
    /// Changes how a served model is served.
    Change {
        /// The model.
        model: ModelName,
        /// How the model is served from now on.
        spec: ModelSpec,
    },
    /// Removes a model, so that new requests for it are refused. Not related to
    /// the withdrawal of a server.
    Withdraw {
        /// The model.
        model: ModelName,
    },
    /// Sets or removes the limits of a team.
    LimitTeam {
        /// The team.
        team: TeamName,
        /// New limits; `None` restores the default of teams without limits.
        limit: Option<TeamLimit>,
    },
    /// Sets or removes the concurrency limit of a service.
    LimitService {
        /// The service.
        service: ServiceName,
        /// New limit; `None` removes the limit.
        limit: Option<ServiceLimit>,
    },
}

/// Why a change cannot be applied to the current state.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConfigConflict {
    /// The model to add is already served.
    #[display("model {model} is served already")]
    ModelPresent {
        /// The model.
        model: ModelName,
    },
    /// The model to change or withdraw is not served.
    #[display("model {model} is not served")]
    ModelAbsent {
        /// The model.
        model: ModelName,
    },
    /// The team whose limits are to be removed has none.
    #[display("team {team} has no limit")]
    TeamLimitAbsent {
        /// The team.
        team: TeamName,
    },
    /// The service whose limit is to be removed has none.
    #[display("service {service} has no limit")]
    ServiceLimitAbsent {
        /// The service.
        service: ServiceName,
    },
}
