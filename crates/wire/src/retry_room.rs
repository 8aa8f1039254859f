//! Room of the retry budget, as entries lend it to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Largest number of services in a message.
pub const SERVICES_MAX: usize = 64;
/// Largest room in a message.
pub const ROOM_MAX: u32 = 10_000;

/// What an entry tells another one, and asks of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct RetryCall {
    /// Number of entries that the caller knows, itself included.
    #[serde(default)]
    pub entries: usize,
    /// Room that it wants.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<ServiceRoom>,
}

/// Reply to a call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct RetryReply {
    /// Whether the entry has used a part of the slack that did not count the caller.
    #[serde(default)]
    pub established: bool,
    /// Time for which it lends, in milliseconds.
    #[serde(default)]
    pub lease_ms: u64,
    /// Room that it lends.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lent: Vec<ServiceRoom>,
}

/// Retries of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServiceRoom {
    /// Name of the service.
    pub service: String,
    /// Number of retries.
    pub room: u32,
}

impl RetryCall {
    /// The wants that can be used.
    pub fn usable_wants(self) -> impl Iterator<Item = ServiceRoom> {
        usable(self.wants)
    }
}

impl RetryReply {
    /// Time for which room is lent.
    pub fn lease_time(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// The lent room that can be used.
    pub fn usable_room(self) -> impl Iterator<Item = ServiceRoom> {
        usable(self.lent)
    }
}

fn usable(rooms: Vec<ServiceRoom>) -> impl Iterator<Item = ServiceRoom> {
    let rooms = rooms.into_iter().take(SERVICES_MAX);
    rooms.filter(|room| !room.service.is_empty() && (1..=ROOM_MAX).contains(&room.room))
}
