//! Carrying one generation from servers to its caller.
//!
//! The driver opens streams as the relay decides and reports to it what comes.
//! It yields caller events that are not encoded yet, so that another front end
//! can send them in a form of its own.

mod first_open;
mod link_pace;
mod server_search;

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use domain::{
    AttemptNumber, GenerationId, PoolName, ServerName, TokenPosition,
    backend_server::{InflightGuard, ServerNode, StragglerVerdict},
    generation_stream::{
        EndVerdict, LossAction, SilenceVerdict, StreamMonitor, StreamRelay, TokenVerdict,
    },
    team_budget::AdmissionPermit,
};
use exchange::{EventStream, ExchangeCall, ExchangeError, ExchangeReply, StreamEvent};
use tokio::{sync::oneshot, time::Instant};
use wire::stream::{
    BEAT_EVENT, BeatMessage, END_EVENT, EndMessage, LOST_EVENT, MISMATCH_EVENT, OpenMessage,
    RECORD_EVENT, RecordMessage, STALE_EVENT, TOKEN_EVENT, TokenMessage,
};

use self::link_pace::LinkPace;
use crate::EntryState;

/// Time within which an agent gives the record of a generation.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes of a prompt that count as one token of prefill.
const BYTES_PER_TOKEN: usize = 4;

/// Servers that failed and are not tried again at once.
const EXCLUDED_MAX: usize = 8;

/// What the caller is told.
#[derive(Debug)]
pub enum CallerEvent {
    /// The next token, the position after it and the server that keeps the log.
    Token {
        /// The token.
        text: String,
        /// Position of the token after it.
        next: TokenPosition,
        /// Server whose agent keeps the log.
        server: ServerName,
    },
    /// Nothing can be sent now; the generation goes on.
    Waiting,
    /// The generation goes on at another server, before its next token.
    Moved {
        /// Position of the next token.
        next: TokenPosition,
        /// Server whose agent keeps the log from now on.
        server: ServerName,
    },
    /// This entry ends; another one goes on from the last event id.
    Reconnect,
    /// All tokens have been sent.
    Finish {
        /// Why the generation ended.
        reason: String,
    },
    /// The caller's key is bound to another request; nothing ran.
    KeyReused,
    /// The generation cannot be finished.
    Incomplete {
        /// Why not.
        reason: String,
    },
}

struct StreamLink {
    events: EventStream,
    guard: InflightGuard,
    watch: StreamMonitor,
    pace: LinkPace,
}

/// Why no stream was opened.
#[derive(Debug, Display)]
enum OpenError {
    /// The agent has no slot; nothing was started.
    #[display("no slot")]
    Full,
    /// No connection was made; nothing was started.
    #[display("{_0}")]
    Unreachable(ExchangeError),
    /// Anything else; something may have been started.
    #[display("{_0}")]
    Other(String),
}

enum LinkTarget {
    Same(Arc<ServerNode>),
    Any,
}

/// One generation on its way to one caller.
pub struct StreamDriver<P> {
    state: Arc<EntryState<P>>,
    generation: GenerationId,
    open: OpenMessage,
    pool: PoolName,
    relay: StreamRelay,
    link: Option<StreamLink>,
    target: LinkTarget,
    turn: Option<oneshot::Receiver<()>>,
    excluded: Vec<ServerName>,
    started_at: Instant,
    last_token_at: Option<Instant>,
    is_keyed: bool,
    is_resuming: bool,
    is_finished: bool,
    _permit: AdmissionPermit,
}

