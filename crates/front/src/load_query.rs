//! Queries of the present load of several servers at once.

use std::{sync::Arc, time::Duration};

use domain::server_registry::RegisteredServer;
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, timeout_at};

use crate::{front_state::FrontState, server_call::query_load};

/// Time limit for the answers: a new connection and a round trip between failure
/// domains take some 5 ms at the users' sites.
const QUERY_TIMEOUT: Duration = Duration::from_millis(40);

/// Queries the load of servers and returns those that answered in time and take
/// requests.
pub(crate) async fn query_loads<'a>(
    state: &Arc<FrontState>,
    servers: &'a [Arc<RegisteredServer>],
    health_path: &str,
) -> Vec<&'a Arc<RegisteredServer>> {
    let limit = Instant::now() + QUERY_TIMEOUT;
    let mut queries: FuturesUnordered<_> = servers
        .iter()
        .map(|server| async move {
            let is_usable = query_load(state, server, health_path).await;
            is_usable.then_some(server)
        })
        .collect();
    let mut usable = Vec::with_capacity(servers.len());
    while let Ok(Some(answered)) = timeout_at(limit, queries.next()).await {
        usable.extend(answered);
    }
    usable
}
