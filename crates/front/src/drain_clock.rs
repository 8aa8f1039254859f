//! Time of the stop order, from which the drain phases are measured.

use std::time::Duration;

use domain::entry_drain::{DrainPhase, DrainTimes};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Time at which the process was told to stop, if it was.
#[derive(Debug)]
pub(crate) struct DrainClock {
    stop_order: watch::Sender<Option<Instant>>,
}

impl DrainClock {
    pub(crate) fn new() -> Self {
        Self {
            stop_order: watch::Sender::new(None),
        }
    }

    /// Records the time of the stop order; later calls have no effect.
    pub(crate) fn start(&self, now: Instant) {
        self.stop_order.send_if_modified(|order| {
            let is_first = order.is_none();
            order.get_or_insert(now);
            is_first
        });
    }

    /// Returns the time since the stop order; `None` if there was none.
    pub(crate) fn since_order(&self, now: Instant) -> Option<Duration> {
        let order = *self.stop_order.borrow();
        order.map(|order| now.saturating_duration_since(order))
    }

    /// Returns the phase at `now`.
    pub(crate) fn phase(&self, times: DrainTimes, now: Instant) -> DrainPhase {
        times.phase(self.since_order(now))
    }

    /// Waits until `elapsed` has passed since the stop order.
    pub(crate) async fn wait_elapsed(&self, elapsed: Duration) {
        let mut receiver = self.stop_order.subscribe();
        // `self` owns the sender, so the channel stays open while this waits.
        let order = match receiver.wait_for(Option::is_some).await {
            Ok(order) => *order,
            Err(_) => None,
        };
        if let Some(order) = order {
            sleep_until(order + elapsed).await;
        }
    }
}
