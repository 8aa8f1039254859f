//! The two watches of the store: desired state and servers.
//!
//! Each lists its table once and then follows its feed. When the store is out
//! of reach both go on with what is known; when the history is gone they list
//! anew.

use std::{sync::Arc, time::Duration};

use domain::{
    entry_roster::EntryRoster,
    server_registry::{RegistryChange, ServerRecord, ServerRegistry},
};
use platform::{
    desired_state_row::decode_state,
    server_row::decode_server,
    store_call::{
        DESIRED_STATE_KEY, ENTRY_TABLE, OPERATOR_TABLE, RowPage, RowVersion, SERVER_TABLE,
        StoreRow, write_body,
    },
};
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    front_state::FrontState,
    store_client::{StoreClient, StoreFailure},
};

/// Time that the store may hold a question for servers.
const SERVER_WAIT: Duration = Duration::from_millis(900);
/// Time between two questions for servers, in percent of the time in which one
/// that leaves is to be known: registrations change all the time, so the store
/// answers at once. What is left is for a slow answer.
const SERVER_PERIOD_PERCENT: u32 = 55;
/// Time between two announcements of this entry.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(20);
/// Least time between two questions for servers when the list is in doubt.
const DOUBT_PERIOD: Duration = Duration::from_millis(250);
/// Pause after the first failed call, and the longest one; each is spread.
const PAUSE_MIN: Duration = Duration::from_millis(60);
const PAUSE_MAX: Duration = Duration::from_millis(600);

/// Start both watches.
pub fn watch_store(state: &Arc<FrontState>) {
    tokio::spawn(watch(Arc::clone(state), StateTable));
    tokio::spawn(watch(Arc::clone(state), ServerTable));
    tokio::spawn(announce(Arc::clone(state)));
}

/// Announce this entry and count the others, for what all of them share.
async fn announce(state: Arc<FrontState>) {
    let mut client = StoreClient::default();
    loop {
        let settings = state.settings.load_full();
        let body = write_body(
            ENTRY_TABLE,
            &settings.name,
            settings.domain.as_str().as_bytes(),
        );
        let written = client.write(settings.store, body).await;
        let listed = client.list(settings.store, ENTRY_TABLE).await;
        count(&state, &listed);
        if let Err(failure) = written {
            log::info!(reason:% = failure; "entry not announced");
        }
        let pause = match listed {
            Ok(page) => {
                let mut roster = EntryRoster::clone(&state.roster.load());
                let rows = page
                    .rows
                    .iter()
                    .map(|row| (row.key.as_str(), row.version.0));
                roster.replace(rows, Instant::now());
                state.roster.store(Arc::new(roster));
                ANNOUNCE_PERIOD
            }
            Err(_) => ANNOUNCE_PERIOD / 8,
        };
        let spread = rand::rng().random_range(0.7..1.0);
        sleep(pause.mul_f64(spread)).await;
    }
}

/// One table and what its rows change.
trait WatchedTable: Send + Sync + 'static {
    const NAME: &'static str;

    /// Time that the store may hold a question.
    fn wait(&self, state: &FrontState) -> Duration;
    /// Take in a whole listing.
    fn listed(&self, state: &FrontState, page: RowPage);
    /// Take in changes.
    fn changed(&self, state: &FrontState, page: RowPage);
    /// The store answered a question asked at that moment.
    fn confirmed(&self, state: &FrontState, asked: Instant);
    /// The store does not answer.
    fn lost(&self, state: &FrontState);
    /// The store answers again.
    fn returned(&self, state: &FrontState);
    /// Wait until the next question may be asked.
    fn pause(&self, state: &FrontState, asked: Instant) -> impl Future<Output = ()> + Send;
}

