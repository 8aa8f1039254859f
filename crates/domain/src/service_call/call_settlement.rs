//! How an open record is settled from what its owner and the service know.
//!
//! The service's journal proves that a call ran. That it lacks a key proves
//! nothing while the call may still arrive or still be worked on. It proves
//! `not run` only past a fence: the server was seen awake, without a gap, for
//! its longest run after the last moment at which the call can have been
//! dispatched. Time alone would not do, since a server that sleeps keeps what
//! it received and runs it when it wakes.

use std::time::Duration;

use tokio::time::Instant;

use crate::service_call::{CallEvidence, CallOutcome, CallState};

/// When a call can have been dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchLimit {
    /// Never: the process that owns the intent says so of itself.
    Never,
    /// Not after this moment.
    Until(Instant),
}

/// What the journal said of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalLookup {
    /// The service keeps no journal, or did not answer.
    Unavailable,
    /// It lists the key.
    Found {
        /// Status code of the answer that is given for it.
        status: u16,
        /// The answer.
        answer: String,
    },
    /// It did not list the key when asked at this moment.
    NotFound {
        /// When it was asked.
        asked_at: Instant,
    },
}

/// Bounds that the fence rests on.
#[derive(Clone, Copy, Debug)]
pub struct FenceRule {
    /// Longest time that the service works on a call.
    pub run_max: Duration,
    /// Longest gap between two answers of a server that is awake; also the
    /// margin on top of `run_max`.
    pub answer_gap_max: Duration,
}

/// For how long the server has been awake without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerUptime {
    awake: Option<(Instant, Instant)>,
}

impl ServerUptime {
    /// The server answered; a long wait for the answer is a gap as well.
    pub fn record_answer(&mut self, rule: &FenceRule, now: Instant) {
        let awake = self
            .awake
            .filter(|(_, last)| now.duration_since(*last) <= rule.answer_gap_max);
        let since = awake.map_or(now, |(since, _)| since);
        self.awake = Some((since, now));
    }

    /// The server did not answer.
    pub const fn record_failure(&mut self) {
        self.awake = None;
    }

    /// Moment from which a lacking key counts for a call dispatched until
    /// `limit`; none while the server has not been seen awake.
    pub fn fence_time(&self, rule: &FenceRule, limit: Instant) -> Option<Instant> {
        let (since, _) = self.awake?;
        Some(since.max(limit) + rule.run_max + rule.answer_gap_max)
    }
}

/// The state that an open record may move to, if any.
pub fn settled_state(
    limit: DispatchLimit,
    lookup: &JournalLookup,
    uptime: &ServerUptime,
    rule: &FenceRule,
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
            let is_past = *asked_at >= uptime.fence_time(rule, limit)?;
            let evidence = if is_past {
                CallEvidence::AbsentAfterFence
            } else {
                CallEvidence::AbsentBeforeFence
            };
            (evidence.outcome() == CallOutcome::NotRun).then_some(CallState::NotRun)
        }
    }
}
