//! Exchange of crash evidence with other entries.
//!
//! What an entry sees itself it tells all others at once. Besides, it exchanges
//! evidence with another entry, drawn at random, several times within the time in which
//! entries are to learn of each other's knowledge. That reaches entries that have just
//! started, are not yet announced, or missed a call.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{crash_evidence::CrashEvidence, reachability::is_reachable};
use futures_util::{StreamExt, stream};
use jsonrpsee::{core::ClientError, http_client::HttpClientBuilder};
use rand::{Rng, seq::IteratorRandom};
use telemetry::supervise;
use tokio::time::{Instant, sleep, timeout};
use wire::{crash_evidence::EvidenceMessage, entry_peer::EntryPeerClient};

use crate::front_state::{ENTRY_LIFETIME, FrontState};

/// Time limit of a call to another entry.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Calls to other entries at a time.
const CONCURRENT_CALLS: usize = 16;
/// Pause after own crashes were told. Those seen meanwhile are told together.
const TELL_PAUSE: Duration = Duration::from_millis(100);
/// Exchanges with entries drawn at random within the time in which they are to learn
/// of each other's knowledge.
const EXCHANGES_PER_LIMIT: u32 = 4;

/// Starts the exchange of evidence. An entry that does not serve other entries takes no
/// part in it.
pub fn relay_evidence(state: &Arc<FrontState>) {
    let told = Arc::clone(state);
    tokio::spawn(async move {
        supervise("evidence", || tell_own_reports(Arc::clone(&told))).await;
    });
    let drawn = Arc::clone(state);
    tokio::spawn(async move {
        supervise("evidence_exchange", || {
            exchange_at_random(Arc::clone(&drawn))
        })
        .await;
    });
}

/// Tells all other entries of each crash that this one saw.
async fn tell_own_reports(state: Arc<FrontState>) {
    loop {
        state.crash_watch.own_report.notified().await;
        stream::iter(peers(&state))
            .for_each_concurrent(CONCURRENT_CALLS, |peer| exchange(&state, peer))
            .await;
        sleep(TELL_PAUSE).await;
    }
}

async fn exchange_at_random(state: Arc<FrontState>) {
    loop {
        let period = state.settings.load().contact_limit / EXCHANGES_PER_LIMIT;
        let jitter = rand::rng().random_range(0.7..1.0);
        sleep(period.mul_f64(jitter)).await;
        let peer = peers(&state).into_iter().choose(&mut rand::rng());
        if let Some(peer) = peer {
            exchange(&state, peer).await;
        }
    }
}

/// Addresses of the other entries.
pub(crate) fn peers(state: &FrontState) -> Vec<SocketAddr> {
    let settings = state.settings.load();
    if settings.peer.is_none() {
        return Vec::new();
    }
    let own = settings.own_addresses();
    let roster = state.roster.load();
    let peers = roster.peers(ENTRY_LIFETIME, Instant::now());
    peers
        .filter_map(|record| record.peer_address)
        .filter(|peer| is_reachable(*peer, &own))
        .collect()
}

async fn exchange(state: &FrontState, peer: SocketAddr) {
    let own = state.crash_watch.exchange(CrashEvidence::default()).await;
    let outcome = match timeout(CALL_TIMEOUT, call(peer, &own)).await {
        Ok(Ok(reply)) => {
            let told = reply.decode(Instant::now());
            state.crash_watch.exchange(told).await;
            "ok"
        }
        Ok(Err(error)) => {
            log::debug!(peer:% = peer, error:%; "entry did not take crash evidence");
            "failed"
        }
        Err(_) => "silent",
    };
    let calls = &state.metrics.evidence_calls;
    calls.with_label_values(&[outcome]).inc();
}

async fn call(peer: SocketAddr, own: &CrashEvidence) -> Result<EvidenceMessage, ClientError> {
    let client = HttpClientBuilder::default().build(format!("http://{peer}"))?;
    let message = EvidenceMessage::encode(own, Instant::now());
    EntryPeerClient::evidence(&client, message).await
}
