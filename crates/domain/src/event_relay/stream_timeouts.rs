//! How long a silent server is waited for.
//!
//! Silence alone says little: a server that reads two prompts in a slow moment
//! pauses longer than a caller likes, and going on elsewhere without a copy
//! reads the prompt anew, which costs more than a late event. So silence first
//! leads to the question whether the server's machine still answers at all,
//! and only a silence far beyond is taken for a run that hangs.

use std::time::Duration;

/// Silence between events after which the machine is asked. Events come every
/// 30 to 250 ms at today's sites; a pause of 700 ms is late.
const EVENT_CHECK: Duration = Duration::from_millis(250);
/// Silence before the first event after which the machine is asked: reading a
/// usual prompt takes a second and there is no pause to keep short.
const HEAD_CHECK: Duration = Duration::from_millis(600);
/// Silence between events after which the run is taken to hang, as a multiple
/// of the longest pause that is in time.
const HANG_GAPS: u32 = 4;
/// The same where the route states no such pause.
const HANG_DEFAULT: Duration = Duration::from_millis(2_800);
/// Time before the first event after which the run is taken to hang, as a
/// multiple of the route's target: it is late by then, and another server has
/// time to read the prompt.
const HEAD_TARGETS: u32 = 2;
/// The same where the route states no target.
const HEAD_DEFAULT: Duration = Duration::from_secs(9);

/// Bounds on the silence of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTimeouts {
    /// Silence after which the machine is asked, and again each such time.
    pub probe_interval: Duration,
    /// Silence after which the run is taken to hang.
    pub hang_timeout: Duration,
}

impl StreamTimeouts {
    /// Before the first event.
    pub fn before_first_event(latency_target: Option<Duration>) -> Self {
        Self {
            probe_interval: HEAD_CHECK,
            hang_timeout: latency_target.map_or(HEAD_DEFAULT, |target| target * HEAD_TARGETS),
        }
    }

    /// Between events.
    pub fn between_events(gap_target: Option<Duration>) -> Self {
        Self {
            probe_interval: EVENT_CHECK,
            hang_timeout: gap_target.map_or(HANG_DEFAULT, |target| target * HANG_GAPS),
        }
    }
}
