//! How much of a service's load each team sent to this process recently.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::atomic::{AtomicU32, Ordering::Relaxed},
};

use crate::TeamName;

/// Counts; teams whose names have the same hash share one. More than the teams of usual
/// deployments, and few enough to be added up for each request.
const BUCKETS: usize = 64;
/// Number of requests after which the counts are halved, so that old ones fade.
const REQUESTS_MAX: u32 = 256;
/// Requests below which the shares say nothing.
const REQUESTS_MIN: u32 = 16;
/// Bounds of [`TeamShares::excess`]. Within them, a team that sends more than its share is
/// refused more often, up to the bound for its class, and others less often.
const EXCESS_RANGE: std::ops::RangeInclusive<f64> = 0.5..=2.0;

/// Recent requests by team. Each count is read and written by itself, so relaxed ordering
/// suffices.
#[derive(Debug)]
pub struct TeamShares {
    requests: [AtomicU32; BUCKETS],
}

impl Default for TeamShares {
    fn default() -> Self {
        Self {
            requests: std::array::from_fn(|_| AtomicU32::new(0)),
        }
    }
}

impl TeamShares {
    /// Records a request. Requests without a team count as those of one team.
    pub fn record(&self, team: Option<&TeamName>) {
        self.requests[bucket(team)].fetch_add(1, Relaxed);
        let total: u32 = self.counts().sum();
        if total > REQUESTS_MAX {
            for requests in &self.requests {
                // The closure always returns a value, so the update cannot fail.
                let _ = requests.fetch_update(Relaxed, Relaxed, |count| Some(count / 2));
            }
        }
    }

    /// What the team sends, as a multiple of an equal share among the teams that sent
    /// something recently; within bounds, and 1 while little is known.
    pub fn excess(&self, team: Option<&TeamName>) -> f64 {
        let total: u32 = self.counts().sum();
        if total < REQUESTS_MIN {
            return 1.0;
        }
        let active = self.counts().filter(|count| *count > 0).count();
        let own = self.requests[bucket(team)].load(Relaxed);
        let excess = f64::from(own) * active as f64 / f64::from(total);
        excess.clamp(*EXCESS_RANGE.start(), *EXCESS_RANGE.end())
    }

    fn counts(&self) -> impl Iterator<Item = u32> {
        self.requests.iter().map(|requests| requests.load(Relaxed))
    }
}

fn bucket(team: Option<&TeamName>) -> usize {
    let mut hasher = DefaultHasher::new();
    team.hash(&mut hasher);
    (hasher.finish() % BUCKETS as u64) as usize
}
