//! Release notes as they are stored.

use std::collections::BTreeMap;

use domain::{
    AdapterName, ModelName, ModelVersion, NoteVersion, PoolName,
    release_note::{ModelDuty, NoteState},
};
use serde::{Deserialize, Serialize};

/// Key of the row that holds the state in force.
pub const HEAD_KEY: &str = "note/head";

/// Duty of one model.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DutyMessage {
    /// Version that new requests are served by.
    pub version: u32,
    /// Pool that serves the model.
    pub pool: String,
    /// Adapters that may be asked for.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Longest prompt and answer together, in tokens.
    pub window: u32,
}

/// The state in force.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StateMessage {
    /// Version in force.
    pub version: u64,
    /// Models by name.
    pub models: BTreeMap<String, DutyMessage>,
}

impl From<&ModelDuty> for DutyMessage {
    fn from(duty: &ModelDuty) -> Self {
        Self {
            version: duty.version.0,
            pool: duty.pool.as_str().to_owned(),
            adapters: duty.adapters.iter().map(ToString::to_string).collect(),
            window: duty.window,
        }
    }
}

impl From<DutyMessage> for ModelDuty {
    fn from(message: DutyMessage) -> Self {
        Self {
            version: ModelVersion(message.version),
            pool: PoolName::from(message.pool),
            adapters: message
                .adapters
                .into_iter()
                .map(AdapterName::from)
                .collect(),
            window: message.window,
        }
    }
}

impl From<&NoteState> for StateMessage {
    fn from(state: &NoteState) -> Self {
        let models = state
            .models()
            .map(|(name, duty)| (name.as_str().to_owned(), duty.into()));
        Self {
            version: state.version().0,
            models: models.collect(),
        }
    }
}

impl From<StateMessage> for NoteState {
    fn from(message: StateMessage) -> Self {
        let models = message
            .models
            .into_iter()
            .map(|(name, duty)| (ModelName::from(name), duty.into()));
        Self::new(NoteVersion(message.version), models.collect())
    }
}
