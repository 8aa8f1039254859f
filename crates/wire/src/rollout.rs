//! Roll-outs, as entries tell each other.
//!
//! Clocks of different machines differ, so times travel as ages. Counts are short lists,
//! because a report is sent several times a second while a roll-out runs. What is odd or
//! beyond the bounds of the domain is left out; the rest holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use derive_more::{Display, Error};
use domain::{
    FailureDomain, ServerVersion, ServiceName,
    rollout::{
        DomainOutcomes, EntryReport, LatencyCounts, OrderFault, OrderId, REPORT_DOMAINS_MAX,
        REPORT_ROUTES_MAX, REPORTS_MAX, ReportKey, RolloutNews, RolloutOrder, RolloutPhase,
        RouteCounts, VERSIONS_MAX,
    },
    store_position::StorePosition,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::default_field::is_default;

/// Longest name of a version, a route or a failure domain that is kept.
const NAME_BYTES_MAX: usize = 200;
/// Largest count that is kept: more answers than a service gives in the longest time
/// limit. The sum over all reports, routes and failure domains stays below `u64::MAX`.
const COUNT_MAX: u64 = 1 << 40;

/// What an entry knows of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RolloutMessage {
    /// Version of the order's row.
    pub order: u64,
    /// Era of the order's row; 0 if it is not known.
    #[serde(default, skip_serializing_if = "is_default")]
    pub era: u64,
    /// Service whose traffic moves.
    pub service: String,
    /// Version to move to.
    pub to: String,
    /// Time limit.
    pub period_ms: u64,
    /// Time since the order.
    pub age_ms: u64,
    /// Phase of the roll-out.
    pub phase: PhaseMessage,
    /// Version of the row in which the store has a state of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_row: Option<u64>,
    /// Versions that ran before the order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub old: Vec<String>,
    /// Versions of earlier orders that did not finish.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<String>,
    /// Versions to which earlier orders moved the traffic.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub established: Vec<String>,
    /// Whether the version already carried the traffic when the order came.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_incumbent: bool,
    /// Keys and numbers of the reports that the sender has.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub known: Vec<(u64, u64)>,
    /// Reports that the receiver is not known to have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<ReportMessage>,
}

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseMessage {
    /// The new version gets a small share.
    Trial,
    /// It gets all new requests.
    Moving,
    /// It was found bad.
    Reverting,
    /// The store recorded the end.
    Finished,
    /// The store recorded that the version was found bad.
    Reverted,
}

/// What one entry saw.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ReportMessage {
    /// Key of the entry's reports.
    pub key: u64,
    /// Number of the report.
    pub sequence: u64,
    /// Streams at servers of the old versions.
    #[serde(default, skip_serializing_if = "is_default")]
    pub old_streams: u32,
    /// Whether all new requests go to the new version.
    #[serde(default, skip_serializing_if = "is_default")]
    pub has_moved: bool,
    /// Counts by route.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteMessage>,
}

/// Counts of one route, for the old and for the new version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct RouteMessage {
    /// Name of the route.
    pub route: String,
    /// Failure domains, each with answers and failures of the old and the new version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<(String, [u64; 4])>,
    /// Times to the answer or the first event, by bucket from the first one on.
    #[serde(default, skip_serializing_if = "is_default")]
    pub latencies: [Vec<u64>; 2],
    /// Mean times between events.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gaps: [Vec<u64>; 2],
}

/// Why a message cannot be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum MessageFault {
    /// Its order is unusable.
    #[display("{_0}")]
    Order(#[error(not(source))] OrderFault),
    /// The order is older than the clock reaches back.
    #[display("unusable age")]
    UnusableAge,
}

impl RolloutMessage {
    /// Encodes news as of `now`.
    pub fn encode(news: &RolloutNews, now: Instant) -> Self {
        let text = |versions: &BTreeSet<ServerVersion>| {
            versions.iter().map(ServerVersion::to_string).collect()
        };
        let known = news.known.iter();
        Self {
            order: news.order.id.position().version,
            era: news.order.id.position().era.into(),
            service: news.order.service.to_string(),
            to: news.order.to.to_string(),
            period_ms: millis(news.order.period),
            age_ms: millis(now.saturating_duration_since(news.ordered_at)),
            phase: news.phase.into(),
            status_row: news.status_row,
            old: text(&news.old),
            barred: text(&news.barred),
            established: text(&news.established),
            is_incumbent: news.is_incumbent,
            known: known
                .map(|(key, sequence)| (u64::from(*key), *sequence))
                .collect(),
            reports: news.reports.iter().map(ReportMessage::from).collect(),
        }
    }

