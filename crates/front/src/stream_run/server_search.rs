//! Which server a stream goes to, and which one keeps its copy.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    FailureDomain,
    desired_state::{EngineSpec, RouteKind},
    kv_placement::{PlacementQuery, pick_backup, pick_server},
    server_registry::{RegisteredServer, WorkGuard, WorkSize},
};
use tokio::time::{Instant, sleep};

use super::StreamRun;

/// Time for which a stream without a latency target looks for a server.
const SEARCH_DEFAULT: Duration = Duration::from_secs(2);
/// Pause before servers are looked for again when there are none.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

impl StreamRun {
    /// The server with the copy, or the best of all; waits while there is none.
    pub(super) async fn next_server(&mut self) -> Option<Arc<RegisteredServer>> {
        let wait = self.task.route.latency_target.unwrap_or(SEARCH_DEFAULT);
        let limit = self.task.deadline.min(Instant::now() + wait / 2);
        loop {
            let now = Instant::now();
            if let Some(server) = self.pick(now) {
                return Some(server);
            }
            self.last_failed.clear();
            if now >= limit {
                return None;
            }
            sleep(SEARCH_PAUSE).await;
        }
    }

    /// Look for a server that has the prompt in its memory.
    pub(super) async fn search_prompt(&mut self) {
        let Some(part) = &self.task.prompt else {
            return;
        };
        self.held = self.state.finder.find(&self.task.service, part).await;
        let outcome = if self.held.is_some() {
            "held"
        } else {
            "absent"
        };
        self.state
            .metrics
            .prompt_searches
            .with_label_values(&[outcome])
            .inc();
    }

    fn pick(&self, now: Instant) -> Option<Arc<RegisteredServer>> {
        let registry = self.state.registry.load();
        let servers = registry.ready_servers(&self.task.service);
        if let Some(copy) = &self.copy {
            let holder = servers
                .iter()
                .flat_map(|own| &own.servers)
                .find(|server| server.record().address == copy.holder && !server.is_suspect(now));
            if let Some(holder) = holder {
                return Some(Arc::clone(holder));
            }
        }
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.last_failed, now);
        pick_server(servers, &query, &mut rand::rng()).map(Arc::clone)
    }

    fn query<'a>(
        &self,
        own_domain: &'a FailureDomain,
        tried: &'a [SocketAddr],
        now: Instant,
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            tokens: Some(self.tokens()),
            kv_capacity: self
                .engine()
                .map_or(u64::MAX / 100, |engine| engine.kv_tokens),
            cached: self.held,
            own_domain,
            tried,
            now,
        }
    }

    fn engine(&self) -> Option<EngineSpec> {
        let desired = self.state.desired.load();
        desired
            .as_ref()?
            .service(&self.task.service)?
            .engine
            .clone()
    }

    /// Whether a server still is what it was when it was chosen.
    pub(super) fn lives(&self, server: &RegisteredServer) -> bool {
        let registry = self.state.registry.load();
        !server.is_superseded() && registry.is_current(server)
    }

    /// A holder for the copy, with its room taken.
    pub(super) fn choose_holder(
        &self,
        primary: &RegisteredServer,
    ) -> Option<(Arc<RegisteredServer>, WorkGuard)> {
        let holder = self.pick_copy_holder(primary)?;
        let room = holder.reserve(WorkSize {
            kv_tokens: self.tokens().total(),
            ..WorkSize::default()
        });
        Some((holder, room))
    }

    fn pick_copy_holder(&self, primary: &RegisteredServer) -> Option<Arc<RegisteredServer>> {
        let backed_up = self.task.route.kind == RouteKind::ResumableStream
            && self.engine().is_some_and(|engine| engine.has_kv_backups);
        if !backed_up {
            return None;
        }
        let registry = self.state.registry.load();
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.last_failed, Instant::now());
        let servers = registry.ready_servers(&self.task.service);
        pick_backup(servers, &query, primary, &mut rand::rng()).map(Arc::clone)
    }
}
