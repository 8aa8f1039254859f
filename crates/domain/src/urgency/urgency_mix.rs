//! Which ranks a process sent to the servers of a service recently.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use super::{SERVER_RANK_MAX, ServerRank};

/// Number of sends after which the counts are halved, so that old ones fade.
const SENDS_MAX: u32 = 128;
/// Sends that are assumed to go before every request until real ones outweigh them. A
/// process that just started thus expects each request to wait behind all others.
const ASSUMED_AHEAD: u32 = 8;

/// Least part of a server's time that is assumed to remain for a rank: a queue with less
/// does not last.
const REMAINING_MIN: f64 = 0.25;

/// Recent sends by rank. Each count is read and written by itself, and an update lost
/// when the counts are halved changes a share by less than a percent, so relaxed
/// ordering suffices.
#[derive(Debug, Default)]
pub struct UrgencyMix {
    sends: [AtomicU32; SERVER_RANK_MAX as usize + 1],
}

impl UrgencyMix {
    /// Records a send.
    pub fn record(&self, rank: ServerRank) {
        let index = usize::from(u8::from(rank));
        self.sends[index].fetch_add(1, Relaxed);
        let total: u32 = self.sends.iter().map(|sends| sends.load(Relaxed)).sum();
        if total > SENDS_MAX {
            for sends in &self.sends {
                // The closure always returns a value, so the update cannot fail.
                let _ = sends.fetch_update(Relaxed, Relaxed, |count| Some(count - count / 2));
            }
        }
    }

    /// Wait of a request of this rank in a full queue, as a multiple of the wait without
    /// ranks. It waits for the share of the queue that ranks before it or with it, and
    /// for the more urgent requests that arrive meanwhile: servers whose queues are full
    /// spend on these the same share of their time as of the sends (the formula of
    /// Cobham for priority queues).
    pub fn wait_factor(&self, rank: ServerRank) -> f64 {
        let (mut before, mut until, mut total) = (0, ASSUMED_AHEAD, ASSUMED_AHEAD);
        for (other, sends) in ServerRank::all().zip(&self.sends) {
            let sends = sends.load(Relaxed);
            total += sends;
            if other < rank {
                before += sends;
            }
            if other <= rank {
                until += sends;
            }
        }
        let [before, until] = [before, until].map(|sends| f64::from(sends) / f64::from(total));
        until / (1.0 - before).max(REMAINING_MIN)
    }
}
