//! Arrivals of an open-loop load, fixed before anything is sent.
//!
//! Slow answers do not slow the load down: every request has its planned time,
//! and its latency counts from there.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// Repeatable call to the plain service.
    Stock,
    /// Short generation.
    Short,
    /// Long generation.
    Long,
}

/// Number of the team that sends more than all others.
pub const LARGE_TEAM: u32 = 0;

/// One request of the load.
#[derive(Clone, Copy, Debug)]
pub struct PlannedArrival {
    /// Time after the start of the load.
    pub at: Duration,
    /// What is asked for.
    pub kind: RequestKind,
    /// Team that asks.
    pub team: u32,
    /// Number unlike that of any other request.
    pub number: u64,
}

/// Shares that a load is made of.
#[derive(Clone, Copy, Debug)]
pub struct LoadMix {
    /// Share of generations that are long.
    pub long_share: f64,
    /// Calls to the plain service for each generation.
    pub stock_share: f64,
    /// Share of all requests that the large team sends.
    pub large_share: f64,
    /// Other teams.
    pub small_teams: u32,
}

/// A load in the making.
#[derive(Debug)]
pub struct LoadPlan {
    mix: LoadMix,
    rng: SmallRng,
    end: Duration,
    arrivals: Vec<PlannedArrival>,
}

impl LoadPlan {
    /// Load without requests.
    pub fn new(mix: LoadMix, seed: u64) -> Self {
        Self {
            mix,
            rng: SmallRng::seed_from_u64(seed),
            end: Duration::ZERO,
            arrivals: Vec::new(),
        }
    }

    /// Add a time with `rate` generations a second, and the calls beside them.
    #[must_use]
    pub fn step(mut self, rate: f64, duration: Duration) -> Self {
        let until = self.end + duration;
        let rate = rate * (1.0 + self.mix.stock_share);
        let mut at = self.end;
        loop {
            let draw: f64 = self.rng.random();
            at += Duration::from_secs_f64(-(1.0 - draw).ln() / rate);
            if at >= until {
                break;
            }
            let arrival = self.draw(at);
            self.arrivals.push(arrival);
        }
        self.end = until;
        self
    }

    /// The requests that `keeps` holds for, in order of time; all others are as
    /// if they had never been drawn.
    pub fn arrivals(self, keeps: impl Fn(&PlannedArrival) -> bool) -> Vec<PlannedArrival> {
        self.arrivals.into_iter().filter(|one| keeps(one)).collect()
    }

    fn draw(&mut self, at: Duration) -> PlannedArrival {
        let mix = self.mix;
        let is_stock = self
            .rng
            .random_bool(mix.stock_share / (1.0 + mix.stock_share));
        let is_long = self.rng.random_bool(mix.long_share);
        let is_large = self.rng.random_bool(mix.large_share);
        let small_team = self.rng.random_range(1..=mix.small_teams);
        PlannedArrival {
            at,
            kind: match (is_stock, is_long) {
                (true, _) => RequestKind::Stock,
                (false, true) => RequestKind::Long,
                (false, false) => RequestKind::Short,
            },
            team: if is_large { LARGE_TEAM } else { small_team },
            number: self.rng.random(),
        }
    }
}
