//! The aggregate of one order: its phase, its evidence and its time rules.
//!
//! The share of the new version stays below its bound until the decision to finish,
//! which is taken late, because a version may turn bad at any time, but early enough
//! before the time limit to move the streams and to write the outcome to the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::Display;
use tokio::time::Instant;

use super::{
    BadReason, EntryReport, EvidenceLedger, EvidenceVerdict, OrderId, ReportKey, RolloutOrder,
    RolloutPhase, RouteNeed, StatusState, VERSIONS_MAX, VersionSide, judge,
};
use crate::ServerVersion;

/// Part of the time limit that is left for moving streams and for the write, as a
/// divisor.
const LEAD_PART: u32 = 4;
/// Shortest time left for them: a write to a slow store takes up to 0.7 s.
const LEAD_MIN: Duration = Duration::from_secs(1);
/// Longest time left for them: most streams end within it.
const LEAD_MAX: Duration = Duration::from_secs(4);
/// Part of the lead that is left for the write alone, as a divisor.
const WRITE_PART: u32 = 3;
/// Answers of the new version without which it is never found good.
const ANSWERS_MIN: u64 = 5;

/// Why a phase began.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PhaseReason {
    /// The new version is as good as the old one.
    #[display("good")]
    Good,
    /// The new version is bad.
    #[display("{_0}")]
    Bad(BadReason),
    /// There were too few answers to judge the version.
    #[display("little_evidence")]
    LittleEvidence,
    /// No server of the version answered.
    #[display("no_answers")]
    NoAnswers,
    /// Another entry or the store told of it.
    #[display("told")]
    Told,
}

/// Change of the phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseChange {
    /// The new phase.
    pub phase: RolloutPhase,
    /// Why it began.
    pub reason: PhaseReason,
    /// Route that decided.
    pub route: Option<Box<str>>,
}

/// What an entry knows besides the order.
#[derive(Clone, Copy, Debug)]
pub struct SiteView<'a> {
    /// Number of running entries.
    pub entries: usize,
    /// Versions of the service's ready servers.
    pub versions: &'a [ServerVersion],
    /// Share of the requests that the new version may get.
    pub share: f64,
    /// Current time.
    pub now: Instant,
}

/// What an entry tells another one about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutNews {
    /// The order.
    pub order: RolloutOrder,
    /// When it was given.
    pub ordered_at: Instant,
    /// Its phase.
    pub phase: RolloutPhase,
    /// Version of the row in which the store has a state of it.
    pub status_row: Option<u64>,
    /// Versions that ran before it.
    pub old: BTreeSet<ServerVersion>,
    /// Versions of earlier orders that did not finish.
    pub barred: BTreeSet<ServerVersion>,
    /// Versions to which earlier orders moved the traffic.
    pub established: BTreeSet<ServerVersion>,
    /// Whether the version already carried the traffic when the order came.
    pub is_incumbent: bool,
    /// Numbers of the reports that the sender has.
    pub known: BTreeMap<ReportKey, u64>,
    /// Reports that the receiver is not known to have.
    pub reports: Vec<(ReportKey, EntryReport)>,
}

/// One order and what is known of it.
#[derive(Clone, Debug)]
pub struct ServiceRollout {
    order: RolloutOrder,
    ordered_at: Instant,
    phase: RolloutPhase,
    status_row: Option<u64>,
    old: BTreeSet<ServerVersion>,
    /// Whether the version already carried the traffic when the order came, so that no
    /// evidence reverts it: requests could go nowhere else.
    is_incumbent: bool,
    ledger: EvidenceLedger,
}

impl ServiceRollout {
    /// Creates the roll-out of an order that was given at `ordered_at`.
    pub fn new(order: RolloutOrder, ordered_at: Instant, key: ReportKey) -> Self {
        Self {
            order,
            ordered_at,
            phase: RolloutPhase::Trial,
            status_row: None,
            old: BTreeSet::new(),
            is_incumbent: false,
            ledger: EvidenceLedger::new(key),
        }
    }

