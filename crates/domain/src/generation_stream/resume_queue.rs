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
    pub burst: u32,
}

impl Default for ResumeLimits {
    fn default() -> Self {
        Self {
            tokens_per_second: 20_000,
            burst: 20_000,
        }
    }
}

/// Result of [`ResumeQueue::release`].
#[derive(Debug, PartialEq, Eq)]
pub enum ResumeVerdict<T> {
    /// This resumption may start now.
    Release(T),
    /// No resumption may start before this instant.
    Wait(Instant),
    /// The queue is empty.
    Empty,
}

#[derive(Debug)]
struct Waiter<T> {
    order: (Instant, u64),
    cost: u32,
    ticket: T,
}

impl<T> PartialEq for Waiter<T> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<T> Eq for Waiter<T> {}

impl<T> PartialOrd for Waiter<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Waiter<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

/// Priority queue of resumptions with a token-bucket rate limit.
#[derive(Debug)]
pub struct ResumeQueue<T> {
    limits: ResumeLimits,
    waiters: BinaryHeap<Reverse<Waiter<T>>>,
    push_count: u64,
    /// Instant at which the bucket is full again.
    full_at: Instant,
}

impl<T> ResumeQueue<T> {
    /// Creates an empty queue with a full bucket.
    pub const fn new(limits: ResumeLimits, now: Instant) -> Self {
        Self {
            limits,
            waiters: BinaryHeap::new(),
            push_count: 0,
            full_at: now,
        }
    }

    /// Number of waiting resumptions.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no resumption is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a resumption that costs `cost` prefill tokens and whose caller has
    /// received nothing since `silent_since`.
    pub fn push(&mut self, silent_since: Instant, cost: u32, ticket: T) {
        self.push_count += 1;
        let order = (silent_since, self.push_count);
        self.waiters.push(Reverse(Waiter {
            order,
            cost,
            ticket,
        }));
    }

    /// Removes and returns the resumption with the longest silence, unless the
    /// bucket is overdrawn.
    pub fn release(&mut self, now: Instant) -> ResumeVerdict<T> {
        let earliest = self.earliest_release();
        if self.waiters.is_empty() {
            return ResumeVerdict::Empty;
        }
        if now < earliest {
            return ResumeVerdict::Wait(earliest);
        }
        let Some(Reverse(waiter)) = self.waiters.pop() else {
            return ResumeVerdict::Empty;
        };
        self.full_at = self.full_at.max(now) + self.refill_time(waiter.cost);
        ResumeVerdict::Release(waiter.ticket)
    }

    /// Instant at which the bucket is no longer overdrawn. A resumption may cost
    /// more tokens than the bucket contains and so overdraw it.
    fn earliest_release(&self) -> Instant {
        let burst_time = self.refill_time(self.limits.burst);
        self.full_at.checked_sub(burst_time).unwrap_or(self.full_at)
    }

    fn refill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs(1) * tokens / self.limits.tokens_per_second
    }
}
