//! The tasks that keep the snapshots of servers and release note fresh.
//!
//! Entries alone poll the store, so that its reads do not grow with the number
//! of servers, and the more entries there are, the more seldom each one polls.
//! Agents hear from entries, and entries from one another through agents.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use backing::{
    NoteHead, NotePeer, NoteStore, NoteStoreError, ObjectStore, StopStore, StoreError, TableStore,
    VmList, announce_entry, known_entries, list_interval, order_head, retire_entry,
};
use domain::backend_server::{ServerSet, ServerSpec};
use rand::seq::IndexedRandom;
use tokio::time::Instant;
use wire::{note::HEAD_KEY, vm::ORDER_HEAD_KEY};

use crate::{EntryState, tell_task::tell_agents};

/// Readings of the head that all entries together send a second.
const HEAD_READS_PER_SECOND: u32 = 150;

/// Time between two announcements of an entry.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(60);

/// Keep everything fresh for as long as the process runs; while the platform is
/// down, what is known stays in force.
pub async fn refresh_snapshots<P: TableStore + ObjectStore + VmList>(state: Arc<EntryState<P>>) {
    let others = ArcSwap::default();
    tokio::join!(
        refresh_servers(&state),
        announce(&state, &others),
        watch_heads(&state, &others),
        tell_agents(&state),
    );
}

/// Remove the announcement of an entry that ends.
pub async fn retire<P: TableStore>(state: &EntryState<P>) {
    if let Err(error) = retire_entry(&state.platform, &state.settings.name).await {
        log::warn!("announcement not removed: {error}");
    }
}

async fn refresh_servers<P: VmList>(state: &EntryState<P>) {
    loop {
        if let Err(error) = read_list(state).await {
            log::warn!("list of VMs not read: {error}");
        }
        let known = state.servers.load().nodes().len();
        tokio::time::sleep(list_interval(state.settings.refresh, known)).await;
    }
}

async fn read_list<P: VmList>(state: &EntryState<P>) -> Result<(), StoreError> {
    let entries = state.platform.list().await?;
    let previous = state.servers.load();
    let specs: Vec<ServerSpec> = entries.iter().map(|entry| entry.spec.clone()).collect();
    let set = ServerSet::new(&specs, &previous, Instant::now()).with_subsets(&state.settings.name);
    state.metrics.servers.set(set.nodes().len() as i64);
    state.servers.store(Arc::new(set));
    state.hear_list(&entries);
    Ok(())
}

/// Poll the two head rows with one read, and read on where they have risen;
/// while the store gives no answer, ask other entries.
async fn watch_heads<P: TableStore + ObjectStore>(
    state: &EntryState<P>,
    others: &ArcSwap<Vec<SocketAddr>>,
) {
    let peer = NotePeer::default();
    loop {
        let known = others.load_full();
        if let Err(error) = read_heads(state).await {
            log::warn!("release note not read: {error}");
            let other = known.choose(&mut rand::rng()).copied();
            if let Some(other) = other {
                state.pull_notes(&peer, other).await;
            }
        }
        let interval = head_interval(state.settings.refresh, known.len());
        tokio::time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

fn head_interval(refresh: Duration, others: usize) -> Duration {
    let entries = u32::try_from(others + 1).unwrap_or(u32::MAX);
    refresh.max(Duration::from_secs(1) * entries / HEAD_READS_PER_SECOND)
}

/// Make this entry known time and again, and learn of the others.
///
/// This waits for a store that gives no answer, so it stands apart from the
/// watch of the heads, which then has to ask the others.
async fn announce<P: TableStore>(state: &EntryState<P>, others: &ArcSwap<Vec<SocketAddr>>) {
    loop {
        match announce_once(state).await {
            Ok(known) => {
                others.store(Arc::new(known));
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
            Err(error) => {
                log::warn!("entry not announced: {error}");
                tokio::time::sleep(state.settings.refresh).await;
            }
        }
    }
}

async fn announce_once<P: TableStore>(
    state: &EntryState<P>,
) -> Result<Vec<SocketAddr>, StoreError> {
    let listen = state.settings.listen;
    announce_entry(&state.platform, &state.settings.name, listen).await?;
    let mut entries = known_entries(&state.platform).await?;
    entries.retain(|&address| address != listen);
    Ok(entries)
}

async fn read_heads<P: TableStore + ObjectStore>(
    state: &EntryState<P>,
) -> Result<(), NoteStoreError> {
    let rows = state.platform.read(&[HEAD_KEY, ORDER_HEAD_KEY]).await?;
    let row = |key| rows.iter().find(|row| row.key == key);
    let (orders, _) = order_head(row(ORDER_HEAD_KEY));
    if orders > state.membership.version() {
        let record = StopStore::new(state.platform.clone()).read().await?;
        state.membership.take_stops(record);
        state.mark_stopped();
    }
    let head = NoteHead::from_row(row(HEAD_KEY))?;
    let ledger = state.notes.ledger();
    if head.version > ledger.version() {
        let notes = NoteStore::new(state.platform.clone());
        state.take_notes(notes.advance(&ledger, &head).await?);
    }
    Ok(())
}
