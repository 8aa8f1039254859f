//! Readings of the clock that also runs while the machine is suspended. The
//! runtime's clock, which everything else uses, stands still then.

use std::time::Duration;

use domain::boot_instant::BootInstant;
use rustix::time::{ClockId, clock_gettime};

/// Returns the present time.
pub(crate) fn boot_now() -> BootInstant {
    let reading = clock_gettime(ClockId::Boottime);
    // The clock starts at zero, so neither part is negative.
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or(0);
    BootInstant::from_uptime(Duration::new(seconds, nanos))
}
