//! Streams: relays events to the caller as they arrive, from several servers in
//! turn if necessary.
//!
//! A task owns each stream from its first send to its last event. It passes
//! events on through a bounded channel, which applies backpressure to the server
//! when the caller reads slowly and is closed when the caller disconnects.

mod cost_record;
mod event_flow;
mod server_search;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    crash_evidence::{AnswerProgress, HoldVerdict},
    entry_drain::DrainPhase,
    event_relay::{EventCursor, StreamTimeouts},
    kv_placement::{EngineEstimate, PaceMonitor, RouteEstimate},
    prompt_cache::CachedPrompt,
    retry_share::{OpenStream, RetryShare},
    run_evidence::{NextStep, SendOutcome, next_step},
    server_registry::{RegisteredServer, WorkSize},
};
use platform::server_request::KvSource;
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use self::cost_record::Prefill;
use crate::{
    call_run::{entry_reply, judge_request, outcome_label, relayed_reply},
    copy_manager::{CopyManager, KvCopy},
    crash_watch::report_crash,
    front_state::FrontState,
    reply::{CallerReply, ReplyReason, StreamChunk, stream_reply},
    return_watch::watch_for_return,
    rollout_answers::StreamWatch,
    routed_request::RoutedRequest,
    server_exchange::{ServerAnswer, ServerLoss, send, wait_until_lost},
    service_admission::ServiceAdmission,
};

/// Capacity of the channel to the caller. A chunk holds the events that arrived
/// from the server together.
const MAX_QUEUED_CHUNKS: usize = 16;
/// Time for which a server is suspect after its first stream that broke off or
/// fell silent: a third of the length of a crash of 1.2 s. A failed
/// send uses the constant of the same name in `server_exchange`.
const SUSPECT_BASE: Duration = Duration::from_millis(400);
/// Longest wait of a stream that lost its server for room in the retry budget. Its
/// caller would need longer to come back, and its prompt would be read again.
const RETRY_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Starts a stream and waits for the head of its answer.
pub(crate) async fn run_stream(state: Arc<FrontState>, request: RoutedRequest) -> CallerReply {
    let (head, head_receiver) = oneshot::channel();
    let (chunks, chunk_receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let request = Arc::new(request);
    let run = StreamRun::new(Arc::clone(&state), Arc::clone(&request), head, chunks);
    tokio::spawn(run.run());
    match head_receiver.await {
        Ok(StreamHead::Streaming(parts)) => stream_reply(*parts, chunk_receiver),
        Ok(StreamHead::Buffered(reply)) => *reply,
        Err(_) => entry_reply(&state, &request, ReplyReason::Timeout),
    }
}

/// Start of the reply to the caller.
enum StreamHead {
    Streaming(Box<http::response::Parts>),
    Buffered(Box<CallerReply>),
}

/// How one attempt ended.
enum AttemptEnd {
    /// The caller has received the complete stream.
    Complete,
    /// The server's answer is not a stream; the caller has received it.
    Answered,
    /// A part of the prompt was held back while the stream waited for its answer.
    HeldBack,
    /// The send ended with this outcome, and the next step is still to be decided.
    Ended(SendOutcome),
}

struct StreamRun {
    state: Arc<FrontState>,
    request: Arc<RoutedRequest>,
    head: Option<oneshot::Sender<StreamHead>>,
    chunks: mpsc::Sender<StreamChunk>,
    share: Arc<RetryShare>,
    /// Counts as open until the run ends.
    _open: OpenStream,
    engines: Arc<EngineEstimate>,
    admission: Arc<ServiceAdmission>,
    /// Random number that decides whether the stream is refused for more urgent ones.
    admission_draw: f64,
    /// Whether it was admitted as one of the least share of its class.
    is_reserved: bool,
    estimate: Arc<RouteEstimate>,
    cursor: EventCursor,
    copy: Option<KvCopy>,
    cached: Option<CachedPrompt>,
    tried: Vec<SocketAddr>,
    last_chunk_at: Option<Instant>,
    timing: StreamTiming,
    /// Pace of the events of the present attempt.
    pace: PaceMonitor,
    /// Progress of the present attempt.
    progress: AnswerProgress,
    /// Whether the present attempt is a trial of a part that is held back.
    is_trial: bool,
    /// The present answer as evidence about the version of its server.
    answer: StreamWatch,
}

/// Timing of a stream as seen by its caller.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTiming {
    first_event: Option<Duration>,
    longest_gap: Duration,
}

