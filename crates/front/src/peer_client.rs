//! Calls to other entries for what they read from the store.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use derive_more::Display;
use domain::{list_relay::RelayRule, reachability::is_reachable};
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use rand::seq::IteratorRandom;
use tokio::time::{Instant, timeout_at};
use wire::entry_peer::ChangeFault;

use crate::front_state::{ENTRY_LIFETIME, FrontState};

/// Why an entry is not asked until its backoff ends.
#[derive(Debug, Display)]
pub(crate) enum PeerError {
    /// It did not reply in time.
    #[display("silent")]
    Timeout,
    /// It has no update: the store is unreachable for it, or none arrived in time.
    #[display("nothing")]
    NoUpdate,
    /// Its change log does not reach back far enough.
    #[display("history_gone")]
    HistoryGone,
    /// Its knowledge is out of date.
    #[display("old")]
    Outdated,
    /// Its reply contains an invalid change.
    #[display("{_0}")]
    InvalidChange(ChangeFault),
    /// Its reply contains a desired state that cannot be decoded.
    #[display("invalid state: {_0}")]
    InvalidState(serde_json::Error),
    /// The call failed.
    #[display("{_0}")]
    Call(ClientError),
}

/// Which entry is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChoice {
    /// The entry of the failure domain that this one follows.
    Leader,
    /// Any entry, because the store is unreachable for this one.
    Neighbour,
}

/// Client of other entries, with a backoff for each that sent nothing usable.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    client: Option<(SocketAddr, Arc<HttpClient>)>,
    backoffs: HashMap<SocketAddr, Instant>,
}

impl PeerClient {
    /// Calls an entry and decodes its reply, given the time of the call. Returns `None` if there is no entry to
    /// call or it sent nothing usable before `deadline`.
    pub(crate) async fn request<R, U>(
        &mut self,
        state: &FrontState,
        choice: PeerChoice,
        rule: RelayRule,
        deadline: Instant,
        call: impl AsyncFnOnce(&HttpClient) -> Result<R, ClientError>,
        decode: impl FnOnce(R, Instant) -> Result<U, PeerError>,
    ) -> Option<U> {
        let now = Instant::now();
        let peer = match choice {
            PeerChoice::Leader => self.leader(state, now)?,
            PeerChoice::Neighbour => self.neighbour(state, now)?,
        };
        let called = async {
            let client = self.connect(peer)?;
            call(&client).await
        };
        let called_at = Instant::now();
        let update = match timeout_at(deadline, called).await {
            Ok(Ok(reply)) => decode(reply, called_at),
            Ok(Err(error)) => Err(PeerError::Call(error)),
            Err(_) => Err(PeerError::Timeout),
        };
        update
            .inspect_err(|error| {
                log::info!(peer:% = peer, reason:% = error; "entry not followed");
                let now = Instant::now();
                self.backoffs.retain(|_, until| *until > now);
                self.backoffs.insert(peer, rule.backoff_until(now));
            })
            .ok()
    }

    /// Returns whether there is an entry to follow: a live one in the same failure
    /// domain whose name sorts before this one's, and which is not in backoff.
    pub(crate) fn has_leader(&self, state: &FrontState) -> bool {
        self.leader(state, Instant::now()).is_some()
    }

    fn leader(&self, state: &FrontState, now: Instant) -> Option<SocketAddr> {
        let settings = state.settings.load();
        // An entry that does not serve other entries follows none either.
        settings.peer?;
        let own = settings.own_addresses();
        let roster = state.roster.load();
        roster
            .leaders(&settings.domain, &settings.name, ENTRY_LIFETIME, now)
            .find(|leader| self.may_ask(*leader, &own, now))
    }

    /// Returns a random entry, of the same failure domain if possible.
    fn neighbour(&self, state: &FrontState, now: Instant) -> Option<SocketAddr> {
        let settings = state.settings.load();
        settings.peer?;
        let own = settings.own_addresses();
        let roster = state.roster.load();
        let mut rng = rand::rng();
        let mut choose = |is_near: bool| {
            roster
                .peers(ENTRY_LIFETIME, now)
                .filter(|record| (record.domain == settings.domain) == is_near)
                .filter_map(|record| record.peer_address)
                .filter(|peer| self.may_ask(*peer, &own, now))
                .choose(&mut rng)
        };
        choose(true).or_else(|| choose(false))
    }

    fn may_ask(&self, peer: SocketAddr, own: &[SocketAddr], now: Instant) -> bool {
        is_reachable(peer, own) && self.backoffs.get(&peer).is_none_or(|until| *until <= now)
    }

    fn connect(&mut self, peer: SocketAddr) -> Result<Arc<HttpClient>, ClientError> {
        let client = match self.client.take_if(|(address, _)| *address == peer) {
            Some((_, client)) => client,
            None => Arc::new(HttpClientBuilder::default().build(format!("http://{peer}"))?),
        };
        self.client = Some((peer, Arc::clone(&client)));
        Ok(client)
    }
}
