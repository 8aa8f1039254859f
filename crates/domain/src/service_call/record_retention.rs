//! Retention time of settled records and the rate at which they are removed.
//!
//! Repeated requests are answered from the record for [`KEY_LIFETIME`] and
//! refused after that. Once the record is removed, the key counts as new unless
//! it carries its own age: a version 7 UUID contains its creation time and is
//! refused permanently after the retention time.
//!
//! [`KEY_LIFETIME`]: crate::service_call::KEY_LIFETIME

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::{CallState, WallTime};

/// Time for which a settled record is kept, so that late repeats are refused.
pub const RECORD_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Length of the text form of a UUID, in bytes.
const UUID_LENGTH: usize = 36;

/// Returns whether a record in this state may be removed after the retention
/// time.
///
/// An open record is kept until evidence settles it, however old it is.
pub const fn is_removable(state: &CallState) -> bool {
    !state.is_open()
}

/// Returns whether a settled record is older than the retention time.
pub fn is_past_retention(recorded_at: WallTime, now: WallTime) -> bool {
    now.since(recorded_at) > RECORD_RETENTION
}

/// Returns whether the timestamp in a key shows that its record may have been
/// removed.
pub fn is_key_past_retention(key: &str, now: WallTime) -> bool {
    key_timestamp(key).is_some_and(|created_at| is_past_retention(created_at, now))
}

/// Returns the creation time of a key that is a version 7 UUID.
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

/// Batch size and intervals of the sweep that removes old records.
#[derive(Clone, Copy, Debug)]
pub struct SweepPace {
    /// Largest number of records in a batch.
    pub batch_max: usize,
    /// Time between the starts of two batches while more records are due.
    pub busy_interval: Duration,
    /// Time until the next batch otherwise, also after a failure.
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
    /// Returns when the next batch may start, after a batch that started at
    /// `started_at` and found `due_count` records due for removal.
    pub fn next_batch_at(&self, due_count: usize, started_at: Instant, now: Instant) -> Instant {
        if due_count < self.batch_max {
            return now + self.idle_interval;
        }
        // A slow store also gets a pause after its answer.
        (started_at + self.busy_interval).max(now + self.busy_interval / 2)
    }
}
