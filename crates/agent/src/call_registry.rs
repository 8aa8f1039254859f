//! Calls that this process has under way or has left open.
//!
//! Requests with the same key meet here: the second one waits for the answer
//! of the first and costs the store nothing. A key leaves the registry only
//! when its outcome is recorded, so that an intent of this process for a key
//! that is not here was never dispatched.

use domain::{
    BodyDigest,
    service_call::{CallOwner, DispatchLimit},
};
use papaya::HashMap;
use tokio::{sync::watch, time::Instant};
use wire::service_call::CallReply;

/// Sends the reply of a call to all that wait for it.
pub type ReplySender = watch::Sender<Option<CallReply>>;

/// Waits for the reply of a call.
pub type ReplyReceiver = watch::Receiver<Option<CallReply>>;

/// A call under way.
#[derive(Clone, Debug)]
struct LiveCall {
    digest: BodyDigest,
    reply: ReplyReceiver,
}

/// A call whose outcome has to be settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenCase {
    /// The request, `TEAM/KEY`.
    pub request: String,
    /// Process that recorded the intent.
    pub owner: CallOwner,
    /// Run that the intent stands for.
    pub run: u64,
    /// When the call can have been dispatched.
    pub limit: DispatchLimit,
    /// When the case was opened.
    pub opened_at: Instant,
}

/// Where a request with a key stands.
pub enum JoinOutcome {
    /// First of its key here: run it and tell the others.
    New(ReplySender, ReplyReceiver),
    /// Another one is under way.
    Existing(ReplyReceiver),
    /// Another one is under way, with another body.
    OtherBody,
}

/// The calls of a process.
#[derive(Debug, Default)]
pub struct CallRegistry {
    live: HashMap<String, LiveCall>,
    open: HashMap<u64, OpenCase>,
}

impl CallRegistry {
    /// Join the call with a key, or begin it.
    pub fn join(&self, request: &str, digest: BodyDigest) -> JoinOutcome {
        let (sender, reply) = watch::channel(None);
        let call = LiveCall {
            digest,
            reply: reply.clone(),
        };
        match self.live.pin().try_insert(request.to_owned(), call) {
            Ok(_) => JoinOutcome::New(sender, reply),
            Err(occupied) if occupied.current.digest != digest => JoinOutcome::OtherBody,
            Err(occupied) => JoinOutcome::Existing(occupied.current.reply.clone()),
        }
    }

    /// The call's outcome is recorded, or another process's record stands.
    pub fn leave(&self, request: &str) {
        self.live.pin().remove(request);
    }

    /// Have a call settled.
    pub fn open(&self, case: OpenCase) {
        self.open.pin().insert(case.run, case);
    }

    /// A call is settled.
    pub fn close(&self, run: u64) {
        self.open.pin().remove(&run);
    }

    /// Calls to be settled.
    pub fn cases(&self) -> Vec<OpenCase> {
        self.open.pin().values().cloned().collect()
    }
}
