//! Median latencies of a process's subset of the servers of a pool.
//!
//! A slow server is detected by comparison with its peers. An absolute limit
//! would have to be configured for every model and adapter.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::backend_server::{AtomicInstant, ServerNode};

/// Snapshot of the median latencies; `None` where too few servers have ever been
/// measured at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMedians {
    /// Median time between tokens.
    pub token_gap: Option<Duration>,
    /// Median time to the first token of small requests.
    pub time_to_first_token: Option<Duration>,
}

/// Median latencies of the servers, cached between refreshes.
#[derive(Debug)]
pub struct PeerLatency {
    token_gap_ns: AtomicU64,
    time_to_first_token_ns: AtomicU64,
    refreshed_at: AtomicInstant,
}

impl PeerLatency {
    /// Interval at which the medians are recomputed.
    const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

    /// Fewest measured servers for which a median is computed.
    const PEERS_MIN: usize = 3;

    /// Creates a cache without medians.
    pub const fn new(now: Instant) -> Self {
        Self {
            token_gap_ns: AtomicU64::new(0),
            time_to_first_token_ns: AtomicU64::new(0),
            refreshed_at: AtomicInstant::new(now),
        }
    }

    /// Median time between tokens; `None` until enough servers have been
    /// measured.
    pub fn median_token_gap(&self) -> Option<Duration> {
        Self::load_median(&self.token_gap_ns)
    }

    /// Returns a snapshot of all medians.
    pub fn medians(&self) -> PeerMedians {
        PeerMedians {
            token_gap: self.median_token_gap(),
            time_to_first_token: Self::load_median(&self.time_to_first_token_ns),
        }
    }

    /// Recomputes the medians unless that was done within the last refresh
    /// interval.
    pub fn refresh(&self, nodes: &[Arc<ServerNode>], now: Instant) {
        if !self.refreshed_at.try_claim(Self::REFRESH_INTERVAL, now) {
            return;
        }
        Self::store_median(
            &self.token_gap_ns,
            nodes.iter().map(|node| node.token_gap()),
        );
        Self::store_median(
            &self.time_to_first_token_ns,
            nodes.iter().map(|node| node.time_to_first_token()),
        );
    }

    fn load_median(nanos: &AtomicU64) -> Option<Duration> {
        match nanos.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    fn store_median(nanos: &AtomicU64, times: impl Iterator<Item = Duration>) {
        let mut times: Vec<Duration> = times.filter(|time| !time.is_zero()).collect();
        if times.len() < Self::PEERS_MIN {
            return;
        }
        // The lower median stays correct when half of the servers are slow.
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = u64::try_from(median.as_nanos()).unwrap_or(u64::MAX);
        nanos.store(median, Ordering::Relaxed);
    }
}
