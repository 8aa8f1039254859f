//! State shared by all tasks of an entry.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{
    ServerName,
    buffer_budget::BufferBudget,
    desired_state::{DesiredState, StateFreshness, StateVersion},
    entry_drain::{DrainPhase, DrainTimes},
    entry_roster::EntryRoster,
    list_relay::{ChangeLog, ListCursor, RelayRule},
    server_registry::{AdoptionProof, RegisteredServer, ServerRegistry},
    state_relay::StateCursor,
    store_position::StoreEra,
};
use settings::FrontSettings;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, timeout},
};

use crate::{
    boot_clock::boot_now, connection_pool::ConnectionPool, cost_book::CostBook,
    crash_watch::CrashWatch, drain_clock::DrainClock, front_metrics::FrontMetrics,
    ingress::Ingress, prompt_finder::PromptFinder, repeat_book::RepeatBook, retry_room::RetryRoom,
    rollout_board::RolloutBoard, service_admission::AdmissionBook,
};

/// Time without a change of its row after which an entry counts as gone: three
/// announcement periods, so that a lost announcement is tolerated.
pub(crate) const ENTRY_LIFETIME: Duration = Duration::from_secs(90);

/// Time between two polls of a table, in percent of the time within which an entry
/// must learn of its changes. The rest allows for a slow response and for an entry
/// that follows another one in vain.
const POLL_PERCENT: u32 = 55;

/// Time after its last call for which another entry counts as a follower: longer than
/// the backoff after which it calls again.
const FOLLOWED_TIME: Duration = Duration::from_secs(12);

/// Row of the desired state in force, as it is handed on to other entries.
#[derive(Debug)]
pub(crate) struct StateRow {
    /// Version of the desired state.
    pub(crate) version: StateVersion,
    /// Value of the row.
    pub(crate) value: String,
}

/// Shared state of an entry.
pub struct FrontState {
    /// Settings in force.
    pub settings: ArcSwap<FrontSettings>,
    pub(crate) desired: ArcSwapOption<DesiredState>,
    pub(crate) desired_row: ArcSwapOption<StateRow>,
    /// What is known of the desired state, for entries that follow this one; `None`
    /// while nobody confirms it.
    pub(crate) state_cursor: watch::Sender<Option<StateCursor>>,
    /// The store's newest era that was heard of.
    pub(crate) store_era: watch::Sender<StoreEra>,
    pub(crate) registry: ArcSwap<ServerRegistry>,
    pub(crate) roster: ArcSwap<EntryRoster>,
    /// Whether the other entries have been listed since the start.
    roster_listed: watch::Sender<bool>,
    /// Changes of the server list, for entries that follow this one.
    pub(crate) change_log: ArcSwap<ChangeLog>,
    /// How far the server list has been read; `None` before the first listing and
    /// while reads of the store fail.
    pub(crate) list_cursor: watch::Sender<Option<ListCursor>>,
    /// Makes the server watch reread the list after a backend server's response that
    /// contradicts it.
    pub(crate) list_refresh: Notify,
    pub(crate) connection_pool: ConnectionPool,
    /// Memory for buffered answers of servers.
    pub(crate) answer_memory: Arc<BufferBudget>,
    /// Admission to each service.
    pub(crate) admission: AdmissionBook,
    pub(crate) repeats: RepeatBook,
    pub(crate) ingress: Ingress,
    pub(crate) finder: PromptFinder,
    pub(crate) costs: CostBook,
    pub(crate) crash_watch: CrashWatch,
    pub(crate) retries: RetryRoom,
    pub(crate) rollouts: RolloutBoard,
    pub(crate) metrics: FrontMetrics,
    pub(crate) drain: DrainClock,
    pub(crate) connections: AtomicUsize,
    /// Callers' connections since the start.
    pub(crate) accepted: AtomicU64,
    servers_listed: AtomicBool,
    server_list_stale: AtomicBool,
    start: Instant,
    confirmed_ms: AtomicU64,
    followed_ms: AtomicU64,
}

impl FrontState {
    /// Creates the state of a process that has read nothing from the store yet.
    pub fn new(
        settings: FrontSettings,
        finder: PromptFinder,
        crash_watch: CrashWatch,
        rollouts: RolloutBoard,
    ) -> Self {
        let metrics = FrontMetrics::new();
        let ingress = Ingress::new(&settings, &metrics);
        Self {
            settings: ArcSwap::from_pointee(settings),
            desired: ArcSwapOption::empty(),
            desired_row: ArcSwapOption::empty(),
            state_cursor: watch::Sender::new(None),
            store_era: watch::Sender::new(StoreEra::default()),
            registry: ArcSwap::default(),
            roster: ArcSwap::default(),
            roster_listed: watch::Sender::new(false),
            change_log: ArcSwap::default(),
            list_cursor: watch::Sender::new(None),
            list_refresh: Notify::new(),
            connection_pool: ConnectionPool::default(),
            answer_memory: Arc::new(BufferBudget::new(ingress.limits.answer_bytes)),
            ingress,
            admission: AdmissionBook::default(),
            repeats: RepeatBook::default(),
            finder,
            costs: CostBook::default(),
            crash_watch,
            rollouts,
            metrics,
            drain: DrainClock::new(),
            connections: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
            servers_listed: AtomicBool::new(false),
            server_list_stale: AtomicBool::new(false),
            start: Instant::now(),
            confirmed_ms: AtomicU64::new(0),
            followed_ms: AtomicU64::new(0),
            retries: RetryRoom::new(),
        }
    }

    /// Records that the first listing of the servers is complete.
    pub(crate) fn mark_servers_listed(&self) {
        self.servers_listed.store(true, Relaxed);
    }

