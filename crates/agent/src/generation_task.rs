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
    generation_stream::{AttemptGate, AttemptVerdict, TokenLog},
};
use exchange::{ExchangeError, StreamEvent};
use tokio::{
    sync::mpsc,
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
    next: TokenPosition,
    told_end: bool,
}

enum EngineState {
    Reading(EngineStream),
    Ended(EndMessage),
    Lost(String),
}

/// The generation, its engine stream and its reader.
pub struct GenerationTask {
    state: Arc<AgentState>,
    generation: GenerationId,
    open: OpenMessage,
    gate: AttemptGate,
    log: TokenLog,
    engine: EngineState,
    engine_heard: Instant,
    has_first_token: bool,
    reader: Option<StreamReader>,
    reader_gone_at: Instant,
}

/// Start the task of a generation; the first `open` starts its engine.
pub fn spawn_generation(
    state: &Arc<AgentState>,
    generation: GenerationId,
    open: Box<OpenMessage>,
    permit: SlotPermit,
    reader: mpsc::Sender<StreamItem>,
) -> Result<(), (Box<OpenMessage>, mpsc::Sender<TaskCommand>)> {
    let (sender, commands) = mpsc::channel(COMMANDS_MAX);
    if let Err(current) = state.registry.enter(generation, &sender) {
        return Err((open, current));
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        state.metrics.generations.inc();
        let task =
            GenerationTask::start(Arc::clone(&state), generation, (*open, permit), reader).await;
        task.run(commands).await;
        state.registry.remove(generation);
        state.metrics.generations.dec();
    });
    Ok(())
}

