//! Exchange of learned speeds of servers with other entries.
//!
//! A call goes to an entry drawn at random; both sides then know what one of them knew. An
//! entry sends most of its streams to servers of its own failure domain, so it mostly
//! talks to the entries there, which costs no traffic between the domains. Where all
//! servers are equally fast there is nothing to tell.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{kv_placement::SpeedReport, reachability::is_reachable};
use jsonrpsee::{core::ClientError, http_client::HttpClientBuilder};
use rand::{Rng, seq::IteratorRandom};
use telemetry::supervise;
use tokio::time::{Instant, sleep, timeout};
use wire::{entry_peer::EntryPeerClient, speed_report::SpeedMessage};

use crate::front_state::{ENTRY_LIFETIME, FrontState};

/// Time limit of a call to another entry.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Probability that a call goes to any entry and not to one of the own failure domain.
const FAR_CALL_PROBABILITY: f64 = 0.1;

/// Starts the exchange of speeds. An entry that does not serve other entries takes no
/// part in it.
pub fn relay_speeds(state: &Arc<FrontState>) {
    let shared = Arc::clone(state);
    tokio::spawn(async move {
        supervise("speed_exchange", || exchange_at_random(Arc::clone(&shared))).await;
    });
}

async fn exchange_at_random(state: Arc<FrontState>) {
    loop {
        let period = state.settings.load().contact_limit;
        let jitter = rand::rng().random_range(0.7..1.3);
        sleep(period.mul_f64(jitter)).await;
        if let Some(peer) = draw_peer(&state) {
            exchange(&state, peer).await;
        }
    }
}

/// Draws the address of another entry.
fn draw_peer(state: &FrontState) -> Option<SocketAddr> {
    let settings = state.settings.load();
    settings.peer?;
    let own = settings.own_addresses();
    let roster = state.roster.load();
    let mut rng = rand::rng();
    let is_far = rng.random_bool(FAR_CALL_PROBABILITY);
    let now = Instant::now();
    let peers = || {
        let peers = roster.peers(ENTRY_LIFETIME, now);
        peers.filter_map(|record| Some((&record.domain, record.peer_address?)))
    };
    let reachable = peers().filter(|(_, peer)| is_reachable(*peer, &own));
    let near = reachable
        .filter(|(domain, _)| !is_far && **domain == settings.domain)
        .choose(&mut rng);
    let any = || {
        let reachable = peers().filter(|(_, peer)| is_reachable(*peer, &own));
        reachable.choose(&mut rng)
    };
    near.or_else(any).map(|(_, peer)| peer)
}

async fn exchange(state: &FrontState, peer: SocketAddr) {
    let own = SpeedReport::collect(&state.registry.load(), Instant::now());
    let outcome = match timeout(CALL_TIMEOUT, call(peer, &own)).await {
        Ok(Ok(reply)) => {
            let now = Instant::now();
            reply.decode(now).merge_into(&state.registry.load(), now);
            "ok"
        }
        Ok(Err(error)) => {
            log::debug!(peer:% = peer, error:%; "entry did not take speeds of servers");
            "failed"
        }
        Err(_) => "silent",
    };
    let calls = &state.metrics.speed_calls;
    calls.with_label_values(&[outcome]).inc();
}

async fn call(peer: SocketAddr, own: &SpeedReport) -> Result<SpeedMessage, ClientError> {
    let client = HttpClientBuilder::default().build(format!("http://{peer}"))?;
    let message = SpeedMessage::encode(own, Instant::now());
    EntryPeerClient::speeds(&client, message).await
}
