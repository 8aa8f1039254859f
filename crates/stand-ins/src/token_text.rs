//! The engine's text: a pure function, so that any reader can check it.

use wire::stream::PinMessage;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Everything that the text of a generation depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextSeed(u64);

impl TextSeed {
    /// Seed of a prompt on a model, adapter and version.
    pub fn new(pin: &PinMessage, prompt: &str) -> Self {
        let mut hasher = Xxh3::new();
        for part in [&pin.model, pin.adapter.as_deref().unwrap_or(""), prompt] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&pin.version.to_le_bytes());
        Self(hasher.digest())
    }

    /// The seed as a number.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Token at a position after the prompt.
    pub fn token(self, position: u32) -> String {
        let hash = xxh3_64_with_seed(&position.to_le_bytes(), self.0);
        format!("{:05x} ", hash & 0xf_ffff)
    }

    /// The first `count` tokens as one text.
    pub fn text(self, count: u32) -> String {
        (0..count).map(|position| self.token(position)).collect()
    }
}
