//! When a stream owes its reader a heartbeat, and when it tells the server's
//! load.
//!
//! A token is a sign of life itself, so a stream that flows needs no heartbeat
//! beside it. The load rides on what is sent anyway, and only when it differs
//! from what the reader knows: the bytes of control then follow the changes,
//! not the number of open streams.

use std::time::Duration;

use tokio::time::Instant;

use crate::backend_server::LoadReport;

/// What one stream has told its reader lately.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatSchedule {
    interval: Duration,
    sent_at: Option<Instant>,
    told: Option<(LoadReport, Instant)>,
    is_told_leaving: bool,
}

impl HeartbeatSchedule {
    /// Time after which a load is told again although it has not changed; it
    /// is below the age at which readers forget a load.
    pub const LOAD_REFRESH_INTERVAL: Duration = Duration::from_millis(4_500);

    /// Time between two tellings of a load that changes.
    pub const LOAD_INTERVAL_MIN: Duration = Duration::from_millis(300);

    /// Change of the load, in thousandths of the slots, that is worth telling.
    const LOAD_CHANGE_MIN_MILLI: u64 = 100;

    /// Pace of a stream that is looked at once an `interval`; its first
    /// heartbeat is due at once.
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            sent_at: None,
            told: None,
            is_told_leaving: false,
        }
    }

    /// A token is sent.
    pub const fn record_token(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// The load, if what is sent now is to carry it; it then counts as told.
    pub fn take_due_load(&mut self, load: LoadReport, now: Instant) -> Option<LoadReport> {
        if let Some((told, told_at)) = self.told {
            let age = now.duration_since(told_at);
            let is_due = age >= Self::LOAD_REFRESH_INTERVAL
                || (age >= Self::LOAD_INTERVAL_MIN && Self::differs(told, load));
            if !is_due {
                return None;
            }
        }
        self.told = Some((load, now));
        Some(load)
    }

    fn differs(told: LoadReport, load: LoadReport) -> bool {
        let change = u64::from(told.held.abs_diff(load.held)) * 1_000;
        told.slots != load.slots
            || (change > 0 && change >= u64::from(load.slots) * Self::LOAD_CHANGE_MIN_MILLI)
    }

    /// Whether a heartbeat is due, and if so, note that it is sent.
    ///
    /// Half an interval without a token is enough, so that two signs of life
    /// are never more than one and a half intervals apart.
    pub fn take_due_heartbeat(&mut self, is_leaving: bool, now: Instant) -> bool {
        let is_silent = match self.sent_at {
            Some(last) => now.duration_since(last) >= self.interval / 2,
            None => true,
        };
        if !is_silent && is_leaving == self.is_told_leaving {
            return false;
        }
        self.sent_at = Some(now);
        self.is_told_leaving = is_leaving;
        true
    }
}
