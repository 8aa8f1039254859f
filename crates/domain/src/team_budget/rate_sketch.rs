//! Rates of many teams in bounded memory.
//!
//! Each team has a cell in every row, found by hashing its name; teams that
//! share a cell add up there. The least of a team's cells is the estimate, so
//! it is too high only when the team meets a busy one in all rows.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// Decaying sums of what teams asked for.
#[derive(Debug)]
pub struct RateSketch {
    base: Instant,
    rows: [Box<[AtomicU64]>; Self::ROWS],
}

impl RateSketch {
    /// Cells that each team has.
    const ROWS: usize = 2;

    /// Cells of a row; both rows take 128 KiB.
    const CELLS: usize = 8_192;

    /// Time over which a rate is averaged.
    const WINDOW: Duration = Duration::from_secs(2);

    /// Writers that may come in between before an update is left out.
    const TRIES_MAX: usize = 4;

    /// Sketch without teams.
    pub fn new(now: Instant) -> Self {
        let row = || (0..Self::CELLS).map(|_| AtomicU64::new(0)).collect();
        Self {
            base: now,
            rows: [row(), row()],
        }
    }

    /// Add what a team asks for, and return its rate a second.
    pub fn add(&self, team: &str, cost: u32, now: Instant) -> f32 {
        let mut hasher = DefaultHasher::new();
        team.hash(&mut hasher);
        let hash = hasher.finish();
        let mut least = f32::INFINITY;
        for (row, half) in self.rows.iter().zip([hash, hash >> 32]) {
            let at = usize::try_from(half % Self::CELLS as u64).unwrap_or(0);
            least = least.min(self.add_to(&row[at], cost as f32, now));
        }
        least / Self::WINDOW.as_secs_f32()
    }

    fn add_to(&self, cell: &AtomicU64, cost: f32, now: Instant) -> f32 {
        let at = self.millis(now);
        let mut sum = cost;
        for _ in 0..Self::TRIES_MAX {
            let old = cell.load(Ordering::Relaxed);
            sum = Self::decayed(old, at) + cost;
            let new = Self::pack(sum, at);
            let swapped =
                cell.compare_exchange_weak(old, new, Ordering::Relaxed, Ordering::Relaxed);
            if swapped.is_ok() {
                break;
            }
        }
        sum
    }

    fn decayed(cell: u64, at: u32) -> f32 {
        let sum = f32::from_bits((cell >> 32) as u32);
        let then = (cell & u64::from(u32::MAX)) as u32;
        let age = Duration::from_millis(u64::from(at.wrapping_sub(then)));
        sum * (-age.as_secs_f32() / Self::WINDOW.as_secs_f32()).exp()
    }

    fn pack(sum: f32, at: u32) -> u64 {
        u64::from(sum.to_bits()) << 32 | u64::from(at)
    }

    /// Milliseconds since the base, modulo 49 days.
    fn millis(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.base).as_millis();
        (age & u128::from(u32::MAX)) as u32
    }
}
