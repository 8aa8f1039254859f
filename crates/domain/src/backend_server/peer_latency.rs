//! What is usual among the servers of a pool.
//!
//! A slowed server is found by comparison with its peers: an absolute bound
//! would have to know every model and adapter.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::backend_server::{AtomicInstant, ServerNode};

/// Medians over a pool's servers, as far as enough were measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMedians {
    /// Time between tokens.
    pub token_gap: Option<Duration>,
    /// Time to the first token of small requests.
    pub time_to_first_token: Option<Duration>,
}

/// What is usual for a pool's servers.
#[derive(Debug)]
pub struct PeerLatency {
    token_gap_ns: AtomicU64,
    time_to_first_token_ns: AtomicU64,
    judged_at: AtomicInstant,
}

impl PeerLatency {
    /// Time between two comparisons.
    const JUDGE_PAUSE: Duration = Duration::from_millis(50);

    /// Servers with a measured pace that make a comparison worth making.
    const PEERS_MIN: usize = 3;

    /// Pace of a pool without measurements.
    pub const fn new(now: Instant) -> Self {
        Self {
            token_gap_ns: AtomicU64::new(0),
            time_to_first_token_ns: AtomicU64::new(0),
            judged_at: AtomicInstant::new(now),
        }
    }

    /// Median time between tokens, once enough servers were measured.
    pub fn median_token_gap(&self) -> Option<Duration> {
        Self::read(&self.token_gap_ns)
    }

    /// All medians.
    pub fn medians(&self) -> PeerMedians {
        PeerMedians {
            token_gap: self.median_token_gap(),
            time_to_first_token: Self::read(&self.time_to_first_token_ns),
        }
    }

    /// Compare the servers anew when the last comparison is old.
    pub fn refresh(&self, nodes: &[Arc<ServerNode>], now: Instant) {
        if !self.judged_at.try_claim(Self::JUDGE_PAUSE, now) {
            return;
        }
        Self::store(
            &self.token_gap_ns,
            nodes.iter().map(|node| node.token_gap()),
        );
        Self::store(
            &self.time_to_first_token_ns,
            nodes.iter().map(|node| node.time_to_first_token()),
        );
    }

    fn read(nanos: &AtomicU64) -> Option<Duration> {
        match nanos.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    fn store(nanos: &AtomicU64, times: impl Iterator<Item = Duration>) {
        let mut times: Vec<Duration> = times.filter(|time| !time.is_zero()).collect();
        if times.len() < Self::PEERS_MIN {
            return;
        }
        // The lower median, so that half of the servers may be slow.
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = u64::try_from(median.as_nanos()).unwrap_or(u64::MAX);
        nanos.store(median, Ordering::Relaxed);
    }
}
