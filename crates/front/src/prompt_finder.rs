//! Lookup of the server that has a prompt in its KV cache.
//!
//! One task owns the index of the servers' cached prompts and rebuilds it when
//! it is too old. Streams that resume at the same time share one rebuild.

use std::{collections::HashMap, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use domain::{
    PromptPart, ServiceName,
    prompt_cache::{CachedPrompt, PromptIndex, servers_to_query},
};
use futures_util::{FutureExt, StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout},
};

use crate::{front_state::FrontState, server_call::list_cached_prompts};

/// Capacity of the query queue; more than the usual number of open streams of one
/// entry.
const MAX_QUEUED_QUERIES: usize = 256;
/// Time limit for listing the cached prompts of all servers. They answer within
/// 2 to 10 ms, and a caller's stream waits meanwhile.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Client of the task that owns the index.
#[derive(Debug)]
pub struct PromptFinder {
    queries: mpsc::Sender<PromptQuery>,
}

/// Receiver of the queries, to be passed to [`serve_prompt_queries`].
#[derive(Debug)]
pub struct PromptQueries(mpsc::Receiver<PromptQuery>);

#[derive(Debug)]
struct PromptQuery {
    service: ServiceName,
    part: PromptPart,
    reply: oneshot::Sender<Option<CachedPrompt>>,
}

impl PromptFinder {
    /// Creates a finder and the receiver of its queries.
    pub fn new() -> (Self, PromptQueries) {
        let (queries, receiver) = mpsc::channel(MAX_QUEUED_QUERIES);
        (Self { queries }, PromptQueries(receiver))
    }

    /// Finds the server that has a part of a prompt in its KV cache.
    pub(crate) async fn find(
        &self,
        service: &ServiceName,
        part: &PromptPart,
    ) -> Option<CachedPrompt> {
        let (reply, receiver) = oneshot::channel();
        let query = PromptQuery {
            service: service.clone(),
            part: part.clone(),
            reply,
        };
        if self.queries.try_send(query).is_err() {
            log::warn!("cannot queue the prompt query; lookup skipped");
            return None;
        }
        receiver.await.ok().flatten()
    }
}

/// Spawns the task that answers prompt queries.
pub fn serve_prompt_queries(state: &Arc<FrontState>, queries: PromptQueries) {
    let state = Arc::clone(state);
    tokio::spawn(async move { run_queries(&state, queries.0).await });
}

async fn run_queries(state: &FrontState, mut queries: mpsc::Receiver<PromptQuery>) {
    let mut indexes: HashMap<ServiceName, PromptIndex> = HashMap::new();
    while let Some(query) = queries.recv().await {
        let index = indexes.entry(query.service.clone()).or_default();
        if !index.is_fresh(Instant::now()) {
            // A panic costs this index only; the task goes on with the next query.
            let built = AssertUnwindSafe(build_index(state, &query.service)).catch_unwind();
            *index = built.await.unwrap_or_default();
        }
        // Fails if the caller has disconnected in the meantime.
        let _ = query.reply.send(index.find(&query.part));
    }
}

/// Builds an index from the cached prompts that the servers list. Servers that
/// don't answer in time are treated as having none.
async fn build_index(state: &FrontState, service: &ServiceName) -> PromptIndex {
    let started = Instant::now();
    let registry = state.registry.load_full();
    let mut index = PromptIndex::new(started);
    let mut listings: FuturesUnordered<_> =
        servers_to_query(registry.ready_servers(service), started)
            .map(|server| async move {
                (
                    server.record().address,
                    list_cached_prompts(state, server).await,
                )
            })
            .collect();
    let queried = listings.len();
    let mut failures = 0_u64;
    let collected = async {
        while let Some((address, listing)) = listings.next().await {
            match listing {
                Ok(parts) => index.add(address, parts),
                Err(error) => {
                    failures += 1;
                    log::debug!(address:% = address, error:%; "server did not list its cached prompts");
                }
            }
        }
    };
    let in_time = timeout(SEARCH_TIMEOUT, collected).await.is_ok();
    log::info!(
        service = service.as_str(),
        servers = queried,
        failures = failures,
        in_time = in_time,
        waited_ms = started.elapsed().as_millis() as u64;
        "memory of servers listed"
    );
    index
}
