//! When a stream owes its reader a heartbeat, and when a token carries the
//! server's load.
//!
//! A token is a sign of life itself, so a stream that flows needs no heartbeat
//! beside it. The load that heartbeats tell then rides on a token now and then,
//! which keeps the bytes of control small however many streams are open.

use std::time::Duration;

use tokio::time::Instant;

/// What one stream has told its reader lately.
#[derive(Clone, Copy, Debug)]
pub struct BeatPace {
    interval: Duration,
    sent_at: Option<Instant>,
    load_at: Option<Instant>,
    is_told_leaving: bool,
}

impl BeatPace {
    /// Time between two tokens of a stream that carry the load.
    pub const LOAD_INTERVAL: Duration = Duration::from_millis(900);

    /// Pace of a stream that is looked at once an `interval`; its first
    /// heartbeat is due at once.
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            sent_at: None,
            load_at: None,
            is_told_leaving: false,
        }
    }

    /// A token is sent; whether it is to carry the load.
    pub fn note_token(&mut self, now: Instant) -> bool {
        self.sent_at = Some(now);
        let is_due = match self.load_at {
            Some(last) => now.duration_since(last) >= Self::LOAD_INTERVAL,
            None => true,
        };
        if is_due {
            self.load_at = Some(now);
        }
        is_due
    }

    /// Whether a heartbeat is due, and if so, note that it is sent.
    ///
    /// Half an interval without a token is enough, so that two signs of life
    /// are never more than one and a half intervals apart.
    pub fn take_beat(&mut self, is_leaving: bool, now: Instant) -> bool {
        let is_silent = match self.sent_at {
            Some(last) => now.duration_since(last) >= self.interval / 2,
            None => true,
        };
        if !is_silent && is_leaving == self.is_told_leaving {
            return false;
        }
        self.sent_at = Some(now);
        self.load_at = Some(now);
        self.is_told_leaving = is_leaving;
        true
    }
}
