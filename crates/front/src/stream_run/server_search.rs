//! Choice of the server for a stream, and of the server that holds its KV cache
//! copy.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    FailureDomain,
    desired_state::RouteKind,
    kv_placement::{
        PlacementQuery, ServiceOutlook, is_hopeless, pick_backup, pick_candidates, pick_reported,
        pick_server, queue_view,
    },
    server_registry::{RegisteredServer, WorkGuard, WorkSize},
    urgency::{AdmissionVerdict, RankedRequest, RequestStage, ServerRank},
    wait_queue::RECHECK_PERIOD,
};
use tokio::time::{Instant, sleep_until};

use super::{SUSPECT_BASE, StreamRun};
use crate::{
    load_query::query_loads,
    placement_query::{QueryContext, engine_of, stream_query},
    reply::ReplyReason,
    wait_room::CallUp,
};

/// Latency target assumed for a stream whose route has none. A search takes up to
/// half of the target.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_secs(2);
/// Number of times that candidates are drawn and queried before one is used unheard.
const CANDIDATE_ROUNDS: usize = 2;

impl StreamRun {
    /// Picks the server that holds the copy, or else the best one. Waits for a
    /// limited time while none is available.
    pub(super) async fn next_server(&mut self) -> Result<Arc<RegisteredServer>, ReplyReason> {
        let target = self
            .request
            .route
            .latency_target
            .unwrap_or(DEFAULT_LATENCY_TARGET);
        let started = Instant::now();
        let limit = self.request.deadline.min(started + target / 2);
        let mut waits = 0_u32;
        let found = self.search_server(limit, &mut waits).await;
        if waits > 0 {
            log::info!(
                request = self.request.id.as_str(),
                urgency:% = self.request.urgency,
                outcome = if found.is_ok() { "found" } else { "none" },
                waits = waits,
                waited_ms = started.elapsed().as_millis() as u64;
                "stream waited for a server"
            );
        }
        found
    }

    /// Searches until `limit`, and counts how often it waited.
    async fn search_server(
        &mut self,
        limit: Instant,
        waits: &mut u32,
    ) -> Result<Arc<RegisteredServer>, ReplyReason> {
        if self.must_queue() {
            *waits += 1;
            self.wait_for_room(Instant::now() + RECHECK_PERIOD, limit)
                .await?;
        }
        loop {
            if !self.request.is_admitted(&self.state.drain, Instant::now()) {
                return Err(ReplyReason::Closing);
            }
            if let Some(server) = self.pick().await {
                self.judge_load(&server)?;
                if self.take_send(&server) {
                    // The next one that waits may find room, too.
                    self.admission.wait_room.signal_room();
                    return Ok(server);
                }
                continue;
            }
            let now = Instant::now();
            self.tried.clear();
            let check_at = self.next_check(now, limit).ok_or(ReplyReason::NoServer)?;
            *waits += 1;
            self.wait_for_room(check_at, limit).await?;
        }
    }

    /// Whether a new ranked stream is to wait for its turn because others wait already.
    fn must_queue(&self) -> bool {
        self.request.class.is_some()
            && self.request.stage() == RequestStage::New
            && self.admission.wait_room.waiting() > 0
    }

    /// Waits until the stream is next, the time of its search is over or the drain goes on.
    async fn wait_for_room(&self, check_at: Instant, limit: Instant) -> Result<(), ReplyReason> {
        let call_up = tokio::select! {
            call_up = self.admission.wait_room.wait(&self.request, check_at) => call_up,
            () = sleep_until(limit) => CallUp::Next,
            () = self.state.drain.wait_next_phase() => CallUp::Next,
        };
        match call_up {
            CallUp::Next => Ok(()),
            CallUp::NoPlace => Err(ReplyReason::NoServer),
        }
    }

    /// Takes a send from the limit that the server named. A stream that goes on from the
    /// copy there may exceed this process's part, and delays the next sends.
    fn take_send(&self, server: &RegisteredServer) -> bool {
        let now = Instant::now();
        let copy = self.copy.as_ref();
        if copy.is_some_and(|copy| copy.holder == server.record().address) {
            server.rate_gate().charge(now);
            return true;
        }
        server.take_send(now)
    }

