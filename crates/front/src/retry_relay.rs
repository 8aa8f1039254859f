//! Exchange of retry room with other entries.
//!
//! Runs beside the requests: it asks for room while retries wait for it, for all of them
//! together. A lost, late or failed call leaves each entry with its own part.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use domain::{ServiceName, retry_pool::NoticeReplies};
use futures_util::{StreamExt, stream};
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use rand::{Rng, seq::SliceRandom};
use telemetry::supervise;
use tokio::time::{Instant, sleep, timeout};
use wire::{
    entry_peer::EntryPeerClient,
    retry_room::{RetryCall, RetryReply, ServiceRoom},
};

use crate::{
    evidence_relay::peers,
    front_state::{ENTRY_LIFETIME, FrontState},
    retry_room::RoomWant,
};

/// Time limit of a call to another entry: a fifth of the time for which room is lent. A
/// busy entry on a small VM replies after some hundred milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time between two checks of the room that is left.
const CHECK_PERIOD: Duration = Duration::from_millis(1_000);
/// Shortest time between two rounds of calls. A loss takes its retries within it, so
/// that they are asked for together.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Time between two rounds of calls if nobody had room.
const EMPTY_ROUND_PAUSE: Duration = Duration::from_millis(300);
/// Entries that are asked at a time.
const ASKED_TOGETHER: usize = 4;
/// Largest number of entries that are asked in one round.
const ASKED_MAX: usize = 12;
/// Calls to other entries at a time while this one announces itself.
const CONCURRENT_NOTICES: usize = 8;
/// Time after a failed call in which an entry is not asked again.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// Starts the exchange. An entry that does not serve others takes no part in it.
pub fn relay_retries(state: &Arc<FrontState>) {
    if state.settings.load().peer.is_none() {
        return;
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        supervise("retry_room", || relay(Arc::clone(&state))).await;
    });
}

/// Answers another entry's call.
pub(crate) fn lend(state: &FrontState, call: RetryCall) -> RetryReply {
    let now = Instant::now();
    let slack = state.retries.slack();
    let established = slack.is_established();
    slack.note_entries(call.entries);
    let mut reply = RetryReply {
        established,
        ..RetryReply::default()
    };
    for want in call.usable_wants() {
        let want = RoomWant {
            service: ServiceName::from(want.service),
            room: want.room,
        };
        let Some(lent) = state.lend_room(&want, now) else {
            continue;
        };
        log::info!(
            service = want.service.as_str(),
            wanted = want.room,
            room = lent.room;
            "retries lent"
        );
        reply.lease_ms = u64::try_from(lent.time.as_millis()).unwrap_or(u64::MAX);
        reply.lent.push(ServiceRoom {
            service: want.service.to_string(),
            room: lent.room,
        });
    }
    reply
}

async fn relay(state: Arc<FrontState>) {
    let mut lenders = RoomLenders::default();
    let mut notice = EntryNotice::default();
    loop {
        let pause = CHECK_PERIOD.mul_f64(rand::rng().random_range(0.8..1.0));
        // Expires if no service needs anything.
        let _ = timeout(pause, state.retries.need.notified()).await;
        let is_pending = state.retries.slack().is_pending(Instant::now());
        if is_pending && state.roster.load().is_listed() {
            notice.send(&state).await;
        }
        let wants = state.wanted_room(Instant::now());
        if wants.is_empty() {
            sleep(ROUND_PAUSE).await;
            continue;
        }
        let has_lent = lenders.ask_round(&state).await;
        sleep(if has_lent {
            ROUND_PAUSE
        } else {
            EMPTY_ROUND_PAUSE
        })
        .await;
    }
}

/// Replies of the other entries to the notice of this one.
#[derive(Debug, Default)]
struct EntryNotice {
    /// Whether each entry that replied was established.
    replies: HashMap<SocketAddr, bool>,
}

impl EntryNotice {
    /// Tells those that have not replied yet how many entries there are with this one,
    /// and records whether they used the slack before.
    async fn send(&mut self, state: &FrontState) {
        let peers = peers(state);
        let mut unheard = peers.clone();
        unheard.retain(|peer| !self.replies.contains_key(peer));
        let call = RetryCall {
            entries: known_entries(state),
            wants: Vec::new(),
        };
        let replies: Vec<(SocketAddr, Option<RetryReply>)> = stream::iter(unheard)
            .map(|peer| {
                let call = call.clone();
                async move { (peer, notify(state, peer, call).await) }
            })
            .buffer_unordered(CONCURRENT_NOTICES)
            .collect()
            .await;
        for (peer, reply) in replies {
            if let Some(reply) = reply {
                self.replies.insert(peer, reply.established);
            }
        }
        let listed = peers.iter().filter_map(|peer| self.replies.get(peer));
        let replies = NoticeReplies {
            listed: peers.len(),
            replied: listed.clone().count(),
            established: listed.filter(|is_established| **is_established).count(),
        };
        log::info!(
            listed = replies.listed,
            replied = replies.replied,
            established = replies.established;
            "other entries told of this one"
        );
        let slack = state.retries.slack();
        slack.record_replies(replies, state.slack_times(), Instant::now());
    }
}

