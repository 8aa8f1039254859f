//! Compact storage for the tokens of one generation.
//!
//! Tokens are a few bytes each, so a vector of strings would use more memory for
//! string headers than for text. The log keeps the text in one string, together
//! with the end offset of each token.

use crate::TokenPosition;

/// Append-only log of tokens from position zero.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    text: String,
    end_offsets: Vec<u32>,
}

impl TokenLog {
    /// Appends a token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.end_offsets.push(self.text.len() as u32);
    }

    /// Position of the next token.
    pub fn next_position(&self) -> TokenPosition {
        TokenPosition(self.end_offsets.len() as u32)
    }

    /// Returns the token at a position.
    pub fn get(&self, position: TokenPosition) -> Option<&str> {
        let end = *self.end_offsets.get(position.index())? as usize;
        let start = match position.index() {
            0 => 0,
            index => self.end_offsets[index - 1] as usize,
        };
        Some(&self.text[start..end])
    }

    /// Iterates over the tokens starting at a position.
    pub fn tokens_from(&self, position: TokenPosition) -> impl Iterator<Item = &str> {
        (position.0..self.end_offsets.len() as u32)
            .filter_map(|index| self.get(TokenPosition(index)))
    }

    /// Bytes allocated for text and offsets.
    pub fn allocated_bytes(&self) -> usize {
        self.text.capacity() + self.end_offsets.capacity() * size_of::<u32>()
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
