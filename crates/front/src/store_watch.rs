//! The two watches of the store: desired state and servers.
//!
//! Each lists its table once and then follows its feed. When the store is out
//! of reach both go on with what is known; when the history is gone they list
//! anew.

mod entry_announcer;
mod server_table;
mod state_table;

use std::{sync::Arc, time::Duration};

use platform::store_call::{RowPage, RowVersion};
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::{
    front_state::FrontState,
    store_client::{StoreClient, StoreError},
};

use entry_announcer::announce;
use server_table::ServerTable;
use state_table::StateTable;

/// Pause after the first failed call, and the longest one; each is spread.
const PAUSE_MIN: Duration = Duration::from_millis(60);
const PAUSE_MAX: Duration = Duration::from_millis(600);

/// Start both watches, and announce this entry.
pub fn watch_store(state: &Arc<FrontState>) {
    tokio::spawn(watch(Arc::clone(state), StateTable::default()));
    tokio::spawn(watch(Arc::clone(state), ServerTable::default()));
    tokio::spawn(announce(Arc::clone(state)));
}

/// What is known of a table, and news of it.
struct TableNews<N> {
    version: RowVersion,
    news: N,
}

/// One table and what its rows change.
trait WatchedTable: Send + Sync + 'static {
    const NAME: &'static str;
    type News: Send;

    /// Ask for a whole listing, or for what changed after a version.
    fn ask(
        &mut self,
        state: &FrontState,
        since: Option<RowVersion>,
    ) -> impl Future<Output = Result<TableNews<Self::News>, StoreError>> + Send;
    /// Take in a whole listing.
    fn listed(&self, state: &FrontState, news: TableNews<Self::News>);
    /// Take in changes.
    fn changed(&self, state: &FrontState, news: TableNews<Self::News>);
    /// The store answered a question asked at that moment.
    fn confirmed(&self, state: &FrontState, asked: Instant);
    /// The store does not answer.
    fn lost(&self, state: &FrontState);
    /// The store answers again.
    fn returned(&self, state: &FrontState);
    /// Wait until the next question may be asked.
    fn pause(&mut self, state: &FrontState, asked: Instant) -> impl Future<Output = ()> + Send;
}

async fn watch<T: WatchedTable>(state: Arc<FrontState>, mut table: T) {
    let mut since: Option<RowVersion> = None;
    let mut failures = 0_u32;
    loop {
        let asked = Instant::now();
        match table.ask(&state, since).await {
            Ok(news) => {
                if failures > 0 {
                    log::info!(table = T::NAME, failures = failures; "store answers again");
                    table.returned(&state);
                    failures = 0;
                }
                let first = since.replace(news.version).is_none();
                if first {
                    table.listed(&state, news);
                } else {
                    table.changed(&state, news);
                }
                table.confirmed(&state, asked);
                table.pause(&state, asked).await;
            }
            Err(StoreError::HistoryGone) => {
                log::info!(table = T::NAME; "history gone, listing anew");
                since = None;
            }
            Err(failure) => {
                if failures == 0 {
                    log::warn!(table = T::NAME, reason:% = failure; "store lost");
                    table.lost(&state);
                }
                failures += 1;
                sleep(pause(failures)).await;
            }
        }
    }
}

/// Ask the store for all rows of a table, or for those that changed.
async fn ask_store(
    client: &mut StoreClient,
    state: &FrontState,
    table: &'static str,
    since: Option<RowVersion>,
    wait: Duration,
) -> Result<RowPage, StoreError> {
    let store = state.settings.load().store;
    let answer = match since {
        None => client.list(store, table).await,
        Some(since) => client.feed(store, table, since, wait).await,
    };
    count(state, &answer);
    if let Ok(page) = &answer
        && page.unreadable > 0
    {
        log::warn!(table = table, rows = page.unreadable; "rows cannot be read");
    }
    answer
}

fn count(state: &FrontState, answer: &Result<RowPage, StoreError>) {
    let outcome = match answer {
        Ok(_) => "ok".to_owned(),
        Err(failure) => failure.to_string(),
    };
    state
        .metrics
        .store_calls
        .with_label_values(&[&outcome])
        .inc();
}

fn pause(failures: u32) -> Duration {
    let longest = PAUSE_MAX.min(PAUSE_MIN * (1 << failures.min(5)));
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}
