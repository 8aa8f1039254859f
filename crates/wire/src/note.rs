//! Release notes as they are stored and passed on between processes.
//!
//! The table holds a head row with the version in force and one row for each
//! accepted note; the object store holds a whole state every so many versions.

use std::collections::BTreeMap;

use domain::{
    AdapterName, BodyDigest, ChangesetId, ConfigVersion, ModelName, ModelVersion, PoolName,
    ServiceName, TeamName,
    serving_config::{
        AcceptedChangeset, ConfigChange, ConfigState, ConfigStateParts, ConfigUpdate, ModelSpec,
        ServiceLimit, TeamLimit,
    },
};
use serde::{Deserialize, Serialize};

use crate::agent_control::NewsMessage;

/// Key of the row that holds the version in force.
pub const HEAD_KEY: &str = "note/head";

/// Prefix of the rows of accepted notes.
pub const DELTA_PREFIX: &str = "note/delta/";

/// Path under which each process passes notes on.
pub const NOTE_PATH: &str = "/v1/note";

/// Key of the row of an accepted note.
pub fn delta_key(version: ConfigVersion) -> String {
    // Rows are scanned in the order of their keys.
    format!("{DELTA_PREFIX}{:012}", version.0)
}

/// Key of the object of a whole state.
///
/// It names the note as well as the version: of two operators who race for a
/// version, the one who loses must not overwrite the other's object.
pub fn snapshot_key(version: ConfigVersion, id: &ChangesetId) -> String {
    let digest = BodyDigest::of("note", id.as_str().as_bytes());
    format!("note/snapshot/{:012}-{:032x}", version.0, digest.to_u128())
}

/// The head row.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HeadMessage {
    /// Version in force.
    pub version: u64,
    /// Identity of the note that brought it about.
    pub id: String,
    /// Version of the newest whole state in the object store; 0 is none.
    pub snapshot: u64,
    /// Key of its object.
    #[serde(default)]
    pub snapshot_key: String,
}

/// Duty of one model.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DutyMessage {
    /// Version that new requests are served by.
    pub version: u32,
    /// Pool that serves the model.
    pub pool: String,
    /// Adapters that may be asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
    /// Longest prompt and answer together, in tokens.
    pub window: u32,
}

/// Limit of one team.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TeamMessage {
    /// Share of the capacity.
    pub weight: u32,
    /// Requests a second at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
}

/// Limit of one service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ServiceMessage {
    /// Calls under way at one server at most.
    pub calls_max: u32,
}

/// One line of a note.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeMessage {
    /// Serve a model that was not served before.
    Add {
        /// The model.
        model: String,
        /// How it is served.
        #[serde(flatten)]
        duty: DutyMessage,
    },
    /// Serve a known model in another way.
    Change {
        /// The model.
        model: String,
        /// How it is served.
        #[serde(flatten)]
        duty: DutyMessage,
    },
    /// Take no new requests for a model.
    Withdraw {
        /// The model.
        model: String,
    },
    /// Set or lift the limit of a team.
    LimitTeam {
        /// The team.
        team: String,
        /// Its limit.
        limit: Option<TeamMessage>,
    },
    /// Set or lift the limit of a service.
    LimitService {
        /// The service.
        service: String,
        /// Its limit.
        limit: Option<ServiceMessage>,
    },
}

/// An accepted note.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeltaMessage {
    /// Version that it brought about.
    pub version: u64,
    /// Its identity.
    pub id: String,
    /// Its lines.
    pub changes: Vec<ChangeMessage>,
}

/// A whole state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StateMessage {
    /// Version in force.
    pub version: u64,
    /// Models by name.
    pub models: BTreeMap<String, DutyMessage>,
    /// Limits of teams.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub teams: BTreeMap<String, TeamMessage>,
    /// Limits of services.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, ServiceMessage>,
}

/// What a process passes on to one at an older version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct UpdateMessage {
    /// Version in force at the process that answers.
    pub version: u64,
    /// Notes that the asker lacks, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<DeltaMessage>,
    /// The whole state, when notes that the asker lacks are kept no more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<StateMessage>,
    /// What the process knows of the stopping of the server that asks, if the
    /// asker may not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news: Option<NewsMessage>,
}

/// Query of the path under which notes are passed on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpdateQuery {
    /// Version that the asker has.
    pub after: u64,
    /// Server beside the asker, if it is an agent.
    #[serde(default)]
    pub server: String,
    /// Version of the recorded stops that the asker knows.
    #[serde(default)]
    pub orders: u64,
}

impl From<&ModelSpec> for DutyMessage {
    fn from(duty: &ModelSpec) -> Self {
        Self {
            version: duty.version.0,
            pool: duty.pool.as_str().to_owned(),
            adapters: duty.adapters.iter().map(ToString::to_string).collect(),
            window: duty.context_window,
        }
    }
}

