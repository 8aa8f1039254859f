//! A caller that comes back: when its connection ends without a word, it goes
//! on through another entry with the last event id it saw.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use stand_ins::TextSeed;
use tokio::sync::watch;
use wire::chat::ChatRequest;

use crate::caller::{CallerClient, ChatEnd, ChatFaults, ChatOutcome};

/// Connections of one generation at most.
const CONNECTIONS_MAX: u32 = 40;

/// Pause before the next entry, so that a dead fleet is not hammered.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Status of an entry that is being replaced.
const DRAINING_STATUS: u16 = 503;

/// Where a token came from and when.
#[derive(Clone, Debug)]
pub struct TokenArrival {
    /// When it came.
    pub at: Instant,
    /// Server that its event id names.
    pub server: String,
    /// Entry that sent it.
    pub entry: SocketAddr,
}

/// What a caller received over all its connections.
#[derive(Clone, Debug)]
pub struct PatientOutcome {
    /// All that was received, as if over one connection.
    pub outcome: ChatOutcome,
    /// One for each token.
    pub arrivals: Vec<TokenArrival>,
    /// When the last connection ended.
    pub ended_at: Instant,
    /// Connections made.
    pub connections: u32,
}

impl PatientOutcome {
    /// Compare with the text that is owed.
    pub fn faults(&self, seed: TextSeed, count: u32) -> ChatFaults {
        self.outcome.faults(seed, count)
    }
}

impl CallerClient {
    /// Read a completion to its end through whichever entries are there.
    pub async fn chat_through(
        &self,
        entries: &watch::Receiver<Vec<SocketAddr>>,
        first: usize,
        request: &ChatRequest,
        mut on_token: impl FnMut(usize),
    ) -> PatientOutcome {
        let mut whole = PatientOutcome {
            outcome: ChatOutcome::default(),
            arrivals: Vec::new(),
            ended_at: Instant::now(),
            connections: 0,
        };
        for connection in 0..CONNECTIONS_MAX {
            let entry = {
                let entries = entries.borrow();
                entries[(first + connection as usize) % entries.len()]
            };
            let id = whole.outcome.last_event_id.clone();
            let before = whole.outcome.tokens.len();
            let part = self.chat(entry, request, id.as_deref(), |count| {
                on_token(before + count);
            });
            let part = part.await;
            whole.connections += 1;
            whole.append(part, entry);
            if !whole.may_come_back() {
                break;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        whole.ended_at = Instant::now();
        whole
    }
}

impl PatientOutcome {
    fn append(&mut self, part: ChatOutcome, entry: SocketAddr) {
        for (at, server) in part.times.iter().zip(&part.servers) {
            self.arrivals.push(TokenArrival {
                at: *at,
                server: server.clone(),
                entry,
            });
        }
        let whole = &mut self.outcome;
        whole.tokens.extend(part.tokens);
        whole.times.extend(part.times);
        whole.servers.extend(part.servers);
        whole.last_event_id = part.last_event_id.or(whole.last_event_id.take());
        whole.end = part.end;
    }

    fn may_come_back(&self) -> bool {
        matches!(
            self.outcome.end,
            ChatEnd::Cut | ChatEnd::Reconnect | ChatEnd::Refused(DRAINING_STATUS, _)
        )
    }
}
