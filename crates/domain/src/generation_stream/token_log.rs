//! The tokens of one generation in one allocation.
//!
//! Tokens are a few bytes each, so a vector of strings would spend more on
//! headers than on text. The log keeps all text in one string and remembers
//! where each token ends.

use crate::TokenPosition;

/// Append-only log of tokens from position zero.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    text: String,
    ends: Vec<u32>,
}

impl TokenLog {
    /// Append one token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    /// Position of the next token.
    pub fn next_position(&self) -> TokenPosition {
        TokenPosition(self.ends.len() as u32)
    }

    /// Token at a position.
    pub fn get(&self, position: TokenPosition) -> Option<&str> {
        let end = *self.ends.get(position.index())? as usize;
        let start = match position.index() {
            0 => 0,
            index => self.ends[index - 1] as usize,
        };
        Some(&self.text[start..end])
    }

    /// All tokens from a position on.
    pub fn tokens_from(&self, position: TokenPosition) -> impl Iterator<Item = &str> {
        (position.0..self.ends.len() as u32).filter_map(|at| self.get(TokenPosition(at)))
    }

    /// Bytes held.
    pub fn allocated_bytes(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>()
    }
}

impl<'a> FromIterator<&'a str> for TokenLog {
    fn from_iter<I: IntoIterator<Item = &'a str>>(tokens: I) -> Self {
        let mut log = Self::default();
        for token in tokens {
            log.push(token);
        }
        log
    }
}