    /// Records that the other entries have been listed.
    pub(crate) fn mark_roster_listed(&self) {
        self.roster_listed.send_replace(true);
    }

    /// Waits until the other entries have been listed, for `time_max` at most.
    pub(crate) async fn wait_roster_listed(&self, time_max: Duration) {
        let mut listed = self.roster_listed.subscribe();
        // The state owns the sender, so only the time can end the wait early.
        let _ = timeout(time_max, listed.wait_for(|is_listed| *is_listed)).await;
    }

    /// Records whether updates of the server list are interrupted.
    pub(crate) fn set_server_list_stale(&self, stale: bool) {
        self.server_list_stale.store(stale, Relaxed);
    }

    /// Returns whether updates of the server list are interrupted.
    pub(crate) fn is_server_list_stale(&self) -> bool {
        self.server_list_stale.load(Relaxed)
    }

    /// The store's newest era that was heard of.
    pub(crate) fn era(&self) -> StoreEra {
        *self.store_era.borrow()
    }

    /// Waits until an era after `known` is heard of.
    pub(crate) async fn era_after(&self, known: StoreEra) {
        let mut eras = self.store_era.subscribe();
        // The state owns the sender, so the channel stays open.
        let _ = eras.wait_for(|era| *era > known).await;
    }

    /// Records that the store, or another entry, named this era. An earlier one than the
    /// known one comes with a late answer and changes nothing.
    pub(crate) fn record_era(&self, era: StoreEra) {
        let mut before = StoreEra::default();
        let is_later = self.store_era.send_if_modified(|known| {
            before = *known;
            *known = era.max(before);
            before < era
        });
        if !is_later {
            return;
        }
        let gauge = i64::try_from(u64::from(era)).unwrap_or(i64::MAX);
        self.metrics.store_era.set(gauge);
        if before == StoreEra::default() {
            log::info!(era:% = era; "store numbers its eras");
        } else {
            log::warn!(era:% = era, era_before:% = before; "store came back from an older copy");
        }
    }

    /// Records that the known desired state was the newest when the store was
    /// queried at `queried_at`.
    pub(crate) fn record_confirmation(&self, queried_at: Instant) {
        self.confirmed_ms
            .fetch_max(self.elapsed_ms(queried_at), Relaxed);
    }

    /// Returns when the known desired state was last confirmed as the newest.
    pub(crate) fn freshness(&self) -> StateFreshness {
        let millis = self.confirmed_ms.load(Relaxed);
        StateFreshness {
            confirmed_at: (millis > 0).then(|| self.start + Duration::from_millis(millis)),
            apply_limit: self.settings.load().apply_limit,
        }
    }

    /// Returns the timing of server list updates between entries. The limit in the
    /// settings is the one for leaving servers, not for this entry's own drain.
    pub(crate) fn list_rule(&self) -> RelayRule {
        RelayRule {
            poll_period: self.settings.load().drain_limit * POLL_PERCENT / 100,
        }
    }

    /// Returns the timing of desired states between entries.
    pub(crate) fn state_rule(&self) -> RelayRule {
        RelayRule {
            poll_period: self.settings.load().apply_limit * POLL_PERCENT / 100,
        }
    }

    /// Records that another entry asked for the desired state.
    pub(crate) fn record_follower(&self, now: Instant) {
        self.followed_ms.fetch_max(self.elapsed_ms(now), Relaxed);
    }

    /// Returns whether another entry follows this one.
    pub(crate) fn is_followed(&self, now: Instant) -> bool {
        let followed_ms = self.followed_ms.load(Relaxed);
        let age_ms = self.elapsed_ms(now).saturating_sub(followed_ms);
        followed_ms > 0 && Duration::from_millis(age_ms) < FOLLOWED_TIME
    }

    /// Milliseconds since the start, at least 1, since 0 stands for never.
    fn elapsed_ms(&self, now: Instant) -> u64 {
        let millis = now.saturating_duration_since(self.start).as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX).max(1)
    }

    /// Returns whether the entry is ready to accept callers.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.servers_listed.load(Relaxed)
            && self.desired.load().is_some()
            && self.phase(now) == DrainPhase::Serving
    }

    /// Returns the time limits of a drain.
    pub(crate) fn drain_times(&self) -> DrainTimes {
        DrainTimes {
            grace: self.settings.load().grace,
        }
    }

    /// Returns the drain phase at `now`.
    pub(crate) fn phase(&self, now: Instant) -> DrainPhase {
        self.drain.phase(now)
    }

    /// Adds the instance that answered at the address of `old`, provided that `old`
    /// was running there within the address reuse time, so that the address still
    /// belongs to the same service.
    pub(crate) fn adopt_recent(&self, old: &RegisteredServer, instance: &ServerName) -> bool {
        let proof = AdoptionProof::AddressReserved {
            reuse_time: self.settings.load().address_reuse,
            now: boot_now(),
        };
        self.adopt(old, instance, proof)
    }

    /// Adds the instance that answered at the address of `old`, which it replaces in
    /// the registry before the store lists it. Returns whether it was added.
    pub(crate) fn adopt(
        &self,
        old: &RegisteredServer,
        instance: &ServerName,
        proof: AdoptionProof,
    ) -> bool {
        let mut adopted = false;
        self.registry.rcu(|registry| {
            let mut registry = ServerRegistry::clone(registry);
            adopted = registry.adopt(old, instance.clone(), proof);
            registry
        });
        if adopted {
            self.admission.signal_room();
            log::info!(
                server = instance.as_str(),
                before = old.record().instance.as_str(),
                proof:? = proof;
                "server instance added from its own response"
            );
        }
        adopted
    }
}
