//! The state in force and how notes change it.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::{AdapterName, ModelName, ModelVersion, NoteVersion, PoolName};

/// What the system owes the callers of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDuty {
    /// Version that new requests are served by.
    pub version: ModelVersion,
    /// Pool that serves the model.
    pub pool: PoolName,
    /// Adapters that may be asked for.
    pub adapters: Vec<AdapterName>,
    /// Longest prompt and answer together, in tokens.
    pub window: u32,
}

/// One line of a release note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoteChange {
    /// Serve a model that was not served before.
    Add {
        /// The model.
        model: ModelName,
        /// How it is served.
        duty: ModelDuty,
    },
    /// Serve a known model in another way.
    Change {
        /// The model.
        model: ModelName,
        /// How it is served from now on.
        duty: ModelDuty,
    },
    /// Take no new requests for a model.
    Withdraw {
        /// The model.
        model: ModelName,
    },
}

/// Why a change cannot apply to the state in force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NoteConflict {
    /// A model to be added is served already.
    #[display("model {model} is served already")]
    Present {
        /// The model.
        model: ModelName,
    },
    /// A model to be changed or withdrawn is not served.
    #[display("model {model} is not served")]
    Absent {
        /// The model.
        model: ModelName,
    },
}

/// The models in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NoteState {
    version: NoteVersion,
    models: BTreeMap<ModelName, ModelDuty>,
}

impl NoteState {
    /// State read from a snapshot.
    pub const fn new(version: NoteVersion, models: BTreeMap<ModelName, ModelDuty>) -> Self {
        Self { version, models }
    }

    /// Version in force.
    pub const fn version(&self) -> NoteVersion {
        self.version
    }

    /// Duty of a model.
    pub fn duty(&self, model: &str) -> Option<&ModelDuty> {
        self.models.get(model)
    }

    /// All models in force.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelDuty)> {
        self.models.iter()
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

    fn apply_one(&mut self, change: &NoteChange) -> Result<(), NoteConflict> {
        match change {
            NoteChange::Add { model, duty } => {
                if self.models.contains_key(model) {
                    return Err(NoteConflict::Present {
                        model: model.clone(),
                    });
                }
                self.models.insert(model.clone(), duty.clone());
            }
            NoteChange::Change { model, duty } => match self.models.get_mut(model) {
                Some(held) => *held = duty.clone(),
                None => {
                    return Err(NoteConflict::Absent {
                        model: model.clone(),
                    });
                }
            },
            NoteChange::Withdraw { model } => {
                if self.models.remove(model).is_none() {
                    return Err(NoteConflict::Absent {
                        model: model.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}
