//! News of the list of servers from another entry.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use domain::{list_relay::ListNews, server_registry::RegistryChange};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::time::{Instant, timeout};
use wire::entry_peer::{ChangesReply, EntryPeerClient};

use crate::front_state::{FrontState, ROSTER_LIFETIME};

/// Asks the entries that this one follows.
#[derive(Debug, Default)]
pub(crate) struct ListFollower {
    clients: HashMap<SocketAddr, Arc<HttpClient>>,
    doubted: HashMap<SocketAddr, Instant>,
}

impl ListFollower {
    /// News after what is known, from the first entry that may be followed; none
    /// if there is no such entry or it told nothing in time.
    pub(crate) async fn ask(
        &mut self,
        state: &FrontState,
        known: ListNews,
    ) -> Option<(ListNews, Vec<RegistryChange>)> {
        let now = Instant::now();
        let leader = self.leader(state, now)?;
        let rule = state.relay_rule();
        let asked = self.request(leader, known.version);
        let told = timeout(rule.patience(known, now), asked).await;
        let now = Instant::now();
        let outcome = match told {
            Ok(Ok(ChangesReply::Changes {
                version,
                read,
                age_ms,
                changes,
            })) => {
                let age = Duration::from_millis(age_ms);
                let news = ListNews {
                    version,
                    read,
                    said: now.checked_sub(age).unwrap_or(now),
                };
                let changes: Result<Vec<_>, _> =
                    changes.into_iter().map(RegistryChange::try_from).collect();
                match changes {
                    Ok(changes) if rule.is_fresh(news, now) => return Some((news, changes)),
                    Ok(_) => "old".to_owned(),
                    Err(error) => error.to_string(),
                }
            }
            Ok(Ok(ChangesReply::HistoryGone)) => "history_gone".to_owned(),
            Ok(Ok(ChangesReply::Nothing)) => "nothing".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "silent".to_owned(),
        };
        log::info!(peer:% = leader, reason = outcome.as_str(); "entry not followed");
        self.doubted.insert(leader, rule.doubted_until(now));
        None
    }

    /// Whether there is an entry that may be followed.
    pub(crate) fn has_leader(&self, state: &FrontState) -> bool {
        self.leader(state, Instant::now()).is_some()
    }

    fn leader(&self, state: &FrontState, now: Instant) -> Option<SocketAddr> {
        let settings = state.settings.load();
        // An entry that answers nobody follows nobody.
        settings.peer?;
        let roster = state.roster.load();
        roster
            .leaders(&settings.domain, &settings.name, ROSTER_LIFETIME, now)
            .find(|leader| self.doubted.get(leader).is_none_or(|until| *until <= now))
    }

    async fn request(
        &mut self,
        leader: SocketAddr,
        since: u64,
    ) -> Result<ChangesReply, jsonrpsee::core::ClientError> {
        let client = match self.clients.get(&leader) {
            Some(client) => Arc::clone(client),
            None => {
                let client =
                    Arc::new(HttpClientBuilder::default().build(format!("http://{leader}"))?);
                self.clients.insert(leader, Arc::clone(&client));
                client
            }
        };
        client.changes(since).await
    }
}
