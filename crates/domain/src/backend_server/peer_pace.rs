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

use crate::backend_server::{AtomicTime, ServerNode};

/// Median time between tokens of a pool's servers.
#[derive(Debug)]
pub struct PeerPace {
    median_ns: AtomicU64,
    judged_at: AtomicTime,
}

impl PeerPace {
    /// Time between two comparisons.
    const JUDGE_PAUSE: Duration = Duration::from_millis(50);

    /// Servers with a measured pace that make a comparison worth making.
    const PEERS_MIN: usize = 3;

    /// Pace of a pool without measurements.
    pub const fn new(now: Instant) -> Self {
        Self {
            median_ns: AtomicU64::new(0),
            judged_at: AtomicTime::new(now),
        }
    }

    /// Median time between tokens, once enough servers were measured.
    pub fn median(&self) -> Option<Duration> {
        match self.median_ns.load(Ordering::Relaxed) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    /// Compare the servers anew when the last comparison is old.
    pub fn refresh(&self, nodes: &[Arc<ServerNode>], now: Instant) {
        if !self.judged_at.claim(Self::JUDGE_PAUSE, now) {
            return;
        }
        let mut gaps: Vec<Duration> = nodes
            .iter()
            .map(|node| node.token_gap())
            .filter(|gap| !gap.is_zero())
            .collect();
        if gaps.len() < Self::PEERS_MIN {
            return;
        }
        // The lower median, so that half of the servers may be slow.
        let middle = (gaps.len() - 1) / 2;
        let (_, median, _) = gaps.select_nth_unstable(middle);
        let nanos = u64::try_from(median.as_nanos()).unwrap_or(u64::MAX);
        self.median_ns.store(nanos, Ordering::Relaxed);
    }
}
