//! The copy of one run's memory, from its backup or by moves.

use std::{net::SocketAddr, sync::Arc};

use domain::{
    RequestId,
    kv_placement::{CopyState, CopyStep},
    server_registry::{RegisteredServer, WorkGuard},
};
use tokio::{task::JoinHandle, time::Instant};

use crate::server_call::{move_memory, release_memory};

/// Copy with which a stream can go on.
#[derive(Clone, Debug)]
pub(crate) struct KvCopy {
    /// Server that holds it.
    pub(crate) holder: SocketAddr,
    /// Server under whose address it is named.
    pub(crate) named_at: SocketAddr,
    /// Its name there.
    pub(crate) name: String,
}

/// Keeps a copy while a run goes on at its server.
pub(crate) struct CopyManager {
    run: RequestId,
    primary: Arc<RegisteredServer>,
    plan: CopyState,
    holder: Option<(Arc<RegisteredServer>, WorkGuard)>,
    copy: Option<KvCopy>,
    moving: Option<JoinHandle<Option<KvCopy>>>,
}

impl CopyManager {
    /// A run whose server sends its memory to a holder, if there is one.
    pub(crate) fn new(
        run: &RequestId,
        primary: &Arc<RegisteredServer>,
        holder: Option<(Arc<RegisteredServer>, WorkGuard)>,
    ) -> Self {
        let copy = holder.as_ref().map(|(holder, _)| KvCopy {
            holder: holder.record().address,
            named_at: holder.record().address,
            name: run.to_string(),
        });
        Self {
            run: run.clone(),
            primary: Arc::clone(primary),
            plan: if copy.is_some() {
                CopyState::BackedUp
            } else {
                CopyState::after_failure(Instant::now())
            },
            holder,
            copy,
            moving: None,
        }
    }

    /// The copy as it is known.
    pub(crate) fn copy(&self) -> Option<&KvCopy> {
        self.copy.as_ref()
    }

    /// Look after the copy; `lives` tells whether a server does, `choose` gives
    /// a new holder with its room taken.
    pub(crate) async fn tend(
        &mut self,
        lives: impl Fn(&RegisteredServer) -> bool,
        choose: impl FnOnce() -> Option<(Arc<RegisteredServer>, WorkGuard)>,
    ) {
        let now = Instant::now();
        if let Some(moving) = self.moving.take_if(|moving| moving.is_finished()) {
            // A task that panicked copied nothing.
            self.copy = moving.await.ok().flatten();
            self.plan = match self.copy {
                Some(_) => CopyState::Copied(now),
                None => CopyState::after_failure(now),
            };
        }
        if self.moving.is_some() {
            return;
        }
        let holder_lives = self
            .holder
            .as_ref()
            .is_some_and(|(holder, _)| lives(holder));
        match self.plan.next_step(holder_lives, now) {
            CopyStep::Wait => {}
            CopyStep::Refresh => self.start_move(),
            CopyStep::Place => {
                self.copy = None;
                self.holder = choose();
                self.start_move();
            }
        }
    }

    /// The run is complete: give up the copy of a move, which its server would
    /// keep for seconds. A backup ends with its run.
    pub(crate) fn finish(mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        if matches!(self.plan, CopyState::Copied(_)) {
            let primary = Arc::clone(&self.primary);
            tokio::spawn(async move { release_memory(&primary, &copy.name).await });
        }
    }

    fn start_move(&mut self) {
        let Some((holder, _)) = &self.holder else {
            self.plan = CopyState::after_failure(Instant::now());
            return;
        };
        let target = holder.record().address;
        let primary = Arc::clone(&self.primary);
        let run = self.run.clone();
        self.moving = Some(tokio::spawn(async move {
            let name = move_memory(&primary, &run, target).await?;
            Some(KvCopy {
                holder: target,
                named_at: primary.record().address,
                name,
            })
        }));
    }
}
