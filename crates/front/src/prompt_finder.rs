//! Finding the server that holds a prompt in its memory.
//!
//! One task owns the index of what servers hold and takes it anew when it is
//! too old, so that streams that come back together cost one search.

use std::{collections::HashMap, sync::Arc, time::Duration};

use domain::{
    PromptPart, ServiceName,
    prompt_cache::{CachedPrompt, PromptIndex, servers_to_query},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout},
};

use crate::{front_state::FrontState, server_call::list_held};

/// Questions that wait; more than an entry of today's sites has open streams.
const QUESTIONS_MAX: usize = 256;
/// Time for the answers of all servers: they take 2 to 10 ms, and a caller's
/// stream waits.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Asks the task that owns the index.
#[derive(Debug)]
pub struct PromptFinder {
    questions: mpsc::Sender<PromptQuery>,
}

/// Questions that [`serve_prompt_queries`] answers.
#[derive(Debug)]
pub struct PromptQueries(mpsc::Receiver<PromptQuery>);

#[derive(Debug)]
struct PromptQuery {
    service: ServiceName,
    part: PromptPart,
    answer: oneshot::Sender<Option<CachedPrompt>>,
}

impl PromptFinder {
    /// A finder and the questions that it will ask.
    pub fn new() -> (Self, PromptQueries) {
        let (questions, receiver) = mpsc::channel(QUESTIONS_MAX);
        (Self { questions }, PromptQueries(receiver))
    }

    /// Server that holds a part of a prompt.
    pub(crate) async fn find(
        &self,
        service: &ServiceName,
        part: &PromptPart,
    ) -> Option<CachedPrompt> {
        let (answer, held) = oneshot::channel();
        let question = PromptQuery {
            service: service.clone(),
            part: part.clone(),
            answer,
        };
        if self.questions.try_send(question).is_err() {
            log::warn!("too many searches for prompts, one left out");
            return None;
        }
        held.await.ok().flatten()
    }
}

/// Answer questions from now on.
pub fn serve_prompt_queries(state: &Arc<FrontState>, questions: PromptQueries) {
    let state = Arc::clone(state);
    tokio::spawn(async move { answer_all(&state, questions.0).await });
}

async fn answer_all(state: &FrontState, mut questions: mpsc::Receiver<PromptQuery>) {
    let mut indexes: HashMap<ServiceName, PromptIndex> = HashMap::new();
    while let Some(question) = questions.recv().await {
        let index = indexes.entry(question.service.clone()).or_default();
        if !index.is_fresh(Instant::now()) {
            *index = take_index(state, &question.service).await;
        }
        // The caller may have left in this moment.
        let _ = question.answer.send(index.find(&question.part));
    }
}

/// Ask servers what they hold; those that do not answer in time hold nothing.
async fn take_index(state: &FrontState, service: &ServiceName) -> PromptIndex {
    let started = Instant::now();
    let registry = state.registry.load_full();
    let mut index = PromptIndex::new(started);
    let mut answers: FuturesUnordered<_> =
        servers_to_query(registry.ready_servers(service), started)
            .map(|server| async move { (server.record().address, list_held(state, server).await) })
            .collect();
    let asked = answers.len();
    let mut failures = 0_u64;
    let collected = async {
        while let Some((address, held)) = answers.next().await {
            match held {
                Ok(parts) => index.add(address, parts),
                Err(error) => {
                    failures += 1;
                    log::debug!(address:% = address, error:%; "server did not list its memory");
                }
            }
        }
    };
    let in_time = timeout(SEARCH_TIMEOUT, collected).await.is_ok();
    log::info!(
        service = service.as_str(),
        servers = asked,
        failures = failures,
        in_time = in_time,
        waited_ms = started.elapsed().as_millis() as u64;
        "memory of servers listed"
    );
    index
}
