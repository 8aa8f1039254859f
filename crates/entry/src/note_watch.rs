//! The release notes that an entry has taken in.
//!
//! Two tasks bring notes, one from the store and one from peers, so the ledger
//! is replaced by read-copy-update: whichever is newer stays.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use backing::NotePeer;
use domain::serving_config::ConfigHistory;

use crate::EntryState;

/// Ledger of an entry.
#[derive(Default)]
pub struct NoteWatch {
    ledger: ArcSwap<ConfigHistory>,
}

impl NoteWatch {
    /// Ledger in force.
    pub fn ledger(&self) -> Arc<ConfigHistory> {
        self.ledger.load_full()
    }

    fn offer(&self, next: &Arc<ConfigHistory>) {
        self.ledger
            .rcu(|held| newer(held, next, held.version() < next.version()));
    }
}

fn newer<T>(held: &Arc<T>, next: &Arc<T>, is_newer: bool) -> Arc<T> {
    Arc::clone(if is_newer { next } else { held })
}

impl<P> EntryState<P> {
    /// Ask a peer for what this entry lacks.
    pub async fn pull_notes(&self, peer: &NotePeer, address: SocketAddr) {
        let ledger = self.notes.ledger();
        match peer.pull(address, ledger.version()).await {
            Ok(update) => {
                if let Some(next) = update.follow(&ledger) {
                    self.take_notes(next);
                }
            }
            Err(error) => log::debug!("no notes from {address}: {error}"),
        }
    }

    /// Put a ledger in force unless a newer one is.
    pub fn take_notes(&self, next: ConfigHistory) {
        let next = Arc::new(next);
        self.notes.offer(&next);
        let state = next.state();
        // Versions only rise, whatever the store or a peer answers.
        self.note
            .rcu(|held| newer(held, state, held.version() < state.version()));
        let version = self.note.load().version();
        log::info!(version:% = version; "release note in force");
        self.metrics.note_version.set(version.0 as i64);
    }
}
