//! News of the list of servers from another entry.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use domain::{
    list_relay::{ListCursor, RelayRule},
    server_registry::RegistryChange,
};
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use tokio::time::{Instant, timeout};
use wire::entry_peer::{ChangeFault, ChangesReply, EntryPeerClient};

use crate::front_state::{ENTRY_LIFETIME, FrontState};

/// Why an entry is not followed for a while.
#[derive(Debug, Display)]
enum FollowFault {
    /// It told nothing in time.
    #[display("silent")]
    Silent,
    /// The store tells it nothing.
    #[display("nothing")]
    Nothing,
    /// It does not know that far back.
    #[display("history_gone")]
    HistoryGone,
    /// Its news are too old.
    #[display("old")]
    Old,
    /// Its news cannot be read.
    #[display("{_0}")]
    Unreadable(ChangeFault),
    /// It cannot be asked.
    #[display("{_0}")]
    Call(ClientError),
}

/// News with the changes that they bring.
type ToldNews = (ListCursor, Vec<RegistryChange>);

/// Asks the entry that this one follows.
#[derive(Debug, Default)]
pub(crate) struct ListFollower {
    client: Option<(SocketAddr, Arc<HttpClient>)>,
    doubted: HashMap<SocketAddr, Instant>,
}

impl ListFollower {
    /// News after what is known, from the first entry that may be followed; none
    /// if there is no such entry or it told nothing in time.
    pub(crate) async fn ask(&mut self, state: &FrontState, known: ListCursor) -> Option<ToldNews> {
        let now = Instant::now();
        let leader = self.leader(state, now)?;
        let rule = state.relay_rule();
        let asked = self.request(leader, known);
        let told = match timeout(rule.reply_timeout(known, now), asked).await {
            Ok(Ok(reply)) => take_reply(reply, rule),
            Ok(Err(error)) => Err(FollowFault::Call(error)),
            Err(_) => Err(FollowFault::Silent),
        };
        told.inspect_err(|fault| {
            log::info!(peer:% = leader, reason:% = fault; "entry not followed");
            let now = Instant::now();
            self.doubted.retain(|_, until| *until > now);
            self.doubted.insert(leader, rule.backoff_until(now));
        })
        .ok()
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
            .leaders(&settings.domain, &settings.name, ENTRY_LIFETIME, now)
            .find(|leader| self.doubted.get(leader).is_none_or(|until| *until <= now))
    }

    async fn request(
        &mut self,
        leader: SocketAddr,
        known: ListCursor,
    ) -> Result<ChangesReply, ClientError> {
        let client = match self.client.take_if(|(asked, _)| *asked == leader) {
            Some((_, client)) => client,
            None => Arc::new(HttpClientBuilder::default().build(format!("http://{leader}"))?),
        };
        self.client = Some((leader, Arc::clone(&client)));
        client
            .changes(known.newest_row_version, known.read_version)
            .await
    }
}

fn take_reply(reply: ChangesReply, rule: RelayRule) -> Result<ToldNews, FollowFault> {
    let (version, read, age_ms, changes) = match reply {
        ChangesReply::Changes {
            version,
            read,
            age_ms,
            changes,
        } => (version, read, age_ms, changes),
        ChangesReply::HistoryGone => return Err(FollowFault::HistoryGone),
        ChangesReply::Nothing => return Err(FollowFault::Nothing),
    };
    let now = Instant::now();
    let age = Duration::from_millis(age_ms);
    let news = ListCursor {
        newest_row_version: version,
        read_version: read,
        observed_at: now.checked_sub(age).ok_or(FollowFault::Old)?,
    };
    if !rule.is_fresh(news, now) {
        return Err(FollowFault::Old);
    }
    let changes = changes.into_iter().map(RegistryChange::try_from);
    let changes: Result<Vec<_>, _> = changes.collect();
    Ok((news, changes.map_err(FollowFault::Unreadable)?))
}
