//! Decides when a stream sends a heartbeat and when it reports the server's
//! load.
//!
//! A token also proves that the stream is alive, so a stream that is sending
//! tokens needs no heartbeats. The load is attached to a token or heartbeat
//! that is sent anyway, and only if it differs from the last one reported, so
//! the control traffic is proportional to load changes rather than to the number
//! of open streams.

use std::time::Duration;

use tokio::time::Instant;

use crate::backend_server::ServerLoad;

/// Decides when one stream sends heartbeats and load reports, from the time of
/// the last message and the last load sent.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatSchedule {
    check_interval: Duration,
    last_sent_at: Option<Instant>,
    sent_load: Option<(ServerLoad, Instant)>,
    is_leaving_sent: bool,
}

impl HeartbeatSchedule {
    /// Interval at which an unchanged load is sent again. It is shorter than the
    /// 5 s after which an entry with an open stream discards a load report.
    pub const LOAD_REFRESH_INTERVAL: Duration = Duration::from_millis(4_500);

    /// Minimum interval between two reports of a changing load.
    pub const LOAD_INTERVAL_MIN: Duration = Duration::from_millis(300);

    /// Minimum load change to report, in thousandths of the slots. A change of the
    /// slots themselves, which are 0 until known, is always reported.
    const LOAD_CHANGE_MIN_PERMILLE: u64 = 100;

    /// Creates the schedule of a stream that is checked once per
    /// `check_interval`. The first heartbeat is due immediately.
    pub const fn new(check_interval: Duration) -> Self {
        Self {
            check_interval,
            last_sent_at: None,
            sent_load: None,
            is_leaving_sent: false,
        }
    }

    /// Records that a token is being sent.
    pub const fn record_token(&mut self, now: Instant) {
        self.last_sent_at = Some(now);
    }

    /// Returns `load` if the message being sent should carry it, and records it
    /// as sent.
    pub fn take_due_load(&mut self, load: ServerLoad, now: Instant) -> Option<ServerLoad> {
        if let Some((sent, load_sent_at)) = self.sent_load {
            let age = now.duration_since(load_sent_at);
            let is_due = age >= Self::LOAD_REFRESH_INTERVAL
                || (age >= Self::LOAD_INTERVAL_MIN && Self::is_significant_change(sent, load));
            if !is_due {
                return None;
            }
        }
        self.sent_load = Some((load, now));
        Some(load)
    }

    fn is_significant_change(sent: ServerLoad, load: ServerLoad) -> bool {
        let change = u64::from(sent.in_flight.abs_diff(load.in_flight)) * 1_000;
        sent.slots != load.slots
            || (change > 0 && change >= u64::from(load.slots) * Self::LOAD_CHANGE_MIN_PERMILLE)
    }

    /// Returns whether a heartbeat is due, and records it as sent if so.
    ///
    /// A heartbeat is due after half an interval without a token or heartbeat,
    /// so that these are never more than one and a half intervals apart. A change
    /// of `is_leaving` is sent at the next check.
    pub fn take_due_heartbeat(&mut self, is_leaving: bool, now: Instant) -> bool {
        let is_silent = match self.last_sent_at {
            Some(last) => now.duration_since(last) >= self.check_interval / 2,
            None => true,
        };
        if !is_silent && is_leaving == self.is_leaving_sent {
            return false;
        }
        self.last_sent_at = Some(now);
        self.is_leaving_sent = is_leaving;
        true
    }
}
