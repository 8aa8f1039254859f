//! When the last tokens were produced, for measurements of the way they take.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::TextSeed;

/// Stamps kept at most.
const STAMPS_MAX: usize = 32_768;

/// One token and when it was produced.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TokenStamp {
    /// Number of the text's seed.
    pub seed: u64,
    /// Position after the prompt.
    pub position: u32,
    /// Microseconds on the wall clock, which all processes of a machine share.
    pub at_us: u64,
}

/// The last tokens of an engine.
#[derive(Debug, Default)]
pub struct TokenStamps(Mutex<VecDeque<TokenStamp>>);

impl TokenStamps {
    /// Record that a token was produced now.
    pub fn note(&self, seed: TextSeed, position: u32) {
        let mut stamps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if stamps.len() >= STAMPS_MAX {
            stamps.pop_front();
        }
        stamps.push_back(TokenStamp {
            seed: seed.number(),
            position,
            at_us: wall_clock_us(),
        });
    }

    /// The stamps kept.
    pub fn all(&self) -> Vec<TokenStamp> {
        let stamps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.iter().copied().collect()
    }
}

/// Microseconds on the wall clock.
pub fn wall_clock_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}
