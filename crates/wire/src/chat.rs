//! The callers' streaming chat completions.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Message roles and their text.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// Request of a completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Model, or `MODEL:ADAPTER`.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Tokens to generate at most.
    #[serde(default = "ChatRequest::default_max_tokens")]
    pub max_tokens: u32,
    /// Whether tokens are sent as they come; only `true` is served.
    #[serde(default)]
    pub stream: bool,
}

/// A field that a completion cannot be made from.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct ChatFieldError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl ChatRequest {
    const fn default_max_tokens() -> u32 {
        256
    }

    /// Model without the adapter.
    pub fn model_name(&self) -> &str {
        self.model
            .split_once(':')
            .map_or(&self.model, |(model, _)| model)
    }

    /// Adapter asked for.
    pub fn adapter_name(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, adapter)| adapter)
    }

    /// The conversation as the engine reads it.
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt
    }

    /// All fields at fault.
    pub fn field_errors(&self) -> Vec<ChatFieldError> {
        let mut errors = Vec::new();
        let mut check = |holds: bool, field, reason| {
            if !holds {
                errors.push(ChatFieldError { field, reason });
            }
        };
        check(!self.model_name().is_empty(), "model", "must not be empty");
        check(!self.messages.is_empty(), "messages", "must not be empty");
        check(self.max_tokens > 0, "max_tokens", "must be at least 1");
        check(self.stream, "stream", "must be true");
        errors
    }
}

/// Part of a completion that holds new text.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ChatDelta {
    /// The new text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of a completion; there is only ever one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatChoice {
    /// Always zero.
    pub index: u32,
    /// New text.
    pub delta: ChatDelta,
    /// Why the completion ended.
    pub finish_reason: Option<String>,
}

/// One event of a streamed completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatChunk {
    /// Generation identity.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model, or `MODEL:ADAPTER`.
    pub model: String,
    /// The one choice.
    pub choices: Vec<ChatChoice>,
}

impl ChatChunk {
    /// Chunk that carries a token.
    pub fn token(id: &str, model: &str, token: &str) -> Self {
        Self::new(id, model, Some(token), None)
    }

    /// Chunk that closes a completion.
    pub fn finish(id: &str, model: &str, reason: &str) -> Self {
        Self::new(id, model, None, Some(reason))
    }

    fn new(id: &str, model: &str, content: Option<&str>, reason: Option<&str>) -> Self {
        Self {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            model: model.to_owned(),
            choices: vec![ChatChoice {
                index: 0,
                delta: ChatDelta {
                    content: content.map(str::to_owned),
                },
                finish_reason: reason.map(str::to_owned),
            }],
        }
    }
}