impl StreamRun {
    fn new(
        state: Arc<FrontState>,
        request: Arc<RoutedRequest>,
        head: oneshot::Sender<StreamHead>,
        chunks: mpsc::Sender<StreamChunk>,
    ) -> Self {
        let share = state.retry_share(&request.service);
        share.record_request(Instant::now());
        let admission = state.admission.service(&request.service);
        if request.class.is_some() {
            admission.teams.record(request.team.as_ref());
        }
        Self {
            _open: share.open_stream(),
            share,
            admission,
            admission_draw: rand::rng().random(),
            is_reserved: false,
            engines: state.costs.engine(&request.service),
            estimate: state.costs.route(&request.service, &request.route.name),
            cursor: EventCursor::new(request.position),
            state,
            request,
            head: Some(head),
            chunks,
            copy: None,
            cached: None,
            tried: Vec::new(),
            last_chunk_at: None,
            timing: StreamTiming::default(),
            pace: PaceMonitor::default(),
            progress: AnswerProgress::default(),
            is_trial: false,
            answer: StreamWatch::default(),
        }
    }

    async fn run(mut self) {
        let caller = self.chunks.clone();
        let state = Arc::clone(&self.state);
        let request = Arc::clone(&self.request);
        let outcome = tokio::select! {
            outcome = self.run_attempts() => outcome,
            () = caller.closed() => "caller_left",
            () = sleep_until(request.deadline) => {
                self.abort(ReplyReason::Timeout);
                "timeout"
            }
            () = state.drain.wait_phase(DrainPhase::Cutting) => {
                self.abort(ReplyReason::Closing);
                "drained"
            }
        };
        // A server has room again, if it ran the stream.
        state
            .admission
            .service(&request.service)
            .wait_room
            .signal_room();
        state.metrics.requests.with_label_values(&[outcome]).inc();
        let budget = request.sends.budget();
        log::info!(
            request = request.id.as_str(),
            route = request.route.name.as_ref(),
            urgency:% = request.urgency,
            outcome = outcome,
            age_ms = request.received.elapsed().as_millis() as u64,
            runs = budget.runs,
            rejected = budget.rejected,
            first_ms:? = self.timing.first_event.map(|first| first.as_millis()),
            gap_ms = self.timing.longest_gap.as_millis() as u64,
            position:? = self.cursor.last_delivered();
            "stream ended"
        );
    }

