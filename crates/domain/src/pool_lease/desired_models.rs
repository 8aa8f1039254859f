//! Which models a server should load and unload.

use crate::{PoolName, generation_stream::ModelPin, serving_config::ConfigState};

/// Command to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelCommand {
    /// Load a version of a model or adapter.
    Load(ModelPin),
    /// Unload a version of a model or adapter.
    Unload(ModelPin),
}

/// Whether a server processes generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerActivity {
    /// Generations are running, so nothing may be unloaded: they may use any
    /// loaded version.
    Busy,
    /// No generation is running.
    Idle,
}

/// Models that each server of a pool should have loaded according to the serving
/// configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredModels {
    desired: Vec<ModelPin>,
}

impl DesiredModels {
    /// Collects the models and adapters that the configuration assigns to a pool.
    pub fn new(pool: &PoolName, config: &ConfigState) -> Self {
        let mut desired = Vec::new();
        for (model, spec) in config.models().filter(|(_, spec)| spec.pool == *pool) {
            let pin = ModelPin {
                model: model.clone(),
                adapter: None,
                version: spec.version,
            };
            let adapters = spec.adapters.iter().map(|adapter| ModelPin {
                adapter: Some(adapter.clone()),
                ..pin.clone()
            });
            desired.extend(std::iter::once(pin.clone()).chain(adapters));
        }
        Self { desired }
    }

    /// Returns the next command, if any. Missing models are loaded first; others
    /// are unloaded only while the server is idle, when nothing can use them.
    pub fn next_command(
        &self,
        loaded: &[ModelPin],
        activity: ServerActivity,
    ) -> Option<ModelCommand> {
        let missing = self.desired.iter().find(|pin| !loaded.contains(pin));
        if let Some(pin) = missing {
            return Some(ModelCommand::Load(pin.clone()));
        }
        if activity == ServerActivity::Busy {
            return None;
        }
        let surplus = loaded.iter().find(|pin| !self.desired.contains(pin));
        surplus.map(|pin| ModelCommand::Unload(pin.clone()))
    }
}
