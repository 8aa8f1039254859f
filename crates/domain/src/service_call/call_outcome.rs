//! Outcomes of a call and the evidence that supports them.

use derive_more::Display;

/// Outcome of a call as reported to the caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallOutcome {
    /// The service ran the call.
    #[display("ran")]
    Ran,
    /// The call is proved not to have run.
    #[display("not run")]
    NotRun,
    /// The call may have run; the outcome is settled later from records.
    #[display("unknown")]
    Unknown,
}

/// Observation of an attempt to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvidence {
    /// The complete answer of the service arrived.
    Answered,
    /// The connection could not be opened.
    ConnectFailed,
    /// The process did not dispatch the call; no byte was sent.
    RefusedBeforeSend,
    /// The connection broke or timed out after the first byte may have been sent.
    LostAfterSend,
    /// The service's journal lists the key.
    InJournal,
    /// The journal does not list the key, and the call can no longer arrive or be
    /// in progress.
    ConclusiveAbsence,
    /// The journal does not list the key, but the call may still arrive or be in
    /// progress.
    InconclusiveAbsence,
}

impl CallEvidence {
    /// Returns the strongest outcome that this evidence proves.
    pub const fn outcome(self) -> CallOutcome {
        match self {
            Self::Answered | Self::InJournal => CallOutcome::Ran,
            Self::ConnectFailed | Self::RefusedBeforeSend | Self::ConclusiveAbsence => {
                CallOutcome::NotRun
            }
            Self::LostAfterSend | Self::InconclusiveAbsence => CallOutcome::Unknown,
        }
    }
}