impl<P: Send + Sync + 'static> StreamDriver<P> {
    /// Driver of a generation that no server has seen.
    pub fn new(
        state: Arc<EntryState<P>>,
        generation: GenerationId,
        open: OpenMessage,
        pool: PoolName,
        relay: StreamRelay,
        permit: AdmissionPermit,
    ) -> Self {
        Self {
            state,
            generation,
            open,
            pool,
            relay,
            link: None,
            target: LinkTarget::Any,
            turn: None,
            excluded: Vec::new(),
            started_at: Instant::now(),
            last_token_at: None,
            is_keyed: false,
            is_resuming: false,
            is_finished: false,
            _permit: permit,
        }
    }

    /// Have every entry ask the same server first, since the generation is
    /// known by its caller's key.
    #[must_use]
    pub const fn keyed(mut self) -> Self {
        self.is_keyed = true;
        self
    }

    /// Take a generation over from its agent, for a caller that comes back.
    pub async fn take_over(
        state: Arc<EntryState<P>>,
        generation: GenerationId,
        from: TokenPosition,
        node: &Arc<ServerNode>,
        permit: AdmissionPermit,
    ) -> Result<Self, TakeOverError> {
        let path = format!("/v1/generations/{generation}?from={from}");
        let call = ExchangeCall::get(node.spec().addresses.stream, &path).timeout(RECORD_TIMEOUT);
        let mut events = state.streams.open_events(call).await??;
        let read = tokio::time::timeout(RECORD_TIMEOUT, events.read()).await;
        let record = match read {
            Ok(Ok(Some(event))) if event.name == RECORD_EVENT => {
                serde_json::from_str::<RecordMessage>(&event.data).ok()
            }
            _ => None,
        };
        // A shorter log cannot be gone on with: tokens would come again.
        let record = record.filter(|record| record.delivered.len() == from.index());
        let record = record.ok_or(TakeOverError::NoRecord)?;
        let now = Instant::now();
        let relay = StreamRelay::new(
            (&record.open.pin).into(),
            record.delivered.iter().map(String::as_str).collect(),
            AttemptNumber(record.open.attempt),
            state.relay_limits,
            now,
        );
        let pool = node.spec().pool.clone();
        let mut driver = Self::new(state, generation, record.open, pool, relay, permit);
        driver.link = Some(driver.link_to(node, events, now));
        Ok(driver)
    }

    /// Model, or `MODEL:ADAPTER`, as the caller names it.
    pub fn model(&self) -> String {
        match &self.open.pin.adapter {
            Some(adapter) => format!("{}:{adapter}", self.open.pin.model),
            None => self.open.pin.model.clone(),
        }
    }

    /// The generation.
    pub const fn generation(&self) -> GenerationId {
        self.generation
    }

    /// The next thing to tell the caller; nothing after the last.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        while !self.is_finished {
            if self.state.is_handing_over() && self.last_token_at.is_some() {
                return Some(self.finish("handed_over", CallerEvent::Reconnect));
            }
            let Some(link) = &mut self.link else {
                if let Some(event) = self.connect().await {
                    return Some(event);
                }
                continue;
            };
            let now = Instant::now();
            let wake = match link.watch.evaluate(&self.state.silence, now) {
                SilenceVerdict::Wait(until) => until,
                SilenceVerdict::Reconnect => {
                    self.lose_connection("silent connection");
                    continue;
                }
                SilenceVerdict::Resume => {
                    self.lose_server("silent engine");
                    continue;
                }
            };
            let wake = match self.judge_pace(now) {
                StragglerVerdict::Wait(until) => wake.min(until),
                StragglerVerdict::Unknown => wake,
                StragglerVerdict::Straggling => {
                    if let Some(event) = self.move_on(now).await {
                        return Some(event);
                    }
                    continue;
                }
            };
            let Some(link) = &mut self.link else {
                continue;
            };
            match tokio::time::timeout_at(wake, link.events.read()).await {
                Err(_) => {}
                Ok(Ok(Some(event))) => {
                    if let Some(event) = self.take_event(&event) {
                        return Some(event);
                    }
                }
                Ok(Ok(None)) => self.lose_connection("stream closed"),
                Ok(Err(error)) => self.lose_connection(&error.to_string()),
            }
        }
        None
    }

    fn take_event(&mut self, event: &StreamEvent) -> Option<CallerEvent> {
        let now = Instant::now();
        match event.name.as_str() {
            TOKEN_EVENT => self.take_token(&event.data, now),
            BEAT_EVENT => {
                if let Ok(beat) = BeatMessage::try_from(event.data.as_str())
                    && let Some(link) = &mut self.link
                {
                    link.watch.record_heartbeat(beat.into(), now);
                    let node = link.guard.node();
                    if let Some(load) = beat.load {
                        node.record_load(load.into(), now);
                    }
                    node.set_leaving(beat.leaving);
                }
                None
            }
            END_EVENT => self.take_end(&event.data),
            STALE_EVENT => Some(self.finish(
                "taken_over",
                CallerEvent::Incomplete {
                    reason: "the generation was taken over by another connection".to_owned(),
                },
            )),
            MISMATCH_EVENT => Some(self.finish("key_reused", CallerEvent::KeyReused)),
            LOST_EVENT => {
                self.lose_server(&event.data);
                None
            }
            // Events of a later version of the agent are signs of life only.
            _ => None,
        }
    }

    fn take_token(&mut self, data: &str, now: Instant) -> Option<CallerEvent> {
        let Ok(token) = serde_json::from_str::<TokenMessage>(data) else {
            self.lose_connection("malformed token");
            return None;
        };
        let (attempt, position) = token.place();
        if let Some(load) = token.load
            && let Some(link) = &self.link
        {
            link.guard.node().record_load(load.into(), now);
        }
        match self.relay.accept(attempt, position, &token.text, now) {
            TokenVerdict::Deliver => Some(self.deliver(token.text, position.next(), now)),
            TokenVerdict::Duplicate | TokenVerdict::Stale => {
                self.state.metrics.tokens_dropped.inc();
                None
            }
            TokenVerdict::Gap { expected } => {
                self.lose_connection(&format!("position {position} came, {expected} was due"));
                None
            }
        }
    }

    fn deliver(&mut self, text: String, next: TokenPosition, now: Instant) -> CallerEvent {
        let metrics = &self.state.metrics;
        metrics.tokens.inc();
        match self.last_token_at {
            None => {
                let waited = now.duration_since(self.started_at);
                metrics.first_token_seconds.observe(waited.as_secs_f64());
            }
            Some(last) if self.is_resuming => {
                let waited = now.duration_since(last);
                metrics.resume_seconds.observe(waited.as_secs_f64());
            }
            Some(_) => {}
        }
        let is_first_here = std::mem::take(&mut self.is_resuming);
        self.excluded.clear();
        let mut server = ServerName::from("none");
        if let Some(link) = &mut self.link {
            link.watch.record_token(now);
            let first_wait = link.pace.heard_token(now);
            let node = link.guard.node();
            if let Some(wait) = first_wait {
                node.record_time_to_first_token(wait);
            }
            if let Some(last) = self.last_token_at
                && !is_first_here
            {
                node.record_token_gap(now.duration_since(last), now);
            }
            node.record_success();
            server = node.spec().name.clone();
        }
        self.last_token_at = Some(now);
        CallerEvent::Token { text, next, server }
    }

    fn take_end(&mut self, data: &str) -> Option<CallerEvent> {
        let Ok(end) = serde_json::from_str::<EndMessage>(data) else {
            self.lose_connection("malformed end");
            return None;
        };
        let total = TokenPosition(end.total);
        match self.relay.check_end(AttemptNumber(end.attempt), total) {
            EndVerdict::Complete => {
                let reason = end.reason;
                Some(self.finish("whole", CallerEvent::Finish { reason }))
            }
            EndVerdict::Stale => None,
            EndVerdict::Incomplete => {
                self.lose_connection("end before the last token");
                None
            }
        }
    }

    fn finish(&mut self, end: &str, event: CallerEvent) -> CallerEvent {
        self.state
            .metrics
            .generations_ended
            .with_label_values(&[end])
            .inc();
        self.is_finished = true;
        self.link = None;
        event
    }

    fn lose_connection(&mut self, reason: &str) {
        let action = self.relay.on_connection_lost(Instant::now());
        self.lose(reason, action);
    }

    fn lose_server(&mut self, reason: &str) {
        let action = self.relay.on_server_lost(Instant::now());
        self.lose(reason, action);
    }

    fn lose(&mut self, reason: &str, action: LossAction) {
        log::warn!(
            request:% = self.generation, attempt:% = self.relay.attempt();
            "stream lost at position {}: {reason}", self.relay.log().next_position()
        );
        let Some(link) = self.link.take() else {
            return;
        };
        let node = Arc::clone(link.guard.node());
        self.is_resuming = true;
        match action {
            LossAction::Reconnect => {
                self.state.metrics.reconnects.inc();
                self.target = LinkTarget::Same(node);
            }
            LossAction::Resume(attempt) => self.leave(&node, attempt),
            LossAction::GiveUp => self.target = LinkTarget::Any,
        }
    }

    /// Go on elsewhere, and have the attempt that is left cancelled.
    fn leave(&mut self, node: &ServerNode, attempt: AttemptNumber) {
        self.state.metrics.resumes.inc();
        node.record_failure();
        let spec = node.spec();
        let older = AttemptNumber(attempt.0 - 1);
        self.state
            .links
            .cancel(spec.addresses.control, self.generation, older);
        self.exclude(&spec.name);
        self.target = LinkTarget::Any;
        self.turn = self.ask_turn();
    }

    /// Ask for a turn to have the delivered tokens read again.
    fn ask_turn(&self) -> Option<oneshot::Receiver<()>> {
        if self.relay.log().next_position() == TokenPosition(0) {
            return None;
        }
        let silent_since = self.last_token_at.unwrap_or(self.started_at);
        let cost = u32::try_from(self.unread_tokens()).unwrap_or(u32::MAX);
        Some(self.state.resumes.enter(silent_since, cost))
    }

    /// Tokens that a server reads before it can go on.
    fn unread_tokens(&self) -> usize {
        let prompt_tokens = self.open.prompt.len() / BYTES_PER_TOKEN;
        prompt_tokens + self.relay.log().next_position().index()
    }

    fn exclude(&mut self, name: &ServerName) {
        if self.excluded.contains(name) {
            return;
        }
        if self.excluded.len() >= EXCLUDED_MAX {
            self.excluded.remove(0);
        }
        self.excluded.push(name.clone());
    }

    fn give_up(&mut self) -> CallerEvent {
        let reason = "no server can go on with the generation".to_owned();
        self.finish("incomplete", CallerEvent::Incomplete { reason })
    }
}

/// Why a generation could not be taken over.
#[derive(Debug)]
pub enum TakeOverError {
    /// The agent could not be reached.
    Unreachable(ExchangeError),
    /// The agent does not know the generation any more.
    Unknown(ExchangeReply),
    /// The agent gave no record.
    NoRecord,
}

impl From<ExchangeError> for TakeOverError {
    fn from(error: ExchangeError) -> Self {
        Self::Unreachable(error)
    }
}

impl From<ExchangeReply> for TakeOverError {
    fn from(reply: ExchangeReply) -> Self {
        Self::Unknown(reply)
    }
}