    async fn run_attempts(&mut self) -> &'static str {
        if self.request.position.is_some() {
            self.search_prompt().await;
        }
        loop {
            if self.request.remaining(Instant::now()).is_zero() {
                self.abort(ReplyReason::Timeout);
                return "timeout";
            }
            // A trial goes on until a server may have run it.
            if !self.is_trial || self.request.sends.budget().runs > 0 {
                let verdict = judge_request(&self.state, &self.request);
                if matches!(verdict, HoldVerdict::Held(_)) {
                    self.abort(ReplyReason::CrashesServers);
                    return "held_back";
                }
                self.is_trial = matches!(verdict, HoldVerdict::Trial(_));
            }
            let server = match self.next_server().await {
                Ok(server) => server,
                Err(reason) => {
                    self.abort(reason);
                    return "no_server";
                }
            };
            let outcome = match self.attempt(&server).await {
                AttemptEnd::Complete => {
                    let server_error = false;
                    self.answer
                        .finish(&self.state, SendOutcome::Answered { server_error });
                    self.record_output();
                    // Fails if the caller has disconnected in the meantime.
                    let _ = self.chunks.send(StreamChunk::End).await;
                    return "complete";
                }
                AttemptEnd::Answered => return "answered",
                AttemptEnd::HeldBack if self.request.sends.may_refuse() => continue,
                AttemptEnd::HeldBack => {
                    self.abort(ReplyReason::CrashesServers);
                    return "held_back";
                }
                AttemptEnd::Ended(outcome) => outcome,
            };
            self.state
                .metrics
                .sends
                .with_label_values(&[outcome_label(outcome)])
                .inc();
            self.request.sends.record(outcome);
            self.answer.finish(&self.state, outcome);
            if outcome == SendOutcome::Broken {
                self.report_crash(&server).await;
            }
            if outcome != SendOutcome::Rejected || server.is_superseded() {
                watch_for_return(&self.state, &server);
            }
            self.tried.push(server.record().address);
            // A server that rejected the request because it is full still has the
            // prompt, and another server can fetch it from there. A misdirected
            // request also counts as rejected and keeps the cached prompt, although
            // the new instance may not have it.
            if outcome != SendOutcome::Rejected {
                self.cached
                    .take_if(|cached| cached.address == server.record().address);
            }
            let budget = self.request.sends.budget();
            let step = next_step(self.request.route.kind, outcome, &budget);
            let is_retry = step == NextStep::Retry
                && (!outcome.reached_server() || self.wait_for_retry().await);
            log::info!(
                request = self.request.id.as_str(),
                server = server.record().instance.as_str(),
                outcome = outcome_label(outcome),
                position:? = self.cursor.last_delivered(),
                parts:? = self.request.shared_parts,
                head_ms:? = self.progress.head_at.map(|at| at.elapsed().as_millis()),
                begun_ms:? = self.progress.first_event_at.map(|at| at.elapsed().as_millis()),
                again = is_retry;
                "stream lost its server"
            );
            if !is_retry {
                let reason = match step {
                    NextStep::Refuse => ReplyReason::NoServer,
                    NextStep::Retry => ReplyReason::NoBudget,
                    _ if self.request.route.kind.is_idempotent() => ReplyReason::NoServer,
                    _ => ReplyReason::OutcomeUnknown,
                };
                self.abort(reason);
                return "failed";
            }
            self.state
                .metrics
                .resumes
                .with_label_values(&[outcome_label(outcome)])
                .inc();
        }
    }

    /// Takes a retry from the budget, and waits for one for a limited time.
    async fn wait_for_retry(&self) -> bool {
        let limit = self.request.deadline.min(Instant::now() + RETRY_WAIT_MAX);
        self.state.wait_for_retry(&self.share, limit).await
    }

    /// Sends the entry's own reply if no head has been sent. Otherwise the chunk
    /// channel closes without an end marker, which the caller sees as an aborted
    /// response.
    fn abort(&mut self, reason: ReplyReason) {
        let Some(head) = self.head.take() else {
            return;
        };
        let reply = entry_reply(&self.state, &self.request, reason);
        // Fails if the caller has disconnected in the meantime.
        let _ = head.send(StreamHead::Buffered(Box::new(reply)));
    }

    /// Waits until a server that is silent since `silent_since` counts as lost. A
    /// stream that runs at most once is not ended because of silence alone. One that
    /// no other server may continue stays at a silent server that is reachable.
    async fn wait_until_lost(
        &self,
        server: &RegisteredServer,
        timeouts: StreamTimeouts,
        silent_since: Instant,
    ) {
        if !self.request.route.kind.is_idempotent() {
            return std::future::pending().await;
        }
        loop {
            match wait_until_lost(&self.state, server, timeouts, silent_since).await {
                ServerLoss::Unreachable => return,
                ServerLoss::Hung if self.may_move() => {
                    log::info!(
                        request = self.request.id.as_str(),
                        server = server.record().instance.as_str(),
                        silent_ms = silent_since.elapsed().as_millis() as u64;
                        "silence exceeded the hang timeout"
                    );
                    return;
                }
                ServerLoss::Hung => {}
            }
        }
    }

    /// Reports the end of a server that broke the answer off at its beginning.
    async fn report_crash(&self, server: &RegisteredServer) {
        let parts = &self.request.shared_parts;
        let Some(begun_at) = self.progress.head_at else {
            return;
        };
        if self.progress.is_beginning(Instant::now()) {
            report_crash(&self.state, server, parts, begun_at).await;
        }
    }

    /// Whether another server may continue the stream if this one is given up.
    fn may_move(&self) -> bool {
        let budget = self.request.sends.budget();
        next_step(self.request.route.kind, SendOutcome::Silent, &budget) == NextStep::Retry
            && self.state.has_retry(&self.share)
    }

    /// Number of prompt tokens in the KV cache of a server, or else the server
    /// from which it can fetch them.
    fn cached_tokens(&self, server: &RegisteredServer) -> (u64, Option<SocketAddr>) {
        match self.cached {
            Some(cached) if cached.address == server.record().address => (cached.tokens, None),
            cached => (0, cached.map(|cached| cached.address)),
        }
    }

    async fn attempt(&mut self, server: &Arc<RegisteredServer>) -> AttemptEnd {
        let now = Instant::now();
        self.progress = AnswerProgress::default();
        let request = Arc::clone(&self.request);
        let tokens = self.tokens();
        let copy = self
            .copy
            .take()
            .filter(|copy| copy.holder == server.record().address);
        let holder = self.reserve_copy_holder(server);
        let (cached_tokens, fetch) = self.cached_tokens(server);
        let prefill_tokens = if copy.is_some() {
            0
        } else {
            tokens.prompt.saturating_sub(cached_tokens)
        };
        self.engines.record_prompt(prefill_tokens);
        self.answer = StreamWatch::begin(&self.state, server, &request);
        self.engines.record_kv(tokens.total());
        let is_local = copy.is_none() && fetch.is_none();
        let usual = is_local.then(|| self.usual_first_event(server, prefill_tokens));
        let mut work = server.reserve(WorkSize {
            requests: 1,
            prompt_tokens: prefill_tokens,
            kv_tokens: tokens.total(),
            ..WorkSize::default()
        });
        let mut order = request.order(server, now);
        if let Some(rank) = self.server_rank() {
            self.admission.mix.record(rank);
            order.priority = Some(rank.into());
        }
        order.position = self.cursor.last_delivered();
        order.kv_backup = holder.as_ref().map(|(holder, _)| holder.record().address);
        order.kv_source = copy.as_ref().map(|copy| KvSource {
            address: copy.named_at,
            name: &copy.name,
        });
        order.kv_fetch = fetch;
        log::info!(
            request = request.id.as_str(),
            server = server.record().instance.as_str(),
            domain = server.record().domain.as_str(),
            backup:? = order.kv_backup,
            copy = order.kv_source.is_some(),
            held_tokens = cached_tokens,
            fetch:? = order.kv_fetch,
            position:? = order.position,
            parts:? = request.shared_parts,
            running = server.running(),
            prompt_tokens = server.prompt_tokens(),
            speed_percent = server.speed().ratio_percent(now);
            "stream sent"
        );
        let timeouts = StreamTimeouts::before_first_event(request.route.latency_target);
        let sent = tokio::select! {
            sent = send(&self.state, server, &request, &order, request.deadline) => sent,
            () = self.wait_until_lost(server, timeouts, now) => {
                server.note_failure(Instant::now(), SUSPECT_BASE);
                Err(SendOutcome::Silent)
            }
            () = self.state.crash_watch.wait_held(&request.shared_parts), if !self.is_trial => {
                return AttemptEnd::HeldBack;
            }
        };
        match sent {
            Err(outcome) => AttemptEnd::Ended(outcome),
            Ok(answer) if answer.success => {
                self.progress.head_at = Some(Instant::now());
                let copies = CopyManager::new(&self.state, &request.id, server, holder);
                let prefill = Prefill {
                    tokens: prefill_tokens,
                    sent_at: now,
                    usual: usual.flatten(),
                };
                let end = self.relay(server, answer, &mut work, copies, prefill).await;
                self.record_pace(server);
                end
            }
            Ok(answer) => self.handle_error_answer(server, answer).await,
        }
    }

    /// Returns an answer that is not a stream to the caller, unless the stream
    /// has started or another server is to be tried.
    async fn handle_error_answer(
        &mut self,
        server: &RegisteredServer,
        answer: ServerAnswer,
    ) -> AttemptEnd {
        let server_error = answer.server_error;
        self.answer
            .finish(&self.state, SendOutcome::Answered { server_error });
        let outcome = SendOutcome::Answered { server_error };
        let budget = self.request.sends.budget();
        let is_retry = next_step(self.request.route.kind, outcome, &budget) == NextStep::Retry;
        if self.head.is_none() || is_retry {
            return AttemptEnd::Ended(outcome);
        }
        match answer
            .read_whole(&self.state, server, self.request.deadline)
            .await
        {
            Err(outcome) => AttemptEnd::Ended(outcome),
            Ok(answer) => {
                let reply = relayed_reply(&self.state, &self.request, answer);
                let reply = Box::new(reply);
                if let Some(head) = self.head.take() {
                    // Fails if the caller has disconnected in the meantime.
                    let _ = head.send(StreamHead::Buffered(reply));
                }
                AttemptEnd::Answered
            }
        }
    }
}