    /// Creates the roll-out of an order that names the version which already carries the
    /// traffic. It needs no trial.
    pub fn of_incumbent(order: RolloutOrder, ordered_at: Instant, key: ReportKey) -> Self {
        let mut rollout = Self::new(order, ordered_at, key);
        rollout.is_incumbent = true;
        rollout.enter(RolloutPhase::Moving);
        rollout
    }

    /// Gives the order the identity under which it was written again. The store may have
    /// lost its state as well.
    pub(super) fn renew(&mut self, id: OrderId) {
        self.order.id = id;
        self.status_row = None;
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// The phase in force.
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Versions that ran before the order.
    pub fn old_versions(&self) -> &BTreeSet<ServerVersion> {
        &self.old
    }

    /// The reports of all entries.
    pub fn ledger(&self) -> &EvidenceLedger {
        &self.ledger
    }

    /// This entry's own report, to be changed.
    pub fn ledger_mut(&mut self) -> &mut EvidenceLedger {
        &mut self.ledger
    }

    /// When the order was given.
    pub fn ordered_at(&self) -> Instant {
        self.ordered_at
    }

    /// End of the time limit.
    pub fn limit(&self) -> Instant {
        self.ordered_at + self.order.period
    }

    /// Time from which the version may be found good.
    pub fn decide_at(&self) -> Instant {
        self.limit() - self.lead()
    }

    /// Time at which the outcome is written at the latest.
    pub fn write_at(&self) -> Instant {
        self.limit() - self.lead() / WRITE_PART
    }

    fn lead(&self) -> Duration {
        let period = self.order.period;
        (period / LEAD_PART)
            .clamp(LEAD_MIN, LEAD_MAX)
            .min(period / 2)
    }

    /// Applies the evidence and the time rules. `target` is the latency target of a
    /// route, if known.
    pub fn advance(
        &mut self,
        view: SiteView<'_>,
        target: impl Fn(&str) -> Option<Duration>,
    ) -> Option<PhaseChange> {
        self.learn_versions(view.versions);
        if self.phase > RolloutPhase::Moving || self.is_incumbent {
            return None;
        }
        let change = self.next_change(view, target)?;
        self.enter(change.phase);
        Some(change)
    }

    fn next_change(
        &self,
        view: SiteView<'_>,
        target: impl Fn(&str) -> Option<Duration>,
    ) -> Option<PhaseChange> {
        let routes = self.ledger.routes();
        let verdict = judge(&routes, view.share, target);
        let change = |phase, reason, route| {
            Some(PhaseChange {
                phase,
                reason,
                route,
            })
        };
        match verdict {
            EvidenceVerdict::Bad { route, reason } => {
                return change(RolloutPhase::Reverting, PhaseReason::Bad(reason), route);
            }
            _ if self.phase == RolloutPhase::Moving || view.now < self.decide_at() => return None,
            EvidenceVerdict::Good => {
                return change(RolloutPhase::Moving, PhaseReason::Good, None);
            }
            EvidenceVerdict::Open { .. } if view.now < self.write_at() => return None,
            EvidenceVerdict::Open { .. } => {}
        }
        // The last moment. A route with little traffic may have too few answers, but
        // each that has traffic needs one.
        let answers: u64 = routes
            .values()
            .map(|counts| counts.total(VersionSide::New).answers)
            .fold(0, u64::saturating_add);
        let blank = routes.iter().find(|(_, counts)| {
            let need = RouteNeed::new(counts, view.share);
            need.needed > 0 && need.answers == 0
        });
        let blank = blank.map(|(route, _)| Box::from(*route));
        if answers == 0 {
            change(RolloutPhase::Reverting, PhaseReason::NoAnswers, None)
        } else if answers < ANSWERS_MIN || blank.is_some() {
            change(RolloutPhase::Reverting, PhaseReason::LittleEvidence, blank)
        } else {
            change(RolloutPhase::Moving, PhaseReason::Good, None)
        }
    }

    /// Notes the versions that run beside the new one, once any does.
    fn learn_versions(&mut self, versions: &[ServerVersion]) {
        if self.old.is_empty() {
            let others = versions.iter().filter(|version| **version != self.order.to);
            self.old.extend(others.take(VERSIONS_MAX).cloned());
        }
    }

    fn enter(&mut self, phase: RolloutPhase) {
        self.phase = phase;
        if phase.is_moved() {
            self.ledger.update_own(|own| own.has_moved = true);
        }
    }

    /// State that the store should hold and is not known to hold.
    pub fn due_status(&self, entries: usize, now: Instant) -> Option<StatusState> {
        match self.phase {
            RolloutPhase::Reverting => Some(StatusState::Reverted),
            RolloutPhase::Moving if self.has_all_moved(entries) || now >= self.write_at() => {
                Some(StatusState::Finished)
            }
            RolloutPhase::Trial | RolloutPhase::Moving if self.status_row.is_none() => {
                Some(StatusState::Running)
            }
            RolloutPhase::Finished if self.status_row.is_none() => Some(StatusState::Finished),
            RolloutPhase::Reverted if self.status_row.is_none() => Some(StatusState::Reverted),
            _ => None,
        }
    }

    /// Whether all entries send new requests to the new version only and none has a
    /// stream at an old server.
    fn has_all_moved(&self, entries: usize) -> bool {
        self.ledger.moved_entries() >= entries && self.ledger.old_streams() == 0
    }

    /// Version of the row in which the store is known to have a state of this order.
    pub fn status_row(&self) -> Option<u64> {
        self.status_row
    }

    /// Adopts the state that the store holds for `order` in a row of version `row`. The
    /// state of another order changes nothing.
    pub fn adopt_status(
        &mut self,
        order: OrderId,
        state: StatusState,
        row: u64,
    ) -> Option<PhaseChange> {
        if order != self.order.id {
            return None;
        }
        let found = RolloutPhase::from(state);
        if self.phase.is_settled() && found < self.phase {
            // The store came back with an earlier state; the outcome is written again.
            return None;
        }
        self.status_row = self.status_row.max(Some(row));
        self.adopt_phase(found)
    }

    fn adopt_phase(&mut self, phase: RolloutPhase) -> Option<PhaseChange> {
        if phase <= self.phase {
            return None;
        }
        self.enter(phase);
        Some(PhaseChange {
            phase,
            reason: PhaseReason::Told,
            route: None,
        })
    }

    /// Merges what another entry knows of the same order. Returns the change of the
    /// phase, if any.
    pub fn merge(&mut self, news: RolloutNews) -> Option<PhaseChange> {
        if news.order.id != self.order.id {
            return None;
        }
        self.ordered_at = self.ordered_at.min(news.ordered_at);
        self.status_row = if news.phase > self.phase && news.phase.is_settled() {
            news.status_row
        } else if news.phase < self.phase && self.phase.is_settled() {
            self.status_row
        } else {
            self.status_row.max(news.status_row)
        };
        self.is_incumbent |= news.is_incumbent;
        let room = VERSIONS_MAX.saturating_sub(self.old.len());
        let to = &self.order.to;
        let others = news.old.into_iter().filter(|version| version != to);
        self.old.extend(others.take(room));
        for (key, report) in news.reports {
            self.ledger.merge(key, report);
        }
        self.adopt_phase(news.phase)
    }

    /// What is known of the order alone, for an entry that has the reports `known`.
    pub fn news(&self, known: &BTreeMap<ReportKey, u64>) -> RolloutNews {
        RolloutNews {
            order: self.order.clone(),
            ordered_at: self.ordered_at,
            phase: self.phase,
            status_row: self.status_row,
            old: self.old.clone(),
            barred: BTreeSet::new(),
            established: BTreeSet::new(),
            is_incumbent: self.is_incumbent,
            known: self.ledger.sequences(),
            reports: self.ledger.newer_than(known),
        }
    }
}
