//! All evidence that an entry has.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    CrashEvidence, CrashReport, HeldPart, HeldParts, PartAcquittal, REPORT_LIFETIME, REPORTS_MAX,
    ReportId,
};
use crate::PartDigest;

/// Crashes that convict a part of which no answer was ever seen to go on.
const CRASHES_OF_UNKNOWN_PART: usize = 3;
/// Crashes that convict a part whose answers went on before.
const CRASHES_OF_KNOWN_PART: usize = 5;
/// Time over which the crashes of a part whose answers went on before must extend, so
/// that a sound part has an answer that goes on in between.
const SPAN_OF_KNOWN_PART: Duration = Duration::from_secs(2);
/// Largest number of acquittals that are kept.
const ACQUITTALS_MAX: usize = 4_096;

/// Crash reports and acquittals known to an entry.
#[derive(Debug, Default)]
pub struct CrashLedger {
    reports: BTreeMap<ReportId, CrashReport>,
    acquittals: HashMap<PartDigest, Instant>,
}

/// Crashes that one part explains.
#[derive(Clone, Debug)]
struct CrashSeries {
    count: usize,
    first_at: Instant,
    last_at: Instant,
    /// When the last crash that counts was seen.
    counted_at: Instant,
}

impl CrashLedger {
    /// Adds a report. Returns whether it is new.
    pub fn add_report(&mut self, report: CrashReport) -> bool {
        if report.parts.is_empty() || self.reports.contains_key(&report.id) {
            return false;
        }
        self.reports.insert(report.id, report);
        while self.reports.len() > REPORTS_MAX {
            let oldest = self.reports.values().min_by_key(|report| report.seen_at);
            let Some(oldest) = oldest.map(|report| report.id) else {
                break;
            };
            self.reports.remove(&oldest);
        }
        true
    }

    /// Adds an acquittal. Returns whether it is newer than the known one and concerns
    /// a part that a report contains.
    pub fn acquit(&mut self, acquittal: PartAcquittal) -> bool {
        let PartAcquittal { part, begun_at } = acquittal;
        let known = self.acquittals.get(&part);
        if known.is_some_and(|known| *known >= begun_at) {
            return false;
        }
        self.acquittals.insert(part, begun_at);
        self.drop_oldest_acquittals();
        self.is_reported(part)
    }

    /// Adds what another entry told. Returns the number of new reports.
    pub fn merge(&mut self, evidence: CrashEvidence) -> usize {
        for acquittal in evidence.acquittals {
            self.acquit(acquittal);
        }
        let reports = evidence.reports.into_iter();
        reports
            .filter(|report| self.add_report(report.clone()))
            .count()
    }

    /// All reports, and the acquittals of parts that they or `others` contain.
    pub fn evidence(&self, others: &[CrashReport]) -> CrashEvidence {
        let mut parts: Vec<PartDigest> = self
            .reports
            .values()
            .chain(others)
            .flat_map(|report| report.parts.iter().copied())
            .collect();
        parts.sort_unstable();
        parts.dedup();
        let acquittals = parts.into_iter().filter_map(|part| {
            let begun_at = *self.acquittals.get(&part)?;
            Some(PartAcquittal { part, begun_at })
        });
        CrashEvidence {
            acquittals: acquittals.collect(),
            reports: self.reports.values().cloned().collect(),
        }
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.seen_at) < REPORT_LIFETIME);
    }

    /// The parts that the evidence convicts. `earlier` is the previous verdict.
    pub fn held_parts(&self, earlier: &HeldParts) -> HeldParts {
        let accused = self.accused_reports();
        let weights = count_series(
            accused
                .iter()
                .flat_map(|(report, parts)| parts.iter().map(|part| (*part, *report))),
        );
        let culprits: Vec<(PartDigest, &CrashReport)> = accused
            .iter()
            .filter_map(|(report, parts)| {
                let weight = |part: &PartDigest| weights.get(part).map_or(0, |series| series.count);
                // The last of several with the highest weight.
                let culprit = parts.iter().max_by_key(|part| weight(part))?;
                Some((*culprit, *report))
            })
            .collect();
        let series = count_series(culprits.iter().copied());
        let held = series.iter().filter_map(|(part, series)| {
            let needed = self.crashes_needed(*part, series)?;
            let mut seen_by: Vec<Box<str>> = culprits
                .iter()
                .filter(|(culprit, _)| culprit == part)
                .map(|(_, report)| report.seen_by.clone())
                .collect();
            seen_by.sort_unstable();
            seen_by.dedup();
            let span = (series.first_at, series.last_at);
            Some(HeldPart::new(
                *part,
                series.count,
                series.count - needed,
                span,
                seen_by,
            ))
        });
        HeldParts::new(held, earlier)
    }

    /// The number of crashes that convicts a part, if the series reaches it.
    fn crashes_needed(&self, part: PartDigest, series: &CrashSeries) -> Option<usize> {
        let is_known = self.acquittals.contains_key(&part);
        let needed = if is_known {
            CRASHES_OF_KNOWN_PART
        } else {
            CRASHES_OF_UNKNOWN_PART
        };
        let extent = series.last_at.saturating_duration_since(series.first_at);
        let is_convicted = series.count >= needed && (!is_known || extent >= SPAN_OF_KNOWN_PART);
        is_convicted.then_some(needed)
    }

    /// Each report with the parts that it accuses: those never acquitted, or else those
    /// that were not acquitted since.
    fn accused_reports(&self) -> Vec<(&CrashReport, Vec<PartDigest>)> {
        let accused = |report: &CrashReport| {
            let parts = report.parts.iter().copied();
            let unknown: Vec<PartDigest> = parts
                .clone()
                .filter(|part| !self.acquittals.contains_key(part))
                .collect();
            if !unknown.is_empty() {
                return unknown;
            }
            parts
                .filter(|part| {
                    self.acquittals
                        .get(part)
                        .is_some_and(|at| *at < report.seen_at)
                })
                .collect()
        };
        self.reports
            .values()
            .map(|report| (report, accused(report)))
            .collect()
    }

    fn is_reported(&self, part: PartDigest) -> bool {
        let mut reports = self.reports.values();
        reports.any(|report| report.parts.contains(&part))
    }

    fn drop_oldest_acquittals(&mut self) {
        if self.acquittals.len() <= ACQUITTALS_MAX {
            return;
        }
        let mut times: Vec<Instant> = self.acquittals.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.acquittals.retain(|_, begun_at| *begun_at >= median);
    }
}

/// Counts the crashes of each part; those that overlap count as one.
fn count_series<'a>(
    crashes: impl Iterator<Item = (PartDigest, &'a CrashReport)>,
) -> HashMap<PartDigest, CrashSeries> {
    let mut crashes: Vec<(PartDigest, &CrashReport)> = crashes.collect();
    crashes.sort_unstable_by_key(|(_, report)| report.seen_at);
    let mut series: HashMap<PartDigest, CrashSeries> = HashMap::new();
    for (part, report) in crashes {
        let known = series.entry(part).or_insert(CrashSeries {
            count: 1,
            first_at: report.seen_at,
            last_at: report.seen_at,
            counted_at: report.seen_at,
        });
        known.last_at = report.seen_at;
        if report.begun_at >= known.counted_at {
            known.count += 1;
            known.counted_at = report.seen_at;
        }
    }
    series
}
