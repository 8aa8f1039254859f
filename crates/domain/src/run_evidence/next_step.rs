//! What follows the end of a send.

use super::{RunProof, SendOutcome};
use crate::desired_state::RouteKind;

/// Rejections of one plain request: four reach every failure domain of the
/// users once, and each costs a round trip.
const CALL_REJECTED_MAX: u32 = 4;
/// Rejections of one stream, which has seconds in place of milliseconds.
const STREAM_REJECTED_MAX: u32 = 12;

/// What is left for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudget {
    /// Servers on which it may run.
    pub runs_max: u32,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends that a server surely did not run.
    pub rejected: u32,
    /// Rejections after which no other server is asked.
    pub rejected_max: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Hand the answer to the caller.
    Deliver,
    /// Send to another server, if the retry budget and the time allow it.
    Retry,
    /// Say "not run".
    Refuse,
    /// Say that the outcome is not known.
    Fail,
}

impl SendBudget {
    /// Nothing sent yet.
    pub fn new(runs_max: u32, kind: RouteKind) -> Self {
        Self {
            runs_max: runs_max.max(1),
            runs: 0,
            rejected: 0,
            rejected_max: if kind.is_stream() {
                STREAM_REJECTED_MAX
            } else {
                CALL_REJECTED_MAX
            },
        }
    }

    /// Count the end of a send; one that reached no server counts for nothing.
    pub fn record(&mut self, end: SendOutcome) {
        match end {
            SendOutcome::NotConnected => {}
            SendOutcome::HandedBack | SendOutcome::Rejected => self.rejected += 1,
            SendOutcome::Answered { .. } | SendOutcome::Broken | SendOutcome::Silent => {
                self.runs += 1
            }
        }
    }

    /// Whether another send may be made for an idempotent request.
    pub fn has_runs_left(&self) -> bool {
        self.runs < self.runs_max
    }
}

/// Decide after a send whose end has been counted.
pub fn next_step(kind: RouteKind, end: SendOutcome, budget: &SendBudget) -> NextStep {
    let again = budget.has_runs_left() && budget.rejected < budget.rejected_max;
    match end.proof() {
        RunProof::Ran => match end {
            SendOutcome::Answered { server_error: true } if kind.is_idempotent() && again => {
                NextStep::Retry
            }
            _ => NextStep::Deliver,
        },
        RunProof::NotRun if again => NextStep::Retry,
        RunProof::NotRun if budget.runs == 0 || kind.is_idempotent() => NextStep::Refuse,
        RunProof::NotRun => NextStep::Fail,
        RunProof::Unknown if kind.is_idempotent() && again => NextStep::Retry,
        RunProof::Unknown => NextStep::Fail,
    }
}
