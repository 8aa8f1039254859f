//! Roll-outs: moving the traffic of a service to servers of another version.
//!
//! An order of the operator names a service, the version to move to and a time limit.
//! Servers of that version run beside the old ones. Some versions are bad: a part of
//! their answers fail or are several times slower, from the start or later, under load
//! or on one route only. A bad version must get little of the traffic and lose it soon;
//! a good one must have all of it before the time limit.
//!
//! Load pattern: the traffic of a service, divided among many entries that each see a
//! small part of it, while servers and whole failure domains fail for other reasons.
//!
//! - [`ExposureAllowance`] limits what one entry sends to the new version, such that the
//!   sum over all entries stays below the bound without communication.
//! - [`EvidenceLedger`] holds the answers of both versions by route and failure domain.
//!   Each entry counts its own and hands them on, so reports can be merged in any order
//!   and any number of times.
//! - [`judge`] compares both versions.
//! - [`ServiceRollout`] is the aggregate of one order: its phase, which only moves
//!   forward, and the time rules.
//! - [`RolloutBook`] holds the order in force of each service.
//! - [`VersionFilter`] selects the servers that a request may be sent to.
//!
//! [`RolloutPhase`] lists the phases. The decision to revert overrides the decision to
//! finish until the store has recorded one of the two.

mod answer_counts;
mod evidence_ledger;
mod exposure_allowance;
mod rollout_book;
mod rollout_order;
mod rollout_phase;
mod rollout_verdict;
mod service_rollout;
mod version_filter;

pub use answer_counts::{
    AnswerSample, DomainOutcomes, LATENCY_BUCKETS, LatencyCounts, RouteCounts, VersionSide,
};
pub use evidence_ledger::{
    EntryReport, EvidenceLedger, REPORT_DOMAINS_MAX, REPORT_ROUTES_MAX, REPORTS_MAX, ReportKey,
};
pub use exposure_allowance::{ExposureAllowance, ExposureBounds};
pub use rollout_book::{RolloutBook, SERVICES_MAX, ServiceEntry};
pub use rollout_order::{OrderFault, OrderId, OrderOrigin, RolloutOrder};
pub use rollout_phase::{RolloutPhase, StatusState};
pub use rollout_verdict::{BadReason, EvidenceVerdict, RouteNeed, judge};
pub use service_rollout::{PhaseChange, PhaseReason, RolloutNews, ServiceRollout, SiteView};
pub use version_filter::{FilterRule, SendRight, VERSIONS_MAX, VersionFilter};
