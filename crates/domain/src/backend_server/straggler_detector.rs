//! Detection of stragglers: generations far slower than is usual for the servers
//! of the pool.
//!
//! A straggler is moved to another server, where it resumes after the delivered
//! tokens, so those are not generated again. The criterion is the accumulated
//! lag, not a single late token. Before the first token, a small request is
//! compared with other small requests. A request with a long prompt is not
//! compared before its first token, since its prefill time depends on the prompt
//! rather than on the server.

use std::time::Duration;

use tokio::time::Instant;

use crate::backend_server::PeerMedians;

/// Result of comparing a generation with the peer medians.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StragglerVerdict {
    /// Not a straggler before this time; evaluate again then or after a token.
    Wait(Instant),
    /// The generation is a straggler.
    Straggling,
    /// No peer medians to compare with.
    Unknown,
}

/// Tracks the lag of one generation at one server.
#[derive(Clone, Copy, Debug)]
pub struct StragglerDetector {
    opened_at: Instant,
    is_small: bool,
    last_token_at: Option<Instant>,
    lag: Duration,
}

impl StragglerDetector {
    /// Largest number of prompt and delivered tokens of a small request.
    const SMALL_REQUEST_TOKENS_MAX: usize = 128;

    /// Allowed lag, as a multiple of the peers' median token gap.
    const LAG_GAPS_MAX: u32 = 3;

    /// Allowed time to the first token, as a multiple of the peers' median.
    const FIRST_TOKEN_FACTOR_MAX: u32 = 3;

    /// A token adds to the lag the time beyond the median plus
    /// `1 / TOLERANCE_DIVISOR` of it. A token that arrives sooner reduces the lag.
    const TOLERANCE_DIVISOR: u32 = 4;

    /// Delay added to both limits, so that small medians do not make them too
    /// strict.
    const DELAY_ALLOWANCE: Duration = Duration::from_millis(15);

    /// Creates a detector for a stream requested at `opened_at`, whose server
    /// has to prefill `tokens` of prompt and delivered text.
    pub const fn new(opened_at: Instant, tokens: usize) -> Self {
        Self {
            opened_at,
            is_small: tokens <= Self::SMALL_REQUEST_TOKENS_MAX,
            last_token_at: None,
            lag: Duration::ZERO,
        }
    }

    /// Records a token. Returns the time to the first token if this is the first
    /// token of a small request.
    pub fn record_token(&mut self, medians: PeerMedians, now: Instant) -> Option<Duration> {
        let last = self.last_token_at.replace(now);
        let Some(last) = last else {
            return self.is_small.then(|| now.duration_since(self.opened_at));
        };
        if let Some(median) = medians.token_gap {
            let gap = now.duration_since(last);
            self.lag = (self.lag + gap).saturating_sub(median + median / Self::TOLERANCE_DIVISOR);
        }
        None
    }

    /// Compares the generation with the peer medians.
    pub fn evaluate(&self, medians: PeerMedians, now: Instant) -> StragglerVerdict {
        let deadline = match self.last_token_at {
            Some(last) => self.next_token_deadline(last, medians),
            None => self.first_token_deadline(medians),
        };
        match deadline {
            None => StragglerVerdict::Unknown,
            Some(deadline) if now >= deadline => StragglerVerdict::Straggling,
            Some(deadline) => StragglerVerdict::Wait(deadline),
        }
    }

    fn next_token_deadline(&self, last: Instant, medians: PeerMedians) -> Option<Instant> {
        let median = medians.token_gap?;
        let max_lag = median * Self::LAG_GAPS_MAX + Self::DELAY_ALLOWANCE;
        match max_lag.checked_sub(self.lag) {
            Some(remaining) => Some(last + median + remaining),
            None => Some(last),
        }
    }

    fn first_token_deadline(&self, medians: PeerMedians) -> Option<Instant> {
        let median = medians.time_to_first_token.filter(|_| self.is_small)?;
        Some(self.opened_at + median * Self::FIRST_TOKEN_FACTOR_MAX + Self::DELAY_ALLOWANCE)
    }
}
