//! A caller, who judges what comes by what was owed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use exchange::{EventStream, ExchangeCall, ExchangeClient, ExchangeReply};
use miette::{IntoDiagnostic, Result};
use stand_ins::TextSeed;
use wire::{
    EventId, FIRST_USE_HEADER, KEY_HEADER, LAST_EVENT_HEADER, TEAM_HEADER,
    chat::{ChatChunk, ChatMessage, ChatRequest},
    stream::PinMessage,
};

/// Time that a caller waits for the next event.
const EVENT_PATIENCE: Duration = Duration::from_secs(40);

/// How a stream ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ChatEnd {
    /// The finish came.
    Finished,
    /// The system said that it cannot finish.
    Incomplete(String),
    /// The request was refused.
    Refused(u16, String),
    /// The entry is being replaced and said so.
    Reconnect,
    /// The connection ended without a word.
    #[default]
    Cut,
    /// Nothing came for as long as a caller waits.
    Silent,
}

/// What a caller received.
#[derive(Clone, Debug, Default)]
pub struct ChatOutcome {
    /// The tokens, in order.
    pub tokens: Vec<String>,
    /// When each token came.
    pub times: Vec<Instant>,
    /// Server that each token came from, as its event id says.
    pub servers: Vec<String>,
    /// Event id of the last token.
    pub last_event_id: Option<String>,
    /// How the stream ended.
    pub end: ChatEnd,
}

/// How the tokens received differ from those owed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChatFaults {
    /// Tokens owed that did not come.
    pub missing: u32,
    /// Tokens that came again.
    pub repeated: u32,
    /// Tokens that are not of this generation at this place.
    pub foreign: u32,
}

impl ChatOutcome {
    /// Compare with the text that is owed.
    pub fn faults(&self, seed: TextSeed, count: u32) -> ChatFaults {
        let mut faults = ChatFaults::default();
        let mut expected = 0;
        for token in &self.tokens {
            if expected < count && *token == seed.token(expected) {
                expected += 1;
                continue;
            }
            let earlier = (0..expected).any(|position| seed.token(position) == *token);
            if earlier {
                faults.repeated += 1;
                continue;
            }
            match (expected..count).find(|&position| seed.token(position) == *token) {
                Some(position) => {
                    faults.missing += position - expected;
                    expected = position + 1;
                }
                None => faults.foreign += 1,
            }
        }
        faults.missing += count - expected;
        faults
    }
}

/// Client of the entries.
#[derive(Clone)]
pub struct CallerClient {
    exchange: ExchangeClient,
    team: String,
    is_first_use: bool,
    key: Option<String>,
}

impl CallerClient {
    /// Client of a team.
    pub fn new(team: &str) -> Self {
        Self {
            exchange: ExchangeClient::unpooled(),
            team: team.to_owned(),
            is_first_use: false,
            key: None,
        }
    }

    /// Say of every key that it was never used before.
    #[must_use]
    pub const fn first_use(mut self) -> Self {
        self.is_first_use = true;
        self
    }

    /// Send an idempotency key with every completion.
    #[must_use]
    pub fn keyed(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Request of a completion and the seed of its text.
    pub fn request(
        model: &str,
        version: u32,
        content: &str,
        count: u32,
    ) -> (ChatRequest, TextSeed) {
        let request = ChatRequest {
            model: model.to_owned(),
            messages: vec![ChatMessage {
                role: "user".to_owned(),
                content: content.to_owned(),
            }],
            max_tokens: count,
            stream: true,
        };
        let pin = PinMessage {
            model: request.model_name().to_owned(),
            adapter: request.adapter_name().map(str::to_owned),
            version,
        };
        let seed = TextSeed::new(&pin, &request.prompt());
        (request, seed)
    }

    /// Read a completion to its end, telling of each token.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        request: &ChatRequest,
        last_event_id: Option<&str>,
        mut on_token: impl FnMut(usize),
    ) -> ChatOutcome {
        let mut outcome = ChatOutcome::default();
        let mut call = ExchangeCall::post(entry, "/v1/chat/completions")
            .header(TEAM_HEADER, &self.team)
            .json(request);
        if let Some(key) = &self.key {
            call = call.header(KEY_HEADER, key);
        }
        if let Some(id) = last_event_id {
            call = call.header(LAST_EVENT_HEADER, id);
        }
        let mut events = match self.exchange.open_events(call).await {
            Ok(Ok(events)) => events,
            Ok(Err(reply)) => {
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                outcome.end = ChatEnd::Refused(reply.status.as_u16(), text);
                return outcome;
            }
            Err(_) => return outcome,
        };
        outcome.end = Self::read(&mut events, &mut outcome, &mut on_token).await;
        outcome
    }

    async fn read(
        events: &mut EventStream,
        outcome: &mut ChatOutcome,
        on_token: &mut impl FnMut(usize),
    ) -> ChatEnd {
        loop {
            let event = match tokio::time::timeout(EVENT_PATIENCE, events.read()).await {
                Ok(Ok(Some(event))) => event,
                Ok(Ok(None) | Err(_)) => return ChatEnd::Cut,
                Err(_) => return ChatEnd::Silent,
            };
            match event.name.as_str() {
                "reconnect" => return ChatEnd::Reconnect,
                "incomplete" => return ChatEnd::Incomplete(event.data),
                "waiting" => {
                    outcome.last_event_id = event.id.or(outcome.last_event_id.take());
                    continue;
                }
                _ => {}
            }
            let Ok(chunk) = serde_json::from_str::<ChatChunk>(&event.data) else {
                continue;
            };
            let Some(choice) = chunk.choices.first() else {
                continue;
            };
            if choice.finish_reason.is_some() {
                return ChatEnd::Finished;
            }
            if let Some(text) = &choice.delta.content {
                outcome.tokens.push(text.clone());
                outcome.times.push(Instant::now());
                outcome.servers.push(server_of(event.id.as_deref()));
                outcome.last_event_id = event.id.or(outcome.last_event_id.take());
                on_token(outcome.tokens.len());
            }
        }
    }

    /// Call a plain service.
    pub async fn call(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<ExchangeReply> {
        let mut call = ExchangeCall::post(entry, path)
            .header(TEAM_HEADER, &self.team)
            .timeout(Duration::from_secs(5))
            .body(body.as_bytes());
        if let Some(key) = key {
            call = call.header(KEY_HEADER, key);
        }
        if self.is_first_use {
            call = call.header(FIRST_USE_HEADER, "true");
        }
        self.exchange.send(call).await.into_diagnostic()
    }

    /// Read something at an entry.
    pub async fn get(&self, entry: SocketAddr, path: &str) -> Result<ExchangeReply> {
        let call = ExchangeCall::get(entry, path).header(TEAM_HEADER, &self.team);
        self.exchange.send(call).await.into_diagnostic()
    }
}

fn server_of(event_id: Option<&str>) -> String {
    let id = event_id.and_then(|text| text.parse::<EventId>().ok());
    id.map_or_else(String::new, |id| id.server.as_str().to_owned())
}
