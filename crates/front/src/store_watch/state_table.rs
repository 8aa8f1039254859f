//! Watch of the operator's desired state.

use std::sync::Arc;

use platform::{
    desired_state_row::decode_desired_state,
    store_call::{DESIRED_STATE_KEY, OPERATOR_TABLE, RowVersion, StoreRow},
};
use tokio::time::Instant;

use super::{TableUpdate, WatchedTable, read_store};
use crate::{
    front_state::FrontState,
    store_client::{StoreClient, StoreError},
};

/// The table of the desired state, which each entry reads from the store directly.
#[derive(Default)]
pub(super) struct StateTable {
    client: StoreClient,
}

impl WatchedTable for StateTable {
    const NAME: &'static str = OPERATOR_TABLE;
    type Changes = Vec<StoreRow>;

    /// The store holds the long poll for at most the time within which a new version
    /// must be in force, because a lost response is detected only after the hold and
    /// the response timeout have passed.
    async fn poll(
        &mut self,
        state: &FrontState,
        since: Option<RowVersion>,
    ) -> Result<TableUpdate<Self::Changes>, StoreError> {
        let hold = state.settings.load().apply_limit;
        let page = read_store(&mut self.client, state, Self::NAME, since, hold).await?;
        Ok(TableUpdate {
            version: page.version,
            changes: page.rows,
        })
    }

    fn apply_listing(&self, state: &FrontState, update: TableUpdate<Self::Changes>) {
        self.apply_changes(state, update);
    }

    fn apply_changes(&self, state: &FrontState, update: TableUpdate<Self::Changes>) {
        for row in update.changes {
            if row.key == DESIRED_STATE_KEY {
                apply_state(state, &row);
            }
        }
    }

    fn record_confirmation(&self, state: &FrontState, queried_at: Instant) {
        state.record_confirmation(queried_at);
    }

    fn on_store_lost(&self, _state: &FrontState) {}

    fn on_store_recovered(&self, _state: &FrontState) {}

    async fn wait_next_poll(&mut self, _state: &FrontState, _queried_at: Instant) {}
}

fn apply_state(state: &FrontState, row: &StoreRow) {
    let Some(value) = &row.value else {
        log::warn!("desired state was removed from the store; the last version stays in force");
        return;
    };
    let desired = match decode_desired_state(value, row.version) {
        Ok(desired) => desired,
        Err(error) => {
            log::error!(error:%; "desired state cannot be decoded");
            return;
        }
    };
    if !desired.supersedes(state.desired.load().as_deref()) {
        return;
    }
    let version = desired.version();
    log::info!(
        state_version = version.number,
        row_version = version.row,
        routes = desired.route_count();
        "desired state in force"
    );
    let number = i64::try_from(version.number).unwrap_or(i64::MAX);
    state.metrics.state_version.set(number);
    state.desired.store(Some(Arc::new(desired)));
}
