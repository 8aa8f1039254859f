//! Streams: events handed on as they come, over several servers if need be.
//!
//! A task owns each stream from its first send to its last event. The caller's
//! side is a bounded channel: it holds the server back when the caller reads
//! slowly, and its closing tells that the caller has left.

mod event_flow;
mod server_search;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    event_relay::{EventCursor, StreamTimeouts},
    kv_placement::TokenCounts,
    prompt_cache::CachedPrompt,
    retry_share::RetryShare,
    run_evidence::{NextStep, SendBudget, SendOutcome, next_step},
    server_registry::{RegisteredServer, WorkSize},
};
use platform::worker_request::KvSource;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    call_run::{own, send_name},
    copy_manager::{CopyManager, KvCopy},
    front_state::FrontState,
    reply::{CallerReply, ReplyReason, StreamChunk, buffered_reply, stream_reply},
    return_watch::watch_return,
    routed_request::RoutedRequest,
    server_exchange::{ServerAnswer, send, until_lost},
};

/// Pieces that wait for the caller; one holds what the server sent at once.
const PIECES_MAX: usize = 16;
/// Time for which a server whose stream broke off is avoided at first: a third
/// of a crash at today's sites.
const BROKEN_PAUSE: Duration = Duration::from_millis(400);
/// Tokens of a request that does not tell, a usual prompt of today's sites.
const TOKENS_DEFAULT: TokenCounts = TokenCounts {
    prompt: 8_000,
    output: 1_000,
};

/// Start a stream and wait for the head of its answer.
pub(crate) async fn run_stream(state: Arc<FrontState>, task: RoutedRequest) -> CallerReply {
    let (head, head_receiver) = oneshot::channel();
    let (pieces, piece_receiver) = mpsc::channel(PIECES_MAX);
    let task = Arc::new(task);
    let run = StreamRun::new(Arc::clone(&state), Arc::clone(&task), head, pieces);
    tokio::spawn(run.run());
    match head_receiver.await {
        Ok(StreamHead::Streaming(parts)) => stream_reply(*parts, piece_receiver),
        Ok(StreamHead::Whole(reply)) => *reply,
        Err(_) => own(&state, &task, ReplyReason::Timeout),
    }
}

/// Beginning of the answer to the caller.
enum StreamHead {
    Streaming(Box<http::response::Parts>),
    Whole(Box<CallerReply>),
}

/// How one attempt ended.
enum AttemptEnd {
    /// The caller has everything.
    Complete,
    /// The server's answer is no stream; the caller has it.
    Answered,
    /// To be judged.
    Ended(SendOutcome),
}

struct StreamRun {
    state: Arc<FrontState>,
    task: Arc<RoutedRequest>,
    head: Option<oneshot::Sender<StreamHead>>,
    pieces: mpsc::Sender<StreamChunk>,
    share: Arc<RetryShare>,
    ledger: EventCursor,
    budget: SendBudget,
    copy: Option<KvCopy>,
    held: Option<CachedPrompt>,
    last_failed: Vec<SocketAddr>,
    last_piece: Option<Instant>,
    pace: StreamPace,
}

/// How a stream came, as its caller saw it.
#[derive(Clone, Copy, Debug, Default)]
struct StreamPace {
    first: Option<Duration>,
    longest_gap: Duration,
}

impl StreamRun {
    fn new(
        state: Arc<FrontState>,
        task: Arc<RoutedRequest>,
        head: oneshot::Sender<StreamHead>,
        pieces: mpsc::Sender<StreamChunk>,
    ) -> Self {
        let share = state.retry_share(&task.service);
        share.record_request(Instant::now());
        Self {
            share,
            ledger: EventCursor::new(task.position),
            budget: SendBudget::new(task.route.attempts, task.route.kind),
            state,
            task,
            head: Some(head),
            pieces,
            copy: None,
            held: None,
            last_failed: Vec::new(),
            last_piece: None,
            pace: StreamPace::default(),
        }
    }

    async fn run(mut self) {
        let caller = self.pieces.clone();
        let state = Arc::clone(&self.state);
        let task = Arc::clone(&self.task);
        let cutting_after = state.drain_times().cutting_after();
        let outcome = tokio::select! {
            outcome = self.drive() => outcome,
            () = caller.closed() => "caller_left",
            () = sleep_until(task.deadline) => {
                self.give_up(ReplyReason::Timeout);
                "timeout"
            }
            () = state.drain.wait_elapsed(cutting_after) => {
                self.give_up(ReplyReason::Closing);
                "drained"
            }
        };
        state.metrics.requests.with_label_values(&[outcome]).inc();
        log::info!(
            request = task.id.as_str(),
            route = task.route.name.as_ref(),
            outcome = outcome,
            age_ms = task.received.elapsed().as_millis() as u64,
            runs = self.budget.runs,
            rejected = self.budget.rejected,
            first_ms:? = self.pace.first.map(|first| first.as_millis()),
            gap_ms = self.pace.longest_gap.as_millis() as u64,
            position:? = self.ledger.last_delivered();
            "stream ended"
        );
    }

