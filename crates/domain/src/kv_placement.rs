//! Which server gets a request.
//!
//! A model server's memory fills before its slots do, and a prompt that is
//! read slows the tokens of all others there, so a stream goes where the least
//! prompt tokens are still to be read and memory is left. Other processes read
//! the same reports, so own work in flight counts first. Bytes between failure
//! domains cost, so the own one is preferred by a margin. Servers that failed
//! lately, and failure domains where several did, come last. A prompt that lies
//! in a server's memory need not be read there.

mod copy_state;
mod server_pick;

pub use copy_state::{CopyState, CopyStep};
pub use server_pick::{PlacementQuery, pick_backup, pick_server};

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the output.
    pub output: u64,
}

impl TokenCounts {
    /// Memory that the request needs in the end.
    pub fn total(self) -> u64 {
        self.prompt + self.output
    }
}

/// Load that a server reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Time that work takes now, in percent of the usual.
    pub service_time_percent: u32,
}
