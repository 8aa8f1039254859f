//! Updates of the server list from another entry.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use domain::{
    list_relay::{LeavingServer, ListCursor, RelayRule},
    reachability::is_reachable,
    server_registry::RegistryChange,
};
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use tokio::time::{Instant, timeout};
use wire::entry_peer::{ChangeFault, ChangesReply, EntryPeerClient};

use crate::front_state::{ENTRY_LIFETIME, FrontState};

/// Why an entry is not followed until its backoff ends.
#[derive(Debug, Display)]
enum FollowError {
    /// It did not reply in time.
    #[display("silent")]
    Timeout,
    /// It has no update: the store is unreachable for it, or none arrived in time.
    #[display("nothing")]
    NoUpdate,
    /// Its change log does not reach back far enough.
    #[display("history_gone")]
    HistoryGone,
    /// Its server list is out of date.
    #[display("old")]
    Outdated,
    /// Its reply contains an invalid change.
    #[display("{_0}")]
    InvalidChange(ChangeFault),
    /// The call failed.
    #[display("{_0}")]
    Call(ClientError),
}

/// Update of the server list from another entry.
#[derive(Debug)]
pub(crate) struct ListUpdate {
    /// Position after the update.
    pub(crate) cursor: ListCursor,
    /// Changes up to it.
    pub(crate) changes: Vec<RegistryChange>,
    /// Servers that announced that they are leaving.
    pub(crate) leaving: Vec<LeavingServer>,
}

/// Requests updates from the entry that this one follows.
#[derive(Debug, Default)]
pub(crate) struct ListFollower {
    client: Option<(SocketAddr, Arc<HttpClient>)>,
    backoffs: HashMap<SocketAddr, Instant>,
}

impl ListFollower {
    /// Requests the changes after `known` from the first entry that may be followed.
    /// Returns `None` if there is no such entry or it sent no usable update in time.
    pub(crate) async fn request_update(
        &mut self,
        state: &FrontState,
        known: ListCursor,
    ) -> Option<ListUpdate> {
        let now = Instant::now();
        let leader = self.leader(state, now)?;
        let rule = state.relay_rule();
        let call = self.call_leader(leader, known);
        let update = match timeout(rule.reply_timeout(known, now), call).await {
            Ok(Ok(reply)) => decode_reply(reply, rule),
            Ok(Err(error)) => Err(FollowError::Call(error)),
            Err(_) => Err(FollowError::Timeout),
        };
        update
            .inspect_err(|error| {
                log::info!(peer:% = leader, reason:% = error; "entry not followed");
                let now = Instant::now();
                self.backoffs.retain(|_, until| *until > now);
                self.backoffs.insert(leader, rule.backoff_until(now));
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
            .filter(|leader| is_reachable(*leader, &own))
            .find(|leader| self.backoffs.get(leader).is_none_or(|until| *until <= now))
    }

    async fn call_leader(
        &mut self,
        leader: SocketAddr,
        known: ListCursor,
    ) -> Result<ChangesReply, ClientError> {
        let client = match self.client.take_if(|(address, _)| *address == leader) {
            Some((_, client)) => client,
            None => Arc::new(HttpClientBuilder::default().build(format!("http://{leader}"))?),
        };
        self.client = Some((leader, Arc::clone(&client)));
        client
            .changes(known.newest_row_version, known.read_version)
            .await
    }
}

fn decode_reply(reply: ChangesReply, rule: RelayRule) -> Result<ListUpdate, FollowError> {
    let ChangesReply::Changes {
        version,
        read,
        age_ms,
        changes,
        leaving,
    } = reply
    else {
        return Err(match reply {
            ChangesReply::HistoryGone => FollowError::HistoryGone,
            _ => FollowError::NoUpdate,
        });
    };
    let now = Instant::now();
    let age = Duration::from_millis(age_ms);
    let cursor = ListCursor {
        newest_row_version: version,
        read_version: read,
        observed_at: now.checked_sub(age).ok_or(FollowError::Outdated)?,
    };
    if !rule.is_fresh(cursor, now) {
        return Err(FollowError::Outdated);
    }
    let changes = changes.into_iter().map(RegistryChange::try_from);
    let changes: Result<Vec<_>, _> = changes.collect();
    Ok(ListUpdate {
        cursor,
        changes: changes.map_err(FollowError::InvalidChange)?,
        leaving: leaving.into_iter().map(LeavingServer::from).collect(),
    })
}
