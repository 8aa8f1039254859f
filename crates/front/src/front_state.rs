//! What all tasks of an entry share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{
    ServerName, ServiceName,
    desired_state::{DesiredState, StateFreshness},
    entry_drain::{DrainPhase, DrainTimes},
    entry_roster::EntryRoster,
    list_relay::{ChangeLog, ListCursor, RelayRule},
    retry_share::RetryShare,
    server_registry::{AdoptionProof, RegisteredServer, ServerRegistry},
};
use settings::FrontSettings;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    drain_clock::DrainClock, front_metrics::FrontMetrics, link_pool::LinkPool,
    prompt_finder::PromptFinder,
};

/// Time after which an entry whose row did not change counts as gone: three
/// of its announcements, one of which may be lost.
pub(crate) const ENTRY_LIFETIME: Duration = Duration::from_secs(60);

/// Time between two questions for servers, in percent of the time in which one
/// that leaves is to be known: registrations change all the time, so the store
/// answers at once. What is left is for a slow answer.
const SERVER_PERIOD_PERCENT: u32 = 55;

/// State of an entry.
pub struct FrontState {
    /// Settings in force.
    pub settings: ArcSwap<FrontSettings>,
    pub(crate) desired: ArcSwapOption<DesiredState>,
    pub(crate) registry: ArcSwap<ServerRegistry>,
    pub(crate) roster: ArcSwap<EntryRoster>,
    /// What changed in the list of servers, for entries that follow this one.
    pub(crate) change_log: ArcSwap<ChangeLog>,
    /// Newest news of the list; none while the store does not tell.
    pub(crate) list_cursor: watch::Sender<Option<ListCursor>>,
    /// Wakes the watch of servers when a server contradicted the list.
    pub(crate) list_refresh: Notify,
    pub(crate) links: LinkPool,
    pub(crate) finder: PromptFinder,
    pub(crate) metrics: FrontMetrics,
    pub(crate) drain: DrainClock,
    pub(crate) connections: AtomicUsize,
    servers_listed: AtomicBool,
    server_list_stale: AtomicBool,
    start: Instant,
    confirmed_ms: AtomicU64,
    retry_shares: papaya::HashMap<ServiceName, Arc<RetryShare>>,
}

impl FrontState {
    /// State at the start, which knows nothing yet.
    pub fn new(settings: FrontSettings, finder: PromptFinder) -> Self {
        Self {
            settings: ArcSwap::from_pointee(settings),
            desired: ArcSwapOption::empty(),
            registry: ArcSwap::default(),
            roster: ArcSwap::default(),
            change_log: ArcSwap::default(),
            list_cursor: watch::Sender::new(None),
            list_refresh: Notify::new(),
            links: LinkPool::default(),
            finder,
            metrics: FrontMetrics::new(),
            drain: DrainClock::new(),
            connections: AtomicUsize::new(0),
            servers_listed: AtomicBool::new(false),
            server_list_stale: AtomicBool::new(false),
            start: Instant::now(),
            confirmed_ms: AtomicU64::new(0),
            retry_shares: papaya::HashMap::new(),
        }
    }

    /// Note that the servers have been listed once.
    pub(crate) fn mark_servers_listed(&self) {
        self.servers_listed.store(true, Relaxed);
    }

    /// Note whether the store tells of servers.
    pub(crate) fn set_server_list_stale(&self, lost: bool) {
        self.server_list_stale.store(lost, Relaxed);
    }

    /// Whether the store does not tell of servers.
    pub(crate) fn is_server_list_stale(&self) -> bool {
        self.server_list_stale.load(Relaxed)
    }

    /// Note that the store had nothing newer than the desired state known when
    /// it was asked at `asked`.
    pub(crate) fn record_confirmation(&self, asked: Instant) {
        let millis = asked.saturating_duration_since(self.start).as_millis();
        // 0 stands for "never".
        let millis = u64::try_from(millis).unwrap_or(u64::MAX).max(1);
        self.confirmed_ms.fetch_max(millis, Relaxed);
    }

    /// How sure it is that the desired state known is the newest.
    pub(crate) fn freshness(&self) -> StateFreshness {
        let millis = self.confirmed_ms.load(Relaxed);
        StateFreshness {
            confirmed_at: (millis > 0).then(|| self.start + Duration::from_millis(millis)),
            apply_limit: self.settings.load().apply_limit,
        }
    }

    /// When news of the list of servers are due.
    pub(crate) fn relay_rule(&self) -> RelayRule {
        RelayRule {
            poll_period: self.settings.load().drain_limit * SERVER_PERIOD_PERCENT / 100,
        }
    }

    /// Whether the entry can serve.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.servers_listed.load(Relaxed)
            && self.desired.load().is_some()
            && self.phase(now) == DrainPhase::Serving
    }

    /// Times of a drain.
    pub(crate) fn drain_times(&self) -> DrainTimes {
        DrainTimes {
            grace: self.settings.load().grace,
        }
    }

    /// Phase of the entry's life.
    pub(crate) fn phase(&self, now: Instant) -> DrainPhase {
        self.drain.phase(self.drain_times(), now)
    }

    /// Take in the lifetime that holds a server's address now, if it must be of
    /// the same service since the address was in use a moment ago.
    pub(crate) fn adopt_recent(&self, old: &RegisteredServer, instance: &ServerName) -> bool {
        let reuse_time = self.settings.load().address_reuse;
        self.adopt(old, instance, AdoptionProof::RecentLife(reuse_time))
    }

    /// Take in the lifetime that holds a server's address now.
    pub(crate) fn adopt(
        &self,
        old: &RegisteredServer,
        instance: &ServerName,
        proof: AdoptionProof,
    ) -> bool {
        let now = Instant::now();
        let mut adopted = false;
        self.registry.rcu(|registry| {
            let mut registry = ServerRegistry::clone(registry);
            adopted = registry.adopt(old, instance.clone(), proof, now);
            registry
        });
        if adopted {
            log::info!(
                server = instance.as_str(),
                before = old.record().instance.as_str(),
                proof:? = proof;
                "server adopted from its own answer"
            );
        }
        adopted
    }

    /// Spend one retry of a service's budget if there is one.
    pub(crate) fn spend_retry(&self, share: &RetryShare) -> bool {
        let now = Instant::now();
        let entries = self.roster.load().count(ENTRY_LIFETIME, now);
        share.try_spend(entries, now)
    }

    /// Retries left of the service that has the least.
    pub(crate) fn retries_left(&self, now: Instant) -> i64 {
        let entries = self.roster.load().count(ENTRY_LIFETIME, now);
        let retry_shares = self.retry_shares.pin();
        let left = retry_shares
            .values()
            .map(|share| share.remaining(entries, now) as i64);
        left.min().unwrap_or(0)
    }

    /// Share of a service's retry budget.
    pub(crate) fn retry_share(&self, service: &ServiceName) -> Arc<RetryShare> {
        let retry_shares = self.retry_shares.pin();
        let share = retry_shares.get_or_insert_with(service.clone(), || {
            let bounds = self.settings.load().retry;
            Arc::new(RetryShare::new(bounds, Instant::now()))
        });
        Arc::clone(share)
    }
}
