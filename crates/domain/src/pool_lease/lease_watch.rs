//! When a lease held by another process may be taken over.

use std::time::Duration;

use tokio::time::Instant;

use crate::FencingNumber;

/// State of a lease row when it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// Version of the row; increases with each renewal.
    pub version: u64,
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
}

/// Next action of a candidate for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Take the lease with this fencing number, provided that the row is still
    /// unchanged.
    Take(FencingNumber),
    /// Read the lease again later.
    Wait,
}

/// Observations of a lease by a candidate.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseWatch {
    seen: Option<(LeaseSnapshot, Instant)>,
}

impl LeaseWatch {
    /// Records a read that was sent at `sent_at` and answered at `answered_at`, and
    /// decides what to do.
    ///
    /// Clocks of different processes are never compared. The lease may be taken
    /// once the row remained unchanged for `term`. This time starts with the answer
    /// to the first read that returned the row, and ends when the latest read was
    /// sent.
    pub fn observe(
        &mut self,
        snapshot: Option<LeaseSnapshot>,
        term: Duration,
        sent_at: Instant,
        answered_at: Instant,
    ) -> LeaseAction {
        let Some(snapshot) = snapshot else {
            return LeaseAction::Take(FencingNumber(1));
        };
        match self.seen {
            Some((seen, seen_at)) if seen == snapshot => {
                if sent_at.duration_since(seen_at) >= term {
                    return LeaseAction::Take(snapshot.fencing.next());
                }
            }
            _ => self.seen = Some((snapshot, answered_at)),
        }
        LeaseAction::Wait
    }
}
