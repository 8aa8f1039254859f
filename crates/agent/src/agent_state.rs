//! What the parts of an agent share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use backing::TableStore;
use domain::{
    backend_server::{ServerLoad, SlotLimiter},
    generation_stream::LogBudget,
    service_call::CallOwner,
};
use settings::{AgentSettings, LoadPolicy};
use tokio::{sync::mpsc, time::Instant};
use wire::agent_control::NewsMessage;

use crate::{
    agent_metrics::AgentMetrics,
    call_registry::CallRegistry,
    duty_holder::HeldLease,
    engine_client::EngineClient,
    generation_registry::GenerationRegistry,
    intent_log::IntentLog,
    note_keeper::{NEWS_MAX, NoteHolder},
    order_gate::{OrderJob, order_channel},
    service_client::ServiceClient,
};

/// Bytes of token logs that an agent keeps at most.
const LOG_BYTES_MAX: u64 = 48 << 20;

/// What the tasks of an agent hear.
pub struct AgentInbox {
    /// What entries tell.
    pub news: mpsc::Receiver<NewsMessage>,
    /// Orders to the server.
    pub orders: mpsc::Receiver<OrderJob>,
}

/// State of the process; requests read it without a lock.
pub struct AgentState {
    /// Settings of the process.
    pub settings: AgentSettings,
    /// The process as records of calls name it, with its start on the wall
    /// clock.
    pub owner: CallOwner,
    pub(crate) registry: GenerationRegistry,
    pub(crate) engine: EngineClient,
    pub(crate) intents: IntentLog,
    pub(crate) call_registry: CallRegistry,
    pub(crate) service: ServiceClient,
    pub(crate) metrics: AgentMetrics,
    pub(crate) calls: AtomicU32,
    pub(crate) slots: Arc<SlotLimiter>,
    pub(crate) notes: NoteHolder,
    pub(crate) news: mpsc::Sender<NewsMessage>,
    pub(crate) orders: mpsc::Sender<OrderJob>,
    pub(crate) lease: HeldLease,
    pub(crate) log_budget: Arc<LogBudget>,
    leaving: AtomicBool,
    handing_over: AtomicBool,
    started_at: Instant,
    last_sign_ms: AtomicU64,
}

impl AgentState {
    /// State at the start of a process, and what its tasks will hear.
    pub fn new<T: TableStore>(
        settings: AgentSettings,
        table: T,
        epoch: u64,
        now: Instant,
    ) -> (Self, AgentInbox) {
        let (news, news_heard) = mpsc::channel(NEWS_MAX);
        let (orders, orders_heard) = order_channel();
        let metrics = AgentMetrics::new();
        let limits = match settings.policy {
            LoadPolicy::Balanced => Some(settings.slots),
            LoadPolicy::Plain => None,
        };
        let state = Self {
            engine: EngineClient::new(settings.server),
            service: ServiceClient::new(settings.server, settings.service_run_max),
            call_registry: CallRegistry::default(),
            owner: CallOwner {
                server: settings.name.clone(),
                epoch,
            },
            intents: IntentLog::start(table, metrics.clone()),
            registry: GenerationRegistry::default(),
            settings,
            metrics,
            calls: AtomicU32::new(0),
            slots: Arc::new(SlotLimiter::new(limits, now)),
            notes: NoteHolder::default(),
            news,
            orders,
            lease: HeldLease::default(),
            log_budget: Arc::new(LogBudget::new(LOG_BYTES_MAX)),
            leaving: AtomicBool::new(false),
            handing_over: AtomicBool::new(false),
            started_at: now,
            last_sign_ms: AtomicU64::new(0),
        };
        let inbox = AgentInbox {
            news: news_heard,
            orders: orders_heard,
        };
        (state, inbox)
    }

    /// Whether the server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) || self.notes.is_leaving(Instant::now())
    }

    /// Take no new work, or take it again.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Whether generations in flight are to go on elsewhere.
    pub fn is_handing_over(&self) -> bool {
        self.handing_over.load(Ordering::Relaxed)
    }

    /// Have generations in flight go on elsewhere.
    pub fn begin_hand_over(&self) {
        self.handing_over.store(true, Ordering::Relaxed);
    }

    /// Load of the server, as it is counted here.
    pub(crate) fn load_report(&self) -> ServerLoad {
        ServerLoad {
            in_flight: self.slots.in_flight(),
            slots: self.slots.slots(),
        }
    }

    /// The server gave a sign of life.
    pub fn note_sign(&self, now: Instant) {
        let age = now.duration_since(self.started_at).as_millis();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.last_sign_ms.store(age, Ordering::Relaxed);
    }

    /// Time since the server's last sign of life.
    pub fn server_silence(&self, now: Instant) -> Duration {
        let last = Duration::from_millis(self.last_sign_ms.load(Ordering::Relaxed));
        now.duration_since(self.started_at).saturating_sub(last)
    }
}
