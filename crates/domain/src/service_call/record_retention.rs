//! How long the record of a settled call stays, and at which pace records go.
//!
//! A record answers repeats for [`KEY_LIFETIME`] and then refuses them. When it
//! is taken away the key is as new, unless the key itself says how old it is:
//! a UUID of version 7 carries its time, and is refused for ever afterwards.
//!
//! [`KEY_LIFETIME`]: crate::service_call::KEY_LIFETIME

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::{CallState, WallTime};

/// Time for which a settled record stays, so that late repeats are refused.
pub const RECORD_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Length of a UUID as text.
const UUID_LENGTH: usize = 36;

/// Whether a record in this state may be listed for removal.
///
/// An open one stays until evidence settles it, however old it is.
pub const fn is_removable(state: &CallState) -> bool {
    !state.is_open()
}

/// Whether a settled record has stayed for its lifetime.
pub fn is_past_retention(recorded_at: WallTime, now: WallTime) -> bool {
    now.since(recorded_at) > RECORD_RETENTION
}

/// Whether a key says of itself that its record may have been taken away.
pub fn is_key_past_retention(key: &str, now: WallTime) -> bool {
    key_timestamp(key).is_some_and(|made_at| is_past_retention(made_at, now))
}

/// When a key was made, if it is a UUID of version 7.
pub fn key_timestamp(key: &str) -> Option<WallTime> {
    let bytes = key.as_bytes();
    let is_uuid = bytes.len() == UUID_LENGTH
        && bytes.iter().enumerate().all(|(at, byte)| match at {
            8 | 13 | 18 | 23 => *byte == b'-',
            14 => *byte == b'7',
            19 => b"89abAB".contains(byte),
            _ => byte.is_ascii_hexdigit(),
        });
    if !is_uuid {
        return None;
    }
    let high = u64::from_str_radix(key.get(..8)?, 16).ok()?;
    let low = u64::from_str_radix(key.get(9..13)?, 16).ok()?;
    Some(WallTime(high << 16 | low))
}

/// Bounds on the work of the process that takes records away.
#[derive(Clone, Copy, Debug)]
pub struct SweepPace {
    /// Records of one batch at most.
    pub batch_max: usize,
    /// Time between two batches while there is more to do.
    pub busy_interval: Duration,
    /// Time between two looks otherwise, also after a failure.
    pub idle_interval: Duration,
}

impl Default for SweepPace {
    fn default() -> Self {
        Self {
            batch_max: 100,
            busy_interval: Duration::from_millis(100),
            idle_interval: Duration::from_secs(5),
        }
    }
}

impl SweepPace {
    /// When the next batch may begin, after one that began at `begun_at` and
    /// dealt with so many records.
    pub fn next_batch_at(&self, dealt: usize, begun_at: Instant, now: Instant) -> Instant {
        if dealt < self.batch_max {
            return now + self.idle_interval;
        }
        // A slow store is given its pause after the answer as well.
        (begun_at + self.busy_interval).max(now + self.busy_interval / 2)
    }
}
