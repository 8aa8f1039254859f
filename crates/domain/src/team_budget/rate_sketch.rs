//! Estimated rates of many teams in bounded memory: a count-min sketch with
//! exponential decay.
//!
//! The hash of a team's name selects one cell in each row, and teams that share
//! a cell are summed. The estimate is the minimum of the team's cells, so it is
//! too high only if the team collides with a busy team in every row.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// Exponentially decaying sums of the cost of requests by team.
#[derive(Debug)]
pub struct RateSketch {
    base: Instant,
    rows: [Box<[AtomicU64]>; Self::ROWS],
}

impl RateSketch {
    /// Number of rows, and of cells per team.
    const ROWS: usize = 2;

    /// Cells per row; both rows take 128 KiB.
    const CELLS: usize = 8_192;

    /// Time constant of the decay, over which a rate is averaged.
    const DECAY_TIME: Duration = Duration::from_secs(2);

    /// Attempts to update a contended cell before the update is dropped.
    const CAS_ATTEMPTS_MAX: usize = 4;

    /// Creates an empty sketch.
    pub fn new(now: Instant) -> Self {
        let row = || (0..Self::CELLS).map(|_| AtomicU64::new(0)).collect();
        Self {
            base: now,
            rows: [row(), row()],
        }
    }

    /// Adds the cost of a request, in any unit, and returns the team's cost per
    /// second.
    pub fn add(&self, team: &str, cost: u32, now: Instant) -> f32 {
        let mut hasher = DefaultHasher::new();
        team.hash(&mut hasher);
        let hash = hasher.finish();
        let mut estimate = f32::INFINITY;
        for (row, hash_half) in self.rows.iter().zip([hash, hash >> 32]) {
            let column = usize::try_from(hash_half % Self::CELLS as u64).unwrap_or(0);
            estimate = estimate.min(self.add_to_cell(&row[column], cost as f32, now));
        }
        estimate / Self::DECAY_TIME.as_secs_f32()
    }

    fn add_to_cell(&self, cell: &AtomicU64, cost: f32, now: Instant) -> f32 {
        let now_ms = self.millis(now);
        let mut sum = cost;
        for _ in 0..Self::CAS_ATTEMPTS_MAX {
            let old = cell.load(Ordering::Relaxed);
            sum = Self::decayed(old, now_ms) + cost;
            let new = Self::pack(sum, now_ms);
            let swapped =
                cell.compare_exchange_weak(old, new, Ordering::Relaxed, Ordering::Relaxed);
            if swapped.is_ok() {
                break;
            }
        }
        sum
    }

    fn decayed(cell: u64, now_ms: u32) -> f32 {
        let sum = f32::from_bits((cell >> 32) as u32);
        let then = (cell & u64::from(u32::MAX)) as u32;
        let age = Duration::from_millis(u64::from(now_ms.wrapping_sub(then)));
        sum * (-age.as_secs_f32() / Self::DECAY_TIME.as_secs_f32()).exp()
    }

    fn pack(sum: f32, now_ms: u32) -> u64 {
        u64::from(sum.to_bits()) << 32 | u64::from(now_ms)
    }

    /// Returns the milliseconds since `base` modulo 2^32, which is 49 days.
    fn millis(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.base).as_millis();
        (age & u128::from(u32::MAX)) as u32
    }
}
