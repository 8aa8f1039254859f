//! What follows the end of a send.

use super::{RunProof, SendEnd};
use crate::desired_state::RouteKind;

/// Sends of one request that no server ran, at most. Each costs a connection
/// or a round trip; four reach every failure domain of the users once.
const REJECTED_MAX: u32 = 4;

/// What is left for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBudget {
    /// Servers on which it may run.
    pub runs_max: u32,
    /// Sends that may have run.
    pub runs: u32,
    /// Sends that surely did not.
    pub rejected: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Hand the answer to the caller.
    Deliver,
    /// Send to another server, if the retry budget and the time allow it.
    TryAgain,
    /// Say "not run".
    Refuse,
    /// Say that the outcome is not known.
    Fail,
}

impl SendBudget {
    /// Nothing sent yet.
    pub fn new(runs_max: u32) -> Self {
        Self {
            runs_max: runs_max.max(1),
            runs: 0,
            rejected: 0,
        }
    }

    /// Count the end of a send.
    pub fn count(&mut self, end: SendEnd) {
        match end.proof() {
            RunProof::NotRun => self.rejected += 1,
            RunProof::Ran | RunProof::Unknown => self.runs += 1,
        }
    }

    /// Whether another send may be made for an idempotent request.
    pub fn has_runs_left(&self) -> bool {
        self.runs < self.runs_max
    }
}

/// Decide after a send whose end has been counted.
pub fn next_step(kind: RouteKind, end: SendEnd, budget: &SendBudget) -> NextStep {
    let again = budget.has_runs_left() && budget.rejected < REJECTED_MAX;
    match end.proof() {
        RunProof::Ran => match end {
            SendEnd::Answered { server_error: true } if kind.is_idempotent() && again => {
                NextStep::TryAgain
            }
            _ => NextStep::Deliver,
        },
        RunProof::NotRun if again => NextStep::TryAgain,
        RunProof::NotRun if budget.runs == 0 || kind.is_idempotent() => NextStep::Refuse,
        RunProof::NotRun => NextStep::Fail,
        RunProof::Unknown if kind.is_idempotent() && again => NextStep::TryAgain,
        RunProof::Unknown => NextStep::Fail,
    }
}
