//! The moment of the order to stop, for all that must know the phase.

use std::time::Duration;

use domain::entry_drain::{DrainPhase, DrainTimes};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// When the process was told to stop.
#[derive(Debug)]
pub(crate) struct DrainClock {
    order: watch::Sender<Option<Instant>>,
}

impl DrainClock {
    pub(crate) fn new() -> Self {
        Self {
            order: watch::Sender::new(None),
        }
    }

    /// Note the order to stop; the first one counts.
    pub(crate) fn start(&self, now: Instant) {
        self.order.send_if_modified(|order| {
            let first = order.is_none();
            order.get_or_insert(now);
            first
        });
    }

    /// Time since the order; none if there was none.
    pub(crate) fn since_order(&self, now: Instant) -> Option<Duration> {
        let order = *self.order.borrow();
        order.map(|order| now.saturating_duration_since(order))
    }

    /// Phase at a moment.
    pub(crate) fn phase(&self, times: DrainTimes, now: Instant) -> DrainPhase {
        times.phase(self.since_order(now))
    }

    /// Wait until a time after the order has passed.
    pub(crate) async fn wait_elapsed(&self, time: Duration) {
        let mut receiver = self.order.subscribe();
        // The sender lives as long as the state that holds it.
        let order = match receiver.wait_for(Option::is_some).await {
            Ok(order) => *order,
            Err(_) => None,
        };
        if let Some(order) = order {
            sleep_until(order + time).await;
        }
    }
}
