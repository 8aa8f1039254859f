//! Finding a generation that is far slower than its peers.
//!
//! Such a generation goes on elsewhere by resumption, so that no work is done
//! twice. What counts is how far it has fallen behind, not one late token.

use std::time::Duration;

use tokio::time::Instant;

/// What to do about the pace of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceVerdict {
    /// Nothing before this time, unless a token comes.
    Wait(Instant),
    /// It has fallen too far behind.
    Behind,
    /// There is nothing to compare with.
    Unknown,
}

/// Pace of one generation at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceWatch {
    last_token_at: Option<Instant>,
    lag: Duration,
}

impl PaceWatch {
    /// Times between tokens, of the peers' median, that a generation may fall
    /// behind by.
    const LAG_GAPS: u32 = 3;

    /// Part of the median by which a token may be late without lag.
    const BORNE_SHARE: u32 = 4;

    /// Lag that is borne whatever the median is.
    const LAG_MIN: Duration = Duration::from_millis(15);

    /// A token came.
    pub fn heard_token(&mut self, median: Option<Duration>, now: Instant) {
        if let (Some(last), Some(median)) = (self.last_token_at, median) {
            let gap = now.duration_since(last);
            self.lag = (self.lag + gap).saturating_sub(median + median / Self::BORNE_SHARE);
        }
        self.last_token_at = Some(now);
    }

    /// Judge the pace.
    pub fn judge(&self, median: Option<Duration>, now: Instant) -> PaceVerdict {
        let (Some(last), Some(median)) = (self.last_token_at, median) else {
            return PaceVerdict::Unknown;
        };
        let lag_max = median * Self::LAG_GAPS + Self::LAG_MIN;
        let allowance = median + lag_max.saturating_sub(self.lag);
        let until = last + allowance;
        if self.lag > lag_max || now >= until {
            PaceVerdict::Behind
        } else {
            PaceVerdict::Wait(until)
        }
    }
}
