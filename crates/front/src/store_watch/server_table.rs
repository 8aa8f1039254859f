//! The list of servers.

use std::{sync::Arc, time::Duration};

use domain::{
    list_relay::{ChangeLog, LONG_POLL_HOLD, ListCursor},
    server_registry::{RegistryChange, ServerRecord, ServerRegistry},
};
use platform::{
    server_row::decode_server,
    store_call::{RowVersion, SERVER_TABLE, StoreRow},
};
use tokio::time::{Instant, sleep_until};

use super::{TableNews, WatchedTable, ask_store};
use crate::{
    front_state::FrontState,
    list_follower::ListFollower,
    store_client::{StoreClient, StoreError},
};

/// Least time between two questions for servers when the list is in doubt.
const DOUBT_PERIOD: Duration = Duration::from_millis(250);

/// The list of servers, from an entry that is followed or from the store.
#[derive(Default)]
pub(super) struct ServerTable {
    client: StoreClient,
    follower: ListFollower,
    known: Option<ListCursor>,
    is_followed: bool,
}

impl WatchedTable for ServerTable {
    const NAME: &'static str = SERVER_TABLE;
    type News = Vec<RegistryChange>;

    async fn ask(
        &mut self,
        state: &FrontState,
        since: Option<RowVersion>,
    ) -> Result<TableNews<Self::News>, StoreError> {
        if let (Some(known), true) = (self.known, since.is_some())
            && let Some((news, changes)) = self.follow(state, known).await
        {
            self.known = Some(news);
            self.is_followed = true;
            state
                .metrics
                .list_updates
                .with_label_values(&["entry"])
                .inc();
            return Ok(TableNews {
                version: since
                    .max(Some(RowVersion(news.read_version)))
                    .unwrap_or_default(),
                news: changes,
            });
        }
        self.is_followed = false;
        let asked = Instant::now();
        let page = ask_store(&mut self.client, state, Self::NAME, since, LONG_POLL_HOLD).await?;
        state
            .metrics
            .list_updates
            .with_label_values(&["store"])
            .inc();
        let newest = page.rows.iter().map(|row| row.version.0).max();
        self.known = Some(ListCursor {
            newest_row_version: newest.unwrap_or(0).max(self.newest_row()),
            read_version: page.version.0,
            observed_at: asked,
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
        let log = ChangeLog::new(news.version.0, self.newest_row(), &records);
        state.change_log.store(Arc::new(log));
        update(state, |registry, now| registry.replace(&records, now));
        state.mark_servers_listed();
        self.tell(state);
    }

    fn changed(&self, state: &FrontState, news: TableNews<Self::News>) {
        let log = state.change_log.load();
        let changes = log.new_changes(&news.news);
        if !changes.is_empty() {
            let mut log = ChangeLog::clone(&log);
            log.record(&changes, self.newest_row());
            state.change_log.store(Arc::new(log));
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
        state.set_server_list_stale(true);
        state.list_cursor.send_replace(None);
    }

    fn returned(&self, state: &FrontState) {
        state.set_server_list_stale(false);
        update(state, |registry, now| registry.store_recovered(now));
    }

    async fn pause(&mut self, state: &FrontState, asked: Instant) {
        // Another entry answers when it has news; its time runs from here.
        if self.is_followed || self.follower.has_leader(state) {
            return;
        }
        let period = state.relay_rule().poll_period;
        tokio::select! {
            () = sleep_until(asked + period) => {}
            () = state.list_refresh.notified() => sleep_until(asked + DOUBT_PERIOD).await,
        }
    }
}

impl ServerTable {
    /// News of an entry that is followed; none as soon as the list is in doubt.
    async fn follow(
        &mut self,
        state: &FrontState,
        known: ListCursor,
    ) -> Option<(ListCursor, Vec<RegistryChange>)> {
        tokio::select! {
            news = self.follower.ask(state, known) => news,
            () = state.list_refresh.notified() => {
                sleep_until(known.observed_at + DOUBT_PERIOD).await;
                None
            }
        }
    }

    /// Version of the newest row that was seen.
    fn newest_row(&self) -> u64 {
        self.known.map_or(0, |known| known.newest_row_version)
    }

    /// Tell entries that follow this one.
    fn tell(&self, state: &FrontState) {
        state.list_cursor.send_replace(self.known);
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
    for server in after.all() {
        let record = server.record();
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
    for server in before.all() {
        let instance = &server.record().instance;
        if !after.contains(instance) {
            log::info!(server = instance.as_str(); "server gone");
        }
    }
}
