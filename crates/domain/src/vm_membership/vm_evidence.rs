//! Evidence about one VM and the state that it adds up to.

use derive_more::Display;
use tokio::time::Instant;

/// Whether a VM may get new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum VmState {
    /// Takes new work.
    #[display("live")]
    Live,
    /// Finishes what it has and takes no new work.
    #[display("leaving")]
    Leaving,
}

/// What a process knows of a VM.
#[derive(Clone, Copy, Debug)]
pub struct VmEvidence {
    state: VmState,
    seen_at: Instant,
}

impl VmEvidence {
    /// Evidence of a state seen now.
    pub const fn new(state: VmState, now: Instant) -> Self {
        Self {
            state,
            seen_at: now,
        }
    }

    /// State of the VM.
    pub const fn state(&self) -> VmState {
        self.state
    }

    /// Take in evidence that describes the VM as it was at `seen_at`.
    pub fn observe(&mut self, state: VmState, seen_at: Instant) {
        if seen_at < self.seen_at {
            return;
        }
        self.state = state;
        self.seen_at = seen_at;
    }
}