    async fn drive(&mut self) -> &'static str {
        if self.task.position.is_some() {
            self.search_prompt().await;
        }
        loop {
            if self.task.left(Instant::now()).is_zero() {
                self.give_up(ReplyReason::Timeout);
                return "timeout";
            }
            let Some(server) = self.next_server().await else {
                self.give_up(ReplyReason::NoServer);
                return "no_server";
            };
            let end = match self.attempt(&server).await {
                AttemptEnd::Complete => {
                    // The caller may have left in this moment.
                    let _ = self.pieces.send(StreamChunk::End).await;
                    return "complete";
                }
                AttemptEnd::Answered => return "answered",
                AttemptEnd::Ended(end) => end,
            };
            self.state
                .metrics
                .sends
                .with_label_values(&[send_name(end)])
                .inc();
            self.budget.record(end);
            if end != SendOutcome::Rejected || server.is_superseded() {
                watch_return(&self.state, &server);
            }
            self.last_failed.push(server.record().address);
            // One that is full still has the prompt; another may fetch it.
            if end != SendOutcome::Rejected {
                self.held
                    .take_if(|held| held.address == server.record().address);
            }
            let step = next_step(self.task.route.kind, end, &self.budget);
            let again = step == NextStep::Retry
                && (!end.reached_server() || self.state.spend_retry(&self.share));
            log::info!(
                request = self.task.id.as_str(),
                server = server.record().instance.as_str(),
                outcome = send_name(end),
                position:? = self.ledger.last_delivered(),
                again = again;
                "stream lost its server"
            );
            if !again {
                let reason = match step {
                    NextStep::Refuse => ReplyReason::NoServer,
                    NextStep::Retry => ReplyReason::NoBudget,
                    _ if self.task.route.kind.is_idempotent() => ReplyReason::NoServer,
                    _ => ReplyReason::OutcomeUnknown,
                };
                self.give_up(reason);
                return "failed";
            }
            self.state
                .metrics
                .resumes
                .with_label_values(&[send_name(end)])
                .inc();
        }
    }

    /// Answer by ourselves if no head has gone out; else the channel closes
    /// without an end, which the caller sees as a cut.
    fn give_up(&mut self, reason: ReplyReason) {
        let Some(head) = self.head.take() else {
            return;
        };
        let may_refuse = self.budget.runs == 0 || self.task.route.kind.is_idempotent();
        let reason = if reason.is_refusal() && !may_refuse {
            ReplyReason::OutcomeUnknown
        } else {
            reason
        };
        let reply = own(&self.state, &self.task, reason);
        // The caller may have left in this moment.
        let _ = head.send(StreamHead::Whole(Box::new(reply)));
    }

    /// Wait until a silent server is lost. A stream that runs once is not ended
    /// for silence alone.
    async fn lost(&self, server: &RegisteredServer, patience: StreamTimeouts) {
        if self.task.route.kind.is_idempotent() {
            until_lost(&self.state, server, patience).await;
        } else {
            std::future::pending().await
        }
    }

    fn tokens(&self) -> TokenCounts {
        self.task.tokens.unwrap_or(TOKENS_DEFAULT)
    }

    /// Tokens of the prompt that a server has in its memory, or else the server
    /// from which it fetches them.
    fn memory_for(&self, server: &RegisteredServer) -> (u64, Option<SocketAddr>) {
        match self.held {
            Some(held) if held.address == server.record().address => (held.tokens, None),
            held => (0, held.map(|held| held.address)),
        }
    }

    async fn attempt(&mut self, server: &Arc<RegisteredServer>) -> AttemptEnd {
        let now = Instant::now();
        let task = Arc::clone(&self.task);
        let tokens = self.tokens();
        let copy = self
            .copy
            .take()
            .filter(|copy| copy.holder == server.record().address);
        let holder = self.choose_holder(server);
        let (known, fetch) = self.memory_for(server);
        let unread = tokens.prompt.saturating_sub(known);
        let mut work = server.reserve(WorkSize {
            requests: 1,
            prompt_tokens: if copy.is_some() { 0 } else { unread },
            kv_tokens: tokens.total(),
        });
        let mut order = task.order(server, now);
        order.position = self.ledger.last_delivered();
        order.backup = holder.as_ref().map(|(holder, _)| holder.record().address);
        order.source = copy.as_ref().map(|copy| KvSource {
            address: copy.named_at,
            name: &copy.name,
        });
        order.fetch = fetch;
        log::info!(
            request = task.id.as_str(),
            server = server.record().instance.as_str(),
            domain = server.record().domain.as_str(),
            backup:? = order.backup,
            copy = order.source.is_some(),
            held_tokens = known,
            fetch:? = order.fetch,
            position:? = order.position,
            running = server.running(),
            prompt_tokens = server.prompt_tokens();
            "stream sent"
        );
        let patience = StreamTimeouts::before_first_event(task.route.latency_target);
        let sent = tokio::select! {
            sent = send(&self.state, server, &task, &order, task.deadline) => sent,
            () = self.lost(server, patience) => {
                server.note_failure(Instant::now(), BROKEN_PAUSE);
                Err(SendOutcome::Silent)
            }
        };
        match sent {
            Err(end) => AttemptEnd::Ended(end),
            Ok(answer) if answer.success => {
                let keeper = CopyManager::new(&task.id, server, holder);
                self.relay(server, answer, &mut work, keeper).await
            }
            Ok(answer) => self.failed_answer(server, answer).await,
        }
    }

    /// An answer that is no stream goes to the caller, unless the stream has
    /// begun or another server may do better.
    async fn failed_answer(
        &mut self,
        server: &RegisteredServer,
        answer: ServerAnswer,
    ) -> AttemptEnd {
        let server_error = answer.server_error;
        let end = SendOutcome::Answered { server_error };
        let mut counted = self.budget;
        counted.record(end);
        let again = next_step(self.task.route.kind, end, &counted) == NextStep::Retry;
        if self.head.is_none() || again {
            return AttemptEnd::Ended(end);
        }
        match answer
            .read_whole(&self.state, server, self.task.deadline)
            .await
        {
            Err(end) => AttemptEnd::Ended(end),
            Ok(whole) => {
                let reply = Box::new(buffered_reply(whole.parts, whole.body));
                if let Some(head) = self.head.take() {
                    // The caller may have left in this moment.
                    let _ = head.send(StreamHead::Whole(reply));
                }
                AttemptEnd::Answered
            }
        }
    }
}
