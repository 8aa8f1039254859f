//! The pace of the events of one stream, without the times in which it was held up.

use tokio::time::Instant;

/// Events of one measured interval. Several, because a reader that is late gets events in
/// bursts.
const WINDOW_EVENTS: u32 = 8;
/// Intervals that are kept; later ones of a long stream replace the first ones.
const WINDOWS_MAX: usize = 32;
/// Intervals below which a stream says nothing.
const WINDOWS_MIN: usize = 4;

/// Measures how long a server takes from event to event. Prefills of other prompts stop
/// a stream for a time, so a low quantile of its intervals is the pace of the server.
#[derive(Clone, Debug, Default)]
pub struct PaceMonitor {
    window: Option<(Instant, u32)>,
    micros: [u32; WINDOWS_MAX],
    count: usize,
}

impl PaceMonitor {
    /// Records that a number of events arrived together.
    pub fn record(&mut self, events: u32, now: Instant) {
        let Some((since, before)) = self.window else {
            self.window = Some((now, 0));
            return;
        };
        let seen = before + events;
        if seen < WINDOW_EVENTS {
            self.window = Some((since, seen));
            return;
        }
        let micros = now.saturating_duration_since(since).as_micros() / u128::from(seen);
        self.micros[self.count % WINDOWS_MAX] = u32::try_from(micros).unwrap_or(u32::MAX);
        self.count += 1;
        self.window = Some((now, 0));
    }

    /// Microseconds from event to event at the lower third of the intervals.
    pub fn micros_per_event(&self) -> Option<u32> {
        let count = self.count.min(WINDOWS_MAX);
        if count < WINDOWS_MIN {
            return None;
        }
        let mut micros = self.micros;
        let (_, lower_third, _) = micros[..count].select_nth_unstable(count / 3);
        Some((*lower_third).max(1))
    }
}
