//! Detection of restarted servers while the store is unreachable.
//!
//! A server that crashes registers under a new name when it restarts. While the
//! store is unreachable, only the server itself can report that name. The
//! servers of a failure domain usually fail together, so when one of them is
//! lost, the servers of the same service in that domain are polled too: a poll
//! costs less than a request that the new instance rejects.

use std::{sync::Arc, time::Duration};

use domain::{
    desired_state::ServiceSpec,
    server_registry::{AdoptionProof, RegisteredServer},
};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    boot_clock::boot_now,
    front_state::FrontState,
    server_call::{AddressHolder, query_holder},
};

/// Interval between polls of a server: a quarter of a crash of 1.2 s.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a lost server is polled: several times the length of a crash.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Maximum number of servers watched per failure domain. It covers the current
/// sites completely and limits the polls at larger ones.
const MAX_WATCHED_SERVERS: usize = 32;

/// Polls the addresses of a lost server's failure domain for restarted servers
/// while the store is unreachable.
pub(crate) fn watch_for_return(state: &Arc<FrontState>, lost: &Arc<RegisteredServer>) {
    if !state.is_server_list_stale() {
        return;
    }
    watch_server(state, lost);
    let registry = state.registry.load();
    let record = lost.record();
    let domains = registry.ready_servers(&record.service).iter();
    let peers = domains
        .filter(|domain| domain.domain == record.domain)
        .flat_map(|domain| &domain.servers);
    for peer in peers.take(MAX_WATCHED_SERVERS) {
        watch_server(state, peer);
    }
}

fn watch_server(state: &Arc<FrontState>, server: &Arc<RegisteredServer>) {
    if !server.begin_watch() {
        return;
    }
    let (state, server) = (Arc::clone(state), Arc::clone(server));
    tokio::spawn(async move {
        poll_instance(&state, &server).await;
        server.end_watch();
    });
}

async fn poll_instance(state: &FrontState, server: &RegisteredServer) {
    let desired = state.desired.load_full();
    let service = desired
        .as_ref()
        .and_then(|desired| desired.service(&server.record().service));
    let Some(service) = service else {
        return;
    };
    let has_models = service.engine.is_some();
    let end = Instant::now() + WATCH_TIME;
    while state.is_server_list_stale() && Instant::now() < end {
        if let Some(pause_end) = server.paused_until(Instant::now()) {
            sleep_until(pause_end.min(end)).await;
            continue;
        }
        let asked_at = boot_now();
        match query_holder(state, server, &service.health_path, has_models).await {
            Some(holder) if holder.instance == server.record().instance => {
                server.note_activity(Instant::now());
                server.note_answer_to(asked_at);
                return;
            }
            Some(holder) => {
                server.note_superseded();
                if adopt_holder(state, server, service, &holder) {
                    return;
                }
            }
            None => {}
        }
        // The models may be unknown because an answer was lost.
        sleep(POLL_INTERVAL).await;
    }
}

/// Adopts the instance that now holds a server's address, if it is proven to
/// belong to the same service. Returns whether nothing is left to do.
fn adopt_holder(
    state: &FrontState,
    server: &RegisteredServer,
    service: &ServiceSpec,
    holder: &AddressHolder,
) -> bool {
    if state.adopt_recent(server, &holder.instance) || service.engine.is_none() {
        return true;
    }
    if holder.models.is_empty() {
        return false;
    }
    let desired = state.desired.load();
    let is_proven = desired
        .as_ref()
        .is_some_and(|desired| desired.models_identify_service(&service.name, &holder.models));
    if is_proven {
        state.adopt(server, &holder.instance, AdoptionProof::OnlyModel);
    }
    true
}