impl From<DutyMessage> for ModelSpec {
    fn from(message: DutyMessage) -> Self {
        Self {
            version: ModelVersion(message.version),
            pool: PoolName::from(message.pool),
            adapters: message
                .adapters
                .into_iter()
                .map(AdapterName::from)
                .collect(),
            context_window: message.window,
        }
    }
}

impl From<&TeamLimit> for TeamMessage {
    fn from(limit: &TeamLimit) -> Self {
        Self {
            weight: limit.weight,
            requests_per_second: limit.requests_per_second,
        }
    }
}

impl From<TeamMessage> for TeamLimit {
    fn from(message: TeamMessage) -> Self {
        Self {
            weight: message.weight,
            requests_per_second: message.requests_per_second,
        }
    }
}

impl From<&ServiceLimit> for ServiceMessage {
    fn from(limit: &ServiceLimit) -> Self {
        Self {
            calls_max: limit.calls_max,
        }
    }
}

impl From<ServiceMessage> for ServiceLimit {
    fn from(message: ServiceMessage) -> Self {
        Self {
            calls_max: message.calls_max,
        }
    }
}

impl From<&ConfigChange> for ChangeMessage {
    fn from(change: &ConfigChange) -> Self {
        match change {
            ConfigChange::Add { model, spec } => Self::Add {
                model: model.to_string(),
                duty: spec.into(),
            },
            ConfigChange::Change { model, spec } => Self::Change {
                model: model.to_string(),
                duty: spec.into(),
            },
            ConfigChange::Withdraw { model } => Self::Withdraw {
                model: model.to_string(),
            },
            ConfigChange::LimitTeam { team, limit } => Self::LimitTeam {
                team: team.to_string(),
                limit: limit.as_ref().map(Into::into),
            },
            ConfigChange::LimitService { service, limit } => Self::LimitService {
                service: service.to_string(),
                limit: limit.as_ref().map(Into::into),
            },
        }
    }
}

impl From<ChangeMessage> for ConfigChange {
    fn from(message: ChangeMessage) -> Self {
        match message {
            ChangeMessage::Add { model, duty } => Self::Add {
                model: ModelName::from(model),
                spec: duty.into(),
            },
            ChangeMessage::Change { model, duty } => Self::Change {
                model: ModelName::from(model),
                spec: duty.into(),
            },
            ChangeMessage::Withdraw { model } => Self::Withdraw {
                model: ModelName::from(model),
            },
            ChangeMessage::LimitTeam { team, limit } => Self::LimitTeam {
                team: TeamName::from(team),
                limit: limit.map(Into::into),
            },
            ChangeMessage::LimitService { service, limit } => Self::LimitService {
                service: ServiceName::from(service),
                limit: limit.map(Into::into),
            },
        }
    }
}

impl From<&AcceptedChangeset> for DeltaMessage {
    fn from(note: &AcceptedChangeset) -> Self {
        Self {
            version: note.version.0,
            id: note.id.to_string(),
            changes: note.changes.iter().map(Into::into).collect(),
        }
    }
}

impl From<DeltaMessage> for AcceptedChangeset {
    fn from(message: DeltaMessage) -> Self {
        Self {
            version: ConfigVersion(message.version),
            id: ChangesetId::from(message.id),
            changes: message.changes.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&ConfigState> for StateMessage {
    fn from(state: &ConfigState) -> Self {
        let models = state.models();
        let teams = state.team_limits();
        let services = state.service_limits();
        Self {
            version: state.version().0,
            models: models
                .map(|(name, duty)| (name.to_string(), duty.into()))
                .collect(),
            teams: teams
                .map(|(name, limit)| (name.to_string(), limit.into()))
                .collect(),
            services: services
                .map(|(name, limit)| (name.to_string(), limit.into()))
                .collect(),
        }
    }
}

impl From<StateMessage> for ConfigState {
    fn from(message: StateMessage) -> Self {
        let models = message.models.into_iter();
        let teams = message.teams.into_iter();
        let services = message.services.into_iter();
        Self::from(ConfigStateParts {
            version: ConfigVersion(message.version),
            models: models
                .map(|(name, duty)| (ModelName::from(name), duty.into()))
                .collect(),
            teams: teams
                .map(|(name, limit)| (TeamName::from(name), limit.into()))
                .collect(),
            services: services
                .map(|(name, limit)| (ServiceName::from(name), limit.into()))
                .collect(),
        })
    }
}

impl UpdateMessage {
    /// Message for a process that lacks `update`.
    pub fn new(version: ConfigVersion, update: &ConfigUpdate<'_>) -> Self {
        let mut message = Self {
            version: version.0,
            ..Self::default()
        };
        match update {
            ConfigUpdate::UpToDate => {}
            ConfigUpdate::Changesets(notes) => {
                message.notes = notes.iter().map(|&note| note.into()).collect();
            }
            ConfigUpdate::State(state) => message.state = Some((*state).into()),
        }
        message
    }
}
