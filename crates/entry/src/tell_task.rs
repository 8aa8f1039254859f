//! The task that tells agents what is in force, one after the other.
//!
//! An agent that has restarted while the store is down learns here whom to ask.
//! Its answer is evidence too: whether the server is leaving, and whether the
//! agent has a newer note than this entry.

use std::{net::SocketAddr, time::Duration};

use backing::NotePeer;
use domain::{ConfigVersion, ServerName};
use rand::seq::SliceRandom;
use wire::agent_control::{AgentControlClient, TellReply};

use crate::EntryState;

/// Time between two agents that are told.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which an agent answers.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);

/// An agent to be told.
struct TellTarget {
    server: ServerName,
    stream: SocketAddr,
    control: SocketAddr,
}

/// Tell all agents in turn, in another order each time.
pub async fn tell_agents<P>(state: &EntryState<P>) {
    let peer = NotePeer::default();
    loop {
        let targets = shuffled_targets(state);
        if targets.is_empty() {
            tokio::time::sleep(TELL_INTERVAL).await;
        }
        for target in &targets {
            tokio::time::sleep(TELL_INTERVAL).await;
            let Some(report) = tell(state, target).await else {
                continue;
            };
            state.hear_agent(&target.server, report.leaving);
            if ConfigVersion(report.note_version) > state.notes.ledger().version() {
                state.pull_notes(&peer, target.stream).await;
            }
        }
    }
}

fn shuffled_targets<P>(state: &EntryState<P>) -> Vec<TellTarget> {
    let servers = state.servers.load();
    let specs = servers.nodes().iter().map(|node| node.spec());
    let mut targets: Vec<TellTarget> = specs
        .map(|spec| TellTarget {
            server: spec.name.clone(),
            stream: spec.addresses.stream,
            control: spec.addresses.control,
        })
        .collect();
    targets.shuffle(&mut rand::rng());
    targets
}

async fn tell<P>(state: &EntryState<P>, target: &TellTarget) -> Option<TellReply> {
    let client = state.links.client(target.control).ok()?;
    let news = state.news_for(target.server.as_str());
    let told = tokio::time::timeout(TELL_TIMEOUT, client.tell(news)).await;
    told.ok()?.ok()
}
