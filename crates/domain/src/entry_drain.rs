//! The end of an entry's life after it was told to stop.
//!
//! The balancer needs some seconds to see that an entry is not ready, and
//! callers go on using open connections. So the entry serves on for a while,
//! then takes in only what is done in time, and near the end of the grace time
//! breaks off the streams that are still open, which their callers resume
//! elsewhere. Where all entries are told to stop within seconds, callers still
//! come, since there is no other to send them to.

use std::time::Duration;

/// Time for which new requests are served after the order to stop: two of the
/// balancer's questions, a second apart, and the time they take.
const SERVE_TIME: Duration = Duration::from_millis(3_000);
/// Part of the grace time after which open streams are broken off, in percent.
/// What is at work in the last sixth of it is nobody's loss.
const CUT_PERCENT: u32 = 88;

/// Where an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Serves.
    Serving,
    /// Not ready, but serves what comes.
    Leaving,
    /// Takes in only what is done before open work is broken off.
    Closing,
    /// Breaks off what is open.
    Cutting,
}

/// Times of a drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainTimes {
    /// Time from the order to stop to the kill.
    pub grace: Duration,
}

impl DrainTimes {
    /// Phase at a time after the order; none if there was no order.
    pub fn phase(&self, since_order: Option<Duration>) -> DrainPhase {
        match since_order {
            None => DrainPhase::Serving,
            Some(since) if since < self.closing_after() => DrainPhase::Leaving,
            Some(since) if since < self.cutting_after() => DrainPhase::Closing,
            Some(_) => DrainPhase::Cutting,
        }
    }

    /// Whether a request that takes up to `needed` may be taken in. A stream is
    /// taken in while the entry is leaving, although it may be broken off: its
    /// caller resumes it.
    pub fn admits(&self, since_order: Option<Duration>, is_stream: bool, needed: Duration) -> bool {
        match self.phase(since_order) {
            DrainPhase::Serving | DrainPhase::Leaving => true,
            DrainPhase::Closing if is_stream => false,
            DrainPhase::Closing => {
                since_order.is_some_and(|since| since + needed <= self.cutting_after())
            }
            DrainPhase::Cutting => false,
        }
    }

    /// Time for which new requests are served.
    pub fn closing_after(&self) -> Duration {
        SERVE_TIME.min(self.grace * 3 / 8)
    }

    /// Time after which open streams are broken off.
    pub fn cutting_after(&self) -> Duration {
        self.grace * CUT_PERCENT / 100
    }
}
