//! Desired states and their confirmations from another entry.

use std::time::Duration;

use domain::{
    desired_state::{DesiredState, StateVersion},
    list_relay::{RelayAge, RelayRule},
    state_relay::{StateCursor, StateNews},
    store_position::{StoreEra, StorePosition},
};
use platform::{desired_state_row::decode_desired_state, store_call::StoreRow};
use tokio::time::Instant;
use wire::entry_peer::{EntryPeerClient, NewestReply, OrderRowMessage, StateReply};

use crate::{
    front_state::FrontState,
    peer_client::{PeerChoice, PeerClient, PeerError},
};

/// Time for which an entry that starts waits for the list of the others.
const ROSTER_WAIT: Duration = Duration::from_secs(1);
/// Time for the reply of one entry to one that starts; the call is answered at once.
const START_REPLY_TIME: Duration = Duration::from_millis(200);
/// Entries that one that starts asks, one after the other.
const START_PEERS: usize = 2;

/// Desired state as another entry knows it.
#[derive(Debug)]
pub(crate) struct StateUpdate {
    /// Position after the update.
    pub(crate) cursor: StateCursor,
    /// The newer version, and the value of its row.
    pub(crate) newer: Option<(Box<DesiredState>, String)>,
    /// Rows of orders to roll out.
    pub(crate) orders: Vec<StoreRow>,
}

/// Requests the next version after `known`, or its next confirmation, from another
/// entry. Returns `None` if there is no such entry or it sent nothing usable in time.
pub(crate) async fn request_state(
    peers: &mut PeerClient,
    state: &FrontState,
    choice: PeerChoice,
    known: StateCursor,
) -> Option<StateUpdate> {
    let rule = state.state_rule();
    let deadline = match choice {
        PeerChoice::Leader => rule.reply_deadline(known.confirmed_at),
        PeerChoice::Neighbour => rule.reply_deadline(Instant::now()),
    };
    let StateVersion { number, row } = known.version;
    let era = Some(row.era.into());
    let call =
        async |client: &_| EntryPeerClient::state(client, row.version, Some(number), era).await;
    peers
        .request(state, choice, rule, deadline, call, |reply, called_at| {
            decode_reply(reply, known, rule, called_at)
        })
        .await
}

/// Requests the desired state of another entry if its number is above `number`, for an
/// entry that starts. Returns `None` if no other entry has one, or none replied in time.
pub(crate) async fn request_newest(
    state: &FrontState,
    number: u64,
) -> Option<(Box<DesiredState>, String)> {
    state.wait_roster_listed(ROSTER_WAIT).await;
    // A backoff after a missed reply does not concern what is asked later.
    let mut peers = PeerClient::default();
    let (choice, rule) = (PeerChoice::Neighbour, state.state_rule());
    for _ in 0..START_PEERS {
        let deadline = Instant::now() + START_REPLY_TIME;
        let call = async |client: &_| EntryPeerClient::newest(client, number).await;
        let replied = peers.request(state, choice, rule, deadline, call, |reply, _| {
            reply.map(decode_newest).transpose()
        });
        if let Some(newest) = replied.await {
            return newest;
        }
    }
    None
}

fn decode_newest(reply: NewestReply) -> Result<(Box<DesiredState>, String), PeerError> {
    let row = StorePosition {
        era: reply.era.into(),
        version: reply.row,
    };
    let desired = decode_desired_state(reply.value.as_bytes(), row);
    let desired = desired.map_err(PeerError::InvalidState)?;
    Ok((Box::new(desired), reply.value))
}

fn decode_reply(
    reply: StateReply,
    known: StateCursor,
    rule: RelayRule,
    called_at: Instant,
) -> Result<StateUpdate, PeerError> {
    let StateReply::State {
        row,
        era,
        age_ms,
        held_ms,
        value,
        orders,
    } = reply
    else {
        return Err(PeerError::NoUpdate);
    };
    let now = Instant::now();
    let age = RelayAge {
        age: Duration::from_millis(age_ms),
        held: Duration::from_millis(held_ms),
    };
    let confirmed_at = age.confirmed_at(called_at, now);
    let confirmed_at = confirmed_at.ok_or(PeerError::Outdated)?;
    let row = StorePosition {
        era: era.map_or(known.version.row.era, StoreEra::from),
        version: row,
    };
    let newer = value
        .map(|value| {
            let desired = decode_desired_state(value.as_bytes(), row)?;
            Ok((Box::new(desired), value))
        })
        .transpose()
        .map_err(PeerError::InvalidState)?;
    // A reply without a value speaks of the known version or of an older one.
    let version = newer.as_ref().map_or(
        StateVersion {
            row,
            ..known.version
        },
        |(desired, _)| desired.version(),
    );
    let cursor = StateCursor {
        version,
        confirmed_at,
    };
    match known.judge(cursor, rule, now) {
        StateNews::Behind | StateNews::Outdated => Err(PeerError::Outdated),
        StateNews::Newer if newer.is_none() => Err(PeerError::NoUpdate),
        StateNews::Confirmed | StateNews::Newer => Ok(StateUpdate {
            cursor,
            newer,
            orders: orders.into_iter().map(order_row).collect(),
        }),
    }
}

fn order_row(message: OrderRowMessage) -> StoreRow {
    StoreRow {
        key: message.key,
        version: StorePosition {
            era: message.era.into(),
            version: message.row,
        },
        value: Some(message.value.into_bytes()),
    }
}
