//! Time on a clock that also runs while the machine is suspended.
//!
//! A process that stood still does not know it until it measures it, and the
//! runtime's clock does not count the time for which the machine was suspended. What
//! has to be proved to be recent is therefore dated on this clock. Evidence counts
//! from a reading taken before its sender was asked for it: an answer may have
//! waited in the socket for any time before it was read.

use std::time::Duration;

/// Time since the machine started, including suspensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Creates an instant from the time since the machine started.
    pub fn from_uptime(uptime: Duration) -> Self {
        Self(uptime)
    }

    /// Whole milliseconds since the machine started.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}
