//! Queue of requests that wait while no server takes them.
//!
//! Load pattern: all servers of a service are full, paused or restarting at once, and
//! many requests wait for the first room, most of them of one team or of little urgency.
//!
//! The next one is the most urgent. Among equally urgent ones teams take turns: each
//! grant moves a team's turn on by one, and a team that was not waiting starts at the
//! present turn and gains nothing from its absence. Within a team the oldest is next. The queue is
//! bounded; when it is full, a more urgent request displaces the newest of the least
//! urgent ones. A stream that has run before is always let in: it would be lost. Each process has its own queue.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{TeamName, urgency::Urgency};

/// Requests that may wait for a service. Each holds its body, which is some 32 kB.
pub const WAITING_MAX: usize = 256;
/// Time after which the next request is tried although nothing told of room: requests of
/// other processes end unseen.
pub const RECHECK_PERIOD: Duration = Duration::from_millis(50);

/// Identity of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaitTicket(pub u64);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its identity.
    pub ticket: WaitTicket,
    /// Its urgency.
    pub urgency: Urgency,
    /// Whether it has run before. Such a request is never turned away by the bound.
    pub is_resumed: bool,
    /// Its team.
    pub team: Option<TeamName>,
    /// When it was received.
    pub received: Instant,
    /// When it is to be tried at the latest: the end of a pause that all servers asked
    /// for, or else a [`RECHECK_PERIOD`] from now.
    pub check_at: Instant,
}

/// Result of [`WaitQueue::join`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The request waits.
    Joined,
    /// The request waits, and this one no longer does.
    Displaced(WaitTicket),
    /// The queue is full of requests that are as urgent.
    Full,
}

/// Requests that wait for the servers of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<WaitingRequest>,
    turns: HashMap<Option<TeamName>, u64>,
    /// Turn of the team that was granted last.
    turn: u64,
}

impl WaitQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    pub fn join(&mut self, request: WaitingRequest) -> JoinOutcome {
        if request.is_resumed || self.waiting.len() < WAITING_MAX {
            self.waiting.push(request);
            return JoinOutcome::Joined;
        }
        let last = self
            .waiting
            .iter_mut()
            .filter(|waiting| !waiting.is_resumed)
            .max_by_key(|waiting| (waiting.urgency, waiting.received));
        match last {
            Some(last) if last.urgency > request.urgency => {
                let displaced = std::mem::replace(last, request);
                JoinOutcome::Displaced(displaced.ticket)
            }
            _ => JoinOutcome::Full,
        }
    }

    /// Removes a request whose caller left or whose time is over.
    pub fn leave(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.forget_turns();
    }

    /// Removes and returns the request that is next.
    pub fn take_next(&mut self) -> Option<WaitTicket> {
        let (index, turn) = (0..self.waiting.len())
            .map(|index| (index, self.turn_of(&self.waiting[index].team)))
            .min_by_key(|(index, turn)| {
                let waiting = &self.waiting[*index];
                (waiting.urgency, *turn, waiting.received, waiting.ticket.0)
            })?;
        let request = self.waiting.swap_remove(index);
        self.turn = turn;
        self.turns.insert(request.team, turn + 1);
        self.forget_turns();
        Some(request.ticket)
    }

    /// Removes and returns the request that is next because the time of a check has come.
    /// The others are checked a [`RECHECK_PERIOD`] later: if this one finds a server, its
    /// sender says so at once.
    pub fn take_due(&mut self, now: Instant) -> Option<WaitTicket> {
        let next = self.take_next();
        for waiting in &mut self.waiting {
            waiting.check_at = waiting.check_at.max(now + RECHECK_PERIOD);
        }
        next
    }

    /// When the next request is to be tried at the latest.
    pub fn next_check(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| waiting.check_at).min()
    }

    /// Turn of a team, which is never in the past.
    fn turn_of(&self, team: &Option<TeamName>) -> u64 {
        self.turns
            .get(team)
            .map_or(self.turn, |turn| self.turn.max(*turn))
    }

    /// Drops turns that are in the past, which bounds them by the number of teams that
    /// wait or were granted lately.
    fn forget_turns(&mut self) {
        let turn = self.turn;
        self.turns.retain(|_, next| *next > turn);
    }
}
