//! Settlement of an open call from the knowledge of its owner and the journal
//! of the service.
//!
//! A key in the journal proves that the call ran. A missing key proves nothing
//! while the call may still arrive or be in progress. It proves `not run` only
//! from a certain time on. That time comes when the server has answered without a
//! gap for the longest run time plus the longest gap, counted from the latest
//! possible dispatch of the call, or from the first answer if that is later. Elapsed time alone is not sufficient, because a suspended server
//! keeps what it has received and runs it when it resumes.

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::{CallEvidence, CallOutcome, CallState};

/// Latest time at which a call can have been dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchLimit {
    /// The call was never dispatched, according to the owner of the intent.
    Never,
    /// The call was dispatched no later than this time, if at all.
    Until(Instant),
}

/// Result of looking up a key in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalLookup {
    /// The service keeps no journal, or did not answer.
    Unavailable,
    /// The journal lists the key.
    Found {
        /// Status code of the journal's answer.
        status: u16,
        /// Body of the journal's answer.
        answer: String,
    },
    /// The journal does not list the key.
    NotFound {
        /// Time at which the lookup was sent.
        asked_at: Instant,
    },
}

/// Time limits for proving that a call did not run from its absence in the
/// journal.
#[derive(Clone, Copy, Debug)]
pub struct AbsenceRule {
    /// Longest run time of a call in the service.
    pub run_max: Duration,
    /// Longest gap between two answers of a server that is up; also the margin
    /// added to `run_max`.
    pub answer_gap_max: Duration,
}

/// Period in which the server has answered without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerUptime {
    /// Times of the first and the last answer of the period.
    answer_period: Option<(Instant, Instant)>,
}

impl ServerUptime {
    /// Records an answer of the server. If it comes later than the longest
    /// gap after the previous one, the period starts anew.
    pub fn record_answer(&mut self, rule: &AbsenceRule, now: Instant) {
        let answer_period = self
            .answer_period
            .filter(|(_, last)| now.duration_since(*last) <= rule.answer_gap_max);
        let since = answer_period.map_or(now, |(since, _)| since);
        self.answer_period = Some((since, now));
    }

    /// Records that the server did not answer.
    pub const fn record_failure(&mut self) {
        self.answer_period = None;
    }

    /// Returns the time from which a missing key proves that a call dispatched no
    /// later than `limit` did not run, or `None` if the server has not answered
    /// since its last failure.
    pub fn absence_proof_time(&self, rule: &AbsenceRule, limit: Instant) -> Option<Instant> {
        let (since, _) = self.answer_period?;
        Some(since.max(limit) + rule.run_max + rule.answer_gap_max)
    }
}

/// Returns the state that the evidence allows for an open record, if any.
pub fn settled_state(
    limit: DispatchLimit,
    lookup: &JournalLookup,
    uptime: &ServerUptime,
    rule: &AbsenceRule,
) -> Option<CallState> {
    let DispatchLimit::Until(limit) = limit else {
        return Some(CallState::NotRun);
    };
    match lookup {
        JournalLookup::Unavailable => None,
        JournalLookup::Found { status, answer } => Some(CallState::Ran {
            status: *status,
            answer: answer.clone(),
        }),
        JournalLookup::NotFound { asked_at } => {
            let is_proof = *asked_at >= uptime.absence_proof_time(rule, limit)?;
            let evidence = if is_proof {
                CallEvidence::ConclusiveAbsence
            } else {
                CallEvidence::InconclusiveAbsence
            };
            (evidence.outcome() == CallOutcome::NotRun).then_some(CallState::NotRun)
        }
    }
}
