//! Time of the stop signal, from which the drain phases are measured.

use std::time::Duration;

use domain::entry_drain::{DrainPhase, DrainTimes};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Time at which the process received the stop signal, if it did.
#[derive(Debug)]
pub(crate) struct DrainClock {
    stopped_at: watch::Sender<Option<Instant>>,
}

impl DrainClock {
    pub(crate) fn new() -> Self {
        Self {
            stopped_at: watch::Sender::new(None),
        }
    }

    /// Records the time of the stop signal; later calls have no effect.
    pub(crate) fn start(&self, now: Instant) {
        self.stopped_at.send_if_modified(|stopped_at| {
            let is_first = stopped_at.is_none();
            stopped_at.get_or_insert(now);
            is_first
        });
    }

    /// Returns the time since the stop signal; `None` if there was none.
    pub(crate) fn since_stop(&self, now: Instant) -> Option<Duration> {
        let stopped_at = *self.stopped_at.borrow();
        stopped_at.map(|stopped_at| now.saturating_duration_since(stopped_at))
    }

    /// Returns the phase at `now`.
    pub(crate) fn phase(&self, times: DrainTimes, now: Instant) -> DrainPhase {
        times.phase(self.since_stop(now))
    }

    /// Waits until `elapsed` has passed since the stop signal.
    pub(crate) async fn wait_elapsed(&self, elapsed: Duration) {
        let mut receiver = self.stopped_at.subscribe();
        // `self` owns the sender, so the channel stays open while this waits.
        let stopped_at = match receiver.wait_for(Option::is_some).await {
            Ok(stopped_at) => *stopped_at,
            Err(_) => None,
        };
        if let Some(stopped_at) = stopped_at {
            sleep_until(stopped_at + elapsed).await;
        }
    }
}
