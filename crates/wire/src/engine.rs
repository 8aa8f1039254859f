//! The model engines' interface.

use serde::{Deserialize, Serialize};

use crate::stream::PinMessage;

/// Request of a completion at an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineRequest {
    /// Identity by which the completion can be cancelled.
    pub request_id: String,
    /// Model, adapter and version.
    pub pin: PinMessage,
    /// The prompt.
    pub prompt: String,
    /// Tokens after the prompt to go on from.
    #[serde(default)]
    pub resume: Vec<String>,
    /// Tokens of the whole generation at most.
    pub max_tokens: u32,
    /// Lower numbers go first.
    pub priority: u8,
}

/// One token of a completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineToken {
    /// Position after the prompt.
    pub position: u32,
    /// The token.
    pub text: String,
}

/// Request to stop a completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineCancel {
    /// Identity given with the request.
    pub request_id: String,
}

/// Load as the engine reports it, which lags.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineLoad {
    /// Completions that produce tokens.
    pub running: u32,
    /// Completions that wait for a slot.
    pub waiting: u32,
    /// Slots in all.
    pub slots: u32,
    /// Models, adapters and versions loaded.
    pub loaded: Vec<PinMessage>,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model, adapter and version.
    Load {
        /// What to load.
        pin: PinMessage,
    },
    /// Drop a model, adapter and version.
    Unload {
        /// What to drop.
        pin: PinMessage,
    },
    /// Change role.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// Order to an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineOrder {
    /// Fencing number of the lease it is given under.
    pub fencing: u64,
    /// What is asked.
    #[serde(flatten)]
    pub kind: OrderKind,
}
