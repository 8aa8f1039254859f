//! When a refused caller is told to come back.
//!
//! A caller honours the advice only up to a part of its remaining time. Callers
//! that are refused together must not come back together, so each advice is drawn
//! from a range. Where requests are ranked, the ranges of the classes follow one
//! another, so that the most urgent callers come back first.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::{kv_placement::ServiceOutlook, urgency::UrgencyClass};

/// Longest advice for a plain request: several times its usual duration.
const CALL_WAIT_MAX: Duration = Duration::from_millis(150);
/// Longest advice for a stream: about the time in which a crashed server at the
/// users' sites is running again.
const STREAM_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Part of the remaining time up to which an advice is given. Callers honour a
/// third of it.
const REMAINING_PART_MAX: f64 = 0.3;
/// Part of the remaining time for an advice that no server asked for.
const REMAINING_PART: f64 = 0.25;
/// Range over which the returns after a pause are spread, as a part of the pause.
const PAUSE_SPREAD: f64 = 0.5;

/// A request that is refused because it did not run or is idempotent.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest {
    /// Whether the answer would have been an event stream.
    pub is_stream: bool,
    /// Time that the caller still has.
    pub remaining: Duration,
    /// Whether and when its service takes requests.
    pub outlook: ServiceOutlook,
    /// Its place among the requests of its service; `None` if they are equally urgent.
    pub class: Option<UrgencyClass>,
}

impl RefusedRequest {
    /// Time after which the caller should send the request again.
    pub fn retry_after(&self, now: Instant, rng: &mut impl Rng) -> Duration {
        let longest = self.remaining.mul_f64(REMAINING_PART_MAX);
        if let ServiceOutlook::Paused(end) = self.outlook {
            let pause = end.saturating_duration_since(now);
            if pause < longest {
                let spread = pause.mul_f64(PAUSE_SPREAD).min(longest - pause);
                return pause + spread.mul_f64(self.place_in_spread(rng.random_range(0.0..1.0)));
            }
        }
        let wait_max = if self.is_stream {
            STREAM_WAIT_MAX
        } else {
            CALL_WAIT_MAX
        };
        let usual = wait_max.min(self.remaining.mul_f64(REMAINING_PART));
        let wait = match self.outlook {
            ServiceOutlook::Open => usual,
            // An earlier return would meet the same servers.
            ServiceOutlook::Paused(_) | ServiceOutlook::Leaving => longest,
        };
        wait.mul_f64(rng.random_range(0.5..1.0)) + self.class_delay(wait, longest)
    }

    /// Place of a draw from `0..1` in a range that the classes share: each class has an
    /// equal part of it.
    fn place_in_spread(&self, draw: f64) -> f64 {
        self.class.map_or(draw, |class| {
            (class.index() as f64 + draw) / class.count() as f64
        })
    }

    /// Time by which the range of a class starts after that of the most urgent one. Each
    /// range has the length of half of `wait`; they overlap where the last one would not
    /// end before `longest`.
    fn class_delay(&self, wait: Duration, longest: Duration) -> Duration {
        let Some(class) = self.class else {
            return Duration::ZERO;
        };
        let last_index = (class.count() - 1) as f64;
        let step = (wait / 2).min(longest.saturating_sub(wait).div_f64(last_index));
        step.mul_f64(class.index() as f64)
    }
}
