//! Fair shares of teams, without coordination between processes and without
//! state per team.
//!
//! The algorithm is core-stateless fair queueing: a request of a team whose rate
//! is above the fair rate is admitted with the probability `fair rate / own
//! rate`, so the team gets the fair rate however much it sends. The fair rate is
//! estimated from the share of admitted requests that the servers refuse.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use rand::Rng;
use tokio::time::Instant;

use crate::{backend_server::AtomicInstant, team_budget::RateSketch};

/// Whether a request is within its team's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// The request is within the share.
    Within,
    /// The team is above its share, and the request is refused.
    Above,
}

/// Limits teams to their fair shares of one class of work.
#[derive(Debug)]
pub struct ShareLimiter {
    sketch: RateSketch,
    /// Bits of the `f64` rate that a team may have per unit of weight.
    fair_rate: AtomicU64,
    /// Bits of the highest `f64` rate per unit of weight since the last update.
    peak_rate: AtomicU64,
    admitted: AtomicU32,
    refused: AtomicU32,
    unrefused_streak: AtomicU32,
    updated_at: AtomicInstant,
}

impl ShareLimiter {
    /// Shortest time between two updates of the fair rate.
    const UPDATE_INTERVAL_MIN: Duration = Duration::from_millis(200);

    /// Smallest number of admitted requests for an update that is made earlier than
    /// `UPDATE_INTERVAL_MAX`.
    const UPDATE_REQUESTS_MIN: u32 = 8;

    /// Time after which an update is made with any number of requests.
    const UPDATE_INTERVAL_MAX: Duration = Duration::from_millis(400);

    /// Target share of admitted requests that the servers refuse. With this share
    /// the servers are full but not overloaded; a target of zero would leave free
    /// slots undetected.
    const REFUSED_SHARE_TARGET: f64 = 0.05;

    /// Smallest factor by which one update lowers the fair rate, or the highest rate
    /// of a team if that is lower.
    const UPDATE_FACTOR_MIN: f64 = 0.7;

    /// Largest exponent of an increase of the fair rate. The exponent is the
    /// number of consecutive updates without refusals.
    const INCREASE_EXPONENT_MAX: i32 = 14;

    /// There is no congestion if the fair rate exceeds the highest rate of a team
    /// by this factor.
    const UNCONGESTED_RATIO: f64 = 2.0;

    /// Creates a limiter without congestion.
    pub fn new(now: Instant) -> Self {
        Self {
            sketch: RateSketch::new(now),
            fair_rate: AtomicU64::new(f64::INFINITY.to_bits()),
            peak_rate: AtomicU64::new(0),
            admitted: AtomicU32::new(0),
            refused: AtomicU32::new(0),
            unrefused_streak: AtomicU32::new(0),
            updated_at: AtomicInstant::new(now),
        }
    }

    /// Returns the rate that a team may have per unit of weight; infinite without
    /// congestion.
    pub fn fair_rate(&self) -> f64 {
        f64::from_bits(self.fair_rate.load(Ordering::Relaxed))
    }

    /// Admits or refuses a request of a team. `cost` is in tokens, and the rate of
    /// the team is divided by its `weight`.
    pub fn admit(
        &self,
        team: &str,
        weight: u32,
        cost: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ShareVerdict {
        let rate = f64::from(self.sketch.add(team, cost, now)) / f64::from(weight.max(1));
        self.update_fair_rate(now);
        // The bit patterns of non-negative floats have the order of their values.
        self.peak_rate.fetch_max(rate.to_bits(), Ordering::Relaxed);
        let fair_rate = self.fair_rate();
        if rate > fair_rate && rng.random::<f64>() * rate > fair_rate {
            return ShareVerdict::Above;
        }
        self.admitted.fetch_add(1, Ordering::Relaxed);
        ShareVerdict::Within
    }

    /// Records that the servers refused an admitted request.
    pub fn record_server_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    fn update_fair_rate(&self, now: Instant) {
        let age = self.updated_at.age(now);
        let is_due = self.admitted.load(Ordering::Relaxed) >= Self::UPDATE_REQUESTS_MIN
            || age >= Self::UPDATE_INTERVAL_MAX;
        if !is_due || !self.updated_at.try_claim(Self::UPDATE_INTERVAL_MIN, now) {
            return;
        }
        let admitted = self.admitted.swap(0, Ordering::Relaxed);
        let refused = self.refused.swap(0, Ordering::Relaxed);
        let peak_rate = f64::from_bits(self.peak_rate.swap(0, Ordering::Relaxed));
        let streak = match refused {
            0 => self
                .unrefused_streak
                .load(Ordering::Relaxed)
                .saturating_add(1),
            _ => 0,
        };
        self.unrefused_streak.store(streak, Ordering::Relaxed);
        let refused_share = f64::from(refused) / f64::from(admitted.max(refused).max(1));
        let fair_rate = Self::next_rate(self.fair_rate(), peak_rate, refused_share, streak);
        self.fair_rate.store(fair_rate.to_bits(), Ordering::Relaxed);
    }

    fn next_rate(fair_rate: f64, peak_rate: f64, refused_share: f64, streak: u32) -> f64 {
        let step = 1.0 + Self::REFUSED_SHARE_TARGET - refused_share;
        if refused_share > 0.0 {
            return fair_rate.min(peak_rate) * step.max(Self::UPDATE_FACTOR_MIN);
        }
        let streak = i32::try_from(streak).unwrap_or(i32::MAX);
        let raised = fair_rate * step.powi(streak.min(Self::INCREASE_EXPONENT_MAX));
        if raised > peak_rate * Self::UNCONGESTED_RATIO {
            return f64::INFINITY;
        }
        raised
    }
}
