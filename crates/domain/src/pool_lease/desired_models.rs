//! Which order a server needs next.

use crate::{PoolName, generation_stream::ModelPin, serving_config::ConfigState};

/// Order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelCommand {
    /// Load a model, adapter and version.
    Load(ModelPin),
    /// Drop a model, adapter and version.
    Unload(ModelPin),
}

/// Whether a server works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerActivity {
    /// It works on generations, which may have pinned what it has loaded.
    Busy,
    /// It works on nothing.
    Idle,
}

/// What a pool owes under a release note.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredModels {
    wanted: Vec<ModelPin>,
}

impl DesiredModels {
    /// Duty of the servers of a pool.
    pub fn new(pool: &PoolName, note: &ConfigState) -> Self {
        let mut wanted = Vec::new();
        for (model, duty) in note.models().filter(|(_, duty)| duty.pool == *pool) {
            let pin = ModelPin {
                model: model.clone(),
                adapter: None,
                version: duty.version,
            };
            let adapters = duty.adapters.iter().map(|adapter| ModelPin {
                adapter: Some(adapter.clone()),
                ..pin.clone()
            });
            wanted.extend(std::iter::once(pin.clone()).chain(adapters));
        }
        Self { wanted }
    }

    /// The next order, if there is one: what is wanted is loaded first, and
    /// dropped is only what nobody can be using.
    pub fn next_command(
        &self,
        loaded: &[ModelPin],
        server_use: ServerActivity,
    ) -> Option<ModelCommand> {
        let missing = self.wanted.iter().find(|pin| !loaded.contains(pin));
        if let Some(pin) = missing {
            return Some(ModelCommand::Load(pin.clone()));
        }
        if server_use == ServerActivity::Busy {
            return None;
        }
        let surplus = loaded.iter().find(|pin| !self.wanted.contains(pin));
        surplus.map(|pin| ModelCommand::Unload(pin.clone()))
    }
}
