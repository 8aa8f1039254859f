//! The state in force and how notes change it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ConfigVersion, ModelName, ServiceName, TeamName,
    serving_config::{
        AcceptedChangeset, ConfigChange, ConfigConflict, ModelSpec, ServiceLimit, TeamLimit,
    },
};

/// What a state is made of, as a snapshot holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigStateParts {
    /// Version in force.
    pub version: ConfigVersion,
    /// Models in force.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Limits of teams.
    pub teams: BTreeMap<TeamName, TeamLimit>,
    /// Limits of services.
    pub services: BTreeMap<ServiceName, ServiceLimit>,
}

/// The models and limits in force.
///
/// A copy shares the maps with the original until one of them changes, since
/// most notes touch a few lines of thousands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigState {
    version: ConfigVersion,
    models: Arc<BTreeMap<ModelName, ModelSpec>>,
    teams: Arc<BTreeMap<TeamName, TeamLimit>>,
    services: Arc<BTreeMap<ServiceName, ServiceLimit>>,
}

impl From<ConfigStateParts> for ConfigState {
    fn from(parts: ConfigStateParts) -> Self {
        Self {
            version: parts.version,
            models: Arc::new(parts.models),
            teams: Arc::new(parts.teams),
            services: Arc::new(parts.services),
        }
    }
}

impl ConfigState {
    /// Version in force.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Duty of a model.
    pub fn model_spec(&self, model: &str) -> Option<&ModelSpec> {
        self.models.get(model)
    }

    /// Limit of a team.
    pub fn team_limit(&self, team: &str) -> Option<&TeamLimit> {
        self.teams.get(team)
    }

    /// Limit of a service.
    pub fn service_limit(&self, service: &str) -> Option<&ServiceLimit> {
        self.services.get(service)
    }

    /// All models in force.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelSpec)> {
        self.models.iter()
    }

    /// All teams with a limit of their own.
    pub fn team_limits(&self) -> impl Iterator<Item = (&TeamName, &TeamLimit)> {
        self.teams.iter()
    }

    /// All services with a limit.
    pub fn service_limits(&self) -> impl Iterator<Item = (&ServiceName, &ServiceLimit)> {
        self.services.iter()
    }

    /// The state after a note, or all conflicts with the index of their line.
    pub fn apply(&self, changes: &[ConfigChange]) -> Result<Self, Vec<(usize, ConfigConflict)>> {
        let mut next = self.clone();
        let mut conflicts = Vec::new();
        for (line, change) in changes.iter().enumerate() {
            if let Err(conflict) = next.apply_one(change) {
                conflicts.push((line, conflict));
            }
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        next.version = self.version.next();
        Ok(next)
    }

    /// The state after an accepted note, if it is the next one.
    pub fn with_changeset(&self, note: &AcceptedChangeset) -> Option<Self> {
        if note.version != self.version.next() {
            return None;
        }
        self.apply(&note.changes).ok()
    }

    fn apply_one(&mut self, change: &ConfigChange) -> Result<(), ConfigConflict> {
        match change {
            ConfigChange::Add { model, spec } => {
                if self.models.contains_key(model) {
                    let model = model.clone();
                    return Err(ConfigConflict::ModelPresent { model });
                }
                Arc::make_mut(&mut self.models).insert(model.clone(), spec.clone());
            }
            ConfigChange::Change { model, spec } => {
                let Some(held) = Arc::make_mut(&mut self.models).get_mut(model) else {
                    let model = model.clone();
                    return Err(ConfigConflict::ModelAbsent { model });
                };
                *held = spec.clone();
            }
            ConfigChange::Withdraw { model } => {
                if Arc::make_mut(&mut self.models).remove(model).is_none() {
                    let model = model.clone();
                    return Err(ConfigConflict::ModelAbsent { model });
                }
            }
            ConfigChange::LimitTeam { team, limit } => self.limit_team(team, *limit)?,
            ConfigChange::LimitService { service, limit } => self.limit_service(service, *limit)?,
        }
        Ok(())
    }

    fn limit_team(
        &mut self,
        team: &TeamName,
        limit: Option<TeamLimit>,
    ) -> Result<(), ConfigConflict> {
        let teams = Arc::make_mut(&mut self.teams);
        if let Some(limit) = limit {
            teams.insert(team.clone(), limit);
            return Ok(());
        }
        match teams.remove(team) {
            Some(_) => Ok(()),
            None => Err(ConfigConflict::TeamLimitAbsent { team: team.clone() }),
        }
    }

    fn limit_service(
        &mut self,
        service: &ServiceName,
        limit: Option<ServiceLimit>,
    ) -> Result<(), ConfigConflict> {
        let services = Arc::make_mut(&mut self.services);
        if let Some(limit) = limit {
            services.insert(service.clone(), limit);
            return Ok(());
        }
        match services.remove(service) {
            Some(_) => Ok(()),
            None => Err(ConfigConflict::ServiceLimitAbsent {
                service: service.clone(),
            }),
        }
    }
}
