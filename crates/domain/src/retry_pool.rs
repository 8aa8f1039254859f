//! Exchange of retry room between entries.
//!
//! The load that this handles: when a failure domain is lost, the streams of few
//! entries need many retries within milliseconds, while others use hardly any. A stream
//! whose retry finds no room waits for some, and its entry asks others for as much as is
//! waited for ([`room_wanted`]). Another entry lends a part of what is left beside its own
//! needs ([`room_to_lend`]).
//!
//! [`SlackRule`] decides which part of the common slack an entry may use, so that the
//! parts add up to no more than the slack while entries join: one that joins running
//! entries uses none until these count it and until their earlier, larger parts
//! have left the window.

use std::{
    sync::atomic::{
        AtomicBool, AtomicU64, AtomicUsize,
        Ordering::{Acquire, Relaxed, Release},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::retry_share::RetryShare;

/// Number of entries assumed while all entries have just started: more than the
/// largest known deployment runs, so that the parts are too small rather than too large.
const ASSUMED_ENTRIES: usize = 32;
/// Largest number of entries believed from another entry's message.
pub const REPORTED_ENTRIES_MAX: usize = 10_000;
/// Factor of the streams in one failure domain, which are spread unevenly.
const UNEVEN_FACTOR: f64 = 1.5;
/// Part of the unused room that one call may lend. The rest stays for other callers.
const LENT_FRACTION: f64 = 0.5;
/// Part of its own expected burst that a lender keeps. It can borrow the rest itself.
const KEPT_FRACTION: f64 = 0.5;

/// Entries listed for each one that may be silent when all have just started. The part
/// of a silent one is covered by what the budget leaves unspent.
const UNHEARD_PART: usize = 16;

/// Divisor of an entry that may not use any of the slack.
pub const NO_SLACK: usize = usize::MAX;

/// Retries that an entry must expect to need at once: those of the streams that the
/// loss of one of `domains` failure domains ends, or as many as were recently needed.
pub fn expected_burst(share: &RetryShare, domains: usize, now: Instant) -> f64 {
    let streams = share.open_streams() as f64 * UNEVEN_FACTOR / domains.max(2) as f64;
    streams.max(share.demand_peak(now) as f64).ceil() + 1.0
}

/// Room that an entry wants from others: that of the retries that wait for it.
pub fn room_wanted(share: &RetryShare, entries: usize, now: Instant) -> u32 {
    let missing = share.waiting_retries() as f64 - share.remaining(entries, now).max(0.0);
    missing.max(0.0).ceil() as u32
}

/// Room that an entry lends to one that wants `wanted`.
pub fn room_to_lend(
    share: &RetryShare,
    wanted: u32,
    entries: usize,
    domains: usize,
    now: Instant,
) -> u32 {
    let kept = expected_burst(share, domains, now) * KEPT_FRACTION;
    let spare = share.lendable(entries, now) - kept - share.waiting_retries() as f64;
    if spare < 1.0 {
        return 0;
    }
    wanted.min((spare * LENT_FRACTION).ceil() as u32)
}

/// What the other entries replied to the number of entries that this one knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeReplies {
    /// Other entries listed.
    pub listed: usize,
    /// Those that replied.
    pub replied: usize,
    /// Those that used slack before this entry was known to them.
    pub established: usize,
}

/// Time rules of the use of the slack.
#[derive(Clone, Copy, Debug)]
pub struct SlackTimes {
    /// Window of the retry budget.
    pub window: Duration,
    /// Time within which an entry lists one that announced itself in the store.
    pub listing: Duration,
}

/// Part of the slack that this entry may use.
#[derive(Debug)]
pub struct SlackRule {
    start: Instant,
    /// Milliseconds since the start from which the slack may be used, plus 1; 0 while
    /// that is not known.
    usable_ms: AtomicU64,
    /// Largest number of entries known, by this entry or another one.
    entries: AtomicUsize,
    has_predecessor: AtomicBool,
    is_established: AtomicBool,
    /// Whether all others replied.
    is_complete: AtomicBool,
}

impl SlackRule {
    /// Creates the rule of an entry that starts now and knows of no other.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            usable_ms: AtomicU64::new(0),
            entries: AtomicUsize::new(0),
            has_predecessor: AtomicBool::new(false),
            is_established: AtomicBool::new(false),
            is_complete: AtomicBool::new(false),
        }
    }

    /// Returns the number by which this entry divides the slack. `listed` is the number
    /// of entries in the store's list. An entry without others has all of it.
    pub fn divisor(&self, listed: usize, times: SlackTimes, now: Instant) -> usize {
        let entries = listed.max(self.entries.load(Relaxed));
        let is_usable = match self.usable_ms.load(Acquire).checked_sub(1) {
            Some(usable) => usable <= self.elapsed_ms(now),
            None => entries <= 1 && !self.has_predecessor.load(Relaxed),
        };
        if !is_usable {
            NO_SLACK
        } else if entries <= 1 || self.has_settled(times, now) {
            entries.max(1)
        } else {
            entries.max(ASSUMED_ENTRIES)
        }
    }

    /// Returns the divisor as [`SlackRule::divisor`] does, for room that is used now.
    pub fn divisor_in_use(&self, listed: usize, times: SlackTimes, now: Instant) -> usize {
        let divisor = self.divisor(listed, times, now);
        if divisor != NO_SLACK && (divisor < ASSUMED_ENTRIES || self.has_settled(times, now)) {
            self.is_established.store(true, Relaxed);
        }
        divisor
    }

    /// Whether this entry may have used a part of the slack that does not count an
    /// entry that joins now.
    pub fn is_established(&self) -> bool {
        self.is_established.load(Relaxed)
    }

    /// Records that an entry of the same name ran before. What it used may still be in
    /// the window.
    pub fn note_predecessor(&self) {
        self.has_predecessor.store(true, Relaxed);
    }

    /// Records the number of entries that another entry knows.
    pub fn note_entries(&self, entries: usize) {
        let entries = entries.min(REPORTED_ENTRIES_MAX);
        self.entries.fetch_max(entries, Relaxed);
    }

    /// Replaces the number of entries by that of a listing of the store that succeeded
    /// just now.
    pub fn set_listed(&self, entries: usize) {
        self.entries.store(entries, Relaxed);
    }

    /// Records how the others have replied so far to the number of entries that this one
    /// knows. If none of them used any slack yet, all have just started.
    pub fn record_replies(&self, replies: NoticeReplies, times: SlackTimes, now: Instant) {
        let missing = replies.listed.saturating_sub(replies.replied);
        let wait =
            if replies.established > 0 && missing > 0 || missing > replies.listed / UNHEARD_PART {
                times.listing + times.window
            } else if replies.established > 0 || self.has_predecessor.load(Relaxed) {
                times.window
            } else {
                Duration::ZERO
            };
        let usable = self.elapsed_ms(now + wait).saturating_add(1);
        // A later round of calls, which reached more of the others, may end the wait earlier.
        let _ = self
            .usable_ms
            .fetch_update(Release, Acquire, |known| match known {
                0 => Some(usable),
                known => Some(known.min(usable)),
            });
        self.is_complete.store(missing == 0, Relaxed);
    }

    /// Whether the others must still be told of this entry: some have not replied, and
    /// it uses no slack yet.
    pub fn is_pending(&self, now: Instant) -> bool {
        match self.usable_ms.load(Acquire).checked_sub(1) {
            Some(usable) => !self.is_complete.load(Relaxed) && usable > self.elapsed_ms(now),
            None => true,
        }
    }

    /// Whether entries that started together with this one have all been listed.
    fn has_settled(&self, times: SlackTimes, now: Instant) -> bool {
        now.saturating_duration_since(self.start) >= times.window
    }

    fn elapsed_ms(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