async fn notify(state: &FrontState, peer: SocketAddr, call: RetryCall) -> Option<RetryReply> {
    let client = HttpClientBuilder::default()
        .build(format!("http://{peer}"))
        .inspect_err(|error| log::debug!(peer:% = peer, error:%; "no client of the entry"));
    call_peer(state, peer, &client.ok()?, call).await
}

fn known_entries(state: &FrontState) -> usize {
    state.roster.load().count(ENTRY_LIFETIME, Instant::now())
}

async fn call_peer(
    state: &FrontState,
    peer: SocketAddr,
    client: &HttpClient,
    call: RetryCall,
) -> Option<RetryReply> {
    let called = timeout(CALL_TIMEOUT, EntryPeerClient::retry_room(client, call)).await;
    let called: Result<Result<RetryReply, ClientError>, _> = called;
    let (outcome, reply) = match called {
        Ok(Ok(reply)) => ("ok", Some(reply)),
        Ok(Err(error)) => {
            log::debug!(peer:% = peer, error:%; "entry lends no retries");
            ("failed", None)
        }
        Err(_) => ("silent", None),
    };
    let calls = &state.metrics.retry_calls;
    calls.with_label_values(&[outcome]).inc();
    reply
}

/// Clients of the entries that are asked for room.
#[derive(Debug, Default)]
struct RoomLenders {
    clients: HashMap<SocketAddr, HttpClient>,
    backoffs: HashMap<SocketAddr, Instant>,
}

impl RoomLenders {
    /// Asks other entries, in random order, until this one has the room that it wants.
    /// Returns whether any was lent.
    async fn ask_round(&mut self, state: &FrontState) -> bool {
        let now = Instant::now();
        let mut peers = peers(state);
        self.clients.retain(|peer, _| peers.contains(peer));
        self.backoffs.retain(|_, until| *until > now);
        peers.retain(|peer| !self.backoffs.contains_key(peer));
        peers.shuffle(&mut rand::rng());
        peers.truncate(ASKED_MAX);
        let mut lent = 0;
        for group in peers.chunks(ASKED_TOGETHER) {
            let wants = state.wanted_room(Instant::now());
            if wants.is_empty() {
                break;
            }
            lent += self.ask_group(state, group, &wants).await;
        }
        lent > 0
    }

    async fn ask_group(
        &mut self,
        state: &FrontState,
        group: &[SocketAddr],
        wants: &[RoomWant],
    ) -> u32 {
        let entries = known_entries(state);
        let count = u32::try_from(group.len()).unwrap_or(1);
        let wants: Vec<ServiceRoom> = wants
            .iter()
            .map(|want| ServiceRoom {
                service: want.service.to_string(),
                room: want.room.div_ceil(count),
            })
            .collect();
        let asked_at = Instant::now();
        let clients: Vec<(SocketAddr, HttpClient)> = group
            .iter()
            .filter_map(|peer| Some((*peer, self.client(*peer)?)))
            .collect();
        let replies: Vec<(SocketAddr, Option<RetryReply>)> = stream::iter(clients)
            .map(|(peer, client)| {
                let wants = wants.clone();
                let call = RetryCall { entries, wants };
                async move { (peer, call_peer(state, peer, &client, call).await) }
            })
            .buffer_unordered(ASKED_TOGETHER)
            .collect()
            .await;
        let mut lent = 0;
        for (peer, reply) in replies {
            match reply {
                Some(reply) => lent += accept(state, peer, reply, asked_at),
                None => {
                    self.clients.remove(&peer);
                    self.backoffs.insert(peer, Instant::now() + FAILURE_BACKOFF);
                }
            }
        }
        lent
    }

    fn client(&mut self, peer: SocketAddr) -> Option<HttpClient> {
        if let Some(client) = self.clients.get(&peer) {
            return Some(client.clone());
        }
        let client = HttpClientBuilder::default()
            .build(format!("http://{peer}"))
            .inspect_err(|error| log::debug!(peer:% = peer, error:%; "no client of the entry"));
        let client = client.ok()?;
        self.clients.insert(peer, client.clone());
        Some(client)
    }
}

/// Adds the room that an entry lent.
fn accept(state: &FrontState, peer: SocketAddr, reply: RetryReply, asked_at: Instant) -> u32 {
    let time = reply.lease_time();
    let mut total = 0;
    for lent in reply.usable_room() {
        let service = ServiceName::from(lent.service);
        let share = state.retry_share(&service);
        if share.accept(lent.room, time, asked_at, Instant::now()) {
            total += lent.room;
            state.retries.borrowed.notify_waiters();
            state.count_retries("borrowed", lent.room);
            log::info!(
                service = service.as_str(),
                peer:% = peer,
                room = lent.room,
                lease_ms = time.as_millis() as u64;
                "retries borrowed"
            );
        }
    }
    total
}
