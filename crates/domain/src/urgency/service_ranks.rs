//! Classes of urgency of one service, and the rank of a request at its servers.

use std::{collections::BTreeMap, time::Duration};

use derive_more::{Display, Into};

use super::Urgency;

/// Rank of the least urgent requests at a server; the most urgent ones have rank 0.
pub const SERVER_RANK_MAX: u8 = 9;

/// Urgencies that requests of one service can have, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRanks {
    classes: Vec<RankedClass>,
}

/// One urgency, and the shortest latency target of its routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RankedClass {
    urgency: Urgency,
    latency_target: Option<Duration>,
}

impl FromIterator<(Urgency, Option<Duration>)> for ServiceRanks {
    /// Collects the urgency and the latency target of all kinds of requests.
    fn from_iter<I: IntoIterator<Item = (Urgency, Option<Duration>)>>(kinds: I) -> Self {
        let mut targets: BTreeMap<Urgency, Option<Duration>> = BTreeMap::new();
        for (urgency, target) in kinds {
            let known = targets.entry(urgency).or_default();
            *known = known.iter().copied().chain(target).min();
        }
        let classes = targets
            .into_iter()
            .map(|(urgency, latency_target)| RankedClass {
                urgency,
                latency_target,
            });
        Self {
            classes: classes.collect(),
        }
    }
}

impl ServiceRanks {
    /// Class of a request; `None` if all requests of the service are equally urgent.
    pub fn class(&self, urgency: Urgency) -> Option<UrgencyClass> {
        if self.classes.len() < 2 {
            return None;
        }
        let index = self
            .classes
            .partition_point(|class| class.urgency < urgency)
            .min(self.classes.len() - 1);
        let more_urgent = self.classes.iter().take(index);
        Some(UrgencyClass {
            index,
            count: self.classes.len(),
            guarded_target: more_urgent.filter_map(|class| class.latency_target).min(),
        })
    }
}

/// Rank of a request at a server, from 0 to [`SERVER_RANK_MAX`]; 0 goes first.
#[derive(Clone, Copy, Debug, Display, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerRank(u8);

impl ServerRank {
    /// All ranks, the most urgent first.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=SERVER_RANK_MAX).map(Self)
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// No server has run it.
    New,
    /// It goes on after a server was lost.
    Resumed,
}

/// Place of a request among the classes of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UrgencyClass {
    index: usize,
    count: usize,
    guarded_target: Option<Duration>,
}

impl UrgencyClass {
    /// Number of classes that are more urgent.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Number of classes of the service, at least 2.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Shortest latency target of the more urgent classes.
    pub fn guarded_target(&self) -> Option<Duration> {
        self.guarded_target
    }

    /// Rank at a server. It depends on the desired state and the stage alone, so a
    /// request does not change places with others of its class. A server whose KV cache
    /// is full preempts the newest of the least urgent runs, which for a resumed stream
    /// would mean a second repeated prefill; it therefore ranks before the new requests of its
    /// class and behind all of the class above. The middle of the scale is what servers
    /// assume for requests without a rank.
    pub fn server_rank(&self, stage: RequestStage) -> ServerRank {
        self.rank_of_step(match stage {
            RequestStage::Resumed => 2 * self.index,
            RequestStage::New => 2 * self.index + 1,
        })
    }

    /// Rank of a stream that is admitted as one of the least share of its class: behind
    /// the new ones of the most urgent class and before all others that are new.
    pub fn reserved_rank(&self, stage: RequestStage) -> ServerRank {
        self.server_rank(stage).min(self.rank_of_step(2))
    }

    fn rank_of_step(&self, step: usize) -> ServerRank {
        let steps = 2 * self.count - 1;
        let rank = step * usize::from(SERVER_RANK_MAX) / steps;
        ServerRank(u8::try_from(rank).unwrap_or(SERVER_RANK_MAX))
    }
}
