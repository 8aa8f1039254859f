//! Reports of all entries about the answers of both versions.
//!
//! A report contains all counts of one entry since the order and replaces the earlier
//! report of that entry, so reports may arrive in any order and any number of times.

use std::collections::BTreeMap;

use derive_more::{Display, From, Into};

use super::{AnswerSample, RouteCounts, VersionSide};
use crate::FailureDomain;

/// Largest number of reports that are kept: several times the entries of the largest
/// known deployment, which leaves room for the reports of entries that ended.
pub const REPORTS_MAX: usize = 256;
/// Largest number of routes in a report.
pub const REPORT_ROUTES_MAX: usize = 32;
/// Largest number of failure domains of a route in a report.
pub const REPORT_DOMAINS_MAX: usize = 16;

/// Random key of the reports of one run of an entry about one order.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReportKey(u64);

/// What one entry reports about an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryReport {
    /// Number of the report; the highest one of an entry is the newest.
    pub sequence: u64,
    /// Streams of the entry at servers of the old versions.
    pub old_streams: u32,
    /// Whether the entry sends all new requests to the new version.
    pub has_moved: bool,
    /// Counts by name of the route.
    pub routes: BTreeMap<Box<str>, RouteCounts>,
}

/// Reports of all entries about one order, with their sum.
#[derive(Clone, Debug)]
pub struct EvidenceLedger {
    own_key: ReportKey,
    reports: BTreeMap<ReportKey, EntryReport>,
}

impl EntryReport {
    /// Counts a sample. Samples of further routes than the report can hold are dropped.
    pub fn record(
        &mut self,
        route: &str,
        side: VersionSide,
        domain: &FailureDomain,
        sample: AnswerSample,
    ) {
        self.sequence += 1;
        if let Some(counts) = self.routes.get_mut(route) {
            counts.record(side, domain, sample, REPORT_DOMAINS_MAX);
        } else if self.routes.len() < REPORT_ROUTES_MAX {
            let counts = self.routes.entry(route.into()).or_default();
            counts.record(side, domain, sample, REPORT_DOMAINS_MAX);
        }
    }
}

impl EvidenceLedger {
    /// Creates the ledger of an entry that has seen no answer.
    pub fn new(own_key: ReportKey) -> Self {
        let own = EntryReport {
            sequence: 1,
            ..EntryReport::default()
        };
        Self {
            own_key,
            reports: BTreeMap::from([(own_key, own)]),
        }
    }

    /// Changes this entry's own report, which gets a new number.
    pub fn update_own(&mut self, change: impl FnOnce(&mut EntryReport)) {
        let own = self.reports.entry(self.own_key).or_default();
        own.sequence += 1;
        change(own);
    }

    /// Merges a report of another entry. Returns whether it was newer than the known one.
    pub fn merge(&mut self, key: ReportKey, report: EntryReport) -> bool {
        if key == self.own_key {
            return false;
        }
        let known = self.reports.get(&key).map(|known| known.sequence);
        let is_news = match known {
            Some(sequence) => sequence < report.sequence,
            None => self.reports.len() < REPORTS_MAX,
        };
        if is_news {
            self.reports.insert(key, report);
        }
        is_news
    }

    /// Number of the newest report of each entry.
    pub fn sequences(&self) -> BTreeMap<ReportKey, u64> {
        let reports = self.reports.iter();
        reports
            .map(|(key, report)| (*key, report.sequence))
            .collect()
    }

    /// Reports that are newer than the ones `known` to another entry.
    pub fn newer_than(&self, known: &BTreeMap<ReportKey, u64>) -> Vec<(ReportKey, EntryReport)> {
        let is_newer = |key: &ReportKey, report: &EntryReport| {
            known.get(key).is_none_or(|known| *known < report.sequence)
        };
        let newer = self.reports.iter();
        newer
            .filter(|(key, report)| is_newer(key, report))
            .map(|(key, report)| (*key, report.clone()))
            .collect()
    }

    /// Numbers of all reports but this entry's own, which an entry that has them lacks.
    pub fn sequences_of_others(&self) -> BTreeMap<ReportKey, u64> {
        let mut sequences = self.sequences();
        sequences.remove(&self.own_key);
        sequences
    }

    /// This entry's own report.
    pub fn own(&self) -> Option<&EntryReport> {
        self.reports.get(&self.own_key)
    }

    /// Sum of all reports by route.
    pub fn routes(&self) -> BTreeMap<&str, RouteCounts> {
        let mut sums: BTreeMap<&str, RouteCounts> = BTreeMap::new();
        for report in self.reports.values() {
            for (route, counts) in &report.routes {
                sums.entry(route).or_default().add(counts);
            }
        }
        sums
    }

    /// Number of entries that send all new requests to the new version.
    pub fn moved_entries(&self) -> usize {
        let reports = self.reports.values();
        reports.filter(|report| report.has_moved).count()
    }

    /// Streams of all entries at servers of the old versions.
    pub fn old_streams(&self) -> u64 {
        let reports = self.reports.values();
        reports.map(|report| u64::from(report.old_streams)).sum()
    }
}
