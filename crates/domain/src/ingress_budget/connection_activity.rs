//! Activity of connections, and the one to close when there are too many.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

/// Time for which an answer was not read at all after which its connection may be closed
/// for others: the time that callers have for a head.
const STALL_TIME: Duration = Duration::from_secs(3);

/// How readily a connection is closed, the first first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    /// Its request was refused, and the rest of the body is discarded.
    Refused,
    /// It has not brought a request.
    Unused,
    /// It waits for a further request.
    Idle,
    /// Its caller does not read the answer.
    Stalled,
    /// It was opened a moment ago, and its request may be on its way.
    New,
}

/// What one connection does. Its task and its socket write it; the task that accepts
/// connections reads it.
#[derive(Debug)]
pub struct ConnectionActivity {
    opened: Instant,
    /// Requests whose answers are not complete.
    serving: AtomicU32,
    /// Milliseconds after `opened` of the last change, at least 1.
    changed_ms: AtomicU64,
    /// The same of the first write that the socket did not take; 0 for none.
    stalled_ms: AtomicU64,
    is_used: AtomicBool,
    is_refused: AtomicBool,
    is_chosen: AtomicBool,
}

impl ConnectionActivity {
    /// Starts a connection without a request.
    pub fn new(now: Instant) -> Self {
        Self {
            opened: now,
            serving: AtomicU32::new(0),
            changed_ms: AtomicU64::new(0),
            stalled_ms: AtomicU64::new(0),
            is_used: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
            is_chosen: AtomicBool::new(false),
        }
    }

    /// Records a request.
    pub fn begin_request(&self) {
        self.is_used.store(true, Relaxed);
        self.serving.fetch_add(1, Relaxed);
    }

    /// Records that an answer is complete.
    pub fn end_request(&self, now: Instant) {
        self.changed_ms.store(self.elapsed_ms(now), Relaxed);
        self.serving.fetch_sub(1, Relaxed);
    }

    /// Records that the rest of a refused body is discarded.
    pub fn mark_refused(&self) {
        self.is_refused.store(true, Relaxed);
    }

    /// Records that the socket takes no more bytes.
    pub fn mark_stalled(&self, now: Instant) {
        // The socket is written by one task.
        if self.stalled_ms.load(Relaxed) == 0 {
            self.stalled_ms.store(self.elapsed_ms(now), Relaxed);
        }
    }

    /// Records that the socket took bytes.
    pub fn mark_flowing(&self) {
        if self.stalled_ms.load(Relaxed) != 0 {
            self.stalled_ms.store(0, Relaxed);
        }
    }

    /// Rank of the connection and since when it has had it; `None` if it may not be
    /// closed.
    fn rank(&self, now: Instant) -> Option<(CloseRank, Instant)> {
        if self.is_chosen.load(Relaxed) {
            return None;
        }
        let at = |millis| self.opened + Duration::from_millis(millis);
        let changed_at = at(self.changed_ms.load(Relaxed));
        if self.is_refused.load(Relaxed) {
            return Some((CloseRank::Refused, changed_at));
        }
        match self.stalled_ms.load(Relaxed) {
            0 => {}
            stalled_ms if now >= at(stalled_ms) + STALL_TIME => {
                return Some((CloseRank::Stalled, at(stalled_ms)));
            }
            _ => return None,
        }
        if self.serving.load(Relaxed) > 0 {
            return None;
        }
        let rank = if self.is_used.load(Relaxed) {
            CloseRank::Idle
        } else if now < self.opened + STALL_TIME {
            CloseRank::New
        } else {
            CloseRank::Unused
        };
        Some((rank, changed_at))
    }

    /// Milliseconds since the connection was opened, at least 1.
    fn elapsed_ms(&self, now: Instant) -> u64 {
        let millis = now.saturating_duration_since(self.opened).as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX).max(1)
    }
}

/// Chooses the connection to close for a new one, if one may be closed. It is chosen once.
/// One that was opened a moment ago is closed only if there is no place left.
pub fn choose_closed<T>(
    connections: impl Iterator<Item = (T, impl AsRef<ConnectionActivity>)>,
    is_full: bool,
    now: Instant,
) -> Option<T> {
    choose(connections, |rank| is_full || rank != CloseRank::New, now)
}

/// Chooses the connection whose answer was not read for the longest time, if there is one
/// that may be closed. It is chosen once.
pub fn choose_stalled<T>(
    connections: impl Iterator<Item = (T, impl AsRef<ConnectionActivity>)>,
    now: Instant,
) -> Option<T> {
    choose(connections, |rank| rank == CloseRank::Stalled, now)
}

fn choose<T>(
    connections: impl Iterator<Item = (T, impl AsRef<ConnectionActivity>)>,
    is_eligible: impl Fn(CloseRank) -> bool,
    now: Instant,
) -> Option<T> {
    let ranked = connections.filter_map(|(id, activity)| {
        let rank = activity.as_ref().rank(now)?;
        is_eligible(rank.0).then_some((rank, id, activity))
    });
    let (_, id, activity) = ranked.min_by_key(|(rank, ..)| *rank)?;
    activity.as_ref().is_chosen.store(true, Relaxed);
    Some(id)
}
