//! What the end of one send proves, and what follows.
//!
//! Only two things prove that a request did not run: the server's own word, or
//! that no byte of it was sent. A reset, a missing answer or an answer that
//! belongs to another request prove nothing. A request that runs at most once
//! goes to another server only after a proof, and a refusal that promises "not
//! run" is given only after one.

mod next_step;

pub use next_step::{NextStep, SendBudget, next_step};

/// Head of an answer, as far as it is evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// Another server holds the address.
    pub misdirected: bool,
    /// Status of success.
    pub success: bool,
    /// Status of a failure at the server.
    pub server_error: bool,
    /// The server's seal is there.
    pub sealed: bool,
    /// The answer names another request.
    pub foreign: bool,
    /// The answer names a request.
    pub echoed: bool,
    /// The body is not as the server made it.
    pub encoded: bool,
}

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection came about.
    NotConnected,
    /// The connection handed the request back before a byte left.
    HandedBack,
    /// The server's word that it did not run.
    Rejected,
    /// A whole answer of the server.
    Answered {
        /// The server failed.
        server_error: bool,
    },
    /// Cut, garbled, foreign or without a seal.
    Broken,
    /// No answer within the time of this send.
    Silent,
}

/// What a send proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProof {
    /// It did not run and will not.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run, or may run later.
    Unknown,
}

impl AnswerHead {
    /// Whether the answer is the server's to this request.
    pub fn is_genuine(&self) -> bool {
        if self.foreign || (self.success && self.encoded) {
            return false;
        }
        // A success needs the seal; other answers may come without one.
        self.echoed && (self.sealed || !self.success)
    }

    /// Whether the answer proves that the request did not run.
    pub fn is_rejection(&self) -> bool {
        self.not_run && !self.foreign && !self.success
    }
}

impl SendOutcome {
    /// Whether a server saw the request.
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::NotConnected | Self::HandedBack)
    }

    /// What it proves.
    pub fn proof(self) -> RunProof {
        match self {
            Self::NotConnected | Self::HandedBack | Self::Rejected => RunProof::NotRun,
            Self::Answered { .. } => RunProof::Ran,
            Self::Broken | Self::Silent => RunProof::Unknown,
        }
    }
}
