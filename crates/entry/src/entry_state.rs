//! What the parts of an entry share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwap;
use domain::{
    backend_server::ServerSet,
    generation_stream::{RelayLimits, ResumeLimits, SilenceLimits},
    ingress_budget::BodyBudget,
    serving_config::ConfigState,
    team_budget::{AdmissionGate, RetryBudget},
};
use exchange::ExchangeClient;
use settings::EntrySettings;
use tokio::time::Instant;

use crate::{
    agent_links::AgentLinks, entry_metrics::EntryMetrics, load_policy::ProcessPolicy,
    note_watch::NoteWatch, resume_task::ResumeLine, server_membership::ServerMembership,
};

/// State of the process; requests read it without a lock.
pub struct EntryState<P> {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// The platform's services.
    pub platform: P,
    pub(crate) servers: ArcSwap<ServerSet>,
    pub(crate) note: ArcSwap<ConfigState>,
    pub(crate) notes: NoteWatch,
    pub(crate) membership: ServerMembership,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) policy: ProcessPolicy,
    /// Memory for the bodies of all requests.
    pub(crate) bodies: Arc<BodyBudget>,
    pub(crate) call_retries: RetryBudget,
    pub(crate) links: AgentLinks,
    /// One new connection for each stream, so that silence of one tells
    /// nothing about another.
    pub(crate) streams: ExchangeClient,
    pub(crate) silence: SilenceLimits,
    pub(crate) relay_limits: RelayLimits,
    pub(crate) resumes: ResumeLine,
    pub(crate) metrics: EntryMetrics,
    draining: AtomicBool,
    handing_over: AtomicBool,
}

impl<P> EntryState<P> {
    /// State at the start of a process.
    pub fn new(settings: EntrySettings, platform: P) -> Self {
        let now = Instant::now();
        let bodies_max = usize::try_from(settings.bodies_max).unwrap_or(usize::MAX);
        let servers = ServerSet::new(&settings.servers, &ServerSet::default(), now);
        let servers = servers.with_subsets(&settings.name);
        Self {
            servers: ArcSwap::from_pointee(servers),
            note: ArcSwap::from_pointee(ConfigState::default()),
            notes: NoteWatch::default(),
            membership: ServerMembership::default(),
            gate: Arc::new(AdmissionGate::new(settings.limits)),
            policy: ProcessPolicy::new(settings.policy, now),
            bodies: Arc::new(BodyBudget::new(bodies_max)),
            call_retries: ProcessPolicy::call_retries(),
            links: AgentLinks::default(),
            streams: ExchangeClient::unpooled(),
            silence: SilenceLimits::default(),
            relay_limits: RelayLimits::default(),
            resumes: ResumeLine::start(ResumeLimits::default()),
            metrics: EntryMetrics::new(),
            draining: AtomicBool::new(false),
            handing_over: AtomicBool::new(false),
            settings,
            platform,
        }
    }

    /// Whether the process takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether callers are to go on through another entry.
    pub fn is_handing_over(&self) -> bool {
        self.handing_over.load(Ordering::Relaxed)
    }

    /// Have callers go on through another entry.
    pub fn begin_hand_over(&self) {
        self.handing_over.store(true, Ordering::Relaxed);
    }

    /// Take no new work.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }
}
