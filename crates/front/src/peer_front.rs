//! Updates of the server list and of the desired state for other entries.
//!
//! A call is held until there are changes after the version that the follower
//! knows, so that followers learn of them immediately, or until the next update
//! that confirms this version. It returns without an update when the store becomes
//! unreachable or after two poll periods; the follower then reads the store itself.

use std::{sync::Arc, time::Duration};

use domain::{
    desired_state::{CallerLimits, StateVersion},
    kv_placement::SpeedReport,
    list_relay::ListCursor,
    store_position::{StoreEra, StorePosition},
};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, service::Service};
use hyper_util::service::TowerToHyperService;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{HttpBody, Server, ServerConfig, ServerHandle, stop_channel},
};
use tokio::time::{Instant, timeout};
use wire::crash_evidence::EvidenceMessage;
use wire::retry_room::{RetryCall, RetryReply};
use wire::speed_report::SpeedMessage;

use wire::entry_peer::{
    ChangeMessage, ChangesReply, EntryPeerServer, LeavingMessage, NewestReply, OrderRowMessage,
    StateReply,
};
use wire::rollout::RolloutMessage;

use crate::{
    caller_body::read_body,
    front_state::FrontState,
    http_server::{bind, serve_requests},
    retry_relay::lend,
    rollout_relay::{decode_news, encode_news},
};

/// Time for the body of a call, which is sent whole.
const CALL_BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Limits on calls: the largest legal one carries crash evidence of a few hundred
/// kilobytes.
const CALL_LIMITS: CallerLimits = CallerLimits {
    header_bytes_max: 16 << 10,
    body_bytes_max: 1 << 20,
    idle_timeout: CALL_BODY_TIMEOUT,
};

/// Server side of the calls between entries.
struct PeerFront {
    state: Arc<FrontState>,
}

/// Serves other entries until the handle is dropped. Returns `None` if the
/// settings contain no address for it.
pub async fn serve_peers(state: &Arc<FrontState>) -> miette::Result<Option<ServerHandle>> {
    let Some(address) = state.settings.load().peer else {
        return Ok(None);
    };
    let listener = bind(address).await?;
    let front = PeerFront {
        state: Arc::clone(state),
    };
    let (stop, handle) = stop_channel();
    // The keeper bounds the connections.
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(u32::MAX)
        .build();
    let service = Server::builder()
        .set_config(config)
        .to_service_builder()
        .build(front.into_rpc(), stop.clone());
    let calls = TowerToHyperService::new(service);
    let (shared, keeper) = (Arc::clone(state), Arc::clone(&state.ingress.peers));
    let serving = serve_requests(listener, keeper, move |request| {
        answer_peer(Arc::clone(&shared), calls.clone(), request)
    });
    tokio::spawn(async move {
        tokio::select! {
            () = serving => {}
            () = stop.shutdown() => {}
        }
    });
    Ok(Some(handle))
}

/// Answers a call. Its body is charged like those of callers: the address may be reached
/// by others than entries.
async fn answer_peer<S>(
    state: Arc<FrontState>,
    calls: S,
    request: Request<Incoming>,
) -> Response<HttpBody>
where
    S: Service<Request<HttpBody>, Response = Response<HttpBody>>,
{
    let (parts, body) = request.into_parts();
    let deadline = Instant::now() + CALL_BODY_TIMEOUT;
    let body = match read_body(&state.ingress, CALL_LIMITS, deadline, body).await {
        Ok(body) => body,
        Err(reason) => return closing_response(reason.status()),
    };
    let request = Request::from_parts(parts, HttpBody::new(body));
    let answered = calls.call(request).await;
    answered.unwrap_or_else(|_| closing_response(StatusCode::INTERNAL_SERVER_ERROR))
}

