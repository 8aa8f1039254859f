//! Evidence about prompt parts that crash servers, as entries tell each other.
//!
//! Clocks of different machines differ, so times travel as ages. A report that is odd
//! in any way is left out; the others hold.

use std::time::Duration;

use domain::{
    PartDigest, ServerName,
    crash_evidence::{
        CrashEvidence, CrashReport, PartAcquittal, REPORT_LIFETIME, REPORT_PARTS_MAX, REPORTS_MAX,
        ReportId,
    },
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Longest name of a server or an entry, in bytes.
const NAME_BYTES_MAX: usize = 200;
/// Largest number of acquittals in a message.
const ACQUITTALS_MAX: usize = REPORTS_MAX * REPORT_PARTS_MAX;

/// What an entry knows of crashes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct EvidenceMessage {
    /// Crash reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<CrashMessage>,
    /// Parts whose answers went on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acquittals: Vec<AcquittalMessage>,
}

/// A server that ended as it began to answer a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CrashMessage {
    /// Id of the report.
    pub id: u64,
    /// Instance of the server.
    pub server: String,
    /// Entry that saw the crash.
    pub seen_by: String,
    /// Time since then.
    pub age_ms: u64,
    /// Time from the beginning of the answer to the crash.
    pub begun_ms: u64,
    /// Digests of the shared parts of the request's prompt.
    pub parts: Vec<u64>,
}

/// A part whose answer went on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AcquittalMessage {
    /// Digest of the part.
    pub part: u64,
    /// Time since the answer began.
    pub age_ms: u64,
}

impl EvidenceMessage {
    /// Encodes evidence as of `now`.
    pub fn encode(evidence: &CrashEvidence, now: Instant) -> Self {
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
        let reports = evidence.reports.iter().map(|report| CrashMessage {
            id: report.id.into(),
            server: report.server.to_string(),
            seen_by: report.seen_by.to_string(),
            age_ms: age_ms(report.seen_at),
            begun_ms: millis(report.seen_at.saturating_duration_since(report.begun_at)),
            parts: report.parts.iter().map(|part| u64::from(*part)).collect(),
        });
        let acquittals = evidence
            .acquittals
            .iter()
            .map(|acquittal| AcquittalMessage {
                part: acquittal.part.into(),
                age_ms: age_ms(acquittal.begun_at),
            });
        Self {
            reports: reports.collect(),
            acquittals: acquittals.collect(),
        }
    }

    /// Decodes what can be used of the evidence, received at `now`.
    pub fn decode(self, now: Instant) -> CrashEvidence {
        let reports = self.reports.into_iter().take(REPORTS_MAX);
        let acquittals = self.acquittals.into_iter().take(ACQUITTALS_MAX);
        CrashEvidence {
            reports: reports.filter_map(|report| report.decode(now)).collect(),
            acquittals: acquittals
                .filter_map(|acquittal| {
                    Some(PartAcquittal {
                        part: PartDigest::from(acquittal.part),
                        begun_at: decode_age(acquittal.age_ms, now)?,
                    })
                })
                .collect(),
        }
    }
}

impl CrashMessage {
    fn decode(self, now: Instant) -> Option<CrashReport> {
        let is_name = |name: &str| (1..=NAME_BYTES_MAX).contains(&name.len());
        let is_usable = is_name(&self.server)
            && is_name(&self.seen_by)
            && (1..=REPORT_PARTS_MAX).contains(&self.parts.len());
        if !is_usable {
            return None;
        }
        let seen_at = decode_age(self.age_ms, now)?;
        Some(CrashReport {
            id: ReportId::from(self.id),
            server: ServerName::from(self.server),
            seen_by: self.seen_by.into(),
            begun_at: decode_age(self.begun_ms, seen_at)?,
            seen_at,
            parts: self.parts.into_iter().map(PartDigest::from).collect(),
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn decode_age(age_ms: u64, now: Instant) -> Option<Instant> {
    let age = Duration::from_millis(age_ms);
    (age < REPORT_LIFETIME).then(|| now.checked_sub(age))?
}
