//! Evidence about prompt parts that crash the servers which begin to answer them.
//!
//! Retries and resumption heal the death of a server, but carry a request that
//! causes it (a "query of death") from server to server. A server that ends between
//! the head of an answer and its events therefore accuses the shared parts of that
//! request's prompt, and an answer that goes on acquits its parts. A part to which
//! enough crashes point is held back: requests that contain it are sent to no server.
//!
//! Each entry sees only its own requests, so entries exchange [`CrashEvidence`].
//! Reports have unique ids and acquittals only move forward, so evidence may arrive
//! in any order and any number of times.
//!
//! Crashes count separately only if one answer began after the other crash. Those that
//! overlap may have one cause, such as the loss of a failure domain.
//!
//! Sound requests share every part but one with those that crash servers. Each
//! report therefore accuses a single part, the one that explains most reports; among
//! equals the later one, which fewer requests contain.

mod crash_ledger;
mod held_parts;

use std::time::Duration;

use derive_more::{Display, From, Into};
use tokio::time::Instant;

use crate::{PartDigest, ServerName};

pub use crash_ledger::CrashLedger;
pub use held_parts::{HeldPart, HeldParts, HoldVerdict};

/// Time from the head of an answer within which it counts as just begun.
const BEGINNING: Duration = Duration::from_millis(250);
/// Time from the head of an answer after which it acquits the parts of its prompt.
pub const ACQUITTAL_AGE: Duration = Duration::from_secs(1);
/// Largest number of reports that an entry keeps and hands on.
pub const REPORTS_MAX: usize = 64;
/// Largest number of parts in a report.
pub const REPORT_PARTS_MAX: usize = 32;
/// Time after which a report is dropped.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(6 * 3_600);

/// Random id of a crash report.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReportId(u64);

/// A server that ended as it began to answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Id drawn by the entry that saw the crash.
    pub id: ReportId,
    /// Instance that ended.
    pub server: ServerName,
    /// Name of the entry that saw it.
    pub seen_by: Box<str>,
    /// When the answer began.
    pub begun_at: Instant,
    /// When the crash was seen.
    pub seen_at: Instant,
    /// Shared parts of the request's prompt, in prompt order.
    pub parts: Box<[PartDigest]>,
}

/// A part whose answer went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartAcquittal {
    /// The part.
    pub part: PartDigest,
    /// When the answer began.
    pub begun_at: Instant,
}

/// What an entry tells another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Crash reports.
    pub reports: Vec<CrashReport>,
    /// Acquittals of parts that they contain.
    pub acquittals: Vec<PartAcquittal>,
}

/// How far an answer had come when its connection ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerProgress {
    /// Arrival of its head.
    pub head_at: Option<Instant>,
    /// Arrival of its first event.
    pub first_event_at: Option<Instant>,
}

impl AnswerProgress {
    /// Whether the answer had just begun at `now`. A request that still waited, or
    /// whose answer was past its beginning, did not cause the end of its server.
    pub fn is_beginning(&self, now: Instant) -> bool {
        let Some(head_at) = self.head_at else {
            return false;
        };
        self.first_event_at.is_none() || now.saturating_duration_since(head_at) < BEGINNING
    }

    /// When the answer began, if it has gone on for long enough to acquit its parts.
    pub fn acquitted_from(&self, now: Instant) -> Option<Instant> {
        self.first_event_at?;
        let head_at = self.head_at?;
        (now.saturating_duration_since(head_at) >= ACQUITTAL_AGE).then_some(head_at)
    }
}
