//! The task that keeps the snapshots of servers and release note fresh.

use std::sync::Arc;

use domain::{
    backend_server::{ServerSet, ServerSpec},
    release_note::NoteState,
};
use platform::{StoreError, TableStore, VmEntry, VmList};
use tokio::time::{Instant, MissedTickBehavior};
use wire::note::{HEAD_KEY, StateMessage};

use crate::EntryState;

/// Read the platform's list and the release note, for as long as the process
/// runs; while the platform is down, what is known stays in force.
pub async fn refresh_snapshots<P: TableStore + VmList>(state: Arc<EntryState<P>>) {
    let mut ticks = tokio::time::interval(state.settings.refresh);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = refresh_servers(&state).await {
            log::warn!("list of VMs not read: {error}");
        }
        if let Err(error) = refresh_note(&state).await {
            log::warn!("release note not read: {error}");
        }
    }
}

async fn refresh_servers<P: VmList>(state: &EntryState<P>) -> Result<(), StoreError> {
    let entries = state.platform.list().await?;
    let previous = state.servers.load();
    let specs: Vec<ServerSpec> = entries.iter().map(|entry| entry.spec.clone()).collect();
    let set = ServerSet::new(&specs, &previous, Instant::now()).narrowed(&state.settings.name);
    for VmEntry { spec, leaving } in &entries {
        if *leaving && let Some(node) = set.get(&spec.name) {
            node.set_leaving(true);
        }
    }
    state.metrics.servers.set(set.nodes().len() as i64);
    state.servers.store(Arc::new(set));
    Ok(())
}

async fn refresh_note<P: TableStore>(state: &EntryState<P>) -> Result<(), StoreError> {
    let Some(row) = state.platform.read(&[HEAD_KEY]).await?.pop() else {
        return Ok(());
    };
    let message: StateMessage = match serde_json::from_str(&row.value) {
        Ok(message) => message,
        Err(error) => {
            log::error!("release note in the table cannot be read: {error}");
            return Ok(());
        }
    };
    let note = NoteState::from(message);
    // Versions only rise, whatever the store answers.
    if note.version() > state.note.load().version() {
        log::info!(version:% = note.version(); "release note in force");
        state.metrics.note_version.set(note.version().0 as i64);
        state.note.store(Arc::new(note));
    }
    Ok(())
}
