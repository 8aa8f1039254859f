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