    /// Refuses a new stream that would get its first event late even at the best of the
    /// queried servers, or that would delay more urgent ones there. A stream that a
    /// caller resumes, or that was sent before, is never refused for that.
    fn judge_load(&mut self, server: &RegisteredServer) -> Result<(), ReplyReason> {
        if self.request.stage() == RequestStage::Resumed {
            return Ok(());
        }
        let now = Instant::now();
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.tried, now);
        let target = self.request.route.latency_target;
        let time_left = target.map(|target| target.saturating_sub(now - self.request.received));
        let Some(ranked) = self.ranked_request(time_left) else {
            let is_late = time_left.is_some_and(|left| is_hopeless(server, &query, left));
            return if is_late {
                Err(ReplyReason::Overloaded)
            } else {
                Ok(())
            };
        };
        let verdict = queue_view(server, &query).judge(&ranked);
        self.is_reserved = verdict == AdmissionVerdict::AdmitReserved;
        match verdict {
            AdmissionVerdict::Admit | AdmissionVerdict::AdmitReserved => Ok(()),
            AdmissionVerdict::Late => Err(ReplyReason::Overloaded),
            AdmissionVerdict::Shed => Err(ReplyReason::Shed),
        }
    }

    /// Rank at a server; `None` if the requests of the service are equally urgent.
    pub(super) fn server_rank(&self) -> Option<ServerRank> {
        let class = self.request.class?;
        let stage = self.request.stage();
        Some(if self.is_reserved {
            class.reserved_rank(stage)
        } else {
            class.server_rank(stage)
        })
    }

    /// The stream among others of its service; `None` if all are equally urgent.
    fn ranked_request(&self, time_left: Option<Duration>) -> Option<RankedRequest> {
        let rank = self.request.server_rank()?;
        Some(RankedRequest {
            class: self.request.class?,
            wait_factor: self.admission.mix.wait_factor(rank),
            team_excess: self.admission.teams.excess(self.request.team.as_ref()),
            time_left,
            draw: self.admission_draw,
        })
    }

    /// When the search is to be repeated at the latest; `None` if no server becomes
    /// available before `limit`.
    fn next_check(&self, now: Instant, limit: Instant) -> Option<Instant> {
        if now >= limit {
            return None;
        }
        let registry = self.state.registry.load();
        let rollouts = &self.state.rollouts;
        let servers = rollouts.select(&self.request, &[], &registry, now);
        match ServiceOutlook::new(&servers, now) {
            ServiceOutlook::Open => Some(now + RECHECK_PERIOD),
            // A signal may have come before the stream joined the queue.
            ServiceOutlook::Paused(end) => (end < limit).then_some(end.min(now + RECHECK_PERIOD)),
            ServiceOutlook::Leaving => None,
        }
    }

    /// Searches for a server that has the prompt in its KV cache.
    pub(super) async fn search_prompt(&mut self) {
        let Some(part) = &self.request.prompt else {
            return;
        };
        self.cached = self.state.finder.find(&self.request.service, part).await;
        let outcome = if self.cached.is_some() {
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

    /// Picks the server with the copy or with the prompt, if there is one, or else the
    /// least loaded of a few candidates.
    async fn pick(&self) -> Option<Arc<RegisteredServer>> {
        let mut candidates = self.candidates(Instant::now());
        if !candidates.is_empty() {
            // The next one that waits need not wait for this query.
            self.admission.wait_room.signal_room();
        }
        for _ in 0..CANDIDATE_ROUNDS {
            if candidates.len() < 2 {
                break;
            }
            let reported = query_loads(&self.state, &candidates, &self.health_path()?).await;
            if !reported.is_empty() {
                let settings = self.state.settings.load();
                let query = self.query(&settings.domain, &self.tried, Instant::now());
                return pick_reported(&reported, &query).map(Arc::clone);
            }
            // All are silent: their failure domain may be lost.
            for server in &candidates {
                server.note_failure(Instant::now(), SUSPECT_BASE);
            }
            candidates = self.candidates(Instant::now());
        }
        candidates.into_iter().next()
    }

    fn health_path(&self) -> Option<Box<str>> {
        let desired = self.state.desired.load();
        let service = desired.as_ref()?.service(&self.request.service)?;
        Some(service.health_path.clone())
    }

    /// Returns the only server in question, or several to choose from.
    fn candidates(&self, now: Instant) -> Vec<Arc<RegisteredServer>> {
        let registry = self.state.registry.load();
        let rollouts = &self.state.rollouts;
        let servers = &rollouts.select(&self.request, &self.tried, &registry, now);
        if let Some(copy) = &self.copy {
            let holder = servers
                .iter()
                .flat_map(|domain| &domain.servers)
                .find(|server| {
                    server.record().address == copy.holder
                        && server.may_hold_copy(now)
                        && !server.is_suspect(now)
                });
            if let Some(holder) = holder {
                return vec![Arc::clone(holder)];
            }
        }
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.tried, now);
        let mut rng = rand::rng();
        if query.cached.is_some() {
            let picked = pick_server(servers, &query, &mut rng);
            return picked.into_iter().cloned().collect();
        }
        let candidates = pick_candidates(servers, &query, &mut rng);
        candidates.into_iter().cloned().collect()
    }

    pub(super) fn query<'a>(
        &self,
        own_domain: &'a FailureDomain,
        tried: &'a [SocketAddr],
        now: Instant,
    ) -> PlacementQuery<'a> {
        let context = QueryContext {
            own_domain,
            tried,
            now,
        };
        stream_query(
            &self.state,
            &self.request.service,
            self.tokens(),
            self.cached,
            context,
        )
    }

    /// Returns whether a server is still the instance known at its address.
    pub(super) fn is_current(&self, server: &RegisteredServer) -> bool {
        let registry = self.state.registry.load();
        !server.is_superseded() && registry.is_current(server)
    }

    /// Picks a server to hold the KV cache copy and reserves room on it.
    pub(super) fn reserve_copy_holder(
        &self,
        primary: &RegisteredServer,
    ) -> Option<(Arc<RegisteredServer>, WorkGuard)> {
        let holder = self.pick_copy_holder(primary)?;
        let work = holder.reserve(WorkSize {
            kv_tokens: self.tokens().total(),
            ..WorkSize::default()
        });
        Some((holder, work))
    }

    fn pick_copy_holder(&self, primary: &RegisteredServer) -> Option<Arc<RegisteredServer>> {
        let has_backups = self.request.route.kind == RouteKind::ResumableStream
            && engine_of(&self.state, &self.request.service)
                .is_some_and(|engine| engine.has_kv_backups);
        if !has_backups {
            return None;
        }
        let registry = self.state.registry.load();
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.tried, Instant::now());
        let all = registry.ready_servers(&self.request.service);
        let servers = &self.state.rollouts.select_copy_holders(primary, all);
        pick_backup(servers, &query, primary, &mut rand::rng()).map(Arc::clone)
    }
}
