//! The lines of a release note.

use derive_more::{Display, Error};

use crate::{AdapterName, ModelName, ModelVersion, PoolName, ServiceName, TeamName};

/// What the system owes the callers of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Version that new requests are served by.
    pub version: ModelVersion,
    /// Pool that serves the model.
    pub pool: PoolName,
    /// Adapters that may be asked for.
    pub adapters: Vec<AdapterName>,
    /// Longest prompt and answer together, in tokens.
    pub context_window: u32,
}

/// Budget of one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamLimit {
    /// Share of the capacity, relative to other teams.
    pub weight: u32,
    /// Requests a second at most; none is no bound of its own.
    pub requests_per_second: Option<u32>,
}

/// Bound on the calls of one plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimit {
    /// Calls under way at one server at most.
    pub calls_max: u32,
}

/// One line of a release note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Serve a model that was not served before.
    Add {
        /// The model.
        model: ModelName,
        /// How it is served.
        spec: ModelSpec,
    },
    /// Serve a known model in another way.
    Change {
        /// The model.
        model: ModelName,
        /// How it is served from now on.
        spec: ModelSpec,
    },
    /// Take no new requests for a model.
    Withdraw {
        /// The model.
        model: ModelName,
    },
    /// Set or lift the budget of a team.
    LimitTeam {
        /// The team.
        team: TeamName,
        /// Its budget; none is the budget of teams that no note names.
        limit: Option<TeamLimit>,
    },
    /// Set or lift the bound of a service.
    LimitService {
        /// The service.
        service: ServiceName,
        /// Its bound; none is no bound.
        limit: Option<ServiceLimit>,
    },
}

/// Why a change cannot apply to the state in force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConfigConflict {
    /// A model to be added is served already.
    #[display("model {model} is served already")]
    ModelPresent {
        /// The model.
        model: ModelName,
    },
    /// A model to be changed or withdrawn is not served.
    #[display("model {model} is not served")]
    ModelAbsent {
        /// The model.
        model: ModelName,
    },
    /// A team whose limit is lifted has none.
    #[display("team {team} has no limit")]
    TeamLimitAbsent {
        /// The team.
        team: TeamName,
    },
    /// A service whose limit is lifted has none.
    #[display("service {service} has no limit")]
    ServiceLimitAbsent {
        /// The service.
        service: ServiceName,
    },
}
