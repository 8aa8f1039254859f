//! Positions in the history of the store.
//!
//! A store that comes back from an older copy of itself gives out versions again, and
//! numbers its eras: each return begins the next one. A version orders writes only
//! within its era, so a position names both, and what was read in an earlier era says
//! nothing about rows of a later one. Stores that do not number their eras are in one
//! era all the time.

use derive_more::{Display, From, Into};

/// Number of an era of the store; 0 if the store does not number its eras or has not
/// been heard from.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct StoreEra(u64);

/// Version of the store, or of one of its rows, within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StorePosition {
    /// Era in which the store gave out the version.
    pub era: StoreEra,
    /// Version, from one counter for all tables of the store.
    pub version: u64,
}

/// What the era of an answer means for a reader of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraNews {
    /// The answer goes on from the reader's position.
    Same,
    /// The store has come back since: the reader's position means nothing, and what was
    /// written since is not all in the answer.
    Restored,
    /// The answer is from before a return that the reader has heard of.
    Outdated,
}

impl From<u64> for StorePosition {
    /// Position in a store that does not number its eras.
    fn from(version: u64) -> Self {
        Self {
            era: StoreEra::default(),
            version,
        }
    }
}

/// Numbers of its own that a deployment may give out in one era: those of centuries.
const ERA_NUMBERS: u64 = 1_000_000_000;

impl StoreEra {
    /// The number below the first that is given out in this era, for numbers that are counted
    /// in a row of the store. One that came back from an older copy has lost numbers that
    /// processes may know, and would otherwise give them out again.
    pub fn number_floor(self) -> u64 {
        self.0.saturating_sub(1).saturating_mul(ERA_NUMBERS)
    }

    /// Judges an answer of era `self` to a read from position `since`, or to a listing if
    /// there is none, for a reader that has heard of the era `newest`.
    pub fn judge(self, since: Option<StorePosition>, newest: Self) -> EraNews {
        if self < newest {
            EraNews::Outdated
        } else if since.is_some_and(|since| since.era != self) {
            EraNews::Restored
        } else {
            EraNews::Same
        }
    }
}
