//! Servers that come back while the store is away.
//!
//! A server that crashed registers under another name when it starts again.
//! While the store is out of reach that name can be had only from the server
//! itself, and it proves the service only for a short time.

use std::{sync::Arc, time::Duration};

use domain::server_registry::ServerSlot;
use tokio::time::{Instant, sleep};

use crate::{front_state::FrontState, server_exchange::ask_instance};

/// Time between two questions; a crash at today's sites lasts 1.2 s of the 2 s
/// in which an address is given to no other server.
const ASK_PERIOD: Duration = Duration::from_millis(200);

/// Ask at a lost server's address who holds it, while the store cannot tell.
pub(crate) fn watch_return(state: &Arc<FrontState>, slot: &Arc<ServerSlot>) {
    if !state.is_list_lost() {
        return;
    }
    let (state, slot) = (Arc::clone(state), Arc::clone(slot));
    tokio::spawn(async move { ask_until_known(&state, &slot).await });
}

async fn ask_until_known(state: &FrontState, slot: &ServerSlot) {
    let reuse_time = state.settings.load().address_reuse;
    let service = &slot.record().service;
    let health_path = state.desired.load().as_ref().and_then(|desired| {
        desired
            .service(service)
            .map(|spec| spec.health_path.clone())
    });
    let Some(health_path) = health_path else {
        return;
    };
    while slot.silence(Instant::now()) < reuse_time && !slot.is_misdirected() {
        sleep(ASK_PERIOD).await;
        match ask_instance(slot, &health_path).await {
            Some(instance) if instance == slot.record().instance => {
                slot.note_life(Instant::now());
                return;
            }
            Some(instance) => {
                slot.note_misdirected();
                state.adopt(slot, &instance);
                return;
            }
            None => {}
        }
    }
}
