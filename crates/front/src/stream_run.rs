//! Streams: events handed on as they come, over several servers if need be.
//!
//! A task owns each stream from its first send to its last event. The caller's
//! side is a bounded channel: it holds the server back when the caller reads
//! slowly, and its closing tells that the caller has left.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use domain::{
    desired_state::{EngineSpec, RouteKind},
    event_relay::{EventLedger, EventVerdict, StreamPatience},
    kv_placement::{PickQuery, TokenCounts, pick_backup, pick_server},
    retry_share::RetryShare,
    run_evidence::{NextStep, SendBudget, SendEnd, next_step},
    server_registry::{ServerSlot, WorkGuard, WorkSize},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::{event_stream::EventCutter, worker_request::KvSource};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    call_run::{own, send_name},
    call_task::CallTask,
    copy_keeper::{CopyKeeper, KvCopy},
    front_state::FrontState,
    reply::{CallerReply, ReplyReason, StreamPiece, stream_reply, whole_reply},
    return_watch::watch_return,
    worker_exchange::{WorkerAnswer, keep_link, send, until_lost},
};

/// Pieces that wait for the caller; one holds what the server sent at once.
const PIECES_MAX: usize = 16;
/// Time for which a server whose stream broke off is avoided at first: a third
/// of a crash at today's sites.
const BROKEN_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a stream without a latency target looks for a server.
const SEARCH_DEFAULT: Duration = Duration::from_secs(2);
/// Pause before servers are looked for again when there are none.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Tokens of a request that does not tell, a usual prompt of today's sites.
const TOKENS_DEFAULT: TokenCounts = TokenCounts {
    prompt: 8_000,
    output: 1_000,
};

/// Start a stream and wait for the head of its answer.
pub(crate) async fn run_stream(state: Arc<FrontState>, task: CallTask) -> CallerReply {
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
    Ended(SendEnd),
}

struct StreamRun {
    state: Arc<FrontState>,
    task: Arc<CallTask>,
    head: Option<oneshot::Sender<StreamHead>>,
    pieces: mpsc::Sender<StreamPiece>,
    share: Arc<RetryShare>,
    ledger: EventLedger,
    budget: SendBudget,
    copy: Option<KvCopy>,
    last_failed: Vec<SocketAddr>,
    last_piece: Option<Instant>,
}

impl StreamRun {
    fn new(
        state: Arc<FrontState>,
        task: Arc<CallTask>,
        head: oneshot::Sender<StreamHead>,
        pieces: mpsc::Sender<StreamPiece>,
    ) -> Self {
        let share = state.retry_share(&task.service);
        share.note_request(Instant::now());
        Self {
            share,
            ledger: EventLedger::new(task.position),
            budget: SendBudget::new(task.route.attempts, task.route.kind),
            state,
            task,
            head: Some(head),
            pieces,
            copy: None,
            last_failed: Vec::new(),
            last_piece: None,
        }
    }

