//! The sends of one request.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use super::{SendBudget, SendOutcome};
use crate::desired_state::RouteKind;

/// Record of the sends of one request, from which every answer to its caller is
/// derived.
///
/// A send is recorded before its first byte leaves, and counts as a run unless the
/// server or the connection disowns it. An abandoned send, whose future is dropped
/// because of a time limit, a drain or a caller that left, therefore stays recorded.
///
/// One task sends a request at a time. Another one may read the ledger only after it
/// has dropped the sends, so relaxed ordering suffices.
#[derive(Debug)]
pub struct SendLedger {
    kind: RouteKind,
    runs_max: u32,
    runs: AtomicU32,
    rejected: AtomicU32,
}

impl SendLedger {
    /// Creates the ledger of a request that has not been sent.
    pub fn new(runs_max: u32, kind: RouteKind) -> Self {
        Self {
            kind,
            runs_max,
            runs: AtomicU32::new(0),
            rejected: AtomicU32::new(0),
        }
    }

    /// Records a send of which no byte has left yet.
    pub fn open(&self) -> OpenSend<'_> {
        self.runs.fetch_add(1, Relaxed);
        OpenSend { ledger: self }
    }

    /// Records how a send ended that is tried at another server if the budget allows.
    pub fn record(&self, outcome: SendOutcome) {
        if matches!(outcome, SendOutcome::HandedBack | SendOutcome::Rejected) {
            self.rejected.fetch_add(1, Relaxed);
        }
    }

    /// Counts and limits at this moment, open sends included.
    pub fn budget(&self) -> SendBudget {
        SendBudget {
            runs: self.runs.load(Relaxed),
            rejected: self.rejected.load(Relaxed),
            ..SendBudget::new(self.runs_max, self.kind)
        }
    }

    /// Whether the caller may be told to send the request again: no byte of it has left
    /// that was not disowned, or the request is idempotent.
    pub fn may_refuse(&self) -> bool {
        self.kind.is_idempotent() || self.runs.load(Relaxed) == 0
    }
}

/// A send that may have run the request, unless it is disowned.
#[derive(Debug)]
pub struct OpenSend<'a> {
    ledger: &'a SendLedger,
}

impl OpenSend<'_> {
    /// Records the proof that the send did not run the request and will not.
    pub fn disown(self) {
        self.ledger.runs.fetch_sub(1, Relaxed);
    }
}