async fn watch<T: WatchedTable>(state: Arc<FrontState>, table: T) {
    let mut client = StoreClient::default();
    let mut since: Option<RowVersion> = None;
    let mut failures = 0_u32;
    loop {
        let asked = Instant::now();
        let store = state.settings.load().store;
        let answer = match since {
            None => client.list(store, T::NAME).await,
            Some(since) => client.feed(store, T::NAME, since, table.wait(&state)).await,
        };
        count(&state, &answer);
        match answer {
            Ok(page) => {
                if failures > 0 {
                    log::info!(table = T::NAME, failures = failures; "store answers again");
                    table.returned(&state);
                    failures = 0;
                }
                let first = since.replace(page.version).is_none();
                if page.unreadable > 0 {
                    log::warn!(table = T::NAME, rows = page.unreadable; "rows cannot be read");
                }
                if first {
                    table.listed(&state, page);
                } else {
                    table.changed(&state, page);
                }
                table.confirmed(&state, asked);
                table.pause(&state, asked).await;
            }
            Err(StoreFailure::HistoryGone) => {
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

fn count(state: &FrontState, answer: &Result<RowPage, StoreFailure>) {
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

struct StateTable;

impl WatchedTable for StateTable {
    const NAME: &'static str = OPERATOR_TABLE;

    /// The time for a version to be in force: an answer that is lost is noticed
    /// no later.
    fn wait(&self, state: &FrontState) -> Duration {
        state.settings.load().apply_limit
    }

    fn listed(&self, state: &FrontState, page: RowPage) {
        self.changed(state, page);
    }

    fn changed(&self, state: &FrontState, page: RowPage) {
        for row in page.rows {
            if row.key == DESIRED_STATE_KEY {
                take_state(state, &row);
            }
        }
    }

    fn confirmed(&self, state: &FrontState, asked: Instant) {
        state.note_confirmed(asked);
    }

    fn lost(&self, _state: &FrontState) {}

    fn returned(&self, _state: &FrontState) {}

    async fn pause(&self, _state: &FrontState, _asked: Instant) {}
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

struct ServerTable;

impl WatchedTable for ServerTable {
    const NAME: &'static str = SERVER_TABLE;

    fn wait(&self, _state: &FrontState) -> Duration {
        SERVER_WAIT
    }

    fn listed(&self, state: &FrontState, page: RowPage) {
        let records = page.rows.into_iter().filter_map(|row| match change(row) {
            RegistryChange::Present(record) => Some(record),
            RegistryChange::Absent(_) => None,
        });
        let records: Vec<ServerRecord> = records.collect();
        update(state, |registry, now| registry.replace(&records, now));
        state.note_listed();
    }

    fn changed(&self, state: &FrontState, page: RowPage) {
        let changes: Vec<RegistryChange> = page.rows.into_iter().map(change).collect();
        if state
            .registry
            .load()
            .is_changed_by(&changes, Instant::now())
        {
            update(state, |registry, now| registry.apply(&changes, now));
        }
    }

    fn confirmed(&self, _state: &FrontState, _asked: Instant) {}

    fn lost(&self, state: &FrontState) {
        state.note_list_lost(true);
    }

    fn returned(&self, state: &FrontState) {
        state.note_list_lost(false);
        update(state, |registry, now| registry.store_returned(now));
    }

    async fn pause(&self, state: &FrontState, asked: Instant) {
        let period = state.settings.load().drain_limit * SERVER_PERIOD_PERCENT / 100;
        tokio::select! {
            () = sleep_until(asked + period) => {}
            () = state.list_doubt.notified() => sleep_until(asked + DOUBT_PERIOD).await,
        }
    }
}

fn change(row: StoreRow) -> RegistryChange {
    let name = row.key.as_str();
    let Some(value) = row.value else {
        return RegistryChange::Absent(name.into());
    };
    match decode_server(name, &value) {
        Ok(record) => RegistryChange::Present(record),
        Err(error) => {
            log::warn!(server = name, error:%; "registration cannot be read");
            RegistryChange::Absent(name.into())
        }
    }
}

/// Requests may adopt a server at the same time, so the change is made again
/// on the newest registry until it is the one replaced.
fn update(state: &FrontState, change: impl Fn(&mut ServerRegistry, Instant)) {
    let now = Instant::now();
    let before = state.registry.rcu(|registry| {
        let mut registry = ServerRegistry::clone(registry);
        change(&mut registry, now);
        registry
    });
    let registry = state.registry.load();
    state.links.retain(&registry);
    let count = i64::try_from(registry.len()).unwrap_or(i64::MAX);
    state.metrics.servers.set(count);
    if before.is_empty() {
        log::info!(servers = count; "servers listed");
    } else {
        note_changes(&before, &registry);
    }
}

/// One line for each server that came, changed or went.
fn note_changes(before: &ServerRegistry, after: &ServerRegistry) {
    for slot in after.all() {
        let record = slot.record();
        let known = before.find(&record.instance);
        if known.is_none_or(|known| known.record() != record) {
            log::info!(
                server = record.instance.as_str(),
                service = record.service.as_str(),
                address:% = record.address,
                domain = record.domain.as_str(),
                state:? = record.state;
                "server known"
            );
        }
    }
    for slot in before.all() {
        let instance = &slot.record().instance;
        if !after.contains(instance) {
            log::info!(server = instance.as_str(); "server gone");
        }
    }
}
