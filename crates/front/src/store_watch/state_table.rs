//! The operator's desired state.

use std::sync::Arc;

use platform::{
    desired_state_row::decode_state,
    store_call::{DESIRED_STATE_KEY, OPERATOR_TABLE, RowVersion, StoreRow},
};
use tokio::time::Instant;

use super::{TableNews, WatchedTable, ask_store};
use crate::{
    front_state::FrontState,
    store_client::{StoreClient, StoreError},
};

/// The table of the desired state, read from the store by each entry itself.
#[derive(Default)]
pub(super) struct StateTable {
    client: StoreClient,
}

impl WatchedTable for StateTable {
    const NAME: &'static str = OPERATOR_TABLE;
    type News = Vec<StoreRow>;

    /// The store holds the question for the time in which a version is to be in
    /// force: an answer that is lost is noticed no later.
    async fn ask(
        &mut self,
        state: &FrontState,
        since: Option<RowVersion>,
    ) -> Result<TableNews<Self::News>, StoreError> {
        let wait = state.settings.load().apply_limit;
        let page = ask_store(&mut self.client, state, Self::NAME, since, wait).await?;
        Ok(TableNews {
            version: page.version,
            news: page.rows,
        })
    }

    fn listed(&self, state: &FrontState, news: TableNews<Self::News>) {
        self.changed(state, news);
    }

    fn changed(&self, state: &FrontState, news: TableNews<Self::News>) {
        for row in news.news {
            if row.key == DESIRED_STATE_KEY {
                take_state(state, &row);
            }
        }
    }

    fn confirmed(&self, state: &FrontState, asked: Instant) {
        state.record_confirmation(asked);
    }

    fn lost(&self, _state: &FrontState) {}

    fn returned(&self, _state: &FrontState) {}

    async fn pause(&mut self, _state: &FrontState, _asked: Instant) {}
}

fn take_state(state: &FrontState, row: &StoreRow) {
    let Some(value) = &row.value else {
        log::warn!("desired state removed, the last one stays in force");
        return;
    };
    let desired = match decode_state(value, row.version) {
        Ok(desired) => desired,
        Err(error) => {
            log::error!(error:%; "desired state cannot be read");
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