fn closing_response(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

#[async_trait]
impl EntryPeerServer for PeerFront {
    async fn changes(&self, since: u64, read: u64, era: Option<u64>) -> RpcResult<ChangesReply> {
        let received = Instant::now();
        let wait_max = self.state.list_rule().poll_period * 2;
        let era = era.map_or_else(|| self.state.change_log.load().era(), StoreEra::from);
        let since = StorePosition {
            era,
            version: since,
        };
        let read = StorePosition { era, version: read };
        let result = timeout(wait_max, self.next_cursor(since)).await;
        let cursor = result.ok().flatten();
        Ok(cursor.map_or(ChangesReply::Nothing, |cursor| {
            self.reply(read, cursor, received)
        }))
    }

    async fn state(
        &self,
        row: u64,
        number: Option<u64>,
        era: Option<u64>,
    ) -> RpcResult<StateReply> {
        let received = Instant::now();
        self.state.record_follower(received);
        let wait_max = self.state.state_rule().poll_period * 2;
        let result = timeout(wait_max, self.next_state((number, row, era), received)).await;
        Ok(result.ok().flatten().unwrap_or(StateReply::Nothing))
    }

    async fn newest(&self, number: u64) -> RpcResult<Option<NewestReply>> {
        let newest = self.state.desired_row.load();
        let newest = newest.as_ref().filter(|row| row.version.number > number);
        Ok(newest.map(|row| NewestReply {
            row: row.version.row.version,
            era: row.version.row.era.into(),
            value: row.value.clone(),
        }))
    }

    async fn rollouts(&self, known: Vec<RolloutMessage>) -> RpcResult<Vec<RolloutMessage>> {
        let told = self.state.rollouts.exchange(decode_news(known)).await;
        Ok(encode_news(&told))
    }

    async fn evidence(&self, known: EvidenceMessage) -> RpcResult<EvidenceMessage> {
        let evidence = known.decode(Instant::now());
        let told = self.state.crash_watch.exchange(evidence).await;
        Ok(EvidenceMessage::encode(&told, Instant::now()))
    }

    async fn retry_room(&self, call: RetryCall) -> RpcResult<RetryReply> {
        Ok(lend(&self.state, call))
    }

    async fn speeds(&self, known: SpeedMessage) -> RpcResult<SpeedMessage> {
        let now = Instant::now();
        let registry = self.state.registry.load();
        known.decode(now).merge_into(&registry, now);
        Ok(SpeedMessage::encode(
            &SpeedReport::collect(&registry, now),
            now,
        ))
    }
}

impl PeerFront {
    /// Waits for a desired state after the one that is known, or for the next confirmation
    /// of that one. Returns `None` if nobody confirms it any more.
    async fn next_state(
        &self,
        (number, row, era): (Option<u64>, u64, Option<u64>),
        received: Instant,
    ) -> Option<StateReply> {
        let mut cursors = self.state.state_cursor.subscribe();
        let mut is_next = false;
        loop {
            let current = (*cursors.borrow_and_update())?;
            let known = StateVersion {
                number: number.unwrap_or(current.version.number),
                row: StorePosition {
                    era: era.map_or(current.version.row.era, StoreEra::from),
                    version: row,
                },
            };
            if current.version > known || is_next {
                let newest = self.state.desired_row.load_full()?;
                let now = Instant::now();
                return Some(StateReply::State {
                    row: newest.version.row.version,
                    era: Some(newest.version.row.era.into()),
                    age_ms: millis_between(current.confirmed_at, now),
                    held_ms: millis_between(received, now),
                    value: (newest.version > known).then(|| newest.value.clone()),
                    orders: order_rows(&self.state),
                });
            }
            // The state owns the sender, so the channel stays open.
            cursors.changed().await.ok()?;
            is_next = true;
        }
    }

    /// Waits for a cursor beyond the newest row `since`, or for the next update
    /// that confirms this row as the newest. Returns `None` if the store is
    /// unreachable.
    async fn next_cursor(&self, since: StorePosition) -> Option<ListCursor> {
        let mut cursors = self.state.list_cursor.subscribe();
        let mut is_next = false;
        loop {
            let current = *cursors.borrow_and_update();
            let current = current?;
            if current.newest_row > since || (is_next && current.newest_row == since) {
                return Some(current);
            }
            // The state owns the sender, so the channel stays open.
            cursors.changed().await.ok()?;
            is_next = true;
        }
    }

    fn reply(&self, read: StorePosition, cursor: ListCursor, received: Instant) -> ChangesReply {
        let log = self.state.change_log.load();
        // A listing of the next era may have replaced the log that the cursor belongs to.
        if log.era() != cursor.read.era {
            return ChangesReply::Nothing;
        }
        let Some(logged) = log.changes_since(read) else {
            return ChangesReply::HistoryGone;
        };
        let now = Instant::now();
        ChangesReply::Changes {
            version: cursor.newest_row.version,
            read: cursor.read.version,
            era: Some(cursor.read.era.into()),
            is_complete: logged.is_complete,
            age_ms: millis_between(cursor.observed_at, now),
            held_ms: millis_between(received, now),
            changes: logged
                .changes
                .into_iter()
                .map(ChangeMessage::from)
                .collect(),
            leaving: self
                .state
                .registry
                .load()
                .leaving_servers()
                .map(|server| LeavingMessage::from(server.record()))
                .collect(),
        }
    }
}

/// Rows of the orders in force, for an entry that does not read the store itself.
fn order_rows(state: &FrontState) -> Vec<OrderRowMessage> {
    let rows = state.rollouts.rows();
    let messages = rows.values().filter_map(|order| {
        let value = String::from_utf8(order.row.value.clone()?).ok()?;
        Some(OrderRowMessage {
            key: order.row.key.clone(),
            row: order.row.version.version,
            era: order.row.version.era.into(),
            value,
        })
    });
    messages.collect()
}

fn millis_between(earlier: Instant, later: Instant) -> u64 {
    let time = later.saturating_duration_since(earlier);
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
