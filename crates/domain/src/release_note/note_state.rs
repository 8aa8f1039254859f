//! The state in force and how notes change it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ModelName, NoteVersion, ServiceName, TeamName,
    release_note::{AcceptedNote, ModelDuty, NoteChange, NoteConflict, ServiceLimit, TeamLimit},
};

/// What a state is made of, as a snapshot holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoteStateParts {
    /// Version in force.
    pub version: NoteVersion,
    /// Models in force.
    pub models: BTreeMap<ModelName, ModelDuty>,
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
pub struct NoteState {
    version: NoteVersion,
    models: Arc<BTreeMap<ModelName, ModelDuty>>,
    teams: Arc<BTreeMap<TeamName, TeamLimit>>,
    services: Arc<BTreeMap<ServiceName, ServiceLimit>>,
}

impl From<NoteStateParts> for NoteState {
    fn from(parts: NoteStateParts) -> Self {
        Self {
            version: parts.version,
            models: Arc::new(parts.models),
            teams: Arc::new(parts.teams),
            services: Arc::new(parts.services),
        }
    }
}

impl NoteState {
    /// Version in force.
    pub const fn version(&self) -> NoteVersion {
        self.version
    }

    /// Duty of a model.
    pub fn duty(&self, model: &str) -> Option<&ModelDuty> {
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
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelDuty)> {
        self.models.iter()
    }

    /// All teams with a limit of their own.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, &TeamLimit)> {
        self.teams.iter()
    }

    /// All services with a limit.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceLimit)> {
        self.services.iter()
    }

    /// The state after a note, or all conflicts with the index of their line.
    pub fn apply(&self, changes: &[NoteChange]) -> Result<Self, Vec<(usize, NoteConflict)>> {
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
    pub fn fold(&self, note: &AcceptedNote) -> Option<Self> {
        if note.version != self.version.next() {
            return None;
        }
        self.apply(&note.changes).ok()
    }

    fn apply_one(&mut self, change: &NoteChange) -> Result<(), NoteConflict> {
        match change {
            NoteChange::Add { model, duty } => {
                if self.models.contains_key(model) {
                    let model = model.clone();
                    return Err(NoteConflict::Present { model });
                }
                Arc::make_mut(&mut self.models).insert(model.clone(), duty.clone());
            }
            NoteChange::Change { model, duty } => {
                let Some(held) = Arc::make_mut(&mut self.models).get_mut(model) else {
                    let model = model.clone();
                    return Err(NoteConflict::Absent { model });
                };
                *held = duty.clone();
            }
            NoteChange::Withdraw { model } => {
                if Arc::make_mut(&mut self.models).remove(model).is_none() {
                    let model = model.clone();
                    return Err(NoteConflict::Absent { model });
                }
            }
            NoteChange::LimitTeam { team, limit } => self.limit_team(team, *limit)?,
            NoteChange::LimitService { service, limit } => self.limit_service(service, *limit)?,
        }
        Ok(())
    }

    fn limit_team(
        &mut self,
        team: &TeamName,
        limit: Option<TeamLimit>,
    ) -> Result<(), NoteConflict> {
        let teams = Arc::make_mut(&mut self.teams);
        if let Some(limit) = limit {
            teams.insert(team.clone(), limit);
            return Ok(());
        }
        match teams.remove(team) {
            Some(_) => Ok(()),
            None => Err(NoteConflict::TeamAbsent { team: team.clone() }),
        }
    }

    fn limit_service(
        &mut self,
        service: &ServiceName,
        limit: Option<ServiceLimit>,
    ) -> Result<(), NoteConflict> {
        let services = Arc::make_mut(&mut self.services);
        if let Some(limit) = limit {
            services.insert(service.clone(), limit);
            return Ok(());
        }
        match services.remove(service) {
            Some(_) => Ok(()),
            None => Err(NoteConflict::ServiceAbsent {
                service: service.clone(),
            }),
        }
    }
}
