//! Watch of the operator's desired state.

use std::{sync::Arc, time::Duration};

use domain::{
    desired_state::DesiredState, rollout::OrderOrigin, state_relay::StateCursor,
    store_position::StorePosition,
};
use platform::{
    desired_state_row::decode_desired_state,
    rollout_row::{STATE_ERROR_KEY, order_service},
    store_call::{DESIRED_STATE_KEY, OPERATOR_TABLE, STATUS_TABLE, StoreRow},
};
use tokio::time::Instant;

use super::{TableUpdate, WatchedTable, count_odd_rows, read_store};
use crate::{
    front_state::{FrontState, StateRow},
    peer_client::{PeerChoice, PeerClient},
    rollout_board::OrderRow,
    rollout_status::report_row_error,
    state_follower::{StateUpdate, request_newest, request_state},
    store_client::{StoreClient, StoreError},
};

/// The table of the desired state, read from the entry that this one follows or from
/// the store.
#[derive(Default)]
pub(super) struct StateTable {
    client: StoreClient,
    peers: PeerClient,
    /// Time of the last confirmation of the version in force.
    confirmed_at: Option<Instant>,
    /// Whether the store holds an older version than the one in force, since it came back
    /// from an older copy. It then confirms nothing.
    is_behind: bool,
}

/// One update of the desired state.
pub(super) enum StateChanges {
    /// Rows of the store, and the states of the orders that a listing found.
    Rows(Vec<StoreRow>, Vec<StoreRow>),
    /// The newer version of another entry, if it has one, and its orders.
    Relayed(Option<(Box<DesiredState>, String)>, Vec<StoreRow>),
}

impl WatchedTable for StateTable {
    const NAME: &'static str = OPERATOR_TABLE;
    type Changes = StateChanges;

    /// The store holds the long poll for at most the time within which a new version
    /// must be in force, because a lost response is detected only after the hold and
    /// the response timeout have passed. It holds it for a shorter time if other
    /// entries wait for the confirmation.
    async fn poll(
        &mut self,
        state: &FrontState,
        since: Option<StorePosition>,
    ) -> Result<TableUpdate<Self::Changes>, StoreError> {
        let known = self.known(state).filter(|_| since.is_some());
        if let Some(known) = known {
            let choice = PeerChoice::Leader;
            if let Some(update) = request_state(&mut self.peers, state, choice, known).await {
                return Ok(self.adopt_update(state, since, update, "entry"));
            }
        }
        let queried_at = Instant::now();
        let hold = if state.is_followed(queried_at) {
            state.state_rule().poll_period
        } else {
            state.settings.load().apply_limit
        };
        let read = read_store(&mut self.client, state, Self::NAME, since, hold).await;
        match (read, known) {
            (Ok(page), _) => {
                // The store held the call until it answered that nothing had changed.
                let held = if page.rows.is_empty() && since.is_some() {
                    hold.min(queried_at.elapsed())
                } else {
                    Duration::ZERO
                };
                let observed_at = queried_at + held;
                let statuses = self.read_statuses(state, since, &page.rows).await?;
                if since.is_none() {
                    take_newest(state, &page.rows).await;
                }
                Ok(TableUpdate {
                    position: page.position,
                    is_complete: since.is_none(),
                    observed_at,
                    changes: StateChanges::Rows(page.rows, statuses),
                })
            }
            (Err(error), Some(known)) if !error.needs_listing() => {
                let choice = PeerChoice::Neighbour;
                let update = request_state(&mut self.peers, state, choice, known).await;
                let update = update.ok_or(error)?;
                Ok(self.adopt_update(state, since, update, "neighbour"))
            }
            (Err(error), _) => Err(error),
        }
    }

    fn apply_listing(&mut self, state: &Arc<FrontState>, update: TableUpdate<Self::Changes>) {
        // A listing without a desired state is behind any that is in force.
        self.is_behind = state.desired.load().is_some();
        self.apply_update(state, update.changes, OrderOrigin::Found);
    }

    fn apply_changes(&mut self, state: &Arc<FrontState>, update: TableUpdate<Self::Changes>) {
        self.apply_update(state, update.changes, OrderOrigin::Announced);
    }

    fn record_confirmation(&mut self, state: &FrontState, observed_at: Instant) {
        if self.is_behind {
            state.state_cursor.send_replace(None);
            return;
        }
        self.confirmed_at = Some(observed_at);
        state.record_confirmation(observed_at);
        // Published after the version is in force, so that followers get its row.
        state.state_cursor.send_replace(self.known(state));
    }

    fn on_store_lost(&self, state: &FrontState) {
        state.state_cursor.send_replace(None);
    }

    fn on_store_recovered(&self, _state: &FrontState) {}

    async fn wait_next_poll(&mut self, _state: &FrontState, _queried_at: Instant) {}
}

impl StateTable {
    /// Reads the states of the orders that a listing found, if orders are acted on. The
    /// entry would otherwise not know which of the versions may get requests, so the
    /// listing is repeated until the states can be read.
    async fn read_statuses(
        &mut self,
        state: &FrontState,
        since: Option<StorePosition>,
        rows: &[StoreRow],
    ) -> Result<Vec<StoreRow>, StoreError> {
        let has_orders = rows.iter().any(|row| order_service(&row.key).is_some());
        let is_acted_on = state.settings.load().exposure.is_some();
        if since.is_some() || !has_orders || !is_acted_on {
            return Ok(Vec::new());
        }
        let hold = Duration::ZERO;
        let page = read_store(&mut self.client, state, STATUS_TABLE, None, hold).await?;
        Ok(page.rows)
    }

