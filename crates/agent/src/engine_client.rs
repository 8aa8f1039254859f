//! The engine beside the agent.

use std::{net::SocketAddr, time::Duration};

use domain::{AttemptNumber, GenerationId, WorkClass, backend_server::SlotPermit};
use exchange::{EventStream, ExchangeCall, ExchangeClient, ExchangeError, StreamEvent};
use http::StatusCode;
use wire::{
    engine::{EngineCancel, EngineLoad, EngineOrder, EngineRequest},
    lease::{OrderMessage, OrderReply},
    stream::OpenMessage,
};

/// Time within which an engine takes a request in, before any prefill.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Time within which an engine answers small questions.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which an engine takes an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Events of one generation, which holds its slot for as long as they come.
pub struct EngineStream {
    events: EventStream,
    _permit: SlotPermit,
}

impl EngineStream {
    /// Stream of a generation that was let in.
    pub const fn new(events: EventStream, permit: SlotPermit) -> Self {
        Self {
            events,
            _permit: permit,
        }
    }

    /// Read the next event, or nothing at the end of the stream.
    pub async fn read(&mut self) -> Result<Option<StreamEvent>, ExchangeError> {
        self.events.read().await
    }
}

/// Client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    streams: ExchangeClient,
    questions: ExchangeClient,
    address: SocketAddr,
}

impl EngineClient {
    /// Client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            streams: ExchangeClient::unpooled(),
            questions: ExchangeClient::pooled(),
            address,
        }
    }

    /// Ask for the tokens after those delivered.
    pub async fn open(
        &self,
        generation: GenerationId,
        open: &OpenMessage,
    ) -> Result<EventStream, String> {
        let request = EngineRequest {
            request_id: request_id(generation, AttemptNumber(open.attempt)),
            pin: open.pin.clone(),
            prompt: open.prompt.clone(),
            resume: open.delivered.clone(),
            max_tokens: open.max_tokens,
            priority: priority(open.class.into()),
        };
        let call = ExchangeCall::post(self.address, "/v1/completions")
            .json(&request)
            .timeout(OPEN_TIMEOUT);
        match self.streams.open_events(call).await {
            Ok(Ok(events)) => Ok(events),
            Ok(Err(reply)) => Err(format!("the engine refused with status {}", reply.status)),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Stop an attempt, so that it costs the engine no more.
    pub async fn cancel(&self, generation: GenerationId, attempt: AttemptNumber) {
        let cancel = EngineCancel {
            request_id: request_id(generation, attempt),
        };
        let call = ExchangeCall::post(self.address, "/v1/cancel")
            .json(&cancel)
            .timeout(ASK_TIMEOUT);
        if let Err(error) = self.questions.send(call).await {
            log::warn!(request:% = generation, attempt:% = attempt; "cancel at the engine failed: {error}");
        }
    }

    /// Have the engine carry out an order that has passed the gate.
    pub async fn order(&self, order: &OrderMessage) -> OrderReply {
        let order = EngineOrder {
            fencing: order.fencing,
            kind: order.kind.clone(),
        };
        let call = ExchangeCall::post(self.address, "/v1/orders")
            .json(&order)
            .timeout(ORDER_TIMEOUT);
        match self.questions.send(call).await {
            Ok(reply) if reply.status.is_success() => OrderReply::Done,
            Ok(reply) if reply.status == StatusCode::CONFLICT => OrderReply::TooOld,
            Ok(_) | Err(_) => OrderReply::Failed,
        }
    }

    /// Load as the engine reports it.
    pub async fn load(&self) -> Result<EngineLoad, ExchangeError> {
        let call = ExchangeCall::get(self.address, "/v1/load").timeout(ASK_TIMEOUT);
        self.questions.send(call).await?.json()
    }
}

fn request_id(generation: GenerationId, attempt: AttemptNumber) -> String {
    format!("{generation}.{attempt}")
}

/// Engines serve lower numbers first.
const fn priority(class: WorkClass) -> u8 {
    match class {
        WorkClass::Short => 0,
        WorkClass::Long => 1,
    }
}
