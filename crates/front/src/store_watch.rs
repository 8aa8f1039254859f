//! The two watches of the store: desired state and servers.
//!
//! Each lists its table once and then follows its feed. When the store is out
//! of reach both go on with what is known; when the history is gone they list
//! anew.

use std::{sync::Arc, time::Duration};

use domain::{
    entry_roster::{EntryRecord, EntryRoster, EntryRow},
    list_relay::{ChangeLog, HOLD_TIME, ListNews},
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
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};
use wire::entry_peer::EntryMessage;

use crate::{
    front_state::FrontState,
    list_follower::ListFollower,
    store_client::{StoreClient, StoreFailure},
};

/// Time between two announcements of this entry.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(20);
/// Least time between two questions for servers when the list is in doubt.
const DOUBT_PERIOD: Duration = Duration::from_millis(250);
/// Pause after the first failed call, and the longest one; each is spread.
const PAUSE_MIN: Duration = Duration::from_millis(60);
const PAUSE_MAX: Duration = Duration::from_millis(600);

/// Start both watches.
pub fn watch_store(state: &Arc<FrontState>) {
    tokio::spawn(watch(Arc::clone(state), StateTable::default()));
    tokio::spawn(watch(Arc::clone(state), ServerTable::default()));
    tokio::spawn(announce(Arc::clone(state)));
}

/// Announce this entry and count the others, for what all of them share.
async fn announce(state: Arc<FrontState>) {
    let mut client = StoreClient::default();
    loop {
        let settings = state.settings.load_full();
        let record = EntryRecord {
            domain: settings.domain.clone(),
            peer: settings.peer,
        };
        let value = json!(EntryMessage::from(&record)).to_string();
        let body = write_body(ENTRY_TABLE, &settings.name, value.as_bytes());
        let written = client.write(settings.store, body).await;
        let listed = client.list(settings.store, ENTRY_TABLE).await;
        count(&state, &listed);
        if let Err(failure) = written {
            log::info!(reason:% = failure; "entry not announced");
        }
        let pause = match listed {
            Ok(page) => {
                let mut roster = EntryRoster::clone(&state.roster.load());
                roster.replace(page.rows.iter().map(entry_row), Instant::now());
                state.roster.store(Arc::new(roster));
                ANNOUNCE_PERIOD
            }
            Err(_) => ANNOUNCE_PERIOD / 8,
        };
        let spread = rand::rng().random_range(0.7..1.0);
        sleep(pause.mul_f64(spread)).await;
    }
}

fn entry_row(row: &StoreRow) -> EntryRow<'_> {
    let message = row
        .value
        .as_deref()
        .and_then(|value| serde_json::from_slice::<EntryMessage>(value).ok());
    EntryRow {
        name: &row.key,
        version: row.version.0,
        record: message.map(EntryRecord::from),
    }
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
    ) -> impl Future<Output = Result<TableNews<Self::News>, StoreFailure>> + Send;
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

/// Ask the store for all rows of a table, or for those that changed.
async fn ask_store(
    client: &mut StoreClient,
    state: &FrontState,
    table: &'static str,
    since: Option<RowVersion>,
    wait: Duration,
) -> Result<RowPage, StoreFailure> {
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

#[derive(Default)]
struct StateTable {
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
    ) -> Result<TableNews<Self::News>, StoreFailure> {
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
        state.note_confirmed(asked);
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

/// The list of servers, from an entry that is followed or from the store.
#[derive(Default)]
struct ServerTable {
    client: StoreClient,
    follower: ListFollower,
    known: Option<ListNews>,
    is_followed: bool,
}

impl WatchedTable for ServerTable {
    const NAME: &'static str = SERVER_TABLE;
    type News = Vec<RegistryChange>;

    async fn ask(
        &mut self,
        state: &FrontState,
        since: Option<RowVersion>,
    ) -> Result<TableNews<Self::News>, StoreFailure> {
        if let (Some(known), true) = (self.known, since.is_some())
            && let Some((news, changes)) = self.follow(state, known).await
        {
            self.known = Some(news);
            self.is_followed = true;
            state.metrics.list_news.with_label_values(&["entry"]).inc();
            return Ok(TableNews {
                version: since.max(Some(RowVersion(news.read))).unwrap_or_default(),
                news: changes,
            });
        }
        self.is_followed = false;
        let asked = Instant::now();
        let page = ask_store(&mut self.client, state, Self::NAME, since, HOLD_TIME).await?;
        state.metrics.list_news.with_label_values(&["store"]).inc();
        let newest = page.rows.iter().map(|row| row.version.0).max();
        self.known = Some(ListNews {
            version: newest.unwrap_or(0).max(self.newest_row()),
            read: page.version.0,
            said: asked,
        });
        Ok(TableNews {
            version: page.version,
            news: page.rows.into_iter().map(change).collect(),
        })
    }

    fn listed(&self, state: &FrontState, news: TableNews<Self::News>) {
        let present = |change: &RegistryChange| match change {
            RegistryChange::Present(record) => Some(record.clone()),
            RegistryChange::Absent(_) => None,
        };
        let records: Vec<ServerRecord> = news.news.iter().filter_map(present).collect();
        let log = ChangeLog::new(self.newest_row(), &records);
        state.list_log.store(Arc::new(log));
        update(state, |registry, now| registry.replace(&records, now));
        state.note_listed();
        self.tell(state);
    }

    fn changed(&self, state: &FrontState, news: TableNews<Self::News>) {
        let log = state.list_log.load();
        let changes = log.news(&news.news);
        if !changes.is_empty() {
            let mut log = ChangeLog::clone(&log);
            log.apply(&changes, self.newest_row());
            state.list_log.store(Arc::new(log));
        }
        if state
            .registry
            .load()
            .is_changed_by(&news.news, Instant::now())
        {
            update(state, |registry, now| registry.apply(&news.news, now));
        }
        self.tell(state);
    }

    fn confirmed(&self, _state: &FrontState, _asked: Instant) {}

    fn lost(&self, state: &FrontState) {
        state.note_list_lost(true);
        state.list_news.send_replace(None);
    }

    fn returned(&self, state: &FrontState) {
        state.note_list_lost(false);
        update(state, |registry, now| registry.store_returned(now));
    }

    async fn pause(&mut self, state: &FrontState, asked: Instant) {
        // Another entry answers when it has news; its time runs from here.
        if self.is_followed || self.follower.has_leader(state) {
            return;
        }
        let period = state.relay_rule().period;
        tokio::select! {
            () = sleep_until(asked + period) => {}
            () = state.list_doubt.notified() => sleep_until(asked + DOUBT_PERIOD).await,
        }
    }
}

impl ServerTable {
    /// News of an entry that is followed; none as soon as the list is in doubt.
    async fn follow(
        &mut self,
        state: &FrontState,
        known: ListNews,
    ) -> Option<(ListNews, Vec<RegistryChange>)> {
        tokio::select! {
            news = self.follower.ask(state, known) => news,
            () = state.list_doubt.notified() => {
                sleep_until(known.said + DOUBT_PERIOD).await;
                None
            }
        }
    }

    /// Version of the newest row that was seen.
    fn newest_row(&self) -> u64 {
        self.known.map_or(0, |known| known.version)
    }

    /// Tell entries that follow this one.
    fn tell(&self, state: &FrontState) {
        state.list_news.send_replace(self.known);
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
