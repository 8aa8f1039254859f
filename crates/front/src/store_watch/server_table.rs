//! Watch of the server list.

use std::{sync::Arc, time::Duration};

use domain::{
    ServerName,
    list_relay::{ChangeLog, LONG_POLL_HOLD, LeavingServer, ListCursor},
    server_registry::{RegistryChange, ServerNotice, ServerRecord, ServerRegistry},
    store_position::StorePosition,
};
use platform::{
    server_row::decode_server,
    store_call::{SERVER_TABLE, StoreRow},
};
use tokio::time::{Instant, sleep_until};

use super::{TableUpdate, WatchedTable, count_odd_rows, read_store};
use crate::{
    front_state::FrontState,
    list_follower::{ListUpdate, request_changes},
    peer_client::{PeerChoice, PeerClient},
    store_client::{StoreClient, StoreError},
};

/// Minimum time between two reads of the server list when responses of backend
/// servers contradict it.
const REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(250);

/// The server list, read from the entry that this one follows or from the store.
#[derive(Default)]
pub(super) struct ServerTable {
    client: StoreClient,
    peers: PeerClient,
    known: Option<ListCursor>,
    /// Whether the last update came from another entry.
    is_following: bool,
}

/// One update of the server list.
pub(super) struct ListChanges {
    registry: Vec<RegistryChange>,
    /// Servers that announced to another entry that they are leaving.
    leaving: Vec<LeavingServer>,
}

impl WatchedTable for ServerTable {
    const NAME: &'static str = SERVER_TABLE;
    type Changes = ListChanges;

    async fn poll(
        &mut self,
        state: &FrontState,
        since: Option<StorePosition>,
    ) -> Result<TableUpdate<Self::Changes>, StoreError> {
        if let (Some(known), true) = (self.known, since.is_some())
            && let Some(update) = self.read_leader(state, known).await
        {
            return Ok(self.adopt_update(state, since, update, "entry"));
        }
        self.is_following = false;
        let queried_at = Instant::now();
        let read = read_store(&mut self.client, state, Self::NAME, since, LONG_POLL_HOLD).await;
        let page = match (read, self.known, since) {
            (Ok(page), _, _) => page,
            (Err(error), Some(known), Some(_)) if !error.needs_listing() => {
                let choice = PeerChoice::Neighbour;
                let update = request_changes(&mut self.peers, state, choice, known).await;
                let update = update.ok_or(error)?;
                return Ok(self.adopt_update(state, since, update, "neighbour"));
            }
            (Err(error), _, _) => return Err(error),
        };
        state
            .metrics
            .list_updates
            .with_label_values(&["store"])
            .inc();
        // Rows of the era before say nothing about this one.
        let none = StorePosition {
            version: 0,
            ..page.position
        };
        let newest = page.rows.iter().map(|row| row.version).max();
        self.known = Some(ListCursor {
            newest_row: newest.unwrap_or(none).max(self.newest_row()),
            read: page.position,
            observed_at: queried_at,
        });
        Ok(TableUpdate {
            position: page.position,
            is_complete: since.is_none(),
            observed_at: queried_at,
            changes: ListChanges {
                registry: usable_changes(state, page.rows.into_iter().map(decode_change)),
                leaving: Vec::new(),
            },
        })
    }

    fn apply_listing(&mut self, state: &Arc<FrontState>, update: TableUpdate<Self::Changes>) {
        let present = |change: &RegistryChange| match change {
            RegistryChange::Present(record) => Some(record.clone()),
            RegistryChange::Absent(_) => None,
        };
        let changes = &update.changes.registry;
        let records: Vec<ServerRecord> = changes.iter().filter_map(present).collect();
        let log = ChangeLog::new(update.position, self.newest_row().version, &records);
        state.change_log.store(Arc::new(log));
        let era = update.position.era;
        update_registry(state, |registry, now| {
            registry.begin_era(era, now);
            registry.replace(&records, now);
        });
        mark_leaving(state, &update.changes.leaving);
        let held_back = state.registry.load().held_back();
        if held_back > 0 {
            log::info!(servers = held_back; "listed servers not used: they had left before the store came back");
        }
        state.mark_servers_listed();
        self.publish_cursor(state);
    }

    fn apply_changes(&mut self, state: &Arc<FrontState>, update: TableUpdate<Self::Changes>) {
        let log = state.change_log.load();
        let ListChanges {
            registry: seen,
            leaving,
        } = &update.changes;
        let changes = log.new_changes(seen);
        if !changes.is_empty() {
            let mut log = ChangeLog::clone(&log);
            log.record(&changes, self.newest_row().version);
            state.change_log.store(Arc::new(log));
        }
        if state.registry.load().is_changed_by(seen, Instant::now()) {
            update_registry(state, |registry, now| registry.apply(seen, now));
        }
        mark_leaving(state, leaving);
        self.publish_cursor(state);
    }

    fn record_confirmation(&mut self, _state: &FrontState, _observed_at: Instant) {}

    fn on_store_lost(&self, state: &FrontState) {
        state.set_server_list_stale(true);
        state.list_cursor.send_replace(None);
    }

    fn on_store_recovered(&self, state: &FrontState) {
        state.set_server_list_stale(false);
        update_registry(state, |registry, now| registry.store_recovered(now));
    }

