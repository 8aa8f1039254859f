//! The task that owns one generation at this server.
//!
//! It reads the engine, keeps the token log and feeds at most one reader. The
//! engine runs ahead of the reader by a bounded window; beyond it the task
//! stops reading, and the engine is held back by its connection. Without a
//! reader the log is kept for a grace time, so that a caller whose entry died
//! can come back through another one.

use std::{sync::Arc, time::Duration};

use domain::{
    AttemptNumber, GenerationId, TokenPosition,
    backend_server::SlotPermit,
    generation_stream::{
        AttemptGate, AttemptVerdict, HeartbeatReport, HeartbeatSchedule, LogReservation,
        ReaderLimits, ReaderMonitor, TokenLog,
    },
};
use exchange::{ExchangeError, StreamEvent};
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior},
};
use wire::{
    engine::EngineToken,
    stream::{
        BeatMessage, END_EVENT, EndMessage, OpenMessage, RecordMessage, TOKEN_EVENT, TokenMessage,
    },
};

use crate::{AgentState, engine_client::EngineStream};

/// Commands waiting for a task at most.
const COMMANDS_MAX: usize = 16;

/// Items waiting for a reader at most.
pub const READER_ITEMS_MAX: usize = 64;

/// What a reader is sent.
#[derive(Debug)]
pub enum StreamItem {
    /// The generation as it is known here, for an entry that takes it over.
    Record(Box<RecordMessage>),
    /// The next token.
    Token(TokenMessage),
    /// A sign of life.
    Beat(BeatMessage),
    /// All tokens have been sent.
    End(EndMessage),
    /// Another reader or a later attempt has taken over.
    Stale,
    /// The identity belongs to another request.
    Mismatch,
    /// The engine cannot go on.
    Lost(String),
}

/// What a task is told.
#[derive(Debug)]
pub enum TaskCommand {
    /// Serve an attempt to a reader.
    Open {
        /// The request.
        open: Box<OpenMessage>,
        /// Where to send.
        reader: mpsc::Sender<StreamItem>,
    },
    /// Serve the current attempt to a reader that has no record of it.
    TakeOver {
        /// Position to begin at.
        from: TokenPosition,
        /// Where to send.
        reader: mpsc::Sender<StreamItem>,
    },
    /// Stop this attempt and all earlier ones.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
}

struct StreamReader {
    sender: mpsc::Sender<StreamItem>,
    pace: HeartbeatSchedule,
    next: TokenPosition,
    told_end: bool,
}

enum EngineState {
    Opening(JoinHandle<Result<EngineStream, String>>),
    Reading(EngineStream),
    Ended(EndMessage),
    Lost(String),
}

enum EngineEvent {
    Opened(Result<EngineStream, String>),
    Read(Result<Option<StreamEvent>, ExchangeError>),
}

/// The generation, its engine stream and its reader.
pub struct GenerationTask {
    state: Arc<AgentState>,
    generation: GenerationId,
    open: Arc<OpenMessage>,
    gate: AttemptGate,
    log: TokenLog,
    engine: EngineState,
    engine_heard: Instant,
    has_first_token: bool,
    is_stopped: bool,
    reader: Option<StreamReader>,
    readers: ReaderMonitor,
    _room: LogReservation,
}

/// What a new generation may use of its server.
pub struct GenerationGrant {
    /// Slot at the engine.
    pub permit: SlotPermit,
    /// Room for its token log.
    pub room: LogReservation,
}

/// Start the task of a generation; the first `open` starts its engine.
pub fn spawn_generation(
    state: &Arc<AgentState>,
    generation: GenerationId,
    open: Box<OpenMessage>,
    grant: GenerationGrant,
    reader: mpsc::Sender<StreamItem>,
) -> Result<(), (Box<OpenMessage>, mpsc::Sender<TaskCommand>)> {
    let (sender, commands) = mpsc::channel(COMMANDS_MAX);
    if let Err(current) = state.registry.enter(generation, &sender) {
        return Err((open, current));
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        state.metrics.generations.inc();
        let task = GenerationTask::start(Arc::clone(&state), generation, *open, grant, reader);
        task.run(commands).await;
        state.registry.remove(generation);
        state.metrics.generations.dec();
    });
    Ok(())
}

