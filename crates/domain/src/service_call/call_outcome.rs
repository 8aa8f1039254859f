//! Which evidence allows which outcome.

use derive_more::Display;

/// What the caller is told about a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallOutcome {
    /// The service answered.
    #[display("ran")]
    Ran,
    /// Proof that nothing reached the service.
    #[display("not run")]
    NotRun,
    /// May have run; settled later from records.
    #[display("unknown")]
    Unknown,
}

/// What was seen of an attempt to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvidence {
    /// The service's answer arrived whole.
    Answered,
    /// The connection could not be opened.
    ConnectFailed,
    /// Refused before any byte was sent.
    RefusedBeforeSend,
    /// Cut or timed out after the first byte may have been sent.
    LostAfterSend,
    /// The service's own journal lists the key.
    InJournal,
    /// The journal lacks the key, and the call can no longer arrive.
    AbsentAfterFence,
    /// The journal lacks the key, but the call may still be under way.
    AbsentBeforeFence,
}

impl CallEvidence {
    /// The strongest outcome that this evidence proves.
    pub const fn outcome(self) -> CallOutcome {
        match self {
            Self::Answered | Self::InJournal => CallOutcome::Ran,
            Self::ConnectFailed | Self::RefusedBeforeSend | Self::AbsentAfterFence => {
                CallOutcome::NotRun
            }
            Self::LostAfterSend | Self::AbsentBeforeFence => CallOutcome::Unknown,
        }
    }
}