    async fn run(mut self) {
        let caller = self.pieces.clone();
        let state = Arc::clone(&self.state);
        let task = Arc::clone(&self.task);
        let cut_time = state.drain_times().cut_time();
        let outcome = tokio::select! {
            outcome = self.drive() => outcome,
            () = caller.closed() => "caller_left",
            () = sleep_until(task.deadline) => {
                self.give_up(ReplyReason::Timeout);
                "timeout"
            }
            () = state.drain.reached(cut_time) => {
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
            position:? = self.ledger.last();
            "stream ended"
        );
    }

    async fn drive(&mut self) -> &'static str {
        loop {
            if self.task.left(Instant::now()).is_zero() {
                self.give_up(ReplyReason::Timeout);
                return "timeout";
            }
            let Some(slot) = self.next_server().await else {
                self.give_up(ReplyReason::NoServer);
                return "no_server";
            };
            let end = match self.attempt(&slot).await {
                AttemptEnd::Complete => {
                    // The caller may have left in this moment.
                    let _ = self.pieces.send(StreamPiece::End).await;
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
            self.budget.count(end);
            if end != SendEnd::Rejected {
                watch_return(&self.state, &slot);
            }
            self.last_failed.push(slot.record().address);
            let step = next_step(self.task.route.kind, end, &self.budget);
            let again = step == NextStep::TryAgain
                && (!end.arrived() || self.state.spend_retry(&self.share));
            log::info!(
                request = self.task.id.as_str(),
                server = slot.record().instance.as_str(),
                outcome = send_name(end),
                position:? = self.ledger.last(),
                again = again;
                "stream lost its server"
            );
            if !again {
                let reason = match step {
                    NextStep::Refuse => ReplyReason::NoServer,
                    NextStep::TryAgain => ReplyReason::NoBudget,
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

    fn tokens(&self) -> TokenCounts {
        self.task.tokens.unwrap_or(TOKENS_DEFAULT)
    }

    /// The server with the copy, or the best of all; waits while there is none.
    async fn next_server(&mut self) -> Option<Arc<ServerSlot>> {
        let wait = self.task.route.latency_target.unwrap_or(SEARCH_DEFAULT);
        let limit = self.task.deadline.min(Instant::now() + wait / 2);
        loop {
            let now = Instant::now();
            if let Some(slot) = self.pick(now) {
                return Some(slot);
            }
            self.last_failed.clear();
            if now >= limit {
                return None;
            }
            sleep(SEARCH_PAUSE).await;
        }
    }

    fn pick(&self, now: Instant) -> Option<Arc<ServerSlot>> {
        let registry = self.state.registry.load();
        let servers = registry.servers(&self.task.service);
        if let Some(copy) = &self.copy {
            let holder = servers
                .iter()
                .flat_map(|own| &own.slots)
                .find(|slot| slot.record().address == copy.holder && !slot.is_suspect(now));
            if let Some(holder) = holder {
                return Some(Arc::clone(holder));
            }
        }
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.last_failed, now);
        pick_server(servers, &query, &mut rand::rng()).map(Arc::clone)
    }

    fn query<'a>(
        &self,
        own_domain: &'a domain::DomainName,
        tried: &'a [SocketAddr],
        now: Instant,
    ) -> PickQuery<'a> {
        PickQuery {
            tokens: Some(self.tokens()),
            kv_total: self
                .engine()
                .map_or(u64::MAX / 100, |engine| engine.kv_tokens),
            own_domain,
            tried,
            now,
        }
    }

    fn engine(&self) -> Option<EngineSpec> {
        let desired = self.state.desired.load();
        desired
            .as_ref()?
            .service(&self.task.service)?
            .engine
            .clone()
    }

    /// Whether a server still is what it was when it was chosen.
    fn lives(&self, slot: &ServerSlot) -> bool {
        let registry = self.state.registry.load();
        !slot.is_misdirected() && registry.knows(slot)
    }

    /// A holder for the copy, with its room taken.
    fn choose_holder(&self, primary: &ServerSlot) -> Option<(Arc<ServerSlot>, WorkGuard)> {
        let holder = self.pick_copy_holder(primary)?;
        let room = holder.begin(WorkSize {
            kv_tokens: self.tokens().total(),
            ..WorkSize::default()
        });
        Some((holder, room))
    }

    fn pick_copy_holder(&self, primary: &ServerSlot) -> Option<Arc<ServerSlot>> {
        let backed_up = self.task.route.kind == RouteKind::ResumableStream
            && self.engine().is_some_and(|engine| engine.backups);
        if !backed_up {
            return None;
        }
        let registry = self.state.registry.load();
        let settings = self.state.settings.load();
        let query = self.query(&settings.domain, &self.last_failed, Instant::now());
        let servers = registry.servers(&self.task.service);
        pick_backup(servers, &query, primary, &mut rand::rng()).map(Arc::clone)
    }

    async fn attempt(&mut self, slot: &Arc<ServerSlot>) -> AttemptEnd {
        let now = Instant::now();
        let task = Arc::clone(&self.task);
        let tokens = self.tokens();
        let copy = self
            .copy
            .take()
            .filter(|copy| copy.holder == slot.record().address);
        let holder = self.choose_holder(slot);
        let mut work = slot.begin(WorkSize {
            runs: 1,
            prompt_tokens: if copy.is_some() { 0 } else { tokens.prompt },
            kv_tokens: tokens.total(),
        });
        let mut order = task.order(slot, now);
        order.position = self.ledger.last();
        order.backup = holder.as_ref().map(|(holder, _)| holder.record().address);
        order.source = copy.as_ref().map(|copy| KvSource {
            address: copy.named_at,
            name: &copy.name,
        });
        log::info!(
            request = task.id.as_str(),
            server = slot.record().instance.as_str(),
            domain = slot.record().domain.as_str(),
            backup:? = order.backup,
            copy = order.source.is_some(),
            position:? = order.position,
            running = slot.running(),
            prompt_tokens = slot.prompt_tokens();
            "stream sent"
        );
        let patience = StreamPatience::before_events(task.route.latency_target);
        let sent = tokio::select! {
            sent = send(&self.state, slot, &task, &order, task.deadline) => sent,
            () = until_lost(&self.state, slot, patience) => {
                slot.note_failure(Instant::now(), BROKEN_PAUSE);
                Err(SendEnd::Silent)
            }
        };
        match sent {
            Err(end) => AttemptEnd::Ended(end),
            Ok(answer) if answer.success => {
                let keeper = CopyKeeper::new(&task.id, slot, holder);
                self.relay(slot, answer, &mut work, keeper).await
            }
            Ok(answer) => self.failed_answer(slot, answer).await,
        }
    }

    /// An answer that is no stream goes to the caller, unless the stream has
    /// begun or another server may do better.
    async fn failed_answer(&mut self, slot: &ServerSlot, answer: WorkerAnswer) -> AttemptEnd {
        let server_error = answer.server_error;
        let end = SendEnd::Answered { server_error };
        let mut counted = self.budget;
        counted.count(end);
        let again = next_step(self.task.route.kind, end, &counted) == NextStep::TryAgain;
        if self.head.is_none() || again {
            return AttemptEnd::Ended(end);
        }
        match answer
            .read_whole(&self.state, slot, self.task.deadline)
            .await
        {
            Err(end) => AttemptEnd::Ended(end),
            Ok(whole) => {
                let reply = Box::new(whole_reply(whole.parts, whole.body));
                if let Some(head) = self.head.take() {
                    // The caller may have left in this moment.
                    let _ = head.send(StreamHead::Whole(reply));
                }
                AttemptEnd::Answered
            }
        }
    }

    async fn relay(
        &mut self,
        slot: &Arc<ServerSlot>,
        answer: WorkerAnswer,
        work: &mut WorkGuard,
        mut keeper: CopyKeeper,
    ) -> AttemptEnd {
        let (parts, mut body, link) = answer.split();
        if let Some(head) = self.head.take() {
            let parts = Box::new(parts.clone());
            if head.send(StreamHead::Streaming(parts)).is_err() {
                return AttemptEnd::Ended(SendEnd::Broken);
            }
        }
        let mut cutter = EventCutter::default();
        let mut begun = false;
        loop {
            let bytes = match self.next_bytes(slot, &mut body, begun).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(end) => {
                    slot.note_failure(Instant::now(), BROKEN_PAUSE);
                    return AttemptEnd::Ended(end);
                }
            };
            slot.note_answer(Instant::now());
            let Some(events) = self.take_events(&mut cutter, &bytes) else {
                return AttemptEnd::Ended(SendEnd::Broken);
            };
            if events.is_empty() {
                continue;
            }
            if !begun {
                begun = true;
                work.prompt_read();
            }
            // There is no copy before the prompt is read.
            let chosen = || self.choose_holder(slot);
            keeper.tend(|holder| self.lives(holder), chosen).await;
            self.copy = keeper.copy().cloned();
            self.note_piece();
            if self.pieces.send(StreamPiece::Events(events)).await.is_err() {
                return AttemptEnd::Ended(SendEnd::Broken);
            }
        }
        if cutter.has_partial() {
            return AttemptEnd::Ended(SendEnd::Broken);
        }
        keeper.finish();
        keep_link(&self.state, slot, &parts, link);
        AttemptEnd::Complete
    }

    /// Next bytes of a server; none at the end of its answer.
    async fn next_bytes(
        &self,
        slot: &ServerSlot,
        body: &mut Incoming,
        begun: bool,
    ) -> Result<Option<Bytes>, SendEnd> {
        let route = &self.task.route;
        let patience = if begun {
            StreamPatience::between_events(route.gap_target)
        } else {
            StreamPatience::before_events(route.latency_target)
        };
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = until_lost(&self.state, slot, patience) => return Err(SendEnd::Silent),
            };
            return match frame {
                None => Ok(None),
                Some(Err(error)) => {
                    log::debug!(request = self.task.id.as_str(), error:%; "stream broke");
                    Err(SendEnd::Broken)
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => Ok(Some(bytes)),
                    // Trailers carry nothing that is handed on.
                    Err(_) => continue,
                },
            };
        }
    }

    /// Events of these bytes that the caller lacks; none if one is missing.
    fn take_events(&mut self, cutter: &mut EventCutter, bytes: &[u8]) -> Option<Bytes> {
        let mut taken = BytesMut::with_capacity(bytes.len());
        let mut gap = false;
        let ledger = &mut self.ledger;
        let events = &self.state.metrics.events;
        cutter.push(bytes, |event| {
            if gap {
                return;
            }
            match ledger.judge(event.position) {
                EventVerdict::Deliver => {
                    events.inc();
                    taken.extend_from_slice(event.bytes);
                }
                EventVerdict::Drop => {}
                EventVerdict::Gap => gap = true,
            }
        });
        (!gap).then(|| taken.freeze())
    }

    fn note_piece(&mut self) {
        let now = Instant::now();
        let metrics = &self.state.metrics;
        match self.last_piece.replace(now) {
            Some(last) => metrics
                .event_gap_seconds
                .observe((now - last).as_secs_f64()),
            None => {
                let spent = now - self.task.received;
                metrics.first_event_seconds.observe(spent.as_secs_f64());
            }
        }
    }
}
