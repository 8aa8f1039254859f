//! What the parts of an agent share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use domain::backend_server::SlotGate;
use platform::TableStore;
use settings::{AgentSettings, LoadPolicy};
use tokio::time::Instant;

use crate::{
    agent_metrics::AgentMetrics, engine_client::EngineClient,
    generation_registry::GenerationRegistry, intent_log::IntentLog,
};

/// State of the process; requests read it without a lock.
pub struct AgentState {
    /// Settings of the process.
    pub settings: AgentSettings,
    /// Start of the process on the wall clock, so that records of an earlier
    /// process of the same name are told apart.
    pub epoch: u64,
    pub(crate) registry: GenerationRegistry,
    pub(crate) engine: EngineClient,
    pub(crate) intents: IntentLog,
    pub(crate) metrics: AgentMetrics,
    pub(crate) calls: AtomicU32,
    pub(crate) slots: Arc<SlotGate>,
    leaving: AtomicBool,
    started_at: Instant,
    last_sign_ms: AtomicU64,
}

impl AgentState {
    /// State at the start of a process.
    pub fn new<T: TableStore>(settings: AgentSettings, table: T, epoch: u64, now: Instant) -> Self {
        let metrics = AgentMetrics::new();
        let limits = match settings.policy {
            LoadPolicy::Balanced => Some(settings.slots),
            LoadPolicy::Plain => None,
        };
        Self {
            engine: EngineClient::new(settings.server),
            intents: IntentLog::start(table, metrics.clone()),
            registry: GenerationRegistry::default(),
            settings,
            epoch,
            metrics,
            calls: AtomicU32::new(0),
            slots: Arc::new(SlotGate::new(limits, now)),
            leaving: AtomicBool::new(false),
            started_at: now,
            last_sign_ms: AtomicU64::new(0),
        }
    }

    /// Whether the server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Take no new work, or take it again.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
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
