//! The plain baseline: a caller without resumption, which drops what it has
//! and begins again from the prompt.
//!
//! It reads the agents' streams through the same links as entries do, with the
//! same detection, so that only what follows a loss differs.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use exchange::{EventStream, ExchangeCall, ExchangeClient};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use wire::{
    chat::ChatRequest,
    stream::{
        BEAT_EVENT, BeatMessage, ClassMessage, END_EVENT, LOST_EVENT, OpenMessage, PinMessage,
        TOKEN_EVENT,
    },
};

use crate::deployment::{MODEL, MODEL_VERSION};

/// Silence of a connection that counts as its loss.
const CONNECTION_SILENCE: Duration = Duration::from_millis(350);

/// Silence of an engine that counts as its loss.
const ENGINE_SILENCE_MS: u32 = 900;

/// Time within which an agent opens a stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a server that could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What a caller that begins again has seen.
#[derive(Clone, Debug, Default)]
pub struct BaselineTally {
    /// Generations that ended whole.
    pub whole: u32,
    /// Times it began again.
    pub restarts: u32,
    /// Tokens of the answers that were kept.
    pub useful: u64,
    /// Tokens that were dropped and produced again.
    pub dropped: u64,
    /// Time from the last token before each loss until output went beyond it.
    pub regained: Vec<Duration>,
}

impl BaselineTally {
    /// Add what another caller has seen.
    pub fn merge(&mut self, other: Self) {
        self.whole += other.whole;
        self.restarts += other.restarts;
        self.useful += other.useful;
        self.dropped += other.dropped;
        self.regained.extend(other.regained);
    }
}

/// Where the baseline's caller connects and what it asks for.
pub struct BaselineCaller<'a> {
    /// Where agents open streams.
    pub agents: &'a [SocketAddr],
    /// Draws servers and identities.
    pub rng: SmallRng,
    exchange: ExchangeClient,
}

impl<'a> BaselineCaller<'a> {
    /// Caller of the given agents.
    pub fn new(agents: &'a [SocketAddr], seed: u64) -> Self {
        Self {
            agents,
            rng: SmallRng::seed_from_u64(seed),
            exchange: ExchangeClient::unpooled(),
        }
    }

    /// Read one generation to its end, however often it takes.
    pub async fn generate(
        &mut self,
        request: &ChatRequest,
        stop: &AtomicBool,
        tally: &mut BaselineTally,
    ) {
        let mut lost_at: Option<(Instant, u32)> = None;
        loop {
            let Some(mut events) = self.open(request).await else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let mut position = 0;
            let mut last_token = Instant::now();
            while let Some(step) = read_step(&mut events).await {
                match step {
                    BaselineStep::Token => {
                        position += 1;
                        last_token = Instant::now();
                        if let Some((since, reached)) = lost_at
                            && position > reached
                        {
                            tally.regained.push(since.elapsed());
                            lost_at = None;
                        }
                    }
                    BaselineStep::Beat => {}
                    BaselineStep::End => {
                        tally.whole += 1;
                        tally.useful += u64::from(position);
                        return;
                    }
                }
            }
            tally.restarts += 1;
            tally.dropped += u64::from(position);
            // A loss before the earlier one was made good counts from there.
            lost_at = match lost_at {
                Some((since, reached)) if reached >= position => Some((since, reached)),
                _ => Some((last_token, position)),
            };
            if stop.load(Ordering::Relaxed) && tally.restarts > 100 {
                return;
            }
        }
    }

    async fn open(&mut self, request: &ChatRequest) -> Option<EventStream> {
        let generation: u128 = self.rng.random();
        let open = OpenMessage {
            generation: format!("{generation:032x}"),
            attempt: 0,
            team: "baseline".to_owned(),
            pin: PinMessage {
                model: MODEL.to_owned(),
                adapter: None,
                version: MODEL_VERSION,
            },
            prompt: request.prompt(),
            delivered: Vec::new(),
            max_tokens: request.max_tokens,
            class: ClassMessage::Long,
            is_move: false,
        };
        let agent = self.agents[self.rng.random_range(0..self.agents.len())];
        let call = ExchangeCall::post(agent, "/v1/generations")
            .json(&open)
            .timeout(OPEN_TIMEOUT);
        self.exchange.open_events(call).await.ok()?.ok()
    }
}

enum BaselineStep {
    Token,
    Beat,
    End,
}

/// The next step of a stream, or nothing once it counts as lost.
async fn read_step(events: &mut EventStream) -> Option<BaselineStep> {
    let read = tokio::time::timeout(CONNECTION_SILENCE, events.read()).await;
    let event = read.ok()?.ok()??;
    match event.name.as_str() {
        TOKEN_EVENT => Some(BaselineStep::Token),
        END_EVENT => Some(BaselineStep::End),
        BEAT_EVENT => {
            let beat = BeatMessage::try_from(event.data.as_str()).ok()?;
            (beat.engine_silence_ms < ENGINE_SILENCE_MS).then_some(BaselineStep::Beat)
        }
        LOST_EVENT => None,
        _ => Some(BaselineStep::Beat),
    }
}
