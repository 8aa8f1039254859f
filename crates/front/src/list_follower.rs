//! Updates of the server list from another entry.

use std::time::Duration;

use domain::{
    list_relay::{LeavingServer, ListCursor, RelayAge, RelayRule},
    server_registry::RegistryChange,
    store_position::{StoreEra, StorePosition},
};
use tokio::time::Instant;
use wire::entry_peer::{ChangesReply, EntryPeerClient};

use crate::{
    front_state::FrontState,
    peer_client::{PeerChoice, PeerClient, PeerError},
};

/// Update of the server list from another entry.
#[derive(Debug)]
pub(crate) struct ListUpdate {
    /// Position after the update.
    pub(crate) cursor: ListCursor,
    /// Whether the changes are the whole list.
    pub(crate) is_complete: bool,
    /// Changes up to it.
    pub(crate) changes: Vec<RegistryChange>,
    /// Servers that announced that they are leaving.
    pub(crate) leaving: Vec<LeavingServer>,
}

/// Requests the changes after `known` from another entry. Returns `None` if there is
/// no such entry or it sent no usable update in time.
pub(crate) async fn request_changes(
    peers: &mut PeerClient,
    state: &FrontState,
    choice: PeerChoice,
    known: ListCursor,
) -> Option<ListUpdate> {
    let rule = state.list_rule();
    let deadline = match choice {
        PeerChoice::Leader => rule.reply_deadline(known.observed_at),
        PeerChoice::Neighbour => rule.reply_deadline(Instant::now()),
    };
    let (newest, read) = (known.newest_row.version, known.read.version);
    let era = Some(known.read.era.into());
    let call = async |client: &_| EntryPeerClient::changes(client, newest, read, era).await;
    peers
        .request(state, choice, rule, deadline, call, |reply, called_at| {
            decode_reply(reply, known, rule, called_at)
        })
        .await
}

fn decode_reply(
    reply: ChangesReply,
    known: ListCursor,
    rule: RelayRule,
    called_at: Instant,
) -> Result<ListUpdate, PeerError> {
    let ChangesReply::Changes {
        version,
        read,
        era,
        is_complete,
        age_ms,
        held_ms,
        changes,
        leaving,
    } = reply
    else {
        return Err(match reply {
            ChangesReply::HistoryGone => PeerError::HistoryGone,
            _ => PeerError::NoUpdate,
        });
    };
    let now = Instant::now();
    let age = RelayAge {
        age: Duration::from_millis(age_ms),
        held: Duration::from_millis(held_ms),
    };
    let confirmed_at = age.confirmed_at(called_at, now);
    let era = era.map_or(known.read.era, StoreEra::from);
    let position = |version| StorePosition { era, version };
    let cursor = ListCursor {
        newest_row: position(version),
        read: position(read),
        observed_at: confirmed_at.ok_or(PeerError::Outdated)?,
    };
    if era < known.read.era || !rule.is_fresh(cursor.observed_at, now) {
        return Err(PeerError::Outdated);
    }
    let changes = changes.into_iter().map(RegistryChange::try_from);
    let changes: Result<Vec<_>, _> = changes.collect();
    Ok(ListUpdate {
        cursor,
        is_complete,
        changes: changes.map_err(PeerError::InvalidChange)?,
        leaving: leaving.into_iter().map(LeavingServer::from).collect(),
    })
}
