//! Timeouts for a server that sends no events.
//!
//! Silence alone does not prove a failure: on a slow server, processing the
//! prompts of other requests may delay events beyond the gap target. Moving to a
//! server without a copy of the KV cache means processing the prompt again,
//! which costs more than a late event. Therefore silence first triggers a probe
//! of whether the server still accepts connections, and only after a much longer
//! silence is the request considered hung.

use std::time::Duration;

/// Interval at which a server is probed while it is silent between events.
/// Events typically arrive every 30 to 250 ms, and a pause of 700 ms is late.
const EVENT_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a server is probed while it is silent before the first
/// event. It is longer because processing a typical prompt takes a second and no
/// stream is interrupted yet.
const FIRST_EVENT_PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Silence between events after which the request is considered hung, as a
/// multiple of the route's gap target.
const EVENT_HANG_MULTIPLE: u32 = 4;
/// The same for a route without a gap target; equal to that for a gap target of
/// 700 ms.
const EVENT_HANG_DEFAULT: Duration = Duration::from_millis(2_800);
/// Time without a first event after which the request is considered hung, as a
/// multiple of the route's latency target. The event is late by then, and
/// another server still has time to process the prompt.
const FIRST_EVENT_HANG_MULTIPLE: u32 = 2;
/// The same for a route without a latency target; equal to that for a latency
/// target of 4.5 s.
const FIRST_EVENT_HANG_DEFAULT: Duration = Duration::from_secs(9);

/// Probe interval and timeout for a server that has not sent the next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTimeouts {
    /// Interval at which a silent server is probed.
    pub probe_interval: Duration,
    /// Silence after which the request is considered hung.
    pub hang_timeout: Duration,
}

impl StreamTimeouts {
    /// Timeouts that apply before the first event.
    pub fn before_first_event(latency_target: Option<Duration>) -> Self {
        Self {
            probe_interval: FIRST_EVENT_PROBE_INTERVAL,
            hang_timeout: latency_target.map_or(FIRST_EVENT_HANG_DEFAULT, |target| {
                target * FIRST_EVENT_HANG_MULTIPLE
            }),
        }
    }

    /// Timeouts that apply between events.
    pub fn between_events(gap_target: Option<Duration>) -> Self {
        Self {
            probe_interval: EVENT_PROBE_INTERVAL,
            hang_timeout: gap_target
                .map_or(EVENT_HANG_DEFAULT, |target| target * EVENT_HANG_MULTIPLE),
        }
    }
}
