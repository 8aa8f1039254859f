//! The current state of the serving configuration and how changesets change it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ConfigVersion, ModelName, ServiceName, TeamName,
    serving_config::{
        AcceptedChangeset, ConfigChange, ConfigConflict, ModelSpec, ServiceLimit, TeamLimit,
    },
    store_position::StoreEra,
};

/// Contents of a [`ConfigState`], for conversion from a stored snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigStateParts {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Served models.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Teams with limits of their own.
    pub teams: BTreeMap<TeamName, TeamLimit>,
    /// Services with a limit.
    pub services: BTreeMap<ServiceName, ServiceLimit>,
}

/// The served models and the limits of teams and services.
///
/// Clones share the maps that are not modified, so that a changeset copies only
/// the maps that it changes; each map may have thousands of entries.
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
    /// Returns the configuration version.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns how a model is served, if it is served.
    pub fn model_spec(&self, model: &str) -> Option<&ModelSpec> {
        self.models.get(model)
    }

    /// Returns the limits of a team, if it has any.
    pub fn team_limit(&self, team: &str) -> Option<&TeamLimit> {
        self.teams.get(team)
    }

    /// Returns the limit of a service, if it has one.
    pub fn service_limit(&self, service: &str) -> Option<&ServiceLimit> {
        self.services.get(service)
    }

    /// Iterates over all served models.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelSpec)> {
        self.models.iter()
    }

    /// Iterates over the teams with limits of their own.
    pub fn team_limits(&self) -> impl Iterator<Item = (&TeamName, &TeamLimit)> {
        self.teams.iter()
    }

    /// Iterates over the services with a limit.
    pub fn service_limits(&self) -> impl Iterator<Item = (&ServiceName, &ServiceLimit)> {
        self.services.iter()
    }

    /// The state for changes in an era of the store: its version is not below the era's first.
    pub fn in_era(&self, era: StoreEra) -> Self {
        Self {
            version: self.version.max(ConfigVersion(era.number_floor())),
            ..self.clone()
        }
    }

    /// Applies all changes, or returns all conflicts with the indices of their
    /// changes.
    pub fn apply(&self, changes: &[ConfigChange]) -> Result<Self, Vec<(usize, ConfigConflict)>> {
        let mut next = self.clone();
        let mut conflicts = Vec::new();
        for (index, change) in changes.iter().enumerate() {
            if let Err(conflict) = next.apply_change(change) {
                conflicts.push((index, conflict));
            }
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        next.version = self.version.next();
        Ok(next)
    }

    /// Applies an accepted changeset; returns `None` if it does not directly
    /// follow the current version or conflicts with the state.
    pub fn with_changeset(&self, changeset: &AcceptedChangeset) -> Option<Self> {
        if changeset.version != self.version.next() {
            return None;
        }
        self.apply(&changeset.changes).ok()
    }

    fn apply_change(&mut self, change: &ConfigChange) -> Result<(), ConfigConflict> {
        match change {
            ConfigChange::Add { model, spec } => {
                if self.models.contains_key(model) {
                    let model = model.clone();
                    return Err(ConfigConflict::ModelPresent { model });
                }
                Arc::make_mut(&mut self.models).insert(model.clone(), spec.clone());
            }
            ConfigChange::Change { model, spec } => {
                let Some(current) = Arc::make_mut(&mut self.models).get_mut(model) else {
                    let model = model.clone();
                    return Err(ConfigConflict::ModelAbsent { model });
                };
                *current = spec.clone();
            }
            ConfigChange::Withdraw { model } => {
                if Arc::make_mut(&mut self.models).remove(model).is_none() {
                    let model = model.clone();
                    return Err(ConfigConflict::ModelAbsent { model });
                }
            }
            ConfigChange::LimitTeam { team, limit } => self.set_team_limit(team, *limit)?,
            ConfigChange::LimitService { service, limit } => {
                self.set_service_limit(service, *limit)?
            }
        }
        Ok(())
    }

    fn set_team_limit(
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

    fn set_service_limit(
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
