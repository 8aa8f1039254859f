//! Budget of what the connections of callers may hold together.
//!
//! The load it handles: many callers that no operator controls, each inside the limits
//! of a single request or just beyond, which send large bodies and stop short of their
//! end, connect without a request, or do not read their answers. Each of them is cheap;
//! together they would take the memory and the descriptors of the VM.
//!
//! - [`IngressLimits`] derives the bounds from the VM's memory and descriptors.
//! - [`BodyBudget`] is the account of the bytes of all bodies. Small bodies may use all
//!   of it and large ones a part, so that large ones are refused first.
//! - [`PieceBudget`] is the account of the pieces of streams that wait for their readers.
//! - [`TransferPace`] gives up a body that arrives too slowly for the memory it holds.
//! - [`ConnectionActivity`] tells which connection to close first when there are too
//!   many.
//!
//! All of it is atomics or belongs to one task.

mod body_budget;
mod connection_activity;
mod piece_budget;
mod transfer_pace;

pub use body_budget::{BodyBudget, BodyShare, NoBodyMemory};
pub use connection_activity::{ConnectionActivity, choose_closed, choose_stalled};
pub use piece_budget::{PieceBudget, PieceCharge};
pub use transfer_pace::{TransferPace, TransferRule, TransferTooSlow};

/// Descriptors of a VM that are reserved for other processes.
const DESCRIPTORS_RESERVED: usize = 200;
/// Bytes that a connection without a request holds at most: the read buffer for the
/// largest head of a request.
const CONNECTION_BYTES: usize = 16 << 10;
/// Connections that are accepted however small the VM is.
const CONNECTIONS_MIN: usize = 16;

/// Bounds on what callers' connections hold together.
///
/// The shares of the memory leave a third of it to the system and the sockets: a sixth
/// for bodies, an eighth for connections, an eleventh for answers, a thirty-second for pieces of streams, and the rest of two
/// thirds for the process itself. The allocator may take up to twice what bodies and
/// answers hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    /// Bytes of all request bodies.
    pub body_bytes: usize,
    /// Bytes of all large answers.
    pub answer_bytes: usize,
    /// Bytes of streams that wait for their readers.
    pub piece_bytes: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Connections of other entries.
    pub peer_connections: usize,
    /// Connections of each other listener.
    pub side_connections: usize,
}

impl IngressLimits {
    /// Derives the bounds from the VM's memory in bytes and its descriptors.
    pub fn derive(memory: usize, descriptors: usize) -> Self {
        // The other half is for connections to backend servers, other entries and the
        // store, and for the other listeners.
        let by_descriptors = descriptors.saturating_sub(DESCRIPTORS_RESERVED) / 2;
        let by_memory = memory / 8 / CONNECTION_BYTES;
        let connections = by_descriptors.min(by_memory).max(CONNECTIONS_MIN);
        Self {
            body_bytes: memory / 6,
            answer_bytes: memory / 11,
            piece_bytes: memory / 32,
            connections,
            peer_connections: (connections / 3).max(CONNECTIONS_MIN),
            side_connections: (connections / 8).max(CONNECTIONS_MIN),
        }
    }
}

/// Connections above which idle ones are closed, of `limit` in all: the rest lets callers
/// in while those are being closed.
pub fn crowded_from(limit: usize) -> usize {
    limit - limit / 8
}