    /// What this entry knows, once a version is in force.
    fn known(&self, state: &FrontState) -> Option<StateCursor> {
        let desired = state.desired.load();
        Some(StateCursor {
            version: desired.as_ref()?.version(),
            confirmed_at: self.confirmed_at?,
        })
    }

    /// Continues from an update of another entry.
    fn adopt_update(
        &mut self,
        state: &FrontState,
        since: Option<StorePosition>,
        update: StateUpdate,
        source: &str,
    ) -> TableUpdate<StateChanges> {
        let cursor = update.cursor;
        self.is_behind = false;
        state
            .metrics
            .state_updates
            .with_label_values(&[source])
            .inc();
        state.record_era(cursor.version.row.era);
        TableUpdate {
            position: since.max(Some(cursor.version.row)).unwrap_or_default(),
            is_complete: false,
            observed_at: cursor.confirmed_at,
            changes: StateChanges::Relayed(update.newer, update.orders),
        }
    }

    fn apply_update(
        &mut self,
        state: &Arc<FrontState>,
        changes: StateChanges,
        origin: OrderOrigin,
    ) {
        let (rows, statuses, is_relayed) = match changes {
            StateChanges::Rows(rows, statuses) => (rows, statuses, false),
            StateChanges::Relayed(newer, orders) => {
                if let Some((desired, value)) = newer {
                    apply_state(state, *desired, value);
                }
                (orders, Vec::new(), true)
            }
        };
        for row in rows {
            if row.key == DESIRED_STATE_KEY {
                self.apply_row(state, row);
            } else if order_service(&row.key).is_some() {
                let status = statuses.iter().find(|status| status.key == row.key);
                let status = status.cloned();
                state.rollouts.offer_row(&OrderRow {
                    row,
                    origin,
                    status,
                    is_relayed,
                });
            }
        }
    }

    fn apply_row(&mut self, state: &Arc<FrontState>, row: StoreRow) {
        let Some(value) = row.value else {
            log::warn!("desired state was removed from the store; the last version stays in force");
            return;
        };
        let decoded = decode_desired_state(&value, row.version);
        match (decoded, String::from_utf8(value)) {
            (Ok(desired), Ok(value)) => {
                let current = state.desired.load();
                let shown = desired.version();
                self.is_behind = current
                    .as_ref()
                    .is_some_and(|current| !shown.confirms(current.version()));
                apply_state(state, desired, value);
            }
            (Err(error), _) => {
                self.is_behind = false;
                count_odd_rows(state, OPERATOR_TABLE, 1);
                log::error!(error:%; "desired state cannot be decoded");
                report_error(state, row.version, error.to_string());
            }
            (Ok(_), Err(error)) => {
                self.is_behind = false;
                log::error!(error:%; "desired state is not text");
                report_error(state, row.version, error.to_string());
            }
        }
    }
}

/// Puts the newest desired state of the other entries in force before an entry that starts
/// acts on its first listing: a store that came back from an older copy may show an older
/// one than they have.
async fn take_newest(state: &FrontState, rows: &[StoreRow]) {
    if state.desired.load().is_some() {
        return;
    }
    let row = rows.iter().find(|row| row.key == DESIRED_STATE_KEY);
    let shown = row.and_then(|row| decode_desired_state(row.value.as_deref()?, row.version).ok());
    let number = shown.map_or(0, |shown| shown.version().number);
    let Some((newest, value)) = request_newest(state, number).await else {
        return;
    };
    log::warn!(
        state_version = newest.version().number,
        store_version = number;
        "another entry has a newer desired state than the store"
    );
    let updates = state.metrics.state_updates.with_label_values(&["start"]);
    updates.inc();
    apply_state(state, *newest, value);
}

/// Reports an unusable desired state, if the settings have exposure bounds: without them
/// the entry makes no calls for rows under `status/`.
fn report_error(state: &Arc<FrontState>, version: StorePosition, error: String) {
    if state.settings.load().exposure.is_none() {
        return;
    }
    let key = STATE_ERROR_KEY.to_owned();
    report_row_error(state, DESIRED_STATE_KEY, version, key, error);
}

fn apply_state(state: &FrontState, desired: DesiredState, value: String) {
    let version = desired.version();
    let current = state.desired.load();
    if !desired.supersedes(current.as_deref()) {
        if let Some(current) = current
            .as_ref()
            .filter(|current| current.version() != version)
        {
            state.metrics.older_states.inc();
            log::warn!(
                state_version = version.number,
                row_version = version.row.version,
                in_force_version = current.version().number,
                in_force_row = current.version().row.version;
                "desired state is older than the one in force"
            );
        }
        return;
    }
    log::info!(
        state_version = version.number,
        row_version = version.row.version,
        routes = desired.route_count();
        "desired state in force"
    );
    let number = i64::try_from(version.number).unwrap_or(i64::MAX);
    state.metrics.state_version.set(number);
    state.desired.store(Some(Arc::new(desired)));
    state
        .desired_row
        .store(Some(Arc::new(StateRow { version, value })));
}
