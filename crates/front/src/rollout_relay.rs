//! Exchange of roll-outs with other entries.
//!
//! While a roll-out is not settled, an entry exchanges with another one, drawn at
//! random, several times within the time in which entries are to learn of each other's
//! knowledge. A new order, a verdict, a recorded state and several failures of the new
//! version are told to all entries at once, also while the store is away. Without
//! orders no calls are made.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::rollout::RolloutNews;
use futures_util::{StreamExt, stream};
use jsonrpsee::{core::ClientError, http_client::HttpClientBuilder};
use rand::{Rng, seq::IteratorRandom};
use telemetry::supervise;
use tokio::time::{Instant, sleep, timeout};
use wire::{entry_peer::EntryPeerClient, rollout::RolloutMessage};

use crate::{evidence_relay::peers, front_state::FrontState};

/// Time limit of a call to another entry.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Calls to other entries at a time.
const CONCURRENT_CALLS: usize = 16;
/// Pause after all entries were told. What follows meanwhile is told together.
const TELL_PAUSE: Duration = Duration::from_millis(150);
/// Exchanges with entries drawn at random within the contact time. News reach 24
/// entries in about five exchanges.
const EXCHANGES_PER_CONTACT: u32 = 8;
/// Exchanges within the time in which a bad version is to be given up.
const EXCHANGES_PER_ROLLBACK: u32 = 10;

/// Starts the exchange of roll-outs.
pub fn relay_rollouts(state: &Arc<FrontState>) {
    let told = Arc::clone(state);
    tokio::spawn(async move {
        supervise("rollouts", || tell_urgent_news(Arc::clone(&told))).await;
    });
    let drawn = Arc::clone(state);
    tokio::spawn(async move {
        supervise("rollout_exchange", || {
            exchange_at_random(Arc::clone(&drawn))
        })
        .await;
    });
}

async fn tell_urgent_news(state: Arc<FrontState>) {
    loop {
        state.rollouts.urgent_news.notified().await;
        let own = state.rollouts.own_news().await;
        if !own.is_empty() {
            stream::iter(peers(&state))
                .for_each_concurrent(CONCURRENT_CALLS, |peer| exchange(&state, peer, &own))
                .await;
        }
        sleep(TELL_PAUSE).await;
    }
}

async fn exchange_at_random(state: Arc<FrontState>) {
    loop {
        let settings = state.settings.load_full();
        let mut period = settings.contact_limit / EXCHANGES_PER_CONTACT;
        if let Some(bounds) = settings.exposure {
            period = period.min(bounds.rollback / EXCHANGES_PER_ROLLBACK);
        }
        let jitter = rand::rng().random_range(0.7..1.0);
        sleep(period.mul_f64(jitter)).await;
        if !has_open_order(&state) {
            continue;
        }
        let own = state.rollouts.own_news().await;
        let peer = peers(&state).into_iter().choose(&mut rand::rng());
        if let Some(peer) = peer {
            exchange(&state, peer, &own).await;
        }
    }
}

fn has_open_order(state: &FrontState) -> bool {
    let live = state.rollouts.live();
    live.values().any(|live| !live.filter.phase.is_settled())
}

async fn exchange(state: &FrontState, peer: SocketAddr, own: &[RolloutNews]) {
    let outcome = match timeout(CALL_TIMEOUT, call(peer, own)).await {
        Ok(Ok(reply)) => {
            state.rollouts.exchange(decode_news(reply)).await;
            "ok"
        }
        Ok(Err(error)) => {
            log::debug!(peer:% = peer, error:%; "entry did not take roll-outs");
            "failed"
        }
        Err(_) => "silent",
    };
    let calls = &state.metrics.rollout_calls;
    calls.with_label_values(&[outcome]).inc();
}

async fn call(peer: SocketAddr, own: &[RolloutNews]) -> Result<Vec<RolloutMessage>, ClientError> {
    let client = HttpClientBuilder::default().build(format!("http://{peer}"))?;
    EntryPeerClient::rollouts(&client, encode_news(own)).await
}

/// Encodes news as of now.
pub(crate) fn encode_news(news: &[RolloutNews]) -> Vec<RolloutMessage> {
    let now = Instant::now();
    let messages = news.iter().map(|news| RolloutMessage::encode(news, now));
    messages.collect()
}

/// Decodes what can be used of the news of another entry.
pub(crate) fn decode_news(messages: Vec<RolloutMessage>) -> Vec<RolloutNews> {
    let now = Instant::now();
    let decoded = messages.into_iter().filter_map(|message| {
        let decoded = message.decode(now);
        if let Err(error) = &decoded {
            log::warn!(error:%; "news of a roll-out cannot be used");
        }
        decoded.ok()
    });
    decoded.collect()
}