    async fn wait_next_poll(&mut self, state: &FrontState, queried_at: Instant) {
        // The next call to another entry is a long poll, so it is sent at once.
        if self.is_following || self.peers.has_leader(state) {
            return;
        }
        let period = state.list_rule().poll_period;
        tokio::select! {
            () = sleep_until(queried_at + period) => {}
            () = state.list_refresh.notified() => sleep_until(queried_at + REFRESH_INTERVAL_MIN).await,
        }
    }
}

impl ServerTable {
    /// Reads an update from the entry that this one follows. Returns `None` if there
    /// is none, or if a backend server's response contradicts the list; the caller
    /// then reads the store.
    async fn read_leader(&mut self, state: &FrontState, known: ListCursor) -> Option<ListUpdate> {
        tokio::select! {
            update = request_changes(&mut self.peers, state, PeerChoice::Leader, known) => update,
            () = state.list_refresh.notified() => {
                sleep_until(known.observed_at + REFRESH_INTERVAL_MIN).await;
                None
            }
        }
    }

    /// Continues from an update of another entry.
    fn adopt_update(
        &mut self,
        state: &FrontState,
        since: Option<StorePosition>,
        update: ListUpdate,
        source: &str,
    ) -> TableUpdate<ListChanges> {
        let cursor = update.cursor;
        self.known = Some(cursor);
        self.is_following = true;
        state
            .metrics
            .list_updates
            .with_label_values(&[source])
            .inc();
        state.record_era(cursor.read.era);
        TableUpdate {
            position: since.max(Some(cursor.read)).unwrap_or_default(),
            is_complete: update.is_complete,
            observed_at: cursor.observed_at,
            changes: ListChanges {
                registry: usable_changes(state, update.changes.into_iter().map(Ok)),
                leaving: update.leaving,
            },
        }
    }

    /// Returns the version of the newest row seen so far.
    fn newest_row(&self) -> StorePosition {
        self.known.map(|known| known.newest_row).unwrap_or_default()
    }

    /// Wakes the calls of entries that follow this one.
    fn publish_cursor(&self, state: &FrontState) {
        state.list_cursor.send_replace(self.known);
    }
}

/// A change that cannot be used; the instance counts as absent.
struct OddChange {
    instance: ServerName,
    reason: String,
}

fn decode_change(row: StoreRow) -> Result<RegistryChange, OddChange> {
    let name = row.key.as_str();
    let Some(value) = row.value else {
        return Ok(RegistryChange::Absent(name.into()));
    };
    match decode_server(name, &value) {
        Ok(record) => Ok(RegistryChange::Present(record)),
        Err(error) => Err(OddChange {
            instance: name.into(),
            reason: error.to_string(),
        }),
    }
}

/// Returns the changes with each unusable registration replaced by its absence. All
/// of an update are counted, and the first is logged.
fn usable_changes(
    state: &FrontState,
    changes: impl Iterator<Item = Result<RegistryChange, OddChange>>,
) -> Vec<RegistryChange> {
    let own = state.settings.load().own_addresses();
    let mut odd: Vec<OddChange> = Vec::new();
    let usable = changes
        .map(|change| {
            let checked = change.and_then(|change| match &change {
                RegistryChange::Present(record) => match record.validate(&own) {
                    Ok(()) => Ok(change),
                    Err(fault) => Err(OddChange {
                        instance: record.instance.clone(),
                        reason: fault.to_string(),
                    }),
                },
                RegistryChange::Absent(_) => Ok(change),
            });
            checked.unwrap_or_else(|change| {
                let absent = RegistryChange::Absent(change.instance.clone());
                odd.push(change);
                absent
            })
        })
        .collect();
    if let Some(first) = odd.first() {
        count_odd_rows(state, SERVER_TABLE, odd.len());
        log::warn!(
            server = first.instance.as_str(),
            reason = first.reason.as_str(),
            rows = odd.len();
            "registrations cannot be used"
        );
    }
    usable
}

/// Marks servers as leaving that announced it to another entry.
fn mark_leaving(state: &FrontState, leaving: &[LeavingServer]) {
    let registry = state.registry.load();
    let notice = ServerNotice {
        is_leaving: true,
        ..ServerNotice::default()
    };
    for LeavingServer {
        instance,
        started_ms,
    } in leaving
    {
        if let Some(server) = registry.find_instance(instance, *started_ms)
            && server.note_notice(notice, Instant::now())
        {
            log::info!(server = instance.as_str(); "server is leaving, as another entry says");
        }
    }
}

/// Replaces the registry by a changed copy. Requests may adopt a server
/// concurrently, so `change` may run several times, each time on the newest registry.
fn update_registry(state: &FrontState, change: impl Fn(&mut ServerRegistry, Instant)) {
    let now = Instant::now();
    let before = state.registry.rcu(|registry| {
        let mut registry = ServerRegistry::clone(registry);
        change(&mut registry, now);
        registry
    });
    state.admission.signal_room();
    let registry = state.registry.load();
    state.connection_pool.retain(&registry);
    let count = i64::try_from(registry.len()).unwrap_or(i64::MAX);
    state.metrics.servers.set(count);
    if before.is_empty() {
        log::info!(servers = count; "servers listed");
    } else {
        log_changes(&before, &registry);
    }
}

/// Logs a line for each server that was added, changed or removed.
fn log_changes(before: &ServerRegistry, after: &ServerRegistry) {
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
                "server added or changed"
            );
        }
    }
    for server in before.all() {
        let instance = &server.record().instance;
        if !after.contains(instance) {
            log::info!(server = instance.as_str(); "server removed");
        }
    }
}
