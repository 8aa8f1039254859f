//! Fair shares of teams, without coordination and without a state per team.
//!
//! The rule is that of core-stateless fair queueing: a team whose rate is above
//! the fair rate is admitted with the probability `fair rate / own rate`, so it
//! is left with the fair rate whatever it sends. The fair rate is not known; it
//! follows from how much admitted work the servers turn away.

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
    /// It is.
    Within,
    /// The team is above its share.
    Above,
}

/// Fair shares of one class of work.
#[derive(Debug)]
pub struct ShareLimiter {
    sketch: RateSketch,
    fair_rate: AtomicU64,
    peak_rate: AtomicU64,
    taken: AtomicU32,
    turned_away: AtomicU32,
    clear_streak: AtomicU32,
    judged_at: AtomicInstant,
}

impl ShareLimiter {
    /// Time between two judgements of the fair rate.
    const JUDGE_PAUSE: Duration = Duration::from_millis(200);

    /// Requests that a judgement is made of at least.
    const JUDGE_REQUESTS: u32 = 8;

    /// Time after which a judgement is made of any number of requests.
    const JUDGE_PAUSE_MAX: Duration = Duration::from_millis(400);

    /// Share of admitted requests that servers turn away when they are full
    /// and no more than full; without it their free slots would not be found.
    const TURNED_AWAY_AIM: f64 = 0.05;

    /// Least factor on the fair rate of one judgement.
    const LOWER_MIN: f64 = 0.7;

    /// Judgements without anything turned away that raise the fair rate ever
    /// faster.
    const CLEAR_STREAK_MAX: i32 = 14;

    /// Fair rate, of the highest team's, above which there is no congestion.
    const CLEAR_FACTOR: f64 = 2.0;

    /// Gate without congestion.
    pub fn new(now: Instant) -> Self {
        Self {
            sketch: RateSketch::new(now),
            fair_rate: AtomicU64::new(f64::INFINITY.to_bits()),
            peak_rate: AtomicU64::new(0),
            taken: AtomicU32::new(0),
            turned_away: AtomicU32::new(0),
            clear_streak: AtomicU32::new(0),
            judged_at: AtomicInstant::new(now),
        }
    }

    /// Rate that a team may have; infinite while servers turn nothing away.
    pub fn fair_rate(&self) -> f64 {
        f64::from_bits(self.fair_rate.load(Ordering::Relaxed))
    }

    /// Judge a request that costs `cost` tokens, of a team that has `weight`
    /// shares; rates are those of one share.
    pub fn check(
        &self,
        team: &str,
        weight: u32,
        cost: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ShareVerdict {
        let rate = f64::from(self.sketch.add(team, cost, now)) / f64::from(weight.max(1));
        self.adapt(now);
        // Rates are not negative, so their bits are in the order of the numbers.
        self.peak_rate.fetch_max(rate.to_bits(), Ordering::Relaxed);
        let fair_rate = self.fair_rate();
        if rate > fair_rate && rng.random::<f64>() * rate > fair_rate {
            return ShareVerdict::Above;
        }
        self.taken.fetch_add(1, Ordering::Relaxed);
        ShareVerdict::Within
    }

    /// A request that was within its share found no server.
    pub fn record_server_refusal(&self) {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
    }

    fn adapt(&self, now: Instant) {
        let age = self.judged_at.age(now);
        let is_due = self.taken.load(Ordering::Relaxed) >= Self::JUDGE_REQUESTS
            || age >= Self::JUDGE_PAUSE_MAX;
        if !is_due || !self.judged_at.try_claim(Self::JUDGE_PAUSE, now) {
            return;
        }
        let taken = self.taken.swap(0, Ordering::Relaxed);
        let turned_away = self.turned_away.swap(0, Ordering::Relaxed);
        let peak_rate = f64::from_bits(self.peak_rate.swap(0, Ordering::Relaxed));
        let streak = match turned_away {
            0 => self.clear_streak.load(Ordering::Relaxed).saturating_add(1),
            _ => 0,
        };
        self.clear_streak.store(streak, Ordering::Relaxed);
        let share = f64::from(turned_away) / f64::from(taken.max(turned_away).max(1));
        let fair_rate = Self::next_rate(self.fair_rate(), peak_rate, share, streak);
        self.fair_rate.store(fair_rate.to_bits(), Ordering::Relaxed);
    }

    fn next_rate(fair_rate: f64, peak_rate: f64, turned_away: f64, streak: u32) -> f64 {
        let step = 1.0 + Self::TURNED_AWAY_AIM - turned_away;
        if turned_away > 0.0 {
            return fair_rate.min(peak_rate) * step.max(Self::LOWER_MIN);
        }
        let streak = i32::try_from(streak).unwrap_or(i32::MAX);
        let raised = fair_rate * step.powi(streak.min(Self::CLEAR_STREAK_MAX));
        if raised > peak_rate * Self::CLEAR_FACTOR {
            return f64::INFINITY;
        }
        raised
    }
}