impl GenerationTask {
    fn start(
        state: Arc<AgentState>,
        generation: GenerationId,
        open: OpenMessage,
        grant: GenerationGrant,
        reader: mpsc::Sender<StreamItem>,
    ) -> Self {
        let now = Instant::now();
        let limits = ReaderLimits {
            window_tokens: state.settings.window,
            grace_period: state.settings.reader_grace,
        };
        let mut task = Self {
            state,
            generation,
            gate: AttemptGate::new(AttemptNumber(open.attempt)),
            log: TokenLog::default(),
            engine: EngineState::Lost(String::new()),
            engine_heard: now,
            has_first_token: false,
            is_stopped: false,
            reader: None,
            readers: ReaderMonitor::new(limits, now),
            open: Arc::new(open),
            _room: grant.room,
        };
        task.start_engine(grant.permit);
        task.attach(task.log.next_position(), reader);
        task
    }

    async fn run(mut self, mut commands: mpsc::Receiver<TaskCommand>) {
        let mut beats = tokio::time::interval(self.state.settings.beat);
        beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let may_read = self.may_read();
            let sender = self.waiting_sender();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.obey(command),
                    None => break,
                },
                event = read_engine(&mut self.engine), if may_read => match event {
                    EngineEvent::Opened(opened) => self.take_opened(opened),
                    EngineEvent::Read(event) => self.take_event(event),
                },
                permit = reserve(sender) => self.feed_reader(permit),
                _ = beats.tick() => {
                    let now = Instant::now();
                    self.hand_over_if_due();
                    self.beat(now);
                    let is_leaving = self.state.is_leaving();
                    if self.readers.is_removable(self.is_stopped, is_leaving, now) {
                        break;
                    }
                }
            }
        }
        self.cancel_engine();
    }

    fn start_engine(&mut self, permit: SlotPermit) {
        self.log = self.open.delivered.iter().map(String::as_str).collect();
        self.engine_heard = Instant::now();
        self.has_first_token = false;
        self.is_stopped = false;
        let client = self.state.engine.clone();
        let generation = self.generation;
        let open = Arc::clone(&self.open);
        // Heartbeats go on while the engine takes the request in.
        let opening = async move {
            let events = client.open(generation, &open).await?;
            Ok(EngineStream::new(events, permit))
        };
        self.engine = EngineState::Opening(tokio::spawn(opening));
    }

    /// Have the engine stop what it still does, without waiting for it.
    fn cancel_engine(&self) {
        match &self.engine {
            EngineState::Opening(opening) => opening.abort(),
            EngineState::Reading(_) => {}
            EngineState::Ended(_) | EngineState::Lost(_) => return,
        }
        let client = self.state.engine.clone();
        let generation = self.generation;
        let attempt = AttemptNumber(self.open.attempt);
        tokio::spawn(async move { client.cancel(generation, attempt).await });
    }

    /// Let the reader go on elsewhere while this server still can tell it.
    fn hand_over_if_due(&mut self) {
        if self.state.is_handing_over() && self.is_engine_at_work() {
            self.cancel_engine();
            self.lose_engine("the server is leaving");
        }
    }

    const fn is_engine_at_work(&self) -> bool {
        matches!(
            self.engine,
            EngineState::Opening(_) | EngineState::Reading(_)
        )
    }

    /// Whether the engine may run further ahead of the reader.
    fn may_read(&self) -> bool {
        let read = match &self.reader {
            Some(reader) => reader.next,
            None => TokenPosition(self.open.delivered.len() as u32),
        };
        self.is_engine_at_work() && self.readers.may_run_ahead(self.log.next_position(), read)
    }

    fn take_opened(&mut self, opened: Result<EngineStream, String>) {
        match opened {
            Ok(events) => {
                let now = Instant::now();
                self.engine_heard = now;
                self.state.note_sign(now);
                self.engine = EngineState::Reading(events);
            }
            Err(reason) => self.lose_engine(&reason),
        }
    }

    fn take_event(&mut self, event: Result<Option<StreamEvent>, ExchangeError>) {
        let now = Instant::now();
        self.engine_heard = now;
        let event = match event {
            Ok(Some(event)) => event,
            Ok(None) => return self.lose_engine("the engine closed the stream"),
            Err(error) => return self.lose_engine(&error.to_string()),
        };
        self.state.note_sign(now);
        match event.name.as_str() {
            TOKEN_EVENT => match serde_json::from_str::<EngineToken>(&event.data) {
                Ok(token) if token.position == self.log.next_position().0 => {
                    self.has_first_token = true;
                    self.state.metrics.tokens.inc();
                    self.log.push(&token.text);
                }
                Ok(token) => self.lose_engine(&format!(
                    "position {} came where {} was due",
                    token.position,
                    self.log.next_position()
                )),
                Err(error) => self.lose_engine(&error.to_string()),
            },
            END_EVENT => {
                self.state
                    .metrics
                    .generations_ended
                    .with_label_values(&["whole"])
                    .inc();
                self.engine = EngineState::Ended(EndMessage {
                    attempt: self.gate.current().0,
                    total: self.log.next_position().0,
                    reason: event.data,
                });
            }
            // Other events are signs of life only.
            _ => {}
        }
    }

    fn lose_engine(&mut self, reason: &str) {
        log::warn!(
            request:% = self.generation, attempt = self.open.attempt;
            "engine lost at position {}: {reason}", self.log.next_position()
        );
        self.state
            .metrics
            .generations_ended
            .with_label_values(&["lost"])
            .inc();
        self.engine = EngineState::Lost(reason.to_owned());
    }

    /// The reader's channel, when there is something to send on it.
    fn waiting_sender(&self) -> Option<mpsc::Sender<StreamItem>> {
        let reader = self.reader.as_ref()?;
        let has_token = reader.next < self.log.next_position();
        let has_end = !reader.told_end && !self.is_engine_at_work();
        (has_token || has_end).then(|| reader.sender.clone())
    }

    fn feed_reader(&mut self, permit: Option<mpsc::OwnedPermit<StreamItem>>) {
        let Some(permit) = permit else {
            return self.drop_reader();
        };
        let Some(reader) = self.reader.as_mut() else {
            return;
        };
        let attempt = self.gate.current().0;
        if let Some(text) = self.log.get(reader.next) {
            let now = Instant::now();
            reader.pace.record_token(now);
            let load = reader.pace.take_due_load(self.state.load_report(), now);
            permit.send(StreamItem::Token(TokenMessage {
                attempt,
                position: reader.next.0,
                text: text.to_owned(),
                load: load.map(Into::into),
            }));
            reader.next = reader.next.next();
            return;
        }
        reader.told_end = true;
        permit.send(match &self.engine {
            // A reader that took over reads under a later attempt.
            EngineState::Ended(end) => StreamItem::End(EndMessage {
                attempt,
                ..end.clone()
            }),
            EngineState::Lost(reason) => StreamItem::Lost(reason.clone()),
            // The engine was started anew in between; go on with its tokens.
            EngineState::Opening(_) | EngineState::Reading(_) => {
                reader.told_end = false;
                return;
            }
        });
    }

    fn beat(&mut self, now: Instant) {
        let report = HeartbeatReport {
            stream_silence: self.engine_silence(now),
            overall_silence: self.state.server_silence(now),
        };
        let report = report.actionable();
        let leaving = self.state.is_leaving();
        let Some(reader) = &mut self.reader else {
            return;
        };
        if reader.sender.is_closed() {
            return self.drop_reader();
        }
        if !reader.pace.take_due_heartbeat(leaving, now) {
            return;
        }
        let load = reader.pace.take_due_load(self.state.load_report(), now);
        let beat = BeatMessage {
            engine_silence_ms: millis(report.stream_silence),
            server_silence_ms: millis(report.overall_silence),
            leaving,
            load: load.map(Into::into),
        };
        // A full channel needs no sign of life: its reader has items to read.
        if let Err(mpsc::error::TrySendError::Closed(_)) =
            reader.sender.try_send(StreamItem::Beat(beat))
        {
            self.drop_reader();
        }
    }

    /// Time without a sign of life of the engine, as far as it is at fault.
    fn engine_silence(&self, now: Instant) -> Duration {
        if !self.may_read() {
            return Duration::ZERO;
        }
        let stream_silence = now.duration_since(self.engine_heard);
        if self.has_first_token {
            return stream_silence;
        }
        // Before the first token the request may wait for its turn.
        stream_silence.min(self.state.server_silence(now))
    }

    fn drop_reader(&mut self) {
        self.reader = None;
        self.readers.detach(Instant::now());
    }

    fn obey(&mut self, command: TaskCommand) {
        match command {
            TaskCommand::Open { open, reader } => self.reopen(*open, reader),
            TaskCommand::TakeOver { from, reader } => self.take_over(from, reader),
            TaskCommand::Cancel { attempt } => {
                if attempt >= self.gate.current() {
                    self.stop();
                }
            }
        }
    }

    /// Stop the engine's work; the log stays for the grace time, since the
    /// caller may know no later place to come back to.
    fn stop(&mut self) {
        self.tell_stale();
        self.cancel_engine();
        if self.is_engine_at_work() {
            self.engine = EngineState::Lost("cancelled".to_owned());
        }
        self.is_stopped = true;
    }

    fn reopen(&mut self, open: OpenMessage, reader: mpsc::Sender<StreamItem>) {
        let from = TokenPosition(open.delivered.len() as u32);
        if !open.is_same_request(&self.open) {
            // The channel is new and empty.
            let _ = reader.try_send(StreamItem::Mismatch);
            return;
        }
        match self.gate.admit(AttemptNumber(open.attempt)) {
            AttemptVerdict::Stale => {
                self.state.metrics.stale_attempts.inc();
                // The channel is new and empty.
                let _ = reader.try_send(StreamItem::Stale);
            }
            // Two entries may have come to the same number with other texts.
            AttemptVerdict::Attach if !self.agrees_with(&open) => {
                let _ = reader.try_send(StreamItem::Stale);
            }
            AttemptVerdict::Attach => self.attach(from, reader),
            AttemptVerdict::Start => {
                self.tell_stale();
                self.cancel_engine();
                self.open = Arc::new(open);
                let permit = self.state.slots.force_acquire(self.open.class.into());
                self.start_engine(permit);
                self.attach(from, reader);
            }
        }
    }

    /// Whether version and delivered tokens are those of the log.
    fn agrees_with(&self, open: &OpenMessage) -> bool {
        if open.pin.version != self.open.pin.version {
            return false;
        }
        let mut kept = self.log.tokens_from(TokenPosition(0));
        open.delivered
            .iter()
            .all(|token| kept.next() == Some(token.as_str()))
    }

    fn take_over(&mut self, from: TokenPosition, reader: mpsc::Sender<StreamItem>) {
        let delivered = (0..from.0.min(self.log.next_position().0))
            .filter_map(|at| self.log.get(TokenPosition(at)))
            .map(str::to_owned)
            .collect();
        let record = RecordMessage {
            open: OpenMessage {
                attempt: self.gate.take_over().0,
                delivered: Vec::new(),
                ..OpenMessage::clone(&self.open)
            },
            delivered,
        };
        // The channel is new and empty.
        let _ = reader.try_send(StreamItem::Record(Box::new(record)));
        // Attempts below the new one are refused from now on.
        self.attach(from, reader);
    }

    fn attach(&mut self, from: TokenPosition, sender: mpsc::Sender<StreamItem>) {
        self.tell_stale();
        self.reader = Some(StreamReader {
            sender,
            pace: HeartbeatSchedule::new(self.state.settings.beat),
            next: from,
            told_end: false,
        });
        self.readers.attach();
        // The reader need not wait for the next beat to know that this works.
        self.beat(Instant::now());
    }

    fn tell_stale(&mut self) {
        if let Some(reader) = self.reader.take() {
            // A reader too slow to be told ends with its channel.
            let _ = reader.sender.try_send(StreamItem::Stale);
        }
        self.readers.detach(Instant::now());
    }
}

async fn read_engine(engine: &mut EngineState) -> EngineEvent {
    match engine {
        EngineState::Opening(opening) => {
            let opened = opening.await;
            EngineEvent::Opened(opened.unwrap_or_else(|error| Err(error.to_string())))
        }
        EngineState::Reading(events) => EngineEvent::Read(events.read().await),
        EngineState::Ended(_) | EngineState::Lost(_) => std::future::pending().await,
    }
}

async fn reserve(
    sender: Option<mpsc::Sender<StreamItem>>,
) -> Option<mpsc::OwnedPermit<StreamItem>> {
    match sender {
        Some(sender) => sender.reserve_owned().await.ok(),
        None => std::future::pending().await,
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
