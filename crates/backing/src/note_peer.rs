//! Release notes from other processes of the system.
//!
//! What a peer passes on is a cache of what the store accepted, so it is taken
//! in only where it leads to a higher version.

use std::{net::SocketAddr, time::Duration};

use domain::{
    ConfigVersion, StopVersion,
    serving_config::{AcceptedChangeset, ConfigHistory},
};
use exchange::{ExchangeCall, ExchangeClient, ExchangeError};
use wire::{
    agent_control::NewsMessage,
    note::{NOTE_PATH, UpdateMessage},
};

use crate::http_platform::STATE_BYTES_MAX;

/// Time within which a peer answers; a silent one is passed over.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of peers.
#[derive(Clone)]
pub struct NotePeer {
    exchange: ExchangeClient,
}

impl Default for NotePeer {
    fn default() -> Self {
        Self {
            exchange: ExchangeClient::pooled(),
        }
    }
}

impl NotePeer {
    /// Ask a peer for the notes that follow on `version`.
    pub async fn pull(
        &self,
        peer: SocketAddr,
        version: ConfigVersion,
    ) -> Result<PeerUpdate, ExchangeError> {
        self.ask(peer, &format!("{NOTE_PATH}?after={version}"))
            .await
    }

    /// Ask an entry for notes, and for what it knows of the stopping of
    /// `server` beyond the stops at version `orders`.
    pub async fn pull_for(
        &self,
        entry: SocketAddr,
        version: ConfigVersion,
        server: &str,
        orders: StopVersion,
    ) -> Result<PeerUpdate, ExchangeError> {
        let path = format!("{NOTE_PATH}?after={version}&server={server}&orders={orders}");
        self.ask(entry, &path).await
    }

    async fn ask(&self, peer: SocketAddr, path: &str) -> Result<PeerUpdate, ExchangeError> {
        let call = ExchangeCall::get(peer, path)
            .timeout(PEER_TIMEOUT)
            .answer_bytes_max(STATE_BYTES_MAX);
        let message: UpdateMessage = self.exchange.send(call).await?.json()?;
        Ok(PeerUpdate { message })
    }
}

/// What a peer passed on.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    message: UpdateMessage,
}

impl PeerUpdate {
    /// What the peer knows of the server that was asked for.
    pub const fn news(&self) -> Option<NewsMessage> {
        self.message.news
    }

    /// The ledger with the update; none if it is not newer.
    pub fn follow(self, ledger: &ConfigHistory) -> Option<ConfigHistory> {
        if let Some(state) = self.message.state {
            return ledger.with_state(state.into());
        }
        let notes = self.message.notes.into_iter();
        let notes: Vec<AcceptedChangeset> = notes.map(AcceptedChangeset::from).collect();
        ledger.with_changesets(&notes)
    }
}
