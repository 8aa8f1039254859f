//! One entry's part of the requests that may be sent to a new version.
//!
//! All entries together may send a share of the service's requests since the order,
//! plus a fixed number, the slack. Each entry applies the share to what it has sent
//! itself, so the sum holds whatever entries join, die or are partitioned. The slack is
//! divided among the entries that were running when the order came. An entry that
//! started later, or does not see itself among the others, gets none of it.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

/// Part of the slack that is handed out. The rest covers entries that are running and
/// not yet known to some of the others.
const SPENDABLE_SLACK: f64 = 0.75;
/// Part of the share that is spent. The rest covers requests that are counted as sent
/// although their server ended before it had read them.
const SPENDABLE_SHARE: f64 = 0.95;

/// Bounds of the traffic to a version that turns out bad, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Requests to the new version per request of the service.
    pub share: f64,
    /// Requests to the new version in addition to the share.
    pub slack: f64,
    /// Time after the fiftieth bad answer from which the version gets nothing.
    pub rollback: Duration,
}

/// Allowance of this entry for one order. It is shared by all threads.
#[derive(Debug)]
pub struct ExposureAllowance {
    share: f64,
    slack_part: f64,
    requests: AtomicU64,
    spent: AtomicU64,
}

impl ExposureAllowance {
    /// Creates the allowance of an entry that shares the slack with others; `entries`
    /// is their number, or `None` if this entry gets no part of the slack.
    pub fn new(bounds: ExposureBounds, entries: Option<usize>) -> Self {
        let slack_part = entries.map_or(0.0, |entries| {
            bounds.slack * SPENDABLE_SLACK / entries.max(1) as f64
        });
        Self {
            share: bounds.share * SPENDABLE_SHARE,
            slack_part,
            requests: AtomicU64::new(0),
            spent: AtomicU64::new(0),
        }
    }

    /// Records that a request reached a server of the service for the first time.
    pub fn record_request(&self) {
        self.requests.fetch_add(1, Relaxed);
    }

    /// Sends to the new version that are allowed now.
    pub fn remaining(&self) -> f64 {
        self.limit() - self.spent.load(Relaxed) as f64
    }

    /// Takes one send to the new version, if available.
    pub fn try_spend(&self) -> bool {
        // Requests are only added, so a limit read before the exchange is never too high.
        let limit = self.limit();
        let spend = |spent: u64| ((spent + 1) as f64 <= limit).then_some(spent + 1);
        self.spent.fetch_update(Relaxed, Relaxed, spend).is_ok()
    }

    /// Gives back a send of which no byte has left.
    pub fn refund(&self) {
        self.spent.fetch_sub(1, Relaxed);
    }

    /// Requests of the service and sends to the new version so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.requests.load(Relaxed), self.spent.load(Relaxed))
    }

    fn limit(&self) -> f64 {
        self.slack_part + self.share * self.requests.load(Relaxed) as f64
    }
}