impl GenerationTask {
    async fn start(
        state: Arc<AgentState>,
        generation: GenerationId,
        (open, permit): (OpenMessage, SlotPermit),
        reader: mpsc::Sender<StreamItem>,
    ) -> Self {
        let now = Instant::now();
        let mut task = Self {
            state,
            generation,
            gate: AttemptGate::new(AttemptNumber(open.attempt)),
            log: TokenLog::default(),
            engine: EngineState::Lost(String::new()),
            engine_heard: now,
            has_first_token: false,
            reader: None,
            reader_gone_at: now,
            open,
        };
        task.start_engine(permit).await;
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
                    Some(command) => {
                        if !self.obey(command).await {
                            break;
                        }
                    }
                    None => break,
                },
                event = read_engine(&mut self.engine), if may_read => self.take_event(event),
                permit = reserve(sender) => self.feed_reader(permit),
                _ = beats.tick() => {
                    let now = Instant::now();
                    self.beat(now);
                    if self.is_abandoned(now) {
                        break;
                    }
                }
            }
        }
        if matches!(self.engine, EngineState::Reading(_)) {
            self.cancel_engine().await;
        }
    }

    async fn start_engine(&mut self, permit: SlotPermit) {
        self.log = self.open.delivered.iter().map(String::as_str).collect();
        self.engine_heard = Instant::now();
        self.has_first_token = false;
        self.engine = match self.state.engine.open(self.generation, &self.open).await {
            Ok(events) => EngineState::Reading(EngineStream::new(events, permit)),
            Err(reason) => EngineState::Lost(reason),
        };
    }

    async fn cancel_engine(&self) {
        let attempt = AttemptNumber(self.open.attempt);
        self.state.engine.cancel(self.generation, attempt).await;
    }

    /// Whether the engine may run further ahead of the reader.
    fn may_read(&self) -> bool {
        let read = match &self.reader {
            Some(reader) => reader.next,
            None => TokenPosition(self.open.delivered.len() as u32),
        };
        matches!(self.engine, EngineState::Reading(_))
            && self.log.next_position().0 < read.0 + self.state.settings.window
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
                    attempt: self.open.attempt,
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
        let has_end = !reader.told_end && !matches!(self.engine, EngineState::Reading(_));
        (has_token || has_end).then(|| reader.sender.clone())
    }

    fn feed_reader(&mut self, permit: Option<mpsc::OwnedPermit<StreamItem>>) {
        let Some(permit) = permit else {
            return self.drop_reader();
        };
        let Some(reader) = self.reader.as_mut() else {
            return;
        };
        if let Some(text) = self.log.get(reader.next) {
            permit.send(StreamItem::Token(TokenMessage {
                attempt: self.open.attempt,
                position: reader.next.0,
                text: text.to_owned(),
            }));
            reader.next = reader.next.next();
            return;
        }
        reader.told_end = true;
        permit.send(match &self.engine {
            EngineState::Ended(end) => StreamItem::End(end.clone()),
            EngineState::Lost(reason) => StreamItem::Lost(reason.clone()),
            // The engine was started anew in between; go on with its tokens.
            EngineState::Reading(_) => {
                reader.told_end = false;
                return;
            }
        });
    }

    fn beat(&mut self, now: Instant) {
        let Some(reader) = &self.reader else {
            return;
        };
        let beat = BeatMessage {
            engine_silence_ms: millis(self.engine_silence(now)),
            leaving: self.state.is_leaving(),
            held: self.state.slots.held(),
            slots: self.state.slots.slots(),
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
        let is_reading = matches!(self.engine, EngineState::Reading(_));
        if !is_reading || !self.may_read() {
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
        self.reader_gone_at = Instant::now();
    }

    fn is_abandoned(&self, now: Instant) -> bool {
        let grace = self.state.settings.reader_grace;
        self.reader.is_none() && now.duration_since(self.reader_gone_at) >= grace
    }

    async fn obey(&mut self, command: TaskCommand) -> bool {
        match command {
            TaskCommand::Open { open, reader } => self.reopen(*open, reader).await,
            TaskCommand::TakeOver { from, reader } => self.take_over(from, reader),
            TaskCommand::Cancel { attempt } => {
                if attempt >= self.gate.current() {
                    self.tell_stale();
                    return false;
                }
            }
        }
        true
    }

    async fn reopen(&mut self, open: OpenMessage, reader: mpsc::Sender<StreamItem>) {
        let from = TokenPosition(open.delivered.len() as u32);
        match self.gate.admit(AttemptNumber(open.attempt)) {
            AttemptVerdict::Stale => {
                self.state.metrics.stale_attempts.inc();
                // The channel is new and empty.
                let _ = reader.try_send(StreamItem::Stale);
            }
            AttemptVerdict::Attach => self.attach(from, reader),
            AttemptVerdict::Start => {
                self.tell_stale();
                self.cancel_engine().await;
                self.open = open;
                let permit = self.state.slots.enter_always(self.open.class.into());
                self.start_engine(permit).await;
                self.attach(from, reader);
            }
        }
    }

    fn take_over(&mut self, from: TokenPosition, reader: mpsc::Sender<StreamItem>) {
        let delivered = (0..from.0.min(self.log.next_position().0))
            .filter_map(|at| self.log.get(TokenPosition(at)))
            .map(str::to_owned)
            .collect();
        let record = RecordMessage {
            open: OpenMessage {
                delivered: Vec::new(),
                ..self.open.clone()
            },
            delivered,
        };
        // The channel is new and empty.
        let _ = reader.try_send(StreamItem::Record(Box::new(record)));
        self.attach(from, reader);
    }

    fn attach(&mut self, from: TokenPosition, sender: mpsc::Sender<StreamItem>) {
        self.tell_stale();
        self.reader = Some(StreamReader {
            sender,
            next: from,
            told_end: false,
        });
    }

    fn tell_stale(&mut self) {
        if let Some(reader) = self.reader.take() {
            // A reader too slow to be told ends with its channel.
            let _ = reader.sender.try_send(StreamItem::Stale);
        }
        self.reader_gone_at = Instant::now();
    }
}

async fn read_engine(engine: &mut EngineState) -> Result<Option<StreamEvent>, ExchangeError> {
    match engine {
        EngineState::Reading(events) => events.read().await,
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
