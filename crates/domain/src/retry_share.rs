//! This process's share of the retry budget of all entries.
//!
//! The retry budget of a service is a ratio of the requests to it within a time
//! window, plus a fixed number, the slack. Each entry applies the ratio to its own
//! requests and takes an equal part of the slack, so the total holds when entries fail
//! or join. The load that this handles: the losses of a failure domain cluster at few
//! entries at a time. An entry may therefore lend a part of its room to another one
//! ([`RetryShare::lend`], [`RetryShare::accept`]); which one asks and how much is
//! given is decided in [`retry_pool`].
//!
//! An entry's room is worked out from the requests and retries of the window that ends
//! now. The sums over all entries then keep the bound of the same window at each retry.
//!
//! [`RetryBounds`] is the budget of all entries, and [`RetryShare`] is the part of
//! one entry. [`RetryBudget`] is a separate limit without a time window.
//!
//! [`retry_pool`]: crate::retry_pool
//! [`RetryBudget`]: crate::team_budget::RetryBudget

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64, AtomicUsize,
            Ordering::{AcqRel, Acquire, Relaxed},
        },
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::retry_window::BucketRing;

/// Fraction of the budget that may be spent. The rest covers entries that joined
/// without being able to tell the others, the time between the decision to retry and
/// the arrival of the retry, and requests that become fewer after it.
const SPENDABLE_FRACTION: f64 = 0.85;
/// Number of buckets that a window is divided into. One bucket of requests and one of
/// retries are lost to rounding.
const WINDOW_BUCKETS: u64 = 20;
/// Buckets whose retries may be in the window that ends in the last of them.
const RETRY_BUCKETS: u64 = WINDOW_BUCKETS + 1;
/// Buckets for which room is lent. A retry waits for it, so it is spent at once; a longer
/// lease would keep unspent room from everybody.
const LEASE_BUCKETS: u64 = 2;
/// Largest number of leases held at a time. Further ones are not used.
const LEASES_MAX: usize = 16;
/// Bits of a lease's word that hold the room left.
const ROOM_BITS: u32 = 20;

/// Retry budget of one service for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to those from the ratio, for all entries
    /// together.
    pub slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of one service at this process, counted in a sliding
/// window, and the room that other entries lent.
#[derive(Debug)]
pub struct RetryShare {
    start: Instant,
    bounds: RetryBounds,
    requests: BucketRing,
    /// Retries from the own part, and room lent to others, which counts in the bucket
    /// in which it may be spent at the latest.
    used: BucketRing,
    /// Retries wanted, whether there was room or not.
    wanted: BucketRing,
    leases: [LeaseSlot; LEASES_MAX],
    streams: AtomicUsize,
    waiting: AtomicUsize,
}

/// Room lent by another entry: the milliseconds since the start until which it may be
/// spent, and what is left of it, in one word.
#[derive(Debug, Default)]
struct LeaseSlot(AtomicU64);

/// A stream that is open. A lost server may make it need a retry.
#[derive(Debug)]
pub struct OpenStream(Arc<RetryShare>);

/// A retry that waits for room.
#[derive(Debug)]
pub struct WaitingRetry<'a>(&'a RetryShare);

