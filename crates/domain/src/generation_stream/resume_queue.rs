//! Order and pace of resumptions at one entry.
//!
//! When a failure domain dies, every generation on it wants its prompt and its
//! delivered tokens read again by the engines that are left. Released all at
//! once they would bury the tokens of those that lost nothing. The queue spends
//! a budget of prefill tokens; while it is spent, those silent the longest go
//! first, since their callers' patience ends first.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use tokio::time::Instant;

/// Bounds on the prefill that resumptions cost.
#[derive(Clone, Copy, Debug)]
pub struct ResumeLimits {
    /// Prefill tokens a second.
    pub tokens_per_second: u32,
    /// Prefill tokens that may be spent at once after a quiet time.
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

/// What the queue says at an instant.
#[derive(Debug, PartialEq, Eq)]
pub enum ResumeVerdict<T> {
    /// This one may go on now.
    Release(T),
    /// None may before this instant.
    Wait(Instant),
    /// Nobody waits.
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

/// Resumptions that wait for their turn.
#[derive(Debug)]
pub struct ResumeQueue<T> {
    limits: ResumeLimits,
    waiters: BinaryHeap<Reverse<Waiter<T>>>,
    arrivals: u64,
    /// Instant at which all that was spent is earned again.
    paid_at: Instant,
}

impl<T> ResumeQueue<T> {
    /// Queue with its whole burst to spend.
    pub const fn new(limits: ResumeLimits, now: Instant) -> Self {
        Self {
            limits,
            waiters: BinaryHeap::new(),
            arrivals: 0,
            paid_at: now,
        }
    }

    /// Resumptions waiting.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Enter a resumption of `cost` prefill tokens, silent since an instant.
    pub fn push(&mut self, silent_since: Instant, cost: u32, ticket: T) {
        self.arrivals += 1;
        let order = (silent_since, self.arrivals);
        self.waiters.push(Reverse(Waiter {
            order,
            cost,
            ticket,
        }));
    }

    /// Release the one silent the longest, if the budget allows it.
    pub fn release(&mut self, now: Instant) -> ResumeVerdict<T> {
        let may_at = self.next_release();
        if self.waiters.is_empty() {
            return ResumeVerdict::Empty;
        }
        if now < may_at {
            return ResumeVerdict::Wait(may_at);
        }
        let Some(Reverse(waiter)) = self.waiters.pop() else {
            return ResumeVerdict::Empty;
        };
        self.paid_at = self.paid_at.max(now) + self.earning_time(waiter.cost);
        ResumeVerdict::Release(waiter.ticket)
    }

    /// Instant from which less than the burst is spent.
    fn next_release(&self) -> Instant {
        let burst_time = self.earning_time(self.limits.burst);
        self.paid_at.checked_sub(burst_time).unwrap_or(self.paid_at)
    }

    fn earning_time(&self, tokens: u32) -> Duration {
        Duration::from_secs(1) * tokens / self.limits.tokens_per_second
    }
}
