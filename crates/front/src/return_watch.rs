//! Servers that come back while the store is away.
//!
//! A server that crashed registers under another name when it starts again.
//! While the store is out of reach that name can be had only from the server
//! itself. Servers of a failure domain are lost together, so all of the domain
//! are asked when one was lost: a question costs less than a request that the
//! next lifetime turns down.

use std::{sync::Arc, time::Duration};

use domain::{
    ServerName,
    server_registry::{AdoptionProof, RegisteredServer},
};
use tokio::time::{Instant, sleep};

use crate::{
    front_state::FrontState,
    server_call::{ask_instance, ask_models},
};

/// Time between two questions; a crash at today's sites lasts 1.2 s.
const ASK_PERIOD: Duration = Duration::from_millis(300);
/// Time for which a lost server is asked: some crashes.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Servers of one failure domain that are watched at once: all of today's
/// sites, and a bound on the questions of larger ones.
const WATCHED_MAX: usize = 32;

/// Ask at the addresses of a lost server's failure domain who holds them, while
/// the store cannot tell.
pub(crate) fn watch_return(state: &Arc<FrontState>, lost: &Arc<RegisteredServer>) {
    if !state.is_server_list_stale() {
        return;
    }
    watch_one(state, lost);
    let registry = state.registry.load();
    let record = lost.record();
    let domains = registry.ready_servers(&record.service).iter();
    let peers = domains
        .filter(|own| own.domain == record.domain)
        .flat_map(|own| &own.servers);
    for peer in peers.take(WATCHED_MAX) {
        watch_one(state, peer);
    }
}

fn watch_one(state: &Arc<FrontState>, server: &Arc<RegisteredServer>) {
    if !server.begin_watch() {
        return;
    }
    let (state, server) = (Arc::clone(state), Arc::clone(server));
    tokio::spawn(async move {
        ask_until_known(&state, &server).await;
        server.end_watch();
    });
}

async fn ask_until_known(state: &FrontState, server: &RegisteredServer) {
    let health_path = state.desired.load().as_ref().and_then(|desired| {
        desired
            .service(&server.record().service)
            .map(|spec| spec.health_path.clone())
    });
    let Some(health_path) = health_path else {
        return;
    };
    let end = Instant::now() + WATCH_TIME;
    while state.is_server_list_stale() && Instant::now() < end {
        match ask_instance(server, &health_path).await {
            Some(instance) if instance == server.record().instance => {
                server.note_activity(Instant::now());
                return;
            }
            Some(instance) => {
                server.note_superseded();
                take_in(state, server, &instance).await;
                return;
            }
            None => sleep(ASK_PERIOD).await,
        }
    }
}

async fn take_in(state: &FrontState, server: &RegisteredServer, instance: &ServerName) {
    if state.adopt_recent(server, instance) {
        return;
    }
    let models = ask_models(server).await;
    let desired = state.desired.load();
    let is_proved = desired
        .as_ref()
        .is_some_and(|desired| desired.models_identify_service(&server.record().service, &models));
    if is_proved {
        state.adopt(server, instance, AdoptionProof::OnlyModel);
    }
}
