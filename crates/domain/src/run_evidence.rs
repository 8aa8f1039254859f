//! What the outcome of one send proves about the run of a request, and the next
//! step.
//!
//! A request is proved not to have run only if the server says so or if no byte
//! of it was sent. A connection reset, a missing answer or an answer to another
//! request proves nothing. A request that may run at most once is sent to
//! another server or refused as "not run" only after such a proof. An idempotent
//! request may be refused although an earlier send may have run it.
//!
//! Whether a request may have run is asked of its [`SendLedger`], which counts a send
//! from before its first byte and not from its end.
//!
//! The rules apply to requests that are forwarded without a recorded intent.
//! Calls with a recorded intent have the corresponding rules in
//! [`service_call`](crate::service_call).

mod next_step;
mod send_ledger;

pub use next_step::{NextStep, SendBudget, next_step};
pub use send_ledger::{OpenSend, SendLedger};

/// Parts of an answer's head that serve as evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The server states that it did not run the request.
    pub not_run: bool,
    /// The answer comes from another server that now has the address.
    pub misdirected: bool,
    /// The status is a success.
    pub success: bool,
    /// The status is a server error.
    pub server_error: bool,
    /// The status tells callers that the request did not run.
    pub refusing: bool,
    /// The answer has the seal, a header that marks it as the server's own.
    pub sealed: bool,
    /// The answer carries the id of another request.
    pub foreign: bool,
    /// The answer carries a request id.
    pub echoed: bool,
    /// The connection carried an answer before, which may come once more.
    pub reused: bool,
    /// The body has a content encoding, so it is not as the server wrote it.
    pub encoded: bool,
}

/// Outcome of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection was established.
    NotConnected,
    /// The connection returned the request before any byte was sent.
    HandedBack,
    /// The server stated that it did not run the request.
    Rejected,
    /// A complete answer of the server.
    Answered {
        /// The server reported an error of its own.
        server_error: bool,
    },
    /// The answer is truncated, malformed, to another request or without a seal.
    Broken,
    /// No answer arrived within the time limit of the send.
    Silent,
}

/// What a send proves about the run of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProof {
    /// The request did not run and will not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run or may still run.
    Inconclusive,
}

impl AnswerHead {
    /// Returns whether the answer is the server's own answer to this request.
    pub fn is_genuine(&self) -> bool {
        if self.foreign || (self.success && self.encoded) {
            return false;
        }
        // A success without the seal may come from something other than the server;
        // other answers need no seal.
        self.echoed && (self.sealed || !self.success)
    }

    /// Returns whether the answer proves that the request did not run.
    pub fn is_rejection(&self) -> bool {
        // Without an id, a refusal on a reused connection may be an earlier one.
        let is_answer = self.echoed || !self.reused;
        self.not_run && is_answer && !self.foreign && !self.success
    }
}

impl SendOutcome {
    /// Returns whether the request may have reached a server.
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::NotConnected | Self::HandedBack)
    }

    /// Returns what the send proves.
    pub fn proof(self) -> RunProof {
        match self {
            Self::NotConnected | Self::HandedBack | Self::Rejected => RunProof::NotRun,
            Self::Answered { .. } => RunProof::Ran,
            Self::Broken | Self::Silent => RunProof::Inconclusive,
        }
    }
}
