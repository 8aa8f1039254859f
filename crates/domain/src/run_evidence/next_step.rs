//! The decision after each send.

use super::{RunProof, SendOutcome};
use crate::desired_state::RouteKind;

/// Largest number of rejections of one plain request, which is not a stream. Four cover every failure
/// domain of the users once; each costs a round trip.
const CALL_REJECTED_MAX: u32 = 4;
/// Largest number of rejections of one stream. A stream has seconds to start,
/// where a plain request has milliseconds.
const STREAM_REJECTED_MAX: u32 = 12;

/// Counts and limits of the sends of one request at one moment. A failed connection
/// attempt does not count; such attempts are limited only by the caller of this module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudget {
    /// Largest number of sends that may have run the request.
    pub runs_max: u32,
    /// Sends that may have run the request, including those in flight.
    pub runs: u32,
    /// Sends that a server rejected or the connection handed back, so that the
    /// request did not run.
    pub rejected: u32,
    /// Number of rejections after which no other server is tried.
    pub rejected_max: u32,
}

/// The next step after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Return the answer to the caller.
    Deliver,
    /// Send to another server, if the retry budget and the time allow it.
    Retry,
    /// Report that no server took the request. The request did not run, or it is
    /// idempotent and an earlier send may have run it.
    Refuse,
    /// Report to the caller that the outcome is unknown.
    Fail,
}

impl SendBudget {
    /// Creates the budget of a request that has not been sent.
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

    /// Returns whether the budget allows another send that may run the request.
    pub fn has_runs_left(&self) -> bool {
        self.runs < self.runs_max
    }
}

/// Decides the next step after a send whose outcome has been recorded.
pub fn next_step(kind: RouteKind, outcome: SendOutcome, budget: &SendBudget) -> NextStep {
    let may_retry = budget.has_runs_left() && budget.rejected < budget.rejected_max;
    match outcome.proof() {
        RunProof::Ran => match outcome {
            SendOutcome::Answered { server_error: true } if kind.is_idempotent() && may_retry => {
                NextStep::Retry
            }
            _ => NextStep::Deliver,
        },
        RunProof::NotRun if may_retry => NextStep::Retry,
        RunProof::NotRun if budget.runs == 0 || kind.is_idempotent() => NextStep::Refuse,
        RunProof::NotRun => NextStep::Fail,
        RunProof::Inconclusive if kind.is_idempotent() && may_retry => NextStep::Retry,
        RunProof::Inconclusive => NextStep::Fail,
    }
}
