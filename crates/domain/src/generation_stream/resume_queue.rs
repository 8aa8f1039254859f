//! Orders and rate-limits the resumption of interrupted generations at one
//! entry.
//!
//! When a failure domain fails, the remaining engines have to process the prompt
//! and the delivered tokens of all its generations again. If all resumed at
//! once, the prefill would delay the tokens of unaffected generations. The queue
//! therefore limits prefill tokens with a token bucket. The generation with the
//! longest silence is resumed first, because its caller is the first to time
//! out.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use tokio::time::Instant;

/// Rate limit on the prefill tokens of resumptions.
#[derive(Clone, Copy, Debug)]
pub struct ResumeLimits {
    /// Prefill tokens per second.
    pub tokens_per_second: u32,
    /// Capacity of the bucket: prefill tokens that may be used at once when it is
    /// full.
    pub burst_tokens: u32,
}

impl Default for ResumeLimits {
    fn default() -> Self {
        Self {
            tokens_per_second: 20_000,
            burst_tokens: 20_000,
        }
    }
}

/// Result of [`ResumeQueue::pop_ready`].
#[derive(Debug, PartialEq, Eq)]
pub enum ResumeVerdict<T> {
    /// This resumption may start now.
    Ready(T),
    /// No resumption may start before this instant.
    Wait(Instant),
    /// The queue is empty.
    Empty,
}

#[derive(Debug)]
struct QueuedResumption<T> {
    sort_key: (Instant, u64),
    prefill_tokens: u32,
    handle: T,
}

impl<T> PartialEq for QueuedResumption<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key == other.sort_key
    }
}

impl<T> Eq for QueuedResumption<T> {}

impl<T> PartialOrd for QueuedResumption<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedResumption<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.sort_key.cmp(&other.sort_key)
    }
}

/// Priority queue of resumptions with a token-bucket rate limit.
#[derive(Debug)]
pub struct ResumeQueue<T> {
    limits: ResumeLimits,
    queued: BinaryHeap<Reverse<QueuedResumption<T>>>,
    push_count: u64,
    /// Instant at which the bucket is full again.
    full_at: Instant,
}

impl<T> ResumeQueue<T> {
    /// Creates an empty queue with a full bucket.
    pub const fn new(limits: ResumeLimits, now: Instant) -> Self {
        Self {
            limits,
            queued: BinaryHeap::new(),
            push_count: 0,
            full_at: now,
        }
    }

    /// Number of waiting resumptions.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no resumption is waiting.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Adds a resumption that requires `prefill_tokens` and whose caller has
    /// received nothing since `silent_since`. `handle` is returned when the
    /// resumption may start.
    pub fn push(&mut self, silent_since: Instant, prefill_tokens: u32, handle: T) {
        self.push_count += 1;
        let sort_key = (silent_since, self.push_count);
        self.queued.push(Reverse(QueuedResumption {
            sort_key,
            prefill_tokens,
            handle,
        }));
    }

    /// Removes and returns the resumption with the longest silence, unless the
    /// bucket is overdrawn.
    pub fn pop_ready(&mut self, now: Instant) -> ResumeVerdict<T> {
        let earliest = self.earliest_release();
        if self.queued.is_empty() {
            return ResumeVerdict::Empty;
        }
        if now < earliest {
            return ResumeVerdict::Wait(earliest);
        }
        let Some(Reverse(resumption)) = self.queued.pop() else {
            return ResumeVerdict::Empty;
        };
        self.full_at = self.full_at.max(now) + self.refill_time(resumption.prefill_tokens);
        ResumeVerdict::Ready(resumption.handle)
    }

    /// Instant at which the bucket is no longer overdrawn. A resumption may
    /// require more tokens than the bucket contains and so overdraw it.
    fn earliest_release(&self) -> Instant {
        let burst_time = self.refill_time(self.limits.burst_tokens);
        self.full_at.checked_sub(burst_time).unwrap_or(self.full_at)
    }

    fn refill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs(1) * tokens / self.limits.tokens_per_second
    }
}
