//! Maintenance of the copy of one run's KV cache. The server makes it as a backup
//! or on a move call, which copies the KV cache while the run continues.

use std::{net::SocketAddr, sync::Arc};

use domain::{
    RequestId,
    kv_placement::{CopyState, CopyStep},
    server_registry::{RegisteredServer, WorkGuard},
};
use tokio::{task::JoinHandle, time::Instant};

use crate::{
    front_state::FrontState,
    server_call::{copy_kv_cache, release_copy},
};

/// Copy of a KV cache from which a stream can be resumed.
#[derive(Clone, Debug)]
pub(crate) struct KvCopy {
    /// Address of the server that holds the copy.
    pub(crate) holder: SocketAddr,
    /// Address of the server that `name` is scoped to.
    pub(crate) named_at: SocketAddr,
    /// Name of the copy: the run of a backup, or the handle of a move.
    pub(crate) name: String,
}

/// Maintains a copy while the run continues at its server.
pub(crate) struct CopyManager {
    front: Arc<FrontState>,
    run: RequestId,
    primary: Arc<RegisteredServer>,
    state: CopyState,
    holder: Option<(Arc<RegisteredServer>, WorkGuard)>,
    copy: Option<KvCopy>,
    pending_move: Option<JoinHandle<Option<KvCopy>>>,
}

impl CopyManager {
    /// Creates the manager of a run whose server backs up its KV cache to
    /// `holder`, if there is one.
    pub(crate) fn new(
        front: &Arc<FrontState>,
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
            front: Arc::clone(front),
            run: run.clone(),
            primary: Arc::clone(primary),
            state: if copy.is_some() {
                CopyState::BackedUp
            } else {
                CopyState::after_failure(Instant::now())
            },
            holder,
            copy,
            pending_move: None,
        }
    }

    /// The latest known copy.
    pub(crate) fn copy(&self) -> Option<&KvCopy> {
        self.copy.as_ref()
    }

    /// Completes a finished move and starts the next one if it is due. `is_alive`
    /// tells whether a server is still the registered instance; `reserve_holder`
    /// picks a new holder and reserves room on it.
    pub(crate) async fn update(
        &mut self,
        is_alive: impl Fn(&RegisteredServer) -> bool,
        reserve_holder: impl FnOnce() -> Option<(Arc<RegisteredServer>, WorkGuard)>,
    ) {
        let now = Instant::now();
        if let Some(finished) = self.pending_move.take_if(|pending| pending.is_finished()) {
            // A panic in the task counts as a failed copy.
            self.copy = finished.await.ok().flatten();
            self.state = match self.copy {
                Some(_) => CopyState::Copied(now),
                None => CopyState::after_failure(now),
            };
        }
        if self.pending_move.is_some() {
            return;
        }
        let is_holder_alive = self
            .holder
            .as_ref()
            .is_some_and(|(holder, _)| is_alive(holder));
        match self.state.next_step(is_holder_alive, now) {
            CopyStep::Wait => {}
            CopyStep::Refresh => self.start_move(),
            CopyStep::Place => {
                self.copy = None;
                self.holder = reserve_holder();
                self.start_move();
            }
        }
    }

    /// Releases the copy of a completed run. A copy made by a move would
    /// otherwise stay on its server for seconds; a backup ends with its run.
    pub(crate) fn finish(mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        if matches!(self.state, CopyState::Copied(_)) {
            let (front, primary) = (self.front, self.primary);
            tokio::spawn(async move { release_copy(&front, &primary, &copy.name).await });
        }
    }

    fn start_move(&mut self) {
        let Some((holder, _)) = &self.holder else {
            self.state = CopyState::after_failure(Instant::now());
            return;
        };
        let target = holder.record().address;
        let (front, primary) = (Arc::clone(&self.front), Arc::clone(&self.primary));
        let run = self.run.clone();
        self.pending_move = Some(tokio::spawn(async move {
            let name = copy_kv_cache(&front, &primary, &run, target).await?;
            Some(KvCopy {
                holder: target,
                named_at: primary.record().address,
                name,
            })
        }));
    }
}