    /// Decodes news received at `now`.
    pub fn decode(self, now: Instant) -> Result<RolloutNews, MessageFault> {
        let order = RolloutOrder {
            id: OrderId::from(StorePosition {
                era: self.era.into(),
                version: self.order,
            }),
            service: ServiceName::from(self.service),
            to: ServerVersion::from(self.to),
            period: Duration::from_millis(self.period_ms),
        };
        order
            .validate(order.service.as_str())
            .map_err(MessageFault::Order)?;
        let ordered_at = now.checked_sub(Duration::from_millis(self.age_ms));
        let versions = |texts: Vec<String>| {
            let texts = texts.into_iter().filter(|text| !text.is_empty());
            let texts = texts.filter(|text| is_kept_name(text));
            texts.take(VERSIONS_MAX).map(ServerVersion::from).collect()
        };
        let known = self.known.into_iter().take(REPORTS_MAX);
        Ok(RolloutNews {
            order,
            ordered_at: ordered_at.ok_or(MessageFault::UnusableAge)?,
            phase: self.phase.into(),
            status_row: self.status_row,
            old: versions(self.old),
            barred: versions(self.barred),
            established: versions(self.established),
            is_incumbent: self.is_incumbent,
            known: known
                .map(|(key, sequence)| (ReportKey::from(key), sequence))
                .collect(),
            reports: self
                .reports
                .into_iter()
                .take(REPORTS_MAX)
                .map(|report| (ReportKey::from(report.key), EntryReport::from(report)))
                .collect(),
        })
    }
}

impl From<&(ReportKey, EntryReport)> for ReportMessage {
    fn from((key, report): &(ReportKey, EntryReport)) -> Self {
        Self {
            key: (*key).into(),
            sequence: report.sequence,
            old_streams: report.old_streams,
            has_moved: report.has_moved,
            routes: report
                .routes
                .iter()
                .map(|(route, counts)| RouteMessage::encode(route, counts))
                .collect(),
        }
    }
}

impl From<ReportMessage> for EntryReport {
    fn from(message: ReportMessage) -> Self {
        let routes = message.routes.into_iter();
        let routes = routes.filter(|route| is_kept_name(&route.route));
        let routes = routes.take(REPORT_ROUTES_MAX);
        Self {
            sequence: message.sequence,
            old_streams: message.old_streams,
            has_moved: message.has_moved,
            routes: routes.map(RouteMessage::decode).collect(),
        }
    }
}

impl RouteMessage {
    fn encode(route: &str, counts: &RouteCounts) -> Self {
        Self {
            route: route.to_owned(),
            outcomes: counts
                .outcomes
                .iter()
                .map(|(domain, [old, new])| {
                    let numbers = [old.answers, old.failures, new.answers, new.failures];
                    (domain.to_string(), numbers)
                })
                .collect(),
            latencies: counts.latencies.each_ref().map(trimmed),
            gaps: counts.gaps.each_ref().map(trimmed),
        }
    }

    fn decode(self) -> (Box<str>, RouteCounts) {
        let outcomes = self.outcomes.into_iter();
        let outcomes = outcomes.filter(|(domain, _)| is_kept_name(domain));
        let outcomes: BTreeMap<_, _> = outcomes
            .take(REPORT_DOMAINS_MAX)
            .map(|(domain, numbers)| {
                let [old_answers, old_failures, answers, failures] =
                    numbers.map(|count| count.min(COUNT_MAX));
                let old = DomainOutcomes {
                    answers: old_answers,
                    failures: old_failures.min(old_answers),
                };
                let new = DomainOutcomes {
                    answers,
                    failures: failures.min(answers),
                };
                (FailureDomain::from(domain), [old, new])
            })
            .collect();
        let counts = RouteCounts {
            outcomes,
            latencies: self.latencies.map(bounded),
            gaps: self.gaps.map(bounded),
        };
        (self.route.into(), counts)
    }
}

fn is_kept_name(name: &str) -> bool {
    name.len() <= NAME_BYTES_MAX
}

fn bounded(buckets: Vec<u64>) -> LatencyCounts {
    LatencyCounts::from_buckets(buckets.into_iter().map(|count| count.min(COUNT_MAX)))
}

/// Buckets without the empty ones at the end.
fn trimmed(counts: &LatencyCounts) -> Vec<u64> {
    let buckets = counts.buckets();
    let used = buckets.iter().rposition(|count| *count > 0);
    buckets[..used.map_or(0, |last| last + 1)].to_vec()
}

impl From<RolloutPhase> for PhaseMessage {
    fn from(phase: RolloutPhase) -> Self {
        match phase {
            RolloutPhase::Trial => Self::Trial,
            RolloutPhase::Moving => Self::Moving,
            RolloutPhase::Reverting => Self::Reverting,
            RolloutPhase::Finished => Self::Finished,
            RolloutPhase::Reverted => Self::Reverted,
        }
    }
}

impl From<PhaseMessage> for RolloutPhase {
    fn from(message: PhaseMessage) -> Self {
        match message {
            PhaseMessage::Trial => Self::Trial,
            PhaseMessage::Moving => Self::Moving,
            PhaseMessage::Reverting => Self::Reverting,
            PhaseMessage::Finished => Self::Finished,
            PhaseMessage::Reverted => Self::Reverted,
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