impl RetryShare {
    /// Creates a share without requests or retries.
    pub fn new(bounds: RetryBounds, now: Instant) -> Self {
        Self {
            start: now,
            bounds,
            requests: BucketRing::default(),
            used: BucketRing::default(),
            wanted: BucketRing::default(),
            leases: Default::default(),
            streams: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Records a request.
    pub fn record_request(&self, now: Instant) {
        self.requests.add(self.bucket_index(now), 1);
    }

    /// Counts a stream until the returned value is dropped.
    pub fn open_stream(self: &Arc<Self>) -> OpenStream {
        self.streams.fetch_add(1, Relaxed);
        OpenStream(Arc::clone(self))
    }

    /// Number of open streams.
    pub fn open_streams(&self) -> usize {
        self.streams.load(Relaxed)
    }

    /// Takes one retry, if available. `entries` is the number of running entries.
    pub fn try_spend(&self, entries: usize, now: Instant) -> bool {
        self.wanted.add(self.bucket_index(now), 1);
        self.try_spend_again(entries, now)
    }

    /// Takes a retry that [`RetryShare::try_spend`] did not get before. Lent room goes
    /// first, since it expires.
    pub fn try_spend_again(&self, entries: usize, now: Instant) -> bool {
        self.spend_leased(now) || self.use_room(1, 0, entries, now)
    }

    /// Counts a retry as waiting for room until the returned value is dropped.
    pub fn wait_for_room(&self) -> WaitingRetry<'_> {
        self.waiting.fetch_add(1, Relaxed);
        WaitingRetry(self)
    }

    /// Number of retries that wait for room.
    pub fn waiting_retries(&self) -> usize {
        self.waiting.load(Relaxed)
    }

    /// Returns the retries that remain in the window that ends now, lent ones
    /// included, or a negative number if more were taken than are allowed now.
    pub fn remaining(&self, entries: usize, now: Instant) -> f64 {
        self.room(entries, now) + self.leased(now) as f64
    }

    /// Room that could be lent now.
    pub fn lendable(&self, entries: usize, now: Instant) -> f64 {
        self.room(entries, now)
    }

    /// Lends room to another entry, which may spend it for [`RetryShare::lease_time`].
    /// It counts as used here until the last retry from it has left the window.
    pub fn lend(&self, room: u32, entries: usize, now: Instant) -> bool {
        room > 0 && self.use_room(room, LEASE_BUCKETS, entries, now)
    }

    /// Time for which room is lent.
    pub fn lease_time(&self) -> Duration {
        self.bucket_length() * LEASE_BUCKETS as u32
    }

    /// Adds room that another entry lent for `time` in answer to a call made at
    /// `asked_at`, which is no later than the beginning of the lease there. Returns
    /// whether it can be used.
    pub fn accept(&self, room: u32, time: Duration, asked_at: Instant, now: Instant) -> bool {
        let until = asked_at + time.min(self.lease_time());
        if room == 0 || until <= now {
            return false;
        }
        let word = LeaseSlot::pack(self.elapsed_ms(until), room.into());
        let now_ms = self.elapsed_ms(now);
        self.leases.iter().any(|slot| slot.put(word, now_ms))
    }

    /// Most retries that were wanted in two adjacent buckets of the last window.
    pub fn demand_peak(&self, now: Instant) -> u64 {
        let index = self.bucket_index(now);
        let oldest = index.saturating_sub(WINDOW_BUCKETS);
        let pairs = (oldest..=index).map(|index| {
            let before = index.checked_sub(1);
            self.wanted.count(index) + before.map_or(0, |before| self.wanted.count(before))
        });
        pairs.max().unwrap_or(0)
    }

    /// Uses room of the own part `ahead` buckets from now. It is added before it is
    /// checked, so that two threads never use the same room.
    fn use_room(&self, room: u32, ahead: u64, entries: usize, now: Instant) -> bool {
        let index = self.bucket_index(now);
        let used_at = now + self.bucket_length() * ahead as u32;
        self.used
            .add_at(index + ahead, room, self.elapsed_ms(used_at));
        let is_covered = self.room(entries, now) >= 0.0;
        if !is_covered {
            self.used.take_back(index + ahead, room);
        }
        is_covered
    }

    /// Returns the room of the own part in the window that ends now. Room that is lent
    /// counts from now on.
    fn room(&self, entries: usize, now: Instant) -> f64 {
        let index = self.bucket_index(now);
        let oldest_retry = (index + 1).saturating_sub(RETRY_BUCKETS);
        // Times up to this one are not in the window.
        let window_ms = self.bounds.window.as_millis() as u64;
        let left_ms = self.elapsed_ms(now).checked_sub(window_ms);
        let used: u64 = (oldest_retry + 1..=index + LEASE_BUCKETS)
            .map(|index| self.used.count(index))
            .sum();
        let used = used + self.used_after(oldest_retry, left_ms);
        let requests: u64 = ((index + 1).saturating_sub(WINDOW_BUCKETS)..=index)
            .map(|index| self.requests.count(index))
            .sum();
        let allowed =
            self.bounds.ratio * requests as f64 + self.bounds.slack / entries.max(1) as f64;
        allowed * SPENDABLE_FRACTION - used as f64
    }

    /// Retries of a bucket that are not all at or before `left_ms`.
    fn used_after(&self, index: u64, left_ms: Option<u64>) -> u64 {
        match left_ms {
            Some(left_ms) => self.used.count_after(index, left_ms),
            None => self.used.count(index),
        }
    }

    /// Room left of the leases.
    fn leased(&self, now: Instant) -> u64 {
        let now_ms = self.elapsed_ms(now);
        self.leases.iter().map(|slot| slot.left(now_ms)).sum()
    }

    fn spend_leased(&self, now: Instant) -> bool {
        let now_ms = self.elapsed_ms(now);
        self.leases.iter().any(|slot| slot.spend(now_ms))
    }

    fn elapsed_ms(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.start);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    fn bucket_length(&self) -> Duration {
        let millis = self.bounds.window.as_millis();
        let length = millis.div_ceil(WINDOW_BUCKETS.into()).max(1);
        Duration::from_millis(u64::try_from(length).unwrap_or(u64::MAX))
    }

    fn bucket_index(&self, now: Instant) -> u64 {
        let elapsed = u128::from(self.elapsed_ms(now));
        u64::try_from(elapsed / self.bucket_length().as_millis()).unwrap_or(u64::MAX)
    }
}

impl LeaseSlot {
    fn pack(until_ms: u64, room: u64) -> u64 {
        until_ms << ROOM_BITS | room.min((1 << ROOM_BITS) - 1)
    }

    fn unpack(word: u64) -> (u64, u64) {
        (word >> ROOM_BITS, word & ((1 << ROOM_BITS) - 1))
    }

    fn left(&self, now_ms: u64) -> u64 {
        match Self::unpack(self.0.load(Acquire)) {
            (until_ms, room) if now_ms < until_ms => room,
            _ => 0,
        }
    }

    /// Replaces a lease that has ended or is spent.
    fn put(&self, word: u64, now_ms: u64) -> bool {
        let replaced = self.0.fetch_update(AcqRel, Acquire, |present| {
            let (until_ms, room) = Self::unpack(present);
            (room == 0 || until_ms <= now_ms).then_some(word)
        });
        replaced.is_ok()
    }

    fn spend(&self, now_ms: u64) -> bool {
        let spent = self.0.fetch_update(AcqRel, Acquire, |word| {
            let (until_ms, room) = Self::unpack(word);
            (room > 0 && now_ms < until_ms).then(|| Self::pack(until_ms, room - 1))
        });
        spent.is_ok()
    }
}

impl Drop for WaitingRetry<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Relaxed);
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Relaxed);
    }
}
