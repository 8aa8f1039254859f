//! What an entry tells other entries of the list of servers.
//!
//! A question waits until there are news after the version that is known, so
//! that followers hear them at once. It ends without any as soon as the store
//! is lost: whoever asked then asks the store.

use std::sync::Arc;

use domain::list_relay::ListCursor;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerHandle},
};
use miette::{Context, IntoDiagnostic};
use tokio::time::{Instant, timeout};
use wire::entry_peer::{ChangeMessage, ChangesReply, EntryPeerServer};

use crate::front_state::FrontState;

/// Answers other entries.
struct PeerFront {
    state: Arc<FrontState>,
}

/// Answer other entries until the handle is dropped; none if the settings name
/// no address for it.
pub async fn serve_peers(state: &Arc<FrontState>) -> miette::Result<Option<ServerHandle>> {
    let Some(address) = state.settings.load().peer else {
        return Ok(None);
    };
    let server = Server::builder()
        .build(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    let front = PeerFront {
        state: Arc::clone(state),
    };
    Ok(Some(server.start(front.into_rpc())))
}

#[async_trait]
impl EntryPeerServer for PeerFront {
    async fn changes(&self, since: u64, read: u64) -> RpcResult<ChangesReply> {
        let patience = self.state.relay_rule().poll_period * 2;
        let found = timeout(patience, self.next_news(since)).await;
        let news = found.ok().flatten();
        Ok(news.map_or(ChangesReply::Nothing, |news| self.reply(read, news)))
    }
}

impl PeerFront {
    /// News after a version, or else the store's next word that there are none;
    /// none if the store is lost.
    async fn next_news(&self, since: u64) -> Option<ListCursor> {
        let mut news = self.state.list_cursor.subscribe();
        let mut is_next = false;
        loop {
            let current = *news.borrow_and_update();
            let current = current?;
            if current.newest_row_version > since
                || (is_next && current.newest_row_version == since)
            {
                return Some(current);
            }
            // The sender lives as long as the state.
            news.changed().await.ok()?;
            is_next = true;
        }
    }

    fn reply(&self, read: u64, news: ListCursor) -> ChangesReply {
        let log = self.state.change_log.load();
        let Some(changes) = log.changes_since(read) else {
            return ChangesReply::HistoryGone;
        };
        let age = Instant::now().saturating_duration_since(news.observed_at);
        ChangesReply::Changes {
            version: news.newest_row_version,
            read: news.read_version,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            changes: changes.into_iter().map(ChangeMessage::from).collect(),
        }
    }
}
