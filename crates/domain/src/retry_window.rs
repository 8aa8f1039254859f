//! Counts by bucket of time, exact with several threads.
//!
//! A bucket packs the index of its part of time and its count into one word, so a
//! count never ends up in a part that another thread has just begun.

use std::sync::atomic::{
    AtomicU64,
    Ordering::{AcqRel, Acquire},
};

/// Number of buckets kept: more than two windows, and the length of a lease ahead.
const BUCKETS: u64 = 64;
/// Bits of a word that hold the count.
const COUNT_BITS: u32 = 32;

/// Counts of the last [`BUCKETS`] parts of time.
#[derive(Debug)]
pub(crate) struct BucketRing {
    words: [AtomicU64; BUCKETS as usize],
    /// Latest time that was counted in each bucket, in milliseconds.
    latest: [AtomicU64; BUCKETS as usize],
}

impl Default for BucketRing {
    fn default() -> Self {
        Self {
            words: std::array::from_fn(|_| AtomicU64::new(0)),
            latest: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl BucketRing {
    /// Adds to the count of a bucket. A bucket older than the ring is ignored.
    pub(crate) fn add(&self, index: u64, count: u32) {
        self.update(index, |present| present.saturating_add(count));
    }

    /// Adds to the count of the bucket of a time. The time comes first, so that whoever
    /// sees the count sees the time as well.
    pub(crate) fn add_at(&self, index: u64, count: u32, at_ms: u64) {
        self.latest[slot(index)].fetch_max(at_ms, AcqRel);
        self.add(index, count);
    }

    /// Returns the count of a bucket, 0 if all of it lies at or before `start_ms`.
    pub(crate) fn count_after(&self, index: u64, start_ms: u64) -> u64 {
        let count = self.count(index);
        if self.latest[slot(index)].load(Acquire) <= start_ms {
            0
        } else {
            count
        }
    }

    /// Takes a count back that was added to a bucket.
    pub(crate) fn take_back(&self, index: u64, count: u32) {
        self.update(index, |present| present.saturating_sub(count));
    }

    /// Returns the count of a bucket.
    pub(crate) fn count(&self, index: u64) -> u64 {
        match unpack(self.word(index).load(Acquire)) {
            (known, count) if known == index as u32 => count.into(),
            _ => 0,
        }
    }

    fn update(&self, index: u64, change: impl Fn(u32) -> u32) {
        let own = index as u32;
        // Fails only for a bucket that a newer one has replaced.
        let _ = self
            .word(index)
            .fetch_update(AcqRel, Acquire, |word| match unpack(word) {
                (known, count) if known == own => Some(pack(own, change(count))),
                (known, _) if known < own => Some(pack(own, change(0))),
                _ => None,
            });
    }

    fn word(&self, index: u64) -> &AtomicU64 {
        &self.words[slot(index)]
    }
}

fn slot(index: u64) -> usize {
    (index % BUCKETS) as usize
}

fn pack(index: u32, count: u32) -> u64 {
    u64::from(index) << COUNT_BITS | u64::from(count)
}

fn unpack(word: u64) -> (u32, u32) {
    ((word >> COUNT_BITS) as u32, word as u32)
}
