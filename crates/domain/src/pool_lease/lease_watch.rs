//! When a lease that another process holds may be taken.

use std::time::Duration;

use tokio::time::Instant;

use crate::FencingNumber;

/// A lease as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// Version of its row; rises when it is renewed.
    pub version: u64,
    /// Fencing number of its holder.
    pub fencing: FencingNumber,
}

/// What a candidate does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Take the lease under this number, if it still stands as it was read.
    Take(FencingNumber),
    /// Look again later.
    Wait,
}

/// What a candidate has seen of a lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseWatch {
    seen: Option<(LeaseSnapshot, Instant)>,
}

impl LeaseWatch {
    /// Take in a lease whose reading was answered at `now`.
    ///
    /// Clocks of two processes are never compared: only the time that the row
    /// stood unchanged counts, from when its reading was answered to when the
    /// next reading was sent at `asked_at`.
    pub fn observe(
        &mut self,
        sight: Option<LeaseSnapshot>,
        term: Duration,
        asked_at: Instant,
        now: Instant,
    ) -> LeaseAction {
        let Some(sight) = sight else {
            return LeaseAction::Take(FencingNumber(1));
        };
        match self.seen {
            Some((seen, seen_at)) if seen == sight => {
                if asked_at.duration_since(seen_at) >= term {
                    return LeaseAction::Take(sight.fencing.next());
                }
            }
            _ => self.seen = Some((sight, now)),
        }
        LeaseAction::Wait
    }
}
