//! Finding a generation that is far slower than its peers.
//!
//! Such a generation goes on elsewhere by resumption, so that no work is done
//! twice. What counts is how far it has fallen behind, not one late token.
//! Before its first token a small request is compared with other small ones; a
//! long prompt is read for a time that tells nothing about the server.

use std::time::Duration;

use tokio::time::Instant;

use crate::backend_server::PeerMedians;

/// What to do about the pace of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StragglerVerdict {
    /// Nothing before this time, unless a token comes.
    Wait(Instant),
    /// It has fallen too far behind.
    Behind,
    /// There is nothing to compare with.
    Unknown,
}

/// Pace of one generation at one server.
#[derive(Clone, Copy, Debug)]
pub struct StragglerDetector {
    opened_at: Instant,
    is_small: bool,
    last_token_at: Option<Instant>,
    lag: Duration,
}

impl StragglerDetector {
    /// Tokens, of prompt and delivered ones, up to which a request is small.
    const SMALL_TOKENS: usize = 128;

    /// Times between tokens, of the peers' median, that a generation may fall
    /// behind by.
    const LAG_GAPS: u32 = 3;

    /// Times to the first token, of the peers' median, that one may take.
    const FIRST_WAITS: u32 = 3;

    /// Part of the median by which a token may be late without lag.
    const BORNE_SHARE: u32 = 4;

    /// Lag that is borne whatever the median is.
    const LAG_MIN: Duration = Duration::from_millis(15);

    /// Pace of a stream that was asked for at `opened_at`, whose server has
    /// `tokens` of prompt and delivered text to read first.
    pub const fn new(opened_at: Instant, tokens: usize) -> Self {
        Self {
            opened_at,
            is_small: tokens <= Self::SMALL_TOKENS,
            last_token_at: None,
            lag: Duration::ZERO,
        }
    }

    /// A token came; the time to the first one of a small request is returned.
    pub fn record_token(&mut self, medians: PeerMedians, now: Instant) -> Option<Duration> {
        let last = self.last_token_at.replace(now);
        let Some(last) = last else {
            return self.is_small.then(|| now.duration_since(self.opened_at));
        };
        if let Some(median) = medians.token_gap {
            let gap = now.duration_since(last);
            self.lag = (self.lag + gap).saturating_sub(median + median / Self::BORNE_SHARE);
        }
        None
    }

    /// Judge the pace.
    pub fn evaluate(&self, medians: PeerMedians, now: Instant) -> StragglerVerdict {
        let until = match self.last_token_at {
            Some(last) => self.token_due(last, medians),
            None => self.first_due(medians),
        };
        match until {
            None => StragglerVerdict::Unknown,
            Some(until) if now >= until => StragglerVerdict::Behind,
            Some(until) => StragglerVerdict::Wait(until),
        }
    }

    fn token_due(&self, last: Instant, medians: PeerMedians) -> Option<Instant> {
        let median = medians.token_gap?;
        let lag_max = median * Self::LAG_GAPS + Self::LAG_MIN;
        match lag_max.checked_sub(self.lag) {
            Some(left) => Some(last + median + left),
            None => Some(last),
        }
    }

    fn first_due(&self, medians: PeerMedians) -> Option<Instant> {
        let median = medians.time_to_first_token.filter(|_| self.is_small)?;
        Some(self.opened_at + median * Self::FIRST_WAITS + Self::LAG_MIN)
    }
}
