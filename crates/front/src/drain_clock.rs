//! The drain of this process, for the tasks that wait for its phases.

use std::time::Duration;

use domain::{
    desired_state::RouteKind,
    entry_drain::{DrainPhase, EntryDrain},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// The drain, once the process received the stop signal.
#[derive(Debug)]
pub(crate) struct DrainClock {
    drain: watch::Sender<Option<EntryDrain>>,
}

impl DrainClock {
    pub(crate) fn new() -> Self {
        Self {
            drain: watch::Sender::new(None),
        }
    }

    /// Starts the drain; later calls have no effect.
    pub(crate) fn start(&self, drain: EntryDrain) {
        self.drain.send_if_modified(|current| {
            let is_first = current.is_none();
            current.get_or_insert(drain);
            is_first
        });
    }

    /// Returns the drain; `None` if there was no stop signal.
    pub(crate) fn drain(&self) -> Option<EntryDrain> {
        *self.drain.borrow()
    }

    /// Returns the phase at `now`.
    pub(crate) fn phase(&self, now: Instant) -> DrainPhase {
        self.drain()
            .map_or(DrainPhase::Serving, |drain| drain.phase(now))
    }

    /// Returns whether a request of this kind that takes up to `needed` is admitted at
    /// `now`.
    pub(crate) fn admits(&self, now: Instant, kind: RouteKind, needed: Duration) -> bool {
        self.drain().is_none_or(|drain| {
            let since_stop = drain.since_stop(now);
            drain.times.admits(Some(since_stop), kind, needed)
        })
    }

    /// Waits until the phase after the present one begins.
    pub(crate) async fn wait_next_phase(&self) {
        match self.phase(Instant::now()) {
            DrainPhase::Serving => self.wait_phase(DrainPhase::Leaving).await,
            DrainPhase::Leaving => self.wait_phase(DrainPhase::Closing).await,
            DrainPhase::Closing => self.wait_phase(DrainPhase::Cutting).await,
            DrainPhase::Cutting => std::future::pending().await,
        }
    }

    /// Waits until a phase of the drain begins.
    pub(crate) async fn wait_phase(&self, phase: DrainPhase) {
        let mut receiver = self.drain.subscribe();
        // `self` owns the sender, so the channel stays open while this waits.
        let drain = match receiver.wait_for(Option::is_some).await {
            Ok(drain) => *drain,
            Err(_) => None,
        };
        if let Some(drain) = drain {
            sleep_until(drain.start_of(phase)).await;
        }
    }
}
